"""Test that executors that fail, or do not answer, neither lose nor double tasks.

The stand-in executors record each concurrent second run of a task, each start after a confirmed end
and each overload; a test fails if they have recorded any.
"""

from __future__ import annotations

import anyio

from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step


def running(built: Cluster) -> int:
    """Return the number of runs on all executors."""
    return sum(len(executor.running) for executor in built.executors)


@with_cluster()
async def test_start_without_an_answer_is_resolved_and_not_repeated(built: Cluster) -> None:
    """An executor starts a task and its answer is lost. The owner finds the task running there."""
    member, job_id = built.members[0], built.new_id()
    for executor in built.executors:
        executor.faults.lose_answers = 1
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 2.0}))
    await until_state(member, job_id, "completed", 8)
    assert set(built.audit.started.values()) == {1}


@with_cluster(executors=1)
async def test_executor_still_gets_tasks_after_one_unanswered_order(
    built: Cluster,
) -> None:
    """One answer in fifteen may be lost. An executor that answers all other calls is healthy; if
    each lost answer blocked placement on it for a second, callers would wait under load."""
    member, executor = built.members[0], built.executors[0]
    first, second, third = built.new_id(), built.new_id(), built.new_id()
    executor.faults.lose_answers = 1
    await member.call("POST", PREFIX + first, job(spec={"seconds": 5}))
    await until(lambda: bool(executor.running))
    await member.call("POST", PREFIX + second, job())
    await until_state(member, second, "completed")
    await anyio.sleep(0.6)
    await member.call("POST", PREFIX + third, job())
    await until_state(member, third, "completed", 0.5)


@with_cluster(executors=1)
async def test_lost_report_delays_the_end_of_a_task_only_briefly(built: Cluster) -> None:
    """One report in fifteen may be lost. Until the owner detects this, ends of runs on the executor
    are unknown and its free capacity is not used, and callers wait for both."""
    member, executor, job_id = built.members[0], built.executors[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 0.4}))
    await until(lambda: len(executor.running) == 2)
    executor.faults.lose_reports = 1
    await until_state(member, job_id, "completed", 2.0)


@with_cluster()
async def test_order_carried_out_late_does_not_start_a_task_twice(built: Cluster) -> None:
    """An order gets no answer and is carried out two seconds later, when the same task could have
    been started elsewhere. The owner has to revoke it at its executor first."""
    member, job_id = built.members[0], built.new_id()
    for executor in built.executors:
        executor.faults.late_start_delay = 2.0
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 1.5}))
    await until_state(member, job_id, "completed", 10)
    await anyio.sleep(1.0)


@with_cluster()
async def test_tasks_of_a_crashed_executor_are_restarted(built: Cluster) -> None:
    """An executor crashes and restarts under the same id without any state. Its tasks are restarted
    once."""
    member, job_id = built.members[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(4), spec={"seconds": 1.0}))
    await until(lambda: running(built) == 4)
    built.restart("i-0")
    built.register("i-0")
    await until_state(member, job_id, "completed", 8)
    assert sum(built.audit.started.values()) <= 8


@with_cluster()
async def test_tasks_of_an_unresponsive_executor_wait_for_its_lease(built: Cluster) -> None:
    """An executor becomes unresponsive but keeps running. Its tasks may start elsewhere only after
    its lease has certainly expired, or they would run twice."""
    member, job_id = built.members[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 20}))
    await until(lambda: running(built) == 2)
    silent = next(host for host in built.hosts.values() if host.executor.running)
    task = next(iter(silent.executor.running))
    silent.executor.faults.unresponsive = True
    built.store.delete(f"servers/{silent.executor.name}")
    await until(lambda: built.audit.started[task] == 2, 12)


@with_cluster(members=2)
async def test_cancelled_run_on_an_unregistered_executor_does_not_block_a_new_owner(
    built: Cluster,
) -> None:
    """A job is cancelled, its executor is unregistered, and then the owner is lost. The new owner
    has to stop a run at an unknown address; all other jobs must continue."""
    owner = await built.owner()
    job_id, other_id = built.new_id(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(spec={"seconds": 30}))
    await until(lambda: running(built) == 1)
    name = next(executor.name for executor in built.executors if executor.running)
    for executor in built.executors:
        executor.faults.unresponsive = executor.name == name
    await owner.call("DELETE", PREFIX + job_id)
    built.store.delete(f"servers/{name}")
    await anyio.sleep(0.2)
    await built.kill(owner)
    survivor = built.members[0]
    await until(lambda: survivor.owns, 4)
    assert (await survivor.call("POST", PREFIX + other_id, job())).status == 200
    await until_state(survivor, other_id, "completed")


@with_cluster(executors=3)
async def test_machine_in_use_with_an_expired_registration_is_not_taken_down(
    built: Cluster,
) -> None:
    """The registrations of executors expire while the executors keep running, as after an outage of
    the store. Their machines look unused. If upkeep began on all of them, it would end all tasks of
    a step of which only one may be unavailable."""
    job_id, member = built.new_id(), built.members[0]
    long_running = step(2, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + job_id, job(long_running, spec={"seconds": 60}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)
    for name in built.hosts:
        built.store.delete(f"servers/{name}")
    machines = built.machines.machines
    built.request_wave(machines, 20, most_away=3)
    await until(lambda: any(machine.upkeeps for machine in machines.values()), 3)
    await anyio.sleep(0.7)
    used = {host.machine for host in built.hosts.values() if host.executor.running}
    assert len(used) == 2
    assert not any(machines[name].upkeeps for name in used)


@with_cluster(executors=3)
async def test_upkeep_stops_no_task_while_another_task_of_its_step_is_unreachable(
    built: Cluster,
) -> None:
    """One executor with a long-running task becomes unreachable; according to its last report the
    task runs, and its lease has not expired. Only one task of the step may be unavailable, so
    upkeep of the machine of the other task must wait; otherwise no task would do the job's work."""
    job_id, short, member = built.new_id(), built.new_id(), built.members[0]
    long_running = step(2, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + job_id, job(long_running, spec={"seconds": 60}))
    await member.call("POST", PREFIX + short, job(step(3, maxPerServer=1), spec={"seconds": 60}))
    await until(lambda: running(built) == 5)
    unreachable, other = [executor for executor in built.executors if len(executor.running) == 2]
    kept = next(name for name in other.running if name.startswith(job_id))
    unreachable.faults.unresponsive = True
    await anyio.sleep(2.0)
    built.request_wave([f"machine-of-{other.name}"], 20)
    await anyio.sleep(2.5)
    assert kept in other.running
    await until(lambda: kept not in other.running, 8)
