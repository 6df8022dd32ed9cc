"""Wrap the store of one scheduler, so that its path can be cut or slowed down."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from vanillawell.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.protocol.store import Changes

if TYPE_CHECKING:
    from vanillawell.protocol.store import (
        KeyValue,
        Listing,
        PolledStore,
        Transaction,
        TransactionResult,
    )


@dataclass(slots=True)
class InterruptibleStore:
    """Store wrapper of one scheduler whose path to the store can be cut or slowed down."""

    inner: PolledStore
    cut: bool = False
    listing_time: float = 0.0
    """Seconds by which listings are delayed."""
    slow_prefix: str = ""
    """Only listings of prefixes that begin with this are delayed."""
    answer_time: float = 0.0
    """Seconds by which the answer to a write is delayed after the write was carried out."""
    hidden_prefix: str = ""
    """Changes of watched prefixes that begin with this are withheld; empty for none."""
    listed: list[str] = field(default_factory=list)
    """Prefixes of all requested listings."""

    def _check(self) -> None:
        if self.cut:
            raise StoreUnavailableError("cut by the test")

    async def get(self, key: str) -> KeyValue | None:
        self._check()
        return await self.inner.get(key)

    async def list(self, prefix: str) -> Listing:
        self._check()
        self.listed.append(prefix)
        if prefix.startswith(self.slow_prefix):
            await anyio.sleep(self.listing_time)
        return await self.inner.list(prefix)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        self._check()
        result = await self.inner.transact(transaction)
        await anyio.sleep(self.answer_time)
        return result

    async def grant_lease(self, ttl: float) -> int:
        self._check()
        return await self.inner.grant_lease(ttl)

    async def keep_alive(self, lease: int, fresh: bool = False) -> bool:
        self._check()
        return await self.inner.keep_alive(lease, fresh)

    async def revoke(self, lease: int) -> None:
        self._check()
        await self.inner.revoke(lease)

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        self._check()
        result = await self.inner.changes(prefix, after, wait)
        if self.cut:
            raise StoreOutcomeUnknownError("cut by the test")
        if self.hidden_prefix and prefix.startswith(self.hidden_prefix):
            await anyio.sleep(wait)
            return Changes(after, ())
        return result


@dataclass(slots=True)
class RecordingStore(InterruptibleStore):
    """Store wrapper that keeps all transactions, so that a test can let one arrive once more."""

    sent: list[Transaction] = field(default_factory=list)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        self.sent.append(transaction)
        return await self.inner.transact(transaction)
