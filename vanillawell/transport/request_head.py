"""Read what the head of a caller's request says."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict

if TYPE_CHECKING:
    from vanillawell.transport.asgi import Scope

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
"""Methods that may run twice without harm (RFC 9110 section 9.2.2)."""

LEAST_URGENT = 4
"""Urgency (RFC 9218, 0 highest) from which on a request may wait behind all others."""

DEFAULT_URGENCY = 3
"""Urgency of a request that says nothing (RFC 9218)."""


class RequestRefusedError(Exception):
    """Carries a refusal out of a check."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.slug)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class Head:
    """What the head of a request says."""

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
        """Tell whether the method allows running twice."""
        return self.method in IDEMPOTENT_METHODS

    def bearer_key(self) -> str:
        """Return the organisation's key (RFC 6750); empty if there is none."""
        scheme, _, key = self.headers.get(b"authorization", b"").decode("latin-1").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def timeout(self, longest: float) -> float:
        """Return the seconds the caller gives, at most `longest`."""
        text = self.headers.get(b"request-timeout")
        if text is None:
            return longest
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 < seconds < float("inf"):
            raise refused(Reason.MALFORMED, "Request-Timeout must be a positive number of seconds")
        return min(seconds, longest)

    def urgent(self) -> bool:
        """Tell whether the request goes ahead of work that may wait (RFC 9218)."""
        parts = self.headers.get(b"priority", b"").replace(b" ", b"").split(b",")
        urgency = next((part[2:] for part in parts if part.startswith(b"u=")), b"")
        return (int(urgency) if urgency.isdigit() else DEFAULT_URGENCY) < LEAST_URGENT


def refused(
    reason: Reason, detail: str = "", retry_after: float | None = None
) -> RequestRefusedError:
    """Build the error for a request that certainly did not run."""
    return RequestRefusedError(Refusal(reason, Verdict.NOT_RUN, detail, retry_after))


def read_head(scope: Scope) -> Head:
    """Read the head of a request from its ASGI scope."""
    query = scope.get("query_string", b"")
    target = scope["raw_path"] + (b"?" + query if query else b"")
    raw = list(scope["headers"])
    return Head(scope["method"], scope["path"], target, dict(raw), raw)
