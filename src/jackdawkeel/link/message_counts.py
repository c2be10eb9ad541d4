"""The message counters of a link node as metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics import CounterName


if TYPE_CHECKING:
    from ..metrics import Metrics
    from .node import LinkNode


def count_messages(metrics: Metrics, node: LinkNode) -> None:
    """Sets the message counters of the metrics to those of a link node."""
    metrics.replace_counts(CounterName.MESSAGES_SENT, node.sent)
    metrics.replace_counts(CounterName.MESSAGES_RECEIVED, node.received)
    metrics.replace_counts(CounterName.MESSAGES_DROPPED, node.dropped)
