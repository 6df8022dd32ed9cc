"""Follow who owns a shard, and who asks for it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.protocol.work_documents import Contender

if TYPE_CHECKING:
    from vanillawell.protocol.store import Changes, Listing, PolledStore
    from vanillawell.protocol.work_documents import WorkKeys

log = logging.getLogger(__name__)

HOLDER_WAIT = 1.0
"""Seconds one call waits for news of the holder.

A call that was sent while the store was silent fails only after this and its bound, however soon
the store is back; until then the shard may go without an owner."""


class HolderWatch:
    """Know who owns a shard and who asks for it, as far as the store has told."""

    def __init__(self, store: PolledStore, keys: WorkKeys, shard: str) -> None:
        self._shard = shard
        self._holder_key = keys.holder(shard)
        self._bid_key = keys.bid(shard)
        self._changed = anyio.Event()
        self._known = False
        self._holder: Contender | None = None
        self._held_since = 0.0
        self._bid: Contender | None = None
        self._bid_revision = 0
        self._follower = PrefixWatch(
            store, keys.holders, HOLDER_WAIT, self._take_listing, self._take_changes
        )

    @property
    def holder(self) -> Contender | None:
        """Return who holds the shard."""
        return self._holder

    @property
    def held_since(self) -> float:
        """Return the clock of decisions at which the present holder was first heard of."""
        return self._held_since

    @property
    def bid(self) -> Contender | None:
        """Return who asks for the shard."""
        return self._bid

    @property
    def bid_revision(self) -> int:
        """Return the revision of the store at which that was asked."""
        return self._bid_revision

    @property
    def changed(self) -> anyio.Event:
        """Return the event of the next news."""
        return self._changed

    def is_free(self) -> bool:
        """Tell whether the shard is known to have no holder."""
        return self._known and self._holder is None

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.run()

    def _take_listing(self, listing: Listing) -> None:
        found = {item.key: item for item in listing.items}
        holder, bid = found.get(self._holder_key), found.get(self._bid_key)
        self._note_holder(holder.value if holder else None)
        self._note_bid(bid.value if bid else None, bid.mod_revision if bid else 0)
        self._tell()

    def _take_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.key == self._holder_key:
                self._note_holder(change.value)
            elif change.key == self._bid_key:
                self._note_bid(change.value, change.mod_revision)
        self._tell()

    def _tell(self) -> None:
        self._known = True
        self._changed.set()
        self._changed = anyio.Event()

    def _note_holder(self, value: bytes | None) -> None:
        holder = _read(value)
        if holder == self._holder:
            return
        names = {"holder": holder and holder.name, "before": self._holder and self._holder.name}
        log.info("holder changed", extra={"shard": self._shard, **names})
        self._holder = holder
        self._held_since = clock.read()

    def _note_bid(self, value: bytes | None, revision: int) -> None:
        self._bid = _read(value)
        self._bid_revision = revision


def _read(value: bytes | None) -> Contender | None:
    """Read who wrote a value; somebody unknown counts as one that can carry the shard."""
    if not value:
        return None
    try:
        return Contender.from_bytes(value)
    except ValueError as error:
        log.error("contender unreadable", extra={"why": str(error)})
        return Contender(value.decode("utf-8", "replace"), 0.0)
