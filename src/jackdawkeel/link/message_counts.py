"""Shows what a link sent, received and dropped among the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics import CounterName


if TYPE_CHECKING:
    from ..metrics import Metrics
    from .node import LinkNode


def count_messages(metrics: Metrics, node: LinkNode) -> None:
    """Sets the counters of messages to those of a link."""
    metrics.replace_counts(CounterName.MESSAGES_SENT, node.sent)
    metrics.replace_counts(CounterName.MESSAGES_RECEIVED, node.received)
    metrics.replace_counts(CounterName.MESSAGES_DROPPED, node.dropped)
