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
        answer_job: Encodes the answer to the submission of a job that has ended.
        answer_state: Encodes the answer to a query for the state of a job.
        answer_pending: Encodes the answer to a query for the number of pending jobs.
        answer_refusal: Encodes the answer to a request that failed.
        answer_readiness: Encodes the answer to a readiness check.
        name_task: Builds the name under which a target knows a task.
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
    name_task: TaskNamer
