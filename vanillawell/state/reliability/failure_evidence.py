"""Decide from failed and completed runs whether an executor fails its work.

The load: some executors of a pool fail a part of all runs while they answer every check and, with
few runs left on them, look idle and attract more. The decision is a sequential test (CUSUM, after
Page): each run adds the logarithm of how much likelier its outcome is at a faulty executor than at
a sound one, and the sum never falls below zero, so that a fault may begin at any time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MIN_FAULTY_RATE = 0.25
"""Part of its runs that an executor fails, from which it counts as faulty; below that, its tasks
still end sooner with a second run than if the executor was missing."""

FAULTY_FACTOR = 4.0
"""The same as a multiple of what its pool fails on average, where jobs fail by themselves."""

MAX_FAULTY_RATE = 0.9
"""Largest rate that is tested for, so that one completed run does not outweigh all failures."""

MIN_SOUND_RATE = 0.02
"""Smallest rate that is assumed for sound executors; tasks fail by themselves at times."""

VERDICT_THRESHOLD = math.log(200.0)
"""Sum from which an executor is judged faulty: its outcomes are then 200 times likelier at a faulty
one. Three failures in a row suffice, two do not."""

MIN_FAILED_JOBS = 2
"""Distinct jobs that the failures must come from; otherwise the job itself may be at fault."""

POOL_RUNS = 200
"""Number of runs over which a pool's failure rate is averaged."""

FIRST_RUNS = 10
"""Weight of the initial assumption that nothing fails, in runs."""


@dataclass(slots=True)
class PoolFailureRate:
    """Failure rate of a pool: a moving mean over its recent runs."""

    rate: float = 0.0
    _runs: int = FIRST_RUNS

    def record(self, failed: bool) -> None:
        """Add the outcome of one run."""
        self._runs = min(POOL_RUNS, self._runs + 1)
        self.rate += (failed - self.rate) / self._runs


@dataclass(slots=True)
class FailureEvidence:
    """Evidence that one executor fails its work."""

    score: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs of the failed runs since the score was last zero."""

    def record(self, failed: bool, job_id: str, pool_rate: float) -> bool:
        """Add the outcome of a run; return whether the executor is judged faulty.

        Args:
            failed: Whether the run failed.
            job_id: Job of the run.
            pool_rate: Part of all runs in its pool that fail.
        """
        sound = min(max(pool_rate, MIN_SOUND_RATE), MAX_FAULTY_RATE / 2)
        faulty = min(max(MIN_FAULTY_RATE, FAULTY_FACTOR * sound), MAX_FAULTY_RATE)
        if failed:
            self.score += math.log(faulty / sound)
            self.failed_jobs.add(job_id)
        else:
            self.score = max(0.0, self.score + math.log((1 - faulty) / (1 - sound)))
        if not self.score:
            self.failed_jobs.clear()
        return self.score >= VERDICT_THRESHOLD and len(self.failed_jobs) >= MIN_FAILED_JOBS

    def begin_trial(self) -> None:
        """Halve the evidence: an executor that is tried again is judged by fewer failures."""
        self.score = VERDICT_THRESHOLD / 2
