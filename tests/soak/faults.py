"""Faults from outside the processes: signals, connections, store and targets.

A fault begins when its function is called and returns how it ends. It notes what it
touches, so that the judge knows who was in touch.
"""

from __future__ import annotations

import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from subprocess import TimeoutExpired
from typing import TYPE_CHECKING

from tests.standins.proxy import NO_FAULT
from tests.standins.proxy import Fault


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.standins.platform_fleet import AgentHandle
    from tests.standins.platform_fleet import EntryHandle
    from tests.standins.platform_fleet import PlatformFleet
    from tests.standins.proxy import FaultProxy

    End = Callable[[], None]
    Begin = Callable[["Disruptions", random.Random], End]
    Process = EntryHandle | AgentHandle


# Time from SIGTERM to SIGKILL, as the fleet's settings name it.
GRACE_S = 6.0
MAX_DELAY_S = 0.1
CLOCK_RATES = (0.97, 1.03)
STORE = "store"


@dataclass(slots=True)
class Span:
    """When something was disrupted; it ends at infinity while it lasts."""

    kind: str
    began_at: float
    ended_at: float = float("inf")


@dataclass(slots=True)
class Window:
    """When an operator's intent must hold, from its bound on until it is taken back."""

    index: int
    holds_from: float
    until: float = float("inf")


@dataclass(slots=True)
class Disruptions:
    """What was disrupted when, by name of the process or the store.

    Attributes:
        fleet: The fleet.
        spans: Disruptions by name of the process, its target or the store.
        drains: Targets that reported that they drain, from the acknowledgement on.
        evacuations: Availability zones that were taken out, by index of the agent.
    """

    fleet: PlatformFleet
    spans: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    drains: list[Window] = field(default_factory=list)
    evacuations: list[Window] = field(default_factory=list)

    def begin(self, name: str, kind: str) -> Span:
        """Notes that a disruption begins."""
        span = Span(kind, time.monotonic())
        self.spans[name].append(span)
        return span

    def is_calm(self, name: str, since: float, until: float) -> bool:
        """Returns whether nothing disrupted a process or the store in a time."""
        return not self.kinds(name, since, until)

    def kinds(self, name: str, since: float, until: float) -> set[str]:
        """Returns the kinds of disruption of a process in a time."""
        return {
            span.kind
            for span in list(self.spans[name])
            if span.began_at <= until and span.ended_at >= since
        }

    def pick(self, rng: random.Random) -> Process:
        """Returns any process."""
        handles: list[Process] = [*self.fleet.entries, *self.fleet.agents]
        return rng.choice(handles)


def do_nothing() -> None:
    """Ends a fault that needs no end."""


def kill(disruptions: Disruptions, rng: random.Random) -> End:
    """Kills a process; it starts again at the end."""
    return _end_process(disruptions, disruptions.pick(rng), "kill")


def terminate(disruptions: Disruptions, rng: random.Random) -> End:
    """Asks a process to end; it starts again at the end."""
    return _end_process(disruptions, disruptions.pick(rng), "terminate")


def _end_process(disruptions: Disruptions, handle: Process, kind: str) -> End:
    name = handle.process.name
    span = disruptions.begin(name, kind)
    signalled = handle.process.process
    if kind == "kill":
        handle.process.kill()
    else:
        handle.process.terminate()

    def end() -> None:
        # An overlapping fault may have started the process again already.
        if handle.process.process is signalled:
            with suppress(TimeoutExpired):
                signalled.wait(max(0.0, span.began_at + GRACE_S - time.monotonic()))
            handle.process.restart()
        span.ended_at = time.monotonic()

    return end


def pause(disruptions: Disruptions, rng: random.Random) -> End:
    """Stops a process and lets it go on."""
    handle = disruptions.pick(rng)
    span = disruptions.begin(handle.process.name, "pause")
    handle.process.suspend()

    def end() -> None:
        handle.process.resume()
        span.ended_at = time.monotonic()

    return end


def _disturb(disruptions: Disruptions, handle: Process, what: str, fault: Fault) -> End:
    span = disruptions.begin(handle.process.name, what)
    proxy = handle.proxies[what]
    proxy.set_fault(fault)

    def end() -> None:
        proxy.set_fault(NO_FAULT)
        span.ended_at = time.monotonic()

    return end


def silence_links(disruptions: Disruptions, rng: random.Random) -> End:
    """Lets a process hear nobody, while all hear it."""
    return _disturb(disruptions, disruptions.pick(rng), "link", Fault(blackhole=True))


def delay_links(disruptions: Disruptions, rng: random.Random) -> End:
    """Delays all that a process hears."""
    fault = Fault(delay_s=rng.uniform(0.0, MAX_DELAY_S))
    return _disturb(disruptions, disruptions.pick(rng), "link", fault)


def cut_store(disruptions: Disruptions, rng: random.Random) -> End:
    """Cuts a process off from the store, by resets or by silence."""
    fault = rng.choice([Fault(disconnect=True), Fault(blackhole=True)])
    return _disturb(disruptions, disruptions.pick(rng), "store", fault)


def disturb_target(disruptions: Disruptions, rng: random.Random) -> End:
    """Delays, resets or silences an agent's calls of its target."""
    delayed = Fault(delay_s=rng.uniform(0.0, MAX_DELAY_S))
    fault = rng.choice([Fault(disconnect=True), Fault(blackhole=True), delayed])
    handle = rng.choice(disruptions.fleet.agents)
    return _disturb(disruptions, handle, "target", fault)


def disturb_callers(disruptions: Disruptions, rng: random.Random) -> End:
    """Resets or silences the callers of an entry."""
    fault = rng.choice([Fault(disconnect=True), Fault(blackhole=True)])
    handle = rng.choice(disruptions.fleet.entries)
    return _disturb(disruptions, handle, "callers", fault)


def silence_present(disruptions: Disruptions, rng: random.Random) -> End:
    """Lets the present connections to a process go silent; new ones work.

    Those of callers are closed at the end: a caller that used one later would have no
    answer, and no fault to show for it.
    """
    handle = disruptions.pick(rng)
    span = disruptions.begin(handle.process.name, "silent connections")
    proxies: list[FaultProxy] = list(handle.proxies.values())
    for proxy in proxies:
        proxy.blackhole_open_connections()

    def end() -> None:
        if "callers" in handle.proxies:
            handle.proxies["callers"].close_blackholed()
        span.ended_at = time.monotonic()

    return end


def fail_store(disruptions: Disruptions, rng: random.Random) -> End:
    """Lets the store refuse, cut, stay silent or lose its answers."""
    store = disruptions.fleet.store
    span = disruptions.begin(STORE, "store")
    kind = rng.choice(["refuse", "limit", "cut", "lose", "silent"])
    if kind == "refuse":
        store.refusal = 503
    elif kind == "limit":
        store.refusal = 429
    elif kind == "cut":
        store.calls_to_drop = rng.randint(1, 20)
    elif kind == "lose":
        store.lose_answers = rng.randint(1, 20)
    else:
        store.unresponsive_until = time.monotonic() + 60.0

    def end() -> None:
        store.refusal = 0
        store.calls_to_drop = 0
        store.lose_answers = 0
        store.unresponsive_until = 0.0
        span.ended_at = time.monotonic()

    return end


def harm_target(disruptions: Disruptions, rng: random.Random) -> End:
    """Lets a target fail, slow down, or carry out orders late or unanswered."""
    faults = rng.choice(disruptions.fleet.agents).target.faults
    usual = faults.run_s
    kind = rng.choice(["fail", "slow", "late", "unanswered"])
    if kind == "fail":
        faults.fail_all = True
    elif kind == "slow":
        faults.run_s = usual * rng.uniform(2.0, 10.0)
    elif kind == "late":
        faults.delay_s = rng.uniform(0.1, 1.0)
        faults.delay_starts = rng.randint(1, 5)
    else:
        faults.lose_start_answers = rng.randint(1, 5)

    def end() -> None:
        faults.fail_all = False
        faults.run_s = usual
        faults.delay_starts = 0
        faults.lose_start_answers = 0

    return end


def crash_target(disruptions: Disruptions, rng: random.Random) -> End:
    """Ends all that a target runs; its next life has a clock that goes wrong."""
    target = rng.choice(disruptions.fleet.agents).target
    target.faults.clock_rate = rng.uniform(*CLOCK_RATES)
    target.crash()
    return do_nothing


def drain_target(disruptions: Disruptions, rng: random.Random) -> End:
    """Lets a target report that it drains."""
    index = rng.randrange(len(disruptions.fleet.agents))
    target = disruptions.fleet.agents[index].target
    if target.state == "draining":
        return do_nothing
    target.drain_acknowledged_at = float("inf")
    target.state = "draining"

    def end() -> None:
        acknowledged_at = target.drain_acknowledged_at
        disruptions.drains.append(Window(index, acknowledged_at, time.monotonic()))
        target.state = "ready"

    return end


def evacuate_zone(disruptions: Disruptions, rng: random.Random) -> End:
    """Takes an availability zone out of service."""
    index = rng.randrange(len(disruptions.fleet.agents))
    key = f"op/evacuate/{disruptions.fleet.agents[index].zone}"
    if key in disruptions.fleet.store.keys(key):
        return do_nothing
    disruptions.fleet.store.put(key, b"{}")
    window = Window(index, time.monotonic())
    disruptions.evacuations.append(window)

    def end() -> None:
        window.until = time.monotonic()
        disruptions.fleet.store.delete(key)

    return end


def change_configuration(disruptions: Disruptions, rng: random.Random) -> End:
    """Writes new versions of the configuration, some in quick succession."""
    for _ in range(rng.randint(1, 3)):
        disruptions.fleet.put_configuration()
    return do_nothing


FAULTS: dict[str, Begin] = {
    "kill": kill,
    "terminate": terminate,
    "pause": pause,
    "silence_links": silence_links,
    "delay_links": delay_links,
    "cut_store": cut_store,
    "disturb_target": disturb_target,
    "disturb_callers": disturb_callers,
    "silence_present": silence_present,
    "fail_store": fail_store,
    "harm_target": harm_target,
    "crash_target": crash_target,
    "drain_target": drain_target,
    "evacuate_zone": evacuate_zone,
    "change_configuration": change_configuration,
}
