"""Move long-running tasks off executors that have announced their departure."""

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
    from vanillawell.state.progress import Run
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.1
"""Seconds between two checks."""


class DrainRunner:
    """Drain the departing executors during one term.

    Only the logged outcomes are kept between two checks: a new owner continues from what the
    registry and the executors report.
    """

    def __init__(
        self, shard: Shard, term: Term, kill_grace: float, wake: Callable[[], None]
    ) -> None:
        self._shard = shard
        self._term = term
        self._kill_grace = kill_grace
        self._wake = wake
        self._logged_outcomes: dict[str, str] = {}
        """The outcome that was last logged for each departing executor."""

    async def run(self) -> None:
        """Check repeatedly until cancelled."""
        while True:
            self.check(clock.read())
            await anyio.sleep(POLL_INTERVAL)

    def check(self, now: float) -> None:
        """Stop the runs that can or must leave their executors now."""
        departing = draining_executors(self._shard.ledger.executors.values())
        for executor in departing:
            self._drain(executor, now)
        for name in self._logged_outcomes.keys() - {item.name for item in departing}:
            self._log_departure(name, now)

    def _drain(self, executor: Executor, now: float) -> None:
        """Stop runs on one executor; stop none while the store is unavailable, since they could not
        start elsewhere."""
        if not self._term.is_held(now):
            self._log_outcome(executor, "waits for the store", now)
            return
        runs = runs_to_stop(
            executor, lambda run: self._shard.can_place_elsewhere(run, now), self._kill_grace, now
        )
        for run in runs:
            self._stop_run(executor, run, now)
        self._log_outcome(executor, self._outcome(executor, now), now)
        if runs:
            self._wake()

    def _outcome(self, executor: Executor, now: float) -> str:
        remaining_runs = long_running_runs(executor)
        if not remaining_runs:
            return "empty"
        if stop_deadline_reached(executor, self._kill_grace, now):
            return "all stopped"
        return "moving" if any(run.stop_requested for run in remaining_runs) else "held"

    def _stop_run(self, executor: Executor, run: Run, now: float) -> None:
        soon = stop_deadline_reached(executor, self._kill_grace, now)
        task_id = run.task.task_id
        fields = {"job": task_id.job_id, "task": task_id[1:], "run": run.number}
        why = "executor leaves soon" if soon else "place elsewhere"
        log.info("task moved", extra={**fields, **self._describe(executor, now), "why": why})
        self._shard.request_stop(run)

    def _log_outcome(self, executor: Executor, outcome: str, now: float) -> None:
        """Log how far an executor is drained, once per change."""
        if self._logged_outcomes.get(executor.name) == outcome:
            return
        self._logged_outcomes[executor.name] = outcome
        log.info("executor emptied", extra={**self._describe(executor, now), "outcome": outcome})

    def _log_departure(self, name: str, now: float) -> None:
        """Log the outcome for an executor that is no longer departing."""
        del self._logged_outcomes[name]
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
