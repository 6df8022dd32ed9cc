"""Define the interface to the platform's key-value service, independently of the wire format."""

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
    """Revision of the last change; 0 means that the key does not exist."""

    lease: int | None = None
    """Lease that the key is attached to; 0 if it stays until it is deleted, None if not stated."""


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that `key` was last changed at `mod_revision`; 0 means that it does not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one value; the key is deleted when its `lease`, if not 0, expires."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together if all comparisons hold; otherwise `reads` are read."""

    compares: Sequence[Compare] = ()
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()
    reads: Sequence[str] = ()
    """Keys whose current values are returned if a comparison fails."""

    read_back: bool = False
    """Whether the values of `reads` are also returned if the transaction succeeds."""


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Outcome of a transaction; `values` maps the keys that it read and that exist."""

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
    """Change of one key, which was deleted if `value` is None."""

    key: str
    value: bytes | None
    mod_revision: int
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix up to one store revision, in order."""

    revision: int
    """Revision after which to request the next changes."""

    changes: tuple[Change, ...]


class PolledStore(Protocol):
    """Calls to a store whose changes are polled by prefix.

    Each raises StoreUnavailableError if it certainly had no effect, and
    StoreOutcomeUnknownError if it may have had one or may still have one seconds later.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`; `changes` may continue after its `revision`."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction; a failed one returns the current values of the compared keys.

        Raises:
            LeaseEndedError: The lease of a write has expired; nothing was written.
        """

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""

    async def keep_alive(self, lease: int, fresh: bool = False) -> bool:
        """Renew a lease, over a new connection if `fresh`; False means that it has expired."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait` seconds for the first one.

        Raises:
            HistoryGoneError: The store no longer keeps these changes; list the prefix again.
        """


class Store(Protocol):
    """Calls to the platform's key-value service, which streams changes of single keys.

    Each raises StoreUnavailableError if it certainly had no effect, and
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
        """Renew a lease; False means that it has expired."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, key: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[KeyValue]]:
        """Return a stream of the changes of `key`, beginning with `from_revision`."""
