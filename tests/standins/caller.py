"""HTTP client of one entry, for callers and operators."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import urllib3


if TYPE_CHECKING:
    from collections.abc import Mapping


TIMEOUT_S = 60.0
CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Reply:
    """A response of an entry.

    Attributes:
        status: The HTTP status.
        body: The decoded JSON body.
        headers: The headers.
    """

    status: int
    body: Any
    headers: Mapping[str, str]

    @property
    def outcome(self) -> str:
        """The outcome in the body."""
        return str(self.body["outcome"])

    @property
    def kind(self) -> str:
        """The kind of the error in the body."""
        return str(self.body["error"]["kind"])

    @property
    def kind_or_outcome(self) -> str:
        """The kind of the error if there is one, else the outcome."""
        return self.kind if "error" in self.body else self.outcome


class Caller:
    """Sends requests to one entry.

    Each method raises ``urllib3.exceptions.HTTPError`` if there is no response.

    Args:
        url: URL of the entry.
        keep_alive: Whether connections are reused.
        timeout_s: Connect and read timeout of each request, in seconds.
    """

    def __init__(
        self, url: str, keep_alive: bool = True, timeout_s: float = TIMEOUT_S
    ) -> None:
        self.url = url
        self.headers = {} if keep_alive else {"Connection": "close"}
        self.pool = urllib3.PoolManager(
            retries=False, timeout=timeout_s, maxsize=CONNECTIONS
        )

    def request(
        self, method: str, path: str, value: Any = None, **headers: str
    ) -> Reply:
        """Sends a request without retries; ``_`` in header names becomes ``-``."""
        all_headers = {name.replace("_", "-"): text for name, text in headers.items()}
        all_headers |= self.headers
        body = None
        if value is not None:
            body = json.dumps(value).encode()
            all_headers["Content-Type"] = "application/json"
        response = self.pool.request(
            method, self.url + path, body=body, headers=all_headers, redirect=False
        )
        decoded = json.loads(response.data) if response.data else None
        return Reply(response.status, decoded, response.headers)

    def request_ids(self, service: str, count: int) -> list[str]:
        """Requests job ids.

        Raises:
            AssertionError: If the entry refuses the request.
        """
        body = {"service": service, "count": count}
        reply = self.request("POST", "/v1/ids", body)
        if reply.status != 200:
            raise AssertionError(f"the entry returned no job ids: {reply}")
        return list(reply.body["ids"])

    def put_job(self, job_id: str, job: dict[str, Any]) -> Reply:
        """Submits a job under an id and waits for the answer."""
        return self.request("PUT", f"/v1/jobs/{job_id}", job)

    def post_job(self, job: dict[str, Any], key: str | None = None) -> Reply:
        """Submits a job without an id and waits for the answer."""
        if key is None:
            return self.request("POST", "/v1/jobs", job)
        return self.request("POST", "/v1/jobs", job, Idempotency_Key=key)

    def get_job(self, job_id: str) -> Reply:
        """Queries the outcome of a job."""
        return self.request("GET", f"/v1/jobs/{job_id}")

    def cancel_job(self, job_id: str) -> Reply:
        """Cancels a job."""
        return self.request("DELETE", f"/v1/jobs/{job_id}")

    def submit_ticket(self, number: int, ticket: dict[str, Any]) -> Reply:
        """Submits a change ticket."""
        return self.request("PUT", f"/v1/tickets/{number}", ticket)

    def get_ticket(self, number: int) -> Reply:
        """Queries which processes have a change ticket in force."""
        return self.request("GET", f"/v1/tickets/{number}")

    def get_status(self) -> Reply:
        """Queries the agents, availability zones and links that the entry knows."""
        return self.request("GET", "/v1/status")


def make_job(service: str, payloads: list[Any], **fields: Any) -> dict[str, Any]:
    """Returns the request body of a job with one task for each payload."""
    tasks = [{"payload": payload} for payload in payloads]
    return {"service": service, "tasks": tasks, **fields}
