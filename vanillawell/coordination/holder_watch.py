"""Watch who holds a shard and who bids for it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.protocol.ownership_documents import Contender

if TYPE_CHECKING:
    from vanillawell.protocol.store import Change, Changes, KeyValue, Listing, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 1.0
"""Seconds that one call to the store waits for changes of the holder.

A call sent while the store was unresponsive fails only after this time and its own timeout, even if
the store recovers earlier; until then the shard may have no owner."""


class HolderWatch:
    """The holder of a shard and the bid for it, as last read from the store."""

    def __init__(self, store: PolledStore, keys: WorkKeys, shard: str) -> None:
        self._shard = shard
        self._holder_key = keys.holder(shard)
        self._bid_key = keys.bid(shard)
        self._changed = anyio.Event()
        self._loaded = False
        self._holder: Contender | None = None
        self._foreign_revision = 0
        self._held_since = 0.0
        self._bid: Contender | None = None
        self._bid_revision = 0
        self._watch = PrefixWatch(
            store, keys.holders, WATCH_TIMEOUT, self._apply_listing, self._apply_changes
        )

    @property
    def holder(self) -> Contender | None:
        """Return the entry that holds the shard."""
        return self._holder

    @property
    def foreign_revision(self) -> int:
        """Return the revision of a value that no owner has left under the holder's key, since an
        owner's goes with its lease; 0 if there is none.

        Taken for a holder it would keep the shard from ever having an owner.
        """
        return self._foreign_revision

    @property
    def held_since(self) -> float:
        """Return the time of `clock.read` at which the current holder was first seen."""
        return self._held_since

    @property
    def bid(self) -> Contender | None:
        """Return the entry that bids for the shard."""
        return self._bid

    @property
    def bid_revision(self) -> int:
        """Return the revision of the store at which the bid was written."""
        return self._bid_revision

    @property
    def changed(self) -> anyio.Event:
        """Return the event that is set at the next update."""
        return self._changed

    def is_free(self) -> bool:
        """Return whether the shard is known to have no holder."""
        return self._loaded and self._holder is None

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._watch.run()

    def _apply_listing(self, listing: Listing) -> None:
        items = {item.key: item for item in listing.items}
        holder, bid = items.get(self._holder_key), items.get(self._bid_key)
        self._set_holder(holder)
        self._set_bid(bid.value if bid else None, bid.mod_revision if bid else 0)
        self._notify()

    def _apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.key == self._holder_key:
                self._set_holder(change)
            elif change.key == self._bid_key:
                self._set_bid(change.value, change.mod_revision)
        self._notify()

    def _notify(self) -> None:
        self._loaded = True
        self._changed.set()
        self._changed = anyio.Event()

    def _set_holder(self, item: KeyValue | Change | None) -> None:
        is_foreign = item is not None and item.value is not None and item.lease == 0
        self._foreign_revision = item.mod_revision if item is not None and is_foreign else 0
        if is_foreign:
            fields = {"shard": self._shard, "revision": self._foreign_revision}
            log.error("shard holder without a lease", extra=fields)
        holder = None if item is None or is_foreign else _read_contender(item.value)
        if holder == self._holder:
            return
        names = {"holder": holder and holder.name, "before": self._holder and self._holder.name}
        log.info("shard holder changed", extra={"shard": self._shard, **names})
        self._holder = holder
        self._held_since = clock.read()

    def _set_bid(self, value: bytes | None, revision: int) -> None:
        self._bid = _read_contender(value)
        self._bid_revision = revision


def _read_contender(value: bytes | None) -> Contender | None:
    """Read a contender; an unreadable one counts as having no capacity shortfall."""
    if not value:
        return None
    try:
        return Contender.from_bytes(value)
    except ValueError as error:
        log.error("contender unreadable", extra={"why": str(error)})
        return Contender(value.decode("utf-8", "replace"), 0.0)
