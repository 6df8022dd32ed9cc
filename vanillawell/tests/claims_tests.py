"""Drive the claims of one entry through answers that the store loses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.coordination.claims import ClaimService, HeldClaim
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.protocol.claim_documents import Claim, ClaimState
from vanillawell.protocol.documents import StoreKeys
from vanillawell.telemetry import Telemetry
from vanillawell.tests.builders import presence, timing, uuid7
from vanillawell.tests.fakes import RacyStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.protocol.store import Transaction, TransactionResult

KEYS = StoreKeys("/t")

ANOTHERS = Claim("entry-2/b", "another", "f")


class Member:
    """Membership as far as claims use it."""

    def __init__(self) -> None:
        self.me = presence("entry-1")
        self.members = {"entry-1": self.me}


class LossyStore(RacyStore):
    """A store that grants leases and loses the answers of some conclusions."""

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


def play(store: LossyStore, script: Callable[[ClaimService], Awaitable[None]]) -> None:
    """Run a script beside a desk until all its conclusions are written."""

    async def run() -> None:
        plain: Any = store
        member: Any = Member()
        desk = ClaimService(plain, KEYS, member, timing(), Telemetry())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(desk.run)
            await script(desk)
            with anyio.fail_after(5.0):
                while desk.unfinished:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def held_claim(desk: ClaimService, key: str) -> HeldClaim:
    held = await desk.claim("guild", key, "f")
    assert isinstance(held, HeldClaim)
    return held


def test_a_conclusion_repeated_after_a_lost_answer_leaves_anothers_claim_alone() -> None:
    """A claim is freed since its stamp did not run; the store applies that and the answer is lost.

    The caller sends again through another entry, which claims the key and runs the stamp. If the
    first entry's second try to free its claim removed the other one's, one more try of the caller
    would run the stamp twice.
    """
    store = LossyStore()
    key = uuid7(1_700_000_000_000)
    stored = KEYS.claim("guild", key)

    async def script(desk: ClaimService) -> None:
        held = await held_claim(desk, key)
        store.losses = 1
        store.after_loss = lambda: store.put(stored, ANOTHERS.to_bytes())
        desk.conclude_not_run(held)

    play(store, script)
    assert store.items[stored].value == ANOTHERS.to_bytes()


def test_conclusions_beside_one_that_was_applied_already_are_written() -> None:
    """Of two conclusions in a batch one was applied when its answer was lost."""
    store = LossyStore()
    keys = [uuid7(1_700_000_000_000 + number) for number in range(2)]

    async def script(desk: ClaimService) -> None:
        first, second = [await held_claim(desk, key) for key in keys]
        store.losses = 1
        desk.conclude_ran(first, 200, [], b"one")
        while store.losses:
            await anyio.sleep(0.005)
        desk.conclude_ran(second, 200, [], b"two")

    play(store, script)
    states = [Claim.from_bytes(store.items[KEYS.claim("guild", key)].value).state for key in keys]
    assert states == [ClaimState.RAN, ClaimState.RAN]
