"""What an entry asks the other entries."""

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
from ..policy.quota import forget_entry
from ..policy.quota import own_demand
from ..policy.quota import record_entry_demand


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clock import Clock
    from ..controllers.configuration import ConfigurationController
    from ..controllers.known_keys import KnownKeysController
    from ..controllers.roster import RosterController
    from ..messages import AgentObservation
    from ..messages import Message
    from ..policy.quota import QuotaState


AGENTS_REPLY_TIMEOUT_S = 0.5
LOOKUP_TIMEOUT_S = 1.0
ENTRY_SILENCE_TIMEOUT_S = 5.0
MAX_LISTED_ENTRIES = 8
REDIAL_INTERVAL_S = 2.5


class OtherEntries:
    """Keeps the addresses of the other entries and the questions that are open."""

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
        redial: Callable[[str], None],
        apply: Callable[[int, bytes], None],
    ) -> None:
        """Describes the other entries.

        Args:
            own: This entry.
            clock: Clock in seconds.
            configuration: This entry's configuration.
            roster: The agents that this entry hears.
            quotas: What this entry knows of the demand of teams.
            known_keys: Callers' keys that this entry has seen claimed.
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
        """Takes the live entries as the store lists them.

        Those that were heard lately stay, as the store may be down and the list old.
        """
        oldest_kept = self.clock() - ENTRY_SILENCE_TIMEOUT_S
        self.last_seen_at = {
            address: seen_at
            for address, seen_at in self.last_seen_at.items()
            if seen_at >= oldest_kept
        }
        merged = dict.fromkeys([*addresses, *self.last_seen_at])
        self.addresses = [address for address in merged if address != self.own]
        known = {address.incarnation for address in self.addresses}
        for incarnation in known:
            self.redial_at.setdefault(incarnation, self.clock() + REDIAL_INTERVAL_S)
        for incarnation in set(self.redial_at) - known:
            del self.redial_at[incarnation]
            self.replied_at.pop(incarnation, None)
            forget_entry(self.quotas, incarnation)

    def list_for_agent(self) -> list[PeerAddress]:
        """Returns this entry and some others, bounded in number."""
        count = min(MAX_LISTED_ENTRIES - 1, len(self.addresses))
        return [self.own, *self.roster.rng.sample(self.addresses, count)]

    def probe(self) -> None:
        """Asks each other entry how lately it has reached the store."""
        now = self.clock()
        demand = own_demand(self.quotas, now)
        message = EntryProbe(now, self.configuration.revision, demand)
        for address in self.addresses:
            if now > self.redial_at[address.incarnation]:
                self.redial_at[address.incarnation] = now + REDIAL_INTERVAL_S
                self.redial(address.link)
            self.send(address, message)

    def handle_probe(self, sender: PeerAddress, message: EntryProbe) -> None:
        """Answers with this entry's configuration and when it was confirmed."""
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
        """Takes another entry's configuration and when the store confirmed it."""
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
        """Asks where an incarnation listens; None if no entry hears it."""
        link = await self._look_up(FindHome(incarnation), incarnation)
        return None if link is None else PeerAddress(incarnation, link)

    async def find_key(self, key: str) -> str | None:
        """Asks which job id a caller's key stands for; None if no entry knows."""
        return await self._look_up(FindKey(key), key)

    def handle_find_home(self, sender: PeerAddress, message: FindHome) -> None:
        """Answers where an incarnation listens, if this entry hears it."""
        view = self.roster.find(message.incarnation)
        link = None if view is None else view.address.link
        self.send(sender, HomeFound(message.incarnation, link))

    def handle_find_key(self, sender: PeerAddress, message: FindKey) -> None:
        """Answers which job id a key stands for, if this entry knows."""
        job_id = self.known_keys.find(message.key)
        self.send(sender, KeyFound(message.key, job_id))

    def handle_lookup_reply(self, lookup_key: str, answer: str | None) -> None:
        """Takes the first answer that tells something."""
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
        """Returns the agents that this entry or any other hears, freshest first."""
        observations = self.roster.list_observations()
        replies = await self._query_agents()
        for reply in replies:
            observations.extend(reply.observations)
        observations.sort(key=lambda observation: observation.last_seen_age_ms)
        freshest: dict[str, AgentObservation] = {}
        for observation in observations:
            freshest.setdefault(observation.agent.address.incarnation, observation)
        return list(freshest.values())

    def handle_agents_query(self, sender: PeerAddress, message: AgentsQuery) -> None:
        """Answers with the agents that this entry hears."""
        self.send(
            sender, AgentsReply(message.query_id, self.roster.list_observations())
        )

    def handle_agents_reply(self, message: AgentsReply) -> None:
        """Takes another entry's agents."""
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
