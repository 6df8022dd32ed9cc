"""Test the rules for where tasks may start and how often they are retried."""

from __future__ import annotations

from vanillawell.state.progress import Run
from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

ATTEMPTS = 3
"""Failed runs that the queue of the builders allows a task."""


def executors_of(runs: list[Run]) -> set[str]:
    return {run.executor for run in runs}


def test_draining_executor_gets_no_new_tasks() -> None:
    """It starts draining while it runs a task and, as the fullest executor, is the first choice.

    A task started on it would be interrupted when its machine is stopped.
    """
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job())
    (running,) = harness.place()
    assert running.executor == "i-0"
    harness.register(facts("i-0", draining=True))
    harness.admit(job(step(3)))
    assert executors_of(harness.place()) == {"i-1"}
    assert running in harness.shard.ledger.executors["i-0"].runs.values()


def test_task_waits_while_all_executors_drain_and_starts_when_one_is_ready() -> None:
    harness = ShardHarness(facts("i-0", draining=True))
    harness.admit(job())
    assert harness.place() == []
    harness.register(facts("i-0"))
    assert executors_of(harness.place()) == {"i-0"}


def test_task_with_required_label_starts_only_on_executors_with_that_label() -> None:
    """The executor without the label comes first by name and is idle."""
    labelled = facts("i-1", labels=frozenset({"r1", "ssd"}))
    harness = ShardHarness(facts("i-0"), labelled)
    harness.admit(job(step(2, required_label="ssd")))
    assert executors_of(harness.place()) == {"i-1"}


def test_task_with_unavailable_label_waits_without_blocking_others() -> None:
    """A part of a label's name does not match, and other tasks are still placed."""
    harness = ShardHarness(facts("i-0", labels=frozenset({"ssd-old"})))
    labelled, other = job(step(1, required_label="ssd")), job()
    harness.admit(labelled, other)
    (run,) = harness.place()
    assert run.task.task_id.job_id == other.job_id
    harness.register(facts("i-1", labels=frozenset({"ssd"})))
    assert executors_of(harness.place()) == {"i-1"}


def fail_all(harness: ShardHarness, max_starts: int = 10) -> int:
    """Let each run of the only job fail until none starts; return the number of starts."""
    starts = 0
    while starts < max_starts and (runs := harness.place()):
        starts += 1
        harness.end(runs[0], Ending.FAILED)
        harness.now += 10.0
    return starts


def test_task_is_not_started_after_its_attempts_are_used_up() -> None:
    """Another start would use resources of its organisation that the queue does not allow."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    failing = job()
    harness.admit(failing)
    assert fail_all(harness) == ATTEMPTS
    assert harness.shard.job_table.jobs[failing.job_id].state is JobState.FAILED


def test_failures_are_counted_per_task() -> None:
    """Each of three tasks fails as often as allowed and then succeeds."""
    harness = ShardHarness(facts("i-0"))
    flaky = job(step(3))
    harness.admit(flaky)
    for ending in (*[Ending.FAILED] * (ATTEMPTS - 1), Ending.DONE):
        runs = harness.place()
        assert len(runs) == 3
        for run in runs:
            harness.end(run, ending)
        harness.now += 10.0
    assert harness.shard.job_table.jobs[flaky.job_id].state is JobState.COMPLETED


def test_gang_failures_are_counted_for_the_whole_gang() -> None:
    """Two members fail alternately, so that neither uses up its own attempts."""
    harness = ShardHarness(facts("i-0"))
    gang = job(step(2, gang=True))
    harness.admit(gang)
    for number in range(ATTEMPTS):
        runs = sorted(harness.place(), key=lambda run: run.task.task_id.task)
        assert len(runs) == 2
        harness.end(runs[number % 2], Ending.FAILED)
        for run in list(harness.shard.ledger.executors["i-0"].runs.values()):
            harness.end(run, Ending.GANG_BROKEN)
        harness.now += 10.0
    assert harness.place() == []
    assert harness.shard.job_table.jobs[gang.job_id].state is JobState.FAILED


def test_long_running_task_is_restarted_after_any_number_of_failures() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(long_running=True)))
    assert fail_all(harness, 3 * ATTEMPTS) == 3 * ATTEMPTS


def test_long_running_tasks_of_different_steps_share_machines() -> None:
    """A maintenance wave moves long-running tasks while a peak has brought many machines.

    Spread over all machines, they would keep twice as many in the pool after the peak.
    """
    harness = ShardHarness(*(facts(f"i-{number}", rack=f"r{number}") for number in range(8)))
    for _ in range(2):
        harness.admit(job(step(2, long_running=True, most_per_executor=1)))
    assert len(executors_of(harness.place())) == 2


def test_long_running_tasks_with_latency_target_use_separate_machines() -> None:
    """The load of each task would slow the responses of the other."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(4)))
    for _ in range(2):
        harness.admit(job(step(2, long_running=True, most_per_executor=1, tail_target=0.1)))
    assert len(executors_of(harness.place())) == 4
