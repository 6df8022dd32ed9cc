"""Ask an owner that lacks the capacity for its shard to hand it over to an entry that has it.

A shard is never taken from an owner that renews its lease. While the store is slow or loses
answers, an entry with a large capacity shortfall may become the owner in spite of the delay that it
applies to its claims; a bid corrects this later.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import StoreError
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from vanillawell.coordination.holder_watch import HolderWatch
    from vanillawell.protocol.ownership_documents import Contender
    from vanillawell.protocol.store import PolledStore
    from vanillawell.protocol.work_keys import WorkKeys

log = logging.getLogger(__name__)

MIN_SHORTFALL_DIFFERENCE = 0.25
"""Difference in capacity shortfall from which a change of owner is worth the interruption."""

BID_DELAY = 1.0
"""Seconds of ownership before a bid is placed, so that owners do not change in quick succession
during a rolling restart."""

BID_LEASE = 3.0
"""Seconds for which a bid is valid: enough for a hand-over and a take-over on a slow store."""

BIDDER_HEAD_START = 1.0
"""Seconds for which all other candidates leave a free shard to the bidder."""


def has_larger_shortfall(owner: Contender, other: Contender) -> bool:
    """Return whether the owner's shortfall is so much larger that it should hand over."""
    return owner.weakness - other.weakness >= MIN_SHORTFALL_DIFFERENCE


class Challenger:
    """Bid for a shard whenever an entry with a much larger capacity shortfall owns it."""

    def __init__(
        self,
        store: PolledStore,
        keys: WorkKeys,
        shard: str,
        contender: Contender,
        holder_watch: HolderWatch,
        shortest_lease: float = 0.0,
    ) -> None:
        """Initialise the challenger; the store grants leases of `shortest_lease` seconds or
        more."""
        self._store = store
        self._shard = shard
        self._key = keys.bid(shard)
        self._contender = contender
        self._holder_watch = holder_watch
        self._bid_lease = max(BID_LEASE, shortest_lease)
        self._handled_revision = 0

    async def run(self) -> None:
        """Place bids until cancelled."""
        while True:
            changed = self._holder_watch.changed
            delay = self._time_until_bid(clock.read())
            if delay is None:
                await changed.wait()
            elif delay > 0:
                with anyio.move_on_after(delay):
                    await changed.wait()
            else:
                await self._bid()
                await anyio.sleep(self._bid_lease)

    def _time_until_bid(self, now: float) -> float | None:
        """Return the seconds until the next bid is due; None if there is no reason to bid."""
        holder = self._holder_watch.holder
        if holder is None or not has_larger_shortfall(holder, self._contender):
            return None
        if self._holder_watch.bid is not None:
            return self._bid_lease
        return self._holder_watch.held_since + BID_DELAY - now

    async def _bid(self) -> None:
        fields = {
            "shard": self._shard,
            "holder": self._holder_watch.holder and self._holder_watch.holder.name,
        }
        try:
            lease = await self._store.grant_lease(self._bid_lease)
            bid = Put(self._key, self._contender.to_bytes(), lease)
            result = await self._store.transact(Transaction([Compare(self._key, 0)], [bid]))
        except StoreError as error:
            log.warning("bid for shard not stored", extra={**fields, "why": str(error)})
            return
        log.info("shard asked for", extra={**fields, "first": result.succeeded})

    async def wait_for_bid(self) -> Contender:
        """Wait until an entry with a much smaller shortfall bids for this entry's shard; return it.

        Each bid is returned once, so that a bidder that was lost does not cause repeated
        hand-overs.
        """
        while True:
            changed, bid = self._holder_watch.changed, self._holder_watch.bid
            if bid and self._owns() and self._holder_watch.bid_revision > self._handled_revision:
                self._handled_revision = self._holder_watch.bid_revision
                if has_larger_shortfall(self._contender, bid):
                    return bid
            await changed.wait()

    def _owns(self) -> bool:
        return (
            self._holder_watch.holder is not None
            and self._holder_watch.holder.name == self._contender.name
        )
