"""The callers' protocol of a deployment; an adapter implements it."""

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
    """Decodes requests and encodes answers.

    Attributes:
        is_readiness_check: Returns whether a request is a readiness check of the
            balancer.
        decode_call: Decodes a request under a configuration.
        build_job_response: Encodes the answer to the submission of a job that has
            ended.
        build_state_response: Encodes the answer to a query for the state of a job.
        build_pending_response: Encodes the answer to a query for the number of pending
            jobs.
        build_error_response: Encodes the answer to a request that failed.
        build_readiness_response: Encodes the answer to a readiness check.
        format_task_name: Builds the name under which a target knows a task.
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
