"""Define what an owner stores of executors whose leases it does not extend."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """How long executors may still hold leases that nobody extends.

    No owner extends a lease of an executor that the stored document names. So the bounds hold
    for all later owners, too, until one of them has stored a document without that executor.
    """

    left: Mapping[str, float] = field(default_factory=dict)
    """Seconds after which all leases of an executor are surely over, by executor, from the moment
    of writing."""

    clocks: Mapping[str, float] = field(default_factory=dict)
    """Seconds on the steady clocks of other executors at that moment, by their lives."""

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> LeaseBounds:
        """Read the document; raises ValueError if it is none."""
        try:
            document = orjson.loads(data)
            return cls(_numbers(document["left"]), _numbers(document["clocks"]))
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"not bounds of leases: {error!r}") from error


def _numbers(item: Mapping[str, float]) -> dict[str, float]:
    return {str(name): float(value) for name, value in item.items()}
