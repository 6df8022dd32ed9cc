"""Read the store for operators, asking again where an answer is lost or late."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.store import KeyValue, Listing
from vanillawell.transport.store_etcd import EtcdStore

Result = TypeVar("Result")

READ_TRIES = 4
"""Tries of one read before a command ends with its error."""

TRY_PAUSE = 0.5
"""Seconds between two tries."""


class RetryingStore(EtcdStore):
    """Repeat reads, which have no effect; writes are left to whoever knows what they mean."""

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        return await _again(lambda: super(RetryingStore, self).get(key))

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`."""
        return await _again(lambda: super(RetryingStore, self).list(prefix))


async def _again(read: Callable[[], Awaitable[Result]]) -> Result:
    """Read until there is an answer; raises the last try's StoreError.

    A change is accepted before its roll-out is read about. One late answer there would end the
    command as if the change had failed.
    """
    for _ in range(READ_TRIES - 1):
        try:
            return await read()
        except StoreOutcomeUnknownError:
            await anyio.sleep(TRY_PAUSE)
    return await read()
