"""Acquire a shard under a lease of the store whenever it has no owner."""

from __future__ import annotations

import logging
import random
import uuid
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.challenger import BIDDER_HEAD_START
from vanillawell.coordination.holder_watch import HolderWatch
from vanillawell.coordination.renewed_lease import RenewedLease
from vanillawell.coordination.shard_claim import ShardClaim
from vanillawell.coordination.term import Term, ownership_lease
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError
from vanillawell.protocol.lease_bounds import LeaseBounds
from vanillawell.protocol.ownership_documents import Contender, TermDocument
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from vanillawell.config.node_settings import EntryCapacity
    from vanillawell.protocol.store import KeyValue, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys

log = logging.getLogger(__name__)

RETRY_INTERVAL = 0.3
"""Seconds before a candidate tries again after it failed to take the shard."""

MAX_IMMEDIATE_TRIES = 3
"""Maximum tries without a delay while late writes of the previous owner change the term
document."""

MAX_JITTER = 0.06
"""Seconds over which candidates spread their tries at random after an owner was lost."""

PREFERRED_FROM_UPTIME = 1.0
"""Seconds after its start from which an entry is preferred; one that crashes early is not."""

MAX_SHORTFALL_DELAY = 0.3
"""Seconds by which an entry with the largest capacity shortfall delays its try."""

REQUIRED_CORES = 1.0
"""Cores of the reference speed with which an owner keeps up with about two hundred executors."""

REQUIRED_LINK = 50.0
"""Megabits per second with which an owner reads a page of the store in a fraction of its lease."""

PREFERRED_UNTIL_UPTIME = 60.0
"""Seconds after its start until which an entry is preferred; a rolling restart of a fleet of dozens
of entries takes about that long."""


def capacity_shortfall(capacity: EntryCapacity) -> float:
    """Return how far an entry falls short of the capacity that an owner needs, from 0 to 1."""
    return 1 - min(1.0, capacity.cores / REQUIRED_CORES, capacity.link_mbit / REQUIRED_LINK)


REVOKE_TIMEOUT = 0.5
"""Seconds to wait for the answer to the revocation of a lease, which expires soon in any case."""


class _TermChangedError(Exception):
    """The shard is free, but its previous owner has written the term document since it was read."""


class Candidate:
    """Acquire a shard whenever nobody holds it."""

    def __init__(
        self,
        store: PolledStore,
        keys: WorkKeys,
        shard: str,
        instance: str,
        capacity: EntryCapacity | None = None,
        shortest_lease: float = 0.0,
    ) -> None:
        """Initialise the candidate; the store grants leases of `shortest_lease` seconds or more."""
        self._store = store
        self._shard = shard
        self._holder_key = keys.holder(shard)
        self._term_key = keys.term(shard)
        self._bounds_key = keys.lease_bounds(shard)
        self._shortest_lease = shortest_lease
        self._began = clock.read()
        shortfall = 0.0 if capacity is None else capacity_shortfall(capacity)
        self._contender = Contender(f"{instance}/{uuid.uuid4().hex[:8]}", shortfall)
        self._holder_watch = HolderWatch(store, keys, shard)
        self._latest_token = 0
        """Token of the latest claim of this entry."""

        self._claim_count = 0
        """Number of the latest claim. It makes the term document of each claim unique: a claim
        whose answer was lost may still take effect, under its own lease, and must not be mistaken
        for a later one."""

    @property
    def contender(self) -> Contender:
        """Return the name and capacity shortfall under which this entry competes."""
        return self._contender

    @property
    def holder_watch(self) -> HolderWatch:
        """Return the watch on the shard's holder and bids."""
        return self._holder_watch

    @property
    def holder(self) -> str | None:
        """Return the name of the entry that holds the shard, as far as known."""
        return self._holder_watch.holder.name if self._holder_watch.holder else None

    async def watch_holder(self) -> None:
        """Watch the shard's holder until cancelled."""
        await self._holder_watch.run()

    def _delay(self, now: float) -> float:
        """Return the seconds for which to leave a free shard to other candidates.

        An entry that has bid for the shard goes first. Then the capacity shortfall decides, since
        an owner that cannot keep up delays all jobs for as long as it owns the shard. Among equals
        those that started recently go first: in a rolling restart they have been restarted already,
        so the shard changes its owner less often.
        """
        bid = self._holder_watch.bid
        if bid == self._contender:
            return 0.0
        recently_started = PREFERRED_FROM_UPTIME <= now - self._began < PREFERRED_UNTIL_UPTIME
        wait = random.uniform(0, MAX_JITTER) + (0 if recently_started else MAX_JITTER)
        return (
            wait
            + self._contender.weakness * MAX_SHORTFALL_DELAY
            + (BIDDER_HEAD_START if bid else 0.0)
        )

    async def acquire(self) -> Term:
        """Wait until the shard is free and take it.

        If cancelled during the write that takes the shard, this still completes the write and
        returns the term if it succeeded.
        """
        while True:
            changed = self._holder_watch.changed
            if not self._holder_watch.is_free():
                await changed.wait()
                continue
            await anyio.sleep(self._delay(clock.read()))
            if not self._holder_watch.is_free():
                continue
            try:
                term = await self._try_to_take()
            except StoreError as error:
                log.warning("shard not taken", extra={"shard": self._shard, "why": str(error)})
                term = None
            if term is not None:
                return term
            with anyio.move_on_after(RETRY_INTERVAL):
                await changed.wait()

    async def _try_to_take(self) -> Term | None:
        """Take the shard; return None if another entry holds it or keeps writing the term."""
        for _ in range(MAX_IMMEDIATE_TRIES):
            try:
                return await self._claim()
            except _TermChangedError:
                log.info("term document changed during the claim", extra={"shard": self._shard})
        return None

    async def _claim(self) -> Term | None:
        asked = clock.read()
        stored = await self._store.get(self._term_key)
        ttl = ownership_lease(clock.read() - asked, self._shortest_lease)
        before = await self._read_term(stored)
        self._latest_token = before.token + 1
        self._claim_count += 1
        document = TermDocument(before.token + 1, self._contender.name, self._claim_count)
        bounds = await self._read_bounds(before.token)
        sent = clock.read()
        number = await self._store.grant_lease(ttl)
        lease = RenewedLease(self._store, number, ttl, sent)
        marker = Put(self._term_key, document.to_bytes())
        transaction = Transaction(
            compares=[
                Compare(self._holder_key, self._holder_watch.foreign_revision),
                Compare(self._term_key, stored.mod_revision if stored else 0),
            ],
            puts=[
                Put(self._holder_key, self._contender.to_bytes(), number),
                marker,
                Put(self._bounds_key, bounds.adopted_by(document.token).to_bytes()),
            ],
        )
        try:
            # If the write were cancelled, the entry could not know whether it owns the shard, and
            # so could not hand it over.
            with anyio.CancelScope(shield=True):
                result = await ShardClaim(self._store, lease, transaction, marker).settle()
        except StoreOutcomeUnknownError:
            await self._revoke(lease)
            raise
        if not result.succeeded:
            await self._revoke(lease)
            holder = result.values.get(self._holder_key)
            if holder is None or not holder.mod_revision:
                raise _TermChangedError
            return None
        fields = {
            "shard": self._shard,
            "token": document.token,
            "before": before.holder,
            "ttl": ttl,
        }
        log.info("shard taken", extra={**fields, "weakness": round(self._contender.weakness, 3)})
        return Term(self._store, self._term_key, document, result.revision, lease, bounds)

    async def _revoke(self, lease: RenewedLease) -> None:
        """Revoke the lease of a failed claim, so that none of its writes can take effect later."""
        with anyio.move_on_after(REVOKE_TIMEOUT, shield=True) as bound:
            try:
                await self._store.revoke(lease.number)
            except StoreError as error:
                fields = {"shard": self._shard, "why": str(error)}
                log.warning("lease left to itself", extra=fields)
        if bound.cancelled_caught:
            fields = {"shard": self._shard, "why": f"no answer in {REVOKE_TIMEOUT} s"}
            log.warning("lease left to itself", extra=fields)

    async def _read_term(self, stored: KeyValue | None) -> TermDocument:
        """Read the term document; one that another writer left counts as that of the latest owner
        that the lease bounds name, since each owner writes them as it takes the shard.

        Should that one be too old, executors refuse its token and the next claim has a higher one.
        """
        if stored is None:
            return TermDocument(0, "")
        try:
            return TermDocument.from_bytes(stored.value)
        except ValueError as error:
            bounds = await self._read_stored_bounds()
            token = max(bounds.token, self._latest_token)
            log.error("term document unreadable", extra={"why": str(error), "token": token})
            return TermDocument(token, "")

    async def _read_bounds(self, token: int) -> LeaseBounds:
        """Read the lease bounds stored by the owner with this token; empty if there are none."""
        bounds = await self._read_stored_bounds()
        if bounds.token == token:
            return bounds
        if bounds.token:
            fields = {"found": bounds.token, "token": token}
            log.warning("lease bounds of another owner", extra=fields)
        return LeaseBounds()

    async def _read_stored_bounds(self) -> LeaseBounds:
        """Read the lease bounds as stored; empty if there are none."""
        stored = await self._store.get(self._bounds_key)
        if stored is None:
            return LeaseBounds()
        try:
            return LeaseBounds.from_bytes(stored.value)
        except ValueError as error:
            # Without bounds each executor counts as holding the longest possible lease.
            log.error("lease bounds unreadable", extra={"why": str(error)})
            return LeaseBounds()
