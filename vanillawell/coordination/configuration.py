"""Bring the newest configuration into force in this entry and keep it there.

Few entries watch the store; the others hear from them by heartbeats and fetch what is new from
whoever has it. Versions only rise: an older answer, from a store restored to an earlier state or
from a peer that was cut off, is never applied.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import SettingsError, StoreError
from vanillawell.protocol.documents import Configuration
from vanillawell.protocol.store import Compare, Transaction
from vanillawell.state.policy import Policy, compile_policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.config.settings import StoreSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import KeyValue, Store
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)

RETRY_PAUSE = 0.3
"""Seconds between two tries to reach a store that is down."""

CONFIRMED_WITHIN = 3.0
"""Poll intervals without word from a watcher after which an entry polls by itself."""


class ConfigurationFollower:
    """Own the configuration in force in this entry."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        settings: StoreSettings,
        telemetry: Telemetry,
    ) -> None:
        self._store = store
        self._keys = keys
        self._membership = membership
        self._settings = settings
        self._telemetry = telemetry
        self._policy: Policy | None = None
        self._document = b""
        self._revision = 0
        self._confirmed_at = float("-inf")
        self._listeners: list[Callable[[Policy], None]] = []

    @property
    def policy(self) -> Policy | None:
        """Return the configuration in force, None before the first."""
        return self._policy

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._policy.version if self._policy else 0

    @property
    def document(self) -> bytes:
        """Return the document in force, as stored."""
        return self._document

    def fresh_age(self, now: float) -> float:
        """Return the seconds since the version in force was confirmed as the newest."""
        return now - self._confirmed_at

    def on_change(self, listener: Callable[[Policy], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, document: bytes) -> bool:
        """Bring a document into force if it is newer; False if it is not or is unreadable."""
        try:
            configuration = Configuration.from_bytes(document)
        except (SettingsError, ValueError, TypeError, KeyError) as error:
            log.error("configuration refused", extra={"reason": str(error)})
            return False
        if configuration.version <= self.version:
            return False
        changes = configuration.limit_changes
        self._policy = compile_policy(configuration.tree, configuration.version, changes)
        self._document = document
        self._telemetry.configuration.set({}, configuration.version)
        self._telemetry.state("configuration", f"version {configuration.version}")
        for listener in self._listeners:
            listener(self._policy)
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
                    await self._check_store()
                except StoreError:
                    pause = RETRY_PAUSE if not self._policy else pause
            await anyio.sleep(pause)

    async def _check_store(self) -> None:
        key = self._keys.configuration
        asked = clock.read()
        compare = Compare(key, self._revision)
        result = await self._store.transact(Transaction(compares=[compare], reads=[key]))
        self._telemetry.store_calls.inc({"task": "configuration", "result": "ok"})
        if not result.succeeded and key in result.values:
            self._take(result.values[key])
        if self._policy:
            self._confirmed_at = max(self._confirmed_at, asked)

    def _take(self, found: KeyValue) -> None:
        self._revision = found.mod_revision
        if not self.apply(found.value) and found.value != self._document:
            self._telemetry.state("configuration in the store", "older", logging.WARNING)

    async def _watch(self) -> None:
        while True:
            if not self._membership.is_watcher():
                await anyio.sleep(self._settings.poll_interval)
                continue
            try:
                async with self._store.watch(
                    self._keys.configuration, self._revision + 1
                ) as changes:
                    async for found in changes:
                        self._take(found)
                        self._confirmed_at = clock.read()
            except StoreError:
                await anyio.sleep(RETRY_PAUSE)
