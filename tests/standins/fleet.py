"""A fleet of real processes: store, targets, agents and entries."""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import urllib3
from urllib3.exceptions import HTTPError

from tests.standins.caller import Caller
from tests.standins.processes import ManagedProcess
from tests.standins.processes import loopback_host
from tests.standins.processes import pick_address
from tests.standins.processes import read_events
from tests.standins.processes import wait_until
from tests.standins.proxy import FaultProxy
from tests.standins.target import TaskStart


if TYPE_CHECKING:
    from collections.abc import Callable


SERVICE = "nightly-counts"
FIRST_TICKET = 1
FIRST_ENTRY_HOST = 2
FIRST_AGENT_HOST = 11
STANDIN_HOST = 1
AGENTS_PER_RACK = 3
REQUEST_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """A target stand-in that runs in its own process."""

    process: ManagedProcess
    url: str


@dataclass(frozen=True, slots=True)
class AgentProcess:
    """An agent and its target.

    Attributes:
        process: The agent's process.
        host: IP address of its link.
        advertised: Link address that the agent advertises to peers.
        availability_zone: Availability zone of the agent.
        target: Target that the agent serves.
        proxy: Proxy in front of its link; None if the fleet has no proxies.
    """

    process: ManagedProcess
    host: str
    advertised: str
    availability_zone: str
    target: Target
    proxy: FaultProxy | None


@dataclass(frozen=True, slots=True)
class EntryProcess:
    """An entry.

    Attributes:
        process: The entry's process.
        host: IP address of its link.
        caller: HTTP client of the entry.
        link: Address on which it listens for other processes.
        proxy: Proxy in front of its link; None if the fleet has no proxies.
    """

    process: ManagedProcess
    host: str
    caller: Caller
    link: str
    proxy: FaultProxy | None


class Fleet:
    """Runs a store, targets, agents and entries until the context exits.

    Args:
        zones: Number of availability zones; their names are ``west-1``, ``west-2`` etc.
        agents_per_zone: Number of agents in each availability zone.
        entries: Number of entries.
        slots: Slots of each target.
        proxied: Whether peers connect to each link through a ``FaultProxy``.
        services: Services of each target; the first ticket configures only ``SERVICE``.
        entry_settings: Environment variables of the entries.
    """

    def __init__(
        self,
        zones: int = 3,
        agents_per_zone: int = 1,
        entries: int = 2,
        slots: int = 8,
        proxied: bool = False,
        services: str = SERVICE,
        entry_settings: dict[str, str] | None = None,
    ) -> None:
        self.zones = [f"west-{index + 1}" for index in range(zones)]
        self.agents_per_zone = agents_per_zone
        self.entry_count = entries
        self.slots = slots
        self.proxied = proxied
        self.services = services
        self.entry_settings = entry_settings or {}
        self.agents: list[AgentProcess] = []
        self.entries: list[EntryProcess] = []
        self.processes: list[ManagedProcess] = []
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)
        self.stack = ExitStack()

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            directory = tempfile.TemporaryDirectory(prefix="jackdawkeel-")
            self.folder = Path(stack.enter_context(directory))
            self.stack = stack
            try:
                self._start_store()
                self._start_agents()
                self._start_entries()
                self._wait_until_ready()
            except BaseException:
                self.print_log_tails()
                raise
            self.stack = stack.pop_all()
        return self

    def __exit__(self, exc_type: type[BaseException] | None, *_: object) -> None:
        if exc_type is not None:
            self.print_log_tails()
        self.stack.close()

    def _run(
        self, name: str, *arguments: str, settings: dict[str, str] | None = None
    ) -> ManagedProcess:
        process = ManagedProcess(name, list(arguments), self.folder, settings)
        self.stack.enter_context(process)
        self.processes.append(process)
        return process

    def _start_store(self) -> None:
        address = pick_address(loopback_host(STANDIN_HOST))
        self.store_url = f"http://{address}"
        module = "tests.standins.store"
        self.store = self._run("store", module, "--listen", address)
        self.wait_until(
            lambda: self.responds_ok(f"{self.store_url}/control/record"), "the store"
        )

    def _start_agents(self) -> None:
        for zone in self.zones:
            for _ in range(self.agents_per_zone):
                self.agents.append(self._start_agent(zone))

    def _start_agent(self, zone: str) -> AgentProcess:
        index = len(self.agents)
        target = self._start_target(index)
        host = loopback_host(FIRST_AGENT_HOST + index)
        link = pick_address(host)
        proxy, advertised = self._open_proxy(host, link)
        process = self._run(
            f"agent-{index + 1}",
            *("jackdawkeel", "agent", "--link", link, "--advertise", advertised),
            *("--store", self.store_url, "--availability-zone", zone),
            *("--rack", f"rack-{index // AGENTS_PER_RACK + 1}"),
            *("--target", target.url, "--services", self.services),
            *("--slots", str(self.slots)),
        )
        return AgentProcess(process, host, advertised, zone, target, proxy)

    def _start_target(self, index: int) -> Target:
        address = pick_address(loopback_host(STANDIN_HOST))
        process = self._run(
            f"target-{index + 1}",
            *("tests.standins.target", "--listen", address, "--seed", str(index)),
        )
        url = f"http://{address}"
        self.wait_until(lambda: self.responds_ok(f"{url}/record"), "a target")
        return Target(process, url)

    def _start_entries(self) -> None:
        for index in range(self.entry_count):
            host = loopback_host(FIRST_ENTRY_HOST + index)
            listen = pick_address(host)
            link = pick_address(host)
            proxy, advertised = self._open_proxy(host, link)
            process = self._run(
                f"entry-{index + 1}",
                *("jackdawkeel", "entry", "--listen", listen, "--link", link),
                *("--advertise", advertised, "--store", self.store_url),
                *("--availability-zone", self.zones[index % len(self.zones)]),
                settings=self.entry_settings,
            )
            caller = Caller(f"http://{listen}")
            self.entries.append(EntryProcess(process, host, caller, link, proxy))

    def _open_proxy(self, host: str, link: str) -> tuple[FaultProxy | None, str]:
        if not self.proxied:
            return None, link
        proxy = self.stack.enter_context(FaultProxy(pick_address(host), link))
        return proxy, proxy.address

    def _wait_until_ready(self) -> None:
        self.wait_until(self.is_healthy, "every entry to be healthy")
        ticket: dict[str, Any] = {"services": {SERVICE: {}}}
        reply = self.entries[0].caller.submit_ticket(FIRST_TICKET, ticket)
        if reply.status != 200:
            raise AssertionError(f"the entry refused the first ticket: {reply}")
        self.wait_until(self.is_fully_connected, "every entry to list every agent")

    def is_healthy(self) -> bool:
        """Whether every entry answers its health check with status 200."""
        return all(
            self.responds_ok(f"{entry.caller.url}/healthz") for entry in self.entries
        )

    def is_fully_connected(self) -> bool:
        """Whether every agent reports to every entry itself, which issues job ids."""
        logs = [agent.process.log for agent in self.agents if agent.process.is_running]
        agents = find_incarnations(logs)
        if agents is None:
            return False
        for entry in self.entries:
            if not agents <= find_reporting_agents(entry.process.log):
                return False
            status = str(entry.caller.get_status().body)
            if not all(agent.advertised in status for agent in self.agents):
                return False
            ids = {"service": SERVICE, "count": 1}
            if entry.caller.request("POST", "/v1/ids", ids).status != 200:
                return False
        return True

    def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float = 20.0
    ) -> None:
        """Waits until a condition holds.

        Raises:
            AssertionError: If a process of the fleet exits with an error by itself.
            TimeoutError: If the condition does not hold in time.
        """
        wait_until(lambda: self._check_condition(condition), description, timeout_s)

    def _check_condition(self, condition: Callable[[], bool]) -> bool:
        for process in self.processes:
            if (process.process.poll() or 0) > 0:
                raise AssertionError(f"{process.name} ended with an error")
        try:
            return condition()
        except HTTPError:
            return False

    def responds_ok(self, url: str) -> bool:
        """Whether a GET request for a URL succeeds with status 200."""
        try:
            return self.http.request("GET", url).status == 200
        except HTTPError:
            return False

    def control(self, url: str, **fields: Any) -> Any:
        """Sets fields of a stand-in's behaviour; returns its response."""
        return self.http.request("POST", f"{url}/control", json=fields).json()

    def read_target_record(self, agent: AgentProcess) -> Any:
        """Returns the record of an agent's target."""
        return self.http.request("GET", f"{agent.target.url}/record").json()

    def starts(self) -> list[TaskStart]:
        """Returns the task starts that all targets recorded, sorted by time."""
        starts = []
        for agent in self.agents:
            record = self.read_target_record(agent)
            starts += [TaskStart(**start) for start in record["starts"]]
        return sorted(starts, key=lambda start: start.at)

    def count_starts(self) -> Counter[str]:
        """Returns the number of starts of each task, by ``Task-Id``."""
        return Counter(start.task_id for start in self.starts())

    def read_store_record(self) -> Any:
        """Returns the record of the store stand-in."""
        url = f"{self.store_url}/control/record"
        return self.http.request("GET", url).json()

    def entry_and_agent_processes(self) -> list[ManagedProcess]:
        """Returns the processes of the entries and of the agents."""
        entries = [entry.process for entry in self.entries]
        return [*entries, *(agent.process for agent in self.agents)]

    def proxies(self) -> list[FaultProxy]:
        """Returns the proxies in front of all links."""
        processes: list[EntryProcess | AgentProcess] = [*self.entries, *self.agents]
        return [process.proxy for process in processes if process.proxy is not None]

    def print_log_tails(self) -> None:
        """Prints the last lines of each process's log to standard error."""
        for process in self.processes:
            print(process.log_tail(), file=sys.stderr)


def find_incarnations(logs: list[Path]) -> set[str] | None:
    """Returns the newest incarnation in each log, or None if a log is still empty."""
    events = [read_events(log) for log in logs]
    return {log[-1]["task_uuid"] for log in events} if all(events) else None


def find_reporting_agents(log: Path) -> set[str]:
    """Returns the incarnations that have reported to the present process of an entry.

    The status report of an entry also lists agents that only other entries observe.
    """
    agents: set[str] = set()
    for event in read_events(log):
        if event["message_type"] == "process_started":
            agents.clear()
        elif event["message_type"] == "agent_heard":
            agents.add(event["agent"])
    return agents
