"""Find claims that took effect although their requests were refused as not run.

A claim whose write got no answer, and could not be read back, may still be applied later. Left
alone it would say "in progress" to every later try of the caller until its key is too old, and
the stamp would be lost. So its entry deletes it, or takes it over when the caller tries again.
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

ORPHAN_SECONDS = 60.0
"""Seconds within which a claim of uncertain outcome may still be applied by the store."""

ORPHAN_INTERVAL = 0.5
"""Seconds between two searches for such claims."""


@dataclass(frozen=True, slots=True)
class Orphan:
    """A claim that may have taken effect although its request was refused as not run."""

    token: str
    lease: int
    until: float
    doomed: bool = False
    """Its deletion has been sent."""


class OrphanClaims:
    """Own the claims of one entry whose outcome is uncertain."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._orphans: dict[str, Orphan] = {}

    def add(self, key: str, token: str, lease: int, now: float) -> None:
        """Remember a claim that may yet be applied."""
        self._orphans[key] = Orphan(token, lease, now + ORPHAN_SECONDS)

    def adopt(self, found: KeyValue, fingerprint: str) -> tuple[Claim, int] | None:
        """Take over a claim for a new try of its request; return it with its lease.

        None if the claim is not one of these, belongs to another request, or is being deleted:
        a deletion on its way would remove the claim while the request runs under it, and one
        more try would run it twice.
        """
        claim = Claim.from_bytes(found.value)
        orphan = self._orphans.get(found.key)
        if orphan is None or orphan.doomed or orphan.token != claim.token:
            return None
        if claim.fingerprint != fingerprint:
            return None
        del self._orphans[found.key]
        return claim, orphan.lease

    async def run(self) -> None:
        """Delete such claims wherever they appear, until cancelled."""
        while True:
            await anyio.sleep(ORPHAN_INTERVAL)
            await self.free_all(clock.read())

    async def free_all(self, now: float) -> None:
        """Look once for each claim, and forget those that can no longer be applied."""
        self._orphans = {key: item for key, item in self._orphans.items() if item.until > now}
        for key in list(self._orphans):
            try:
                await self._free(key)
            except StoreError:
                return

    async def _free(self, key: str) -> None:
        found = await self._store.get(key)
        orphan = self._orphans.get(key)
        if found is None or orphan is None:
            return
        if Claim.from_bytes(found.value).token == orphan.token:
            self._orphans[key] = replace(orphan, doomed=True)
            compare = Compare(key, found.mod_revision)
            await self._store.transact(Transaction(compares=[compare], deletes=[key]))
        self._orphans.pop(key, None)
