"""Numbers of attempts at tasks, as the agent's target has seen them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


# A caller sends a job again within seconds; an agent starts about a hundred tasks a
# second.
MAX_TASKS = 4000


@dataclass(slots=True)
class AttemptNumbers:
    """The highest attempt of each recent task; the oldest tasks are forgotten."""

    highest: dict[str, int] = field(default_factory=dict)

    def allocate(self, task: str, wanted: int) -> int:
        """Returns an attempt number that the target has not seen for the task."""
        attempt = max(wanted, self.highest.pop(task, 0) + 1)
        self.highest[task] = attempt
        if len(self.highest) > MAX_TASKS:
            del self.highest[next(iter(self.highest))]
        return attempt
