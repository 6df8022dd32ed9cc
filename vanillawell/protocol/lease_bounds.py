"""Define the stored document on how long leases on executors may still be valid."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.protocol.checked_values import mapping, number, text, whole

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class ExecutorBound:
    """Lease bound and current incarnation of one executor, as known at the time of writing."""

    left: float
    """Seconds after which all leases on the executor have certainly expired."""

    known_for: float
    """Seconds for which owners had tracked the executor's current incarnation."""

    machine: str = ""
    """Machine that this incarnation runs on; empty if unknown."""

    life: int = 0
    """Start time of this incarnation, in milliseconds since the epoch; 0 if unknown."""


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """How long leases on executors may still be valid, counted from the time of writing.

    Each owner writes the document again under its own token, in the transaction by which it takes
    the shard over. The bounds are therefore valid if the document has the token of the previous
    owner. If the token is older, an owner that runs a version without this document may have
    extended any lease since then.
    """

    token: int = 0
    """Fencing token of the owner that last wrote or adopted the document."""

    silent: Mapping[str, ExecutorBound] = field(default_factory=dict)
    """Unresponsive executors. No owner extends a lease on one of them before it has stored a
    document without it, so these bounds stay valid across any number of owners."""

    handed_over: Mapping[str, ExecutorBound] = field(default_factory=dict)
    """Responsive executors of an owner that hands over. It extends no more leases, but its
    successor may do so at once, so these bounds are valid for the successor only."""

    clocks: Mapping[str, float] = field(default_factory=dict)
    """Upper bounds, in seconds, of the monotonic clocks of some executors at the time of writing,
    by incarnation. A successor derives from them the minimum time passed since then."""

    def adopted_by(self, token: int) -> LeaseBounds:
        """Return the document that a new owner stores when it takes over the shard."""
        return LeaseBounds(token, self.silent, {}, self.clocks)

    def of(self, executor: str) -> ExecutorBound | None:
        """Return the bound of an executor, or None if the document has none."""
        return self.silent.get(executor) or self.handed_over.get(executor)

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> LeaseBounds:
        """Parse the document; raises ValueError if the data is malformed."""
        try:
            document = mapping(orjson.loads(data))
            return cls(
                whole(document["token"]),
                _read_bounds(document["silent"]),
                _read_bounds(document["handed_over"]),
                {life: number(value) for life, value in document["clocks"].items()},
            )
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"malformed lease bounds: {error!r}") from error


def _read_bounds(item: Mapping[str, Any]) -> dict[str, ExecutorBound]:
    return {
        name: ExecutorBound(
            number(bound["left"]),
            number(bound["known_for"]),
            text(bound.get("machine", "")),
            whole(bound.get("life", 0)),
        )
        for name, bound in item.items()
    }
