"""Ask the owner of all machines about executors that answer nothing."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.protocol.calls import NoAnswerError, NotSentError
from vanillawell.protocol.machine_calls import MachineState
from vanillawell.state.losses import ended, in_doubt

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.machine_calls import MachineCalls
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

PAUSE = 0.1
"""Seconds between two looks for executors in doubt."""

LIST_PAUSE = 0.7
"""Seconds between two readings of the list while there are any; readings are priced."""


class LossWatch:
    """End the lives of executors that run nothing any more, for one term."""

    def __init__(self, shard: Shard, machines: MachineCalls, wake: Callable[[], None]) -> None:
        self._shard = shard
        self._machines = machines
        self._wake = wake

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if in_doubt(self._shard.ledger.executors.values(), clock.read()):
                await self._look()
                await anyio.sleep(LIST_PAUSE)
            else:
                await anyio.sleep(PAUSE)

    async def _look(self) -> None:
        asked = clock.read()
        try:
            machines = await self._machines.list_machines()
        except (NotSentError, NoAnswerError) as error:
            log.warning("executors in doubt not looked up", extra={"why": str(error)})
            return
        living = {item.executor for item in machines if item.state is MachineState.UP}
        named = {name for name in living if name}
        now = clock.read()
        for executor in ended(list(self._shard.ledger.executors.values()), named, asked):
            fields = {"executor": executor.name, "machine": executor.facts.machine}
            figures = {"runs": len(executor.runs), "age": round(now - asked, 3)}
            log.warning("executor not on any machine", extra={**fields, **figures})
            self._shard.dead(executor.name, executor.facts.incarnation, now, time.time())
            self._wake()
