"""Tests of the command line: arguments, help and usage errors."""

from __future__ import annotations

import inspect
import subprocess
import sys
import types
import unittest
from dataclasses import dataclass
from dataclasses import field
from unittest import mock

from jackdawkeel.console import application
from jackdawkeel.console.command import Command
from jackdawkeel.settings import AgentSettings
from jackdawkeel.settings import EntrySettings
from jackdawkeel.settings import Option

from .calls import call


ENTRY_WORDS = [
    "entry",
    "--listen=127.0.0.1:8080",
    "--link",
    "127.0.0.1:9090",
    "--store=http://127.0.0.1:2379",
    "--availability-zone",
    "1",
]
AGENT_WORDS = [
    "agent",
    "--link=127.0.0.1:9090",
    "--store=http://127.0.0.1:2379",
    "--availability-zone=None",
    "--rack",
    "0010",
    "--target=http://127.0.0.1:8000",
    "--services",
    "a,b",
]
TEXTS = [
    "1",
    "0010",
    "1e5",
    "a,b",
    "True",
    "None",
    "[1, 2]",
    "{'a': 1}",
    "'quoted'",
    '"',
    "a b",
    "a\\nb",
    "æøå",
    "x=y",
    "#",
    "",
]


@dataclass(slots=True)
class Recorder:
    """Records the arguments with which commands are run."""

    values: list[tuple[str, ...]] = field(default_factory=list)
    texts: list[str | None] = field(default_factory=list)

    def run(self, *values: str, some_text: str | None = None) -> int:
        """Stands in for a command; returns 0."""
        self.values.append(values)
        self.texts.append(some_text)
        return 0


class UsageTest(unittest.TestCase):
    """A wrong call ends with exit code 2 and one line on stderr."""

    def test_wrong_calls(self) -> None:
        cases: list[list[str]] = [
            [],
            ["frobnicate"],
            ["--version"],
            ["ticket"],
            ["entry"],
            [*ENTRY_WORDS, "--frobnicate", "1"],
            [*ENTRY_WORDS, "--frobnicate=1"],
            [*ENTRY_WORDS, "--thread", "1"],
            [*ENTRY_WORDS, "--availability_zone=x"],
            [*ENTRY_WORDS, "--nothreads"],
            [*ENTRY_WORDS, "-t", "1"],
            [*ENTRY_WORDS, "--", "--trace"],
            [*ENTRY_WORDS, "--threads"],
            [*ENTRY_WORDS, "--threads", "--advertise", "127.0.0.1:1"],
            [*ENTRY_WORDS, "--threads=1", "--threads=1"],
            [*ENTRY_WORDS, "--threads=x\ny"],
            [*ENTRY_WORDS, "extra"],
            [*ENTRY_WORDS, "-"],
            [*AGENT_WORDS, "--slots=0"],
        ]
        for words in cases:
            with self.subTest(words=words):
                done = call(*words)
                self.assertEqual(done.code, 2)
                self.assertEqual(done.output, "")
                self.assertEqual(done.errors.count("\n"), 1, done.errors)
                self.assertTrue(done.errors.startswith("jackdawkeel: "))


class HelpTest(unittest.TestCase):
    """Help goes to stdout, ends with exit code 0 and names all that can be given."""

    def test_application(self) -> None:
        for word in ("--help", "-h"):
            done = call(word)
            self.assertEqual((done.code, done.errors), (0, ""))
            for command in application.COMMANDS:
                self.assertIn(command.name, done.output)

    def test_each_command(self) -> None:
        for command in application.COMMANDS:
            with self.subTest(command=command.name):
                done = call(*command.name.split(), "--help")
                self.assertEqual((done.code, done.errors), (0, ""))
                self.assertIn(command.summary, done.output)
                for option in command.options:
                    self.assertIn(option.flag, done.output)
                    self.assertIn(option.variable, done.output)

    def test_options_are_what_the_commands_take(self) -> None:
        for command in application.COMMANDS:
            with self.subTest(command=command.name):
                parameters = inspect.signature(command.run).parameters.values()
                taken = [
                    item.name for item in parameters if item.kind is item.KEYWORD_ONLY
                ]
                self.assertEqual(taken, [option.name for option in command.options])


class ArgumentTest(unittest.TestCase):
    """Every value arrives as the text typed."""

    def setUp(self) -> None:
        self.recorder = Recorder()
        command = Command(
            name="record it",
            summary="Records.",
            run=self.recorder.run,
            options=(Option("some_text", "TEXT", "Any text."),),
            arguments=("VALUE",),
            takes_more=True,
        )
        patch = mock.patch.object(application, "COMMANDS", (command,))
        patch.start()
        self.addCleanup(patch.stop)

    def test_texts_arrive_unchanged(self) -> None:
        for text in TEXTS:
            with self.subTest(text=text):
                for flag in (["--some-text", text], [f"--some-text={text}"]):
                    done = call("record", "it", text, *flag)
                    self.assertEqual((done.code, done.errors), (0, ""))
                    self.assertEqual(self.recorder.values[-1], (text,))
                    self.assertEqual(self.recorder.texts[-1], text)

    def test_several_values_and_a_lone_hyphen(self) -> None:
        done = call("record", "it", "a", "--some-text=x", "-", "b")
        self.assertEqual(done.code, 0)
        self.assertEqual(self.recorder.values, [("a", "-", "b")])

    def test_too_few_values(self) -> None:
        self.assertEqual(call("record", "it").code, 2)
        self.assertEqual(self.recorder.values, [])


class ImportTest(unittest.TestCase):
    """An agent, whose worker has little memory, loads only what it needs."""

    def test_agent_loads_no_server(self) -> None:
        script = (
            "import sys\n"
            "from jackdawkeel.console import application\n"
            "from jackdawkeel.agent import daemon\n"
            "print([name for name in sys.modules if name in "
            "('cherrypy', 'cheroot', 'IPython', 'numpy')])"
        )
        done = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")


class DaemonCommandTest(unittest.TestCase):
    """The daemons get their settings and give the exit code."""

    def test_agent(self) -> None:
        given: list[AgentSettings] = []

        def run_agent(settings: AgentSettings) -> int:
            given.append(settings)
            return 1

        daemon = types.SimpleNamespace(run_agent=run_agent)
        with mock.patch.dict(sys.modules, {"jackdawkeel.agent.daemon": daemon}):
            done = call(*AGENT_WORDS, environment={"JACKDAWKEEL_SLOTS": "3"})
        self.assertEqual((done.code, done.errors), (1, ""))
        self.assertEqual(given[0].rack, "0010")
        self.assertEqual(given[0].availability_zone, "None")
        self.assertEqual(given[0].services, ["a", "b"])
        self.assertEqual(given[0].slots, 3)

    def test_entry(self) -> None:
        given: list[EntrySettings] = []

        def run_entry(settings: EntrySettings) -> int:
            given.append(settings)
            return 0

        daemon = types.SimpleNamespace(run_entry=run_entry)
        with mock.patch.dict(sys.modules, {"jackdawkeel.entry.daemon": daemon}):
            done = call(*ENTRY_WORDS)
        self.assertEqual((done.code, done.errors), (0, ""))
        self.assertEqual(given[0].availability_zone, "1")
        self.assertEqual(given[0].threads, 256)
