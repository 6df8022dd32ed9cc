"""Detect terminated executors among the unresponsive ones, and log unreached executors."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import MachineState
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.lost_executors import (
    find_lost_executors,
    find_unlisted,
    unconfirmed_executors,
)
from vanillawell.state.upkeep import incarnation_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.machine_calls import MachineCalls
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

FIRST_REPORT_TIMEOUT = 1.0
"""Seconds after loading a shard at which executors that have not reported are logged."""

POLL_INTERVAL = 0.1
"""Seconds between two checks for unresponsive executors."""

RECHECK_DELAY = 0.3
"""Seconds after which the machine list is read again to confirm that it does not name an
executor."""

LIST_INTERVAL = 0.7
"""Seconds between other reads of the machine list while executors are unresponsive; reads are
priced."""


class LossDetector:
    """Record executors as terminated that can no longer run anything, for one term."""

    def __init__(self, shard: Shard, machines: MachineCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._machines = machines
        self._wake = wake
        self._missing: set[str] = set()
        """Incarnations that the latest list did not name."""

        self._is_incomplete = False
        """Whether the latest list left out registered executors."""

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            if unconfirmed_executors(self._shard.ledger.executors.values(), clock.read()):
                await self._check()
                await anyio.sleep(RECHECK_DELAY if self._missing else LIST_INTERVAL)
            else:
                self._missing.clear()
                await anyio.sleep(POLL_INTERVAL)

    async def _check(self) -> None:
        requested_at = clock.read()
        try:
            machines = await self._machines.list_machines()
        except (NotSentError, NoAnswerError) as error:
            log.warning(
                "machine list not read for unresponsive executors", extra={"why": str(error)}
            )
            self._missing.clear()
            return
        listed_executors = {
            item.name: (item.executor or "") if item.state is MachineState.UP else ""
            for item in machines
        }
        fleet = list(self._shard.ledger.executors.values())
        self._log_unlisted(find_unlisted(fleet, listed_executors, requested_at))
        result = find_lost_executors(fleet, listed_executors, requested_at)
        missing_twice = [item for item in result.missing if incarnation_id(item) in self._missing]
        self._missing = {
            incarnation_id(item) for item in result.missing if item not in missing_twice
        }
        for executor in result.terminated:
            self._record_termination(executor, EndProof.MACHINE_LIST, requested_at)
        for executor in missing_twice:
            self._record_termination(executor, EndProof.NOT_LISTED, requested_at)

    def _log_unlisted(self, unlisted: list[Executor]) -> None:
        """Log once that a list leaves out executors, until one is whole again."""
        if unlisted and not self._is_incomplete:
            fields = {"n": len(unlisted), "executor": unlisted[0].name}
            log.warning("machine list leaves out registered executors", extra=fields)
        self._is_incomplete = bool(unlisted)

    def _record_termination(self, executor: Executor, proof: EndProof, requested_at: float) -> None:
        now = clock.read()
        fields = {"executor": executor.name, "machine": executor.facts.machine, "reason": proof}
        figures = {"runs": len(executor.runs), "age": round(now - requested_at, 3)}
        log.warning("executor has ended", extra={**fields, **figures})
        self._shard.mark_terminated(
            executor.name, executor.facts.incarnation, proof, now, time.time()
        )
        self._wake()


async def log_unreached_executors(shard: Shard, token: int) -> None:
    """Log which executors with runs from previous terms have not reported, and how long their
    leases last.

    Their tasks start elsewhere only when the leases have expired, and no other log line explains
    the delay.
    """
    await anyio.sleep(FIRST_REPORT_TIMEOUT)
    now = clock.read()
    for executor in shard.ledger.executors.values():
        if executor.contacted or not executor.runs:
            continue
        fields = {"executor": executor.name, "token": token, "registered": executor.registered}
        lease_left = round(max(0.0, executor.lease_expires_at - now), 3)
        figures = {"runs": len(executor.runs), "lease_left": lease_left}
        log.warning("executor not reached", extra={**fields, **figures})
