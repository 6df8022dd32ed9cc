"""Watch all keys under a prefix of the store and track how fresh the known state is."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import HistoryGoneError, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.store import Changes, Listing, PolledStore

log = logging.getLogger(__name__)

MIN_RETRY_DELAY = 0.1
"""Seconds before the first retry after a failure; each call to the store costs, even a refused
one."""

MAX_RETRY_DELAY = 0.8
"""Maximum seconds between two tries while the store is unreachable; the delay doubles up to it."""


class Backoff:
    """Exponential backoff between tries."""

    def __init__(self) -> None:
        self._delay = MIN_RETRY_DELAY

    async def wait(self) -> None:
        """Wait for the current delay, then double it."""
        await anyio.sleep(self._delay)
        self._delay = min(2 * self._delay, MAX_RETRY_DELAY)

    def reset(self) -> None:
        """Reset the delay to its minimum."""
        self._delay = MIN_RETRY_DELAY


def no_interval() -> float:
    """Return the interval in seconds for a watch whose changes are all urgent."""
    return 0.0


class PrefixWatch:
    """List a prefix once, then receive every change under it.

    A waiting call may never be answered on a connection whose state the network path has dropped.
    So each call waits only `wait` seconds, and its answer shows how fresh the known state is.
    """

    def __init__(
        self,
        store: PolledStore,
        prefix: str,
        wait: float,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[Changes], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._wait = wait
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._revision: int | None = None
        self._reachable = True
        self._listeners: list[Callable[[bool], None]] = []
        self.fresh_as_of: float | None = None
        """Time of `clock.read` up to which all writes are known; None before the first answer."""

    def on_outcome(self, listener: Callable[[bool], None]) -> None:
        """Register a listener that is called after each call to the store with whether it was
        answered."""
        self._listeners.append(listener)

    async def run(self, interval: Callable[[], float] = no_interval) -> None:
        """Watch until cancelled, with a wait of `interval()` seconds after each answer."""
        backoff = Backoff()
        while True:
            sent = clock.read()
            try:
                await self._poll()
            except HistoryGoneError:
                log.info("store history compacted, listing again", extra={"prefix": self._prefix})
                self._revision = None
            except StoreError as error:
                self._report_outcome(False, str(error))
                await backoff.wait()
            else:
                self.fresh_as_of = sent
                self._report_outcome(True, "")
                backoff.reset()
                await anyio.sleep(interval())

    async def refresh(self) -> None:
        """List the prefix again now, since the store may deliver changes to a watch late.

        A listing that is older than the changes received meanwhile is ignored, since it would
        revert them.

        Raises:
            StoreError: The store did not answer.
        """
        listing = await self._store.list(self._prefix)
        if self._revision is None or listing.revision < self._revision:
            return
        self._revision = listing.revision
        self._on_listing(listing)

    async def _poll(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            self._revision = listing.revision
            self._on_listing(listing)
            return
        requested_from = self._revision
        changes = await self._store.changes(self._prefix, requested_from, self._wait)
        if not changes.changes:
            # The store may withhold changes and yet return their revision. Requested again from the
            # previous revision, it delivers them later.
            return
        if self._revision > requested_from:
            changes = self._drop_known(changes)
        self._revision = max(self._revision, changes.revision)
        if changes.changes:
            self._on_changes(changes)

    def _drop_known(self, changes: Changes) -> Changes:
        """Drop changes that are contained in a listing made meanwhile."""
        known = self._revision or 0
        newer = tuple(item for item in changes.changes if item.mod_revision > known)
        return replace(changes, changes=newer)

    def _report_outcome(self, reachable: bool, reason: str) -> None:
        for listener in self._listeners:
            listener(reachable)
        if reachable == self._reachable:
            return
        self._reachable = reachable
        fields = {"dependency": "store", "prefix": self._prefix, "reason": reason}
        fields["age"] = (
            str(round(clock.read() - self.fresh_as_of, 3)) if self.fresh_as_of else "never"
        )
        log.warning("dependency regained" if reachable else "dependency lost", extra=fields)
