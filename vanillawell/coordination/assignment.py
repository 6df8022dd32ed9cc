"""Keep this entry's assignment of instances to pools in sync with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.coordination.document_sync import DocumentSync
from vanillawell.state.pools import Assignment

if TYPE_CHECKING:
    from vanillawell.config.settings import StoreSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry


class AssignmentSync(DocumentSync):
    """Sync the assignment in force in this entry."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        settings: StoreSettings,
        telemetry: Telemetry,
    ) -> None:
        super().__init__(store, keys.assignment, "assignment", membership, settings, telemetry)
        self._assignment = Assignment()

    @property
    def assignment(self) -> Assignment:
        """Return the assignment in force; before the first, instances are in their home pools."""
        return self._assignment

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first."""
        return self._assignment.version

    def _adopt(self, document: bytes) -> bool:
        assignment = Assignment.from_bytes(document)
        if assignment.version <= self.version:
            return False
        self._assignment = assignment
        return True
