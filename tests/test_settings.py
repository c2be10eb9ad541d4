"""Tests of the settings: good, bad, from the environment, and which goes first."""

from __future__ import annotations

import unittest

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
from jackdawkeel.settings import read_entry_settings


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

BAD_ENTRY_FLAGS = [
    ("listen", "localhost:8080"),
    ("listen", "127.0.0.1"),
    ("listen", "127.0.0.1:"),
    ("listen", ":8080"),
    ("listen", "127.0.0.1:0"),
    ("listen", "127.0.0.1:65536"),
    ("listen", "127.0.0.1:-1"),
    ("listen", "127.0.0.1:8080x"),
    ("listen", "127.0.0.1: 80"),
    ("listen", "127.0.0.1:٨٠"),
    ("listen", "127.0.0.256:80"),
    ("listen", "::1:80"),
    ("listen", "[127.0.0.1]:80"),
    ("listen", "[fe80::1%eth0]:80"),
    ("listen", ""),
    ("link", "tcp://127.0.0.1:9090"),
    ("link", "0.0.0.0:9090"),
    ("link", "[::]:9090"),
    ("advertise", "0.0.0.0:9090"),
    ("advertise", "name:9090"),
    ("advertise", ""),
    ("store", "127.0.0.1:2379"),
    ("store", "ftp://127.0.0.1:2379"),
    ("store", "http://"),
    ("store", "http://127.0.0.1:99999"),
    ("store", "http://127.0.0.1:0"),
    ("store", "http://127.0.0.1:2379/v3"),
    ("store", "http://user@127.0.0.1:2379"),
    ("store", "http://127.0.0.1:2379?x=1"),
    ("store", "http://127.0.0.1:2379\nX: y"),
    ("store", "http://[127.0.0.1"),
    ("availability_zone", ""),
    ("availability_zone", " west"),
    ("availability_zone", "we\nst"),
    ("availability_zone", "x" * 101),
    ("threads", "0"),
    ("threads", "-1"),
    ("threads", "1.5"),
    ("threads", "many"),
    ("threads", "9" * 5000),
]

BAD_AGENT_FLAGS = [
    ("target", "127.0.0.1:8000"),
    ("target", "http://127.0.0.1:8000/#x"),
    ("services", ""),
    ("services", "a,,b"),
    ("services", "a,"),
    ("services", "a,b,a"),
    ("rack", ""),
    ("slots", "0"),
    ("slots", "eight"),
    ("connections", "0"),
    ("connections", "0x10"),
]


def name_variables(flags: dict[str, str]) -> dict[str, str]:
    """Returns the flags as environment variables."""
    return {f"JACKDAWKEEL_{name.upper()}": text for name, text in flags.items()}


class GoodSettingsTest(unittest.TestCase):
    """Good settings arrive whole, by either way."""

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

    def test_environment_equals_flags(self) -> None:
        by_flags = read_agent_settings(AGENT_FLAGS, {}).unwrap()
        by_environment = read_agent_settings({}, name_variables(AGENT_FLAGS)).unwrap()
        self.assertEqual(by_flags, by_environment)
        by_flags_too = read_entry_settings(ENTRY_FLAGS, {}).unwrap()
        variables = name_variables(ENTRY_FLAGS)
        self.assertEqual(by_flags_too, read_entry_settings({}, variables).unwrap())

    def test_flag_goes_before_environment(self) -> None:
        environment = {"JACKDAWKEEL_RACK": "9", "JACKDAWKEEL_SLOTS": "4"}
        settings = read_agent_settings(AGENT_FLAGS, environment).unwrap()
        self.assertEqual(settings.rack, "0010")
        self.assertEqual(settings.slots, 4)

    def test_bad_variable_behind_a_good_flag_does_not_matter(self) -> None:
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

    def test_ipv6_stands_in_brackets(self) -> None:
        address = parse_address("[::1]:80")
        self.assertEqual(address.host, "::1")
        self.assertEqual(address.link, "tcp://[::1]:80")

    def test_url_may_name_a_host(self) -> None:
        self.assertEqual(parse_url("https://store.example"), "https://store.example")

    def test_client(self) -> None:
        flags = {"entry": "http://127.0.0.1:8080/", "timeout_ms": "1500"}
        settings = read_client_settings(flags, {}).unwrap()
        self.assertEqual(settings.entry, "http://127.0.0.1:8080")
        self.assertEqual(settings.timeout_ms, 1500)


class BadSettingsTest(unittest.TestCase):
    """A bad or missing setting is named in one line."""

    def assert_one_line(self, error: SettingError, option_name: str) -> None:
        """Asserts that the error is one short line that names the setting."""
        text = str(error)
        self.assertTrue(text.isprintable(), text)
        self.assertLess(len(text), 200)
        self.assertTrue(text.startswith("--" + option_name.replace("_", "-")), text)

    def test_bad_entry_flags(self) -> None:
        for name, text in BAD_ENTRY_FLAGS:
            with self.subTest(name=name, text=text):
                error = read_entry_settings(ENTRY_FLAGS | {name: text}, {})
                self.assert_one_line(error.unwrap_err(), name)

    def test_bad_agent_flags(self) -> None:
        for name, text in BAD_AGENT_FLAGS:
            with self.subTest(name=name, text=text):
                error = read_agent_settings(AGENT_FLAGS | {name: text}, {})
                self.assert_one_line(error.unwrap_err(), name)

    def test_bad_client_flags(self) -> None:
        good = {"entry": "http://127.0.0.1:1"}
        for name, text in [("entry", "127.0.0.1:1"), ("timeout_ms", "0")]:
            with self.subTest(name=name):
                error = read_client_settings(good | {name: text}, {})
                self.assert_one_line(error.unwrap_err(), name)

    def test_each_required_flag_is_missed(self) -> None:
        for name in ENTRY_FLAGS:
            flags = {key: text for key, text in ENTRY_FLAGS.items() if key != name}
            with self.subTest(daemon="entry", name=name):
                error = read_entry_settings(flags, {}).unwrap_err()
                self.assert_one_line(error, name)
        for name in AGENT_FLAGS:
            flags = {key: text for key, text in AGENT_FLAGS.items() if key != name}
            with self.subTest(daemon="agent", name=name):
                error = read_agent_settings(flags, {}).unwrap_err()
                self.assert_one_line(error, name)

    def test_bad_variable_is_named(self) -> None:
        error = read_entry_settings(ENTRY_FLAGS, {"JACKDAWKEEL_THREADS": "x"})
        self.assertIn("JACKDAWKEEL_THREADS", str(error.unwrap_err()))

    def test_required_options_have_no_default(self) -> None:
        options: set[Option] = {*ENTRY_OPTIONS, *AGENT_OPTIONS, *CLIENT_OPTIONS}
        for option in options:
            with self.subTest(option=option.name):
                self.assertFalse(option.is_required and option.default)
