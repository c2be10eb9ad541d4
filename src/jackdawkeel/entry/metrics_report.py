"""The metrics of an entry, including the counts that agents report."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..link.message_counts import count_messages
from ..metrics import CounterName
from ..metrics import GaugeName


if TYPE_CHECKING:
    from .daemon import Entry


def render_metrics(entry: Entry) -> str:
    """Copies the counts kept by other components and renders all metrics as text."""
    metrics = entry.metrics
    node = entry.node
    count_messages(metrics, node)
    metrics.replace_counts(CounterName.CLIENT_REFUSALS, entry.refusals.read())
    metrics.replace_counts(CounterName.ENVELOPES_SENT, _count_envelopes(entry))
    received = {entry.address.incarnation: node.envelopes_received}
    metrics.replace_counts(CounterName.ENVELOPES_RECEIVED, received)
    metrics.replace_counts(CounterName.TASKS, _count_tasks(entry))
    metrics.replace_counts(CounterName.STORE_CALLS, _count_store_calls(entry))
    metrics.set_gauge(GaugeName.AGENTS, len(entry.roster.agents))
    metrics.set_gauge(GaugeName.ENTRIES, len(entry.other_entries.addresses) + 1)
    metrics.set_gauge(GaugeName.REQUESTS_IN_FLIGHT, entry.requests_in_flight)
    metrics.set_gauge(GaugeName.CONFIGURATION_REVISION, entry.configuration.revision)
    return metrics.render_text()


def _count_envelopes(entry: Entry) -> Counter[str]:
    counts = Counter({entry.address.incarnation: entry.node.envelopes_sent})
    for incarnation, view in entry.roster.agents.items():
        counts[incarnation] = view.heartbeat.load.envelopes_sent
    return counts


def _count_tasks(entry: Entry) -> Counter[str]:
    counts: Counter[str] = Counter()
    for view in entry.roster.agents.values():
        counts["done"] += view.heartbeat.load.completed
        counts["failed"] += view.heartbeat.load.failed
    return counts


def _count_store_calls(entry: Entry) -> Counter[str]:
    return Counter({kind.value: n for kind, n in entry.store.calls.read().items()})
