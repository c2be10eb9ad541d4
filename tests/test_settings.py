"""Tests of settings: valid and invalid values, their sources and precedence."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

from result import Result

from jackdawkeel.setting_values import SettingError
from jackdawkeel.setting_values import parse_address
from jackdawkeel.setting_values import parse_url
from jackdawkeel.settings import AGENT_OPTIONS
from jackdawkeel.settings import CLIENT_OPTIONS
from jackdawkeel.settings import ENTRY_OPTIONS
from jackdawkeel.settings import AgentSettings
from jackdawkeel.settings import EntrySettings
from jackdawkeel.settings import Option
from jackdawkeel.settings import read_agent_settings
from jackdawkeel.settings import read_client_settings
from jackdawkeel.settings import read_daemon_options
from jackdawkeel.settings import read_entry_settings


Reader = Callable[[dict[str, str], dict[str, str]], Result[Any, SettingError]]
Texts = dict[str, tuple[str, ...]]

ENTRY_FLAGS = {
    "listen": "127.0.0.1:8080",
    "link": "127.0.0.1:9090",
    "store": "http://127.0.0.1:2379",
    "availability_zone": "west-1",
}
AGENT_FLAGS = {
    "link": "127.0.0.1:9091",
    "store": "http://127.0.0.1:2379/",
    "availability_zone": "west-1",
    "rack": "0010",
    "target": "http://127.0.0.1:8000/base/",
    "services": "nightly,register",
}

INVALID_ENTRY_TEXTS: Texts = {
    "listen": (
        *("localhost:8080", "127.0.0.1", "127.0.0.1:", ":8080", "127.0.0.1:0"),
        *("127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:8080x", "127.0.0.1: 80"),
        *("127.0.0.1:٨٠", "127.0.0.256:80", "::1:80", "[127.0.0.1]:80"),
        *("[fe80::1%eth0]:80", ""),
    ),
    "link": ("tcp://127.0.0.1:9090", "0.0.0.0:9090", "[::]:9090"),
    "advertise": ("0.0.0.0:9090", "name:9090", ""),
    "store": (
        "https://127.0.0.1:2379",
        *("127.0.0.1:2379", "ftp://127.0.0.1:2379", "http://", "http://[127.0.0.1"),
        *("http://127.0.0.1:99999", "http://127.0.0.1:0", "http://127.0.0.1:2379/v3"),
        *("http://user@127.0.0.1:2379", "http://127.0.0.1:2379?x=1"),
        "http://127.0.0.1:2379\nX: y",
    ),
    "availability_zone": ("", " west", "we\nst", "x" * 101),
    "threads": ("0", "-1", "1.5", "many", "9" * 5000),
}
INVALID_AGENT_TEXTS: Texts = {
    "target": ("127.0.0.1:8000", "http://127.0.0.1:8000/#x", "https://127.0.0.1:1"),
    "services": ("", "a,,b", "a,", "a,b,a"),
    "rack": ("",),
    "slots": ("0", "eight"),
    "connections": ("0", "0x10"),
}
INVALID_PLATFORM_TEXTS: Texts = {
    "metrics_port": ("0", "65536", "http"),
    "reported_entries": ("0", "-1", "1001", "2.5", "all"),
    "advertise": ("0.0.0.0:9090",),
}
INVALID_CLIENT_TEXTS: Texts = {"entry": ("127.0.0.1:1",), "timeout_ms": ("0",)}
READERS: list[tuple[Reader, dict[str, str], Texts]] = [
    (read_entry_settings, ENTRY_FLAGS, INVALID_ENTRY_TEXTS),
    (read_agent_settings, AGENT_FLAGS, INVALID_AGENT_TEXTS),
    (read_client_settings, {"entry": "http://127.0.0.1:1"}, INVALID_CLIENT_TEXTS),
    (read_daemon_options, {}, INVALID_PLATFORM_TEXTS),
]


def to_environment(flags: dict[str, str]) -> dict[str, str]:
    """Returns the environment variables that correspond to flags."""
    return {f"JACKDAWKEEL_{name.upper()}": text for name, text in flags.items()}


class ValidSettingsTest(unittest.TestCase):
    """Valid settings are read from flags and from environment variables."""

    def test_entry_by_flags(self) -> None:
        settings = read_entry_settings(ENTRY_FLAGS, {}).unwrap()
        expected = EntrySettings(
            listen_host="127.0.0.1",
            listen_port=8080,
            link="tcp://127.0.0.1:9090",
            advertise="tcp://127.0.0.1:9090",
            store="http://127.0.0.1:2379",
            availability_zone="west-1",
            threads=256,
        )
        self.assertEqual(settings, expected)

    def test_agent_by_flags(self) -> None:
        settings = read_agent_settings(AGENT_FLAGS, {}).unwrap()
        expected = AgentSettings(
            link="tcp://127.0.0.1:9091",
            advertise="tcp://127.0.0.1:9091",
            store="http://127.0.0.1:2379",
            availability_zone="west-1",
            rack="0010",
            target="http://127.0.0.1:8000/base",
            services=["nightly", "register"],
            slots=8,
            connections=64,
        )
        self.assertEqual(settings, expected)

    def test_environment_gives_the_same_settings_as_flags(self) -> None:
        for read, flags, _ in READERS:
            by_flags = read(flags, {}).unwrap()
            self.assertEqual(by_flags, read({}, to_environment(flags)).unwrap())

    def test_flag_takes_precedence_over_environment(self) -> None:
        environment = {"JACKDAWKEEL_RACK": "9", "JACKDAWKEEL_SLOTS": "4"}
        settings = read_agent_settings(AGENT_FLAGS, environment).unwrap()
        self.assertEqual(settings.rack, "0010")
        self.assertEqual(settings.slots, 4)

    def test_invalid_variable_is_ignored_if_its_flag_is_given(self) -> None:
        environment = {"JACKDAWKEEL_LINK": "nonsense"}
        self.assertTrue(read_entry_settings(ENTRY_FLAGS, environment).is_ok())

    def test_empty_variable_counts_as_not_set(self) -> None:
        environment = {"JACKDAWKEEL_SLOTS": "", "JACKDAWKEEL_ADVERTISE": ""}
        settings = read_agent_settings(AGENT_FLAGS, environment).unwrap()
        self.assertEqual(settings.slots, 8)

    def test_advertised_address_may_differ_from_the_link(self) -> None:
        flags = AGENT_FLAGS | {"link": "0.0.0.0:9091", "advertise": "10.0.0.7:19091"}
        settings = read_agent_settings(flags, {}).unwrap()
        self.assertEqual(settings.link, "tcp://0.0.0.0:9091")
        self.assertEqual(settings.advertise, "tcp://10.0.0.7:19091")

    def test_ipv6_address_is_in_brackets(self) -> None:
        address = parse_address("[::1]:80")
        self.assertEqual(address.host, "::1")
        self.assertEqual(address.link, "tcp://[::1]:80")

    def test_url_may_have_a_host_name(self) -> None:
        self.assertEqual(parse_url("https://store.example"), "https://store.example")

    def test_client_by_flags(self) -> None:
        flags = {"entry": "http://127.0.0.1:8080/", "timeout_ms": "1500"}
        settings = read_client_settings(flags, {}).unwrap()
        self.assertEqual(settings.entry, "http://127.0.0.1:8080")
        self.assertEqual(settings.timeout_ms, 1500)


class InvalidSettingsTest(unittest.TestCase):
    """An invalid or missing setting is reported in one line that names it."""

    def assert_one_line(self, error: SettingError, option_name: str) -> None:
        """Asserts that the error is one short line that names the setting."""
        text = str(error)
        self.assertTrue(text.isprintable(), text)
        self.assertLess(len(text), 200)
        self.assertTrue(text.startswith("--" + option_name.replace("_", "-")), text)

    def test_invalid_flag_is_named(self) -> None:
        for read, valid, invalid in READERS:
            for name, texts in invalid.items():
                for text in texts:
                    with self.subTest(read=read, name=name, text=text):
                        error = read(valid | {name: text}, {}).unwrap_err()
                        self.assert_one_line(error, name)

    def test_missing_required_flag_is_named(self) -> None:
        for read, valid, _ in READERS:
            for name in valid:
                flags = {key: text for key, text in valid.items() if key != name}
                with self.subTest(read=read, name=name):
                    self.assert_one_line(read(flags, {}).unwrap_err(), name)

    def test_invalid_variable_is_named(self) -> None:
        error = read_entry_settings(ENTRY_FLAGS, {"JACKDAWKEEL_THREADS": "x"})
        self.assertIn("JACKDAWKEEL_THREADS", str(error.unwrap_err()))

    def test_required_options_have_no_default(self) -> None:
        options: set[Option] = {*ENTRY_OPTIONS, *AGENT_OPTIONS, *CLIENT_OPTIONS}
        for option in options:
            with self.subTest(option=option.name):
                self.assertFalse(option.is_required and option.default)
