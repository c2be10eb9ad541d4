"""How a deployment's callers are spoken to; implemented by an adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from ..errors import DispatchError
    from ..http_messages import HttpRequest
    from ..http_messages import HttpResponse
    from .caller_calls import CallerCall
    from .job import Job
    from .job import TaskNamer
    from .specification import QueueConfiguration


@dataclass(frozen=True, slots=True)
class CallerInterface:
    """Decodes calls and encodes answers.

    Attributes:
        is_readiness_check: Tells whether the balancer asks for readiness.
        decode_call: Decodes a call under a configuration.
        build_job_response: Answers the submission of a job that has ended.
        build_state_response: Answers a question for the state of a job.
        build_pending_response: Answers a question for the jobs that have not begun.
        build_error_response: Answers a call that failed.
        build_readiness_response: Answers the balancer.
        format_task_name: Names a task as its target is told.
    """

    is_readiness_check: Callable[[HttpRequest], bool]
    decode_call: Callable[
        [HttpRequest, QueueConfiguration | None], Result[CallerCall, DispatchError]
    ]
    build_job_response: Callable[[Job], HttpResponse]
    build_state_response: Callable[[Job], HttpResponse]
    build_pending_response: Callable[[int], HttpResponse]
    build_error_response: Callable[[DispatchError], HttpResponse]
    build_readiness_response: Callable[[bool], HttpResponse]
    format_task_name: TaskNamer
