"""Store how long a wave has been known, so that later owners of the shard continue the count.

Waves have to be completed in time. An owner that counted from the start of its own term would wait
too long before it stops the tasks that are left. Therefore the age is stored with the wave's
progress, together with readings of executors' monotonic clocks: these run on while nobody owns the
shard, and wall clocks of two entries may differ by seconds.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from vanillawell.coordination.leases import REFERENCE_CLOCKS, min_elapsed
from vanillawell.protocol.checked_values import mapping, number

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.leases import ExecutorClocks


@dataclass(frozen=True, slots=True)
class WaveAge:
    """How long a wave had been known when executors' clocks showed certain readings.

    An age stays valid, so it may be stored again unchanged while there is no better one.
    """

    seconds: float = 0.0
    clocks: Mapping[str, float] = field(default_factory=dict)
    """Upper bounds of executors' monotonic clocks, in seconds by incarnation."""

    def estimate_first_seen(self, clocks: ExecutorClocks, now: float) -> float:
        """Return the time of `clock.read` by which the wave was certainly known.

        The result may become earlier with each call, as more clocks are read.
        """
        return now - self.seconds - min_elapsed(self.clocks, clocks.lower_bound(now))

    def updated(self, first_seen: float, clocks: ExecutorClocks, now: float) -> WaveAge:
        """Return the current age for an owner that counts the wave from `first_seen`.

        An owner that has not read a clock yet keeps the age of its predecessor, unless that has no
        clock readings either.
        """
        present = dict(itertools.islice(clocks.upper_bound(now).items(), REFERENCE_CLOCKS))
        return WaveAge(now - first_seen, present) if present or not self.clocks else self

    def to_document(self) -> dict[str, Any]:
        """Return the fields that are stored with the wave's progress."""
        return {"age": self.seconds, "clocks": dict(self.clocks)}

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> WaveAge:
        """Read the stored fields, which earlier versions did not write.

        Raises:
            ValueError: The fields have other types.
        """
        readings = mapping(document.get("clocks", {}))
        clocks = {life: number(reading) for life, reading in readings.items()}
        return cls(max(0.0, number(document.get("age", 0.0))), clocks)
