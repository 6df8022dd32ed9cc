"""Test that nothing is placed on a machine from the decision to move it until it has moved."""

from __future__ import annotations

from base64 import b64decode

import anyio
import orjson

from vanillawell.node import SHARD
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.scheduling_builders import ShardHarness, facts
from vanillawell.tests.scheduling_builders import job as plain_job
from vanillawell.tests.standby_pools import configure_standby

MOVE_SECONDS = 1.5
"""Seconds until an order to move a machine is carried out."""

TARGET = "target"
"""Pool that a machine moves to."""


async def announced_machine(built: Cluster) -> str:
    """Let idle machines go to standby; return the first one whose move is announced."""
    key = WorkKeys().machine_orders(SHARD)
    configure_standby(built)
    await until(lambda: key in built.store.items, 8)
    return str(next(iter(orjson.loads(b64decode(built.store.items[key].value))["machines"])))


def record_interrupted_tasks(built: Cluster) -> list[str]:
    """Return a list that receives the tasks that moves of machines end."""
    interrupted: list[str] = []

    async def moved(machine: StandInMachine) -> None:
        if not machine.executor:
            return
        executor = built.hosts[machine.executor].executor
        interrupted.extend(executor.running)
        machine.executor = ""
        executor.leave()

    built.machines.on_move, built.machines.move_seconds = moved, MOVE_SECONDS
    return interrupted


# Guards against tasks that a move ends, since its executor's entry left the registry and returned
# between the decision and the move.
@with_cluster(executors=3)
async def test_executor_that_registers_again_during_a_move_gets_no_tasks(built: Cluster) -> None:
    owner, interrupted = await built.owner(), record_interrupted_tasks(built)
    machine = await announced_machine(built)
    (name,) = [name for name, host in built.hosts.items() if host.machine == machine]
    built.store.delete(f"servers/{name}")
    await anyio.sleep(0.3)
    built.register(name)
    await anyio.sleep(0.4)
    long_running = step(3, longRunning=True, maxPerServer=1, maxUnavailable=1)
    await owner.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await until(lambda: bool(built.machines.moves))
    await anyio.sleep(0.1)
    assert interrupted == []


# Guards against leaving a machine without work that has arrived in the pool that it was moved to.
def test_only_executors_of_the_target_pool_get_tasks_on_a_machine_that_moves() -> None:
    harness = ShardHarness(facts("i-0", service=TARGET, machine="m-1"))
    ledger = harness.shard.ledger
    ledger.cordon_machine("m-1", joins=TARGET)
    former = harness.register(facts("i-1", machine="m-1"))
    assert former.cordoned
    assert not ledger.executors["i-0"].cordoned
    harness.admit(plain_job())
    assert harness.place() == []
    ledger.uncordon_machine("m-1")
    assert [run.executor for run in harness.place()] == ["i-1"]


LATE_MOVE_SECONDS = 3.2
"""Seconds until a move is carried out whose answer is no longer awaited by then."""


# Guards against tasks that a move ends which is carried out after its answer was given up.
@with_cluster(executors=3)
async def test_machine_gets_no_tasks_while_its_unanswered_move_may_be_carried_out(
    built: Cluster,
) -> None:
    owner, interrupted = await built.owner(), record_interrupted_tasks(built)
    built.machines.move_seconds = LATE_MOVE_SECONDS
    await announced_machine(built)
    await anyio.sleep(0.1)
    built.machines.move_seconds = 0.0
    long_running = step(3, longRunning=True, maxPerServer=1)
    await owner.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await anyio.sleep(LATE_MOVE_SECONDS + 0.3)
    assert interrupted == []
