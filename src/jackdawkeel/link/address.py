"""Link addresses, ``tcp://IP:PORT``."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address


MAX_PORT = 65_535
# Addresses whose check is remembered; one is made for each message that is sent.
MAX_CHECKED_ADDRESSES = 4096


def split_link_address(address: str) -> tuple[str, int]:
    """Returns the IP and the port of a link address.

    Raises:
        ValueError: If it is not a link address.
    """
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"invalid port in link address {address!r}")
    ip_address(host)
    return host, number


@lru_cache(MAX_CHECKED_ADDRESSES)
def is_link_address(address: str) -> bool:
    """Returns whether a connection to the address can be attempted."""
    try:
        split_link_address(address)
    except ValueError:
        return False
    return True
