"""Sync one versioned document with the store, directly or through peers.

Only a few entries watch the store. The others learn of new versions from heartbeats and fetch them
from a peer that has them. Versions only increase: an older one, from a store restored to an earlier
state or from a peer that was cut off, is never applied.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import SettingsError, StoreError
from vanillawell.protocol.store import Compare, Transaction

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.config.settings import StoreSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.store import KeyValue, Store
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)

RETRY_INTERVAL = 0.3
"""Seconds between two attempts to reach a store that is down."""

MAX_UNCONFIRMED_POLLS = 3.0
"""Poll intervals without confirmation by a watcher after which an entry polls the store itself."""


class DocumentSync(ABC):
    """Sync one document and hold the version that is in force in this entry."""

    def __init__(
        self,
        store: Store,
        key: str,
        name: str,
        membership: Membership,
        settings: StoreSettings,
        telemetry: Telemetry,
    ) -> None:
        self._store = store
        self._key = key
        self._name = name
        self._membership = membership
        self._settings = settings
        self._telemetry = telemetry
        self._document = b""
        self._listeners: list[Callable[[], None]] = []
        self._revision = 0
        self._confirmed_at = float("-inf")

    @property
    @abstractmethod
    def version(self) -> int:
        """Return the version in force, or 0 before the first."""

    @property
    def document(self) -> bytes:
        """Return the document in force, as stored."""
        return self._document

    @property
    def revision(self) -> int:
        """Return the store revision of the document that was last read from the store."""
        return self._revision

    def fresh_age(self, now: float) -> float:
        """Return the seconds since the version in force was confirmed as the newest."""
        return now - self._confirmed_at

    @abstractmethod
    def _adopt(self, document: bytes) -> bool:
        """Apply a document if it is newer, and return whether it was.

        Raise SettingsError, ValueError, TypeError or KeyError if it is unreadable.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, document: bytes) -> bool:
        """Apply a document if it is newer; return False if it is not newer or is unreadable.

        An unreadable document, written by a later version of the program or by hand, must not
        terminate an entry that has a valid document.
        """
        try:
            newer = self._adopt(document)
        except (SettingsError, ValueError, TypeError, KeyError) as error:
            log.error(
                "%s document unreadable, not applied", self._name, extra={"reason": str(error)}
            )
            return False
        if not newer:
            return False
        self._document = document
        for listener in self._listeners:
            listener()
        return True

    def confirm(self, version: int, age: float, stated_after: float) -> None:
        """Record a peer's confirmation that `version` was the newest one `age` seconds before its
        statement, which it made after the given time."""
        if version == self.version:
            self._confirmed_at = max(self._confirmed_at, stated_after - age)

    async def run(self) -> None:
        """Sync with the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll)
            tasks.start_soon(self._watch)

    async def _poll(self) -> None:
        """Confirm the version in force at intervals, in case the watch is unresponsive."""
        while True:
            interval = self._settings.poll_interval
            age = self.fresh_age(clock.read())
            if self._membership.is_watcher() or age > MAX_UNCONFIRMED_POLLS * interval:
                try:
                    await self.check_store()
                except StoreError:
                    interval = interval if self.version else RETRY_INTERVAL
            await anyio.sleep(interval)

    async def check_store(self) -> None:
        """Read the document if the store has a newer one; raise StoreError on failure."""
        requested_at = clock.read()
        compare = Compare(self._key, self._revision)
        result = await self._store.transact(Transaction(compares=[compare], reads=[self._key]))
        self._telemetry.store_calls.inc({"task": self._name, "result": "ok"})
        if not result.succeeded and self._key in result.values:
            self.apply_stored(result.values[self._key])
        if self.version:
            self._confirmed_at = max(self._confirmed_at, requested_at)

    def apply_stored(self, stored: KeyValue) -> None:
        """Apply a value that was read from the store."""
        self._revision = stored.mod_revision
        if not self.apply(stored.value) and stored.value != self._document:
            self._telemetry.log_state(f"{self._name} in the store", "older", logging.WARNING)

    async def _watch(self) -> None:
        while True:
            if not self._membership.is_watcher():
                await anyio.sleep(self._settings.poll_interval)
                continue
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._cancel_when_not_watcher, tasks.cancel_scope)
                    await self._apply_changes()
                    tasks.cancel_scope.cancel()
            except* StoreError:
                await anyio.sleep(RETRY_INTERVAL)

    async def _apply_changes(self) -> None:
        """Apply changes as the store delivers them.

        That may be late, and a change does not tell whether others have followed. So none of them
        confirms that the version in force is the newest; a poll does.
        """
        async with self._store.watch(self._key, self._revision + 1) as changes:
            async for stored in changes:
                self.apply_stored(stored)

    async def _cancel_when_not_watcher(self, scope: anyio.CancelScope) -> None:
        """Cancel the watch once this entry is no longer one of its zone's watchers.

        After its start an entry has not found any other member yet and watches the store. If it did
        not stop, the store would serve one watch for each entry and document.
        """
        while self._membership.is_watcher():
            await anyio.sleep(self._settings.poll_interval)
        scope.cancel()
