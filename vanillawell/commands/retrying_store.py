"""Access the store for operators' commands, retrying reads whose answer is lost or late."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.store import KeyValue, Listing
from vanillawell.transport.store_etcd import EtcdStore

Result = TypeVar("Result")

MAX_READ_TRIES = 4
"""Maximum number of tries of one read; after that its error ends the command."""

RETRY_DELAY = 0.5
"""Seconds between two tries."""


class RetryingStore(EtcdStore):
    """Retry reads, which have no side effects; callers decide whether to repeat their writes."""

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        return await _retry_read(lambda: super(RetryingStore, self).get(key))

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`."""
        return await _retry_read(lambda: super(RetryingStore, self).list(prefix))


async def _retry_read(read: Callable[[], Awaitable[Result]]) -> Result:
    """Read until there is an answer.

    A command reads the store again after its change was accepted. Without retries, one late
    answer to such a read would end the command as if the change had failed.

    Raises:
        StoreError: The last try failed.
    """
    for _ in range(MAX_READ_TRIES - 1):
        try:
            return await read()
        except StoreOutcomeUnknownError:
            await anyio.sleep(RETRY_DELAY)
    return await read()
