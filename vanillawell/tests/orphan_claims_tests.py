"""Test the handling of claims that were applied after their requests were refused."""

from __future__ import annotations

from typing import Any

import anyio

from vanillawell.coordination.orphan_claims import ORPHAN_RETENTION, OrphanClaims
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.claim_documents import Claim
from vanillawell.protocol.store import KeyValue, Transaction, TransactionResult
from vanillawell.tests.fakes import FaultyStore

CLAIM_KEY = "/t/claim/guild/k"

FINGERPRINT = "f"

CLAIM = Claim("entry-1/a", "token", FINGERPRINT)


class InterceptingStore(FaultyStore):
    """A store that runs a callback while a deletion is in flight, and can drop its answers."""

    def __init__(self) -> None:
        super().__init__()
        self.on_delete: Any = lambda: None
        self.lose_answers = False

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if transaction.deletes:
            self.on_delete()
        result = self.apply(transaction)
        if self.lose_answers:
            raise StoreOutcomeUnknownError("lost")
        return result


def applied_claim() -> tuple[InterceptingStore, OrphanClaims, KeyValue]:
    """Return a stored claim that was applied after its request had been refused as not run."""
    store = InterceptingStore()
    store.put(CLAIM_KEY, CLAIM.to_bytes())
    plain: Any = store
    orphans = OrphanClaims(plain)
    orphans.add(CLAIM_KEY, CLAIM.token, 7, 0.0)
    return store, orphans, store.items[CLAIM_KEY]


def test_a_claim_that_was_applied_late_is_deleted() -> None:
    store, orphans, _ = applied_claim()
    anyio.run(orphans.delete_applied, 1.0)
    assert CLAIM_KEY not in store.items


def test_a_retry_adopts_the_claim_and_it_is_not_deleted() -> None:
    store, orphans, found = applied_claim()
    assert orphans.adopt(found, "another request") is None
    assert orphans.adopt(found, FINGERPRINT) == (CLAIM, 7)
    anyio.run(orphans.delete_applied, 1.0)
    assert CLAIM_KEY in store.items


def test_a_claim_with_a_deletion_in_flight_is_not_adopted() -> None:
    """The caller retries while the entry's deletion of the old claim is in flight.

    If the retry ran under that claim, the deletion would remove it, and another retry through any
    entry would run the stamp a second time.
    """
    store, orphans, found = applied_claim()
    adopted: list[object] = []
    store.on_delete = lambda: adopted.append(orphans.adopt(found, FINGERPRINT))
    anyio.run(orphans.delete_applied, 1.0)
    assert adopted == [None]


def test_a_claim_is_not_adopted_after_an_unanswered_deletion() -> None:
    """The store's answer to the deletion is lost, so the deletion may be applied at any time."""
    store, orphans, found = applied_claim()
    store.lose_answers = True
    anyio.run(orphans.delete_applied, 1.0)
    assert orphans.adopt(found, FINGERPRINT) is None


def test_an_orphaned_claim_is_dropped_after_the_retention_period() -> None:
    store, orphans, _ = applied_claim()
    del store.items[CLAIM_KEY]
    anyio.run(orphans.delete_applied, ORPHAN_RETENTION + 1.0)
    store.put(CLAIM_KEY, CLAIM.to_bytes())
    anyio.run(orphans.delete_applied, ORPHAN_RETENTION + 2.0)
    assert CLAIM_KEY in store.items
