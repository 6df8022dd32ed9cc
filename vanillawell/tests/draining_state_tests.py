"""Test on plain data when lasting tasks leave an executor that said that it ends."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import orjson
import pytest

from vanillawell.platform.documents import UnreadableDocumentError, read_executor
from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.state.draining import (
    draining_executors,
    runs_to_stop,
    stop_deadline_reached,
    time_left,
)
from vanillawell.state.executors import MAX_REGISTRATION_AGE
from vanillawell.state.work_policy import AdviceRule, Queue
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

GRACE = 0.4
"""Seconds that a stop takes at most."""


def _drains(harness: ShardHarness, name: str, remaining: float | None) -> Executor:
    executor = harness.shard.ledger.executors[name]
    told = replace(executor.facts, draining=True, remaining=remaining)
    return harness.register(told)


def _to_move(harness: ShardHarness, executor: Executor) -> list[Run]:
    return runs_to_stop(
        executor,
        lambda run: harness.shard.can_place_elsewhere(run, harness.now),
        GRACE,
        harness.now,
    )


def _two_lasting(harness: ShardHarness, **fields: Any) -> list[Run]:
    harness.admit(job(step(2, long_running=True, **fields)))
    runs = harness.place()
    for run in runs:
        run.is_available = True
    return runs


def test_tasks_are_moved_within_what_their_step_lets_be_away() -> None:
    harness = ShardHarness(facts("i-0"))
    first, second = _two_lasting(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _drains(harness, "i-0", 4.0)
    assert _to_move(harness, executor) == [first]
    harness.shard.request_stop(first)
    assert _to_move(harness, executor) == []
    assert not second.stop_requested


def test_a_task_waits_for_another_of_its_step_that_is_away_elsewhere() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    first, second = _two_lasting(harness, most_away=1, most_per_executor=1)
    harness.register(facts("i-2"))
    executor = _drains(harness, first.executor, 4.0)
    second.is_available = False
    assert _to_move(harness, executor) == []
    second.is_available = True
    assert _to_move(harness, executor) == [first]


def test_every_owner_moves_the_same_task_first() -> None:
    """A stop that a former owner ordered is under way, and its task still looks at work. Its
    successor knows the runs in another order; a second task of the step must not be stopped."""
    harness = ShardHarness(facts("i-0"))
    first, _ = _two_lasting(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _drains(harness, "i-0", 4.0)
    executor.runs = dict(reversed(executor.runs.items()))
    assert _to_move(harness, executor) == [first]


def test_a_task_without_a_place_works_on_until_its_executor_is_about_to_leave() -> None:
    harness = ShardHarness(facts("i-0"))
    runs = _two_lasting(harness)
    executor = _drains(harness, "i-0", 4.0)
    assert _to_move(harness, executor) == []
    harness.now += 3.2
    assert _to_move(harness, executor) == runs


def test_what_would_be_lost_anyway_is_stopped_in_time_beyond_what_may_be_away() -> None:
    harness = ShardHarness(facts("i-0"))
    runs = _two_lasting(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _drains(harness, "i-0", 0.8)
    assert _to_move(harness, executor) == runs


def _short(harness: ShardHarness, *percents: int, **fields: Any) -> Run:
    """Place a task that ends by itself, and report its progress each second."""
    harness.admit(job(step(1, **fields)))
    (run,) = harness.place()
    executor = harness.shard.ledger.executors[run.executor]
    for percent in percents:
        harness.now += 1.0
        row = ReportedRun(run.task.task_id, run.number, "", percent, 0.0)
        report = HoldReport(0.0, executor.facts.incarnation, [row], [])
        harness.shard.take_report(executor, report, harness.now, harness.now, harness.now)
    return run


def test_tasks_that_end_by_themselves_work_on_while_time_remains() -> None:
    harness = ShardHarness(facts("i-0"))
    _short(harness, 10, 20, saves_progress=True)
    harness.register(facts("i-1"))
    assert _to_move(harness, _drains(harness, "i-0", 4.0)) == []


def test_a_task_that_saves_progress_is_stopped_if_its_executor_leaves_long_before_its_end() -> None:
    harness = ShardHarness(facts("i-0"))
    run = _short(harness, 10, 20, saves_progress=True)
    assert _to_move(harness, _drains(harness, "i-0", 0.8)) == [run]


def test_a_task_that_may_still_be_done_in_time_works_on() -> None:
    harness = ShardHarness(facts("i-0"))
    _short(harness, 10, 50, saves_progress=True)
    assert _to_move(harness, _drains(harness, "i-0", 0.8)) == []


def test_a_task_whose_work_would_be_lost_by_a_stop_works_on() -> None:
    """Executors may go on for seconds beyond the time they name; a stop surely loses the work."""
    harness = ShardHarness(facts("i-0"))
    _short(harness, 10, 20)
    assert _to_move(harness, _drains(harness, "i-0", 0.5)) == []


def test_a_new_owner_does_not_take_former_progress_for_pace() -> None:
    """The first report that a new owner gets shows a task at 80 per cent; seen as the work of a
    moment, the rest would seem done at once, and the task would be lost with its executor."""
    harness = ShardHarness(facts("i-0"))
    run = _short(harness, 80, 82, saves_progress=True)
    assert _to_move(harness, _drains(harness, "i-0", 0.8)) == [run]


def test_a_task_that_has_shown_no_pace_yet_works_on() -> None:
    harness = ShardHarness(facts("i-0"))
    _short(harness, 10, saves_progress=True)
    assert _to_move(harness, _drains(harness, "i-0", 0.5)) == []


def test_an_executor_that_is_ready_again_keeps_its_tasks() -> None:
    harness = ShardHarness(facts("i-0"))
    _two_lasting(harness)
    executor = _drains(harness, "i-0", 4.0)
    assert draining_executors(harness.shard.ledger.executors.values()) == [executor]
    harness.register(facts("i-0"))
    assert draining_executors(harness.shard.ledger.executors.values()) == []


def test_an_entry_that_is_read_again_gives_no_more_time() -> None:
    """The registry is read anew while machines are expected, and entries change only now and then.
    The time left counts from the first reading."""
    harness = ShardHarness(facts("i-0"))
    executor = _drains(harness, "i-0", 4.0)
    harness.now += 1.0
    _drains(harness, "i-0", 4.0)
    assert time_left(executor, harness.now) == pytest.approx(3.0)
    _drains(harness, "i-0", 2.5)
    assert time_left(executor, harness.now) == pytest.approx(2.5)


def test_a_new_owner_takes_the_entry_it_reads_first_for_an_old_one() -> None:
    """An entry may be as old as the time between two. Taken for new by each of several owners in
    turn, it would promise time that the executor doesn't have."""
    harness = ShardHarness(facts("i-0", draining=True, remaining=4.0))
    (executor,) = harness.shard.ledger.executors.values()
    assert time_left(executor, harness.now) == pytest.approx(4.0 - MAX_REGISTRATION_AGE)


def test_a_new_life_under_the_same_id_does_not_leave() -> None:
    harness = ShardHarness(facts("i-0"))
    executor = _drains(harness, "i-0", 4.0)
    harness.register(facts("i-0", incarnation=2))
    assert draining_executors([executor]) == []


def test_an_executor_that_does_not_say_how_long_it_goes_on_may_leave_at_once() -> None:
    harness = ShardHarness(facts("i-0"))
    assert stop_deadline_reached(_drains(harness, "i-0", None), GRACE, harness.now)


def test_a_task_that_needs_advice_is_not_moved_before_it_is_known_who_may_run_it() -> None:
    """Tickets hold for seconds only, and are forgotten with each owner. Without any, all executors
    were taken for places; the task was stopped, and none of those that may run it had room."""
    rule = AdviceRule(0.005, 0.001, 3.0)
    hinted = Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False, rule)
    harness, item = ShardHarness(facts("i-0"), queues={QUEUE: hinted}), job(step(long_running=True))
    harness.admit(item)
    harness.shard.tickets[item.job_id, 0, 0] = {"i-0": "ticket"}
    (run,) = harness.place()
    run.is_available = True
    harness.register(facts("i-1"))
    executor = _drains(harness, "i-0", 4.0)
    assert _to_move(harness, executor) == []
    harness.shard.tickets.clear()
    assert _to_move(harness, executor) == []


def _entry(**fields: object) -> bytes:
    entry = {"service": "s", "address": "a:1", "state": "draining", "capacity": {}}
    return orjson.dumps({**entry, **fields})


def test_the_time_left_is_read_from_the_registry() -> None:
    told = read_executor("servers/i-0", _entry(remainingMs=2200))
    assert told.remaining == 2.2
    assert read_executor("servers/i-0", _entry()).remaining is None
    with pytest.raises(UnreadableDocumentError):
        read_executor("servers/i-0", _entry(remainingMs="soon"))
