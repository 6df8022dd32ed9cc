"""Test which machines a new owner expects before their executors register, on plain data."""

from __future__ import annotations

import pytest

from vanillawell.coordination.pool_demand import DemandMeter, MachineSnapshot
from vanillawell.protocol.machine_calls import Machine, MachineState
from vanillawell.state.executors import Executor
from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits, Service
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, policy, step

POOL = facts("any").service

AFTER_ARRIVALS = 2.0
"""Seconds after which a job no longer counts as arriving work."""


def listing(**executors: str) -> dict[str, Machine]:
    """Return a list of machines that are up, each with its executor, or "" for none."""
    return {
        name: Machine(name, POOL, MachineState.UP, executor or None)
        for name, executor in executors.items()
    }


def registered_executors(*names: str) -> dict[str, Executor]:
    """Return registered executors that answer, by machine; `i-1` runs on `m1`."""
    harness = ShardHarness(*(facts(name, machine=name.replace("i-", "m")) for name in names))
    return harness.shard.ledger.by_machine()


def snapshot(
    registered: dict[str, Executor], listed: dict[str, Machine], ordered: set[str] | None = None
) -> MachineSnapshot:
    """Return the snapshot of an owner that has ordered no moves itself."""
    return MachineSnapshot(registered, listed, {}, ordered or set())


def test_machine_without_executor_is_not_expected() -> None:
    """Its executor has left for good; if it counted as capacity, a spare machine would stay on
    standby."""
    found = snapshot(registered_executors("i-1", "i-2"), listing(m1="i-1", m2="i-2", m3=""))
    assert found.awaiting_registration(POOL) == []


def test_executor_with_expired_registration_is_expected() -> None:
    """Registrations return within two seconds of the store; machines moved before that are
    unnecessary."""
    found = snapshot(registered_executors("i-1"), listing(m1="i-1", m2="i-2", m3="i-3"))
    assert found.awaiting_registration(POOL) == ["m2", "m3"]


def test_all_machines_are_expected_after_cold_start() -> None:
    """No executor has registered and the list names none yet, but the pool is not lost."""
    assert snapshot({}, listing(m1="", m2="")).awaiting_registration(POOL) == ["m1", "m2"]
    assert snapshot({}, listing(m1="i-1", m2="")).awaiting_registration(POOL) == ["m1", "m2"]


def test_list_older_than_executors_excludes_no_machine() -> None:
    """Some executors have registered since the list was read, and the others are about to."""
    found = snapshot(registered_executors("i-1", "i-2"), listing(m1="", m2="", m3=""))
    assert found.awaiting_registration(POOL) == ["m3"]


def test_machine_ordered_by_previous_owner_is_expected() -> None:
    """The machine has just arrived and its executor is about to start; ordering another one for it
    would be one too many."""
    found = snapshot(
        registered_executors("i-1", "i-2"), listing(m1="i-1", m2="i-2", m3="", m4=""), {"m3"}
    )
    assert found.awaiting_registration(POOL) == ["m3"]


def test_machines_of_other_pools_or_not_up_are_not_expected() -> None:
    """Each machine counts once, in the pool where it is."""
    listed = listing(m1="i-1", m2="i-2", m3="i-3")
    listed["m2"] = Machine("m2", "another", MachineState.UP, "i-2")
    listed["m3"] = Machine("m3", POOL, MachineState.DOWN, "i-3")
    assert snapshot(registered_executors("i-1"), listed).awaiting_registration(POOL) == []
    arriving = MachineSnapshot(
        registered_executors("i-1"), listing(m1="i-1", m2="i-2"), {"m2": POOL}, set()
    )
    assert arriving.awaiting_registration(POOL) == []


def test_pool_without_queues_has_a_demand_while_accepted_jobs_wait_for_it() -> None:
    """A configuration drops the last queue of a pool that has no machine at the moment. If nobody
    called one from standby, an accepted job of that queue would never begin."""
    harness = ShardHarness(facts("i-1", service="other"))
    harness.admit(job())
    services = {name: Service(name, False, name == "standby") for name in (POOL, "standby")}
    newer = policy(version=2, queues={}, services=services)
    harness.shard.apply_policy(newer)
    harness.place()
    meter = DemandMeter(harness.shard, harness.now)
    empty = MachineSnapshot(harness.shard.ledger.by_machine(), {}, {}, set())
    (demand,) = meter.measure(newer, "standby", empty, 1, harness.now)
    assert (demand.service, demand.machines) == (POOL, 0)
    assert demand.wanted > 0


# Guards against machines that are taken from other pools, and stay idle, for tasks of an
# organisation that may have no more running.
@pytest.mark.parametrize("gang", [False, True])
def test_tasks_at_their_organisation_s_maximum_need_no_machines(gang: bool) -> None:
    limits = {"north": OrganisationLimits("north", 1, Resources(cpu=2_000))}
    harness = ShardHarness(facts("i-1"), organisations=limits)
    harness.admit(job(step(2)), *(job(step(40, gang=gang, seconds=60.0)) for _ in range(5)))
    harness.place()
    meter = DemandMeter(harness.shard, harness.now)
    seen = MachineSnapshot(harness.shard.ledger.by_machine(), {}, {}, set())
    (demand,) = meter.measure(policy(), "standby", seen, 9, harness.now + AFTER_ARRIVALS)
    assert demand.wanted_cores == 2.0
