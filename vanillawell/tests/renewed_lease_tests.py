"""Prove that a lease is kept up, and not taken as held too long, while answers are late or lost."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import anyio

from vanillawell import clock
from vanillawell.coordination.renewed_lease import DOUBT, RENEWALS, RENEWALS_AT_ONCE, RenewedLease
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import ANSWER_BOUND, PlatformStore
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import listen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TTL = 1.5
NEVER = float("inf")


@dataclass
class ScriptedStore:
    """A store whose answers to renewals come as late as the test says, and at once after those."""

    delays: list[float] = field(default_factory=list)
    alive: bool = True
    sent: list[float] = field(default_factory=list)
    fresh: list[bool] = field(default_factory=list)
    under_way: int = 0
    most_under_way: int = 0

    async def keep_alive(self, _lease: int, fresh: bool = False) -> bool:
        self.sent.append(clock.read())
        self.fresh.append(fresh)
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        try:
            delay = self.delays.pop(0) if self.delays else 0.0
            await anyio.sleep(min(delay, ANSWER_BOUND))
            if delay > ANSWER_BOUND:
                raise StoreOutcomeUnknownError("lost by the test")
            return self.alive
        finally:
            self.under_way -= 1


def _keep(store: ScriptedStore, check: Callable[[RenewedLease], Awaitable[None]]) -> None:
    """Keep a lease that was granted just now up while `check` runs."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            lease = RenewedLease(cast("Any", store), 7, TTL, clock.read())
            tasks.start_soon(lease.keep)
            await check(lease)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_renewal_that_is_confirmed_late_counts_from_its_sending() -> None:
    """The store takes a second to answer. Counted from the answer, the lease would be taken as held
    for a second after the store has given it to another entry."""
    store = ScriptedStore(delays=[1.0, NEVER, NEVER, NEVER, NEVER])

    async def check(lease: RenewedLease) -> None:
        await anyio.sleep(TTL / RENEWALS + 1.0 + 0.1)
        first = store.sent[0]
        assert lease.is_held(first + TTL - 0.01)
        assert not lease.is_held(first + TTL + 0.01)

    _keep(store, check)


def test_a_renewal_without_an_answer_counts_for_nothing() -> None:
    """It may have been carried out or not."""
    store = ScriptedStore(delays=[NEVER] * 9)
    granted = clock.read()

    async def check(lease: RenewedLease) -> None:
        await anyio.sleep(TTL + 0.2)
        assert not lease.is_held(clock.read())
        assert 0 < lease.lapsed_for(clock.read()) < clock.read() - granted - TTL + 0.1

    _keep(store, check)


def test_two_lost_answers_in_a_row_do_not_cost_the_lease() -> None:
    """Lost answers come in bursts. The next renewal is not held up by those before it."""
    store = ScriptedStore(delays=[NEVER, NEVER])

    async def check(lease: RenewedLease) -> None:
        for _ in range(20):
            await anyio.sleep(0.1)
            assert lease.is_held(clock.read())

    _keep(store, check)


def test_an_earlier_renewal_that_is_confirmed_last_takes_nothing_back() -> None:
    """Answers overtake each other."""
    store = ScriptedStore(delays=[DOUBT + 0.4])

    async def check(lease: RenewedLease) -> None:
        await anyio.sleep(TTL / RENEWALS + DOUBT + 0.1)
        assert lease.is_held(store.sent[1] + TTL - 0.01)
        await anyio.sleep(0.4)
        assert lease.is_held(store.sent[1] + TTL - 0.01)

    _keep(store, check)


def test_a_silent_store_is_asked_by_a_bounded_number_of_renewals() -> None:
    """Calls are priced, those without an answer too."""
    store = ScriptedStore(delays=[NEVER] * 99)

    async def check(_lease: RenewedLease) -> None:
        await anyio.sleep(TTL / RENEWALS + 2 * ANSWER_BOUND)

    _keep(store, check)
    assert store.most_under_way == RENEWALS_AT_ONCE
    assert len(store.sent) <= 2 * RENEWALS_AT_ONCE + 1


def test_a_store_that_answers_is_asked_no_more_often_than_needed() -> None:
    """Renewals are priced."""
    store = ScriptedStore()

    async def check(_lease: RenewedLease) -> None:
        await anyio.sleep(2 * TTL + 0.2)

    _keep(store, check)
    assert len(store.sent) <= 2 * RENEWALS
    assert not any(store.fresh)


def test_a_lease_that_the_store_has_ended_is_renewed_no_more() -> None:
    """Another entry may have taken what it stood for."""
    store = ScriptedStore(alive=False)

    async def run() -> None:
        lease = RenewedLease(cast("Any", store), 7, TTL, clock.read())
        with anyio.fail_after(TTL):
            assert await lease.keep() == "the lease has ended"

    anyio.run(run)
    assert len(store.sent) == 1


def test_a_renewal_after_one_without_an_answer_goes_over_a_new_connection() -> None:
    """The path loses track of all connections that are open. Sent over the next of these, renewals
    would stay without an answer until the first has been waited for as long as the lease lasts."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in, http = StandInStore(), HttpClient()
            store = PlatformStore(http, listen(tasks, stand_in))
            granted = clock.read()
            lease = RenewedLease(store, await store.grant_lease(TTL), TTL, granted)
            async with anyio.create_task_group() as readings:
                for _ in range(3):
                    readings.start_soon(store.get, "key")
            opened = http.opened
            stand_in.faults.lose_renewal_answers = 1
            tasks.start_soon(lease.keep)
            await anyio.sleep(TTL / RENEWALS + DOUBT + 0.2)
            assert stand_in.faults.lose_renewal_answers == 0
            assert http.opened == opened + 1
            assert lease.is_held(granted + TTL + 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)
