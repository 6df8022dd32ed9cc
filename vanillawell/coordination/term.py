"""Own a shard: write in its name under a lease, and know when it is lost."""

from __future__ import annotations

import logging
import math
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.protocol.work_documents import TermDocument

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from vanillawell.coordination.renewed_lease import RenewedLease
    from vanillawell.protocol.store import PolledStore

log = logging.getLogger(__name__)

LEASE = 1.5
"""Seconds that ownership outlives the last renewal.

Loss of an owner is noticed after this time at most; together with the take-over it has to stay
well below the leases of running tasks, so that running work outlives its owner."""


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
        former_bounds: LeaseBounds,
    ) -> None:
        self._store = store
        self._key = key
        self._document = document
        self._revision = revision
        self._lease = lease
        self._former_bounds = former_bounds
        self._sequence = document.sequence
        """Number of the latest write that was begun. One that was broken off may have taken effect,
        so its number is never used again: the next write would take it for its own."""
        self._closed = False
        self._writing = anyio.Lock()
        """Two writes at once would carry the same number, and each take the other's for its own."""

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self._document.token

    @property
    def former_bounds(self) -> LeaseBounds:
        """Return what the former owner left of executors' leases."""
        return self._former_bounds

    def is_held(self, now: float) -> bool:
        """Tell whether nobody else can have been given the shard yet, by this process's clock."""
        return not self._closed and self._lease.is_held(now)

    def lapsed_for(self, now: float) -> float:
        """Return the seconds since the lease may have ended; negative while it holds."""
        return self._lease.lapsed_for(now)

    async def keep(self) -> None:
        """Renew the lease until it is lost for certain; raises TermLostError then."""
        raise TermLostError(await self._lease.keep())

    async def write(
        self,
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        prepare: Callable[[], Sequence[Put]] = tuple,
    ) -> float:
        """Write in the name of the term; returns the time at which it was surely still held.

        The write is repeated until its outcome is known. It cannot take effect twice, nor after a
        later one: each replaces the term's document and requires the revision before. `prepare` is
        called once no other write is under way, and adds to what is written.

        Raises:
            TermLostError: Another entry has taken the shard over; nothing was written.
        """
        async with self._writing:
            await self._wait_if_closed()
            return await self._write([*puts, *prepare()], deletes)

    async def write_if_reachable(
        self, prepare: Callable[[], Sequence[Put]], until: float = math.inf
    ) -> float:
        """Write what `prepare` returns, without trying again after a failure.

        Once under way it can't be broken off, but by `until`, on the clock of decisions.

        Raises:
            StoreUnavailableError: Nothing was written, nor will be.
            StoreOutcomeUnknownError: It may have been written, or may be yet.
            TermLostError: Another entry has taken the shard over; nothing was written.
        """
        async with self._writing:
            stored_at: float | None = None
            # Broken off, a try that does nothing could not be told from one that is carried out.
            bound = anyio.current_time() + until - clock.read()
            with anyio.CancelScope(shield=True, deadline=bound):
                document, puts = self._next_document(), prepare()
                while stored_at is None:
                    stored_at = await self._try(document, puts, ())
            if stored_at is None:
                raise StoreOutcomeUnknownError("no answer while there was time for it")
            return stored_at

    async def _write(self, puts: Sequence[Put], deletes: Sequence[str]) -> float:
        document = self._next_document()
        backoff = Backoff()
        while True:
            try:
                stored_at = await self._try(document, puts, deletes)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                log.warning("write not confirmed", extra={"why": str(error)})
                await backoff.wait()
                continue
            if stored_at is not None:
                return stored_at

    def _next_document(self) -> TermDocument:
        self._sequence += 1
        return replace(self._document, sequence=self._sequence)

    async def _try(
        self, document: TermDocument, puts: Sequence[Put], deletes: Sequence[str]
    ) -> float | None:
        """Make one try; returns when it was sent if it is stored, None to be sent again."""
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
        found = result.values.get(self._key)
        if found is None or not self._is_own(found.value):
            raise TermLostError("another entry has written")
        self._revision = found.mod_revision
        if found.value != data:
            return None
        self._document = document
        return sent

    def _is_own(self, data: bytes) -> bool:
        """Tell whether a term's document was written in the name of this term."""
        try:
            found = TermDocument.from_bytes(data)
        except (ValueError, TypeError) as error:
            log.error("term unreadable", extra={"why": repr(error)})
            return False
        return (found.token, found.holder) == (self._document.token, self._document.holder)

    @property
    def is_closed(self) -> bool:
        """Tell whether nothing more is written in the name of the term."""
        return self._closed

    def close(self) -> None:
        """Write nothing more in the name of the term.

        Each write moves the document that candidates take the shard by; those that are best suited
        would fail at it and pause, and others be there first. Who writes still waits until the end
        of the term ends it.
        """
        self._closed = True
        self._lease.let_go("given up")

    async def _wait_if_closed(self) -> None:
        if self._closed:
            await anyio.sleep_forever()

    async def give_up(self) -> None:
        """End the lease, so that another entry can take over at once."""
        await self._store.revoke(self._lease.number)
