"""The routes of the public HTTP interface and their handlers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ..answer import Answer
from ..answer import answer_error
from ..answer import encode_answer
from ..answer import get_http_status
from ..errors import DispatchError
from ..errors import ErrorKind
from ..http_messages import TEXT_TYPE
from ..http_messages import HttpResponse
from ..metrics import CounterName
from .jobs import cancel_job
from .jobs import get_job
from .jobs import mint_ids
from .jobs import post_job
from .jobs import put_job
from .operators import get_ticket
from .operators import put_ticket
from .status_report import build_status


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from ..http_messages import HttpRequest
    from .daemon import Entry

    Handler = Callable[[Entry, HttpRequest, str], Awaitable[HttpResponse]]


async def answer_request(entry: Entry, request: HttpRequest) -> HttpResponse:
    """Calls the handler for the path and method of a request."""
    route = find_route(request.path)
    handlers = ROUTES.get(route.name)
    if handlers is None:
        text = f"there is no path {request.path}"
        return render_answer(
            answer_error(None, DispatchError(ErrorKind.NO_SUCH_PATH, text))
        )
    handler = handlers.get(request.method)
    if handler is None:
        text = f"{request.path} has no method {request.method}"
        return render_answer(
            answer_error(None, DispatchError(ErrorKind.METHOD_NOT_ALLOWED, text))
        )
    return await handler(entry, request, route.argument)


def build_draining_answer(request: HttpRequest) -> Answer:
    """Returns the answer to a request that arrives after the drain notice.

    A job with an id or key may have been submitted through another entry, so the
    answer leaves its outcome open. Any other request has had no effect.
    """
    text = "this entry is shutting down; use another one"
    if request.method == "POST" and request.idempotency_key is None:
        return answer_error(None, DispatchError(ErrorKind.SHUTTING_DOWN, text))
    job_id = find_route(request.path).argument or None
    return answer_error(job_id, DispatchError(ErrorKind.ENTRY_NOT_READY, text))


def render_answer(answer: Answer) -> HttpResponse:
    """Renders an answer with its HTTP status and Retry-After header."""
    return HttpResponse(
        status=get_http_status(answer),
        body=encode_answer(answer),
        retry_after_ms=answer.retry_after_ms,
    )


@dataclass(frozen=True, slots=True)
class Route:
    """The route that a path matches.

    Attributes:
        name: The path with ``*`` in place of the argument, which is a key of
            ``ROUTES``; ``other`` if no route matches.
        argument: The job id or ticket number in the path; empty if it has none.
    """

    name: str
    argument: str


def find_route(path: str) -> Route:
    """Returns the route of a path; it is named ``other`` if none matches."""
    segments = path.strip("/").split("/")
    if (
        len(segments) == 3
        and segments[0] == "v1"
        and segments[1] in ("jobs", "tickets")
    ):
        return Route(f"{segments[0]}/{segments[1]}/*", segments[2])
    name = "/".join(segments)
    return Route(name if name in ROUTES else "other", "")


async def _post_ids(entry: Entry, request: HttpRequest, _: str) -> HttpResponse:
    minted = mint_ids(entry, request.body)
    if minted.is_err():
        return render_answer(answer_error(None, minted.unwrap_err()))
    return HttpResponse(200, msgspec.json.encode(minted.unwrap()))


def _render_job(entry: Entry, answer: Answer) -> HttpResponse:
    entry.metrics.count(CounterName.ANSWERS, answer.outcome.value)
    return render_answer(answer)


async def _post_job(entry: Entry, request: HttpRequest, _: str) -> HttpResponse:
    return _render_job(
        entry, await post_job(entry, request.body, request.idempotency_key)
    )


async def _put_job(entry: Entry, request: HttpRequest, job_id: str) -> HttpResponse:
    return _render_job(entry, await put_job(entry, job_id, request.body))


async def _get_job(entry: Entry, _: HttpRequest, job_id: str) -> HttpResponse:
    return render_answer(await get_job(entry, job_id))


async def _delete_job(entry: Entry, _: HttpRequest, job_id: str) -> HttpResponse:
    return render_answer(await cancel_job(entry, job_id))


async def _put_ticket(entry: Entry, request: HttpRequest, number: str) -> HttpResponse:
    return await put_ticket(entry, number, request.body)


async def _get_ticket(entry: Entry, _: HttpRequest, number: str) -> HttpResponse:
    return await get_ticket(entry, number)


async def _get_status(entry: Entry, _: HttpRequest, __: str) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(await build_status(entry)))


async def _get_metrics(entry: Entry, _: HttpRequest, __: str) -> HttpResponse:
    return HttpResponse(200, entry.render_metrics().encode(), TEXT_TYPE)


async def _get_health(entry: Entry, _: HttpRequest, __: str) -> HttpResponse:
    if entry.draining or not entry.configuration.is_ready():
        return HttpResponse(503, b"not ready\n", TEXT_TYPE)
    return HttpResponse(200, b"ok\n", TEXT_TYPE)


ROUTES: dict[str, dict[str, Handler]] = {
    "v1/ids": {"POST": _post_ids},
    "v1/jobs": {"POST": _post_job},
    "v1/jobs/*": {"PUT": _put_job, "GET": _get_job, "DELETE": _delete_job},
    "v1/tickets/*": {"PUT": _put_ticket, "GET": _get_ticket},
    "v1/status": {"GET": _get_status},
    "v1/metrics": {"GET": _get_metrics},
    "healthz": {"GET": _get_health},
}
