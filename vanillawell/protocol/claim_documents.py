"""Lay out the claim on one request with an Idempotency-Key, as kept in the store."""

from __future__ import annotations

import hashlib
import uuid
from dataclasses import dataclass
from enum import StrEnum

import orjson


class ClaimState(StrEnum):
    """How far a claimed request has come."""

    STARTED = "started"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Claim:
    """One claimed request as stored."""

    owner: str
    """Holder name of the entry run that may run it."""

    token: str
    """Drawn for each claim, by which a lost answer is recognised as one's own."""

    fingerprint: str
    """Hash of what the key came with; the same key with another request is an error."""

    state: ClaimState = ClaimState.STARTED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: str | None = None
    """Base64; None if the answer was too large to keep."""

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Claim:
        """Read the document."""
        document = orjson.loads(data)
        state = ClaimState(document.pop("state"))
        headers = tuple((name, value) for name, value in document.pop("headers"))
        return cls(state=state, headers=headers, **document)


def uuid7_time(key: str) -> float | None:
    """Return the seconds since the epoch in a UUIDv7 (RFC 9562), None for any other text."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == 7 else None


def fingerprint(method: str, target: bytes, body: bytes) -> str:
    """Hash what identifies a request."""
    digest = hashlib.sha256(f"{method} ".encode() + target + b"\n" + body)
    return digest.hexdigest()[:32]
