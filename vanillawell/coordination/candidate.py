"""Take a shard under a lease whenever nobody owns it."""

from __future__ import annotations

import logging
import random
import uuid
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.challenger import PRECEDENCE
from vanillawell.coordination.holder_watch import HolderWatch
from vanillawell.coordination.renewed_lease import RenewedLease
from vanillawell.coordination.shard_claim import ShardClaim
from vanillawell.coordination.term import LEASE, Term
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.protocol.work_documents import Contender, TermDocument

if TYPE_CHECKING:
    from vanillawell.config.node_settings import EntryCapacity
    from vanillawell.protocol.store import PolledStore
    from vanillawell.protocol.work_documents import WorkKeys

log = logging.getLogger(__name__)

TRY_PAUSE = 0.3
"""Seconds before a candidate tries again after the shard was not to be had."""

TRIES_AT_ONCE = 3
"""Tries to take a shard that is free while its former owner's last writes get ahead."""

STAGGER = 0.06
"""Seconds over which the candidates spread their tries after an owner was lost."""

SETTLED = 1.0
"""Seconds after its start from which an entry is preferred; one that fails at once is not."""

HEAD_START = 0.3
"""Seconds that the weakest entries leave a free shard to stronger ones."""

OWNER_CORES = 1.0
"""Plain cores with which an entry keeps up with some two hundred executors."""

OWNER_LINK = 50.0
"""Megabits a second with which it reads a page of the store in a fraction of its lease."""

LATELY = 60.0
"""Seconds after its start for which an entry is preferred as an owner; a restart of all entries of
a fleet of dozens takes about that long."""


def weakness(capacity: EntryCapacity) -> float:
    """Return how far an entry falls short of what an owner needs, from 0 to 1."""
    return 1 - min(1.0, capacity.cores / OWNER_CORES, capacity.link_mbit / OWNER_LINK)


END_BOUND = 0.5
"""Seconds to wait for the answer to the end of a lease, which ends by itself soon after."""


class _TermMovedError(Exception):
    """The shard is free, but its former owner has written since its document was read."""


class Candidate:
    """Take a shard whenever nobody holds it."""

    def __init__(
        self,
        store: PolledStore,
        keys: WorkKeys,
        shard: str,
        instance: str,
        capacity: EntryCapacity | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._holder_key = keys.holder(shard)
        self._term_key = keys.term(shard)
        self._bounds_key = keys.lease_bounds(shard)
        self._began = clock.read()
        short_by = 0.0 if capacity is None else weakness(capacity)
        self._me = Contender(f"{instance}/{uuid.uuid4().hex[:8]}", short_by)
        self._watch = HolderWatch(store, keys, shard)
        self._claims = 0
        """Number of the latest claim. Each writes a document of its own: one whose answer was lost
        may take effect later, under its own lease, and must not pass for the next one."""

    @property
    def me(self) -> Contender:
        """Return how this entry presents itself."""
        return self._me

    @property
    def watch(self) -> HolderWatch:
        """Return what is known of who owns the shard."""
        return self._watch

    @property
    def holder(self) -> str | None:
        """Return who holds the shard as far as known."""
        return self._watch.holder.name if self._watch.holder else None

    async def follow(self) -> None:
        """Follow who holds the shard until cancelled."""
        await self._watch.run()

    def _delay(self, now: float) -> float:
        """Return how long to leave a free shard to others.

        Entries that started lately go first: when all are restarted one after the other, those have
        their restart behind them, and the shard changes its owner less often. Before that counts
        strength: an owner that can't keep up keeps all jobs waiting for as long as it stays. An
        entry that has asked a weaker owner for the shard goes before all others.
        """
        bid = self._watch.bid
        if bid == self._me:
            return 0.0
        lately = SETTLED <= now - self._began < LATELY
        wait = random.uniform(0, STAGGER) + (0 if lately else STAGGER)
        return wait + self._me.weakness * HEAD_START + (PRECEDENCE if bid else 0.0)

    async def win(self) -> Term:
        """Wait until the shard is free and take it.

        Cancelled while the store is asked for it, this still returns what was taken, if it was.
        """
        while True:
            changed = self._watch.changed
            if not self._watch.is_free():
                await changed.wait()
                continue
            await anyio.sleep(self._delay(clock.read()))
            if not self._watch.is_free():
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
        """Take the shard unless somebody else has it by now."""
        for _ in range(TRIES_AT_ONCE):
            try:
                return await self._try_once()
            except _TermMovedError:
                log.info("former owner has written meanwhile", extra={"shard": self._shard})
        return None

    async def _try_once(self) -> Term | None:
        found = await self._store.get(self._term_key)
        before = TermDocument.from_bytes(found.value) if found else TermDocument(0, "")
        self._claims += 1
        document = TermDocument(before.token + 1, self._me.name, self._claims)
        bounds = await self._read_bounds(before.token)
        sent = clock.read()
        number = await self._store.grant_lease(LEASE)
        lease = RenewedLease(self._store, number, LEASE, sent)
        proof = Put(self._term_key, document.to_bytes())
        transaction = Transaction(
            compares=[
                Compare(self._holder_key, 0),
                Compare(self._term_key, found.mod_revision if found else 0),
            ],
            puts=[
                Put(self._holder_key, self._me.to_bytes(), number),
                proof,
                Put(self._bounds_key, bounds.adopted_by(document.token).to_bytes()),
            ],
        )
        try:
            # Broken off, the entry would not know whether it has the shard, nor pass it on.
            with anyio.CancelScope(shield=True):
                result = await ShardClaim(self._store, lease, transaction, proof).settle()
        except StoreOutcomeUnknownError:
            await self._end(lease)
            raise
        if not result.succeeded:
            await self._end(lease)
            holder = result.values.get(self._holder_key)
            if holder is None or not holder.mod_revision:
                raise _TermMovedError
            return None
        fields = {"shard": self._shard, "token": document.token, "before": before.holder}
        log.info("shard taken", extra={**fields, "weakness": round(self._me.weakness, 3)})
        return Term(self._store, self._term_key, document, result.revision, lease, bounds)

    async def _end(self, lease: RenewedLease) -> None:
        """End the lease of a claim that failed, so that no try of it takes effect any more."""
        with anyio.move_on_after(END_BOUND, shield=True) as bound:
            try:
                await self._store.revoke(lease.number)
            except StoreError as error:
                fields = {"shard": self._shard, "why": str(error)}
                log.warning("lease left to itself", extra=fields)
        if bound.cancelled_caught:
            fields = {"shard": self._shard, "why": f"no answer in {END_BOUND} s"}
            log.warning("lease left to itself", extra=fields)

    async def _read_bounds(self, token: int) -> LeaseBounds:
        """Read what the owner with this token left of executors' leases."""
        found = await self._store.get(self._bounds_key)
        if found is None:
            return LeaseBounds()
        try:
            bounds = LeaseBounds.from_bytes(found.value)
        except ValueError as error:
            # Without them each executor is waited for as long as any lease may last.
            log.error("lease bounds unreadable", extra={"why": str(error)})
            return LeaseBounds()
        if bounds.token != token:
            fields = {"found": bounds.token, "token": token}
            log.warning("lease bounds of another owner", extra=fields)
            return LeaseBounds()
        return bounds
