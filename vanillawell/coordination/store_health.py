"""Track whether the store answers, so that callers can be refused before a write is sent.

A write without an answer may have been carried out, so its caller cannot be told that it was not. A
write that was never sent has certainly not been carried out, and its caller can retry.
"""

from __future__ import annotations

from dataclasses import dataclass

PROBE_INTERVAL = 0.3
"""Seconds after an unanswered call until the store is probed again."""

PROBE_TIMEOUT = 0.5
"""Seconds within which a probe has to be answered; a slow store takes 0.4 s."""


@dataclass(slots=True)
class StoreHealth:
    """Health of the store according to the latest calls to it.

    Times are those of `clock.read`.
    """

    _answered_at: float = float("-inf")
    _timed_out_at: float | None = None
    """Time at which a call timed out while no other call was answered; None after an answer."""

    _needs_probe: bool = False

    def record_answer(self, now: float) -> None:
        """Record that the store has answered."""
        self._answered_at = now
        self._timed_out_at = None
        self._needs_probe = False

    def record_failure(self) -> None:
        """Record that a call has failed, possibly only because of its connection."""
        self._needs_probe = True

    def record_timeout(self, sent: float, now: float) -> None:
        """Record that a call sent at `sent` was not answered.

        If other calls were answered since then, only its answer was lost, and the store does not
        count as unresponsive.
        """
        self._needs_probe = True
        if self._answered_at <= sent:
            self._timed_out_at = now

    def needs_probe(self) -> bool:
        """Return whether a probe has to confirm that the store answers before the next write."""
        return self._needs_probe

    def is_unresponsive(self, now: float) -> bool:
        """Return whether a call timed out so recently that the store is not probed again yet."""
        return self._timed_out_at is not None and now < self._timed_out_at + PROBE_INTERVAL
