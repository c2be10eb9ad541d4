"""Attempt numbers of tasks, as the agent's target has seen them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


# Callers resubmit a job within seconds, and an agent starts about 100 tasks per second.
MAX_TASKS = 4000


@dataclass(slots=True)
class AttemptNumbers:
    """The highest attempt number of each recent task; the oldest are evicted."""

    highest: dict[str, int] = field(default_factory=dict)

    def allocate(self, task: str, wanted: int) -> int:
        """Returns an attempt number that is new to the target for this task."""
        attempt = max(wanted, self.highest.pop(task, 0) + 1)
        self.highest[task] = attempt
        if len(self.highest) > MAX_TASKS:
            del self.highest[next(iter(self.highest))]
        return attempt
