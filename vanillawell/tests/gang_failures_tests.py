"""Test on plain data what failed runs prove, and what they do not."""

from __future__ import annotations

from vanillawell.state.work import Ending, JobState
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

EXECUTORS = 4
HOPELESS = 8
"""Jobs handed in at once all of whose tasks fail wherever they run."""

PATIENCE = 3.0
"""Seconds without any start, where there is room, after which a job counts as lost."""


def test_jobs_that_fail_everywhere_do_not_close_a_pool() -> None:
    """Many jobs come that can never be done. Their failures are their own: with each executor shut
    out for them, all other jobs of the pool would wait in front of idle, sound machines."""
    harness = ShardHarness(*(facts(f"i-{number}") for number in range(EXECUTORS)))
    harness.admit(*(job(step(4)) for _ in range(HOPELESS)))
    for _ in range(3):
        for run in harness.place():
            if run.task.run is run:
                harness.end(run, Ending.FAILED)
        harness.now += 0.5
    sound = job()
    harness.admit(sound)
    began = harness.now
    while not any(run.task.task_id.job_id == sound.job_id for run in harness.place()):
        harness.now += 0.1
        assert harness.now < began + PATIENCE


def test_a_gang_whose_members_fail_together_has_failed_once() -> None:
    """All members of one run are listed as failed by an executor that fails all it runs. Counted
    one by one, they would use up all attempts of a gang that may still be done."""
    harness = ShardHarness(facts("i-0"))
    gang = job(step(3, gang=True))
    harness.admit(gang)
    runs = harness.place()
    assert len(runs) == 3
    for run in runs:
        harness.end(run, Ending.FAILED)
    assert harness.shard.job_table.jobs[gang.job_id].state is JobState.RUNNING
