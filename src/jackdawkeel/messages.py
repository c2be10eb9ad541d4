"""Typed messages between the processes of the dispatcher."""

from __future__ import annotations

import msgspec

from .ticket import AvailabilityZoneRecord
from .ticket import ServiceRecord


PROTOCOL_VERSION = 1


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Names one process: its incarnation, and where its link listens."""

    incarnation: str
    link: str


class AgentDescription(msgspec.Struct, frozen=True, array_like=True):
    """What an agent announces about itself.

    Attributes:
        address: The agent's process.
        target: URL of its target.
        services: Names of the services that the target runs.
        availability_zone: Where it runs.
        rack: The rack it is mounted in.
        slots: Tasks that the target runs at once.
        connections: Connections that the target accepts.
    """

    address: PeerAddress
    target: str
    services: list[str]
    availability_zone: str
    rack: str
    slots: int
    connections: int


class AgentLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of an agent at one moment.

    Attributes:
        running: Tasks that the target is running.
        queued: Tasks accepted from homes and not started.
        waiting: Tasks of jobs at home here that are not yet dispatched.
        completed: Tasks that ended well since the agent started.
        failed: Tasks that ended badly since the agent started.
        task_ms: Mean run time of recent tasks in milliseconds, 0 if none.
        envelopes_sent: Envelopes sent over links since the agent started.
    """

    running: int = 0
    queued: int = 0
    waiting: int = 0
    completed: int = 0
    failed: int = 0
    task_ms: float = 0.0
    envelopes_sent: int = 0


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """An agent as entries describe it to other agents."""

    address: PeerAddress
    services: list[str]
    availability_zone: str
    slots: int


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a listed peer, as far as placement needs it."""

    held: int
    waiting: int


class AgentConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """The part of the configuration that an agent needs."""

    revision: int
    services: dict[str, ServiceRecord]
    availability_zones: dict[str, AvailabilityZoneRecord]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """From an agent to an entry, about once a second.

    Attributes:
        sent_at: When it was sent, in seconds of the agent's clock; echoed.
        agent: The agent's description.
        era: The era in which ids may be minted for this agent.
        load: The agent's load.
        revision: The configuration revision that is in force at the agent.
        leaving: Whether the agent takes no new jobs or tasks.
        peer_list: Number of the peer list that the agent has from this entry.
    """

    sent_at: float
    agent: AgentDescription
    era: int
    load: AgentLoad
    revision: int
    leaving: bool
    peer_list: int = 0


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """From an entry to an agent.

    Attributes:
        sent_at: Echo of the heartbeat.
        lease_ms: Configuration lease in milliseconds from ``sent_at``; 0 for none.
        revision: The entry's configuration revision.
        configuration: What the agent needs of it, if the agent's is older.
        entries: The live entries that the entry knows.
        ejected: Whether the agent's own target should get no work but probes.
        peer_list: Number of the present list of peers; it changes with the list.
        peers: Agents that may run tasks for this agent, bounded in number; None if
            the agent has the present list.
        loads: The load of each peer, in the order of the list.
    """

    sent_at: float
    lease_ms: int
    revision: int
    configuration: AgentConfiguration | None
    entries: list[PeerAddress]
    ejected: bool
    peer_list: int
    peers: list[PeerStatus] | None
    loads: list[PeerLoad]


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Why an entry will not have a job run; the home records it for the id."""

    kind: str
    message: str
    retry_after_ms: int | None


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From an entry to a home; a copy of an admitted id only joins its answer.

    With a refusal, an id that is not yet admitted never will be.
    """

    job_id: str
    digest: str
    service: str
    payloads: list[bytes]
    idempotent: bool
    deadline_ms: int
    refusal: Refusal | None = None


class JobAnswer(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """From a home to an entry: the encoded public answer of a job."""

    job_id: str
    digest: str
    answer: bytes


class JobQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """From an entry to a home: what became of a job; admits nothing."""

    job_id: str


class JobNews(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """From a home to an entry: whether a queried job that has no answer is known."""

    job_id: str
    running: bool


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """From an entry to a home: starts no further task of the job."""

    job_id: str


class TaskDispatch(msgspec.Struct, frozen=True, array_like=True):
    """One task on its way to the agent that runs it.

    Attributes:
        number: Names this dispatch; the home never uses a number twice.
        job_id: The job.
        index: The task's place in the job.
        service: The service that runs it.
        payload: The JSON payload.
        deadline_ms: Time within which it may start, in milliseconds.
    """

    number: int
    job_id: str
    index: int
    service: str
    payload: bytes
    deadline_ms: int


class DispatchTasks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """From a home to an executing agent.

    Attributes:
        oldest_open: The lowest dispatch number that the home has not settled with
            this agent; records of lower numbers may be dropped.
        tasks: The tasks to run.
    """

    oldest_open: int
    tasks: list[TaskDispatch]


class TaskQuery(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """From a home to an executing agent: what became of these dispatches.

    A dispatch that has not arrived is reported as not started; if it is still under
    way on an older session, the agent drops it on arrival.
    """

    oldest_open: int
    numbers: list[int]


class CancelTasks(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """From a home to an executing agent: these dispatches must not start."""

    oldest_open: int
    numbers: list[int]


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """What became of one dispatch.

    Attributes:
        number: The dispatch.
        state: A value of ``TaskState``.
        body: The target's JSON body if the state is done.
        reason: One sentence if the state is neither done nor running.
        run_ms: How long the target took, in milliseconds; 0 if it did not end.
    """

    number: int
    state: str
    body: bytes = b""
    reason: str = ""
    run_ms: float = 0.0


class TaskReports(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """From an executing agent to a home.

    Attributes:
        reports: What became of dispatches of this home.
        running: Tasks that the target is running.
        queued: Tasks that wait at the agent.
    """

    reports: list[TaskReport]
    running: int
    queued: int


class SettleTasks(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """From a home to an executing agent that it has no other message for."""

    oldest_open: int


class WrongRecipient(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers mail for another incarnation than the one that listens here."""

    wanted: str


class EntryProbe(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """From an entry to an entry, about once a second.

    Attributes:
        sent_at: When it was sent, in seconds of the sender's clock; echoed.
        revision: The sender's configuration revision.
        demand: Task starts that callers asked for, per team and second.
    """

    sent_at: float
    revision: int
    demand: dict[str, float]


class EntryProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """From an entry to an entry.

    Attributes:
        sent_at: Echo of the probe.
        confirmed_age_ms: Age of the last confirmation by the store, -1 if none.
        revision: The configuration revision in force.
        document: The encoded document if the revision is above the asker's.
    """

    sent_at: float
    confirmed_age_ms: int
    revision: int
    document: bytes


class AgentsQuery(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """From an entry to an entry: which agents are heard, with what in force."""

    query: int


class AgentSighting(msgspec.Struct, frozen=True, array_like=True):
    """An agent as one entry last heard it."""

    agent: AgentDescription
    load: AgentLoad
    revision: int
    leaving: bool
    heard_age_ms: int


class AgentsReply(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """From an entry to an entry: the agents that it hears."""

    query: int
    sightings: list[AgentSighting]


class FindHome(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """From an entry to an entry: whether it hears this incarnation."""

    incarnation: str


class HomeFound(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """From an entry to an entry: where the incarnation listens, if heard."""

    incarnation: str
    link: str | None


class AgentLeaving(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """From a leaving agent to homes and entries.

    Attributes:
        ended: Whether all work there has ended; it answers nothing more.
        unsettled: The recipient's dispatches that started and whose results it has
            not settled; once ``ended``, all others have not started and never will.
    """

    ended: bool
    unsettled: list[int]


class FindKey(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """From an entry to an entry: which job id it knows a caller's key to stand for."""

    key: str


class KeyFound(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """From an entry to an entry: the job id of a key, if known."""

    key: str
    job_id: str | None


Message = (
    Heartbeat
    | HeartbeatReply
    | SubmitJob
    | JobAnswer
    | JobQuery
    | JobNews
    | CancelJob
    | DispatchTasks
    | TaskQuery
    | CancelTasks
    | TaskReports
    | SettleTasks
    | WrongRecipient
    | EntryProbe
    | EntryProbeReply
    | AgentsQuery
    | AgentsReply
    | FindHome
    | HomeFound
    | AgentLeaving
    | FindKey
    | KeyFound
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels over a link: messages of one sender for one recipient.

    Attributes:
        version: The protocol version.
        sender: The sending process.
        recipient: The incarnation that it is meant for; empty for any.
        session: The sender's session with the recipient; grows with each redial.
        redial: Whether the recipient must answer over a new connection.
        messages: The messages, in order.
    """

    version: int
    sender: PeerAddress
    recipient: str
    session: int
    redial: bool
    messages: list[Message]
