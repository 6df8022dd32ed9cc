"""Test the planning of upkeep on plain data."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.state.availability import mark_runs_away, may_interrupt_all
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
    from vanillawell.state.work import Run


def _progress(*machines: str, most_away: int = 1) -> WaveProgress:
    return WaveProgress(Wave(1, machines, 20.0, most_away), first_seen=0.0)


def _anywhere(run: Run) -> bool:
    return True


def test_a_machine_that_was_on_its_way_before_the_order_is_not_back() -> None:
    """A machine is being moved when its upkeep is ordered; its new executor shows up a moment
    later. If that counted as the end of the upkeep, one machine too many would be taken down."""
    progress = _progress("m-1")
    progress.away["m-1"], progress.ordered["m-1"] = UNKNOWN_INCARNATION, 10.0
    progress.release_returned({"m-1": "i-1@5"}, {"m-1"}, listed=9.8)
    assert progress.away
    progress.release_returned({"m-1": "i-1@5"}, set(), listed=10.5)
    assert progress.away
    progress.release_returned({"m-1": "i-2@9"}, {"m-1"}, listed=12.5)
    assert not progress.away


def test_a_machine_whose_old_executor_is_still_listed_is_not_back() -> None:
    progress = _progress("m-1")
    progress.away["m-1"], progress.ordered["m-1"] = "i-1@5", 10.0
    progress.release_returned({"m-1": "i-1@5"}, {"m-1"}, listed=12.0)
    assert progress.away
    progress.release_returned({"m-1": "i-2@9"}, {"m-1"}, listed=12.5)
    assert not progress.away


def test_a_machine_that_is_switched_off_after_its_upkeep_is_back() -> None:
    """A machine comes back from its upkeep and is moved to standby at once, where no executor lives
    on it. Waited for until it is used again, it would keep its place and the wave open."""
    progress = _progress("m-1", "m-2")
    for name in progress.wave.machines:
        progress.away[name], progress.ordered[name] = "i-1@5", 10.0
    progress.confirmed.add("m-1")
    progress.release_returned({}, {"m-1", "m-2"}, listed=9.9)
    progress.release_returned({}, {"m-1", "m-2"}, listed=10.5)
    progress.release_returned({}, {"m-2"}, listed=12.5)
    assert progress.away.keys() == {"m-1", "m-2"}
    progress.release_returned({}, {"m-1", "m-2"}, listed=12.5)
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
    """A wave asks for the upkeep of half of 60 machines in a pool. Emptied one after the other, two
    seconds and more each, most of them would have their upkeep too late."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(60)))
    machines = harness.shard.ledger.by_machine()
    progress = _progress(*list(machines)[:30], most_away=20)
    progress.closed = dict.fromkeys(machines_to_close(progress, machines, 0.0), 0.0)
    assert len(progress.closed) == 6
    assert machines_to_close(progress, machines, 0.0) == []
    progress.closed.popitem()
    assert len(machines_to_close(progress, machines, 0.0)) == 1


def test_machines_with_lasting_tasks_are_begun_with_at_once() -> None:
    """Lasting tasks leave one after the other, so that the machines that hold them take longest.
    Left for the end of a wave, they are late when an owner is lost or the store is away."""
    harness = ShardHarness(facts("i-0"), facts("i-1"), facts("i-2"))
    harness.admit(job(step(1, long_running=True)))
    (run,) = harness.place()
    machines = harness.shard.ledger.by_machine()
    chosen = machines_to_close(_progress(*machines, most_away=3), machines, now=0.0)
    assert len(chosen) == 2
    assert f"m-{run.executor}" in chosen


def test_many_machines_with_lasting_tasks_are_open_to_moves_at_a_time() -> None:
    """Twenty machines hold tasks of four steps, each of which moves one task in 1.6 s. With two in
    emptying, the other steps would have nothing to move, and the wave would take twice as long."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(20)))
    for _ in range(4):
        harness.admit(job(step(5, cpu=8_000, long_running=True, most_away=1, most_per_executor=1)))
    harness.place()
    machines = harness.shard.ledger.by_machine()
    assert len(machines_to_close(_progress(*machines, most_away=20), machines, now=-20.0)) == 5


def test_a_wave_that_is_behind_has_more_machines_emptied_at_a_time() -> None:
    """Owners were replaced in series, and six machines of a pool of twelve are left shortly before
    nothing is waited for any more. Emptied one after the other, the last would be late."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(12)))
    machines = harness.shard.ledger.by_machine()
    progress = _progress(*list(machines)[:6], most_away=10)
    assert len(machines_to_close(progress, machines, now=0.0)) == 2
    assert len(machines_to_close(progress, machines, now=11.0)) == 5
    assert len(machines_to_close(progress, machines, now=16.0)) == 6


def test_a_lasting_task_moves_to_a_machine_that_a_wave_is_done_with() -> None:
    """Of two machines with room one has yet to be taken down. A task that moves there would be
    moved again seconds later, and be away twice."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.shard.ledger.executors["i-0"].awaits_upkeep = True
    harness.admit(job(step(1, long_running=True)))
    (run,) = harness.place()
    assert run.executor == "i-1"


def test_no_more_lasting_tasks_are_taken_away_than_their_step_allows() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    first, second = harness.place()
    first.is_available = True
    executor = harness.shard.ledger.executors[first.executor]
    assert runs_to_move(executor, _anywhere) == []
    second.is_available = True
    assert runs_to_move(executor, _anywhere) == [first]
    assert incarnation_id(executor).startswith(executor.name)


def test_lasting_tasks_that_were_not_reported_yet_are_not_taken_away_together() -> None:
    """A new owner has read from the store which tasks last, and no executor has reported yet. Both
    machines of a step that allows one absence are to be emptied. If a task that was not seen at
    work could be taken away freely, both would stop at once, and its users find nobody."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    first, second = harness.place()
    executors = harness.shard.ledger.executors
    assert runs_to_move(executors[first.executor], _anywhere) == []
    assert runs_to_move(executors[second.executor], _anywhere) == []


def test_a_machine_with_two_tasks_of_a_step_is_not_taken_down_if_one_may_be_away() -> None:
    """Near the end of a wave's time nothing is waited for any more. Two tasks of a step share a
    machine; each alone could go, and its upkeep would end both."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2, long_running=True, most_away=1)))
    for run in harness.place():
        run.is_available = True
    (executor,) = harness.shard.ledger.executors.values()
    assert not may_begin_upkeep(executor, since=0.0, past_wait_deadline=True, now=harness.now)


def test_a_second_order_counts_on_what_the_first_will_end() -> None:
    """A new owner repeats the orders for two machines side by side, each with a task of a step of
    which one may be away. Both answers are yet to come when the second is about to go out."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(2, long_running=True, most_away=1, most_per_executor=1)))
    for run in harness.place():
        run.is_available = True
    first, second = harness.shard.ledger.executors.values()
    assert may_interrupt_all(first) and may_interrupt_all(second)
    mark_runs_away(first)
    assert not may_interrupt_all(second)


def test_a_lasting_task_stays_at_work_until_another_machine_has_a_place() -> None:
    """The machine of a lasting task is to be emptied, and each other one has its share of the step.
    Stopped at once, the task would be away until another machine has come."""
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


def test_a_machine_whose_order_is_in_doubt_keeps_its_place_until_it_is_repeated() -> None:
    """A new owner reads that an upkeep was decided, and the list shows the machine as up: the order
    never went out. Its place must not go to another machine, since the order will be repeated, and
    one more than allowed would be away."""
    progress = _progress("m-1", "m-2")
    progress.decided, progress.away = {"m-1"}, {"m-1": UNKNOWN_INCARNATION}
    progress.release_returned({"m-1": "i-1@1"}, {"m-1", "m-2"}, listed=50.0)
    assert set(progress.away) == {"m-1"}
    progress.confirmed.add("m-1")
    progress.ordered["m-1"] = 50.0
    progress.release_returned({"m-1": "i-1@1"}, {"m-1", "m-2"}, listed=50.1)
    assert set(progress.away) == {"m-1"}
    progress.release_returned({"m-1": "i-1@2"}, {"m-1", "m-2"}, listed=53.0)
    assert not progress.away
