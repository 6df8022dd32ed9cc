"""Detect executors that have been replaced by a later one on their machine.

An executor is one life of its machine. The entry of a later one alone proves nothing: it may be
older than it looks (the machine's clock was set back in between), or name the machine by mistake.
Two things together do: the later executor answers, and the earlier one does not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from vanillawell.state.executors import Executor, ExecutorFacts


def find_replaced(executors: Collection[Executor]) -> list[Executor]:
    """Return the silent executors on whose machine a later executor answers."""
    silent = [item for item in executors if item.facts.machine and _is_silent(item)]
    if not silent:
        return []
    latest = _latest_answering(executors)
    return [item for item in silent if item.facts.incarnation < latest.get(item.facts.machine, 0)]


def find_earlier(executors: Iterable[Executor], facts: ExecutorFacts) -> list[Executor]:
    """Return the executors that a registration says to have been replaced."""
    return [
        item
        for item in executors
        if facts.machine
        and item.facts.machine == facts.machine
        and item.facts.incarnation < facts.incarnation
        and item.name != facts.executor
    ]


def _is_silent(executor: Executor) -> bool:
    """Return whether an executor was asked and did not answer, or there is no way to ask it."""
    if executor.unresponsive_since is not None:
        return True
    return not executor.contacted and not executor.facts.address


def _latest_answering(executors: Iterable[Executor]) -> dict[str, int]:
    """Return the start of the latest executor that answers, by machine."""
    latest: dict[str, int] = {}
    for item in executors:
        if not item.is_unconfirmed:
            machine = item.facts.machine
            latest[machine] = max(latest.get(machine, 0), item.facts.incarnation)
    return latest
