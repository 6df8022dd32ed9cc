"""Move lasting tasks off executors that said that they leave."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.state.draining import (
    draining_executors,
    long_running_runs,
    runs_to_stop,
    stop_deadline_reached,
    time_left,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.term import Term
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

PAUSE = 0.1
"""Seconds between two looks."""


class DrainRunner:
    """Empty the executors that leave during one term.

    Nothing is remembered from one look to the next but what was logged: a new owner goes on from
    what the registry and the executors tell it.
    """

    def __init__(
        self, shard: Shard, term: Term, kill_grace: float, wake: Callable[[], None]
    ) -> None:
        self._shard = shard
        self._term = term
        self._kill_grace = kill_grace
        self._wake = wake
        self._told: dict[str, str] = {}
        """What was last logged of each executor that leaves."""

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            self.look(clock.read())
            await anyio.sleep(PAUSE)

    def look(self, now: float) -> None:
        """Move what can and must be moved now."""
        found = draining_executors(self._shard.ledger.executors.values())
        for executor in found:
            self._empty(executor, now)
        for name in self._told.keys() - {item.name for item in found}:
            self._conclude(name, now)

    def _empty(self, executor: Executor, now: float) -> None:
        """Stop tasks of one executor, unless nothing could start elsewhere without the store."""
        if not self._term.is_held(now):
            self._tell(executor, "waits for the store", now)
            return
        runs = runs_to_stop(
            executor, lambda run: self._shard.can_place_elsewhere(run, now), self._kill_grace, now
        )
        for run in runs:
            self._stop(executor, run, now)
        self._tell(executor, self._outcome(executor, now), now)
        if runs:
            self._wake()

    def _outcome(self, executor: Executor, now: float) -> str:
        left = long_running_runs(executor)
        if not left:
            return "empty"
        if stop_deadline_reached(executor, self._kill_grace, now):
            return "all stopped"
        return "moving" if any(run.stop_requested for run in left) else "held"

    def _stop(self, executor: Executor, run: Run, now: float) -> None:
        soon = stop_deadline_reached(executor, self._kill_grace, now)
        task_id = run.task.task_id
        fields = {"job": task_id.job_id, "task": task_id[1:], "run": run.number}
        why = "executor leaves soon" if soon else "place elsewhere"
        log.info("task moved", extra={**fields, **self._describe(executor, now), "why": why})
        self._shard.request_stop(run)

    def _tell(self, executor: Executor, outcome: str, now: float) -> None:
        """Log how far an executor is emptied, once for each change."""
        if self._told.get(executor.name) == outcome:
            return
        self._told[executor.name] = outcome
        log.info("executor emptied", extra={**self._describe(executor, now), "outcome": outcome})

    def _conclude(self, name: str, now: float) -> None:
        """Log what became of an executor that is no longer leaving."""
        del self._told[name]
        executor = self._shard.ledger.executors.get(name)
        if executor is None:
            log.info("executor emptied", extra={"executor": name, "outcome": "left"})
            return
        outcome = "stays" if executor.registered else "left with work"
        log.info("executor emptied", extra={**self._describe(executor, now), "outcome": outcome})

    def _describe(self, executor: Executor, now: float) -> dict[str, object]:
        return {
            "executor": executor.name,
            "runs": len(executor.runs),
            "lasting": len(long_running_runs(executor)),
            "remaining": round(time_left(executor, now), 3),
            "age": round(now - executor.departure_reported_at, 3),
            "token": self._term.token,
        }
