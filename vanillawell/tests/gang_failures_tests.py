"""Test what failed runs imply for executors, pools and gangs."""

from __future__ import annotations

from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

EXECUTORS = 4
FAILING_JOBS = 8
"""Number of jobs, submitted at once, whose tasks fail on every executor."""

START_TIMEOUT = 3.0
"""Seconds within which a job must start while there is free capacity."""


def test_jobs_that_fail_everywhere_do_not_quarantine_a_whole_pool() -> None:
    """Many jobs are submitted whose tasks always fail.

    If every executor was quarantined for these failures, all other jobs of the pool would wait
    although its machines are idle and healthy.
    """
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(EXECUTORS)))
    harness.admit(*(job(step(4)) for _ in range(FAILING_JOBS)))
    for _ in range(3):
        for run in harness.place():
            if run.task.run is run:
                harness.end(run, Ending.FAILED)
        harness.now += 0.5
    valid = job()
    harness.admit(valid)
    started = harness.now
    while not any(run.task.task_id.job_id == valid.job_id for run in harness.place()):
        harness.now += 0.1
        assert harness.now < started + START_TIMEOUT


def test_gang_whose_members_fail_together_has_failed_once() -> None:
    """An unhealthy executor reports all members of one gang run as failed.

    Counted one by one, these failures would use up all attempts of a gang that can still succeed.
    """
    harness = ShardHarness(facts("i-0"))
    gang = job(step(3, gang=True))
    harness.admit(gang)
    runs = harness.place()
    assert len(runs) == 3
    for run in runs:
        harness.end(run, Ending.FAILED)
    assert harness.shard.job_table.jobs[gang.job_id].state is JobState.RUNNING
