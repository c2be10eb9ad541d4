"""Configuration and evacuated zones, as this process has read them from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import EventName


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..logs import EventLog
    from ..store.interface import KeyValue
    from .operator_keys import OperatorKeys
    from .specification import QueueConfiguration


class OperatorState:
    """The newest configuration and evacuated zones; older revisions are ignored.

    Attributes:
        configuration: The configuration in force; None before the first one is read.
        evacuated_zones: Availability zones that get no new tasks.
        revision: Store revision up to which all changes are applied; 0 before the
            first.
    """

    def __init__(self, keys: OperatorKeys, log: EventLog) -> None:
        self.keys = keys
        self.log = log
        self.configuration: QueueConfiguration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.revision = 0
        self.zone_revisions: dict[str, int] = {}

    def apply_snapshot(self, items: Iterable[KeyValue], revision: int) -> None:
        """Applies all keys as read at a revision or later."""
        zones = set()
        for item in items:
            self._apply_configuration(item.key, item.value)
            zone = self.keys.parse_evacuation_key(item.key)
            if zone is not None:
                zones.add(zone)
                self.zone_revisions[zone] = item.mod_revision
        for zone in self.evacuated_zones - zones:
            # A zone evacuated by a change after this snapshot stays evacuated.
            if self.zone_revisions.get(zone, 0) > revision:
                zones.add(zone)
        self._set_zones(frozenset(zones))
        self.revision = max(self.revision, revision)

    def apply_change(self, key: bytes, value: bytes | None, revision: int) -> None:
        """Applies one change; the value is None if the key was deleted."""
        if value is not None:
            self._apply_configuration(key, value)
        zone = self.keys.parse_evacuation_key(key)
        if zone is not None and revision > self.zone_revisions.get(zone, 0):
            self.zone_revisions[zone] = revision
            changed = {zone}
            zones = self.evacuated_zones
            self._set_zones(zones - changed if value is None else zones | changed)
        self.revision = max(self.revision, revision)

    def _apply_configuration(self, key: bytes, value: bytes) -> None:
        if key != self.keys.configuration_key:
            return
        decoded = self.keys.decode_configuration(value)
        if decoded.is_err():
            reason = str(decoded.unwrap_err())
            self.log.record(
                EventName.INTERNAL_ERROR, doing="configuration", trace=reason
            )
            return
        configuration = decoded.unwrap()
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.log.record(
            EventName.QUEUES_APPLIED,
            version=configuration.version,
            queues=len(configuration.queues),
            replaced_version=None if current is None else current.version,
        )

    def _set_zones(self, zones: frozenset[str]) -> None:
        if zones != self.evacuated_zones:
            self.log.record(EventName.ZONES_EVACUATED, zones=sorted(zones))
        self.evacuated_zones = zones
