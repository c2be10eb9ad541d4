"""The status report of the system, as seen by one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..controllers.roster import SILENCE_TIMEOUT_S
from ..status import AgentState
from ..status import AgentStatus
from ..status import EntryStatus
from ..status import StatusReport
from ..status import StoreStatus
from ..status import ZoneStatus


if TYPE_CHECKING:
    from ..messages import AgentObservation
    from .daemon import Entry


MS_PER_S = 1000


async def build_status(entry: Entry) -> StatusReport:
    """Builds the report from the observations of all reachable entries."""
    observations = await entry.other_entries.list_observations()
    return StatusReport(
        entries=_list_entries(entry),
        store=_describe_store(entry),
        availability_zones=_list_zones(entry, observations),
        agents=[_describe_agent(entry, observation) for observation in observations],
    )


def _list_entries(entry: Entry) -> list[EntryStatus]:
    now = entry.clock()
    statuses = [
        EntryStatus(entry.address.incarnation, entry.address.link, True, 0),
    ]
    for address in entry.other_entries.addresses:
        last_seen_at = entry.other_entries.replied_at.get(address.incarnation)
        heard_ms = (
            None if last_seen_at is None else int((now - last_seen_at) * MS_PER_S)
        )
        statuses.append(EntryStatus(address.incarnation, address.link, False, heard_ms))
    return statuses


def _describe_store(entry: Entry) -> StoreStatus:
    age_ms = entry.configuration.confirmed_age_ms(entry.clock())
    return StoreStatus(
        reachable=bool(entry.sync.is_reachable),
        confirmed_ms=None if age_ms < 0 else age_ms,
        revision=entry.configuration.revision,
    )


def _list_zones(entry: Entry, observations: list[AgentObservation]) -> list[ZoneStatus]:
    records = entry.configuration.document.availability_zones
    names = {observation.agent.availability_zone for observation in observations}
    zones = []
    for name in sorted(names | set(records)):
        record = records.get(name)
        ticket = 0 if record is None else record.ticket
        zones.append(ZoneStatus(name, entry.is_zone_in_service(name), ticket))
    return zones


def _describe_agent(entry: Entry, observation: AgentObservation) -> AgentStatus:
    agent = observation.agent
    load = observation.load
    return AgentStatus(
        incarnation=agent.address.incarnation,
        link=agent.address.link,
        availability_zone=agent.availability_zone,
        rack=agent.rack,
        target=agent.target,
        services=agent.services,
        slots=agent.slots,
        connections=agent.connections,
        running=load.running,
        queued=load.queued,
        waiting=load.waiting,
        completed=load.completed,
        failed=load.failed,
        revision=observation.revision,
        state=_find_state(entry, observation),
        heard_ms=observation.last_seen_age_ms,
    )


def _find_state(entry: Entry, observation: AgentObservation) -> AgentState:
    if observation.last_seen_age_ms > SILENCE_TIMEOUT_S * MS_PER_S:
        return AgentState.SILENT
    if observation.leaving:
        return AgentState.LEAVING
    if not entry.is_zone_in_service(observation.agent.availability_zone):
        return AgentState.OUT_OF_SERVICE
    if observation.agent.address.incarnation in entry.roster.ejected:
        return AgentState.EJECTED
    return AgentState.IN_SERVICE
