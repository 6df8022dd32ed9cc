"""Prove that writes in the name of a term are never lost, and end with it."""

from __future__ import annotations

import anyio
import pytest

from vanillawell import clock
from vanillawell.config.node_settings import EntryCapacity
from vanillawell.coordination import candidate as candidate_module
from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.machine_orders import (
    MAX_ORDER_FRESHNESS,
    ORDER_FRESHNESS,
    MachineOrders,
)
from vanillawell.coordination.ports import Ports
from vanillawell.coordination.term import Term, TermLostError
from vanillawell.platform.http import HttpClient
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.store import Put
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.scheduler_cluster import listen
from vanillawell.tests.scheduling_builders import FixedClocks

KEYS = WorkKeys()


async def _take(store: PlatformStore, name: str) -> Term:
    candidate = Candidate(store, KEYS, "all", name)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(candidate.follow)
        term = await candidate.win()
        tasks.cancel_scope.cancel()
    return term


def test_writes_at_the_same_moment_are_all_stored() -> None:
    """Two parts of the owner write at once. Each must find its own value in the store afterwards;
    operators would otherwise miss the state of a wave that was said to be written."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            term = await _take(store, "entry-0")
            async with anyio.create_task_group() as writers:
                for number in range(5):
                    writers.start_soon(term.write, [Put(f"value/{number}", b"x")])
            assert all(f"value/{number}" in stand_in.items for number in range(5))
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_former_owner_can_write_nothing() -> None:
    """An owner is suspended until another one has taken over, and wakes up in the middle of a
    write. Its write must change nothing."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            former = await _take(store, "entry-0")
            await former.give_up()
            present = await _take(store, "entry-1")
            assert present.token > former.token
            with pytest.raises(TermLostError):
                await former.write([Put("value/0", b"x")])
            assert "value/0" not in stand_in.items
            await present.write([Put("value/1", b"x")])
            assert "value/1" in stand_in.items
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_new_owner_leaves_only_lately_ordered_machines_alone() -> None:
    """An owner orders a machine and is replaced at once. Two holders must not take turns on that
    machine, but all others may be needed in the very next second."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            former_term = await _take(store, "entry-0")
            former = MachineOrders(former_term, ports, KEYS, "all", "entry-0", 0.5, FixedClocks())
            assert await former.load()
            await former.announce({"m-1": "pool-1"})
            await former_term.give_up()
            term = await _take(store, "entry-1")
            present = MachineOrders(term, ports, KEYS, "all", "entry-1", 0.5, FixedClocks())
            now = clock.read()
            assert not present.may_order("m-2", now)
            assert await present.load()
            assert present.may_order("m-2", now)
            assert not present.may_order("m-1", now)
            assert not former.may_order("m-2", now + 10)
            await anyio.sleep(0.4 + ORDER_FRESHNESS)
            assert not present.may_order("m-1", clock.read())
            await anyio.sleep(0.2)
            assert present.may_order("m-1", clock.read())
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_an_unreadable_announcement_stops_orders_for_a_moment_only() -> None:
    """What a former owner stored is damaged, or of an earlier version. A new owner that failed on
    it would lose the shard, and so would the one after it; nobody's jobs would go on."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            for value in (b'["m-1"]', b'{"machines": [], "clocks": {}}', b"{"):
                term = await _take(store, "entry-0")
                await term.write([Put(KEYS.machine_orders("all"), value)])
                present = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, FixedClocks())
                assert await present.load()
                assert not present.may_order("m-2", clock.read())
                if value == b"{":
                    tasks.start_soon(term.keep)
                    await anyio.sleep(0.5 + MAX_ORDER_FRESHNESS)
                    assert present.may_order("m-2", clock.read())
                await term.give_up()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_time_without_an_owner_counts_for_the_machines_of_its_last_orders() -> None:
    """All entries lose power in a peak and come back three seconds later. The machines that their
    last owner ordered are needed next; counted from the change of owner, they would be left alone
    for three seconds more. An executor that has lived on tells how long it was; one that was
    restarted tells nothing."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            former_term = await _take(store, "entry-0")
            former = MachineOrders(
                former_term, ports, KEYS, "all", "entry-0", 3.0, FixedClocks({"i-0@1": 50.0})
            )
            assert await former.load()
            await former.announce({"m-1": "pool-1"})
            await former_term.give_up()
            term = await _take(store, "entry-1")
            for clocks, free in (
                ({"i-0@1": 50.0 + 3.1 + ORDER_FRESHNESS}, True),
                ({"i-0@1": 50.0 + 2.9 + ORDER_FRESHNESS}, False),
                ({"i-0@2": 99.0}, False),
            ):
                shown = FixedClocks(clocks)
                present = MachineOrders(term, ports, KEYS, "all", "entry-1", 3.0, shown)
                assert await present.load()
                assert present.may_order("m-1", clock.read()) is free
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_successors_know_for_how_long_a_machine_may_be_on_its_way() -> None:
    """Owners follow on each other, and a machine was ordered by the first of them. It is counted on
    for four seconds in all, not with each owner anew, and not less because others were ordered."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            for number, (reading, ordered) in enumerate(
                ((50.0, set()), (51.0, {"m-0"}), (53.9, {"m-0", "m-1"}), (55.1, {"m-2"}))
            ):
                term = await _take(store, "entry-0")
                shown = FixedClocks({"i-0@1": reading})
                orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, shown)
                assert await orders.load()
                assert orders.ordered_by_previous_owner(clock.read()) == ordered
                await orders.announce({f"m-{number}": "pool-1"})
                await term.give_up()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_successors_know_where_ordered_machines_go_while_orders_may_take_effect() -> None:
    """Owners follow on each other within a second of an order. The later ones must know as well
    which machines may be taken away yet, and which pool each goes to."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            for reading, pending, announced in (
                (50.0, {}, {"m-1": "pool-1", "m-2": "pool-1"}),
                (50.2, {"m-1": "pool-1", "m-2": "pool-1"}, {"m-2": ""}),
                (50.8, {"m-1": "pool-1", "m-2": ""}, {"m-3": "pool-3"}),
                (51.1, {"m-2": "", "m-3": "pool-3"}, {}),
            ):
                term = await _take(store, "entry-0")
                shown = FixedClocks({"i-0@1": reading})
                orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, shown)
                assert await orders.load()
                assert orders.pending_of_previous_owner(clock.read()) == pending
                await orders.announce(announced)
                await term.give_up()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_silent_store_delays_the_next_owner_little_once_it_is_back() -> None:
    """The store answers nothing for four seconds, and the owner's lease ends meanwhile. A call of a
    candidate that still waits for its answer then keeps the shard without an owner, and all jobs
    with it, though the store is there."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            await _take(store, "entry-0")
            candidate = Candidate(store, KEYS, "all", "entry-1")
            tasks.start_soon(candidate.follow)
            await anyio.sleep(0.3)
            assert candidate.holder is not None
            stand_in.faults.withhold_changes = True
            await anyio.sleep(0.5)
            stand_in.faults.down = True
            await anyio.sleep(3.5)
            stand_in.faults.withhold_changes = stand_in.faults.down = False
            with anyio.fail_after(2.0):
                await candidate.win()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_slow_store_stops_orders_for_one_announcement_only() -> None:
    """Each write takes 0.6 s, longer than an order may come after its announcement while the store
    is quick. If no order ever went out, a peak's pool would stay as it was for as long as the store
    is slow."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            ports = Ports(store, *([None] * 4))  # type: ignore[arg-type]
            term = await _take(store, "entry-0")
            orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 3.0, FixedClocks())
            assert await orders.load()
            stand_in.faults.delay = 0.6
            await orders.announce({"m-1": "pool-1"})
            assert not orders.is_fresh(clock.read())
            await orders.announce({"m-1": "pool-1"})
            assert orders.is_fresh(clock.read())
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_the_entry_with_the_most_processor_takes_a_free_shard() -> None:
    """The owner of hundreds of executors is lost in a peak. Taken over by an entry with half a
    core while one with two is there, the shard starts too few tasks for as long as it has it,
    however much room there is."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            sizes = {"small-0": 0.5, "small-1": 0.5, "large": 2.0, "small-2": 0.5}
            candidates = {
                name: Candidate(store, KEYS, "all", name, EntryCapacity(processor_speed=cores))
                for name, cores in sizes.items()
            }
            for candidate in candidates.values():
                tasks.start_soon(candidate.follow)
            for _ in range(6):
                assert await _first_to_win(candidates) == "large"
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def _first_to_win(candidates: dict[str, Candidate]) -> str:
    """Let all try for the shard; returns who got it, and gives it up again."""
    winners: list[str] = []

    async def try_for_it(name: str, candidate: Candidate) -> None:
        term = await candidate.win()
        winners.append(name)
        scope.cancel()
        with anyio.CancelScope(shield=True):
            await term.give_up()

    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as tries:
            for name, candidate in candidates.items():
                tries.start_soon(try_for_it, name, candidate)
    await anyio.sleep(0.1)
    return winners[0]


def test_a_candidate_that_a_last_write_got_ahead_of_tries_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A former owner's last write lands while an entry takes the shard. If it paused then, entries
    that are less suited to own the shard would be there first."""
    monkeypatch.setattr(candidate_module, "TRY_PAUSE", 60.0)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            stand_in = StandInStore()
            tasks.start_soon(stand_in.tick)
            store = PlatformStore(HttpClient(), listen(tasks, stand_in))
            former = await _take(store, "entry-0")
            await former.give_up()
            candidate = Candidate(store, KEYS, "all", "entry-1")
            grant = store.grant_lease

            async def grant_late(ttl: float) -> int:
                store.grant_lease = grant  # type: ignore[method-assign]
                await former.write([Put("value/last", b"x")])
                return await grant(ttl)

            store.grant_lease = grant_late  # type: ignore[method-assign]
            tasks.start_soon(candidate.follow)
            with anyio.fail_after(5):
                await candidate.win()
            tasks.cancel_scope.cancel()

    anyio.run(run)
