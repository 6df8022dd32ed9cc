"""Carry out the division of machines among pools while they are scarce."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.state.contention.machine_division import choose_vacated
from vanillawell.state.executors import by_service

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.state.executors import Executor
    from vanillawell.state.pool_sizing import MovePlan

log = logging.getLogger(__name__)


class MachineDivision:
    """Keep tasks off machines that pools leave to others, and log when machines are scarce."""

    def __init__(self) -> None:
        self._scarce_since: float | None = None

    def apply(
        self, plan: MovePlan, spare: int, executors: Mapping[str, Executor], now: float
    ) -> None:
        """Vacate what a plan leaves to other pools.

        Args:
            plan: The present plan.
            spare: Machines on standby, for the log.
            executors: Registered executors by machine.
            now: Present time.
        """
        self._log(plan, spare, now)
        chosen = {
            executor.name
            for pool, count in plan.vacated.items()
            for executor in choose_vacated(by_service(executors.values(), pool), count, now)
        }
        for executor in executors.values():
            executor.vacating = executor.name in chosen

    @staticmethod
    def suspend(executors: Mapping[str, Executor]) -> None:
        """Let all executors accept tasks again, while no plan can be made.

        An executor that stayed vacated without one would be idle while its pool needs it.
        """
        for executor in executors.values():
            executor.vacating = False

    def _log(self, plan: MovePlan, spare: int, now: float) -> None:
        """Log when machines begin to be scarce and how they are divided, and when that is over."""
        if plan.shares is not None and self._scarce_since is None:
            fields = {"shares": plan.shares, "spare": spare, "vacated": plan.vacated}
            log.info("machines divided", extra=fields)
            self._scarce_since = now
        elif plan.shares is None and self._scarce_since is not None:
            seconds = round(now - self._scarce_since, 3)
            log.info("machines suffice again", extra={"seconds": seconds})
            self._scarce_since = None
