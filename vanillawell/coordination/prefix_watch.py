"""Follow all keys under a prefix of the store, and know how fresh that knowledge is."""

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

FIRST_PAUSE = 0.1
"""Seconds before the store is asked again after a failure; calls are priced, refused ones too."""

LONGEST_PAUSE = 0.8
"""Seconds between two tries while the store stays away; the pause doubles up to this."""


class Backoff:
    """Grow the pause between tries while something stays away."""

    def __init__(self) -> None:
        self._pause = FIRST_PAUSE

    async def wait(self) -> None:
        """Wait, longer each time."""
        await anyio.sleep(self._pause)
        self._pause = min(2 * self._pause, LONGEST_PAUSE)

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self._pause = FIRST_PAUSE


def no_pause() -> float:
    """Return how long a follower rests whose every change is urgent, in seconds."""
    return 0.0


class PrefixWatch:
    """Read a prefix once, then every change under it.

    A waiting call may stay silent for good on a connection that the path has lost track of, so
    each call waits only `wait` seconds, and its answer proves how fresh this knowledge is.
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
        self.proved: float | None = None
        """Clock of decisions up to which everything that was written is known."""

    def on_outcome(self, listener: Callable[[bool], None]) -> None:
        """Call `listener` after each call to the store, with whether it was answered."""
        self._listeners.append(listener)

    async def run(self, pause: Callable[[], float] = no_pause) -> None:
        """Follow until cancelled; rest for as long as `pause` says after each answer."""
        backoff = Backoff()
        while True:
            sent = clock.read()
            try:
                await self._step()
            except HistoryGoneError:
                log.info("history gone, listing again", extra={"prefix": self._prefix})
                self._revision = None
            except StoreError as error:
                self._note(False, str(error))
                await backoff.wait()
            else:
                self.proved = sent
                self._note(True, "")
                backoff.reset()
                await anyio.sleep(pause())

    async def refresh(self) -> None:
        """Read the prefix again now; raises StoreError.

        The store may keep changes from those who wait for them. A reading that is older than what
        was heard meanwhile is left out, or it would take news back.
        """
        listing = await self._store.list(self._prefix)
        if self._revision is None or listing.revision < self._revision:
            return
        self._revision = listing.revision
        self._on_listing(listing)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            self._revision = listing.revision
            self._on_listing(listing)
            return
        asked_from = self._revision
        changes = await self._store.changes(self._prefix, asked_from, self._wait)
        if not changes.changes:
            # The store may keep changes back and yet name their revision; asked from the same one
            # as before, it tells them once it can be heard again.
            return
        if self._revision > asked_from:
            changes = self._without_known(changes)
        self._revision = max(self._revision, changes.revision)
        if changes.changes:
            self._on_changes(changes)

    def _without_known(self, changes: Changes) -> Changes:
        """Leave out changes that a reading made meanwhile holds already."""
        known = self._revision or 0
        newer = tuple(item for item in changes.changes if item.mod_revision > known)
        return replace(changes, changes=newer)

    def _note(self, reachable: bool, reason: str) -> None:
        for listener in self._listeners:
            listener(reachable)
        if reachable == self._reachable:
            return
        self._reachable = reachable
        fields = {"dependency": "store", "prefix": self._prefix, "reason": reason}
        fields["age"] = str(round(clock.read() - self.proved, 3)) if self.proved else "never"
        log.warning("dependency regained" if reachable else "dependency lost", extra=fields)
