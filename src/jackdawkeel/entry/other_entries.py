"""Communication of an entry with the other entries: probes, lookups and queries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..messages import AgentsQuery
from ..messages import AgentsReply
from ..messages import EntryProbe
from ..messages import EntryProbeReply
from ..messages import FindHome
from ..messages import FindKey
from ..messages import HomeFound
from ..messages import KeyFound
from ..messages import PeerAddress
from ..policy.quota import own_demand
from ..policy.quota import record_entry_demand
from ..policy.quota import remove_entry


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..controllers.configuration import ConfigurationController
    from ..controllers.known_keys import KnownKeysController
    from ..controllers.roster import RosterController
    from ..messages import AgentObservation
    from ..messages import Message
    from ..policy.quota import QuotaState


# Wait for the other entries' observations; later replies are ignored.
AGENTS_REPLY_TIMEOUT_S = 0.5
LOOKUP_TIMEOUT_S = 1.0
# An entry that the store does not list is kept for this time after its last probe or
# probe reply.
ENTRY_SILENCE_TIMEOUT_S = 5.0
MAX_LISTED_ENTRIES = 8
# The link to an entry is redialled after each such interval without a probe reply.
REDIAL_INTERVAL_S = 2.5


class OtherEntries:
    """Tracks the other entries' addresses and this entry's open requests to them."""

    def __init__(
        self,
        *,
        own: PeerAddress,
        clock: Clock,
        configuration: ConfigurationController,
        roster: RosterController,
        quotas: QuotaState,
        known_keys: KnownKeysController,
        send: Callable[[PeerAddress, Message], None],
        redial: Callable[[str], object],
        apply: Callable[[int, bytes], None],
    ) -> None:
        """Creates the tracker without any known entry.

        Args:
            own: Address of this entry.
            clock: Clock in seconds.
            configuration: This entry's configuration.
            roster: The agents that send heartbeats to this entry.
            quotas: The demand per team, as far as this entry knows it.
            known_keys: Callers' idempotency keys that this entry has seen claimed.
            send: Sends a message to a process.
            redial: Replaces the connection to a link address.
            apply: Applies a configuration if it is newer than the one in force.
        """
        self.apply = apply
        self.own = own
        self.clock = clock
        self.configuration = configuration
        self.roster = roster
        self.quotas = quotas
        self.known_keys = known_keys
        self.send = send
        self.redial = redial
        self.addresses: list[PeerAddress] = []
        self.last_seen_at: dict[PeerAddress, float] = {}
        self.replied_at: dict[str, float] = {}
        self.redial_at: dict[str, float] = {}
        self.lookups: dict[str, list[asyncio.Future[str]]] = {}
        self.agents_queries: dict[int, asyncio.Queue[AgentsReply]] = {}
        self.next_query_id = 1

    def set_addresses(self, addresses: list[PeerAddress]) -> None:
        """Replaces the list of live entries by the one read from the store.

        Entries that sent a probe or a probe reply in the last
        ``ENTRY_SILENCE_TIMEOUT_S`` are kept, because the store may be down and the list
        outdated.
        """
        oldest_kept = self.clock() - ENTRY_SILENCE_TIMEOUT_S
        self.last_seen_at = {
            address: seen_at
            for address, seen_at in self.last_seen_at.items()
            if seen_at >= oldest_kept
        }
        merged = dict.fromkeys([*addresses, *self.last_seen_at])
        self.addresses = [address for address in merged if address != self.own]
        incarnations = {address.incarnation for address in self.addresses}
        for incarnation in incarnations:
            self.redial_at.setdefault(incarnation, self.clock() + REDIAL_INTERVAL_S)
        for incarnation in set(self.redial_at) - incarnations:
            del self.redial_at[incarnation]
            self.replied_at.pop(incarnation, None)
            remove_entry(self.quotas, incarnation)

    def list_for_agent(self) -> list[PeerAddress]:
        """Returns this entry and a random sample of the others.

        The list has at most ``MAX_LISTED_ENTRIES`` entries.
        """
        count = min(MAX_LISTED_ENTRIES - 1, len(self.addresses))
        return [self.own, *self.roster.rng.sample(self.addresses, count)]

    def probe(self) -> None:
        """Asks each other entry when the store last confirmed its configuration.

        Redials the links to entries that have not replied in time.
        """
        now = self.clock()
        demand = own_demand(self.quotas, now)
        message = EntryProbe(now, self.configuration.revision, demand)
        for address in self.addresses:
            if now > self.redial_at[address.incarnation]:
                self.redial_at[address.incarnation] = now + REDIAL_INTERVAL_S
                self.redial(address.link)
            self.send(address, message)

    def handle_probe(self, sender: PeerAddress, message: EntryProbe) -> None:
        """Records the sender's demand and replies with the configuration's state.

        The reply has the age of the last confirmation, and the configuration itself
        if the sender's is older.
        """
        self.last_seen_at[sender] = self.clock()
        record_entry_demand(self.quotas, sender.incarnation, message.demand)
        configuration = self.configuration
        is_newer = configuration.revision > message.revision
        reply = EntryProbeReply(
            sent_at=message.sent_at,
            confirmed_age_ms=configuration.confirmed_age_ms(self.clock()),
            revision=configuration.revision,
            document=configuration.encoded if is_newer else b"",
        )
        self.send(sender, reply)

    def handle_probe_reply(self, sender: PeerAddress, message: EntryProbeReply) -> None:
        """Applies another entry's configuration and records its confirmation."""
        self.last_seen_at[sender] = self.clock()
        self.replied_at[sender.incarnation] = self.clock()
        self.redial_at[sender.incarnation] = self.clock() + REDIAL_INTERVAL_S
        if message.confirmed_age_ms < 0:
            return
        if message.document:
            self.apply(message.revision, message.document)
        self.configuration.record_peer_confirmation(
            message.sent_at, message.confirmed_age_ms, message.revision
        )

    async def find_home(self, incarnation: str) -> PeerAddress | None:
        """Asks the other entries where an incarnation listens.

        Returns None if no entry that replies in time has contact with it.
        """
        link = await self._look_up(FindHome(incarnation), incarnation)
        return None if link is None else PeerAddress(incarnation, link)

    async def find_key(self, key: str) -> str | None:
        """Asks the other entries for the job id that a caller's key has claimed.

        Returns None if no entry that replies in time knows the key.
        """
        return await self._look_up(FindKey(key), key)

    def handle_find_home(self, sender: PeerAddress, message: FindHome) -> None:
        """Replies with the link address of an incarnation, or None if unknown."""
        view = self.roster.find(message.incarnation)
        link = None if view is None else view.address.link
        self.send(sender, HomeFound(message.incarnation, link))

    def handle_find_key(self, sender: PeerAddress, message: FindKey) -> None:
        """Replies with the job id that a key has claimed, or None if unknown."""
        job_id = self.known_keys.find(message.key)
        self.send(sender, KeyFound(message.key, job_id))

    def handle_lookup_reply(self, lookup_key: str, answer: str | None) -> None:
        """Completes the lookups of a key or incarnation, unless the answer is None.

        The first answer from any entry completes them; later ones are ignored.
        """
        if answer is None:
            return
        for future in self.lookups.get(lookup_key, []):
            if not future.done():
                future.set_result(answer)

    async def _look_up(
        self, message: FindHome | FindKey, lookup_key: str
    ) -> str | None:
        if not self.addresses:
            return None
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.lookups.setdefault(lookup_key, []).append(future)
        for address in self.addresses:
            self.send(address, message)
        try:
            return await asyncio.wait_for(future, LOOKUP_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            self._remove_lookup(lookup_key, future)

    async def list_observations(self) -> list[AgentObservation]:
        """Returns the most recent observation of each agent, the newest first.

        Includes the agents that only other entries have contact with.
        """
        observations = self.roster.list_observations()
        replies = await self._query_agents()
        for reply in replies:
            observations.extend(reply.observations)
        observations.sort(key=lambda observation: observation.last_seen_age_ms)
        newest: dict[str, AgentObservation] = {}
        for observation in observations:
            newest.setdefault(observation.agent.address.incarnation, observation)
        return list(newest.values())

    def handle_agents_query(self, sender: PeerAddress, message: AgentsQuery) -> None:
        """Replies with this entry's observations of agents."""
        self.send(
            sender, AgentsReply(message.query_id, self.roster.list_observations())
        )

    def handle_agents_reply(self, message: AgentsReply) -> None:
        """Passes another entry's observations to the query that requested them."""
        queue = self.agents_queries.get(message.query_id)
        if queue is not None:
            queue.put_nowait(message)

    async def _query_agents(self) -> list[AgentsReply]:
        query_id = self.next_query_id
        self.next_query_id += 1
        queue: asyncio.Queue[AgentsReply] = asyncio.Queue()
        self.agents_queries[query_id] = queue
        expected = len(self.addresses)
        for address in self.addresses:
            self.send(address, AgentsQuery(query_id))
        replies: list[AgentsReply] = []
        try:
            async with asyncio.timeout(AGENTS_REPLY_TIMEOUT_S):
                while len(replies) < expected:
                    replies.append(await queue.get())
        except TimeoutError:
            pass
        finally:
            del self.agents_queries[query_id]
        return replies

    def _remove_lookup(self, lookup_key: str, future: asyncio.Future[str]) -> None:
        futures = self.lookups[lookup_key]
        futures.remove(future)
        if not futures:
            del self.lookups[lookup_key]
