"""Set up the stand-in of the store and a client of it, for tests that need nothing else."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.ports import Ports
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.executor_hosts import listen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from vanillawell.coordination.term import Term
    from vanillawell.protocol.store import PolledStore

KEYS = WorkKeys()


async def take(store: PolledStore, name: str) -> Term:
    """Take the shard as the entry `name`."""
    candidate = Candidate(store, KEYS, "all", name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(candidate.watch_holder)
        term = await candidate.acquire()
        tasks.cancel_scope.cancel()
    return term


@dataclass(slots=True)
class StoreSetup:
    """The stand-in of the store, whose leases expire, and a client of it."""

    tasks: TaskGroup
    stand_in: StandInStore
    store: PlatformStore

    @property
    def ports(self) -> Ports:
        """Return the external services of an entry that has only the store."""
        return Ports(self.store, *([None] * 4))  # type: ignore[arg-type]


def with_store(test: Callable[[StoreSetup], Awaitable[None]]) -> Callable[[], None]:
    """Run an async test with a store of its own."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            await test(StoreSetup(tasks, stand_in, store))
            tasks.cancel_scope.cancel()

    @functools.wraps(test)
    def plain() -> None:
        anyio.run(run)

    # With `__wrapped__`, pytest would request a fixture named like the test's argument.
    del plain.__wrapped__
    return plain
