"""Requests of callers: minting ids, and submitting, reading and cancelling jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok
from result import Result

from ..answer import Answer
from ..answer import answer_error
from ..controllers.job_keys import claim_key
from ..decode_errors import DECODE_ERRORS
from ..errors import DispatchError
from ..errors import ErrorKind
from ..job_id import mint_job_id
from ..job_id import parse_job_id
from ..job_request import JobRequest
from ..job_request import parse_job_request
from ..messages import CancelJob
from ..messages import JobQuery
from ..messages import PeerAddress
from ..messages import Refusal
from ..messages import SubmitJob
from ..metrics import HistogramName
from .filters import UNRECORDED_KINDS
from .filters import FilterInput
from .filters import find_refusal


if TYPE_CHECKING:
    from ..controllers.roster import AgentView
    from .daemon import Entry


MAX_IDS = 10_000
MAX_HOMES_PER_BATCH = 16
MAX_KEY_LENGTH = 200
MAX_SUBMIT_ATTEMPTS = 3
KEY_SCOPE = ""
RETRYABLE_KINDS = frozenset({ErrorKind.SHUTTING_DOWN, ErrorKind.NOT_READY})


class IdsRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request to mint ids."""

    service: str
    count: int


class IdsResponse(msgspec.Struct, frozen=True):
    """The minted ids."""

    ids: list[str]


def mint_ids(entry: Entry, body: bytes) -> Result[IdsResponse, DispatchError]:
    """Mints job ids that are spread over up to ``MAX_HOMES_PER_BATCH`` homes."""
    try:
        model = msgspec.json.decode(body, type=IdsRequest)
    except DECODE_ERRORS as error:
        text = f"the body is not a valid request for ids: {error}"
        return Err(DispatchError(ErrorKind.BAD_REQUEST, text))
    if not 1 <= model.count <= MAX_IDS:
        text = f"count must be from 1 to {MAX_IDS}"
        return Err(DispatchError(ErrorKind.BAD_REQUEST, text))
    request = JobRequest(model.service, [], None, 1, False, "")
    refusal = find_refusal(entry, FilterInput(request, has_id=False))
    if refusal is not None:
        return Err(refusal)
    homes = [
        home
        for _ in range(min(model.count, MAX_HOMES_PER_BATCH))
        if (home := entry.roster.choose_home(model.service)) is not None
    ]
    if not homes:
        return Err(_no_target_error(model.service))
    ids = []
    for number in range(model.count):
        home = homes[number % len(homes)]
        job_id = mint_job_id(home.address.incarnation, home.heartbeat.epoch)
        ids.append(str(job_id))
    return Ok(IdsResponse(ids))


async def put_job(entry: Entry, job_id_text: str, body: bytes) -> Answer:
    """Runs a job under an id that the caller supplied.

    A refusal by a filter is sent to the home, which records it for the id, unless its
    kind is one of ``UNRECORDED_KINDS``.
    """
    parsed_id = parse_job_id(job_id_text)
    if parsed_id.is_err():
        return answer_error(None, parsed_id.unwrap_err())
    if entry.waiting_callers.is_full:
        return answer_error(job_id_text, _full_error(ErrorKind.ENTRY_BUSY))
    parsed = parse_job_request(body)
    if parsed.is_err():
        return answer_error(None, parsed.unwrap_err())
    request = parsed.unwrap()
    refusal = find_refusal(entry, FilterInput(request, has_id=True))
    if refusal is not None and refusal.kind in UNRECORDED_KINDS:
        return answer_error(job_id_text, refusal)
    return await _submit(entry, job_id_text, request, refusal)


async def post_job(entry: Entry, body: bytes, key: str | None) -> Answer:
    """Runs a job under a new id, or under the id claimed by its idempotency key."""
    if entry.waiting_callers.is_full:
        # An earlier request may have claimed an id with the same key.
        kind = ErrorKind.OVERLOADED if key is None else ErrorKind.ENTRY_BUSY
        return answer_error(None, _full_error(kind))
    parsed = parse_job_request(body)
    if parsed.is_err():
        return answer_error(None, parsed.unwrap_err())
    request = parsed.unwrap()
    refusal = find_refusal(entry, FilterInput(request, has_id=False))
    if key is not None:
        return await _post_with_key(entry, request, key, refusal)
    if refusal is not None:
        return answer_error(None, refusal)
    answer = answer_error(None, _no_target_error(request.service))
    for _ in range(MAX_SUBMIT_ATTEMPTS):
        home = _choose_home_or_probe(entry, request)
        if home is None:
            return answer
        job_id = mint_job_id(home.address.incarnation, home.heartbeat.epoch)
        answer = await _submit(entry, str(job_id), request, None)
        if answer.error is None or answer.error.kind not in RETRYABLE_KINDS:
            return answer
    return answer


def _choose_home_or_probe(entry: Entry, request: JobRequest) -> AgentView | None:
    probe = None
    if len(request.payloads) == 1:
        probe = entry.roster.find_probe(
            request.service, is_idempotent=request.idempotent
        )
    return probe or entry.roster.choose_home(request.service)


async def get_job(entry: Entry, job_id: str) -> Answer:
    """Returns the answer of a job, or the answer that it is running."""
    return await _call_home(entry, job_id, JobQuery(job_id))


async def cancel_job(entry: Entry, job_id: str) -> Answer:
    """Cancels a job; its tasks that have not started are never started."""
    return await _call_home(entry, job_id, CancelJob(job_id))


async def _post_with_key(
    entry: Entry, request: JobRequest, key: str, refusal: DispatchError | None
) -> Answer:
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        text = f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters"
        return answer_error(None, DispatchError(ErrorKind.BAD_REQUEST, text))
    if refusal is not None:
        # An earlier request may have claimed an id with this key, and its job may have
        # run. So only a service that never existed is refused for good.
        is_about_service = refusal.kind is ErrorKind.NO_SUCH_SERVICE
        if is_about_service and await _confirm_service_never_existed(
            entry, request.service
        ):
            return answer_error(None, refusal)
        refusal = DispatchError(ErrorKind.ENTRY_NOT_READY, refusal.message)
        return answer_error(None, refusal)
    home = entry.roster.choose_home(request.service)
    if home is None:
        message = _no_target_error(request.service).message
        return answer_error(None, DispatchError(ErrorKind.ENTRY_NOT_READY, message))
    minted = mint_job_id(home.address.incarnation, home.heartbeat.epoch)
    claimed = await entry.loop.run_in_executor(
        entry.store_threads,
        claim_key,
        entry.store,
        entry.key_lease,
        KEY_SCOPE,
        key,
        str(minted),
    )
    if claimed.is_ok():
        entry.known_keys.record_key(key, claimed.unwrap())
        return await _submit(entry, claimed.unwrap(), request, None)
    job_id = entry.known_keys.find(key) or await entry.other_entries.find_key(key)
    if job_id is not None:
        return await _submit(entry, job_id, request, None)
    return answer_error(None, claimed.unwrap_err())


async def _confirm_service_never_existed(entry: Entry, service: str) -> bool:
    """Returns whether a store read that starts now finds no service of this name.

    Tickets create services and never delete them, so a service that is absent has
    never run a job.
    """
    requested_at = entry.clock()
    await entry.sync.confirm_configuration()
    if entry.configuration.confirmed_at < requested_at:
        return False
    return service not in entry.configuration.document.services


async def _submit(
    entry: Entry, job_id: str, request: JobRequest, refusal: DispatchError | None
) -> Answer:
    started_at = entry.clock()
    message = SubmitJob(
        job_id=job_id,
        digest=request.digest,
        service=request.service,
        payloads=request.payloads,
        idempotent=request.idempotent,
        deadline_ms=request.deadline_ms,
        refusal=_encode_refusal(refusal),
    )
    with entry.waiting_callers:
        answer = await _call_home(entry, job_id, message)
    elapsed_s = entry.clock() - started_at
    entry.metrics.observe(HistogramName.JOB, elapsed_s, request.service)
    return answer


async def _call_home(
    entry: Entry, job_id: str, message: SubmitJob | JobQuery | CancelJob
) -> Answer:
    parsed = parse_job_id(job_id)
    if parsed.is_err():
        return answer_error(None, parsed.unwrap_err())
    incarnation = parsed.unwrap().incarnation
    home = await _find_home(entry, incarnation)
    if home is not None:
        return await entry.forwarder.call(home, message)
    if entry.roster.is_removed(incarnation):
        text = "the home of this id has ended; the job may have run"
        return answer_error(job_id, DispatchError(ErrorKind.HOME_GONE, text))
    text = "no entry has contact with the home of this id; the job may have run"
    return answer_error(job_id, DispatchError(ErrorKind.HOME_SILENT, text))


async def _find_home(entry: Entry, incarnation: str) -> PeerAddress | None:
    view = entry.roster.find(incarnation)
    if view is not None:
        return view.address
    if entry.roster.has_ended(incarnation):
        return None
    return await entry.other_entries.find_home(incarnation)


def _encode_refusal(refusal: DispatchError | None) -> Refusal | None:
    if refusal is None:
        return None
    return Refusal(refusal.kind.value, refusal.message, refusal.retry_after_ms)


def _full_error(kind: ErrorKind) -> DispatchError:
    return DispatchError(kind, "too many callers wait for answers at this entry")


def _no_target_error(service: str) -> DispatchError:
    text = f"service {service} has no target in service"
    return DispatchError(ErrorKind.NO_TARGET, text)
