"""Tests of reading the platform's settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from jackdawkeel.connections.limits import MIB
from jackdawkeel.connections.limits import MachineLimits
from jackdawkeel.connections.limits import read_machine_limits
from jackdawkeel.platform.settings import SETTINGS_PATH_VARIABLE
from jackdawkeel.platform.settings import parse_settings
from jackdawkeel.platform.settings import read_settings
from jackdawkeel.setting_values import Address
from jackdawkeel.setting_values import SettingError


LINES = {
    "nodeName": "side-1",
    "ip": "10.1.0.14",
    "zone": "north",
    "portRange": "7720,7735",
    "bindAddresses.admin": "10.1.0.14:8166",
    "seeds": "10.1.0.13:8166,10.2.0.30:8166",
    "app": "10.1.0.14:8165",
    "bounds.graceS": "8",
    "bounds.remotePenalty": "1.25",
    "platform.address": "10.200.1.7:8169",
    "limits.cpuShares": "0.645",
    "aFieldOfTomorrow": "1",
}


def encode(**changes: str) -> str:
    """Builds the text of a settings file; an underscore in a name becomes a dot."""
    lines = LINES | {name.replace("_", "."): text for name, text in changes.items()}
    return "".join(f"{name}={text}\n" for name, text in lines.items())


class PlatformSettingsTest(unittest.TestCase):
    def test_decodes_all_used_fields(self) -> None:
        settings = parse_settings(encode())
        self.assertEqual(settings.node, "side-1")
        self.assertEqual(settings.availability_zone, "north")
        self.assertEqual(settings.link, "tcp://10.1.0.14:7720")
        self.assertEqual(settings.heartbeats, Address("10.1.0.14", 8166))
        self.assertEqual(settings.target, Address("10.1.0.14", 8165))
        self.assertIsNone(settings.callers)
        self.assertEqual(len(settings.seeds), 2)
        self.assertEqual(settings.bounds.shutdown_s, 8.0)
        self.assertEqual(settings.bounds.remote_slowdown, 1.25)

    def test_limits_of_the_machine(self) -> None:
        machine = parse_settings(
            encode(limits_memoryMb="168", limits_maxFds="4096")
        ).machine
        self.assertEqual(MachineLimits(168 * MIB, 4096), machine)
        self.assertEqual(read_machine_limits(), parse_settings(encode()).machine)

    def test_empty_seeds_are_accepted(self) -> None:
        self.assertEqual(parse_settings(encode(seeds="")).seeds, ())

    def test_invalid_values_are_errors(self) -> None:
        cases = {
            "no port": encode(platform_address="10.200.1.7"),
            "a host name": encode(app="localhost:1"),
            "bad ports": encode(portRange="a,b"),
            "a bad limit": encode(limits_maxFds="many"),
            "bad bound": encode(bounds_graceS="soon"),
            "a value and a table": encode(platform="1"),
        }
        for name, text in cases.items():
            with self.subTest(name), self.assertRaises(SettingError):
                parse_settings(text)

    def test_a_missing_field_is_an_error(self) -> None:
        text = encode().replace("nodeName=side-1\n", "")
        with self.assertRaises(SettingError):
            parse_settings(text)

    def test_a_missing_variable_or_file_is_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            missing = str(Path(folder) / "none")
            for environment in ({}, {SETTINGS_PATH_VARIABLE: missing}):
                with self.subTest(environment):
                    self.assertTrue(read_settings(environment).is_err())
