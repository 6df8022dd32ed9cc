"""Define what an owner stores of the leases that tasks may hold on executors."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class ExecutorBound:
    """What an owner knew of one executor when it wrote the document."""

    left: float
    """Seconds after which all leases there are surely over."""

    known_for: float
    """Seconds for which owners had known the executor's present life."""

    machine: str = ""
    """Where that life is; empty if it is not known."""

    life: int = 0
    """Start time of that life, in milliseconds since the epoch; 0 if it is not known."""


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """How long executors may still hold leases, from the moment of writing.

    Each owner signs the document as it takes the shard over, in the same transaction. So what is
    found under the token of the last owner holds; under an older one an owner that knows nothing of
    the document may have extended any lease since.
    """

    token: int = 0
    """Fencing token of the owner that wrote or signed this."""

    silent: Mapping[str, ExecutorBound] = field(default_factory=dict)
    """Executors out of touch. No owner extends a lease there before it has stored a document
    without them, so these bounds hold over any number of owners."""

    handed_over: Mapping[str, ExecutorBound] = field(default_factory=dict)
    """Executors in touch with an owner that hands over. It extends no lease any more; its successor
    may at once, so these bounds hold for the successor only."""

    clocks: Mapping[str, float] = field(default_factory=dict)
    """Seconds that the steady clocks of some executors showed at most, by their lives."""

    def adopted_by(self, token: int) -> LeaseBounds:
        """Return what a new owner stores as it takes over."""
        return LeaseBounds(token, self.silent, {}, self.clocks)

    def of(self, executor: str) -> ExecutorBound | None:
        """Return the bound of an executor, None if nothing is known of it."""
        return self.silent.get(executor) or self.handed_over.get(executor)

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> LeaseBounds:
        """Read the document; raises ValueError if it is none."""
        try:
            document = orjson.loads(data)
            return cls(
                int(document["token"]),
                _read_bounds(document["silent"]),
                _read_bounds(document["handed_over"]),
                {str(life): float(value) for life, value in document["clocks"].items()},
            )
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"not bounds of leases: {error!r}") from error


def _read_bounds(item: Mapping[str, Any]) -> dict[str, ExecutorBound]:
    return {
        str(name): ExecutorBound(
            float(bound["left"]),
            float(bound["known_for"]),
            str(bound.get("machine", "")),
            int(bound.get("life", 0)),
        )
        for name, bound in item.items()
    }
