"""Test that the stand-in store keeps the guarantees on which clients rely."""

from __future__ import annotations

import time

import anyio

from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.executor_hosts import listen
from vanillawell.tests.scheduler_cluster import until

PREFIX = "watched/"
WATCHED_KEY = f"{PREFIX}one"

WATCH_WAIT = 0.3
"""Seconds for which a watch call waits for changes."""


def test_a_change_at_the_end_of_a_watch_call_is_reported() -> None:
    """A key is deleted at the moment in which a watch call ends, as happens when the process gets
    no processor time for a while. An answer that carries the newer revision without the change
    would hide it for good, and candidates would never learn that a shard is free."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            stand_in.put_document(WATCHED_KEY, {})
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            after = (await store.list(PREFIX)).revision
            before = stand_in.calls
            reported: list[tuple[str, bytes | None]] = []

            async def watch() -> None:
                first = await store.changes(PREFIX, after, WATCH_WAIT)
                second = await store.changes(PREFIX, first.revision, WATCH_WAIT / 3)
                reported.extend(
                    (item.key, item.value) for item in (*first.changes, *second.changes)
                )

            async def delete_key() -> None:
                await anyio.sleep(WATCH_WAIT / 3)
                stand_in.delete(WATCHED_KEY)

            async with anyio.create_task_group() as calls:
                calls.start_soon(watch)
                await until(lambda: stand_in.calls > before)
                calls.start_soon(delete_key)
                await anyio.sleep(0.01)
                time.sleep(2 * WATCH_WAIT)
            assert reported == [(WATCHED_KEY, None)]
            tasks.cancel_scope.cancel()

    anyio.run(run)
