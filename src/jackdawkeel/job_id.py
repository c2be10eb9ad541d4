"""Creates and parses job ids.

A job id contains the incarnation of the job's home, the only agent that may admit it.
An incarnation is the random id of one process from its start to its end.
"""

from __future__ import annotations

import secrets
import zlib
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from .errors import DispatchError
from .errors import ErrorKind


INCARNATION_BYTES = 8
NONCE_BYTES = 10
CHECK_DIGITS = 4
MAX_EPOCH_DIGITS = 9


@dataclass(frozen=True, slots=True)
class JobId:
    """A job id: ``<incarnation of the home>.<epoch>.<nonce and check digits>``.

    Attributes:
        incarnation: Incarnation of the home.
        epoch: Epoch of the home in which the id was minted.
        nonce: Random hexadecimal digits, followed by the check digits.
    """

    incarnation: str
    epoch: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.incarnation}.{self.epoch}.{self.nonce}"


def mint_incarnation() -> str:
    """Returns a new random incarnation, unique to this process."""
    return secrets.token_hex(INCARNATION_BYTES)


def mint_job_id(incarnation: str, epoch: int) -> JobId:
    """Returns a new random job id for a home and one of its epochs."""
    stem = secrets.token_hex(NONCE_BYTES)
    return JobId(incarnation, epoch, stem + _check_digits(incarnation, epoch, stem))


def parse_job_id(text: str) -> Result[JobId, DispatchError]:
    """Parses a job id in canonical form and verifies its check digits."""
    refused: Result[JobId, DispatchError] = Err(
        DispatchError(ErrorKind.NO_SUCH_ID, "this is not a valid job id")
    )
    parts = text.split(".")
    if len(parts) != 3:
        return refused
    incarnation, epoch_text, nonce = parts
    if len(incarnation) != 2 * INCARNATION_BYTES:
        return refused
    if len(nonce) != 2 * NONCE_BYTES + CHECK_DIGITS:
        return refused
    if not _is_canonical_number(epoch_text):
        return refused
    epoch = int(epoch_text)
    stem = nonce[:-CHECK_DIGITS]
    if nonce[-CHECK_DIGITS:] != _check_digits(incarnation, epoch, stem):
        return refused
    return Ok(JobId(incarnation, epoch, nonce))


def _is_canonical_number(text: str) -> bool:
    if not text.isascii() or not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        return False
    return text == str(int(text))


def _check_digits(incarnation: str, epoch: int, stem: str) -> str:
    checksum = zlib.crc32(f"{incarnation}.{epoch}.{stem}".encode())
    return f"{checksum & 0xFFFF:04x}"
