"""Test that claims are concluded correctly when the store's answers are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.coordination.claims import ClaimService, HeldClaim
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.claim_documents import Claim, ClaimState
from vanillawell.protocol.documents import StoreKeys
from vanillawell.telemetry import Telemetry
from vanillawell.tests.builders import presence, timing, uuid7
from vanillawell.tests.fakes import FaultyStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.protocol.store import Transaction, TransactionResult

KEYS = StoreKeys("/t")

OTHER_CLAIM = Claim("entry-2/b", "another", "f")


class Member:
    """Minimal membership for the claim service."""

    def __init__(self) -> None:
        self.me = presence("entry-1")
        self.members = {"entry-1": self.me}


class LossyStore(FaultyStore):
    """A store that grants leases and drops its answers to some conclusions."""

    def __init__(self) -> None:
        super().__init__()
        self.losses = 0
        self.after_loss: Callable[[], None] = lambda: None

    async def grant_lease(self, ttl: float) -> int:
        return 7

    async def transact(self, transaction: Transaction) -> TransactionResult:
        creates = any(item.mod_revision == 0 for item in transaction.compares)
        result = self.apply(transaction)
        if not creates and self.losses:
            self.losses -= 1
            self.after_loss()
            raise StoreOutcomeUnknownError("lost")
        return result


def run_script(store: LossyStore, script: Callable[[ClaimService], Awaitable[None]]) -> None:
    """Run a script against a claim service until all conclusions are written."""

    async def run() -> None:
        plain: Any = store
        member: Any = Member()
        claims = ClaimService(plain, KEYS, member, timing(), Telemetry())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(claims.run)
            await script(claims)
            with anyio.fail_after(5.0):
                while claims.unfinished:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def held_claim(claims: ClaimService, key: str) -> HeldClaim:
    held = await claims.claim("guild", key, "f")
    assert isinstance(held, HeldClaim)
    return held


def test_a_conclusion_retried_after_a_lost_answer_keeps_another_entrys_claim() -> None:
    """The store deletes a claim whose stamp did not run, but its answer is lost.

    The caller retries through another entry, which claims the key and runs the stamp. If the first
    entry's repeated deletion removed the other entry's claim, another retry of the caller would
    run the stamp twice.
    """
    store = LossyStore()
    key = uuid7(1_700_000_000_000)
    stored = KEYS.claim("guild", key)

    async def script(claims: ClaimService) -> None:
        held = await held_claim(claims, key)
        store.losses = 1
        store.after_loss = lambda: store.put(stored, OTHER_CLAIM.to_bytes())
        claims.conclude_not_run(held)

    run_script(store, script)
    assert store.items[stored].value == OTHER_CLAIM.to_bytes()


def test_remaining_conclusions_of_a_batch_are_written_after_one_was_already_applied() -> None:
    """One of two conclusions in a batch had already been applied when its answer was lost."""
    store = LossyStore()
    keys = [uuid7(1_700_000_000_000 + number) for number in range(2)]

    async def script(claims: ClaimService) -> None:
        first, second = [await held_claim(claims, key) for key in keys]
        store.losses = 1
        claims.conclude_ran(first, 200, [], b"one")
        while store.losses:
            await anyio.sleep(0.005)
        claims.conclude_ran(second, 200, [], b"two")

    run_script(store, script)
    states = [Claim.from_bytes(store.items[KEYS.claim("guild", key)].value).state for key in keys]
    assert states == [ClaimState.RAN, ClaimState.RAN]
