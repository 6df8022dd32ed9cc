"""Prove that jobs survive the loss of whatever carries them, and that nothing runs twice.

The stand-in executors note every second run of a task, every start after a confirmed end, and every
overload; each test fails if they noted any.
"""

from __future__ import annotations

import anyio

from vanillawell.coordination.holder_watch import HOLDER_WAIT
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.tests.scheduler_cluster import (
    PREFIX,
    Cluster,
    job,
    step,
    until,
    until_state,
    with_cluster,
)


def running(built: Cluster) -> int:
    """Return the number of runs on all executors."""
    return sum(len(executor.running) for executor in built.executors)


@with_cluster(members=3)
async def test_running_work_outlives_its_owner(built: Cluster) -> None:
    """The owner of the shard is killed while tasks run. Callers notice nothing: what ran goes on,
    what was waiting is started by another entry within 2.5 seconds."""
    owner = await built.owner()
    job_id, waiting = built.new_id(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job(step(4), spec={"seconds": 2.5}))
    await until(lambda: running(built) == 4)
    await built.kill(owner)
    survivor = built.members[0]
    assert (await survivor.call("POST", PREFIX + waiting, job())).status == 200
    await until(lambda: f"{waiting}.0.0.0" in built.audit.started, 2.5)
    await until_state(survivor, job_id, "completed")
    assert [built.audit.started[f"{job_id}.0.0.{index}"] for index in range(4)] == [1] * 4


@with_cluster(members=2)
async def test_an_owner_that_loses_only_the_store_is_replaced(built: Cluster) -> None:
    """The store turns just the owner away. Another entry takes over; the former owner finds out at
    an executor or at the store, and gives nothing a second start."""
    owner = await built.owner()
    job_id = built.new_id()
    other = next(member for member in built.members if member is not owner)
    await other.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 3}))
    await until(lambda: running(built) == 2)
    owner.store.cut = True
    await until(lambda: other.owns, 4)
    second = built.new_id()
    assert (await other.call("POST", PREFIX + second, job())).status == 200
    await until_state(other, second, "completed")
    owner.store.cut = False
    await until_state(other, job_id, "completed")
    await until(lambda: [member.owns for member in built.members].count(True) == 1)
    await built.kill(other)
    await until(lambda: owner.owns, 4)


@with_cluster(members=2)
async def test_an_owner_that_is_lost_while_the_store_is_deaf_is_replaced(built: Cluster) -> None:
    """The owner is killed, and its lease ends while the store tells of no change. Another entry
    owns the shard soon after the store can be heard again, or all jobs would wait for good."""
    owner = await built.owner()
    survivor = next(member for member in built.members if member is not owner)
    built.store.faults.withhold_changes = True
    await built.kill(owner)
    await until(lambda: WorkKeys().holder("all") not in built.store.items, 3)
    await anyio.sleep(2 * HOLDER_WAIT)
    built.store.faults.withhold_changes = False
    await until(lambda: survivor.owns, 2.5)


@with_cluster(members=2)
async def test_a_planned_stop_hands_the_shard_over_at_once(built: Cluster) -> None:
    """The owner is asked to stop. Another entry owns the shard well before the lease would end."""
    owner = await built.owner()
    other = next(member for member in built.members if member is not owner)
    await owner.node.hand_over()
    await until(lambda: other.owns, 0.8)
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(other, job_id, "completed")


@with_cluster(members=3)
async def test_an_entry_that_is_stopping_takes_nothing_over(built: Cluster) -> None:
    """All entries are restarted one after the other. The owner is lost while another entry is
    already stopping; if that one took the shard, it would be without an owner again in a moment."""
    owner = await built.owner()
    stopping, other = (member for member in built.members if member is not owner)
    await stopping.node.hand_over()
    await built.kill(owner)
    await until(lambda: other.owns, 4)
    assert not stopping.owns


@with_cluster()
async def test_a_lost_answer_never_makes_a_refusal_of_a_stored_job(built: Cluster) -> None:
    """The store takes a job in and its answer is lost. The caller must not hear that the job was
    refused: it would hand the work in elsewhere while it runs here."""
    member, job_id = built.members[0], built.new_id()
    built.store.faults.write_filter = lambda body: "inbox/job" in body
    built.store.faults.lose_answers = 1
    reply = await member.call("POST", PREFIX + job_id, job(), wait_ms=4000)
    assert reply.status == 200
    await until_state(member, job_id, "completed")


@with_cluster()
async def test_an_unknown_acceptance_is_told_as_unknown(built: Cluster) -> None:
    """The write of a job gets no answer until the caller's time is over, and takes effect later.
    The caller is told that nothing is known, and its next try finds the one job."""
    member, job_id = built.members[0], built.new_id()
    built.store.faults.write_filter = lambda body: "inbox/job" in body
    built.store.faults.late_writes = 1
    reply = await member.call("POST", PREFIX + job_id, job(), wait_ms=900)
    assert reply.status == 504
    await anyio.sleep(0.8)
    assert (await member.call("POST", PREFIX + job_id, job())).status == 200
    await until_state(member, job_id, "completed")
    assert sum(built.audit.started.values()) == 1


@with_cluster()
async def test_lost_answers_of_the_owners_writes_lose_and_repeat_nothing(built: Cluster) -> None:
    """Answers of the owner's own writes are lost, some of which take effect only later, after
    newer ones were tried. Callers only wait longer."""
    member = built.members[0]
    ids = [built.new_id() for _ in range(6)]
    built.store.faults.write_filter = lambda body: "vanillawell/record" in body
    for number, job_id in enumerate(ids):
        built.store.faults.lose_answers = number % 2
        built.store.faults.late_writes = (number + 1) % 2
        await member.call("POST", PREFIX + job_id, job(step(2), step(1, after=[0])))
        await anyio.sleep(0.1)
    for job_id in ids:
        await until_state(member, job_id, "completed", 20)
    assert set(built.audit.started.values()) == {1}


@with_cluster()
async def test_jobs_are_refused_as_not_run_while_the_store_is_away(built: Cluster) -> None:
    """The store refuses all calls. Callers hear at once that their job was not taken and when to
    come back; work that runs goes on and is shown as completed afterwards."""
    member, job_id, refused = built.members[0], built.new_id(), built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 1.0}))
    await until(lambda: running(built) == 2)
    built.store.faults.refuse = True
    reply = await member.call("POST", PREFIX + refused, job())
    assert reply.status == 503
    assert int(reply.headers["retry-after"]) >= 1
    await anyio.sleep(1.5)
    built.store.faults.refuse = False
    await until_state(member, job_id, "completed")
    assert await member.state(refused) == "status 410"
    assert set(built.audit.started.values()) == {1}


@with_cluster()
async def test_ends_are_confirmed_only_once_they_are_stored(built: Cluster) -> None:
    """A task ends while the store is away, and the owner is killed before it can store that. Its
    successor must hear of the end from the executor, or the work would be done again."""
    owner = await built.owner()
    job_id = built.new_id()
    await owner.call("POST", PREFIX + job_id, job(spec={"seconds": 0.4}))
    await until(lambda: running(built) == 1)
    built.store.faults.refuse = True
    await until(lambda: running(built) == 0)
    await anyio.sleep(0.3)
    assert not built.audit.done
    await built.kill(owner)
    built.store.faults.refuse = False
    successor = built.add_member("entry-9")
    await built.owner()
    await until_state(successor, job_id, "completed")
    assert set(built.audit.started.values()) == {1}


@with_cluster()
async def test_a_start_without_an_answer_is_settled_and_not_repeated(built: Cluster) -> None:
    """An executor starts a task and its answer is lost. The task is found running there."""
    member, job_id = built.members[0], built.new_id()
    for executor in built.executors:
        executor.faults.lose_answers = 1
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 2.0}))
    await until_state(member, job_id, "completed", 8)
    assert set(built.audit.started.values()) == {1}


@with_cluster(executors=1)
async def test_an_executor_that_left_one_order_unanswered_goes_on_getting_work(
    built: Cluster,
) -> None:
    """One answer in fifteen is lost on a bad day. An executor that answers all others is sound; if
    each lost answer kept new work away from it for a second, the callers of a peak would wait."""
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
async def test_a_lost_report_hides_the_end_of_a_task_for_a_moment_only(built: Cluster) -> None:
    """One report in fifteen is lost on a bad day. Until that is noticed, the executor's ends are
    not seen, its room is not used, and everybody waits who needs either."""
    member, executor, job_id = built.members[0], built.executors[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 0.4}))
    await until(lambda: len(executor.running) == 2)
    executor.faults.lose_reports = 1
    await until_state(member, job_id, "completed", 2.0)


@with_cluster()
async def test_an_order_that_is_carried_out_late_starts_nothing_twice(built: Cluster) -> None:
    """An order gets no answer and is carried out two seconds later, after the same task might have
    been started elsewhere. It is ruled out at its executor first."""
    member, job_id = built.members[0], built.new_id()
    for executor in built.executors:
        executor.faults.late_start_delay = 2.0
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 1.5}))
    await until_state(member, job_id, "completed", 10)
    await anyio.sleep(1.0)


@with_cluster()
async def test_work_of_a_crashed_executor_starts_again(built: Cluster) -> None:
    """An executor crashes and starts again under its id. It knows nothing of before; what it ran
    is started again, once."""
    member, job_id = built.members[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(4), spec={"seconds": 1.0}))
    await until(lambda: running(built) == 4)
    built.restart("i-0")
    built.register("i-0")
    await until_state(member, job_id, "completed", 8)
    assert sum(built.audit.started.values()) <= 8


@with_cluster()
async def test_work_of_a_silent_executor_waits_for_its_lease(built: Cluster) -> None:
    """An executor falls silent and runs on. Its tasks start elsewhere only when its lease has
    surely ended, or they would run twice."""
    member, job_id = built.members[0], built.new_id()
    await member.call("POST", PREFIX + job_id, job(step(2), spec={"seconds": 20}))
    await until(lambda: running(built) == 2)
    silent = next(host for host in built.hosts.values() if host.executor.running)
    task = next(iter(silent.executor.running))
    silent.executor.faults.unresponsive = True
    built.store.delete(f"servers/{silent.executor.name}")
    await until(lambda: built.audit.started[task] == 2, 12)


@with_cluster(members=2)
async def test_a_forgotten_history_loses_no_news(built: Cluster) -> None:
    """The store drops its history while entries follow it. They list anew and miss nothing."""
    member = built.members[0]
    ids = [built.new_id() for _ in range(4)]
    for job_id in ids:
        built.store.compact_history()
        await member.call("POST", PREFIX + job_id, job())
    for job_id in ids:
        await until_state(member, job_id, "completed")


@with_cluster()
async def test_a_store_that_is_deaf_for_a_while_delays_no_job(built: Cluster) -> None:
    """The store tells of no change for some seconds. Jobs start all the same, well before it
    tells again, and a job that is cancelled meanwhile is stopped."""
    member, first, second = built.members[0], built.new_id(), built.new_id()
    built.store.faults.withhold_changes = True
    await anyio.sleep(0.3)
    await member.call("POST", PREFIX + first, job())
    await until(lambda: bool(built.audit.started), 1.0)
    await member.call("POST", PREFIX + second, job(spec={"seconds": 30}))
    await member.call("DELETE", PREFIX + second)
    await until_state(member, second, "cancelled")
    await until(lambda: running(built) == 0)
    built.store.faults.withhold_changes = False


@with_cluster(members=2)
async def test_everything_restarts_with_all_accepted_jobs(built: Cluster) -> None:
    """All entries lose power right after a job was accepted. It is completed by those that start
    after them."""
    job_id = built.new_id()
    await built.members[0].call("POST", PREFIX + job_id, job(step(2)))
    for member in list(built.members):
        await built.kill(member)
    again = built.add_member("entry-0")
    await built.owner()
    await until_state(again, job_id, "completed")
    assert set(built.audit.started.values()) == {1}


@with_cluster(members=2)
async def test_a_cancelled_run_on_a_vanished_executor_does_not_stop_its_new_owner(
    built: Cluster,
) -> None:
    """A job is cancelled, its executor leaves the registry, and then the owner is lost. Its
    successor has a run to stop at an address that nobody knows; all other work must go on."""
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
async def test_a_machine_whose_entry_has_lapsed_is_not_taken_down_in_use(built: Cluster) -> None:
    """The entries of executors lapse while the executors live and work on, as after an outage of
    the store. Their machines look unused; taken down for upkeep together, they would end all tasks
    of a step of which one may be away."""
    job_id, member = built.new_id(), built.members[0]
    lasting = step(2, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + job_id, job(lasting, spec={"seconds": 60}))
    await until(lambda: sum(len(executor.running) for executor in built.executors) == 2)
    for name in built.hosts:
        built.store.delete(f"servers/{name}")
    machines = built.machines.machines
    wave = {"wave": 1, "machines": list(machines), "durationS": 20, "maximum": 3}
    built.store.put_document("op/wave/1", wave)
    await until(lambda: any(machine.upkeeps for machine in machines.values()), 3)
    await anyio.sleep(0.7)
    used = {host.machine for host in built.hosts.values() if host.executor.running}
    assert len(used) == 2
    assert not any(machines[name].upkeeps for name in used)


@with_cluster()
async def test_damaged_progress_of_a_wave_stops_no_job(built: Cluster) -> None:
    """What an owner stored of a wave is damaged. Whoever reads it next must go on with all jobs; an
    owner that failed on it would hand the same failure to the next one."""
    member, job_id = built.members[0], built.new_id()
    built.store.put("vanillawell/wave/1", "e30=")
    wave = {"wave": 1, "machines": list(built.machines.machines), "durationS": 20, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    await until(lambda: any(item.upkeeps for item in built.machines.machines.values()), 4)
    await member.call("POST", PREFIX + job_id, job())
    await until_state(member, job_id, "completed")
    assert member.owns


@with_cluster(executors=3)
async def test_upkeep_takes_no_task_away_while_another_of_its_step_is_out_of_reach(
    built: Cluster,
) -> None:
    """One executor goes dark, and its lasting task with it; the owner's last word of it says that
    it works. Its lease has seconds to go. Upkeep of the machine of the step's other task, of which
    one may be away, must wait: stopped now, nobody would do the job's work."""
    job_id, short, member = built.new_id(), built.new_id(), built.members[0]
    lasting = step(2, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + job_id, job(lasting, spec={"seconds": 60}))
    await member.call("POST", PREFIX + short, job(step(3, maxPerServer=1), spec={"seconds": 60}))
    await until(lambda: running(built) == 5)
    dark, other = [executor for executor in built.executors if len(executor.running) == 2]
    kept = next(name for name in other.running if name.startswith(job_id))
    dark.faults.unresponsive = True
    await anyio.sleep(2.0)
    wave = {"wave": 1, "machines": [f"machine-of-{other.name}"], "durationS": 20, "maximum": 1}
    built.store.put_document("op/wave/1", wave)
    await anyio.sleep(2.5)
    assert kept in other.running
    await until(lambda: kept not in other.running, 8)
