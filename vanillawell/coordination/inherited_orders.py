"""Place no tasks on machines that orders of a previous owner may still remove."""

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

POLL_INTERVAL = 0.1
"""Seconds between two checks of the orders of previous owners."""

MAX_LOGGED_NAMES = 5
"""Maximum number of machines named in one log line."""


class InheritedOrders:
    """Withhold machines that previous owners have ordered, for one term.

    An announced order may be sent and carried out after the change of owner. The executor on the
    machine is healthy and idle until then, and tasks placed there would end with it.
    """

    def __init__(self, shard: Shard, wake: Callable[[], None]) -> None:
        """Create the inherited orders of a shard; `wake` requests a scheduling cycle."""
        self._shard = shard
        self._wake = wake
        self._loaded = anyio.Event()

    @property
    def are_loaded(self) -> bool:
        """Return whether the orders have been read."""
        return self._loaded.is_set()

    async def wait_until_loaded(self) -> None:
        """Wait until the orders have been read."""
        await self._loaded.wait()

    async def run(self, orders: MachineOrders) -> None:
        """Read the orders and withhold their machines until each order is over."""
        backoff = Backoff()
        while not await orders.load():
            await backoff.wait()
        pending = orders.pending_of_previous_owner(clock.read())
        self._shard.ledger.withhold(pending)
        if pending:
            some = sorted(pending)[:MAX_LOGGED_NAMES]
            log.info("machines withheld", extra={"machines": len(pending), "some": some})
        self._loaded.set()
        self._wake()
        while pending:
            await anyio.sleep(POLL_INTERVAL)
            now = clock.read()
            over = [name for name in pending if orders.is_over(name, now)]
            for name in over:
                del pending[name]
                self._shard.ledger.release_machine(name, now)
            if over:
                some = sorted(over)[:MAX_LOGGED_NAMES]
                log.info("machines let go", extra={"machines": len(over), "some": some})
                self._wake()
