"""HTTP client of an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

import urllib3
from result import Err
from result import Ok
from result import Result
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError


CONNECT_TIMEOUT_S = 3.0
MAX_ERROR_CHARACTERS = 200
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """HTTP status and body of a response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallError:
    """A call without a response.

    Attributes:
        message: Description of the failure, on one line.
        may_have_arrived: Whether the entry may have received the request.
    """

    message: str
    may_have_arrived: bool


class EntryClient:
    """Client of one entry; never retries a request by itself.

    Attributes:
        url: Base URL of the entry.
    """

    def __init__(self, url: str) -> None:
        self.url = url

    def __enter__(self) -> Self:
        self.pool = urllib3.PoolManager(retries=False)
        return self

    def __exit__(self, *exception: object) -> None:
        self.pool.clear()

    def call(
        self, method: str, path: str, timeout_s: float, body: bytes | None = None
    ) -> Result[EntryResponse, CallError]:
        """Sends one request and waits for its response.

        Args:
            method: HTTP method.
            path: Path with a leading slash.
            timeout_s: Timeout of the response, in seconds.
            body: JSON body, or None.
        """
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self.pool.request(
                method,
                self.url + path,
                body=body,
                headers=JSON_HEADERS if body is not None else None,
                timeout=timeout,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(CallError(_describe(error), may_have_arrived=False))
        except HTTPError as error:
            return Err(CallError(_describe(error), may_have_arrived=True))
        return Ok(EntryResponse(response.status, response.data))


def _describe(error: HTTPError) -> str:
    text = " ".join(str(error).split()) or type(error).__name__
    return text[:MAX_ERROR_CHARACTERS]
