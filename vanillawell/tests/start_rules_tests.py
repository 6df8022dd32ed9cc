"""Test on plain data where a task must not start, and how often it may."""

from __future__ import annotations

from vanillawell.state.work import Ending, JobState, Run
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

ATTEMPTS = 3
"""Failed runs that the builders' queue allows a task."""


def executors_of(runs: list[Run]) -> set[str]:
    return {run.executor for run in runs}


def test_an_executor_that_drains_gets_no_new_task() -> None:
    """It says so while it runs something and would be the first choice, being the fullest.
    A task started there is cut when its machine is stopped."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job())
    (running,) = harness.place()
    assert running.executor == "i-0"
    harness.register(facts("i-0", draining=True))
    harness.admit(job(step(3)))
    assert executors_of(harness.place()) == {"i-1"}
    assert running in harness.shard.ledger.executors["i-0"].runs.values()


def test_a_task_waits_while_all_executors_drain_and_starts_when_one_is_back() -> None:
    harness = ShardHarness(facts("i-0", draining=True))
    harness.admit(job())
    assert harness.place() == []
    harness.register(facts("i-0"))
    assert executors_of(harness.place()) == {"i-0"}


def test_a_task_that_needs_a_label_starts_only_where_it_is() -> None:
    """The executor without it is the first by name, and has all the room."""
    labelled = facts("i-1", labels=frozenset({"r1", "ssd"}))
    harness = ShardHarness(facts("i-0"), labelled)
    harness.admit(job(step(2, required_label="ssd")))
    assert executors_of(harness.place()) == {"i-1"}


def test_a_task_whose_label_no_executor_has_waits_and_keeps_nothing_from_others() -> None:
    """Parts of a label's name are no label, and other work goes on meanwhile."""
    harness = ShardHarness(facts("i-0", labels=frozenset({"ssd-old"})))
    needy, other = job(step(1, required_label="ssd")), job()
    harness.admit(needy, other)
    (run,) = harness.place()
    assert run.task.task_id.job_id == other.job_id
    harness.register(facts("i-1", labels=frozenset({"ssd"})))
    assert executors_of(harness.place()) == {"i-1"}


def fail_all(harness: ShardHarness, most: int = 10) -> int:
    """Let each run of the only job fail until none starts; returns the starts."""
    starts = 0
    while starts < most and (runs := harness.place()):
        starts += 1
        harness.end(runs[0], Ending.FAILED)
        harness.now += 10.0
    return starts


def test_a_task_starts_no_more_once_its_attempts_are_used_up() -> None:
    """Started once more, it would cost its organisation what nobody allowed."""
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    failing = job()
    harness.admit(failing)
    assert fail_all(harness) == ATTEMPTS
    assert harness.shard.job_table.jobs[failing.job_id].state is JobState.FAILED


def test_failures_of_single_tasks_do_not_add_up() -> None:
    """Each of three tasks fails as often as it may and then succeeds."""
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


def test_a_gang_fails_as_a_whole_whichever_member_failed() -> None:
    """Two members fail by turns, so that neither has used up its own attempts."""
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


def test_a_task_that_lasts_is_started_again_however_often_it_fails() -> None:
    harness = ShardHarness(facts("i-0"), facts("i-1"))
    harness.admit(job(step(long_running=True)))
    assert fail_all(harness, 3 * ATTEMPTS) == 3 * ATTEMPTS


def test_lasting_tasks_of_two_steps_share_machines() -> None:
    """A wave moves lasting tasks while a peak has brought many machines. Spread over all of these,
    they would keep twice as many in the pool once the peak is over."""
    harness = ShardHarness(*(facts(f"i-{number}", rack=f"r{number}") for number in range(8)))
    for _ in range(2):
        harness.admit(job(step(2, long_running=True, most_per_executor=1)))
    assert len(executors_of(harness.place())) == 2


def test_lasting_tasks_that_answer_users_do_not_share_machines_while_others_are_free() -> None:
    """The load of each slows the answers of the other."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(4)))
    for _ in range(2):
        harness.admit(job(step(2, long_running=True, most_per_executor=1, tail_target=0.1)))
    assert len(executors_of(harness.place())) == 4
