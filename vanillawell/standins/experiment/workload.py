"""Describe the load and the machines of a simulated deployment."""

from __future__ import annotations

import math
from typing import Annotated

from pydantic import Field

from vanillawell.config.settings import Seconds, StrictModel

Count = Annotated[int, Field(ge=1)]
Amount = Annotated[float, Field(ge=0)]


class JobKind(StrictModel):
    """The jobs of one queue; figures are means."""

    per_second: Amount
    """Jobs a second over the whole day."""

    steps: Amount
    """Steps of a job, which run one after the other."""

    width: Amount
    """Tasks of a step."""

    seconds: Amount
    """Run time of a task."""

    cores: Amount
    """Cores of a task."""

    estimate_spread: Amount = 0.5
    """Standard deviation of the logarithm of a declared run time, relative to the actual one."""


class LongRunningJob(StrictModel):
    """A job whose tasks run until the end of the day, submitted to each pool."""

    at: Amount = 0.0
    """Seconds from the start of the day, plus an offset for each further pool."""

    offset: Amount = 0.0
    """Seconds by which the job of each further pool is submitted later."""

    tasks: Count
    cores: Amount
    memory_mb: Amount
    most_per_executor: int = 0
    """Most tasks on one executor; 0 for no limit."""


class Rhythm(StrictModel):
    """How the load of a queue changes; the peaks of the queues take turns."""

    peak_seconds: Seconds | None = None
    """Length of a peak; None for a steady load."""

    peak_factor: Amount = 4.95
    """Height of a peak, as a multiple of the mean."""

    floor: Amount = 0.05
    """Load between peaks, as a multiple of the mean."""

    def load(self, queue: int, queues: int, at: float) -> float:
        """Return the load of a queue at a time of the day, as a multiple of its mean."""
        if self.peak_seconds is None:
            return 1.0
        number, part = divmod(at / self.peak_seconds, 1.0)
        is_turn = int(number) % queues == queue
        return self.floor + (self.peak_factor * math.sin(math.pi * part) ** 2 if is_turn else 0.0)


class Prices(StrictModel):
    """What machines cost, in units of the value of a day's work."""

    machine_second: Amount = 0.0
    move: Amount = 0.0


class Workload(StrictModel):
    """One simulated deployment."""

    machines: Count = 30
    initial_pool_size: Count = 6
    """Machines of each pool when the day begins; all others are on standby."""

    cores: Count = 32
    """Cores of a machine."""

    memory_mb: Count = 131_072
    """Memory of a machine."""

    rack_size: Count = 4
    day_seconds: Seconds = 41.0
    run_time_spread: Annotated[float, Field(ge=0, lt=1)] = 0.15
    """Largest relative difference of a task's run time from the mean of its step."""

    tail_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    """Part of the tasks that take several times as long."""

    tail_factor: Amount = 7.0
    """Multiple of its run time that such a task takes."""

    cold_seconds: Amount = 0.0
    """Seconds for which a machine is slow after it has joined a pool."""

    cold_factor: Amount = 1.0
    """Multiple of their run time that tasks take if they start on such a machine."""

    kinds: list[JobKind]
    """The jobs of each queue; each queue has a pool of its own."""

    task_memory_mb: Amount = 3_600
    long_running: list[LongRunningJob] = []
    rhythm: Rhythm = Rhythm(peak_seconds=10.0)
    prices: Prices = Prices()
