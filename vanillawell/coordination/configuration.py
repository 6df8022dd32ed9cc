"""Keep this entry's configuration in sync with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.coordination.document_sync import DocumentSync
from vanillawell.protocol.documents import Configuration
from vanillawell.state.policy import Policy, compile_policy

if TYPE_CHECKING:
    from vanillawell.config.settings import StoreSettings
    from vanillawell.config.tree import OperatorTree
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry


class ConfigurationSync(DocumentSync):
    """Sync the configuration in force in this entry."""

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

    @property
    def policy(self) -> Policy | None:
        """Return the configuration in force, or None before the first."""
        return self._policy

    @property
    def tree(self) -> OperatorTree | None:
        """Return the operators' configuration tree in force, or None before the first."""
        return self._tree

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first."""
        return self._policy.version if self._policy else 0

    def _adopt(self, document: bytes) -> bool:
        configuration = Configuration.from_bytes(document)
        if configuration.version <= self.version:
            return False
        changes = configuration.limit_changes
        self._policy = compile_policy(configuration.tree, configuration.version, changes)
        self._tree = configuration.tree
        self._telemetry.configuration_version.set({}, configuration.version)
        self._telemetry.log_state("configuration", f"version {configuration.version}")
        evacuated = sorted(self._policy.evacuated_zones)
        self._telemetry.evacuated_zones.set({}, len(evacuated))
        self._telemetry.log_state("evacuated zones", ", ".join(evacuated) or "none")
        return True
