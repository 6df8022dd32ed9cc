"""Send orders to stop as soon as they are wanted.

They need nothing of what a turn stores: the records tell of the run until its end is known, and the
orders carry the fencing token. An executor that is about to leave waits for no turn.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.executor_driver import ExecutorDriver
    from vanillawell.coordination.term import Term
    from vanillawell.state.outbox import OrphanedRun
    from vanillawell.state.shard import Shard
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

PAUSE = 0.1
"""Seconds after which stops that could not be sent are tried again."""


class StopSender:
    """Hand the stops of one term on to the drivers of their executors."""

    def __init__(self, shard: Shard, term: Term, drivers: Mapping[str, ExecutorDriver]) -> None:
        """Take the drivers by executor, as they are at any time."""
        self._shard = shard
        self._term = term
        self._drivers = drivers
        self._wanted = anyio.Event()
        self._told: dict[str, str] = {}
        """Why the stops on each executor wait, as last logged."""

        shard.outbox.on_stop = self._wake

    def _wake(self) -> None:
        self._wanted.set()

    async def run(self) -> None:
        """Send what is wanted until cancelled."""
        while True:
            self.send(clock.read())
            if self._shard.outbox.stops:
                with anyio.move_on_after(PAUSE):
                    await self._wanted.wait()
            else:
                await self._wanted.wait()
            self._wanted = anyio.Event()

    def send(self, now: float) -> None:
        """Hand on what can be sent now; stops that can't be wait for the next look."""
        outbox = self._shard.outbox
        stops, outbox.stops = outbox.stops, []
        waiting = {run.executor: "" for run in stops}
        for run in stops:
            if not self._is_charged(run):
                log.info("stop needless", extra=_describe(run))
            elif reason := self._obstacle(run, now):
                waiting[run.executor] = reason
                outbox.stops.append(run)
            else:
                self._drivers[run.executor].orders.stop(run)
        self._tell({name: reason for name, reason in waiting.items() if reason})
        orphans, outbox.orphan_stops = outbox.orphan_stops, []
        for stray in orphans:
            self._stop_orphan(stray)

    def _is_charged(self, run: Run) -> bool:
        executor = self._shard.ledger.executors.get(run.executor)
        return executor is not None and (run.task.task_id, run.number) in executor.runs

    def _obstacle(self, run: Run, now: float) -> str:
        """Return what keeps a stop from being sent now, if anything does.

        What is stopped while the owner's lease has lapsed could not start elsewhere.
        """
        if not self._term.is_held(now):
            return "lease of the owner lapsed"
        driver = self._drivers.get(run.executor)
        if driver is None or driver.executor is not self._shard.ledger.executors[run.executor]:
            return "no driver yet"
        return ""

    def _tell(self, waiting: dict[str, str]) -> None:
        """Log once for each executor why its stops wait."""
        for name, reason in waiting.items():
            if self._told.get(name) != reason:
                log.warning("stops wait", extra={"executor": name, "reason": reason})
        self._told = waiting

    def _stop_orphan(self, stray: OrphanedRun) -> None:
        """Stop what no task wants; each report that lists it asks for that again."""
        driver = self._drivers.get(stray.executor)
        if driver is not None:
            driver.orders.stop_orphan(stray)
            return
        fields = {"job": stray.task_id.job_id, "task": stray.task_id[1:], "run": stray.run}
        log.warning("stray run left", extra={**fields, "executor": stray.executor})


def _describe(run: Run) -> dict[str, object]:
    task_id = run.task.task_id
    fields = {"job": task_id.job_id, "task": task_id[1:], "run": run.number}
    return {**fields, "executor": run.executor}
