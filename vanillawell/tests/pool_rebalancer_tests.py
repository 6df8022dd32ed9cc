"""Prove with a stand-in for machines that pools get what their queues need."""

from __future__ import annotations

import anyio

from vanillawell.node import SHARD
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import (
    POOL,
    PREFIX,
    Cluster,
    job,
    step,
    until,
    until_state,
    with_cluster,
)
from vanillawell.tests.standby_pools import STANDBY, configure_standby, obey_moves
from vanillawell.tests.successive_owners_tests import LONGEST_ABSENCE, stop


@with_cluster(executors=2)
async def test_a_pool_that_has_lost_all_its_machines_gets_new_ones(built: Cluster) -> None:
    """All machines of a pool are gone for good. Its callers must be served by machines from
    standby; a pool without machines that counted as one without need would stay empty for ever."""
    member, first, second = built.members[0], built.new_id(), built.new_id()
    obey_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await member.call("POST", PREFIX + first, job())
    await until_state(member, first, "completed")
    for host in list(built.hosts.values()):
        host.executor.faults.unresponsive = True
        built.store.delete(f"servers/{host.executor.name}")
        del built.machines.machines[host.machine]
    await until(lambda: built.machines.machines["spare-1"].pool == POOL, 8)
    await member.call("POST", PREFIX + second, job(step(2)))
    await until_state(member, second, "completed", 8)


@with_cluster(executors=3)
async def test_an_executor_whose_machine_has_left_is_not_used_while_its_entry_stands(
    built: Cluster,
) -> None:
    """A machine that nobody needs goes to standby, and the entry of its former executor stands for
    some seconds more. Taken for idle and sound, it would get tasks that nobody runs, which wait
    there until its lease is surely over, and its machine would be sent away again and again."""
    member, job_id = built.members[0], built.new_id()
    machines = built.machines.machines

    async def moved(machine: StandInMachine) -> None:
        built.hosts[machine.executor].executor.faults.unresponsive = True

    built.machines.on_move = moved
    configure_standby(built)
    await until(lambda: any(item.pool == STANDBY for item in machines.values()), 8)
    (gone,) = [item for item in machines.values() if item.pool == STANDBY]
    await anyio.sleep(2.2)
    assert built.machines.moves == [(gone.name, STANDBY)]
    await member.call("POST", PREFIX + job_id, job(step(12)))
    await until_state(member, job_id, "completed", 3)


@with_cluster(executors=2)
async def test_a_machine_that_has_come_is_used_while_the_store_is_deaf(built: Cluster) -> None:
    """In the middle of a peak the store tells nobody of changes. A machine that was called comes,
    and waits idle until the store can be heard again; so do all callers of those seconds."""
    member, first = built.members[0], built.new_id()
    obey_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await anyio.sleep(0.3)
    built.store.faults.withhold_changes = True
    await member.call("POST", PREFIX + first, job(step(60), spec={"seconds": 0.8}))
    await until(lambda: any(name.startswith("moved") for name in built.hosts))
    (host,) = [host for name, host in built.hosts.items() if name.startswith("moved")]
    await until(lambda: bool(host.executor.running), 4.0)
    built.store.faults.withhold_changes = False


@with_cluster(executors=2)
async def test_machines_that_cannot_be_reached_are_replaced(built: Cluster) -> None:
    """The path to one of a pool's two machines is cut while tasks run there. Its entry stands, and
    counted as present it would leave the pool's callers with half of the room for seconds."""
    member, job_id = built.members[0], built.new_id()
    obey_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await member.call("POST", PREFIX + job_id, job(step(10), spec={"seconds": 3}))
    await until(lambda: all(host.executor.running for host in built.hosts.values()))
    built.executors[0].faults.unresponsive = True
    await until(lambda: built.machines.machines["spare-1"].pool == POOL, 2.5)


@with_cluster(executors=2)
async def test_a_peak_gets_its_machines_at_once_however_long_one_order_takes(
    built: Cluster,
) -> None:
    """A peak asks for twenty machines, and each order takes 0.15 s to be answered. Sent one after
    the other, the last machine would be called when the peak is nearly over."""
    member, job_id, called = built.members[0], built.new_id(), 20
    built.machines.move_seconds = 0.15
    for number in range(called):
        name = f"spare-{number}"
        built.machines.machines[name] = StandInMachine(name, STANDBY, "")
    configure_standby(built)
    await anyio.sleep(0.3)
    peak = step(200, estimateMs=1_000)
    await member.call("POST", PREFIX + job_id, job(peak, spec={"seconds": 0.8}))
    await until(lambda: sum(pool == POOL for _, pool in built.machines.moves) == called, 1.5)


@with_cluster(executors=2)
async def test_a_machine_that_was_listed_on_its_way_to_standby_is_found_in_a_peak(
    built: Cluster,
) -> None:
    """A machine went to standby a moment ago, and the list showed it on its way. In the next peak
    it is there. Taken for absent until the list is read again, dozens of machines would stand idle
    for five seconds while callers wait for room."""
    member, job_id = built.members[0], built.new_id()
    spare = StandInMachine("spare-1", STANDBY, "", state="moving")
    built.machines.machines["spare-1"] = spare
    configure_standby(built)
    await anyio.sleep(0.5)
    spare.state = "up"
    await member.call("POST", PREFIX + job_id, job(step(60), spec={"seconds": 0.8}))
    await until(lambda: spare.pool == POOL, 1.5)


async def _lack_one_machine(built: Cluster) -> list[tuple[str, str]]:
    """Let a pool lack one machine; returns once one of three spare ones is on its way for good."""
    owner, job_id = await built.owner(), built.new_id()
    machines = built.machines.machines

    async def moved(machine: StandInMachine) -> None:
        machine.state, machine.executor = "moving", ""

    built.machines.on_move = moved
    for number in range(3):
        machines[f"spare-{number}"] = StandInMachine(f"spare-{number}", STANDBY, "")
    configure_standby(built)
    await owner.call("POST", PREFIX + job_id, job(step(20), spec={"seconds": 30}))
    await until(lambda: bool(built.machines.moves))
    await anyio.sleep(0.3)
    return list(built.machines.moves)


@with_cluster(members=2, executors=2)
async def test_a_machine_on_its_way_is_not_ordered_again_by_the_next_owner(
    built: Cluster,
) -> None:
    """A pool lacks one machine, and one is on its way when the owner is stopped. If the next one
    does not count on it, each owner takes another machine, from pools that need them next."""
    ordered = await _lack_one_machine(built)
    await stop(built, await built.owner())
    await built.owner()
    await anyio.sleep(1.2)
    assert built.machines.moves == ordered


@with_cluster(executors=2)
async def test_a_sole_owner_counts_on_the_machine_that_it_ordered(built: Cluster) -> None:
    """Without a change of owner one machine is ordered."""
    ordered = await _lack_one_machine(built)
    await anyio.sleep(1.2)
    assert len(ordered) == 1
    assert built.machines.moves == ordered


async def _leave_a_machine_empty(built: Cluster) -> str:
    """Let an executor with a lasting task leave for good while its machine stays up, and keep a
    spare machine in standby; returns the task's name."""
    host = built.hosts["i-0"]
    (task,) = host.executor.running
    built.leave("i-0")
    built.machines.machines[host.machine].executor = ""
    return task


async def _fill_a_pool_for_good(built: Cluster) -> None:
    """Let each machine of a pool run a lasting task, with a spare one in standby."""
    owner, lasting = await built.owner(), step(2, longRunning=True, maxPerServer=1)
    obey_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await owner.call("POST", PREFIX + built.new_id(), job(lasting, spec={"seconds": 60}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)


@with_cluster(members=2, executors=2)
async def test_owners_in_series_do_not_count_on_a_machine_that_stays_empty(built: Cluster) -> None:
    """Each new owner counts machines that are up for room, though no executor of them has
    registered, for three seconds. Replaced before that, owners never call the spare machine."""
    await _fill_a_pool_for_good(built)
    await stop(built, await built.owner())
    await built.owner()
    await anyio.sleep(0.3)
    task = await _leave_a_machine_empty(built)
    async with anyio.create_task_group() as others:
        others.start_soon(_stop_in_turn, built)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
        others.cancel_scope.cancel()


async def _stop_in_turn(built: Cluster) -> None:
    """Stop each owner as planned after a short term."""
    while True:
        await anyio.sleep(1.6)
        await stop(built, await built.owner())
        await built.owner()


@with_cluster(executors=2)
async def test_a_sole_owner_calls_a_machine_for_one_that_stays_empty(built: Cluster) -> None:
    """Without a change of owner the spare machine comes, and the lasting task runs again."""
    await _fill_a_pool_for_good(built)
    task = await _leave_a_machine_empty(built)
    await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


async def _replace_an_owner_before_an_executor_registers(built: Cluster) -> None:
    """Stop the owner while the entry of one of two executors is not there, and write it after."""
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    built.store.delete("servers/i-0")
    await stop(built, await built.owner())
    await built.owner()
    await anyio.sleep(1.5)
    built.register("i-0")


@with_cluster(members=2, executors=2)
async def test_entries_that_lapsed_with_the_store_cause_no_moves(built: Cluster) -> None:
    """Entries come back one after the other once the store does. If executors whose entry is not
    yet back count as lost, a fleet is moved for nothing after each outage."""
    await _replace_an_owner_before_an_executor_registers(built)
    await anyio.sleep(2.5)
    assert built.machines.moves == []


@with_cluster(members=2, executors=2)
async def test_the_start_of_a_whole_system_causes_no_moves(built: Cluster) -> None:
    """Executors register one after the other, and the list names none of them yet. If those that
    are yet to come count as lost, needless moves begin with each start."""
    for machine in built.machines.machines.values():
        machine.executor = ""
    await _replace_an_owner_before_an_executor_registers(built)
    await anyio.sleep(2.5)
    assert built.machines.moves == []


@with_cluster(members=2, executors=3)
async def test_nothing_is_placed_on_a_machine_that_a_former_owner_sends_away(
    built: Cluster,
) -> None:
    """An owner orders a machine that nobody needs to standby, and is stopped while the order is on
    its way. Its successor sees a sound, idle executor there; what it starts ends with the move."""
    owner, moved_with = await built.owner(), list[str]()

    async def moved(machine: StandInMachine) -> None:
        executor = built.hosts[machine.executor].executor
        moved_with.extend(executor.running)
        machine.executor = ""
        executor.leave()

    built.machines.on_move, built.machines.move_seconds = moved, 0.6
    configure_standby(built)
    await until(lambda: WorkKeys().machine_orders(SHARD) in built.store.items, 8)
    await anyio.sleep(0.05)
    await stop(built, owner)
    successor = await built.owner()
    lasting = step(3, longRunning=True, maxPerServer=1)
    await successor.call("POST", PREFIX + built.new_id(), job(lasting, spec={"seconds": 60}))
    await until(lambda: bool(built.machines.moves))
    await anyio.sleep(0.1)
    assert moved_with == []


async def _succeed_after_an_announcement(built: Cluster, pool: str) -> None:
    """Replace an owner that had announced an order for the machine of `i-0` to go to a pool, and
    was stopped before it was sent; once its successor has heard of both executors, hand in a
    lasting task for each."""
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    document = {
        "machines": {built.hosts["i-0"].machine: 0.0},
        "pools": {built.hosts["i-0"].machine: pool},
        "clocks": {},
        "freshness": 1.0,
    }
    built.store.put_document(WorkKeys().machine_orders(SHARD), document)
    await stop(built, await built.owner())
    successor, lasting = await built.owner(), step(2, longRunning=True, maxPerServer=1)
    await anyio.sleep(0.3)
    await successor.call("POST", PREFIX + built.new_id(), job(lasting, spec={"seconds": 60}))
    await until(lambda: bool(built.hosts["i-1"].executor.running))


@with_cluster(members=2, executors=2)
async def test_a_machine_whose_order_never_went_out_is_used_again(built: Cluster) -> None:
    """An owner is stopped before it sends an order that it announced. The machine stays where it
    is; if it were kept from work for good, or its room counted as lost, its pool would shrink."""
    await _succeed_after_an_announcement(built, STANDBY)
    await anyio.sleep(0.3)
    assert not built.hosts["i-0"].executor.running
    await until(lambda: bool(built.hosts["i-0"].executor.running), 3.0)
    assert built.machines.moves == []


@with_cluster(members=2, executors=2)
async def test_a_machine_that_has_come_by_a_former_order_is_used_at_once(built: Cluster) -> None:
    """A machine arrives in the pool that a former owner sent it to, in the middle of a peak. Kept
    from work until no order can come, each change of owner would cost the pool seconds."""
    await _succeed_after_an_announcement(built, POOL)
    await until(lambda: bool(built.hosts["i-0"].executor.running), 1.0)
