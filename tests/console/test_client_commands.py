"""Tests of the client commands: output, exit codes and retries."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from jackdawkeel.answer import answer_done
from jackdawkeel.answer import answer_error
from jackdawkeel.answer import answer_running
from jackdawkeel.answer import encode_answer
from jackdawkeel.console import job_submission
from jackdawkeel.errors import ERROR_TABLE
from jackdawkeel.errors import DispatchError
from jackdawkeel.errors import ErrorKind
from jackdawkeel.errors import Outcome
from jackdawkeel.status import AgentState
from jackdawkeel.status import AgentStatus
from jackdawkeel.status import EntryStatus
from jackdawkeel.status import StatusReport
from jackdawkeel.status import StoreStatus
from jackdawkeel.status import TicketStatus
from jackdawkeel.status import ZoneStatus
from tests.fakes import refusing_url
from tests.fakes import unresponsive_url

from .command_runner import CommandResult
from .command_runner import run_command
from .fake_entry import DROP
from .fake_entry import FakeEntry
from .fake_entry import Reply


JOB_ID = "0123456789abcdef.1.00112233445566778899aabb"
JOB = b'{"service": "nightly", "tasks": [{"payload": {"nights": [1, 2]}}]}'
TICKET = b'{"availability_zones": {"west-1": {"in_service": false}}}'
IDS = Reply(200, msgspec.json.encode({"ids": [JOB_ID]}))
DONE = Reply(200, encode_answer(answer_done(JOB_ID, [b'{"sum": 3}'])))
RUNNING = Reply(202, encode_answer(answer_running(JOB_ID)))
EXIT_CODES = {Outcome.FAILED: 1, Outcome.NOT_RUN: 3, Outcome.UNKNOWN: 4}


def reply_error(kind: ErrorKind, job_id: str | None = JOB_ID) -> Reply:
    """Returns the reply of an entry to a request that failed."""
    answer = answer_error(job_id, DispatchError(kind, "a clear sentence"))
    return Reply(ERROR_TABLE[kind].status, encode_answer(answer))


NOT_RUN_KINDS = (
    ErrorKind.SUPERSEDED,
    ErrorKind.STORE_UNAVAILABLE,
    ErrorKind.BAD_REQUEST,
)
HOME_SILENT = reply_error(ErrorKind.HOME_SILENT)


class ClientCommandTest(unittest.TestCase):
    """Writes job and ticket files, and removes the waits between attempts."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.job = self.write("job.json", JOB)
        self.ticket = self.write("ticket.json", TICKET)
        pause = mock.patch("jackdawkeel.console.job_submission.time.sleep")
        self.enterContext(pause)

    def write(self, name: str, content: bytes) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_bytes(content)
        return str(path)

    def assert_fails(self, result: CommandResult, code: int) -> None:
        """Asserts the exit code and exactly one line on standard error."""
        self.assertEqual(result.code, code)
        self.assertTrue(result.has_one_error_line(), result.errors)

    def assert_fails_without_output(self, result: CommandResult, code: int) -> None:
        """Asserts the same, and that nothing is printed to standard output."""
        self.assertEqual(result.output, "")
        self.assert_fails(result, code)


class SubmitJobTest(ClientCommandTest):
    """A job is submitted under one id and retried until its answer is final.

    A retry under another id could run the tasks of the job twice.
    """

    def submit(
        self, replies: list[Reply], *words: str
    ) -> tuple[CommandResult, FakeEntry]:
        """Submits the job to an entry with these replies to PUT."""
        scripted = {"POST /v1/ids": [IDS], "PUT /v1/jobs/": replies}
        with FakeEntry(scripted) as entry:
            result = run_command(
                "job", "submit", self.job, "--entry", entry.url, *words
            )
        return result, entry

    def test_done(self) -> None:
        result, entry = self.submit([DONE])
        self.assertEqual((result.code, result.errors), (0, ""))
        self.assertEqual(json.loads(result.output)["results"], [{"sum": 3}])
        ids, put = entry.received
        self.assertEqual(json.loads(ids.body), {"service": "nightly", "count": 1})
        self.assertEqual((put.path, put.body), (f"/v1/jobs/{JOB_ID}", JOB))

    def test_given_id_is_used(self) -> None:
        for words in (["--id", JOB_ID], [f"--id={JOB_ID}"]):
            result, entry = self.submit([DONE], *words)
            self.assertEqual(result.code, 0)
            paths = [item.path for item in entry.received]
            self.assertEqual(paths, [f"/v1/jobs/{JOB_ID}"])

    def test_every_error_kind(self) -> None:
        for kind, row in ERROR_TABLE.items():
            with self.subTest(kind=kind):
                reply = reply_error(kind)
                result, _ = self.submit([reply])
                self.assert_fails(result, EXIT_CODES[row.outcome])
                self.assertEqual(result.output.encode(), reply.body + b"\n")

    def test_lost_answers_are_retried_under_the_same_id(self) -> None:
        cut = Reply(200, b'{"id"', is_cut=True)
        cases = [[DROP], [DROP, DROP, DROP], [cut], [HOME_SILENT], [RUNNING]]
        for lost in [*cases, [HOME_SILENT, DROP, RUNNING]]:
            with self.subTest(lost=lost):
                replies = [*lost, DONE]
                result, entry = self.submit(list(replies))
                self.assertEqual((result.code, result.errors), (0, ""))
                puts = [item for item in entry.received if item.method == "PUT"]
                self.assertEqual(len(puts), len(replies))
                self.assertEqual({item.path for item in puts}, {f"/v1/jobs/{JOB_ID}"})
                self.assertEqual(len(entry.received) - len(puts), 1)

    def test_attempts_are_bounded(self) -> None:
        for reply in (DROP, HOME_SILENT, RUNNING):
            with self.subTest(reply=reply):
                result, entry = self.submit([reply])
                self.assertEqual(result.code, 4)
                puts = len(entry.received) - 1
                self.assertEqual(puts, job_submission.MAX_ATTEMPTS)

    def test_conflict_is_not_repeated(self) -> None:
        result, entry = self.submit([reply_error(ErrorKind.CONFLICT)])
        self.assertEqual((result.code, len(entry.received)), (4, 2))

    def test_lost_answer_is_unknown_and_names_the_id(self) -> None:
        result, _ = self.submit([DROP])
        self.assert_fails_without_output(result, 4)
        self.assertIn(JOB_ID, result.errors)

    def test_not_run_after_a_lost_answer_is_final(self) -> None:
        result, _ = self.submit([DROP, reply_error(ErrorKind.NO_TARGET)])
        self.assertEqual(result.code, 3)

    def test_invalid_reply_is_unknown(self) -> None:
        for body in (b"", b"<html>", b"\xff", b'{"id": 1}', b"[" * 100_000):
            with self.subTest(body=body[:10]):
                result, entry = self.submit([Reply(502, body)])
                self.assert_fails(result, 4)
                self.assertEqual(len(entry.received), 2)

    def test_job_without_an_id_is_not_run(self) -> None:
        refusal = reply_error(ErrorKind.NO_SUCH_SERVICE, None)
        for reply in (refusal, DROP, Reply(200, b"{}"), Reply(200, b'{"ids": []}')):
            with self.subTest(reply=reply), FakeEntry({"POST": [reply]}) as entry:
                result = run_command("job", "submit", self.job, "--entry", entry.url)
                self.assert_fails(result, 3)
                self.assertEqual({item.method for item in entry.received}, {"POST"})

    def test_refused_connection(self) -> None:
        with refusing_url() as url:
            result = run_command("job", "submit", self.job, "--entry", url)
            again = run_command(
                "job", "submit", self.job, "--entry", url, "--id", JOB_ID
            )
        self.assert_fails(result, 3)
        self.assert_fails(again, 4)

    def test_silent_entry_times_out(self) -> None:
        with unresponsive_url() as url:
            words = [self.job, "--entry", url, "--timeout-ms", "200"]
            result = run_command("job", "submit", *words, "--id", JOB_ID)
        self.assert_fails_without_output(result, 4)

    def test_invalid_job_file_is_refused_before_sending(self) -> None:
        cases = [b"", b"{", b"\xff", b'{"service": "a", "tasks": []}', b'{"x": 1}']
        for content in cases:
            with self.subTest(content=content), FakeEntry({}) as entry:
                path = self.write("bad.json", content)
                result = run_command("job", "submit", path, "--entry", entry.url)
                self.assert_fails(result, 3)
                self.assertEqual(entry.received, [])
                self.assertEqual(json.loads(result.output)["outcome"], "not_run")

    def test_invalid_arguments_are_usage_errors(self) -> None:
        entry = ["--entry", "http://127.0.0.1:1"]
        missing = str(self.folder / "missing.json")
        cases = [[path, *entry] for path in (missing, str(self.folder), "nul\0byte")]
        cases += [[self.job], [self.job, "--entry", "127.0.0.1:1"]]
        cases += [[self.job, *entry, "--timeout-ms", "0"]]
        for words in cases:
            with self.subTest(words=words):
                result = run_command("job", "submit", *words)
                self.assert_fails_without_output(result, 2)


class TicketTest(ClientCommandTest):
    """A ticket is sent once, and the exit code follows from its answer."""

    def submit(self, reply: Reply) -> tuple[CommandResult, FakeEntry]:
        """Submits ticket 7 to an entry with this reply."""
        with FakeEntry({"PUT /v1/tickets/7": [reply]}) as entry:
            result = run_command(
                "ticket", "submit", "7", self.ticket, "--entry", entry.url
            )
        return result, entry

    def ask(self, reply: Reply) -> CommandResult:
        """Queries the status of ticket 7 at an entry with this reply."""
        with FakeEntry({"GET /v1/tickets/7": [reply]}) as entry:
            return run_command("ticket", "status", "7", "--entry", entry.url)

    def test_accepted(self) -> None:
        status = msgspec.json.encode(TicketStatus(ticket=7, accepted=True, revision=9))
        result, entry = self.submit(Reply(200, status))
        self.assertEqual((result.code, result.errors), (0, ""))
        self.assertEqual(result.output.encode(), status + b"\n")
        self.assertEqual([item.body for item in entry.received], [TICKET])

    def test_refused_or_unknown(self) -> None:
        codes = dict.fromkeys(NOT_RUN_KINDS, 3) | {ErrorKind.TICKET_UNKNOWN: 4}
        for kind, code in codes.items():
            with self.subTest(kind=kind):
                result, _ = self.submit(reply_error(kind, None))
                self.assert_fails(result, code)
                self.assertIn(kind.value, result.output)

    def test_lost_answer_is_unknown_and_not_repeated(self) -> None:
        result, entry = self.submit(DROP)
        self.assert_fails(result, 4)
        self.assertEqual(len(entry.received), 1)

    def test_refused_connection_means_not_sent(self) -> None:
        with refusing_url() as url:
            submitted = run_command(
                "ticket", "submit", "7", self.ticket, "--entry", url
            )
            asked = run_command("ticket", "status", "7", "--entry", url)
        self.assertEqual((submitted.code, asked.code), (3, 4))

    def test_status(self) -> None:
        status = msgspec.json.encode(TicketStatus(7, True, 9, ["a"], ["b"], ["c"]))
        result = self.ask(Reply(200, status))
        self.assertEqual((result.code, result.errors), (0, ""))
        self.assertEqual(json.loads(result.output)["not_heard"], ["c"])

    def test_status_of_no_ticket(self) -> None:
        result = self.ask(reply_error(ErrorKind.NO_SUCH_TICKET, None))
        self.assertEqual(result.code, 3)

    def test_invalid_ticket_numbers_are_usage_errors(self) -> None:
        for number in ("0", "-1", "seven", "1.0", "1e3", "", str(2**53), "\u0667"):
            with self.subTest(number=number):
                words = [number, self.ticket, "--entry", "http://127.0.0.1:1"]
                self.assert_fails(run_command("ticket", "submit", *words), 2)


class StatusTest(ClientCommandTest):
    """The status is printed as tables, with agents sorted by availability zone."""

    def test_table(self) -> None:
        report = StatusReport(
            entries=[
                EntryStatus("e" * 16, "tcp://127.0.0.1:9001", is_self=True),
                EntryStatus("f" * 16, "tcp://127.0.0.1:9002", False, 120),
            ],
            store=StoreStatus(reachable=False, confirmed_ms=4100, revision=12),
            availability_zones=[
                ZoneStatus("west-2", in_service=False, ticket=5),
                ZoneStatus("west-1", in_service=True, ticket=0),
            ],
            agents=[
                make_agent("west-2", AgentState.OUT_OF_SERVICE),
                make_agent("west-1", AgentState.IN_SERVICE),
            ],
        )
        body = msgspec.json.encode(report)
        with FakeEntry({"GET /v1/status": [Reply(200, body)]}) as entry:
            result = run_command("status", "--entry", entry.url)
        self.assertEqual((result.code, result.errors), (0, ""))
        expected = Path(__file__).parent.parent / "data" / "status.txt"
        self.assertEqual(result.output, expected.read_text())

    def test_no_status(self) -> None:
        for reply in (Reply(503, b"{}"), Reply(200, b"{}"), Reply(200, b"x"), DROP):
            with self.subTest(reply=reply), FakeEntry({"GET": [reply]}) as entry:
                result = run_command("status", "--entry", entry.url)
                self.assert_fails_without_output(result, 1)


def make_agent(availability_zone: str, state: AgentState) -> AgentStatus:
    """Returns the status of an agent."""
    return AgentStatus(
        incarnation="0123456789abcdef",
        link="tcp://127.0.0.1:9101",
        availability_zone=availability_zone,
        rack="r\n1",
        target="http://127.0.0.1:8001",
        services=["nightly", "register"],
        slots=8,
        connections=64,
        running=3,
        queued=1,
        waiting=20,
        completed=1500,
        failed=2,
        revision=12,
        state=state,
        heard_ms=430,
    )
