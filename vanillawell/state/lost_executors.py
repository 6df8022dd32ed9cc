"""Detect executors that have certainly ended, by the platform's list of machines.

An executor that does not answer may still be running behind a broken network path, so its tasks are
restarted only after its leases have expired. The list of machines arrives by another path, from the
service that manages the machines. An executor that is on no machine that is up does not run
anything any more.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from vanillawell.state.executors import Executor

MAX_LIST_LAG = 2.0
"""Seconds after which a running executor is certainly listed; the list may lag behind."""

MIN_LISTED_PART = 0.75
"""Part of the responding executors that a list must contain before it is used as evidence that
others have ended."""


@dataclass(slots=True)
class LostExecutors:
    """Unconfirmed executors that one version of the list shows to be lost."""

    terminated: list[Executor] = field(default_factory=list)
    """Executors whose machines are listed as not up, or with another executor."""

    missing: list[Executor] = field(default_factory=list)
    """Executors on no listed machine whose registrations are gone, too. Their machines may have
    been removed, or the list may be incomplete."""


def unconfirmed_executors(executors: Iterable[Executor], now: float) -> list[Executor]:
    """Return the executors with runs that are unconfirmed and should be listed by now.

    These are unresponsive, or have not reported since this process became the owner.
    """
    return [
        item
        for item in executors
        if item.runs and item.is_unconfirmed and now > item.tracked_since + MAX_LIST_LAG
    ]


def find_lost_executors(
    executors: Collection[Executor], executor_by_machine: Mapping[str, str], requested_at: float
) -> LostExecutors:
    """Find the executors lost according to a list that was requested at `requested_at`.

    `executor_by_machine` maps each listed machine to its executor, or to an empty string if the
    machine is not up.
    """
    running = set(executor_by_machine.values())
    found = LostExecutors()
    if not is_list_credible(executors, running, requested_at):
        return found
    is_whole = not find_unlisted(executors, executor_by_machine, requested_at)
    for executor in unconfirmed_executors(executors, requested_at):
        if executor.name in running:
            continue
        if executor.facts.machine in executor_by_machine:
            found.terminated.append(executor)
        elif is_whole and not executor.registered:
            found.missing.append(executor)
    return found


def find_unlisted(
    executors: Iterable[Executor], executor_by_machine: Mapping[str, str], requested_at: float
) -> list[Executor]:
    """Return the registered executors whose machines should be listed by now and are not.

    Registrations come from the store, so while there are any such executors the list is incomplete,
    or they have ended too recently for their registrations to be gone.
    """
    return [
        item
        for item in executors
        if item.registered
        and requested_at > item.tracked_since + MAX_LIST_LAG
        and item.facts.machine not in executor_by_machine
    ]


def is_list_credible(
    executors: Iterable[Executor], running: Collection[str], requested_at: float
) -> bool:
    """Return whether a list contains at least `MIN_LISTED_PART` of the responding executors.

    Executors that may have started after the list was made are ignored, unless there are no others.
    """
    responding = [item for item in executors if item.registered and not item.is_unconfirmed]
    long_tracked = [item for item in responding if requested_at > item.tracked_since + MAX_LIST_LAG]
    confirmed = long_tracked or responding
    listed_count = sum(item.name in running for item in confirmed)
    return bool(listed_count) and listed_count >= MIN_LISTED_PART * len(confirmed)
