"""Serve what waits so that each organisation gets its share when there isn't room for all.

An organisation that sends many times its usual fills each queue's line; served by deadlines alone,
it would take the room of all others. So the next place goes to whoever has least running for its
weight, and each organisation's own steps stay in their order.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from vanillawell.state.work import StepProgress


def in_shares(
    steps: Iterable[StepProgress], standing: Callable[[str], float]
) -> Iterator[StepProgress]:
    """Yield steps so that organisations get their turns by what they have running.

    `standing` tells how much an organisation has running for its weight. It is asked anew after
    each step, since the caller may have started that one.
    """
    lines: defaultdict[str, deque[StepProgress]] = defaultdict(deque)
    for step in steps:
        lines[step.record.job.organisation].append(step)
    if len(lines) == 1:
        yield from itertools.chain.from_iterable(lines.values())
        return
    entered = itertools.count()
    turns = [(standing(name), next(entered), name) for name in lines]
    heapq.heapify(turns)
    while turns:
        _, _, name = heapq.heappop(turns)
        yield lines[name].popleft()
        if lines[name]:
            heapq.heappush(turns, (standing(name), next(entered), name))
