"""Tell by the list of machines which executors out of touch have ended for certain.

An executor that answers nothing may run on behind a broken path, so its tasks wait for its leases.
The list of machines comes by another path, from the service that owns them: an executor that lives
on no machine that is up runs nothing any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from vanillawell.state.executors import Executor

LIST_LAG = 2.0
"""Seconds by which the list may be behind: it names nobody who has come later than that."""


def in_doubt(executors: Iterable[Executor], now: float) -> list[Executor]:
    """Return the executors out of touch that have work and that the list should name by now."""
    return [
        item
        for item in executors
        if item.runs and item.is_out_of_touch and now > item.known_since + LIST_LAG
    ]


def ended(executors: Collection[Executor], living: Collection[str], asked: float) -> list[Executor]:
    """Return the executors in doubt that have ended, by a list that was asked for at `asked`.

    `living` are the executors on machines that are up. A list that misses most of the executors
    that do answer is no proof of anything.
    """
    in_touch = [
        item
        for item in executors
        if not item.is_out_of_touch and item.registered and asked > item.known_since + LIST_LAG
    ]
    named = sum(item.name in living for item in in_touch)
    if not living or 2 * named < len(in_touch):
        return []
    return [item for item in in_doubt(executors, asked) if item.name not in living]
