"""Parsers of single settings, which reject an invalid value in one sentence."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from urllib.parse import SplitResult
from urllib.parse import urlsplit


MAX_PORT = 65535
MAX_NAME_LENGTH = 100
MAX_QUOTED_LENGTH = 60


class SettingError(Exception):
    """A setting is missing or invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port.

    Attributes:
        host: The IP address, without brackets.
        port: Port from 1 to 65535.
    """

    host: str
    port: int

    @property
    def link(self) -> str:
        """The address in the form of link addresses, ``tcp://IP:PORT``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"tcp://{host}:{self.port}"

    @property
    def is_wildcard(self) -> bool:
        """Whether the host is the wildcard address, which can't be dialled."""
        return ipaddress.ip_address(self.host).is_unspecified


def quote_text(text: str) -> str:
    """Returns a value quoted, escaped to one ASCII line and truncated."""
    return ascii(text if len(text) <= MAX_QUOTED_LENGTH else text[:MAX_QUOTED_LENGTH])


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``, where an IPv6 address is in brackets.

    Raises:
        SettingError: If the text has another form, such as a host name.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        raise SettingError(f"must be IP:PORT, not {quote_text(text)}")
    return Address(_parse_ip_address(host), _parse_port(port))


def parse_dialable_address(text: str) -> Address:
    """Parses an address that other processes dial.

    Raises:
        SettingError: If the text is not an address or has the wildcard address.
    """
    address = parse_address(text)
    if address.is_wildcard:
        raise SettingError(f"must be the IP of one interface, not {quote_text(text)}")
    return address


def parse_url(text: str) -> str:
    """Parses an http or https URL and returns it without a trailing slash.

    Raises:
        SettingError: If the text is not such a URL, or has a user, query or fragment.
    """
    parts = _split_url(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingError(f"must be an http or https URL, not {quote_text(text)}")
    if parts.username is not None or parts.query or parts.fragment:
        raise SettingError(
            f"must be a URL without user, query or fragment, not {quote_text(text)}"
        )
    return text.rstrip("/")


def parse_http_url(text: str) -> str:
    """Parses a URL with the scheme http; the daemons do not support TLS.

    Raises:
        SettingError: If the text is not such a URL.
    """
    url = parse_url(text)
    if urlsplit(url).scheme != "http":
        raise SettingError(f"must be an http URL, not {quote_text(text)}")
    return url


def parse_http_base_url(text: str) -> str:
    """Parses a URL with the scheme http and without a path.

    Raises:
        SettingError: If the text is not such a URL.
    """
    parse_http_url(text)
    return parse_base_url(text)


def parse_base_url(text: str) -> str:
    """Parses an http or https URL without a path.

    Raises:
        SettingError: If the text is not such a URL.
    """
    url = parse_url(text)
    if urlsplit(url).path:
        raise SettingError(f"must be a URL without a path, not {quote_text(text)}")
    return url


def parse_name(text: str) -> str:
    """Parses a name of 1 to 100 printable characters.

    Raises:
        SettingError: If the text is empty, too long, not printable or has outer spaces.
    """
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        raise SettingError(f"must have 1 to {MAX_NAME_LENGTH} characters")
    if not text.isprintable() or text != text.strip():
        raise SettingError(
            f"must be printable, without outer spaces, not {quote_text(text)}"
        )
    return text


def parse_names(text: str) -> list[str]:
    """Parses a comma-separated list of names.

    Raises:
        SettingError: If a name is invalid or occurs twice.
    """
    names = [parse_name(name) for name in text.split(",")]
    if len(set(names)) != len(names):
        raise SettingError(f"must not repeat a name, as in {quote_text(text)}")
    return names


def parse_count(text: str, minimum: int, maximum: int) -> int:
    """Parses an integer between two limits, both included.

    Raises:
        SettingError: If the text is not a decimal integer or is out of range.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
    if not is_number or not minimum <= int(text) <= maximum:
        raise SettingError(
            f"must be an integer from {minimum} to {maximum}, not {quote_text(text)}"
        )
    return int(text)


def _parse_ip_address(text: str) -> str:
    is_bracketed = text.startswith("[") and text.endswith("]")
    number = text[1:-1] if is_bracketed else text
    try:
        address = ipaddress.ip_address(number)
    except ValueError:
        raise SettingError(f"must have an IP address, not {quote_text(text)}") from None
    if is_bracketed != (address.version == 6) or "%" in number:
        raise SettingError(f"must have IPv4 or [IPv6], not {quote_text(text)}")
    return str(address)


def _parse_port(text: str) -> int:
    try:
        return parse_count(text, 1, MAX_PORT)
    except SettingError as error:
        raise SettingError(f"port {error}") from None


def _split_url(text: str) -> SplitResult:
    if not text.isascii() or not text.isprintable() or " " in text:
        raise SettingError(f"must be a URL, not {quote_text(text)}")
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        raise SettingError(f"must be a URL, not {quote_text(text)}") from None
    if port == 0:
        raise SettingError(f"must not have port 0, as in {quote_text(text)}")
    return parts
