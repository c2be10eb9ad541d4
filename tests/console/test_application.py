"""Tests of the command line: arguments, help, usage errors and imports."""

from __future__ import annotations

import inspect
import subprocess
import sys
import types
import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from unittest import mock

from jackdawkeel.console import application
from jackdawkeel.console.command import Command
from jackdawkeel.settings import AgentSettings
from jackdawkeel.settings import EntrySettings
from jackdawkeel.settings import Option

from .command_runner import run_command


ENTRY_WORDS = ["entry", "--listen=127.0.0.1:8080", "--link", "127.0.0.1:9090"]
ENTRY_WORDS += ["--store=http://127.0.0.1:2379", "--availability-zone", "1"]
AGENT_WORDS = ["agent", "--link=127.0.0.1:9090", "--store=http://127.0.0.1:2379"]
AGENT_WORDS += ["--availability-zone=None", "--rack", "0010", "--services", "a,b"]
AGENT_WORDS += ["--target=http://127.0.0.1:8000"]
TEXTS = ["1", "0010", "1e5", "a,b", "True", "None", "[1, 2]", "{'a': 1}", "'quoted'"]
TEXTS += ['"', "a b", "a\\nb", "æøå", "x=y", "#", ""]
INVALID_CALLS = [[], ["frobnicate"], ["--version"], ["ticket"], ["entry"]]
INVALID_ENTRY_WORDS = [
    ["--frobnicate", "1"],
    ["--frobnicate=1"],
    ["--thread", "1"],
    ["--availability_zone=x"],
    ["--nothreads"],
    ["-t", "1"],
    ["--", "--trace"],
    ["--threads"],
    ["--threads", "--advertise", "127.0.0.1:1"],
    ["--threads=1", "--threads=1"],
    ["--threads=x\ny"],
    ["extra"],
    ["-"],
]


@dataclass(slots=True)
class Recorder:
    """Records the arguments that a command receives."""

    values: list[tuple[str, ...]] = field(default_factory=list)
    texts: list[str | None] = field(default_factory=list)

    def run(self, *values: str, some_text: str | None = None) -> int:
        """Records a call and returns exit code 0."""
        self.values.append(values)
        self.texts.append(some_text)
        return 0


class UsageTest(unittest.TestCase):
    """An invalid call exits with code 2 and prints one line to standard error."""

    def test_invalid_calls_are_usage_errors(self) -> None:
        cases = [
            *INVALID_CALLS,
            *([*ENTRY_WORDS, *words] for words in INVALID_ENTRY_WORDS),
        ]
        for words in [*cases, [*AGENT_WORDS, "--slots=0"]]:
            with self.subTest(words=words):
                result = run_command(*words)
                self.assertEqual((result.code, result.output), (2, ""))
                self.assertTrue(result.has_one_error_line(), result.errors)


class HelpTest(unittest.TestCase):
    """Help is printed to standard output, exits with code 0 and is complete."""

    def test_application(self) -> None:
        for word in ("--help", "-h"):
            result = run_command(word)
            self.assertEqual((result.code, result.errors), (0, ""))
            for command in application.COMMANDS:
                self.assertIn(command.name, result.output)

    def test_each_command(self) -> None:
        for command in application.COMMANDS:
            with self.subTest(command=command.name):
                result = run_command(*command.name.split(), "--help")
                self.assertEqual((result.code, result.errors), (0, ""))
                self.assertIn(command.summary, result.output)
                for option in command.options:
                    self.assertIn(option.flag, result.output)
                    self.assertIn(option.variable, result.output)

    def test_options_match_command_parameters(self) -> None:
        for command in application.COMMANDS:
            with self.subTest(command=command.name):
                parameters = inspect.signature(command.run).parameters.values()
                accepted = [
                    item.name for item in parameters if item.kind is item.KEYWORD_ONLY
                ]
                self.assertEqual(accepted, [option.name for option in command.options])


class ArgumentTest(unittest.TestCase):
    """Values are passed to the command as typed.

    Fire alone would parse values such as ``0010`` or ``None`` as Python literals.
    """

    def setUp(self) -> None:
        self.recorder = Recorder()
        command = Command(
            name="record it",
            summary="Records.",
            run=self.recorder.run,
            options=(Option("some_text", "TEXT", "Any text."),),
            arguments=("VALUE",),
            is_variadic=True,
        )
        self.enterContext(mock.patch.object(application, "COMMANDS", (command,)))

    def test_values_are_passed_unchanged(self) -> None:
        for text in TEXTS:
            with self.subTest(text=text):
                for flag in (["--some-text", text], [f"--some-text={text}"]):
                    result = run_command("record", "it", text, *flag)
                    self.assertEqual((result.code, result.errors), (0, ""))
                    self.assertEqual(self.recorder.values[-1], (text,))
                    self.assertEqual(self.recorder.texts[-1], text)

    def test_several_values_and_a_lone_hyphen(self) -> None:
        result = run_command("record", "it", "a", "--some-text=x", "-", "b")
        self.assertEqual(result.code, 0)
        self.assertEqual(self.recorder.values, [("a", "-", "b")])

    def test_too_few_values(self) -> None:
        self.assertEqual(run_command("record", "it").code, 2)
        self.assertEqual(self.recorder.values, [])


class ImportTest(unittest.TestCase):
    """An agent does not import server frameworks: its worker has little memory."""

    def test_agent_loads_no_server(self) -> None:
        script = (
            "import sys\n"
            "from jackdawkeel.console import application\n"
            "from jackdawkeel.agent import daemon\n"
            "print([name for name in sys.modules if name in "
            "('cherrypy', 'cheroot', 'IPython', 'numpy')])"
        )
        result = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual(result.stdout.strip(), "[]")

    def test_agent_on_the_platform_loads_no_framework(self) -> None:
        script = (
            "import sys\n"
            "from jackdawkeel.console import application\n"
            "from jackdawkeel.platform import agent_daemon\n"
            "print([name for name in sys.modules if name in "
            "('cherrypy', 'IPython', 'numpy')])"
        )
        result = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual(result.stdout.strip(), "[]")


class DaemonCommandTest(unittest.TestCase):
    """Daemon commands pass their settings and return the daemon's exit code."""

    def run_daemon(self, words: list[str], code: int, **environment: str) -> Any:
        """Runs a command whose daemon returns this code; returns its settings."""
        given: list[object] = []

        def run(settings: object) -> int:
            given.append(settings)
            return code

        daemon = types.SimpleNamespace(**{f"run_{words[0]}": run})
        modules = {f"jackdawkeel.{words[0]}.daemon": daemon}
        with mock.patch.dict(sys.modules, modules):
            result = run_command(*words, environment=environment)
        self.assertEqual((result.code, result.errors), (code, ""))
        return given[0]

    def test_agent(self) -> None:
        settings = self.run_daemon(AGENT_WORDS, 1, JACKDAWKEEL_SLOTS="3")
        self.assertIsInstance(settings, AgentSettings)
        self.assertEqual(settings.rack, "0010")
        self.assertEqual(settings.availability_zone, "None")
        self.assertEqual(settings.services, ["a", "b"])
        self.assertEqual(settings.slots, 3)

    def test_entry(self) -> None:
        settings = self.run_daemon(ENTRY_WORDS, 0)
        self.assertIsInstance(settings, EntrySettings)
        self.assertEqual(settings.availability_zone, "1")
        self.assertEqual(settings.threads, 256)
