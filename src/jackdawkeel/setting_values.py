"""Parsers of single settings, which refuse a bad value with one clear sentence."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from urllib.parse import SplitResult
from urllib.parse import urlsplit


MAX_PORT = 65535
MAX_NAME_LENGTH = 100
MAX_QUOTED_LENGTH = 60


class SettingError(Exception):
    """A setting that is missing or bad; the text is one line."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port.

    Attributes:
        host: The IP number, without brackets.
        port: From 1 to 65535.
    """

    host: str
    port: int

    @property
    def link(self) -> str:
        """The address as the links between processes write it."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"tcp://{host}:{self.port}"

    @property
    def is_wildcard(self) -> bool:
        """Whether it names all interfaces, so that nobody can dial it."""
        return ipaddress.ip_address(self.host).is_unspecified


def quote_text(text: str) -> str:
    """Returns a value quoted, on one line and not too long."""
    return ascii(text if len(text) <= MAX_QUOTED_LENGTH else text[:MAX_QUOTED_LENGTH])


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``, where an IPv6 number stands in brackets.

    Raises:
        SettingError: If the text is anything else, such as a host name.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        raise SettingError(f"must be IP:PORT, not {quote_text(text)}")
    return Address(_parse_ip_number(host), _parse_port(port))


def parse_dialable_address(text: str) -> Address:
    """Parses an address that other processes dial.

    Raises:
        SettingError: If it is no address or names all interfaces.
    """
    address = parse_address(text)
    if address.is_wildcard:
        raise SettingError(f"must be one interface's IP, not {quote_text(text)}")
    return address


def parse_url(text: str) -> str:
    """Parses an HTTP URL and returns it without a trailing slash.

    Raises:
        SettingError: If it is no HTTP URL, or has a user, query or fragment.
    """
    parts = _split_url(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingError(f"must be an http or https URL, not {quote_text(text)}")
    if parts.username is not None or parts.query or parts.fragment:
        raise SettingError(
            f"must have no user, query or fragment, unlike {quote_text(text)}"
        )
    return text.rstrip("/")


def parse_http_url(text: str) -> str:
    """Parses an HTTP URL without TLS, which daemons do not speak.

    Raises:
        SettingError: If it is no such URL.
    """
    url = parse_url(text)
    if urlsplit(url).scheme != "http":
        raise SettingError(f"must be an http URL, not {quote_text(text)}")
    return url


def parse_http_base_url(text: str) -> str:
    """Parses an HTTP URL without TLS that has no path.

    Raises:
        SettingError: If it is no such URL.
    """
    parse_http_url(text)
    return parse_base_url(text)


def parse_base_url(text: str) -> str:
    """Parses an HTTP URL that has no path.

    Raises:
        SettingError: If it is no such URL.
    """
    url = parse_url(text)
    if urlsplit(url).path:
        raise SettingError(f"must be a URL without a path, not {quote_text(text)}")
    return url


def parse_name(text: str) -> str:
    """Parses a name of 1 to 100 printable characters.

    Raises:
        SettingError: If it is empty, too long or not printable.
    """
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        raise SettingError(f"must have 1 to {MAX_NAME_LENGTH} characters")
    if not text.isprintable() or text != text.strip():
        raise SettingError(
            f"must be printable, without spaces around it, unlike {quote_text(text)}"
        )
    return text


def parse_names(text: str) -> list[str]:
    """Parses names that are separated by commas.

    Raises:
        SettingError: If a name is bad or stands twice.
    """
    names = [parse_name(name) for name in text.split(",")]
    if len(set(names)) != len(names):
        raise SettingError(f"must not name one twice, unlike {quote_text(text)}")
    return names


def parse_count(text: str, minimum: int, maximum: int) -> int:
    """Parses a whole number within limits, both included.

    Raises:
        SettingError: If it is no decimal number or out of the limits.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(maximum))
    if not is_number or not minimum <= int(text) <= maximum:
        raise SettingError(
            f"must be an integer from {minimum} to {maximum}, not {quote_text(text)}"
        )
    return int(text)


def _parse_ip_number(text: str) -> str:
    is_bracketed = text.startswith("[") and text.endswith("]")
    number = text[1:-1] if is_bracketed else text
    try:
        address = ipaddress.ip_address(number)
    except ValueError:
        raise SettingError(f"must have an IP number, not {quote_text(text)}") from None
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
        raise SettingError(f"must not have port 0, unlike {quote_text(text)}")
    return parts
