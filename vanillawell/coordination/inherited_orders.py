"""Keep new work off machines that a former owner's orders may take away yet."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import Backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.machine_orders import MachineOrders
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

PAUSE = 0.1
"""Seconds between two looks at what has become of a former owner's orders."""

NAMES_TOLD = 5
"""Machines that are named in one log line."""


class InheritedOrders:
    """Withhold the machines of a former owner's orders for one term.

    An order that was announced may be sent, and carried out, after the change of owner. The
    executor on its machine is sound and idle until then, and what is placed there ends with it.
    """

    def __init__(self, shard: Shard, wake: Callable[[], None]) -> None:
        """Take what tells the owner of news."""
        self._shard = shard
        self._wake = wake
        self._read = anyio.Event()

    @property
    def are_known(self) -> bool:
        """Tell whether it has been read which machines are withheld."""
        return self._read.is_set()

    async def known(self) -> None:
        """Wait until that has been read."""
        await self._read.wait()

    async def run(self, orders: MachineOrders) -> None:
        """Read the orders, and let their machines go one after the other."""
        backoff = Backoff()
        while not await orders.load():
            await backoff.wait()
        pending = orders.pending_of_previous_owner(clock.read())
        self._shard.ledger.withhold(pending)
        if pending:
            some = sorted(pending)[:NAMES_TOLD]
            log.info("machines withheld", extra={"machines": len(pending), "some": some})
        self._read.set()
        self._wake()
        while pending:
            await anyio.sleep(PAUSE)
            now = clock.read()
            over = [name for name in pending if orders.is_over(name, now)]
            for name in over:
                del pending[name]
                self._shard.ledger.release_machine(name, now)
            if over:
                some = sorted(over)[:NAMES_TOLD]
                log.info("machines let go", extra={"machines": len(over), "some": some})
                self._wake()
