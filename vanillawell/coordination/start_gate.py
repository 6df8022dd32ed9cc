"""Send start orders one by one to an executor that has not answered lately.

It may have started again unnoticed, as a smaller kind. Orders that are sent together would fill the
new incarnation beyond its capacity; the answer to the first one shows that it is another.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator

RECENT_ANSWER_TIME = 0.05
"""Seconds after an answer during which starts are sent side by side; executors take longer to start
again."""

MAX_GATE_DELAY = 0.1
"""Seconds for which an unanswered start holds the next one back. Single answers get lost."""


class StartGate:
    """Decide when the next start may be sent to one executor."""

    def __init__(self) -> None:
        self._unanswered: list[float] = []
        self._settled = anyio.Event()

    def delay(self, answered_at: float, now: float) -> float:
        """Return the maximum seconds until the next start may be sent; 0 if it may be sent now.

        `answered_at` is the time of the executor's last answer.
        """
        if not self._unanswered or now - answered_at < RECENT_ANSWER_TIME:
            return 0.0
        return max(0.0, max(self._unanswered) + MAX_GATE_DELAY - now)

    async def wait(self, seconds: float) -> None:
        """Wait until a start has been answered or has failed, or the time has passed."""
        with anyio.move_on_after(seconds):
            await self._settled.wait()

    @contextmanager
    def sending(self, now: float) -> Iterator[None]:
        """Count a start as unanswered while its call lasts."""
        self._unanswered.append(now)
        try:
            yield
        finally:
            self._unanswered.remove(now)
            self._settled.set()
            self._settled = anyio.Event()
