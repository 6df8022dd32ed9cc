"""Define refusals and their reasons, which are sent as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

import orjson

from vanillawell.protocol.verdict import Verdict


class Reason(Enum):
    """Why a request was refused: problem type, HTTP status and title."""

    MALFORMED = ("malformed-request", 400, "The request is malformed")
    UNAUTHENTICATED = ("unauthenticated", 401, "The key is missing, unknown or withdrawn")
    CONFIGURATION_STALE = ("configuration-stale", 503, "No fresh configuration confirms the key")
    NO_SUCH_SERVICE = ("no-such-service", 404, "No service has this name")
    NO_SUCH_QUEUE = ("no-such-queue", 404, "No queue takes jobs here")
    NO_SUCH_JOB = ("no-such-job", 410, "No job has this id, or it is long over")
    ACCEPTANCE_UNKNOWN = ("acceptance-unknown", 504, "The store gave no answer; ask again")
    BODY_LATE = ("body-late", 408, "The request body did not arrive in time")
    JOB_TOO_LARGE = ("job-too-large", 400, "The job is larger than what is kept of one job")
    JOB_WITHDRAWN = ("job-withdrawn", 409, "The job was cancelled before it was accepted")
    JOB_ID_TAKEN = ("job-id-taken", 409, "The id is taken; hand the job in under another one")
    TOO_LARGE = ("too-large", 413, "The request body is larger than allowed")
    QUEUE_FULL = ("queue-full", 429, "The organisation's queue is full")
    CANNOT_FINISH = ("cannot-finish-in-time", 429, "The queue is too long for the deadline")
    NO_UNITS = ("no-limit-units", 503, "The store is away and this entry holds none of the limit")
    NO_BACKEND = ("no-backend-server", 503, "No backend server can take the request")
    STOPPING = ("stopping", 503, "This entry is stopping; send the request again")
    STARTING = ("starting", 503, "This entry has no configuration yet")
    STORE_DOWN = ("store-unavailable", 503, "The idempotency record cannot be written now")
    DEADLINE = ("deadline-exceeded", 504, "The deadline passed")
    BACKEND_FAILED = ("backend-failed", 502, "The backend server gave no whole answer")
    IN_PROGRESS = ("in-progress", 409, "A request with this Idempotency-Key is running")
    KEY_REUSED = ("idempotency-key-reused", 422, "This Idempotency-Key came with another request")
    KEY_EXPIRED = ("idempotency-key-expired", 409, "This Idempotency-Key is too old to be known")
    OUTCOME_UNKNOWN = ("outcome-unknown", 409, "An earlier request with this key may have run")

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer by vanillawell itself instead of a backend server."""

    reason: Reason
    verdict: Verdict
    detail: str = ""
    retry_after: float | None = None
    """Seconds after which the caller should retry; None if a retry cannot succeed."""

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the response headers, Retry-After rounded up to whole seconds (RFC 9110)."""
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"vanillawell-verdict", self.verdict.value.encode()),
        ]
        if self.retry_after is not None:
            headers.append((b"retry-after", str(max(1, math.ceil(self.retry_after))).encode()))
        if self.reason is Reason.UNAUTHENTICATED:
            headers.append((b"www-authenticate", b"Bearer"))
        return headers

    def body(self) -> bytes:
        """Return the problem document as JSON bytes."""
        document: dict[str, object] = {
            "type": f"urn:vanillawell:{self.reason.slug}",
            "title": self.reason.title,
            "status": self.reason.status,
            "verdict": self.verdict.value,
        }
        if self.detail:
            document["detail"] = self.detail
        if self.retry_after is not None:
            document["retry_after_ms"] = math.ceil(self.retry_after * 1000)
        return orjson.dumps(document)
