"""Claims of callers' own keys: each key stands for one job id while it is known."""

from __future__ import annotations

import hashlib
import threading

from result import Err
from result import Ok
from result import Result

from ..clock import Clock
from ..clock import read_boot_clock
from ..errors import DispatchError
from ..errors import ErrorKind
from ..store.interface import GetResult
from ..store.interface import Store
from ..store.interface import StoreError
from ..store.interface import StoreErrorKind


KEY_WINDOW_S = 24 * 60 * 60
LEASE_SHARING_S = 300
GRANT_RETRY_DELAY_S = 1.0
MAX_CLAIM_ATTEMPTS = 4
_UNKNOWN = StoreErrorKind.OUTCOME_UNKNOWN
JOB_KEY_PREFIX = b"/jackdawkeel/job_keys/"


class SharedLease:
    """A lease that all keys claimed within some minutes share.

    Sharing spares one grant per key. The TTL of the lease is ``window_s`` plus
    ``sharing_s``, so the store keeps a key for at least ``window_s`` and at most
    ``window_s + sharing_s`` after its claim. After a failed grant, claims fail for
    ``GRANT_RETRY_DELAY_S`` without a call to the store; otherwise each claim would
    wait for the timeout of the one before it.

    Args:
        window_s: Time for which a claimed key is known at least, in seconds.
        sharing_s: Time for which one lease takes new keys, in seconds.
        clock: A clock that goes on while the process is paused.
    """

    def __init__(
        self,
        window_s: int = KEY_WINDOW_S,
        sharing_s: int = LEASE_SHARING_S,
        clock: Clock = read_boot_clock,
    ) -> None:
        self.window_s = window_s
        self.sharing_s = sharing_s
        self.clock = clock
        self.lock = threading.Lock()
        self.lease_id = 0
        self.shared_until = float("-inf")
        self.failure: StoreError | None = None
        self.retry_at = float("-inf")

    def acquire(self, store: Store) -> Result[int, StoreError]:
        """Returns the id of the present lease; grants a new one if it is due."""
        with self.lock:
            now = self.clock()
            if now < self.shared_until:
                return Ok(self.lease_id)
            if self.failure is not None and now < self.retry_at:
                return Err(self.failure)
            return self._grant(store, now)

    def discard(self, lease_id: int) -> None:
        """Forgets a lease that the store no longer knows."""
        with self.lock:
            if lease_id == self.lease_id:
                self.shared_until = float("-inf")

    def _grant(self, store: Store, now: float) -> Result[int, StoreError]:
        granted = store.grant_lease(self.window_s + self.sharing_s)
        if isinstance(granted, Err):
            self.failure = granted.err_value
            self.retry_at = self.clock() + GRANT_RETRY_DELAY_S
            return granted
        self.failure = None
        self.lease_id = granted.ok_value
        self.shared_until = now + self.sharing_s
        return granted


def claim_key(
    store: Store, lease: SharedLease, scope: str, idempotency_key: str, job_id: str
) -> Result[str, DispatchError]:
    """Claims a caller's key for a job id; blocks, for I/O threads.

    Only the id is kept: a copy with another body reaches the same home under the
    same id, and the home compares the digests.

    Args:
        store: The platform's store.
        lease: The lease of newly claimed keys.
        scope: What the key is unique in, such as the team or the service.
        idempotency_key: The caller's key.
        job_id: The id that the key shall stand for unless it stands for another.

    Returns:
        The id that the key stands for. The only error is ``STORE_UNAVAILABLE``; no
        job may then be started under the key by this attempt, though the claim
        itself may have been written.
    """
    key = encode_job_key(scope, idempotency_key)
    error = StoreError(StoreErrorKind.UNAVAILABLE, "no attempt was made")
    for _ in range(MAX_CLAIM_ATTEMPTS):
        acquired = lease.acquire(store)
        if isinstance(acquired, Err):
            return _refuse(acquired.err_value)
        claimed = _claim(store, key, job_id, acquired.ok_value)
        if isinstance(claimed, Ok):
            return claimed
        error = claimed.err_value
        if error.kind is StoreErrorKind.LEASE_NOT_FOUND:
            lease.discard(acquired.ok_value)
        elif error.kind is not _UNKNOWN:
            break
    return _refuse(error)


def encode_job_key(scope: str, idempotency_key: str) -> bytes:
    """Returns the store's key of a caller's key, of a fixed length."""
    digest = hashlib.sha256()
    for part in (scope.encode(), idempotency_key.encode()):
        digest.update(len(part).to_bytes(8, "big") + part)
    return JOB_KEY_PREFIX + digest.hexdigest().encode()


def _claim(
    store: Store, key: bytes, job_id: str, lease_id: int
) -> Result[str, StoreError]:
    swap = store.compare_and_swap(key, 0, job_id.encode(), lease_id)
    if isinstance(swap, Ok) and swap.ok_value.succeeded:
        return Ok(job_id)
    if isinstance(swap, Ok) and swap.ok_value.current:
        return Ok(swap.ok_value.current.value.decode())
    if isinstance(swap, Err) and swap.err_value.kind is not _UNKNOWN:
        return swap
    return store.get(key).and_then(_read_claim)


def _read_claim(reading: GetResult) -> Result[str, StoreError]:
    if reading.item is None:
        return Err(StoreError(_UNKNOWN, "the claim was not written yet"))
    return Ok(reading.item.value.decode())


def _refuse(error: StoreError) -> Err[DispatchError]:
    message = f"the key cannot be claimed: {error.message}"
    return Err(DispatchError(ErrorKind.STORE_UNAVAILABLE, message))
