"""Test that organisations get their shares while one of them overloads a pool.

Scenario: a pool is full for seconds, and one organisation submits five times as many jobs as all
others together. Its jobs beyond its share wait; the others are served as usual.
"""

from __future__ import annotations

from collections import Counter

from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

OTHER_ORGANISATIONS = ("east", "south", "west")
CORES = 8


def _build_harness(**weights: float) -> ShardHarness:
    limits = {
        name: OrganisationLimits(name, weights.get(name, 1), Resources())
        for name in ("north", *OTHER_ORGANISATIONS)
    }
    return ShardHarness(facts("i-0", CORES * 1_000), organisations=limits)


def _submit(harness: ShardHarness, organisation: str, jobs: int) -> None:
    for _ in range(jobs):
        harness.admit(job(step(1, seconds=1.0), organisation=organisation))


def _started(harness: ShardHarness) -> Counter[str]:
    return Counter(run.task.step.record.job.organisation for run in harness.place())


def test_overloading_organisation_does_not_displace_others() -> None:
    """Its jobs were submitted first, so in order of deadlines they would take the whole pool."""
    harness = _build_harness()
    _submit(harness, "north", 60)
    harness.now += 0.01
    for name in OTHER_ORGANISATIONS:
        _submit(harness, name, 2)
    assert _started(harness) == {"north": 2, "east": 2, "south": 2, "west": 2}


def test_overloading_organisation_gets_capacity_that_others_leave_unused() -> None:
    harness = _build_harness()
    _submit(harness, "north", 60)
    _submit(harness, "east", 1)
    assert _started(harness) == {"north": CORES - 1, "east": 1}


def test_shares_follow_weights() -> None:
    harness = _build_harness(north=3)
    _submit(harness, "east", 60)
    _submit(harness, "north", 60)
    assert _started(harness) == {"north": 6, "east": 2}


def test_started_job_continues_before_new_jobs_of_other_organisations() -> None:
    """A job of the overloading organisation has done its first step; that work must not be lost."""
    harness = _build_harness()
    chain = job(step(CORES), step(CORES, after=(0,)), organisation="north")
    harness.admit(chain)
    first = harness.place()
    _submit(harness, "east", 20)
    for run in first:
        harness.end(run)
    assert _started(harness) == {"north": CORES}
