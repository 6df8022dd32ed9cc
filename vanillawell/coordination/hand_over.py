"""Hand a shard over: renew leases a last time and store their bounds for the next owner."""

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

FINAL_RENEWAL_TIMEOUT = 0.3
"""Seconds for which an owner that hands over waits for executors to confirm the last renewal."""


async def renew_healthy_executors(drivers: Iterable[ExecutorDriver]) -> frozenset[str]:
    """Renew the leases of all healthy executors, so that their runs outlive a slow change of owner.

    Returns:
        Names of the executors that did not answer and may have just become unresponsive.
    """
    healthy = [item for item in drivers if item.executor.runs and not item.executor.is_unconfirmed]
    unanswered = {driver.executor.name for driver in healthy}

    async def renew(driver: ExecutorDriver) -> None:
        if await driver.renew():
            unanswered.discard(driver.executor.name)

    with anyio.move_on_after(FINAL_RENEWAL_TIMEOUT):
        async with anyio.create_task_group() as renewals:
            for driver in healthy:
                renewals.start_soon(renew, driver)
    return frozenset(unanswered)


async def store_final_bounds(
    term: Term,
    leases: LeaseManager,
    executors: Mapping[str, Executor],
    until: float,
    unanswered: frozenset[str] = frozenset(),
) -> bool:
    """Try once to store the final lease document of an owner.

    While the store is unreachable no entry can take over, so it is better to keep renewing: if the
    write certainly had no effect, its draft is discarded.

    Args:
        term: Term of the owner; it is closed once the document is stored.
        leases: Leases of the term.
        executors: All executors of the shard, by name.
        until: Time of `clock.read` by which the document has to be stored.
        unanswered: Executors that did not answer the last renewal. They are listed as silent, so
            that their bounds remain stored even if the next owner is lost before it has contacted
            them.

    Returns:
        Whether the document is stored.
    """

    def draft() -> list[Put]:
        put = leases.draft(executors.values(), clock.read(), True, unanswered)
        return [] if put is None else [put]

    if not term.is_held(clock.read()):
        return False
    try:
        await term.write_without_retry(draft, until)
    except StoreUnavailableError as error:
        log.warning("lease bounds not stored", extra={"why": str(error)})
        leases.discard_draft()
        return False
    except StoreOutcomeUnknownError as error:
        log.warning("lease bounds not confirmed", extra={"why": str(error)})
        return False
    leases.confirm()
    term.close()
    return True
