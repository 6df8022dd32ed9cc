"""Test that writes of a term are not lost, and that a term's end fences later writes."""

from __future__ import annotations

from typing import cast
from unittest.mock import patch

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
from vanillawell.protocol.store import Put
from vanillawell.tests.scheduling_builders import FixedClocks
from vanillawell.tests.store_setup import KEYS, StoreSetup, take, with_store


@with_store
async def test_concurrent_writes_of_a_term_are_all_stored(setup: StoreSetup) -> None:
    """Several tasks of the owner write concurrently. No write may be reported as stored if it is
    not; otherwise operators could miss the published state of a wave."""
    stand_in, store = setup.stand_in, setup.store
    term = await take(store, "entry-0")
    async with anyio.create_task_group() as writers:
        for number in range(5):
            writers.start_soon(term.write, [Put(f"value/{number}", b"x")])
    assert all(f"value/{number}" in stand_in.items for number in range(5))


@with_store
async def test_write_of_a_previous_owner_has_no_effect(setup: StoreSetup) -> None:
    """An owner is suspended until another one has taken over, and resumes in the middle of a
    write."""
    stand_in, store = setup.stand_in, setup.store
    previous = await take(store, "entry-0")
    await previous.release()
    current = await take(store, "entry-1")
    assert current.token > previous.token
    with pytest.raises(TermLostError):
        await previous.write([Put("value/0", b"x")])
    assert "value/0" not in stand_in.items
    await current.write([Put("value/1", b"x")])
    assert "value/1" in stand_in.items


@with_store
async def test_new_owner_withholds_only_recently_ordered_machines(setup: StoreSetup) -> None:
    """An owner orders a machine and is replaced at once. The new owner must not order that machine
    as well, but may need all others in the next second."""
    store, ports = setup.store, setup.ports
    previous_term = await take(store, "entry-0")
    previous = MachineOrders(previous_term, ports, KEYS, "all", "entry-0", 0.5, FixedClocks())
    assert await previous.load()
    await previous.announce({"m-1": "pool-1"})
    await previous_term.release()
    term = await take(store, "entry-1")
    setup.tasks.start_soon(term.renew_until_lost)
    current = MachineOrders(term, ports, KEYS, "all", "entry-1", 0.5, FixedClocks())
    now = clock.read()
    assert not current.may_order("m-2", now)
    assert await current.load()
    assert current.may_order("m-2", now)
    assert not current.may_order("m-1", now)
    assert not previous.may_order("m-2", now + 10)
    await anyio.sleep(0.4 + ORDER_FRESHNESS)
    assert not current.may_order("m-1", clock.read())
    await anyio.sleep(0.2)
    assert current.may_order("m-1", clock.read())


@with_store
async def test_unreadable_announcement_stops_orders_only_temporarily(setup: StoreSetup) -> None:
    """The announcement stored by a previous owner is damaged or of an earlier version. If a new
    owner failed on it, so would each of its successors, and no job would run."""
    store, ports = setup.store, setup.ports
    for value in (b'["m-1"]', b'{"machines": [], "clocks": {}}', b"{"):
        term = await take(store, "entry-0")
        await term.write([Put(KEYS.machine_orders("all"), value)])
        current = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, FixedClocks())
        assert await current.load()
        assert not current.may_order("m-2", clock.read())
        if value == b"{":
            setup.tasks.start_soon(term.renew_until_lost)
            await anyio.sleep(0.5 + MAX_ORDER_FRESHNESS)
            assert current.may_order("m-2", clock.read())
        await term.release()


@with_store
async def test_time_without_an_owner_counts_for_machines_of_its_last_orders(
    setup: StoreSetup,
) -> None:
    """All entries lose power during a load peak and return three seconds later. The machines that
    the last owner ordered are needed at once; if the time were counted from the take-over, they
    would be withheld for three seconds more. The clock of an executor that kept running shows the
    time that has passed; the clock of a restarted one does not."""
    store, ports = setup.store, setup.ports
    previous_term = await take(store, "entry-0")
    previous = MachineOrders(
        previous_term, ports, KEYS, "all", "entry-0", 3.0, FixedClocks({"i-0@1": 50.0})
    )
    assert await previous.load()
    await previous.announce({"m-1": "pool-1"})
    await previous_term.release()
    term = await take(store, "entry-1")
    for clocks, free in (
        ({"i-0@1": 50.0 + 3.1 + ORDER_FRESHNESS}, True),
        ({"i-0@1": 50.0 + 2.9 + ORDER_FRESHNESS}, False),
        ({"i-0@2": 99.0}, False),
    ):
        shown = FixedClocks(clocks)
        current = MachineOrders(term, ports, KEYS, "all", "entry-1", 3.0, shown)
        assert await current.load()
        assert current.may_order("m-1", clock.read()) is free


@with_store
async def test_ordered_machine_is_expected_for_a_fixed_time_across_owners(
    setup: StoreSetup,
) -> None:
    """Owners succeed each other, and the first of them ordered a machine. The machine is expected
    for four seconds in total, neither again from each take-over nor for less time because other
    machines were ordered."""
    store, ports = setup.store, setup.ports
    for number, (reading, ordered) in enumerate(
        ((50.0, set()), (51.0, {"m-0"}), (53.9, {"m-0", "m-1"}), (55.1, {"m-2"}))
    ):
        term = await take(store, "entry-0")
        shown = FixedClocks({"i-0@1": reading})
        orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, shown)
        assert await orders.load()
        assert orders.ordered_by_previous_owner(clock.read()) == ordered
        await orders.announce({f"m-{number}": "pool-1"})
        await term.release()


@with_store
async def test_pending_orders_and_their_pools_are_known_to_later_owners(setup: StoreSetup) -> None:
    """Owners succeed each other within a second of an order. The later ones must know which
    machines may still be moved, and to which pool."""
    store, ports = setup.store, setup.ports
    for reading, pending, announced in (
        (50.0, {}, {"m-1": "pool-1", "m-2": "pool-1"}),
        (50.2, {"m-1": "pool-1", "m-2": "pool-1"}, {"m-2": ""}),
        (50.8, {"m-1": "pool-1", "m-2": ""}, {"m-3": "pool-3"}),
        (51.1, {"m-2": "", "m-3": "pool-3"}, {}),
    ):
        term = await take(store, "entry-0")
        shown = FixedClocks({"i-0@1": reading})
        orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 0.5, shown)
        assert await orders.load()
        assert orders.pending_of_previous_owner(clock.read()) == pending
        await orders.announce(announced)
        await term.release()


@with_store
async def test_shard_is_taken_over_soon_after_the_store_recovers(setup: StoreSetup) -> None:
    """The store is unresponsive for four seconds, and the owner's lease expires meanwhile. A
    pending call of a candidate must not leave the shard without an owner for long once the store
    answers again."""
    stand_in, store = setup.stand_in, setup.store
    await take(store, "entry-0")
    candidate = Candidate(store, KEYS, "all", "entry-1")
    setup.tasks.start_soon(candidate.watch_holder)
    await anyio.sleep(0.3)
    assert candidate.holder is not None
    stand_in.faults.withhold_changes = True
    await anyio.sleep(0.5)
    stand_in.faults.down = True
    await anyio.sleep(3.5)
    stand_in.faults.withhold_changes = stand_in.faults.down = False
    with anyio.fail_after(2.0):
        await candidate.acquire()


@with_store
async def test_slow_store_delays_orders_by_one_announcement_only(setup: StoreSetup) -> None:
    """Each write takes 0.6 s, longer than an announcement stays fresh while the store is fast. If
    orders were never sent, a pool under peak load would not grow for as long as the store is
    slow."""
    stand_in, store, ports = setup.stand_in, setup.store, setup.ports
    term = await take(store, "entry-0")
    orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 3.0, FixedClocks())
    assert await orders.load()
    stand_in.faults.delay = 0.6
    await orders.announce({"m-1": "pool-1"})
    assert not orders.is_fresh("m-1", clock.read())
    await orders.announce({"m-1": "pool-1"})
    assert orders.is_fresh("m-1", clock.read())


# Guards against sending an order later than the time that a successor waits for it, since another
# machine was announced meanwhile.
def test_order_does_not_stay_fresh_through_the_announcement_of_another() -> None:
    class StubTerm:
        token = 1

        async def write(self, _puts: object) -> float:
            return 0.0

    async def run() -> None:
        ports = Ports(*([None] * 5))  # type: ignore[arg-type]
        term = cast("Term", StubTerm())
        orders = MachineOrders(term, ports, KEYS, "all", "entry-0", 3.0, FixedClocks())
        await orders.announce({"m-1": "pool-1"})
        await anyio.sleep(ORDER_FRESHNESS - 0.1)
        await orders.announce({"m-2": ""})
        await anyio.sleep(0.2)
        assert not orders.is_fresh("m-1", clock.read())
        assert orders.is_fresh("m-2", clock.read())

    anyio.run(run)


@with_store
async def test_entry_with_the_most_cores_takes_a_free_shard(setup: StoreSetup) -> None:
    """The owner of hundreds of executors is lost during a load peak. If an entry with half a core
    took over although one with two cores is available, the shard would start too few tasks for as
    long as that entry owns it, however much free capacity there is."""
    store = setup.store
    sizes = {"small-0": 0.5, "small-1": 0.5, "large": 2.0, "small-2": 0.5}
    candidates = {
        name: Candidate(store, KEYS, "all", name, EntryCapacity(processor_speed=cores))
        for name, cores in sizes.items()
    }
    for candidate in candidates.values():
        setup.tasks.start_soon(candidate.watch_holder)
    for _ in range(6):
        assert await _find_first_owner(candidates) == "large"


async def _find_first_owner(candidates: dict[str, Candidate]) -> str:
    """Let all candidates try to take the shard, release it again, and return the winner's name."""
    winners: list[str] = []

    async def try_to_acquire(name: str, candidate: Candidate) -> None:
        term = await candidate.acquire()
        winners.append(name)
        scope.cancel()
        with anyio.CancelScope(shield=True):
            await term.release()

    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as tries:
            for name, candidate in candidates.items():
                tries.start_soon(try_to_acquire, name, candidate)
    await anyio.sleep(0.1)
    return winners[0]


@with_store
async def test_claim_is_retried_at_once_after_a_concurrent_write_of_the_previous_owner(
    setup: StoreSetup,
) -> None:
    """The last write of the previous owner takes effect while an entry takes the shard. If that
    entry waited before its retry, a less suitable entry would take the shard first."""
    store = setup.store
    previous = await take(store, "entry-0")
    await previous.release()
    candidate = Candidate(store, KEYS, "all", "entry-1")
    grant = store.grant_lease

    async def grant_late(ttl: float) -> int:
        store.grant_lease = grant  # type: ignore[method-assign]
        await previous.write([Put("value/last", b"x")])
        return await grant(ttl)

    store.grant_lease = grant_late  # type: ignore[method-assign]
    setup.tasks.start_soon(candidate.watch_holder)
    with patch.object(candidate_module, "RETRY_INTERVAL", 60.0), anyio.fail_after(5):
        await candidate.acquire()
