"""Link addresses, ``tcp://IP:PORT``."""

from __future__ import annotations


MAX_PORT = 65_535


def split_link_address(address: str) -> tuple[str, int]:
    """Returns the IP and the port of a link address.

    Raises:
        ValueError: If it is not a link address.
    """
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    number = int(port)
    if not host or not 0 < number <= MAX_PORT:
        raise ValueError(f"invalid link address {address!r}")
    return host, number


def is_link_address(address: str) -> bool:
    """Returns whether a connection to the address can be attempted."""
    try:
        split_link_address(address)
    except ValueError:
        return False
    return True
