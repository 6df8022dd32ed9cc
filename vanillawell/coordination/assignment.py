"""Keep the newest assignment of instances to pools in force in this entry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell.coordination.follower import DocumentFollower
from vanillawell.state.pools import Assignment

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.config.settings import StoreSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)


class AssignmentFollower(DocumentFollower):
    """Own the assignment in force in this entry."""

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
        self._listeners: list[Callable[[], None]] = []

    @property
    def assignment(self) -> Assignment:
        """Return the assignment in force; all instances at home before the first."""
        return self._assignment

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._assignment.version

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, document: bytes) -> bool:
        """Bring a document into force if it is newer; False if it is not or is unreadable."""
        try:
            assignment = Assignment.from_bytes(document)
        except (ValueError, TypeError, KeyError) as error:
            log.error("assignment refused", extra={"reason": str(error)})
            return False
        if assignment.version <= self.version:
            return False
        self._assignment = assignment
        self._document = document
        for listener in self._listeners:
            listener()
        return True
