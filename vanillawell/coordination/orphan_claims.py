"""Clean up claims that were applied although their requests were refused as not run.

A claim whose write was not answered, and which could not be read back, may still be applied later.
If it stayed, every retry of the caller would be refused as in progress until the key expires, and
the request would never run. The entry that wrote the claim therefore deletes it, or adopts it when
the caller retries.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import StoreError
from vanillawell.protocol.claim_documents import Claim
from vanillawell.protocol.store import Compare, Transaction

if TYPE_CHECKING:
    from vanillawell.protocol.store import KeyValue, Store

ORPHAN_RETENTION = 60.0
"""Seconds within which the store may still apply a claim whose write was not answered."""

ORPHAN_POLL_INTERVAL = 0.5
"""Seconds between two checks for such claims in the store."""


@dataclass(frozen=True, slots=True)
class Orphan:
    """A claim that may have taken effect although its request was refused as not run."""

    token: str
    lease: int
    expires_at: float
    deletion_sent: bool = False
    """Whether a deletion of this claim has been sent."""


class OrphanClaims:
    """Track the claims of one entry whose write has an unknown outcome."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._orphans: dict[str, Orphan] = {}

    def add(self, key: str, token: str, lease: int, now: float) -> None:
        """Track a claim that may still be applied."""
        self._orphans[key] = Orphan(token, lease, now + ORPHAN_RETENTION)

    def adopt(self, found: KeyValue, fingerprint: str) -> tuple[Claim, int] | None:
        """Adopt a claim for a retry of its request; return it with its lease.

        Return None if the claim is not tracked here, belongs to another request, or is being
        deleted. A deletion in flight would remove the claim while the request runs under it, and
        another retry would then run it a second time.
        """
        claim = Claim.from_bytes(found.value)
        orphan = self._orphans.get(found.key)
        if orphan is None or orphan.deletion_sent or orphan.token != claim.token:
            return None
        if claim.fingerprint != fingerprint:
            return None
        del self._orphans[found.key]
        return claim, orphan.lease

    async def run(self) -> None:
        """Delete tracked claims once they appear in the store, until cancelled."""
        while True:
            await anyio.sleep(ORPHAN_POLL_INTERVAL)
            await self.delete_applied(clock.read())

    async def delete_applied(self, now: float) -> None:
        """Check each tracked claim once, and drop those that can no longer be applied."""
        self._orphans = {key: item for key, item in self._orphans.items() if item.expires_at > now}
        for key in list(self._orphans):
            try:
                await self._delete_if_applied(key)
            except StoreError:
                return

    async def _delete_if_applied(self, key: str) -> None:
        found = await self._store.get(key)
        orphan = self._orphans.get(key)
        if found is None or orphan is None:
            return
        if Claim.from_bytes(found.value).token == orphan.token:
            self._orphans[key] = replace(orphan, deletion_sent=True)
            compare = Compare(key, found.mod_revision)
            await self._store.transact(Transaction(compares=[compare], deletes=[key]))
        self._orphans.pop(key, None)
