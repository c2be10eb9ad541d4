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
        answer_job: Answers the submission of a job that has ended.
        answer_state: Answers a question for the state of a job.
        answer_pending: Answers a question for the jobs that have not begun.
        answer_refusal: Answers a call that failed.
        answer_readiness: Answers the balancer.
        format_task_name: Names a task as its target is told.
    """

    is_readiness_check: Callable[[HttpRequest], bool]
    decode_call: Callable[
        [HttpRequest, QueueConfiguration | None], Result[CallerCall, DispatchError]
    ]
    answer_job: Callable[[Job], HttpResponse]
    answer_state: Callable[[Job], HttpResponse]
    answer_pending: Callable[[int], HttpResponse]
    answer_refusal: Callable[[DispatchError], HttpResponse]
    answer_readiness: Callable[[bool], HttpResponse]
    format_task_name: TaskNamer
