"""Test the planning of upkeep waves on plain data."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.state.availability import (
    mark_runs_away,
    may_interrupt,
    may_interrupt_all,
    unmark_runs_away,
)
from vanillawell.state.upkeep import (
    UNKNOWN_INCARNATION,
    Wave,
    WaveProgress,
    incarnation_id,
    machines_to_close,
    may_begin_upkeep,
    runs_to_move,
)
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.progress import Run


def _progress(*machines: str, most_away: int = 1) -> WaveProgress:
    return WaveProgress(Wave(1, machines, 20.0, most_away), first_seen=0.0)


def _can_always_place(run: Run) -> bool:
    return True


def test_a_machine_that_was_being_moved_before_the_order_is_not_back() -> None:
    """A machine is being moved when its upkeep is ordered, and its new executor registers a moment
    later. Taken for the end of the upkeep, this would let one machine too many be taken down."""
    progress = _progress("m-1")
    progress.away["m-1"], progress.ordered["m-1"] = UNKNOWN_INCARNATION, 10.0
    progress.release_returned({"m-1": "i-1@5"}, {"m-1"}, listed_at=9.8)
    assert progress.away
    progress.release_returned({"m-1": "i-1@5"}, set(), listed_at=10.5)
    assert progress.away
    progress.release_returned({"m-1": "i-2@9"}, {"m-1"}, listed_at=12.5)
    assert not progress.away


def test_a_machine_whose_old_executor_is_still_listed_is_not_back() -> None:
    progress = _progress("m-1")
    progress.away["m-1"], progress.ordered["m-1"] = "i-1@5", 10.0
    progress.release_returned({"m-1": "i-1@5"}, {"m-1"}, listed_at=12.0)
    assert progress.away
    progress.release_returned({"m-1": "i-2@9"}, {"m-1"}, listed_at=12.5)
    assert not progress.away


def test_a_machine_moved_to_standby_after_its_upkeep_is_back() -> None:
    """A machine is moved to standby right after its upkeep, where it runs no executor. If a new
    executor were required, it would keep its place and the wave would never end."""
    progress = _progress("m-1", "m-2")
    for name in progress.wave.machines:
        progress.away[name], progress.ordered[name] = "i-1@5", 10.0
    progress.confirmed.add("m-1")
    progress.release_returned({}, {"m-1", "m-2"}, listed_at=9.9)
    progress.release_returned({}, {"m-1", "m-2"}, listed_at=10.5)
    progress.release_returned({}, {"m-2"}, listed_at=12.5)
    assert progress.away.keys() == {"m-1", "m-2"}
    progress.release_returned({}, {"m-1", "m-2"}, listed_at=12.5)
    assert progress.away.keys() == {"m-2"}, "the order for m-2 may still be carried out"


def test_idle_machines_come_first_and_one_of_each_service_at_a_time() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"), facts("i-2", service="other"))
    harness.admit(job(step(1)))
    harness.place()
    machines = harness.shard.ledger.by_machine()
    chosen = machines_to_close(_progress(*machines, most_away=3), machines, 0.0)
    assert len(chosen) == 2
    idle = next(name for name in ("m-i-0", "m-i-1") if not machines[name].runs)
    assert set(chosen) == {idle, "m-i-2"}


def test_a_large_pool_has_more_machines_emptied_at_a_time() -> None:
    """A wave includes 30 of 60 machines of a pool. Emptying takes two seconds or more for each, so
    one after the other most of them would be late."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(60)))
    machines = harness.shard.ledger.by_machine()
    progress = _progress(*list(machines)[:30], most_away=20)
    progress.closed = dict.fromkeys(machines_to_close(progress, machines, 0.0), 0.0)
    assert len(progress.closed) == 6
    assert machines_to_close(progress, machines, 0.0) == []
    progress.closed.popitem()
    assert len(machines_to_close(progress, machines, 0.0)) == 1


def test_machines_with_long_running_tasks_are_emptied_from_the_start() -> None:
    """Long-running tasks are moved one after the other, so the machines that hold them take
    longest. Left for the end of a wave, they are late if an owner is lost or the store is down."""
    harness = ShardHarness(facts("i-0"), facts("i-1"), facts("i-2"))
    harness.admit(job(step(1, long_running=True)))
    (run,) = harness.place()
    machines = harness.shard.ledger.by_machine()
    chosen = machines_to_close(_progress(*machines, most_away=3), machines, now=0.0)
    assert len(chosen) == 2
    assert f"m-{run.executor}" in chosen


def test_more_machines_with_long_running_tasks_are_emptied_at_a_time() -> None:
    """Twenty machines hold tasks of four steps, and each step moves one task in 1.6 s. With two
    machines being emptied, the other steps would have no task to move and the wave would take twice
    as long."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(20)))
    for _ in range(4):
        harness.admit(job(step(5, cpu=8_000, long_running=True, most_away=1, most_per_executor=1)))
    harness.place()
    machines = harness.shard.ledger.by_machine()
    assert len(machines_to_close(_progress(*machines, most_away=20), machines, now=-20.0)) == 5


def test_a_wave_that_is_behind_has_more_machines_emptied_at_a_time() -> None:
    """After several changes of owner, six machines of a pool of twelve are left shortly before the
    upkeep stops waiting for tasks. Emptied one after the other, the last would be late."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(12)))
    machines = harness.shard.ledger.by_machine()
    progress = _progress(*list(machines)[:6], most_away=10)
    assert len(machines_to_close(progress, machines, now=0.0)) == 2
    assert len(machines_to_close(progress, machines, now=11.0)) == 5
    assert len(machines_to_close(progress, machines, now=16.0)) == 6


def test_a_long_running_task_moves_to_a_machine_that_does_not_await_upkeep() -> None:
    """One of two machines with free capacity has yet to be taken down. A task that moves there
    would be moved again seconds later and be away twice."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.shard.ledger.executors["i-0"].awaits_upkeep = True
    harness.admit(job(step(1, long_running=True)))
    (run,) = harness.place()
    assert run.executor == "i-1"


def test_no_more_long_running_tasks_are_moved_than_their_step_allows() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    first, second = harness.place()
    first.is_available = True
    executor = harness.shard.ledger.executors[first.executor]
    assert runs_to_move(executor, _can_always_place) == []
    second.is_available = True
    assert runs_to_move(executor, _can_always_place) == [first]
    assert incarnation_id(executor).startswith(executor.name)


def test_long_running_tasks_without_a_report_are_not_interrupted_together() -> None:
    """A new owner has read the long-running tasks from the store, and no executor has reported yet.
    If a task that was not reported at work could be interrupted freely, both tasks of a step of
    which one may be away would be stopped at once."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    first, second = harness.place()
    executors = harness.shard.ledger.executors
    assert runs_to_move(executors[first.executor], _can_always_place) == []
    assert runs_to_move(executors[second.executor], _can_always_place) == []


def test_upkeep_does_not_begin_with_two_tasks_of_a_step_if_one_may_be_away() -> None:
    """Near the end of a wave the upkeep no longer waits for tasks. Two tasks of a step share a
    machine: each alone may be away, but the upkeep would end both."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2, long_running=True, most_away=1)))
    for run in harness.place():
        run.is_available = True
    (executor,) = harness.shard.ledger.executors.values()
    assert not may_begin_upkeep(executor, since=0.0, past_wait_deadline=True, now=harness.now)


def test_runs_that_an_unanswered_order_will_end_count_as_away() -> None:
    """A new owner repeats the orders for two machines concurrently, each with a task of a step of
    which one may be away. The first order is unanswered when the second is about to be sent."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    for run in harness.place():
        run.is_available = True
    first, second = harness.shard.ledger.executors.values()
    assert may_interrupt_all(first) and may_interrupt_all(second)
    mark_runs_away(first)
    assert not may_interrupt_all(second)


# Guards against taking a third task of a step that lets two be away, since a report shows those at
# work that an upkeep order is about to end.
def test_report_does_not_make_runs_available_that_an_order_is_about_to_end() -> None:
    harness = ShardHarness(facts("i-0", cpu=2_000), facts("i-1", cpu=1_000))
    harness.admit(job(step(3, long_running=True, most_away=2)))
    runs = harness.place()
    for run in runs:
        run.is_available = True
    executor = harness.shard.ledger.executors["i-0"]
    (other,) = [run for run in runs if run.executor == "i-1"]
    mark_runs_away(executor)
    assert not may_interrupt(other)
    rows = [
        ReportedRun(run.task.task_id, run.number, "", 100, 0.0) for run in executor.runs.values()
    ]
    report = HoldReport(0.0, 1, rows, [])
    harness.shard.apply_report(executor, report, harness.now, harness.now + 0.1, harness.now)
    assert not may_interrupt(other)
    unmark_runs_away(executor)
    assert may_interrupt(other)


def test_a_long_running_task_is_not_stopped_until_another_machine_can_take_it() -> None:
    """The machine of a long-running task is to be emptied, and every other machine has its maximum
    number of tasks of the step. Stopped now, the task would be away until another machine has
    arrived."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    first, second = harness.place()
    first.is_available = second.is_available = True
    executor = harness.shard.ledger.executors[first.executor]

    def can_place_elsewhere(run: Run) -> bool:
        return harness.shard.can_place_elsewhere(run, harness.now)

    assert runs_to_move(executor, can_place_elsewhere) == []
    harness.register(facts("i-2"))
    assert runs_to_move(executor, can_place_elsewhere) == [first]


def test_a_machine_with_an_unconfirmed_order_keeps_its_place() -> None:
    """A new owner finds that an upkeep was decided, while the machine is listed as up because the
    order was never sent. The order will be repeated, so its place must not go to another machine:
    one more than allowed would be away."""
    progress = _progress("m-1", "m-2")
    progress.decided, progress.away = {"m-1"}, {"m-1": UNKNOWN_INCARNATION}
    progress.release_returned({"m-1": "i-1@1"}, {"m-1", "m-2"}, listed_at=50.0)
    assert set(progress.away) == {"m-1"}
    progress.confirmed.add("m-1")
    progress.ordered["m-1"] = 50.0
    progress.release_returned({"m-1": "i-1@1"}, {"m-1", "m-2"}, listed_at=50.1)
    assert set(progress.away) == {"m-1"}
    progress.release_returned({"m-1": "i-1@2"}, {"m-1", "m-2"}, listed_at=53.0)
    assert not progress.away
