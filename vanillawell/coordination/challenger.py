"""Ask an owner that can't carry its shard to hand it to an entry that can.

A shard is never taken from an owner that renews its lease. While the store is slow or loses
answers, the head start of strong entries may not be enough, and a weak one becomes the owner.
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
    from vanillawell.protocol.store import PolledStore
    from vanillawell.protocol.work_documents import Contender, WorkKeys

log = logging.getLogger(__name__)

MARGIN = 0.25
"""Difference in weakness from which a change of owner is worth its interruption."""

PATIENCE = 1.0
"""Seconds for which a weaker owner is left alone, so that owners don't change in quick succession
while all entries are restarted in turn."""

BID_LEASE = 3.0
"""Seconds for which a bid stands: the hand-over and the take-over, while the store is slow."""

PRECEDENCE = 1.0
"""Seconds for which all others leave a free shard to the entry that has asked for it."""


def is_weaker(owner: Contender, other: Contender) -> bool:
    """Tell whether an owner falls so far short of another entry that it should hand over."""
    return owner.weakness - other.weakness >= MARGIN


class Challenger:
    """Bid for a shard whenever a much weaker entry owns it."""

    def __init__(
        self, store: PolledStore, keys: WorkKeys, shard: str, me: Contender, watch: HolderWatch
    ) -> None:
        self._store = store
        self._shard = shard
        self._key = keys.bid(shard)
        self._me = me
        self._watch = watch
        self._heeded = 0

    async def run(self) -> None:
        """Bid until cancelled."""
        while True:
            changed = self._watch.changed
            pause = self._pause(clock.read())
            if pause is None:
                await changed.wait()
            elif pause > 0:
                with anyio.move_on_after(pause):
                    await changed.wait()
            else:
                await self._bid()
                await anyio.sleep(BID_LEASE)

    def _pause(self, now: float) -> float | None:
        """Return the seconds until it is time to bid; None if there is no reason to."""
        holder = self._watch.holder
        if holder is None or not is_weaker(holder, self._me):
            return None
        if self._watch.bid is not None:
            return BID_LEASE
        return self._watch.held_since + PATIENCE - now

    async def _bid(self) -> None:
        fields = {"shard": self._shard, "holder": self._watch.holder and self._watch.holder.name}
        try:
            lease = await self._store.grant_lease(BID_LEASE)
            bid = Put(self._key, self._me.to_bytes(), lease)
            result = await self._store.transact(Transaction([Compare(self._key, 0)], [bid]))
        except StoreError as error:
            log.warning("shard not asked for", extra={**fields, "why": str(error)})
            return
        log.info("shard asked for", extra={**fields, "first": result.succeeded})

    async def outbid(self) -> Contender:
        """Wait until a much stronger entry asks this one for the shard; returns that entry.

        Each bid is told once: an entry that asked and is lost must not keep the shard moving.
        """
        while True:
            changed, bid = self._watch.changed, self._watch.bid
            if bid and self._owns() and self._watch.bid_revision > self._heeded:
                self._heeded = self._watch.bid_revision
                if is_weaker(self._me, bid):
                    return bid
            await changed.wait()

    def _owns(self) -> bool:
        return self._watch.holder is not None and self._watch.holder.name == self._me.name
