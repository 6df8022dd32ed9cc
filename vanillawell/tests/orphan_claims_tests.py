"""Check what becomes of claims that were applied although nobody heard of it."""

from __future__ import annotations

from typing import Any

import anyio

from vanillawell.coordination.orphan_claims import ORPHAN_SECONDS, OrphanClaims
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.claim_documents import Claim
from vanillawell.protocol.store import KeyValue, Transaction, TransactionResult
from vanillawell.tests.fakes import FaultyStore

KEY = "/t/claim/guild/k"

FINGERPRINT = "f"

CLAIM = Claim("entry-1/a", "token", FINGERPRINT)


class StoreWithTrap(FaultyStore):
    """A store that lets the caller try again while a deletion is on its way."""

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


def applied_claim() -> tuple[StoreWithTrap, OrphanClaims, KeyValue]:
    """Build a claim that was applied after its request had been refused as not run."""
    store = StoreWithTrap()
    store.put(KEY, CLAIM.to_bytes())
    plain: Any = store
    orphans = OrphanClaims(plain)
    orphans.add(KEY, CLAIM.token, 7, 0.0)
    return store, orphans, store.items[KEY]


def test_a_claim_that_was_applied_late_is_deleted() -> None:
    store, orphans, _ = applied_claim()
    anyio.run(orphans.free_all, 1.0)
    assert KEY not in store.items


def test_a_new_try_takes_the_claim_over_and_it_stays() -> None:
    store, orphans, found = applied_claim()
    assert orphans.adopt(found, "another request") is None
    assert orphans.adopt(found, FINGERPRINT) == (CLAIM, 7)
    anyio.run(orphans.free_all, 1.0)
    assert KEY in store.items


def test_a_claim_that_is_being_deleted_is_not_taken_over() -> None:
    """The caller tries again while the entry's deletion of the old claim is on its way.

    If the new try ran under that claim, the deletion would remove it, and one more try through
    any entry would run the stamp a second time.
    """
    store, orphans, found = applied_claim()
    adopted: list[object] = []
    store.on_delete = lambda: adopted.append(orphans.adopt(found, FINGERPRINT))
    anyio.run(orphans.free_all, 1.0)
    assert adopted == [None]


def test_a_deletion_without_an_answer_still_bars_a_takeover() -> None:
    """The store's answer to the deletion is lost; it may be applied at any time from now on."""
    store, orphans, found = applied_claim()
    store.lose_answers = True
    anyio.run(orphans.free_all, 1.0)
    assert orphans.adopt(found, FINGERPRINT) is None


def test_a_claim_that_can_no_longer_be_applied_is_forgotten() -> None:
    store, orphans, _ = applied_claim()
    del store.items[KEY]
    anyio.run(orphans.free_all, ORPHAN_SECONDS + 1.0)
    store.put(KEY, CLAIM.to_bytes())
    anyio.run(orphans.free_all, ORPHAN_SECONDS + 2.0)
    assert KEY in store.items
