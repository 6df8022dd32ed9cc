"""Tell by the list of machines which executors out of touch have ended for certain.

An executor that answers nothing may run on behind a broken path, so its tasks wait for its leases.
The list of machines comes by another path, from the service that owns them: an executor that lives
on no machine that is up runs nothing any more.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from vanillawell.state.executors import Executor

LISTED_AFTER = 2.0
"""Seconds after which an executor that lives is on the list, which may be behind."""

BELIEVED_FROM = 0.75
"""Part of the executors in touch that a list has to name to be believed of the others."""


@dataclass(slots=True)
class LostExecutors:
    """What one reading of the list says of executors in doubt."""

    terminated: list[Executor] = field(default_factory=list)
    """Their machines are listed as not up, or with another executor."""

    missing: list[Executor] = field(default_factory=list)
    """They are on no machine of the list. Their machines may be gone, or the list incomplete."""


def unresponsive_executors(executors: Iterable[Executor], now: float) -> list[Executor]:
    """Return the executors out of touch that have work and that the list should name by now."""
    return [
        item
        for item in executors
        if item.runs and item.is_unconfirmed and now > item.tracked_since + LISTED_AFTER
    ]


def find_lost_executors(
    executors: Collection[Executor], carried: Mapping[str, str], requested_at: float
) -> LostExecutors:
    """Judge the executors in doubt by a list that was asked for at `requested_at`.

    `carried` holds the executor on each listed machine, empty for one that is not up.
    """
    living = set(carried.values())
    found = LostExecutors()
    if not is_list_credible(executors, living, requested_at):
        return found
    for executor in unresponsive_executors(executors, requested_at):
        if executor.name in living:
            continue
        listed = executor.facts.machine in carried
        (found.terminated if listed else found.missing).append(executor)
    return found


def is_list_credible(
    executors: Iterable[Executor], living: Collection[str], requested_at: float
) -> bool:
    """Tell whether a list names most of the executors that do answer.

    Those that have come since the list may have been made speak neither for nor against it, unless
    there are no others.
    """
    in_touch = [item for item in executors if item.registered and not item.is_unconfirmed]
    settled = [item for item in in_touch if requested_at > item.tracked_since + LISTED_AFTER]
    witnesses = settled or in_touch
    named = sum(item.name in living for item in witnesses)
    return bool(named) and named >= BELIEVED_FROM * len(witnesses)
