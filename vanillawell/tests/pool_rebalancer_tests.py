"""Test with a stand-in for machines that pools get the machines that their queues need."""

from __future__ import annotations

import anyio

from vanillawell.node import SHARD
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import POOL, PREFIX, job, step
from vanillawell.tests.standby_pools import STANDBY, configure_standby, simulate_moves
from vanillawell.tests.successive_owners_tests import LONGEST_ABSENCE, stop_and_replace


@with_cluster(executors=2)
async def test_pool_without_machines_gets_spare_machine(built: Cluster) -> None:
    """All machines of a pool are lost. Machines from standby must serve its callers; if a pool
    without machines counted as having no demand, it would stay empty forever."""
    member, first, second = built.members[0], built.new_id(), built.new_id()
    simulate_moves(built)
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
async def test_executor_of_moved_machine_gets_no_tasks_while_registered(
    built: Cluster,
) -> None:
    """An unneeded machine goes to standby, and the registration of its previous executor remains
    for some seconds. If it counted as idle and healthy, it would get tasks that wait there until
    its lease has expired, and its machine would be moved repeatedly."""
    member, job_id = built.members[0], built.new_id()
    machines = built.machines.machines

    async def moved(machine: StandInMachine) -> None:
        built.hosts[machine.executor].executor.faults.unresponsive = True

    built.machines.on_move = moved
    configure_standby(built)
    await until(lambda: any(item.pool == STANDBY for item in machines.values()), 8)
    (moved_away,) = [item for item in machines.values() if item.pool == STANDBY]
    await anyio.sleep(2.2)
    assert built.machines.moves == [(moved_away.name, STANDBY)]
    await member.call("POST", PREFIX + job_id, job(step(12)))
    await until_state(member, job_id, "completed", 3)


@with_cluster(executors=2)
async def test_arrived_machine_is_used_while_store_sends_no_events(built: Cluster) -> None:
    """During a peak the store sends no change events. If the owner relied on them, a machine that
    arrives would stay idle until the store sends events again, and callers would wait for as
    long."""
    member, first = built.members[0], built.new_id()
    simulate_moves(built)
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
async def test_unreachable_machines_are_replaced(built: Cluster) -> None:
    """The network path to one of a pool's two machines is cut while tasks run there. If the
    registered machine counted as available, the pool would have half its capacity for seconds."""
    member, job_id = built.members[0], built.new_id()
    simulate_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await member.call("POST", PREFIX + job_id, job(step(10), spec={"seconds": 3}))
    await until(lambda: all(host.executor.running for host in built.hosts.values()))
    built.executors[0].faults.unresponsive = True
    await until(lambda: built.machines.machines["spare-1"].pool == POOL, 2.5)


@with_cluster(executors=2)
async def test_machine_orders_are_sent_concurrently(
    built: Cluster,
) -> None:
    """A peak needs twenty machines, and each order takes 0.15 s to be answered. If orders were sent
    one by one, the last machine would be requested when the peak is nearly over."""
    member, job_id, requested = built.members[0], built.new_id(), 20
    built.machines.move_seconds = 0.15
    for number in range(requested):
        name = f"spare-{number}"
        built.machines.machines[name] = StandInMachine(name, STANDBY, "")
    configure_standby(built)
    await anyio.sleep(0.3)
    peak = step(200, estimateMs=1_000)
    await member.call("POST", PREFIX + job_id, job(peak, spec={"seconds": 0.8}))
    await until(lambda: sum(pool == POOL for _, pool in built.machines.moves) == requested, 1.5)


@with_cluster(executors=2)
async def test_machine_listed_as_moving_to_standby_is_found_once_it_arrives(
    built: Cluster,
) -> None:
    """The list showed a machine on its way to standby, which it has reached by the next peak. If it
    counted as absent until the next regular read of the list, dozens of machines would stay idle
    for five seconds while callers wait for capacity."""
    member, job_id = built.members[0], built.new_id()
    spare = StandInMachine("spare-1", STANDBY, "", state="moving")
    built.machines.machines["spare-1"] = spare
    configure_standby(built)
    await anyio.sleep(0.5)
    spare.state = "up"
    await member.call("POST", PREFIX + job_id, job(step(60), spec={"seconds": 0.8}))
    await until(lambda: spare.pool == POOL, 1.5)


async def _request_one_machine(built: Cluster) -> list[tuple[str, str]]:
    """Let a pool lack one machine; return once one of three spare machines has started an endless
    move."""
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
async def test_moving_machine_is_not_ordered_again_by_next_owner(
    built: Cluster,
) -> None:
    """A pool lacks one machine, which is moving when the owner is stopped. If the next owner did
    not expect it, each owner would take another machine from pools that need it."""
    ordered = await _request_one_machine(built)
    await stop_and_replace(built, await built.owner())
    await built.owner()
    await anyio.sleep(1.2)
    assert built.machines.moves == ordered


@with_cluster(executors=2)
async def test_single_owner_orders_machine_once(built: Cluster) -> None:
    """Without a change of owner one machine is ordered."""
    ordered = await _request_one_machine(built)
    await anyio.sleep(1.2)
    assert len(ordered) == 1
    assert built.machines.moves == ordered


async def _leave_machine_empty(built: Cluster) -> str:
    """Let an executor with a long-running task leave for good while its machine stays up; return
    the task's name."""
    host = built.hosts["i-0"]
    (task,) = host.executor.running
    built.leave("i-0")
    built.machines.machines[host.machine].executor = ""
    return task


async def _fill_pool_with_long_running_tasks(built: Cluster) -> None:
    """Let each machine of a pool run a long-running task, with a spare machine on standby."""
    owner, long_running = await built.owner(), step(2, longRunning=True, maxPerServer=1)
    simulate_moves(built)
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    await owner.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)


@with_cluster(members=2, executors=2)
async def test_successive_owners_replace_machine_that_stays_empty(built: Cluster) -> None:
    """A new owner counts machines that are up as capacity for three seconds although no executor on
    them has registered. Owners replaced before that would never request the spare machine."""
    await _fill_pool_with_long_running_tasks(built)
    await stop_and_replace(built, await built.owner())
    await built.owner()
    await anyio.sleep(0.3)
    task = await _leave_machine_empty(built)
    async with anyio.create_task_group() as owner_changes:
        owner_changes.start_soon(_stop_successive_owners, built)
        await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)
        owner_changes.cancel_scope.cancel()


async def _stop_successive_owners(built: Cluster) -> None:
    """Stop each owner as planned after a short term."""
    while True:
        await anyio.sleep(1.6)
        await stop_and_replace(built, await built.owner())
        await built.owner()


@with_cluster(executors=2)
async def test_single_owner_replaces_machine_that_stays_empty(built: Cluster) -> None:
    """Without a change of owner the spare machine arrives, and the long-running task runs again."""
    await _fill_pool_with_long_running_tasks(built)
    task = await _leave_machine_empty(built)
    await until(lambda: built.audit.started[task] == 2, LONGEST_ABSENCE)


async def _replace_owner_before_executor_registers(built: Cluster) -> None:
    """Stop the owner while one of two executors is not registered, and register it afterwards."""
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    built.store.delete("servers/i-0")
    await stop_and_replace(built, await built.owner())
    await built.owner()
    await anyio.sleep(1.5)
    built.register("i-0")


@with_cluster(members=2, executors=2)
async def test_registrations_expired_with_store_cause_no_moves(built: Cluster) -> None:
    """Registrations return one by one once the store does. If executors that have not registered
    yet counted as lost, machines would be moved for nothing after each outage."""
    await _replace_owner_before_executor_registers(built)
    await anyio.sleep(2.5)
    assert built.machines.moves == []


@with_cluster(members=2, executors=2)
async def test_cold_start_causes_no_moves(built: Cluster) -> None:
    """Executors register one by one, and the list names none of them yet. If those still to come
    counted as lost, each start would cause unnecessary moves."""
    for machine in built.machines.machines.values():
        machine.executor = ""
    await _replace_owner_before_executor_registers(built)
    await anyio.sleep(2.5)
    assert built.machines.moves == []


@with_cluster(members=2, executors=3)
async def test_no_task_is_placed_on_machine_with_pending_order_of_previous_owner(
    built: Cluster,
) -> None:
    """An owner orders an unneeded machine to standby and is stopped while the order is in transit.
    Its successor sees a healthy, idle executor there; a task placed on it would end with the
    move."""
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
    await stop_and_replace(built, owner)
    successor = await built.owner()
    long_running = step(3, longRunning=True, maxPerServer=1)
    await successor.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await until(lambda: bool(built.machines.moves))
    await anyio.sleep(0.1)
    assert moved_with == []


async def _replace_owner_after_announcement(built: Cluster, pool: str) -> None:
    """Replace an owner that announced an order for the machine of `i-0` to move to a pool and was
    stopped before sending it; once its successor has contacted both executors, submit a
    long-running task for each."""
    built.machines.machines["spare-1"] = StandInMachine("spare-1", STANDBY, "")
    configure_standby(built)
    document = {
        "machines": {built.hosts["i-0"].machine: 0.0},
        "pools": {built.hosts["i-0"].machine: pool},
        "clocks": {},
        "freshness": 1.0,
    }
    built.store.put_document(WorkKeys().machine_orders(SHARD), document)
    await stop_and_replace(built, await built.owner())
    successor, long_running = await built.owner(), step(2, longRunning=True, maxPerServer=1)
    await anyio.sleep(0.3)
    await successor.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await until(lambda: bool(built.hosts["i-1"].executor.running))


@with_cluster(members=2, executors=2)
async def test_machine_is_used_again_if_announced_order_was_never_sent(built: Cluster) -> None:
    """An owner is stopped before it sends an announced order, so the machine stays where it is. If
    it were excluded for good, or its capacity counted as lost, its pool would shrink."""
    await _replace_owner_after_announcement(built, STANDBY)
    await anyio.sleep(0.3)
    assert not built.hosts["i-0"].executor.running
    await until(lambda: bool(built.hosts["i-0"].executor.running), 3.0)
    assert built.machines.moves == []


@with_cluster(members=2, executors=2)
async def test_machine_moved_by_previous_owner_is_used_at_once(built: Cluster) -> None:
    """During a peak a machine arrives in the pool that a previous owner sent it to. If it were
    excluded until the order can no longer take effect, each change of owner would cost the pool
    seconds."""
    await _replace_owner_after_announcement(built, POOL)
    await until(lambda: bool(built.hosts["i-0"].executor.running), 1.0)
