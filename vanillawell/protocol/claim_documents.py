"""Define the stored document that claims a request with an Idempotency-Key."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass
from enum import StrEnum

import orjson


class ClaimState(StrEnum):
    """Progress of a claimed request."""

    STARTED = "started"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim on one request, as stored."""

    owner: str
    """Holder name of the entry incarnation that may run the request."""

    token: str
    """Random value drawn for each claim, which identifies it after an unacknowledged write."""

    fingerprint: str
    """Hash of the request; the same key with another request is an error."""

    state: ClaimState = ClaimState.STARTED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: str | None = None
    """Answer body in Base64; None if it was too large to store."""

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Claim:
        """Parse the document."""
        document = orjson.loads(data)
        state = ClaimState(document.pop("state"))
        headers = tuple((name, value) for name, value in document.pop("headers"))
        return cls(state=state, headers=headers, **document)


def uuid7_time(key: str) -> float | None:
    """Return the creation time in a UUIDv7 (RFC 9562), in seconds since the epoch, else None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == 7 else None


def fingerprint(method: str, target: bytes, body: bytes) -> str:
    """Return a hash of the method, target and body of a request."""
    digest = hashlib.sha256(f"{method} ".encode() + target + b"\n" + body)
    return digest.hexdigest()[:32]
