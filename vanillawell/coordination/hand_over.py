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
    from vanillawell.coordination.lease_manager import LeaseManager
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.store import Put
    from vanillawell.state.executors import Executor

log = logging.getLogger(__name__)

RENEWAL_BOUND = 0.3
"""Seconds for which a stopping owner waits for executors to confirm a last renewal."""


async def renew_once(drivers: Iterable[ExecutorDriver]) -> frozenset[str]:
    """Renew the leases of all sound work, so that it outlives a slow change of owner.

    Returns the executors that did not answer, which may have fallen silent just before.
    """
    sound = [item for item in drivers if item.executor.runs and not item.executor.is_unconfirmed]
    unanswered = {driver.executor.name for driver in sound}

    async def renew(driver: ExecutorDriver) -> None:
        if await driver.renew():
            unanswered.discard(driver.executor.name)

    with anyio.move_on_after(RENEWAL_BOUND):
        async with anyio.create_task_group() as renewals:
            for driver in sound:
                renewals.start_soon(renew, driver)
    return frozenset(unanswered)


async def store_last_bounds(
    term: Term,
    leases: LeaseManager,
    executors: Mapping[str, Executor],
    until: float,
    unanswered: frozenset[str] = frozenset(),
) -> bool:
    """Try once to store the last word of an owner on leases, by `until` on the clock of decisions;
    tells whether that was done.

    It names executors that left the last renewal `unanswered` as silent, so that their bounds
    outlive a successor that is lost before it has noticed anything.

    While the store is away nobody can take over, and what runs is better renewed: a try that did
    nothing for certain is taken back.
    """

    def draft() -> list[Put]:
        put = leases.draft(executors.values(), clock.read(), True, unanswered)
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
