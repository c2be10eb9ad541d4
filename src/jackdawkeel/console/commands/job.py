"""The command that submits a job."""

from __future__ import annotations

import os
import time
from pathlib import Path

from result import Err

from ...answer import answer_error
from ...answer import encode_answer
from ...job_request import parse_job_request
from ...settings import CLIENT_OPTIONS
from ...settings import Option
from ...settings import read_client_settings
from ...settings import read_text
from ..command import Command
from ..command import ExitCode
from ..entry_client import CallError
from ..entry_client import EntryClient
from ..entry_client import EntryResponse
from ..job_submission import RetryState
from ..job_submission import put_job
from ..job_submission import request_job_id
from ..responses import exit_code_for_answer
from ..responses import print_error
from ..responses import print_response
from ..usage import read_file
from ..usage import require_settings


JOB_ID_OPTION = Option("id", "ID", "the job's id (default: a new one from the entry)")
BAD_REQUEST_STATUS = 400


def submit_job(
    file: str,
    /,
    *,
    entry: str | None = None,
    timeout_ms: str | None = None,
    id: str | None = None,  # noqa: A002
) -> int:
    """Submits a job, prints its answer and returns the exit code.

    An invalid job file is refused without a request to the entry.

    Raises:
        UsageError: If a setting is missing or invalid, or the file can't be read.
    """
    flags = {"entry": entry, "timeout_ms": timeout_ms, "id": id}
    settings = require_settings(read_client_settings(flags, os.environ))
    job_id = read_text(JOB_ID_OPTION, flags, os.environ)
    body = read_file(Path(file))
    job = parse_job_request(body)
    if isinstance(job, Err):
        refusal = encode_answer(answer_error(None, job.err_value))
        return _finish(EntryResponse(BAD_REQUEST_STATUS, refusal))
    with EntryClient(settings.entry) as client:
        if job_id is not None:
            return _put(client, job_id, body, settings.timeout_s, is_new=False)
        id_result = request_job_id(client, job.ok_value.service, settings.timeout_s)
        if isinstance(id_result, Err):
            return _finish_without_id(id_result.err_value)
        return _put(client, id_result.ok_value, body, settings.timeout_s, is_new=True)


def _put(
    client: EntryClient, job_id: str, body: bytes, timeout_s: float, *, is_new: bool
) -> ExitCode:
    retry_state = RetryState(time.monotonic() + timeout_s)
    result = put_job(client, job_id, body, retry_state)
    if isinstance(result, Err):
        never_arrived = is_new and not retry_state.may_have_arrived
        return _finish_without_answer(job_id, result.err_value, never_arrived)
    return _finish(result.ok_value)


def _finish(response: EntryResponse) -> ExitCode:
    print_response(response)
    return exit_code_for_answer(response)


def _finish_without_id(failure: EntryResponse | CallError) -> ExitCode:
    if isinstance(failure, EntryResponse):
        print_response(failure)
        exit_code_for_answer(failure)
    else:
        print_error(f"not run: can't get a job id: {failure.message}")
    return ExitCode.NOT_RUN


def _finish_without_answer(
    job_id: str, error: CallError, never_arrived: bool
) -> ExitCode:
    if never_arrived:
        print_error(f"not run: job {job_id} did not reach the entry: {error.message}")
        return ExitCode.NOT_RUN
    print_error(
        f"unknown: no answer for job {job_id}; retry with --id: {error.message}"
    )
    return ExitCode.UNKNOWN


COMMAND = Command(
    name="job submit",
    summary="Submits a job, waits for its answer and prints it.",
    run=submit_job,
    options=(*CLIENT_OPTIONS, JOB_ID_OPTION),
    arguments=("FILE.json",),
)
