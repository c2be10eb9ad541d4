"""Reads the settings file that the platform writes for each process.

The file has lines of the form ``name=value``; dots in a name separate nested fields.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from result import as_result

from ..connections.limits import MIB
from ..connections.limits import MachineLimits
from ..connections.limits import read_machine_limits
from ..scheduling.process_settings import ProcessSettings
from ..scheduling.process_settings import TimeBounds
from ..setting_values import Address
from ..setting_values import SettingError
from ..setting_values import parse_address


if TYPE_CHECKING:
    from collections.abc import Mapping


# Names the settings file; see DEPLOY.md, "Settings of a process".
SETTINGS_PATH_VARIABLE = "JACKDAWKEEL_BOOT"


class PlatformBounds(msgspec.Struct, frozen=True, rename="camel"):
    """Limits of a deployment; fields that the project does not use are ignored."""

    grace_s: float = 6.0
    remote_penalty: float = 1.5


class BindAddresses(msgspec.Struct, frozen=True, rename="camel"):
    """Addresses on which the process listens; empty where it does not."""

    http: str = ""
    readiness: str = ""
    admin: str = ""


class StoreAddress(msgspec.Struct, frozen=True, rename="camel"):
    """Address of the platform's store."""

    address: str


class PlatformLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits of a process; 0 or a missing value stands for none."""

    memory_mb: float = 0.0
    max_fds: int = 0


class PlatformSettings(msgspec.Struct, frozen=True, rename="camel"):
    """The settings of a process; fields that the project does not use are ignored."""

    node_name: str
    ip: str
    zone: str
    port_range: str
    bind_addresses: BindAddresses
    platform: StoreAddress
    seeds: str = ""
    app: str = ""
    bounds: PlatformBounds = PlatformBounds()
    limits: PlatformLimits = PlatformLimits()


@as_result(SettingError)
def read_settings(environment: Mapping[str, str]) -> ProcessSettings:
    """Reads and validates the settings file that an environment variable names."""
    path = environment.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingError(
            f"{SETTINGS_PATH_VARIABLE} is not set; it must name the settings file"
        )
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(f"can't read the settings file {path}: {error}") from None
    return parse_settings(text)


def parse_settings(text: str) -> ProcessSettings:
    """Decodes the text of a settings file.

    Raises:
        SettingError: If a field is missing or invalid.
    """
    try:
        raw = msgspec.convert(_parse_lines(text), PlatformSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingError(f"invalid settings file: {error}") from None
    first_port = _parse_first_port(raw.port_range)
    return ProcessSettings(
        node=raw.node_name,
        host=raw.ip,
        availability_zone=raw.zone,
        callers=_parse_optional_address(raw.bind_addresses.http),
        readiness=_parse_optional_address(raw.bind_addresses.readiness),
        heartbeats=_parse_optional_address(raw.bind_addresses.admin),
        link_port=first_port,
        seeds=tuple(parse_address(seed) for seed in raw.seeds.split(",") if seed),
        store=parse_address(raw.platform.address),
        target=_parse_optional_address(raw.app),
        bounds=TimeBounds(
            shutdown_s=raw.bounds.grace_s, remote_slowdown=raw.bounds.remote_penalty
        ),
        machine=_derive_machine_limits(raw.limits),
    )


def _derive_machine_limits(limits: PlatformLimits) -> MachineLimits:
    default = read_machine_limits()
    return MachineLimits(
        memory_bytes=int(limits.memory_mb * MIB) or default.memory_bytes,
        descriptors=limits.max_fds or default.descriptors,
    )


def _parse_lines(text: str) -> dict[str, object]:
    tree: dict[str, object] = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if not equals or name.lstrip().startswith("#"):
            continue
        _set_field(tree, name.strip().split("."), value.strip())
    return tree


def _set_field(tree: dict[str, object], path: list[str], value: str) -> None:
    for part in path[:-1]:
        branch = tree.setdefault(part, {})
        if not isinstance(branch, dict):
            raise SettingError(f"{'.'.join(path)} has both a value and nested fields")
        tree = branch
    tree[path[-1]] = value


def _parse_first_port(port_range: str) -> int:
    first, _, _ = port_range.partition(",")
    if not first.isdigit():
        raise SettingError(
            f"portRange must be two ports FIRST,LAST, not {port_range!a}"
        )
    return int(first)


def _parse_optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None
