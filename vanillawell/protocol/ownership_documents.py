"""Define the stored documents on who owns a shard and who asks for it."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from vanillawell.protocol.checked_values import mapping, number, text, whole


@dataclass(frozen=True, slots=True)
class TermDocument:
    """Last owner of a shard and the number of its latest write.

    Every write of an owner replaces this value and requires its previous revision. An
    unacknowledged write therefore cannot take effect after a later one, and a previous owner cannot
    write at all.
    """

    token: int
    """Fencing token; increases with each change of owner."""

    holder: str
    sequence: int = 0

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> TermDocument:
        """Parse the document; raises ValueError if the data is malformed."""
        document = mapping(orjson.loads(data))
        return cls(
            whole(document.get("token")),
            text(document.get("holder")),
            whole(document.get("sequence", 0)),
        )


@dataclass(frozen=True, slots=True)
class Contender:
    """An entry that owns or requests a shard, and its capacity shortfall."""

    name: str
    weakness: float
    """Capacity shortfall of the entry, from 0 if it can own any shard to 1."""

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Contender:
        """Parse the document; raises ValueError if the data is malformed."""
        document = mapping(orjson.loads(data))
        return cls(text(document.get("name")), number(document.get("weakness")))
