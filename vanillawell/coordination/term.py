"""Own a shard for one term: fence writes, renew the lease, and detect the loss of ownership."""

from __future__ import annotations

import itertools
import logging
import math
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol, TypeVar

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.exceptions import (
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.ownership_documents import TermDocument
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from vanillawell.coordination.renewed_lease import RenewedLease
    from vanillawell.protocol.store import PolledStore

log = logging.getLogger(__name__)

OWNERSHIP_LEASE = 1.0
"""Seconds that ownership lasts after the last renewal, unless the store grants longer leases only.

The loss of an owner is detected after this time at most. Meanwhile nothing starts, and callers
allow little more for their whole job. The store may turn the owner away and serve all others."""

SLOW_STORE_LEASE = 1.5
"""The same for an owner that takes the shard while the store is slow: renewals take long, too."""

SLOW_ANSWER_TIME = 0.25
"""Seconds from which an answer of the store counts as slow."""


def ownership_lease(answer_time: float, shortest: float = 0.0) -> float:
    """Return the seconds for which ownership should last after a renewal.

    Args:
        answer_time: Seconds that the store took to answer the candidate's latest call.
        shortest: Seconds of the shortest lease that the store grants.
    """
    preferred = OWNERSHIP_LEASE if answer_time < SLOW_ANSWER_TIME else SLOW_STORE_LEASE
    return max(preferred, shortest)


MAX_CONCURRENT_WRITES = 8
"""Maximum number of writes that are made at the same time.

Hundreds of jobs may change between two writes of a slow store. One after the other, their records
would take seconds, in which nothing further is decided."""


class Write(Protocol):
    """Values to write and keys to delete in one transaction."""

    @property
    def puts(self) -> Sequence[Put]:
        """Return the values to write."""

    @property
    def deletes(self) -> Sequence[str]:
        """Return the keys to delete."""


AnyWrite = TypeVar("AnyWrite", bound=Write)


class TermLostError(Exception):
    """Another entry has taken the shard over."""


class Term:
    """One entry's ownership of a shard."""

    def __init__(
        self,
        store: PolledStore,
        key: str,
        document: TermDocument,
        revision: int,
        lease: RenewedLease,
        inherited_bounds: LeaseBounds,
    ) -> None:
        self._store = store
        self._key = key
        self._document = document
        self._revision = revision
        self._lease = lease
        self._inherited_bounds = inherited_bounds
        self._sequence = document.sequence
        """Sequence number of the latest write that was begun. A cancelled write may have taken
        effect, so its number is not reused: the next write would mistake it for its own."""
        self._closed = False
        self._writing = anyio.Lock()
        """Serialises writes: concurrent ones would carry the same sequence number, and each could
        mistake the other for its own."""

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self._document.token

    @property
    def inherited_bounds(self) -> LeaseBounds:
        """Return the bounds of executors' leases that the previous owner stored."""
        return self._inherited_bounds

    def is_held(self, now: float) -> bool:
        """Return whether no other entry can own the shard yet, by this process's clock."""
        return not self._closed and self._lease.is_held(now)

    def lapsed_for(self, now: float) -> float:
        """Return the seconds since the lease may have expired; negative while it is valid."""
        return self._lease.lapsed_for(now)

    async def renew_until_lost(self) -> None:
        """Renew the lease until it is certainly lost, then raise TermLostError."""
        raise TermLostError(await self._lease.renew_until_ended())

    async def write(
        self,
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        prepare: Callable[[], Sequence[Put]] = tuple,
    ) -> float:
        """Write as the owner of this term, and return a time at which the term was certainly held.

        The write is repeated until its outcome is known. It cannot take effect twice or after a
        later write, since each write replaces the term document and requires its previous revision.

        Args:
            puts: Values to write.
            deletes: Keys to delete.
            prepare: Called once no other write is in progress; returns further values to write.

        Raises:
            TermLostError: Another entry has taken the shard over; nothing was written.
        """
        async with self._writing:
            await self._wait_if_closed()
            return await self._write([*puts, *prepare()], deletes)

    async def write_beside(
        self,
        writes: Iterable[AnyWrite],
        on_stored: Callable[[AnyWrite, float], None],
    ) -> None:
        """Make several writes at the same time, each as soon as one of a few places is free.

        None of them replaces the term document; each requires the revision that the latest write
        left. A write without an answer is repeated and may take effect twice, with the same values.
        The next write of the term replaces the document, so that none can take effect after it.
        No two of the writes may concern the same key.

        Args:
            writes: The writes; each is prepared when its turn comes.
            on_stored: Called for each write once it is stored, with a time at which the term was
                certainly held.

        Raises:
            TermLostError: Another entry has taken the shard over; some writes may be stored.
        """
        waiting = iter(writes)
        is_lost = False

        async def write_from(first: AnyWrite) -> None:
            nonlocal is_lost
            for item in itertools.chain([first], waiting):
                stored_at = await self._write_at_revision(item)
                if stored_at is None:
                    is_lost = True
                    writers.cancel_scope.cancel()
                    return
                on_stored(item, stored_at)

        async with self._writing:
            await self._wait_if_closed()
            async with anyio.create_task_group() as writers:
                for item in itertools.islice(waiting, MAX_CONCURRENT_WRITES):
                    writers.start_soon(write_from, item)
        if is_lost:
            raise TermLostError("another entry has written the term document")

    async def _write_at_revision(self, item: Write) -> float | None:
        """Repeat a write until its outcome is known.

        Returns:
            A time at which the term was held; None if another entry has taken the shard over.
        """
        backoff = Backoff()
        transaction = Transaction(
            compares=[Compare(self._key, self._revision)], puts=item.puts, deletes=item.deletes
        )
        while True:
            sent = clock.read()
            try:
                result = await self._store.transact(transaction)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log_failure(error, item.puts)
                await backoff.wait()
                continue
            return sent if result.succeeded else None

    async def write_without_retry(
        self, prepare: Callable[[], Sequence[Put]], until: float = math.inf
    ) -> float:
        """Write the values that `prepare` returns, without a retry after a failure.

        Once begun, the write cannot be cancelled from outside; it ends at `until`, a time of
        `clock.read`.

        Raises:
            StoreUnavailableError: Nothing was written or will be.
            StoreOutcomeUnknownError: The values may have been written or may still be.
            TermLostError: Another entry has taken the shard over; nothing was written.
        """
        async with self._writing:
            stored_at: float | None = None
            # A cancelled try would leave it unknown whether the write took effect.
            bound = anyio.current_time() + until - clock.read()
            with anyio.CancelScope(shield=True, deadline=bound):
                document, puts = self._next_document(), prepare()
                while stored_at is None:
                    stored_at = await self._try_write(document, puts, ())
            if stored_at is None:
                raise StoreOutcomeUnknownError("store did not answer before the deadline")
            return stored_at

    async def _write(self, puts: Sequence[Put], deletes: Sequence[str]) -> float:
        document = self._next_document()
        backoff = Backoff()
        while True:
            try:
                stored_at = await self._try_write(document, puts, deletes)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                _log_failure(error, puts)
                await backoff.wait()
                continue
            if stored_at is not None:
                return stored_at

    def _next_document(self) -> TermDocument:
        self._sequence += 1
        return replace(self._document, sequence=self._sequence)

    async def _try_write(
        self, document: TermDocument, puts: Sequence[Put], deletes: Sequence[str]
    ) -> float | None:
        """Try to write once.

        Returns:
            The time at which the write was sent if it is stored; None if it has to be sent again.
        """
        data = document.to_bytes()
        transaction = Transaction(
            compares=[Compare(self._key, self._revision)],
            puts=[Put(self._key, data), *puts],
            deletes=deletes,
        )
        sent = clock.read()
        result = await self._store.transact(transaction)
        if result.succeeded:
            self._document, self._revision = document, result.revision
            return sent
        stored = result.values.get(self._key)
        if stored is None or not self._is_own(stored.value):
            raise TermLostError("another entry has written the term document")
        self._revision = stored.mod_revision
        if stored.value != data:
            return None
        self._document = document
        return sent

    def _is_own(self, data: bytes) -> bool:
        """Return whether a term document was written by the owner of this term."""
        try:
            stored = TermDocument.from_bytes(data)
        except (ValueError, TypeError) as error:
            log.error("term document unreadable", extra={"why": repr(error)})
            return False
        return (stored.token, stored.holder) == (self._document.token, self._document.holder)

    @property
    def is_closed(self) -> bool:
        """Return whether the term accepts no more writes."""
        return self._closed

    def close(self) -> None:
        """Stop writing and renewing; later writes block until they are cancelled.

        Each write changes the term document, which makes a concurrent claim of a candidate fail.
        The candidate best suited would then wait before it tries again, and another would win.
        """
        self._closed = True
        self._lease.stop_renewing("shard released")

    async def _wait_if_closed(self) -> None:
        if self._closed:
            await anyio.sleep_forever()

    async def release(self) -> None:
        """Revoke the lease, so that another entry can take over at once."""
        await self._store.revoke(self._lease.number)


def _log_failure(error: Exception, puts: Sequence[Put]) -> None:
    """Log a write that is going to be repeated, and what the store may object to."""
    if not isinstance(error, StoreRejectedError):
        log.warning("write of the term not confirmed", extra={"why": str(error)})
        return
    largest = max(puts, key=lambda put: len(put.value), default=Put("", b""))
    fields = {"why": str(error), "key": largest.key, "bytes": len(largest.value)}
    log.error("write of the term refused", extra=fields)
