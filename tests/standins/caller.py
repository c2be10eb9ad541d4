"""A caller and operator of one entry, over HTTP."""

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
    """Calls one entry; each method raises ``urllib3.exceptions.HTTPError``.

    Args:
        url: URL of the entry.
        keep_alive: Whether connections are used again.
        timeout_s: Longest wait for an answer, in seconds.
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
        """Sends one request, once; underscores in header names become dashes."""
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        named |= self.headers
        body = None
        if value is not None:
            body = json.dumps(value).encode()
            named["Content-Type"] = "application/json"
        response = self.pool.request(
            method, self.url + path, body=body, headers=named, redirect=False
        )
        decoded = json.loads(response.data) if response.data else None
        return Reply(response.status, decoded, response.headers)

    def request_ids(self, service: str, count: int) -> list[str]:
        """Takes job ids.

        Raises:
            AssertionError: If the entry hands out none.
        """
        body = {"service": service, "count": count}
        reply = self.request("POST", "/v1/ids", body)
        if reply.status != 200:
            raise AssertionError(f"no ids: {reply}")
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
        """Asks what became of a job."""
        return self.request("GET", f"/v1/jobs/{job_id}")

    def cancel_job(self, job_id: str) -> Reply:
        """Cancels a job."""
        return self.request("DELETE", f"/v1/jobs/{job_id}")

    def submit_ticket(self, number: int, ticket: dict[str, Any]) -> Reply:
        """Submits a change ticket."""
        return self.request("PUT", f"/v1/tickets/{number}", ticket)

    def get_ticket(self, number: int) -> Reply:
        """Asks where a change ticket is in force."""
        return self.request("GET", f"/v1/tickets/{number}")

    def get_status(self) -> Reply:
        """Asks for agents, availability zones and links."""
        return self.request("GET", "/v1/status")


def make_job(service: str, payloads: list[Any], **fields: Any) -> dict[str, Any]:
    """Returns the body of a job."""
    tasks = [{"payload": payload} for payload in payloads]
    return {"service": service, "tasks": tasks, **fields}
