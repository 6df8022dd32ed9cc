"""Prove that the stand-in of the store keeps what clients may rely on."""

from __future__ import annotations

import time

import anyio

from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import listen, until

PREFIX = "told/"
KEY = f"{PREFIX}one"

WAIT = 0.3
"""Seconds that a call waits for changes."""


def test_a_change_as_a_waiting_call_ends_is_told() -> None:
    """A key goes in the moment in which a call that waits for changes ends, as happens when the
    process gets no processor for a while. An answer that names the newer revision without the
    change hides it for good: candidates would never hear that a shard is free."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            stand_in.put_document(KEY, {})
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            after = (await store.list(PREFIX)).revision
            before = stand_in.calls
            told: list[tuple[str, bytes | None]] = []

            async def follow() -> None:
                first = await store.changes(PREFIX, after, WAIT)
                second = await store.changes(PREFIX, first.revision, WAIT / 3)
                told.extend((item.key, item.value) for item in (*first.changes, *second.changes))

            async def change() -> None:
                await anyio.sleep(WAIT / 3)
                stand_in.delete(KEY)

            async with anyio.create_task_group() as calls:
                calls.start_soon(follow)
                await until(lambda: stand_in.calls > before)
                calls.start_soon(change)
                await anyio.sleep(0.01)
                time.sleep(2 * WAIT)
            assert told == [(KEY, None)]
            tasks.cancel_scope.cancel()

    anyio.run(run)
