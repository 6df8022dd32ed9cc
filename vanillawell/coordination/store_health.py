"""Know when calls to the store go unanswered, so that callers are refused before one is sent.

A write without an answer may have been carried out, so its caller can't be told that it was not.
One that was never sent was not carried out for certain, and its caller can come back.
"""

from __future__ import annotations

from dataclasses import dataclass

PROBE_PAUSE = 0.3
"""Seconds after an unanswered call for which the store isn't asked again."""

PROBE_BOUND = 0.5
"""Seconds for which a reading may take to prove that the store answers; a slow one takes 0.4."""


@dataclass(slots=True)
class StoreHealth:
    """What is known of the store by the latest calls to it.

    Times are those of the clock of decisions.
    """

    _answered_at: float = float("-inf")
    _silent_at: float | None = None
    """When a call went unanswered while nothing else was answered either; None after an answer."""

    _doubtful: bool = False

    def note_answer(self, now: float) -> None:
        """Take in that the store has answered."""
        self._answered_at = now
        self._silent_at = None
        self._doubtful = False

    def note_failure(self) -> None:
        """Take in that a call has failed, which may be its connection's fault alone."""
        self._doubtful = True

    def note_silence(self, sent: float, now: float) -> None:
        """Take in that a call that was sent at `sent` has got no answer.

        If others were answered since, its answer was lost, and nobody else has to be shut out.
        """
        self._doubtful = True
        if self._answered_at <= sent:
            self._silent_at = now

    def is_doubtful(self) -> bool:
        """Tell whether a reading has to prove first that it answers."""
        return self._doubtful

    def is_silent(self, now: float) -> bool:
        """Tell whether it went unanswered so lately that asking again is no use."""
        return self._silent_at is not None and now < self._silent_at + PROBE_PAUSE
