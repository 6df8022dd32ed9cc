"""Prove on plain data which machines a new owner counts on before their executors register."""

from __future__ import annotations

from vanillawell.coordination.pool_demand import MachineView
from vanillawell.protocol.machine_calls import Machine, MachineState
from vanillawell.state.executors import Executor
from vanillawell.tests.scheduling_builders import ShardHarness, facts

POOL = facts("any").service


def listing(**executors: str) -> dict[str, Machine]:
    """Return a list of machines that are up, each with its executor, or "" for none."""
    return {
        name: Machine(name, POOL, MachineState.UP, executor or None)
        for name, executor in executors.items()
    }


def lives(*names: str) -> dict[str, Executor]:
    """Return executors that are registered and answer, by machine; `i-1` lives on `m1`."""
    harness = ShardHarness(*(facts(name, machine=name.replace("i-", "m")) for name in names))
    return harness.shard.ledger.by_machine()


def view(
    living: dict[str, Executor], listed: dict[str, Machine], ordered: set[str] | None = None
) -> MachineView:
    """Return what an owner knows with no machine on its way by order of its own."""
    return MachineView(living, listed, {}, ordered or set())


def test_a_machine_that_carries_no_executor_is_not_counted_on() -> None:
    """Its executor has left for good; counted as room, it keeps a spare machine in standby."""
    found = view(lives("i-1", "i-2"), listing(m1="i-1", m2="i-2", m3=""))
    assert found.still_to_register(POOL) == []


def test_an_executor_whose_entry_lapsed_with_the_store_is_counted_on() -> None:
    """Entries come back within two seconds of the store; machines moved meanwhile are needless."""
    found = view(lives("i-1"), listing(m1="i-1", m2="i-2", m3="i-3"))
    assert found.still_to_register(POOL) == ["m2", "m3"]


def test_at_a_cold_start_all_machines_are_counted_on() -> None:
    """Nothing has registered and the list names no executor yet; the pool is not lost."""
    assert view({}, listing(m1="", m2="")).still_to_register(POOL) == ["m1", "m2"]
    assert view({}, listing(m1="i-1", m2="")).still_to_register(POOL) == ["m1", "m2"]


def test_a_list_from_before_executors_began_speaks_against_no_machine() -> None:
    """Some executors have registered since the list was read, and the others are about to."""
    found = view(lives("i-1", "i-2"), listing(m1="", m2="", m3=""))
    assert found.still_to_register(POOL) == ["m3"]


def test_what_a_former_owner_ordered_is_counted_on() -> None:
    """A machine has just come, and its executor is about to begin; called again, it is one more."""
    found = view(lives("i-1", "i-2"), listing(m1="i-1", m2="i-2", m3="", m4=""), {"m3"})
    assert found.still_to_register(POOL) == ["m3"]


def test_machines_elsewhere_and_those_that_are_not_up_are_not_counted_on() -> None:
    """Each machine counts once, and where it is."""
    listed = listing(m1="i-1", m2="i-2", m3="i-3")
    listed["m2"] = Machine("m2", "another", MachineState.UP, "i-2")
    listed["m3"] = Machine("m3", POOL, MachineState.DOWN, "i-3")
    assert view(lives("i-1"), listed).still_to_register(POOL) == []
    arriving = MachineView(lives("i-1"), listing(m1="i-1", m2="i-2"), {"m2": POOL}, set())
    assert arriving.still_to_register(POOL) == []
