"""Follow one versioned document of the store, directly or through peers.

Few entries watch the store; the others hear from them by heartbeats and fetch what is new from
whoever has it. Versions only rise: an older answer, from a store restored to an earlier state or
from a peer that was cut off, is never applied.
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

RETRY_PAUSE = 0.3
"""Seconds between two tries to reach a store that is down."""

CONFIRMED_WITHIN = 3.0
"""Poll intervals without word from a watcher after which an entry polls by itself."""


class DocumentSync(ABC):
    """Own the version of one document that is in force in this entry."""

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
        """Return the version in force; 0 before the first."""

    @property
    def document(self) -> bytes:
        """Return the document in force, as stored."""
        return self._document

    @property
    def revision(self) -> int:
        """Return the store revision of the document last read from the store."""
        return self._revision

    def fresh_age(self, now: float) -> float:
        """Return the seconds since the version in force was confirmed as the newest."""
        return now - self._confirmed_at

    @abstractmethod
    def _adopt(self, document: bytes) -> bool:
        """Bring a document into force if it is newer, and tell whether it was.

        Raises SettingsError, ValueError, TypeError or KeyError if it is unreadable.
        """

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, document: bytes) -> bool:
        """Bring a document into force if it is newer; False if it is not or is unreadable.

        An unreadable one, written by a later version of the program or by hand, must not end an
        entry that serves well by the document it has.
        """
        try:
            newer = self._adopt(document)
        except (SettingsError, ValueError, TypeError, KeyError) as error:
            log.error("%s refused", self._name, extra={"reason": str(error)})
            return False
        if not newer:
            return False
        self._document = document
        for listener in self._listeners:
            listener()
        return True

    def confirm(self, version: int, age: float, now: float) -> None:
        """Note that `version` was the newest one `age` seconds ago, as a peer says."""
        if version == self.version:
            self._confirmed_at = max(self._confirmed_at, now - age)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll)
            tasks.start_soon(self._watch)

    async def _poll(self) -> None:
        """Confirm the version in force regularly, which also finds a watch that went silent."""
        while True:
            pause = self._settings.poll_interval
            age = self.fresh_age(clock.read())
            if self._membership.is_watcher() or age > CONFIRMED_WITHIN * pause:
                try:
                    await self.check_store()
                except StoreError:
                    pause = pause if self.version else RETRY_PAUSE
            await anyio.sleep(pause)

    async def check_store(self) -> None:
        """Ask the store whether there is something newer; raises StoreError."""
        asked = clock.read()
        compare = Compare(self._key, self._revision)
        result = await self._store.transact(Transaction(compares=[compare], reads=[self._key]))
        self._telemetry.store_calls.inc({"task": self._name, "result": "ok"})
        if not result.succeeded and self._key in result.values:
            self.take(result.values[self._key])
        if self.version:
            self._confirmed_at = max(self._confirmed_at, asked)

    def take(self, found: KeyValue) -> None:
        """Take over a value that was read from the store."""
        self._revision = found.mod_revision
        if not self.apply(found.value) and found.value != self._document:
            self._telemetry.log_state(f"{self._name} in the store", "older", logging.WARNING)

    async def _watch(self) -> None:
        while True:
            if not self._membership.is_watcher():
                await anyio.sleep(self._settings.poll_interval)
                continue
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._end_when_others_watch, tasks.cancel_scope)
                    await self._follow_watch()
                    tasks.cancel_scope.cancel()
            except* StoreError:
                await anyio.sleep(RETRY_PAUSE)

    async def _follow_watch(self) -> None:
        async with self._store.watch(self._key, self._revision + 1) as changes:
            async for found in changes:
                self.take(found)
                self._confirmed_at = clock.read()

    async def _end_when_others_watch(self, scope: anyio.CancelScope) -> None:
        """End a watch once this entry is no longer one of its zone's first.

        At its start each entry knows only itself and watches; if it went on, the store would
        hold a watch for each entry and document.
        """
        while self._membership.is_watcher():
            await anyio.sleep(self._settings.poll_interval)
        scope.cancel()
