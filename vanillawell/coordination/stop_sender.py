"""Send stop orders as soon as they are requested.

Stop orders do not depend on a stored scheduling cycle: job records hold the run until its end is
known, and the orders carry the fencing token. An executor that is about to leave cannot wait for a
cycle.
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
    from vanillawell.state.progress import Run
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

RETRY_INTERVAL = 0.1
"""Seconds after which stops that could not be sent are retried."""


class StopSender:
    """Pass the stop orders of one term on to the drivers of their executors."""

    def __init__(self, shard: Shard, term: Term, drivers: Mapping[str, ExecutorDriver]) -> None:
        """Initialise the sender; `drivers` is the live mapping of drivers by executor."""
        self._shard = shard
        self._term = term
        self._drivers = drivers
        self._wake_event = anyio.Event()
        self._logged_reasons: dict[str, str] = {}
        """The reason that was last logged for the waiting stops of each executor."""

        shard.outbox.on_stop = self._wake

    def _wake(self) -> None:
        self._wake_event.set()

    async def run(self) -> None:
        """Send requested stops until cancelled."""
        while True:
            self.send(clock.read())
            if self._shard.outbox.stops:
                with anyio.move_on_after(RETRY_INTERVAL):
                    await self._wake_event.wait()
            else:
                await self._wake_event.wait()
            self._wake_event = anyio.Event()

    def send(self, now: float) -> None:
        """Pass on the stops that can be sent now; the others wait for the next attempt."""
        outbox = self._shard.outbox
        stops, outbox.stops = outbox.stops, []
        waiting = {run.executor: "" for run in stops}
        for run in stops:
            if not self._shard.ledger.is_charged(run):
                log.info("stop not needed: run has ended", extra=_describe(run))
            elif reason := self._blocking_reason(run, now):
                waiting[run.executor] = reason
                outbox.stops.append(run)
            elif self._shard.withdraw_move_if_needed(run):
                log.info("move withdrawn: others of its step are away", extra=_describe(run))
            else:
                self._drivers[run.executor].orders.stop(run)
        self._log_waiting({name: reason for name, reason in waiting.items() if reason})
        orphans, outbox.orphan_stops = outbox.orphan_stops, []
        for orphan in orphans:
            self._stop_orphan(orphan)

    def _blocking_reason(self, run: Run, now: float) -> str:
        """Return the reason why a stop cannot be sent now, or an empty string.

        A task that is stopped while the owner's lease has expired could not start elsewhere.
        """
        if not self._term.is_held(now):
            return "lease of the owner expired"
        driver = self._drivers.get(run.executor)
        if driver is None or driver.executor is not self._shard.ledger.executors[run.executor]:
            return "executor has no driver yet"
        return ""

    def _log_waiting(self, waiting: dict[str, str]) -> None:
        """Log the reason why stops wait, once for each executor."""
        for name, reason in waiting.items():
            if self._logged_reasons.get(name) != reason:
                log.warning("stops wait", extra={"executor": name, "reason": reason})
        self._logged_reasons = waiting

    def _stop_orphan(self, orphan: OrphanedRun) -> None:
        """Stop a run that no task refers to; it is requested again by each report that lists the
        run."""
        driver = self._drivers.get(orphan.executor)
        if driver is not None:
            driver.orders.stop_orphan(orphan)
            return
        fields = {"job": orphan.task_id.job_id, "task": orphan.task_id[1:], "run": orphan.run}
        log.warning(
            "orphaned run not stopped: executor has no driver",
            extra={**fields, "executor": orphan.executor},
        )


def _describe(run: Run) -> dict[str, object]:
    task_id = run.task.task_id
    fields = {"job": task_id.job_id, "task": task_id[1:], "run": run.number}
    return {**fields, "executor": run.executor}
