"""Describe the platform's key-value service as a Protocol, free of any wire format."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One stored value and the store revision that last changed it."""

    key: str
    value: bytes
    mod_revision: int
    """0 means that the key is absent."""


@dataclass(frozen=True, slots=True)
class Compare:
    """Require that `key` was last changed at `mod_revision`; 0 requires absence."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write `value`; a non-zero `lease` deletes the key when that lease ends."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes if all comparisons hold, otherwise read `reads`."""

    compares: Sequence[Compare] = ()
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()
    reads: Sequence[str] = ()
    """Keys whose present values come with the answer of a failed transaction."""

    read_back: bool = False
    """Whether `reads` come with the answer of a successful one, too."""


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Outcome of a transaction; `values` holds what it read, by key; absent keys are missing."""

    succeeded: bool
    revision: int
    values: dict[str, KeyValue] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Listing:
    """Keys under a prefix, as of one store revision."""

    revision: int
    items: tuple[KeyValue, ...]


@dataclass(frozen=True, slots=True)
class Change:
    """One key that was written, or deleted if `value` is None."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix up to one store revision, in their order."""

    revision: int
    """Revision from which to ask on."""

    changes: tuple[Change, ...]


class PolledStore(Protocol):
    """Calls to a store whose changes are asked for prefix by prefix.

    Each raises StoreUnavailableError if it had no effect for certain, and
    StoreOutcomeUnknownError if it may have had one, even seconds later.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`; `revision` is safe to follow on from."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction; a failed one returns the present values of what it compared.

        Raises:
            LeaseEndedError: A lease that a write names has ended; nothing was written.
        """

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""

    async def keep_alive(self, lease: int, fresh: bool = False) -> bool:
        """Renew a lease, over a new connection if `fresh`; False means that it has ended."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait` seconds for the first.

        Raises:
            HistoryGoneError: These changes are no longer kept; list the prefix again.
        """


class Store(Protocol):
    """Calls that the product makes to the platform's key-value service.

    Each raises StoreUnavailableError if it had no effect for certain, and
    StoreOutcomeUnknownError if it may have had one.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction."""

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False means that it has ended."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, key: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[KeyValue]]:
        """Yield each change of `key` from `from_revision` on, until the stream ends."""
