"""Test that a lease is renewed and its expiry known while answers are late or lost."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import anyio

from vanillawell import clock
from vanillawell.coordination.renewed_lease import (
    MAX_PENDING_RENEWALS,
    RENEWAL_RETRY_DELAY,
    RENEWALS_PER_TTL,
    RenewedLease,
)
from vanillawell.exceptions import StoreOutcomeUnknownError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import STORE_CALL_TIMEOUT, PlatformStore
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.executor_hosts import listen
from vanillawell.tests.scheduler_cluster import until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TTL = 1.5
NEVER = float("inf")


@dataclass
class ScriptedStore:
    """Store that delays its first answers to renewals by the given times."""

    delays: list[float] = field(default_factory=list)
    alive: bool = True
    sent: list[float] = field(default_factory=list)
    fresh: list[bool] = field(default_factory=list)
    answered: list[int] = field(default_factory=list)
    """Numbers of the calls that were answered, in the order of the answers."""

    pending: int = 0
    max_pending: int = 0

    async def keep_alive(self, _lease: int, fresh: bool = False) -> bool:
        number = len(self.sent)
        self.sent.append(clock.read())
        self.fresh.append(fresh)
        self.pending += 1
        self.max_pending = max(self.max_pending, self.pending)
        try:
            delay = self.delays.pop(0) if self.delays else 0.0
            await anyio.sleep(min(delay, STORE_CALL_TIMEOUT))
            if delay > STORE_CALL_TIMEOUT:
                raise StoreOutcomeUnknownError("lost by the test")
            self.answered.append(number)
            return self.alive
        finally:
            self.pending -= 1


def _renew_while(store: ScriptedStore, check: Callable[[RenewedLease], Awaitable[None]]) -> None:
    """Renew a newly granted lease while `check` runs."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            lease = RenewedLease(cast("Any", store), 7, TTL, clock.read())
            tasks.start_soon(lease.renew_until_ended)
            await check(lease)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_renewal_confirmed_late_counts_from_when_it_was_sent() -> None:
    """The store takes a second to answer. If the lease counted from the answer, it would be
    considered valid for a second after the store may have granted the shard to another entry."""
    store = ScriptedStore(delays=[1.0, NEVER, NEVER, NEVER, NEVER])

    async def check(lease: RenewedLease) -> None:
        await anyio.sleep(TTL / RENEWALS_PER_TTL + 1.0 + 0.1)
        first = store.sent[0]
        assert lease.is_held(first + TTL - 0.01)
        assert not lease.is_held(first + TTL + 0.01)

    _renew_while(store, check)


def test_renewal_without_an_answer_does_not_extend_the_lease() -> None:
    """The outcome of the renewal is unknown."""
    store = ScriptedStore(delays=[NEVER] * 9)
    granted = clock.read()

    async def check(lease: RenewedLease) -> None:
        await anyio.sleep(TTL + 0.2)
        assert not lease.is_held(clock.read())
        assert 0 < lease.lapsed_for(clock.read()) < clock.read() - granted - TTL + 0.1

    _renew_while(store, check)


def test_lease_survives_two_lost_answers_in_a_row() -> None:
    """Answers are lost in bursts. Pending renewals must not delay the next one."""
    store = ScriptedStore(delays=[NEVER, NEVER])

    async def check(lease: RenewedLease) -> None:
        for _ in range(20):
            await anyio.sleep(0.1)
            assert lease.is_held(clock.read())

    _renew_while(store, check)


def test_earlier_renewal_confirmed_last_does_not_shorten_the_lease() -> None:
    """The answers to two renewals arrive in reverse order."""
    store = ScriptedStore(delays=[RENEWAL_RETRY_DELAY + 0.4])

    async def check(lease: RenewedLease) -> None:
        await until(lambda: 1 in store.answered)
        await until(lambda: lease.is_held(store.sent[1] + TTL - 0.01))
        await until(lambda: 0 in store.answered)
        await anyio.sleep(0.1)
        assert store.answered.index(0) > store.answered.index(1)
        assert lease.is_held(store.sent[1] + TTL - 0.01)

    _renew_while(store, check)


def test_number_of_renewals_sent_to_an_unresponsive_store_is_bounded() -> None:
    """Each call costs, even without an answer."""
    store = ScriptedStore(delays=[NEVER] * 99)

    async def check(_lease: RenewedLease) -> None:
        await anyio.sleep(TTL / RENEWALS_PER_TTL + 2 * STORE_CALL_TIMEOUT)

    _renew_while(store, check)
    assert store.max_pending == MAX_PENDING_RENEWALS
    assert len(store.sent) <= 2 * MAX_PENDING_RENEWALS + 1


def test_number_of_renewals_sent_to_a_healthy_store_is_bounded() -> None:
    """Each renewal costs."""
    store = ScriptedStore()

    async def check(_lease: RenewedLease) -> None:
        await anyio.sleep(2 * TTL + 0.2)

    _renew_while(store, check)
    assert len(store.sent) <= 2 * RENEWALS_PER_TTL
    assert not any(store.fresh)


def test_lease_that_has_expired_in_the_store_is_no_longer_renewed() -> None:
    """Another entry may have taken the shard."""
    store = ScriptedStore(alive=False)

    async def run() -> None:
        lease = RenewedLease(cast("Any", store), 7, TTL, clock.read())
        with anyio.fail_after(TTL):
            assert await lease.renew_until_ended() == "the lease has expired"

    anyio.run(run)
    assert len(store.sent) == 1


def test_renewal_after_an_unanswered_one_uses_a_new_connection() -> None:
    """The network path drops the state of all open connections. Further renewals over these would
    remain unanswered until the lease has expired."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in, http = StandInStore(), HttpClient()
            store = PlatformStore(http, listen(tasks, stand_in))
            granted = clock.read()
            lease = RenewedLease(store, await store.grant_lease(TTL), TTL, granted)
            async with anyio.create_task_group() as readings:
                for _ in range(3):
                    readings.start_soon(store.get, "key")
            connections_opened = http.connections_opened
            stand_in.faults.lose_renewal_answers = 1
            tasks.start_soon(lease.renew_until_ended)
            await anyio.sleep(TTL / RENEWALS_PER_TTL + RENEWAL_RETRY_DELAY + 0.2)
            assert stand_in.faults.lose_renewal_answers == 0
            assert http.connections_opened == connections_opened + 1
            assert lease.is_held(granted + TTL + 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)
