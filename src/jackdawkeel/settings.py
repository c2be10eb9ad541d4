"""Settings of the daemons and client commands, from flags and environment."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TypeVar

from result import as_result

from .connections.limits import DEFAULT_MEMORY_BYTES
from .connections.limits import MIB
from .connections.limits import MachineLimits
from .connections.limits import read_machine_limits
from .setting_values import MAX_PORT
from .setting_values import Address
from .setting_values import SettingError
from .setting_values import parse_address
from .setting_values import parse_base_url
from .setting_values import parse_count
from .setting_values import parse_dialable_address
from .setting_values import parse_http_base_url
from .setting_values import parse_http_url
from .setting_values import parse_name
from .setting_values import parse_names


ENVIRONMENT_PREFIX = "JACKDAWKEEL_"
DEFAULT_THREADS = 256
MAX_THREADS = 10_000
DEFAULT_SLOTS = 8
MAX_SLOTS = 100_000
DEFAULT_CONNECTIONS = 64
MAX_CONNECTIONS = 100_000
DEFAULT_TIMEOUT_MS = 75_000
DEFAULT_MEMORY_MB = DEFAULT_MEMORY_BYTES // MIB
MAX_MEMORY_MB = 1024 * 1024
MAX_DESCRIPTORS = 1024 * 1024
DEFAULT_METRICS_PORT = 9105
DEFAULT_REPORTED_ENTRIES = 8
MAX_REPORTED_ENTRIES = 1000
MAX_TIMEOUT_MS = 7_200_000
MS_PER_S = 1000

Value = TypeVar("Value")
Flags = Mapping[str, str | None]
Environment = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Option:
    """A setting that a flag or an environment variable sets.

    Attributes:
        name: Identifier, such as ``availability_zone``.
        metavar: Placeholder of the value in the help text.
        help: One line for the help text.
        default: Text used if the setting is not given, or None.
        is_required: Whether the setting must be given.
    """

    name: str
    metavar: str
    help: str
    default: str | None = None
    is_required: bool = False

    @property
    def flag(self) -> str:
        """The flag, such as ``--availability-zone``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as ``JACKDAWKEEL_AVAILABILITY_ZONE``."""
        return ENVIRONMENT_PREFIX + self.name.upper()


LISTEN = Option(
    "listen", "IP:PORT", "address to listen on for callers", is_required=True
)
LINK = Option(
    "link", "IP:PORT", "address to listen on for other processes", is_required=True
)
ADVERTISE = Option(
    "advertise",
    "IP:PORT",
    "link address announced to other processes (default: the link)",
)
STORE = Option("store", "URL", "the platform's key-value service", is_required=True)
AVAILABILITY_ZONE = Option(
    "availability_zone", "NAME", "availability zone of the process", is_required=True
)
RACK = Option("rack", "NAME", "rack of the machine", is_required=True)
TARGET = Option("target", "URL", "the agent's target", is_required=True)
SERVICES = Option("services", "A,B", "services that the target runs", is_required=True)
SLOTS = Option(
    "slots", "COUNT", "tasks that the target runs concurrently", str(DEFAULT_SLOTS)
)
CONNECTIONS = Option(
    "connections", "COUNT", "connections to the target", str(DEFAULT_CONNECTIONS)
)
THREADS = Option(
    "threads", "COUNT", "concurrent requests of callers", str(DEFAULT_THREADS)
)
MEMORY_MB = Option(
    "memory_mb", "MB", "memory that the process may use", str(DEFAULT_MEMORY_MB)
)
DESCRIPTORS = Option(
    "max_descriptors",
    "COUNT",
    "descriptors that the process may open (default: the system's limit)",
)
ENTRY = Option("entry", "URL", "an entry, such as http://IP:PORT", is_required=True)
TIMEOUT_MS = Option(
    "timeout_ms", "MS", "timeout of the wait for an answer", str(DEFAULT_TIMEOUT_MS)
)

METRICS_PORT = Option(
    "metrics_port", "PORT", "port that serves the metrics", str(DEFAULT_METRICS_PORT)
)
REPORTED_ENTRIES = Option(
    "reported_entries",
    "COUNT",
    "entries that an agent reports to",
    str(DEFAULT_REPORTED_ENTRIES),
)

PLATFORM_OPTIONS = (METRICS_PORT, ADVERTISE)
PLATFORM_AGENT_OPTIONS = (*PLATFORM_OPTIONS, REPORTED_ENTRIES)
ENTRY_OPTIONS = (
    LISTEN,
    LINK,
    ADVERTISE,
    STORE,
    AVAILABILITY_ZONE,
    THREADS,
    MEMORY_MB,
    DESCRIPTORS,
)
AGENT_OPTIONS = (
    LINK,
    ADVERTISE,
    STORE,
    AVAILABILITY_ZONE,
    RACK,
    TARGET,
    SERVICES,
    SLOTS,
    CONNECTIONS,
)
CLIENT_OPTIONS = (ENTRY, TIMEOUT_MS)


@dataclass(frozen=True, slots=True)
class DaemonOptions:
    """Settings of a platform process that the platform does not provide.

    Attributes:
        metrics_port: Port that serves the metrics.
        advertised: Link address announced to other processes; None means the address
            that the process listens on.
        reported_entries: Number of entries that an agent reports to; all of them if
            there are fewer.
    """

    metrics_port: int
    advertised: Address | None = None
    reported_entries: int = DEFAULT_REPORTED_ENTRIES


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        listen_host: IP address to listen on for callers.
        listen_port: Port to listen on for callers.
        link: Listening address for other processes, as ``tcp://IP:PORT``.
        advertise: Link address announced to other processes.
        store: URL of the platform's key-value service.
        availability_zone: Availability zone of the process.
        threads: Callers that may wait for answers at the same time.
        machine: Memory and descriptors that the process may use.
    """

    listen_host: str
    listen_port: int
    link: str
    advertise: str
    store: str
    availability_zone: str
    threads: int = DEFAULT_THREADS
    machine: MachineLimits = field(default_factory=read_machine_limits)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        link: Listening address for other processes, as ``tcp://IP:PORT``.
        advertise: Link address announced to other processes.
        store: URL of the platform's key-value service.
        availability_zone: Availability zone of the process.
        rack: Rack of the agent's machine.
        target: URL of the agent's target.
        services: Names of the services that the target runs.
        slots: Tasks that the target runs concurrently.
        connections: Connections that the target accepts.
    """

    link: str
    advertise: str
    store: str
    availability_zone: str
    rack: str
    target: str
    services: list[str]
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of a client command, which sends requests to an entry.

    Attributes:
        entry: URL of the entry, without a path.
        timeout_ms: Timeout of the wait for an answer, in milliseconds.
    """

    entry: str
    timeout_ms: int = DEFAULT_TIMEOUT_MS

    @property
    def timeout_s(self) -> float:
        """The timeout of the wait for an answer, in seconds."""
        return self.timeout_ms / MS_PER_S


@as_result(SettingError)
def read_entry_settings(flags: Flags, environment: Environment) -> EntrySettings:
    """Reads and validates the settings of an entry; flags take precedence."""
    listen = _read(LISTEN, parse_address, flags, environment)
    link, advertise = _read_link(flags, environment)
    return EntrySettings(
        listen_host=listen.host,
        listen_port=listen.port,
        link=link,
        advertise=advertise,
        store=_read(STORE, parse_http_base_url, flags, environment),
        availability_zone=_read(AVAILABILITY_ZONE, parse_name, flags, environment),
        threads=_read(THREADS, _count_up_to(MAX_THREADS), flags, environment),
        machine=_read_machine(flags, environment),
    )


def _read_machine(flags: Flags, environment: Environment) -> MachineLimits:
    memory_mb = _read(MEMORY_MB, _count_up_to(MAX_MEMORY_MB), flags, environment)
    descriptors = read_machine_limits().descriptors
    if read_text(DESCRIPTORS, flags, environment) is not None:
        parse = _count_up_to(MAX_DESCRIPTORS)
        descriptors = _read(DESCRIPTORS, parse, flags, environment)
    return MachineLimits(memory_mb * MIB, descriptors)


@as_result(SettingError)
def read_agent_settings(flags: Flags, environment: Environment) -> AgentSettings:
    """Reads and validates the settings of an agent; flags take precedence."""
    link, advertise = _read_link(flags, environment)
    return AgentSettings(
        link=link,
        advertise=advertise,
        store=_read(STORE, parse_http_base_url, flags, environment),
        availability_zone=_read(AVAILABILITY_ZONE, parse_name, flags, environment),
        rack=_read(RACK, parse_name, flags, environment),
        target=_read(TARGET, parse_http_url, flags, environment),
        services=_read(SERVICES, parse_names, flags, environment),
        slots=_read(SLOTS, _count_up_to(MAX_SLOTS), flags, environment),
        connections=_read(
            CONNECTIONS, _count_up_to(MAX_CONNECTIONS), flags, environment
        ),
    )


@as_result(SettingError)
def read_client_settings(flags: Flags, environment: Environment) -> ClientSettings:
    """Reads and validates a client command's settings; flags take precedence."""
    return ClientSettings(
        entry=_read(ENTRY, parse_base_url, flags, environment),
        timeout_ms=_read(TIMEOUT_MS, _count_up_to(MAX_TIMEOUT_MS), flags, environment),
    )


@as_result(SettingError)
def read_daemon_options(flags: Flags, environment: Environment) -> DaemonOptions:
    """Reads and validates the settings that the platform does not provide.

    Flags take precedence over environment variables.
    """
    advertised = None
    if read_text(ADVERTISE, flags, environment) is not None:
        advertised = _read(ADVERTISE, parse_dialable_address, flags, environment)
    return DaemonOptions(
        metrics_port=_read(METRICS_PORT, _count_up_to(MAX_PORT), flags, environment),
        advertised=advertised,
        reported_entries=_read(
            REPORTED_ENTRIES, _count_up_to(MAX_REPORTED_ENTRIES), flags, environment
        ),
    )


def read_text(option: Option, flags: Flags, environment: Environment) -> str | None:
    """Returns the text of a setting from flag, environment or default, in that order.

    An empty environment variable counts as not set.
    """
    flag = flags.get(option.name)
    if flag is not None:
        return flag
    return environment.get(option.variable) or option.default


def _read(
    option: Option,
    parse: Callable[[str], Value],
    flags: Flags,
    environment: Environment,
) -> Value:
    text = read_text(option, flags, environment)
    if text is None:
        raise SettingError(f"{option.flag} is missing (or {option.variable})")
    try:
        return parse(text)
    except SettingError as error:
        given_by_flag = flags.get(option.name) is not None
        source = option.flag if given_by_flag else option.variable
        raise SettingError(f"{source} {error}") from None


def _read_link(flags: Flags, environment: Environment) -> tuple[str, str]:
    link = _read(LINK, parse_address, flags, environment)
    if read_text(ADVERTISE, flags, environment) is not None:
        advertise = _read(ADVERTISE, parse_dialable_address, flags, environment)
        return link.link, advertise.link
    _require_dialable(link)
    return link.link, link.link


def _require_dialable(link: Address) -> None:
    if link.is_wildcard:
        raise SettingError(
            f"{LINK.flag} is a wildcard address, so {ADVERTISE.flag} must be given"
        )


def _count_up_to(maximum: int) -> Callable[[str], int]:
    return lambda text: parse_count(text, 1, maximum)
