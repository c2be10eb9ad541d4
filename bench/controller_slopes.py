"""Measures processor time, memory and message sizes of the controllers.

The controllers run in this process, without network and store.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import cast

import msgspec
from msgspec.structs import replace
from tests.fakes import FakeClock
from tests.fakes import make_address
from tests.fakes import make_log

from bench.fits import Fit
from bench.fits import fit_line
from bench.fits import measure_bytes
from bench.fits import measure_processor_us
from jackdawkeel.answer import answer_done
from jackdawkeel.controllers.admission import AdmissionController
from jackdawkeel.controllers.configuration import ConfigurationController
from jackdawkeel.controllers.roster import RosterController
from jackdawkeel.entry.heartbeats import reply_to_heartbeat
from jackdawkeel.job_id import mint_incarnation
from jackdawkeel.job_id import mint_job_id
from jackdawkeel.messages import PROTOCOL_VERSION
from jackdawkeel.messages import AgentDescription
from jackdawkeel.messages import AgentLoad
from jackdawkeel.messages import Envelope
from jackdawkeel.messages import Heartbeat
from jackdawkeel.messages import PeerAddress
from jackdawkeel.messages import SubmitJob
from jackdawkeel.ticket import AvailabilityZoneModel
from jackdawkeel.ticket import AvailabilityZoneRecord
from jackdawkeel.ticket import ConfigurationDocument
from jackdawkeel.ticket import ServiceModel
from jackdawkeel.ticket import ServiceRecord
from jackdawkeel.ticket import TeamModel
from jackdawkeel.ticket import TeamRecord


if TYPE_CHECKING:
    from jackdawkeel.entry.daemon import Entry
    from jackdawkeel.logs import EventLog
    from jackdawkeel.messages import Message


AGENT_COUNTS = (10, 50, 200, 1000)
TASK_COUNTS = (1, 10, 60, 240)
ID_COUNTS = (1000, 5000, 20_000, 50_000)
OBJECT_COUNTS = (50, 200, 800, 3200)
AGENTS_PER_SERVICE = 100
HOSTS_PER_SUBNET = 250
ZONES = 8
PAYLOAD = b'{"municipality": 615, "night": "2026-07-14", "kind": "nightly-count"}'
DIGEST = "0" * 64


@dataclass(slots=True)
class OtherEntries:
    """The other entries known to a modelled entry."""

    addresses: list[PeerAddress] = field(default_factory=list)

    def list_for_agent(self) -> list[PeerAddress]:
        """Returns the entry addresses that a heartbeat reply lists."""
        return self.addresses


@dataclass(slots=True)
class EntryParts:
    """The parts of an entry that ``reply_to_heartbeat`` uses.

    It is cast to ``Entry``, so the type checker does not compare the attributes.
    """

    roster: RosterController
    configuration: ConfigurationController
    address: PeerAddress
    clock: FakeClock
    log: EventLog = field(default_factory=make_log)
    other_entries: OtherEntries = field(default_factory=OtherEntries)


def make_heartbeat(
    number: int, agents_per_service: int = AGENTS_PER_SERVICE
) -> Heartbeat:
    """Returns the heartbeat of an agent.

    Args:
        number: Number of the agent; sets its host, service, zone and rack.
        agents_per_service: Number of agents that share a service.
    """
    host = f"10.0.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET}"
    address = PeerAddress(mint_incarnation(), f"tcp://{host}:7000")
    description = AgentDescription(
        address,
        f"http://{host}:8080",
        [f"service-{number // agents_per_service}"],
        f"zone-{number % ZONES}",
        f"rack-{number // 3}",
        8,
        64,
    )
    load = AgentLoad(7, 1, 20, 123_456, 123, 400.0, 987_654)
    return Heartbeat(12_345.678, description, 3, load, 0, False, 1)


def make_entry(agents: int, agents_per_service: int = AGENTS_PER_SERVICE) -> EntryParts:
    """Returns an entry that has received heartbeats of the given number of agents."""
    clock = FakeClock()
    roster = RosterController("zone-0", clock, make_log(), lambda _zone: True)
    entry = EntryParts(
        roster, ConfigurationController(clock()), make_address("e" * 16), clock
    )
    entry.other_entries.addresses = [make_address(f"{n:016x}") for n in range(3)]
    for number in range(agents):
        roster.handle_heartbeat(make_heartbeat(number, agents_per_service))
    for view in roster.agents.values():
        roster.refresh_peers(view)
    return entry


def encode(message: Message) -> bytes:
    """Returns the encoded envelope of one message."""
    sender = make_address("a" * 16)
    envelope = Envelope(PROTOCOL_VERSION, sender, "b" * 16, 1, False, [message])
    return msgspec.msgpack.encode(envelope)


def answer_encoded(entry: EntryParts, encoded: bytes) -> bytes:
    """Decodes a heartbeat, answers it and returns the encoded reply."""
    envelope = msgspec.msgpack.decode(encoded, type=Envelope)
    heartbeat = cast("Heartbeat", envelope.messages[0])
    return encode(reply_to_heartbeat(cast("Entry", entry), heartbeat))


def measure_heartbeats() -> list[Fit]:
    """Measures the time, bytes and memory that agents cost an entry, by number."""
    points: dict[str, list[tuple[float, float]]] = {}
    for agents in AGENT_COUNTS:
        entry = make_entry(agents)
        view = next(iter(entry.roster.agents.values()))
        with_known_peers = encode(
            replace(view.heartbeat, peer_list_version=view.peer_list_version)
        )
        with_unknown_peers = encode(replace(view.heartbeat, peer_list_version=0))
        unknown_agent = make_heartbeat(agents)
        measured = {
            "heartbeat answered, us": measure_processor_us(
                partial(answer_encoded, entry, with_known_peers), 200
            ),
            "heartbeat, bytes": len(with_known_peers),
            "reply, bytes": len(answer_encoded(entry, with_known_peers)),
            "reply with the peer list, bytes": len(
                answer_encoded(entry, with_unknown_peers)
            ),
            "roster tick, us": measure_processor_us(entry.roster.tick, 2),
            "roster, MB": measure_bytes(partial(make_entry, agents)) / 1e6,
            "new agent, us": measure_processor_us(
                partial(add_and_remove_agent, entry, unknown_agent), 20
            ),
        }
        for name, value in measured.items():
            points.setdefault(name, []).append((agents, value))
    over = "agents heard by an entry"
    return [
        fit_line(name, over, measured_points)
        for name, measured_points in points.items()
    ]


def add_and_remove_agent(entry: EntryParts, heartbeat: Heartbeat) -> None:
    """Handles the first heartbeat of an agent, then removes the agent."""
    entry.roster.handle_heartbeat(heartbeat)
    entry.roster.remove_agent(heartbeat.agent.address.incarnation)


def measure_homes() -> list[Fit]:
    """Measures the choice of a home, over the number of agents of the service."""
    points: list[tuple[float, float]] = []
    for agents in AGENT_COUNTS:
        roster = make_entry(agents, agents).roster
        cost = measure_processor_us(partial(roster.choose_home, "service-0"), 20)
        points.append((agents, cost))
    return [fit_line("choice of a home, us", "agents of the service", points)]


def encode_and_decode(job: SubmitJob) -> Envelope:
    """Encodes the envelope of a job and decodes it again."""
    return msgspec.msgpack.decode(encode(job), type=Envelope)


def measure_jobs() -> list[Fit]:
    """Measures size and coding cost of ``SubmitJob``, over the tasks of the job."""
    sizes: list[tuple[float, float]] = []
    costs: list[tuple[float, float]] = []
    for tasks in TASK_COUNTS:
        job_id = str(mint_job_id(mint_incarnation(), 1))
        job = SubmitJob(job_id, DIGEST, "service", [PAYLOAD] * tasks, False, 60_000)
        sizes.append((tasks, len(encode(job))))
        costs.append(
            (tasks, measure_processor_us(partial(encode_and_decode, job), 200))
        )
    return [
        fit_line("job submitted, bytes", "tasks", sizes),
        fit_line("job encoded and decoded, us", "tasks", costs),
    ]


def make_admission(count: int) -> AdmissionController:
    """Returns a home's records of ended jobs, whose answers are small or dropped."""
    admission = AdmissionController("a" * 16, FakeClock())
    for _ in range(count):
        job_id = mint_job_id("a" * 16, 1)
        admission.admit(job_id, make_digest())
        admission.keep_answer(job_id, answer_done(str(job_id), [b"{}"]))
    return admission


def make_digest() -> str:
    """Returns a random string of the length of a request digest.

    Every request decodes to a separate string, so ids must not share one.
    """
    return mint_incarnation() * 4


def measure_ids() -> list[Fit]:
    """Measures the memory of the job ids that a home keeps, over their number."""
    points = [
        (float(count), measure_bytes(partial(make_admission, count)) / 1e6)
        for count in ID_COUNTS
    ]
    return [fit_line("ids kept, MB", "ids", points)]


def make_document(objects: int) -> bytes:
    """Returns an encoded configuration with half services and half teams.

    It also has ``ZONES`` availability zones.
    """
    half = objects // 2
    return msgspec.json.encode(
        ConfigurationDocument(
            {f"service-{n}": ServiceRecord(n, ServiceModel()) for n in range(half)},
            {
                f"zone-{n}": AvailabilityZoneRecord(n, AvailabilityZoneModel())
                for n in range(ZONES)
            },
            {f"team-{n}": TeamRecord(n, TeamModel(100.0)) for n in range(half)},
        )
    )


def measure_configuration() -> list[Fit]:
    """Measures a configuration change at an entry, over the number of objects."""
    sizes: list[tuple[float, float]] = []
    costs: list[tuple[float, float]] = []
    for objects in OBJECT_COUNTS:
        encoded = make_document(objects)
        controller = ConfigurationController(0.0)
        revisions = Counter({"next": 0})

        def apply(
            controller: ConfigurationController = controller,
            encoded: bytes = encoded,
            revisions: Counter[str] = revisions,
        ) -> None:
            revisions["next"] += 1
            controller.apply(revisions["next"], encoded).unwrap()

        sizes.append((objects, len(encoded)))
        costs.append((objects, measure_processor_us(apply, 50)))
    return [
        fit_line("configuration, bytes", "objects", sizes),
        fit_line("configuration applied, us", "objects", costs),
    ]
