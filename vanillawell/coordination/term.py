"""Own a shard: take it under a lease, write in its name, and know when it is lost."""

from __future__ import annotations

import logging
import random
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.follow import Backoff, PrefixFollower
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.protocol.store import Compare, KeyValue, Put, Transaction
from vanillawell.protocol.work_documents import TermDocument

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.protocol.store import Changes, FollowedStore, Listing
    from vanillawell.protocol.work_documents import WorkKeys

log = logging.getLogger(__name__)

LEASE = 1.5
"""Seconds that ownership outlives the last renewal.

Loss of an owner is noticed after this time at most; together with the take-over it has to stay
well below the leases of running tasks, so that running work outlives its owner."""

RENEWALS = 3
"""Renewals in the time of one lease, so that two may be lost."""

HOLDER_WAIT = 1.0
"""Seconds one call waits for news of the holder.

A call that was sent while the store was silent fails only after this and its bound, however soon
the store is back; with three seconds a shard went without an owner for 0.85 s after an outage, with
one for 0.35 s."""

TRY_PAUSE = 0.3
"""Seconds before a candidate tries again after the shard was not to be had."""

STAGGER = 0.06
"""Seconds over which the candidates spread their tries after an owner was lost."""

SETTLED = 1.0
"""Seconds after its start from which an entry is preferred; one that fails at once is not."""

LATELY = 60.0
"""Seconds after its start for which an entry is preferred as an owner; a restart of all entries of
a fleet of dozens takes about that long."""


AMPLE = 1.0
"""Ordinary cores with which an entry can own hundreds of executors."""

WEAK_WAIT = 0.3
"""Seconds for which an entry without any processor would leave a free shard to others; one that has
part of what is ample waits for a part of that.

An owner that can't keep up holds all jobs back until it is lost itself. Entries don't know one
another, so those that are well suited just try first."""


class TermLostError(Exception):
    """Another entry has taken the shard over."""


class Term:
    """One entry's ownership of a shard."""

    def __init__(
        self,
        store: FollowedStore,
        key: str,
        document: TermDocument,
        revision: int,
        lease: int,
        renewed: float,
    ) -> None:
        self._store = store
        self._key = key
        self._document = document
        self._revision = revision
        self._lease = lease
        self._ttl = LEASE
        self._renewed = renewed
        self._writing = anyio.Lock()
        """Two writes at once would carry the same number, and each take the other's for its own."""

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self._document.token

    def is_held(self, now: float) -> bool:
        """Tell whether nobody else can have been given the shard yet, by this process's clock."""
        return now < self._renewed + self._ttl

    def lapsed_for(self, now: float) -> float:
        """Return the seconds since the lease may have ended; negative while it holds."""
        return now - self._renewed - self._ttl

    async def keep(self) -> None:
        """Renew the lease until it is lost for certain; raises TermLostError then."""
        while True:
            sent = clock.read()
            try:
                alive = await self._store.keep_alive(self._lease)
            except StoreError as error:
                log.warning(
                    "lease not renewed",
                    extra={"lapsed": round(self.lapsed_for(clock.read()), 3), "why": str(error)},
                )
            else:
                if not alive:
                    raise TermLostError("the lease has ended")
                self._renewed = sent
            await anyio.sleep(self._ttl / RENEWALS)

    async def write(self, puts: Sequence[Put], deletes: Sequence[str] = ()) -> float:
        """Write in the name of the term; returns the time at which it was surely still held.

        The write is repeated until its outcome is known. It cannot take effect twice, nor after a
        later one: each replaces the term's document and requires the revision before.

        Raises:
            TermLostError: Another entry has taken the shard over; nothing was written.
        """
        async with self._writing:
            return await self._write(puts, deletes)

    async def _write(self, puts: Sequence[Put], deletes: Sequence[str]) -> float:
        last = self._document.to_bytes()
        document = replace(self._document, sequence=self._document.sequence + 1)
        data = document.to_bytes()
        backoff = Backoff()
        while True:
            transaction = Transaction(
                compares=[Compare(self._key, self._revision)],
                puts=[Put(self._key, data), *puts],
                deletes=deletes,
            )
            sent = clock.read()
            try:
                result = await self._store.transact(transaction)
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                log.warning("write not confirmed", extra={"why": str(error)})
                await backoff.wait()
                continue
            if result.succeeded:
                self._document, self._revision = document, result.revision
                return sent
            found = result.values.get(self._key)
            if found is not None and found.value == data:
                self._document, self._revision = document, found.mod_revision
                return sent
            if found is None or found.value != last:
                raise TermLostError("another entry has written")
            self._revision = found.mod_revision

    async def give_up(self) -> None:
        """End the lease, so that another entry can take over at once."""
        await self._store.revoke(self._lease)


class Candidate:
    """Take a shard whenever nobody holds it."""

    def __init__(
        self, store: FollowedStore, keys: WorkKeys, shard: str, instance: str, cores: float = 1.0
    ) -> None:
        """Take the name of this entry and the ordinary cores that it has."""
        self._store = store
        self._cores = cores
        self._shard = shard
        self._holder_key = keys.holder(shard)
        self._term_key = keys.term(shard)
        self._began = clock.read()
        self._me = f"{instance}/{uuid.uuid4().hex[:8]}"
        self._changed = anyio.Event()
        self._holder: str | None = None
        self._known = False
        self._follower = PrefixFollower(
            store, keys.holders, HOLDER_WAIT, self._take_listing, self._take_changes
        )

    @property
    def holder(self) -> str | None:
        """Return who holds the shard as far as known."""
        return self._holder

    async def follow(self) -> None:
        """Follow who holds the shard until cancelled."""
        await self._follower.run()

    def _take_listing(self, listing: Listing) -> None:
        values = {item.key: item.value for item in listing.items}
        self._note(values.get(self._holder_key))

    def _take_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.key == self._holder_key:
                self._note(change.value)

    def _note(self, value: bytes | None) -> None:
        holder = value.decode("utf-8", "replace") if value else None
        self._known = True
        if holder != self._holder:
            fields = {"shard": self._shard, "holder": holder, "before": self._holder}
            log.info("holder changed", extra=fields)
        self._holder = holder
        self._changed.set()
        self._changed = anyio.Event()

    def _delay(self, now: float) -> float:
        """Return how long to leave a free shard to others.

        Entries with an ample processor go first, since an owner's work grows with the executors.
        Among equals those that started lately do: when all are restarted one after the other, those
        have their restart behind them, and the shard changes its owner less often.
        """
        lately = SETTLED <= now - self._began < LATELY
        weak = WEAK_WAIT * max(0.0, 1.0 - self._cores / AMPLE)
        return weak + random.uniform(0, STAGGER) + (0 if lately else STAGGER)

    def _is_free(self) -> bool:
        return self._known and self._holder is None

    async def win(self) -> Term:
        """Wait until the shard is free and take it."""
        while True:
            changed = self._changed
            if not self._is_free():
                await changed.wait()
                continue
            await anyio.sleep(self._delay(clock.read()))
            if not self._is_free():
                continue
            try:
                term = await self._take()
            except StoreError as error:
                log.warning("shard not taken", extra={"shard": self._shard, "why": str(error)})
                term = None
            if term is not None:
                return term
            with anyio.move_on_after(TRY_PAUSE):
                await changed.wait()

    async def _take(self) -> Term | None:
        found = await self._store.get(self._term_key)
        before = TermDocument.from_bytes(found.value) if found else TermDocument(0, "")
        document = TermDocument(before.token + 1, self._me)
        sent = clock.read()
        lease = await self._store.grant_lease(LEASE)
        transaction = Transaction(
            compares=[
                Compare(self._holder_key, 0),
                Compare(self._term_key, found.mod_revision if found else 0),
            ],
            puts=[
                Put(self._holder_key, self._me.encode(), lease),
                Put(self._term_key, document.to_bytes()),
            ],
        )
        try:
            result = await self._store.transact(transaction)
        except StoreOutcomeUnknownError:
            current = await self._store.get(self._term_key)
            if not self._is_mine(current, document):
                raise
            revision = current.mod_revision if current else 0
        else:
            if not result.succeeded:
                await self._store.revoke(lease)
                return None
            revision = result.revision
        fields = {"shard": self._shard, "token": document.token, "before": before.holder}
        log.info("shard taken", extra={**fields, "cores": round(self._cores, 3)})
        return Term(self._store, self._term_key, document, revision, lease, sent)

    def _is_mine(self, current: KeyValue | None, document: TermDocument) -> bool:
        return current is not None and current.value == document.to_bytes()
