"""Parse the head of a caller's request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict

if TYPE_CHECKING:
    from vanillawell.transport.asgi import Scope

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
"""Methods whose requests may safely run twice (RFC 9110 section 9.2.2)."""

DEFERRABLE_URGENCY = 4
"""Urgency (RFC 9218, 0 is the highest) from which a request may wait behind all others."""

DEFAULT_URGENCY = 3
"""Urgency of a request that specifies none (RFC 9218)."""


class RequestRefusedError(Exception):
    """A check refused the request; `refusal` is the answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.slug)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Parsed head of a request."""

    method: str
    path: str
    target: bytes
    headers: dict[bytes, bytes]
    raw_headers: list[tuple[bytes, bytes]]

    @property
    def service(self) -> str:
        """Return the first segment of the path."""
        return self.path.lstrip("/").partition("/")[0]

    @property
    def idempotent(self) -> bool:
        """Return whether a request with this method may safely run twice."""
        return self.method in IDEMPOTENT_METHODS

    def bearer_key(self) -> str:
        """Return the organisation's key (RFC 6750); empty if there is none."""
        scheme, _, key = self.headers.get(b"authorization", b"").decode("latin-1").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def timeout(self, maximum: float) -> float:
        """Return the seconds that the caller allows, at most `maximum`."""
        text = self.headers.get(b"request-timeout")
        if text is None:
            return maximum
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 < seconds < float("inf"):
            raise refusal_error(
                Reason.MALFORMED, "Request-Timeout must be a positive number of seconds"
            )
        return min(seconds, maximum)

    def urgent(self) -> bool:
        """Return whether the request goes ahead of those that may wait (RFC 9218)."""
        parts = self.headers.get(b"priority", b"").replace(b" ", b"").split(b",")
        urgency = next((part[2:] for part in parts if part.startswith(b"u=")), b"")
        return (int(urgency) if urgency.isdigit() else DEFAULT_URGENCY) < DEFERRABLE_URGENCY


def refusal_error(
    reason: Reason, detail: str = "", retry_after: float | None = None
) -> RequestRefusedError:
    """Build the error for a request that certainly did not run."""
    return RequestRefusedError(Refusal(reason, Verdict.NOT_RUN, detail, retry_after))


def read_head(scope: Scope) -> RequestHead:
    """Read the head of a request from its ASGI scope."""
    query = scope.get("query_string", b"")
    target = scope["raw_path"] + (b"?" + query if query else b"")
    raw = list(scope["headers"])
    return RequestHead(scope["method"], scope["path"], target, dict(raw), raw)
