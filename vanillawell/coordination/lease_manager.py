"""Decide whose leases an owner extends, and keep for its successors how long the others may hold.

An executor that answers nothing may run its tasks until its leases have expired. Only its owner
knows when that is, and owners come and go: a successor that reckoned with the longest time from
its own start would begin the wait anew, and a lasting task stays away for as long as owners are
replaced. So the bound is stored, and an executor that the document names as silent gets no lease
extended before the store holds a newer document without it.
"""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.coordination.leases import REFERENCE_CLOCKS, min_elapsed
from vanillawell.protocol.lease_bounds import ExecutorBound, LeaseBounds
from vanillawell.protocol.store import Put
from vanillawell.state.ledger import InheritedLeaseBound

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.coordination.leases import ExecutorClocks
    from vanillawell.state.executors import Executor

log = logging.getLogger(__name__)

STORED_BOUND_MARGIN = 0.1
"""Seconds added to a stored bound."""

PASSED_ON = 0.01
"""Seconds of these that a bound keeps with each owner that passes it on; clocks are read in whole
milliseconds."""

CONTACT_BOUND = 0.5
"""Seconds after loading a shard in which executors that live should have reported."""

NAMES_LOGGED = 5
"""Executors named in one log line."""


@dataclass(frozen=True, slots=True)
class _Draft:
    """A document whose write was begun and is not known to be stored."""

    silent: frozenset[str]
    last: bool
    """Whether it is the last word of an owner that hands over."""


class LeaseManager:
    """Say for one term which leases may be extended, and what is stored of the others."""

    def __init__(
        self,
        key: str,
        token: int,
        former: LeaseBounds,
        longest_doubt: float,
        clocks: ExecutorClocks,
    ) -> None:
        """Take the fencing token, what the former owner left, and the seconds for which an executor
        of which nothing is stored may hold leases."""
        self._key = key
        self._token = token
        self._former = former
        self._longest_doubt = longest_doubt
        self._clocks = clocks
        self._began: float | None = None
        """Clock of decisions at which the work of former terms was known."""
        self._stored = frozenset(former.silent)
        self._drafts: list[_Draft] = []
        self._handed_over = False

    @property
    def is_handed_over(self) -> bool:
        """Tell whether the last word is stored."""
        return self._handed_over

    def begin(self, now: float) -> None:
        """Note that the work of former terms is known, and executors are asked from now on."""
        self._began = now

    def recalled_bound(self, executor: str, now: float) -> InheritedLeaseBound:
        """Return what is known of an executor from former terms, on this process's clock.

        Nothing is known yet of the time that has passed since it was stored.
        """
        bound = self._former.of(executor)
        if bound is None:
            return InheritedLeaseBound(now + self._longest_doubt, now)
        return InheritedLeaseBound(
            now + bound.left + STORED_BOUND_MARGIN, now - bound.known_for, bound.machine, bound.life
        )

    def count_time_passed(self, executors: Iterable[Executor], now: float) -> None:
        """Shorten former bounds by the time that has surely passed since they were stored."""
        unreached = [item for item in executors if item.runs and not item.contacted]
        if not unreached:
            return
        passed = min_elapsed(self._former.clocks, self._clocks.lower_bound(now))
        for executor in unreached:
            bound = self._former.of(executor.name)
            if bound is not None:
                over = now + max(0.0, bound.left - passed) + STORED_BOUND_MARGIN
                executor.lease_expires_at = min(executor.lease_expires_at, over)

    def may_extend(self, executor: str) -> bool:
        """Tell whether leases of an executor may be extended."""
        if self._handed_over or any(draft.last for draft in self._drafts):
            return False
        return executor not in self._stored and not any(
            executor in draft.silent for draft in self._drafts
        )

    def wants_write(self, executors: Iterable[Executor], now: float) -> bool:
        """Tell whether the stored document has to change without waiting for another write.

        Executors that run nothing any more may stay in it for a while. A write of unknown outcome
        has to be replaced: until then no lease that it names is extended.
        """
        if self._began is None:
            return False
        if self._drafts:
            return True
        charged = [item for item in executors if item.runs]
        silent = {item.name for item in charged if self._is_silent(item, now)}
        regained = any(item.name in self._stored - silent for item in charged)
        return regained or not silent <= self._stored

    def draft(
        self,
        executors: Iterable[Executor],
        now: float,
        last: bool = False,
        unanswered: frozenset[str] = frozenset(),
    ) -> Put | None:
        """Return what the next write has to contain; None if the stored document is right.

        Executors that left a call `unanswered` are named as silent though it may be too early.
        There must be one write at a time; `confirm` follows once it is stored.
        """
        if self._handed_over:
            return None
        if self._began is None:
            return self._pass_on() if last else None
        known = list(executors)
        if last and not any(item.contacted for item in known):
            return self._pass_on()
        charged = [item for item in known if item.runs]
        silent = {
            item.name: self._bound(item, now)
            for item in charged
            if item.name in unanswered or self._is_silent(item, now)
        }
        if not last and not self._drafts and self._stored == silent.keys():
            return None
        others = {item.name: self._bound(item, now) for item in charged if item.name not in silent}
        clocks = itertools.islice(self._clocks.upper_bound(now).items(), REFERENCE_CLOCKS)
        document = LeaseBounds(self._token, silent, others if last else {}, dict(clocks))
        return self._begin_write(document, last)

    def _pass_on(self) -> Put:
        """Return what an owner leaves that has extended no lease: all that it found itself.

        That goes for one to which no executor has reported, too. Bounds written anew without clocks
        would begin again where they were as it took over.
        """
        found = self._former
        document = LeaseBounds(self._token, found.silent, found.handed_over, found.clocks)
        return self._begin_write(document, last=True)

    def _begin_write(self, document: LeaseBounds, last: bool) -> Put:
        self._drafts.append(_Draft(frozenset(document.silent), last))
        self._log(document)
        return Put(self._key, document.to_bytes())

    def confirm(self) -> bool:
        """Take in that the latest draft is stored, if there was one; earlier ones are replaced.

        Tells whether there was one, since what may be extended has changed then.
        """
        if not self._drafts:
            return False
        latest = self._drafts[-1]
        self._stored, self._handed_over = latest.silent, latest.last
        self._drafts.clear()
        return True

    def take_back(self) -> None:
        """Take in that the latest draft is not stored, and never will be."""
        self._drafts.pop()

    def _is_silent(self, executor: Executor, now: float) -> bool:
        """Tell whether an executor is out of touch, and not just about to report to a new owner.

        Named too early, one that is sound would be renewed only after two more writes.
        """
        if executor.contacted:
            return executor.unresponsive_since is not None
        late = self._began is not None and now > self._began + CONTACT_BOUND
        return late or executor.name in self._stored

    def _log(self, document: LeaseBounds) -> None:
        lefts = [bound.left for bound in document.silent.values()]
        fields = {
            "token": self._token,
            "silent": len(lefts),
            "longest": round(max(lefts, default=0.0), 3),
            "executors": sorted(document.silent)[:NAMES_LOGGED],
            "handed_over": len(document.handed_over),
        }
        log.info("lease bounds written", extra=fields)

    def _bound(self, executor: Executor, now: float) -> ExecutorBound:
        """Return what to store of an executor; a bound that was only found grows no more by it."""
        facts = executor.facts
        is_found = not executor.contacted and self._former.of(executor.name) is not None
        added = STORED_BOUND_MARGIN - PASSED_ON if is_found else 0.0
        left, known_for = executor.lease_expires_at - now - added, now - executor.tracked_since
        return ExecutorBound(max(0.0, left), known_for, facts.machine, facts.incarnation)
