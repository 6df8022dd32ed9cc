"""Test when tasks are stopped on a draining executor, on plain data."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

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
from vanillawell.tests.registration_documents import registration
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

STOP_GRACE = 0.4
"""Maximum number of seconds that a stop takes."""


def _start_draining(harness: ShardHarness, name: str, remaining: float | None) -> Executor:
    executor = harness.shard.ledger.executors[name]
    reported = replace(executor.facts, draining=True, remaining=remaining)
    return harness.register(reported)


def _runs_to_stop(harness: ShardHarness, executor: Executor) -> list[Run]:
    return runs_to_stop(
        executor,
        lambda run: harness.shard.can_place_elsewhere(run, harness.now),
        STOP_GRACE,
        harness.now,
    )


def _place_two_long_running(harness: ShardHarness, **fields: Any) -> list[Run]:
    harness.admit(job(step(2, long_running=True, **fields)))
    runs = harness.place()
    for run in runs:
        run.is_available = True
    return runs


def test_no_more_tasks_are_moved_than_their_step_allows_to_be_away() -> None:
    harness = ShardHarness(facts("i-0"))
    first, second = _place_two_long_running(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _start_draining(harness, "i-0", 4.0)
    assert _runs_to_stop(harness, executor) == [first]
    harness.shard.request_stop(first)
    assert _runs_to_stop(harness, executor) == []
    assert not second.stop_requested


def test_a_task_is_not_moved_while_another_of_its_step_is_away() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    first, second = _place_two_long_running(harness, most_away=1, most_per_executor=1)
    harness.register(facts("i-2"))
    executor = _start_draining(harness, first.executor, 4.0)
    second.is_available = False
    assert _runs_to_stop(harness, executor) == []
    second.is_available = True
    assert _runs_to_stop(harness, executor) == [first]


def test_a_new_owner_chooses_the_same_task_to_move() -> None:
    """The previous owner has ordered a stop that is under way, so the task still appears to be
    available. The new owner has the runs in a different order and must choose the same task, not a
    second one of the step."""
    harness = ShardHarness(facts("i-0"))
    first, _ = _place_two_long_running(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _start_draining(harness, "i-0", 4.0)
    executor.runs = dict(reversed(executor.runs.items()))
    assert _runs_to_stop(harness, executor) == [first]


def test_a_task_without_another_place_is_stopped_only_at_the_deadline() -> None:
    harness = ShardHarness(facts("i-0"))
    runs = _place_two_long_running(harness)
    executor = _start_draining(harness, "i-0", 4.0)
    assert _runs_to_stop(harness, executor) == []
    harness.now += 3.2
    assert _runs_to_stop(harness, executor) == runs


def test_at_the_deadline_tasks_are_stopped_regardless_of_the_allowed_absence() -> None:
    harness = ShardHarness(facts("i-0"))
    runs = _place_two_long_running(harness, most_away=1)
    harness.register(facts("i-1"))
    executor = _start_draining(harness, "i-0", 0.8)
    assert _runs_to_stop(harness, executor) == runs


def _place_short(harness: ShardHarness, *percents: int, **fields: Any) -> Run:
    """Place a task of limited duration and report its progress once a second."""
    harness.admit(job(step(1, **fields)))
    (run,) = harness.place()
    executor = harness.shard.ledger.executors[run.executor]
    for percent in percents:
        harness.now += 1.0
        row = ReportedRun(run.task.task_id, run.number, "", percent, 0.0)
        report = HoldReport(0.0, executor.facts.incarnation, [row], [])
        harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    return run


def test_tasks_of_limited_duration_are_not_stopped_while_time_remains() -> None:
    harness = ShardHarness(facts("i-0"))
    _place_short(harness, 10, 20, saves_progress=True)
    harness.register(facts("i-1"))
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 4.0)) == []


def test_a_task_with_checkpoints_is_stopped_if_it_cannot_end_before_its_executor() -> None:
    harness = ShardHarness(facts("i-0"))
    run = _place_short(harness, 10, 20, saves_progress=True)
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 0.8)) == [run]


def test_a_task_that_may_end_before_its_executor_is_not_stopped() -> None:
    harness = ShardHarness(facts("i-0"))
    _place_short(harness, 10, 50, saves_progress=True)
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 0.8)) == []


def test_a_task_without_checkpoints_is_not_stopped() -> None:
    """Executors may continue for seconds beyond the announced time, while a stop would certainly
    lose the work of a task without checkpoints."""
    harness = ShardHarness(facts("i-0"))
    _place_short(harness, 10, 20)
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 0.5)) == []


def test_a_new_owner_does_not_use_initial_progress_as_a_rate() -> None:
    """The first report to a new owner shows a task at 80 per cent. Taken as progress since the
    take-over, the task would seem to be almost finished and would be lost with its executor."""
    harness = ShardHarness(facts("i-0"))
    run = _place_short(harness, 80, 82, saves_progress=True)
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 0.8)) == [run]


def test_a_task_without_a_known_rate_of_progress_is_not_stopped() -> None:
    harness = ShardHarness(facts("i-0"))
    _place_short(harness, 10, saves_progress=True)
    assert _runs_to_stop(harness, _start_draining(harness, "i-0", 0.5)) == []


def test_an_executor_that_is_ready_again_is_no_longer_draining() -> None:
    harness = ShardHarness(facts("i-0"))
    _place_two_long_running(harness)
    executor = _start_draining(harness, "i-0", 4.0)
    assert draining_executors(harness.shard.ledger.executors.values()) == [executor]
    harness.register(facts("i-0"))
    assert draining_executors(harness.shard.ledger.executors.values()) == []


def test_reading_a_registry_entry_again_does_not_extend_the_remaining_time() -> None:
    """The registry is read again while machines are expected, but entries change only occasionally.
    The remaining time counts from the first time an entry was read."""
    harness = ShardHarness(facts("i-0"))
    executor = _start_draining(harness, "i-0", 4.0)
    harness.now += 1.0
    _start_draining(harness, "i-0", 4.0)
    assert time_left(executor, harness.now) == pytest.approx(3.0)
    _start_draining(harness, "i-0", 2.5)
    assert time_left(executor, harness.now) == pytest.approx(2.5)


def test_a_new_owner_assumes_the_maximum_age_of_the_first_entry_it_reads() -> None:
    """A registry entry may be as old as the interval between two updates. If each new owner took it
    for new, the executor would be expected to run for longer than it does."""
    harness = ShardHarness(facts("i-0", draining=True, remaining=4.0))
    (executor,) = harness.shard.ledger.executors.values()
    assert time_left(executor, harness.now) == pytest.approx(4.0 - MAX_REGISTRATION_AGE)


def test_a_new_incarnation_under_the_same_id_is_not_draining() -> None:
    harness = ShardHarness(facts("i-0"))
    executor = _start_draining(harness, "i-0", 4.0)
    harness.register(facts("i-0", incarnation=2))
    assert draining_executors([executor]) == []


def test_a_draining_executor_without_remaining_time_may_end_at_once() -> None:
    harness = ShardHarness(facts("i-0"))
    assert stop_deadline_reached(_start_draining(harness, "i-0", None), STOP_GRACE, harness.now)


def test_a_task_that_needs_advice_is_not_moved_without_tickets() -> None:
    """Tickets are valid for seconds only and are lost with each change of owner. Without tickets,
    every executor was taken for a possible place: the task was stopped, and no executor that was
    allowed to run it had free capacity."""
    rule = AdviceRule(0.005, 0.001, 3.0)
    queue = Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False, rule)
    harness, item = ShardHarness(facts("i-0"), queues={QUEUE: queue}), job(step(long_running=True))
    harness.admit(item)
    harness.shard.tickets[item.job_id, 0, 0] = {"i-0": "ticket"}
    (run,) = harness.place()
    run.is_available = True
    harness.register(facts("i-1"))
    executor = _start_draining(harness, "i-0", 4.0)
    assert _runs_to_stop(harness, executor) == []
    harness.shard.tickets.clear()
    assert _runs_to_stop(harness, executor) == []


def test_the_remaining_time_is_read_from_the_registry() -> None:
    draining = registration(state="draining", remainingMs=2200)
    assert read_executor("servers/i-0", draining).remaining == 2.2
    assert read_executor("servers/i-0", registration()).remaining is None
    for entry in (registration(state="draining"), registration(remainingMs="soon")):
        with pytest.raises(UnreadableDocumentError):
            read_executor("servers/i-0", entry)
