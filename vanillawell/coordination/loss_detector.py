"""Find out what became of executors that answer nothing, and tell what is waited for."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import MachineState
from vanillawell.state.lost_executors import find_lost_executors, unresponsive_executors
from vanillawell.state.upkeep import incarnation_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.machine_calls import MachineCalls
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

UNREACHED_AFTER = 1.0
"""Seconds after loading a shard at which executors that have not reported are logged."""

PAUSE = 0.1
"""Seconds between two looks for executors in doubt."""

SECOND_LOOK = 0.3
"""Seconds after which the list is read again for executors that it does not name."""

LIST_PAUSE = 0.7
"""Seconds between other readings of the list while there is doubt; readings are priced."""


class LossDetector:
    """End the lives of executors that run nothing any more, for one term."""

    def __init__(self, shard: Shard, machines: MachineCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._machines = machines
        self._wake = wake
        self._missing: set[str] = set()
        """Lives that the latest reading did not name."""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if unresponsive_executors(self._shard.ledger.executors.values(), clock.read()):
                await self._look()
                await anyio.sleep(SECOND_LOOK if self._missing else LIST_PAUSE)
            else:
                self._missing.clear()
                await anyio.sleep(PAUSE)

    async def _look(self) -> None:
        requested_at = clock.read()
        try:
            machines = await self._machines.list_machines()
        except (NotSentError, NoAnswerError) as error:
            log.warning("executors in doubt not looked up", extra={"why": str(error)})
            self._missing.clear()
            return
        carried = {
            item.name: (item.executor or "") if item.state is MachineState.UP else ""
            for item in machines
        }
        found = find_lost_executors(
            list(self._shard.ledger.executors.values()), carried, requested_at
        )
        again = [item for item in found.missing if incarnation_id(item) in self._missing]
        self._missing = {incarnation_id(item) for item in found.missing if item not in again}
        for executor in found.terminated:
            self._end(executor, "another state of its machine", requested_at)
        for executor in again:
            self._end(executor, "on no machine, twice", requested_at)

    def _end(self, executor: Executor, reason: str, requested_at: float) -> None:
        now = clock.read()
        fields = {"executor": executor.name, "machine": executor.facts.machine, "reason": reason}
        figures = {"runs": len(executor.runs), "age": round(now - requested_at, 3)}
        log.warning("executor has ended", extra={**fields, **figures})
        self._shard.mark_terminated(executor.name, executor.facts.incarnation, now, time.time())
        self._wake()


async def log_unreached_executors(shard: Shard, token: int) -> None:
    """Log which executors with work of former terms have not reported, and what is waited for.

    Their tasks start elsewhere only after that time, and nothing else would tell why.
    """
    await anyio.sleep(UNREACHED_AFTER)
    now = clock.read()
    for executor in shard.ledger.executors.values():
        if executor.contacted or not executor.runs:
            continue
        fields = {"executor": executor.name, "token": token, "registered": executor.registered}
        left = round(max(0.0, executor.lease_expires_at - now), 3)
        figures = {"runs": len(executor.runs), "lease_left": left}
        log.warning("executor not reached", extra={**fields, **figures})
