"""The platform's balancer: which edge machine a new channel reaches."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .deployment import Deployment


CHECK_INTERVAL_S = 1.0
MAX_MISSES = 2


class Balancer:
    """Checks the readiness of each edge machine once a second.

    Attributes:
        addresses: Where channels to each edge machine are opened.
        misses: Misses in a row of each of them.
    """

    def __init__(
        self, deployment: Deployment, addresses: list[str], rng: random.Random
    ) -> None:
        self.deployment = deployment
        self.addresses = addresses
        self.rng = rng
        self.misses = [0] * len(addresses)
        for number in range(len(addresses)):
            threading.Thread(target=self._check, args=(number,), daemon=True).start()

    def _check(self, number: int) -> None:
        edge = self.deployment.edges[number]
        time.sleep(self.rng.uniform(0, CHECK_INTERVAL_S))
        while True:
            wake_at = time.monotonic() + CHECK_INTERVAL_S
            if self.deployment.is_ready(edge):
                if self.misses[number] >= MAX_MISSES:
                    name = edge.program.name
                    self.deployment.record.add("balancer", f"{name} is in rotation")
                self.misses[number] = 0
            else:
                self.misses[number] += 1
            time.sleep(max(0.0, wake_at - time.monotonic()))

    def choose(self, home: int | None = None) -> str:
        """Returns where a new channel goes: to the client's home, or to any node."""
        usable = [
            number
            for number in range(len(self.addresses))
            if self.misses[number] < MAX_MISSES
        ]
        if home is not None and (home in usable or not usable):
            return self.addresses[home]
        return self.addresses[self.rng.choice(usable or range(len(self.addresses)))]
