"""Test that a job counts as pending until one of its tasks has begun."""

from __future__ import annotations

from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.ledger import InheritedLeaseBound
from vanillawell.state.progress import Run, RunPhase
from vanillawell.state.shard import Shard
from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduling_builders import QUEUE, ShardHarness, facts, job, policy, step


def _planned(harness: ShardHarness) -> Run:
    harness.admit(job())
    (run,) = harness.plan()
    return run


def _state(harness: ShardHarness, run: Run) -> JobState:
    return harness.shard.job_table.jobs[run.task.task_id.job_id].state


def test_job_whose_only_start_was_refused_is_pending() -> None:
    """An executor refuses the start of a job, and no other has capacity. Its caller would be told
    that it runs, and the queue that nothing waits."""
    harness = ShardHarness(facts("i-1"))
    run = _planned(harness)
    harness.shard.mark_not_started(run, harness.now, harness.now)
    assert harness.shard.job_table.pending() == {QUEUE: 1}
    assert _state(harness, run) is JobState.QUEUED


def test_job_whose_start_got_no_answer_is_pending_until_the_start_is_confirmed() -> None:
    """An executor is cut off. For as long as its lease lasts nobody knows whether the run began,
    and the queue of a pool that is cut off would look empty."""
    harness = ShardHarness(facts("i-1"))
    run = _planned(harness)
    assert harness.shard.job_table.pending() == {}, "published with the start, not once more"
    run.enter_phase(RunPhase.UNCERTAIN, harness.now)
    assert harness.shard.job_table.pending() == {QUEUE: 1}
    run.started = harness.now
    assert harness.shard.job_table.pending() == {}


def test_job_that_has_begun_is_never_pending_again() -> None:
    """Its executor fails and its task waits for another one; the job is no new one."""
    harness = ShardHarness(facts("i-1"))
    harness.admit(job())
    (run,) = harness.place()
    harness.end(run, Ending.LEASE_EXPIRED)
    assert harness.shard.job_table.pending() == {}
    assert _state(harness, run) is JobState.RUNNING


def test_job_whose_start_was_stored_but_never_sent_is_pending_under_the_next_owner() -> None:
    """An owner stores the start of a job and is lost before it sends the order. The executor does
    not know the run, so the job has not begun."""
    harness = ShardHarness(facts("i-1"))
    run = _planned(harness)
    record = run.task.step.record
    assert record.state is JobState.RUNNING
    successor = Shard(120)
    successor.apply_policy(policy())
    restored, (inherited,) = read_record(record.job, write_record(record), 0.0, 0.0)
    successor.restore(
        restored, [inherited], lambda _: InheritedLeaseBound(harness.now, harness.now)
    )
    assert successor.job_table.pending() == {}, "the executor has not been asked"
    successor.mark_not_started(inherited, harness.now, harness.now)
    assert successor.job_table.pending() == {QUEUE: 1}


def test_job_with_a_done_task_is_not_pending_under_the_next_owner() -> None:
    """The next owner knows only from the stored progress that the job has begun."""
    harness = ShardHarness(facts("i-1"))
    harness.admit(job(step(2)))
    first, _ = harness.place()
    harness.end(first)
    record = first.task.step.record
    restored, _ = read_record(record.job, write_record(record), 0.0, 0.0)
    assert restored.may_have_begun()
