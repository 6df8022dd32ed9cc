"""Remember start orders that may still reach the next incarnation of an executor.

Orders name the executor only. When an incarnation is proved to have ended, its runs have; but an
order that was on its way may still be carried out by the next one under the same id. That one is
told to reject the runs before it gets any task.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from vanillawell.state.progress import Run
    from vanillawell.state.work import TaskId

MAX_ORDER_DELAY = 30.0
"""Seconds after which an order is no longer expected to be carried out. The platform states no
limit, only that it can be seconds."""


class OpenOrders:
    """Unresolved start orders of closed runs, by executor."""

    def __init__(self) -> None:
        self._sent: defaultdict[str, dict[tuple[TaskId, int], float]] = defaultdict(dict)

    def add(self, run: Run) -> None:
        """Add the order of a run that is being closed, if its outcome is not known."""
        if run.phase in (RunPhase.ORDERED, RunPhase.UNCERTAIN):
            self._sent[run.executor][run.task.task_id, run.number] = run.phase_since

    def take(self, executor: str, now: float) -> set[tuple[TaskId, int]]:
        """Return the orders that an executor's new incarnation has to reject, and forget them.

        Orders to executors that never returned are dropped with it once they are too old.
        """
        taken = self._sent.pop(executor, {})
        for name, orders in list(self._sent.items()):
            if all(now > sent + MAX_ORDER_DELAY for sent in orders.values()):
                del self._sent[name]
        return {key for key, sent in taken.items() if now <= sent + MAX_ORDER_DELAY}
