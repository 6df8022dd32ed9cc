"""Decide whether an entry should receive callers.

The load: a peak in which the store turns some entries away and serves the others, or in which a
small entry can't keep up with the callers that the load balancer sends it. A caller that is refused
there, or that waits there, would be served at once by another entry.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

STORE_GRACE = 0.7
"""Seconds for which calls to the store have to fail; connections break singly at times."""

MAX_LAG = 0.5
"""Seconds by which the event loop may lag. Callers allow about half a second for an answer in
addition to their jobs' own time."""

MIN_RETURN_DELAY = 0.5
RETURN_SPREAD = 1.0
"""Seconds over which entries return after a common cause: all at once would be flooded together."""


@dataclass(slots=True)
class EntryReadiness:
    """Whether one entry is able to serve callers; times are those of `clock.read`."""

    instance: str
    _failing_since: float | None = None
    _hindered_at: float = float("-inf")
    """When a cause not to be ready was last seen."""

    def record_store(self, answered: bool, now: float) -> None:
        """Record whether the store answered a call."""
        if answered:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def record_lag(self, seconds: float, now: float) -> None:
        """Record by how much the event loop was late."""
        if seconds > MAX_LAG:
            self._hindered_at = now

    def is_ready(self, now: float) -> bool:
        """Return whether the entry should receive callers."""
        if self._failing_since is not None and now - self._failing_since >= STORE_GRACE:
            self._hindered_at = now
        return now - self._hindered_at >= self._return_delay

    @property
    def _return_delay(self) -> float:
        """Return the seconds without a cause after which this entry returns."""
        part = zlib.crc32(self.instance.encode()) / 2**32
        return MIN_RETURN_DELAY + RETURN_SPREAD * part
