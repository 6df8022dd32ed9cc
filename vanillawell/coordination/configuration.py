"""Bring the newest configuration into force in this entry and keep it there."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.coordination.follower import DocumentFollower
from vanillawell.exceptions import SettingsError
from vanillawell.protocol.documents import Configuration
from vanillawell.state.policy import Policy, compile_policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.config.settings import StoreSettings
    from vanillawell.config.tree import OperatorTree
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)


class ConfigurationFollower(DocumentFollower):
    """Own the configuration in force in this entry."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        settings: StoreSettings,
        telemetry: Telemetry,
    ) -> None:
        super().__init__(
            store, keys.configuration, "configuration", membership, settings, telemetry
        )
        self._policy: Policy | None = None
        self._tree: OperatorTree | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def policy(self) -> Policy | None:
        """Return the configuration in force, None before the first."""
        return self._policy

    @property
    def tree(self) -> OperatorTree | None:
        """Return the operators' tree in force, None before the first."""
        return self._tree

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._policy.version if self._policy else 0

    def on_change(self, listener: Callable[[], None]) -> None:
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
        self._tree = configuration.tree
        self._document = document
        self._telemetry.configuration.set({}, configuration.version)
        self._telemetry.state("configuration", f"version {configuration.version}")
        for listener in self._listeners:
            listener()
        return True
