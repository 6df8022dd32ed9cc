"""Leave a successor what it has to know of executors' leases."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import StoreOutcomeUnknownError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from vanillawell.coordination.executor_driver import ExecutorDriver
    from vanillawell.coordination.lease_keeper import LeaseKeeper
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.store import Put
    from vanillawell.state.executors import Executor

log = logging.getLogger(__name__)

RENEWAL_BOUND = 0.3
"""Seconds for which a stopping owner waits for executors to confirm a last renewal."""


async def renew_once(drivers: Iterable[ExecutorDriver]) -> None:
    """Renew the leases of all sound work, so that it outlives a slow change of owner."""
    with anyio.move_on_after(RENEWAL_BOUND):
        async with anyio.create_task_group() as renewals:
            for driver in drivers:
                if driver.executor.runs and not driver.executor.is_out_of_touch:
                    renewals.start_soon(driver.renew)


async def store_last_bounds(
    term: Term, leases: LeaseKeeper, executors: Mapping[str, Executor], until: float
) -> bool:
    """Try once to store the last word of an owner on leases, by `until` on the clock of decisions;
    tells whether that was done.

    While the store is away nobody can take over, and what runs is better renewed: a try that did
    nothing for certain is taken back.
    """

    def draft() -> list[Put]:
        put = leases.draft(executors.values(), clock.read(), last=True)
        return [] if put is None else [put]

    if not term.is_held(clock.read()):
        return False
    try:
        await term.write_if_reachable(draft, until)
    except StoreUnavailableError as error:
        log.warning("lease bounds not stored", extra={"why": str(error)})
        leases.take_back()
        return False
    except StoreOutcomeUnknownError as error:
        log.warning("lease bounds not confirmed", extra={"why": str(error)})
        return False
    leases.confirm()
    term.close()
    return True
