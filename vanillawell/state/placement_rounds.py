"""Look at all steps with waiting tasks, in as many time slices as it takes."""

from __future__ import annotations

import itertools
from operator import itemgetter
from typing import TYPE_CHECKING, Protocol

from vanillawell.state.placement_pass import PlacementPass, PlacementTarget
from vanillawell.state.ranking import rank_of
from vanillawell.state.shares import order_by_share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from vanillawell.state.job_table import JobTable
    from vanillawell.state.progress import StepProgress
    from vanillawell.state.ranking import Rank
    from vanillawell.state.work_policy import WorkPolicy


class RoundTarget(PlacementTarget, Protocol):
    """What a round needs of the shard whose tasks it places."""

    job_table: JobTable


class PlacementRounds:
    """Rounds in which each step with waiting tasks is looked at once.

    A round that runs out of time goes on in the next call, with the steps that are left; steps that
    have come meanwhile join it by their rank. So tasks that find no executor do not starve later
    ones.
    """

    def __init__(self, shard: RoundTarget) -> None:
        self._shard = shard
        self._open: PlacementPass | None = None
        """The round that is to be continued."""

    def place(self, policy: WorkPolicy, now: float, has_time: Callable[[], bool]) -> bool:
        """Place tasks; return False if time ran out before the end of the round."""
        if self._open is None:
            self._open = PlacementPass(self._shard, policy, now, has_time)
        else:
            self._open.resume(policy, now, has_time)
        if not self._open.place(self._steps(self._open, policy, now)):
            return False
        self._open = None
        return True

    def _steps(
        self, pass_: PlacementPass, policy: WorkPolicy, now: float
    ) -> Iterator[StepProgress]:
        """Yield the waiting steps that are left in a round, in the order of their ranks."""
        waiting = [
            step
            for step in self._shard.job_table.open_steps
            if pass_.is_left(step) and step.has_waiting
        ]
        waiting.sort(key=lambda step: step.record.deadline)
        ranked = sorted(((self._rank(step, now), step) for step in waiting), key=itemgetter(0))

        def weighted_usage(organisation: str) -> float:
            return self._weighted_usage(policy, organisation)

        for rank, group in itertools.groupby(ranked, key=itemgetter(0)):
            steps = [step for _, step in group]
            yield from order_by_share(steps, weighted_usage) if rank.shared else steps

    def _rank(self, step: StepProgress, now: float) -> Rank:
        queue = self._shard.queue_of(step.record.job)
        return rank_of(step, queue.priority if queue else 0, now)

    def _weighted_usage(self, policy: WorkPolicy, organisation: str) -> float:
        """Return an organisation's charged millicores, divided by the weight of its share."""
        limits = policy.organisations.get(organisation)
        weight = limits.share if limits and limits.share > 0 else 1.0
        return self._shard.ledger.usage(organisation).cpu / weight
