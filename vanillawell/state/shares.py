"""Order waiting steps so that each organisation gets its share of scarce capacity.

An organisation that submits many times its usual number of jobs would take the capacity of all
others if steps were served by their deadlines alone. The next step is therefore always one of the
organisation with the lowest usage relative to its weight; the steps of one organisation keep their
order.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from vanillawell.state.progress import StepProgress


def order_by_share(
    steps: Iterable[StepProgress], weighted_usage: Callable[[str], float]
) -> Iterator[StepProgress]:
    """Yield steps, always one of the organisation with the lowest weighted usage next.

    `weighted_usage` returns an organisation's usage divided by its weight. It is called again after
    each step, since the caller may have started the tasks of that step.
    """
    waiting: defaultdict[str, deque[StepProgress]] = defaultdict(deque)
    for step in steps:
        waiting[step.record.job.organisation].append(step)
    if len(waiting) == 1:
        yield from itertools.chain.from_iterable(waiting.values())
        return
    tie_breaker = itertools.count()
    heap = [(weighted_usage(name), next(tie_breaker), name) for name in waiting]
    heapq.heapify(heap)
    while heap:
        _, _, name = heapq.heappop(heap)
        yield waiting[name].popleft()
        if waiting[name]:
            heapq.heappush(heap, (weighted_usage(name), next(tie_breaker), name))
