"""Tell for how long a wave has been known, also to owners that follow on the one that saw it.

Waves have to be done in time. An owner that counted from its own start would let a wave begin anew,
and hurry too late. So the time is stored with the wave's progress, together with the readings of
executors' steady clocks: those go on while nobody owns the shard, and wall clocks of two entries
may differ by seconds.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from vanillawell.coordination.leases import REFERENCE_CLOCKS, min_elapsed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.leases import ExecutorClocks


@dataclass(frozen=True, slots=True)
class WaveAge:
    """The statement that a wave had been known for a time when clocks showed this.

    It stays true, so it may be stored again as it is while there is no better one.
    """

    seconds: float = 0.0
    clocks: Mapping[str, float] = field(default_factory=dict)
    """What executors' steady clocks showed at most, in seconds by their lives."""

    def seen_by(self, clocks: ExecutorClocks, now: float) -> float:
        """Return the clock of decisions by which the wave was surely known.

        It may become earlier with each call, as more clocks are read.
        """
        return now - self.seconds - min_elapsed(self.clocks, clocks.lower_bound(now))

    def later(self, seen: float, clocks: ExecutorClocks, now: float) -> WaveAge:
        """Return the present statement of an owner that counts the wave from `seen`.

        An owner that has read no clock yet can't tell more than its predecessor, unless that had
        read none either.
        """
        present = dict(itertools.islice(clocks.upper_bound(now).items(), REFERENCE_CLOCKS))
        return WaveAge(now - seen, present) if present or not self.clocks else self

    def to_document(self) -> dict[str, Any]:
        """Return the fields that are stored with the wave's progress."""
        return {"age": self.seconds, "clocks": dict(self.clocks)}

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> WaveAge:
        """Read these fields; former versions did not store them.

        Raises TypeError, ValueError or AttributeError if they are of other types.
        """
        clocks = {str(life): float(value) for life, value in document.get("clocks", {}).items()}
        return cls(max(0.0, float(document.get("age", 0.0))), clocks)
