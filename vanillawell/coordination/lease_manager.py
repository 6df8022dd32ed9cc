"""Decide which executors' leases an owner extends, and store bounds on the others for successors.

An executor that does not answer may run its tasks until its leases have expired. That time is known
only to the owner. If each new owner assumed the longest possible lease from its own start, the wait
would begin again with every change of owner, and a long-running task would not be restarted for as
long as owners keep changing. So the owner stores a bound for each unresponsive executor, and
does not extend the leases of an executor that the stored document lists as silent until the store
holds a newer document without it.
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
"""Seconds added to a stored bound, for rounding."""

INHERITED_BOUND_MARGIN = 0.01
"""Seconds of `STORED_BOUND_MARGIN` that an owner adds when it stores a bound that it inherited,
since clocks are read in whole milliseconds."""

FIRST_CONTACT_TIMEOUT = 0.5
"""Seconds after loading a shard within which running executors should have reported."""

MAX_LOGGED_NAMES = 5
"""Executors named in one log line."""


@dataclass(frozen=True, slots=True)
class _Draft:
    """A document whose write was begun and is not confirmed."""

    silent: frozenset[str]
    final: bool
    """Whether it is the final lease document of an owner that hands over."""


class LeaseManager:
    """Decide for one term which leases may be extended, and draft the lease bounds to store."""

    def __init__(
        self,
        key: str,
        token: int,
        inherited: LeaseBounds,
        max_inherited_lease: float,
        clocks: ExecutorClocks,
    ) -> None:
        """Create a manager for one term.

        Args:
            key: Key of the lease bounds in the store.
            token: Fencing token of the term.
            inherited: Bounds that the previous owner stored.
            max_inherited_lease: Seconds for which an executor without a stored bound may hold
                leases.
            clocks: Monotonic clocks of the executors.
        """
        self._key = key
        self._token = token
        self._inherited = inherited
        self._max_inherited_lease = max_inherited_lease
        self._clocks = clocks
        self._loaded_at: float | None = None
        """Time of `clock.read` at which the work of previous terms was loaded; None before."""
        self._stored = frozenset(inherited.silent)
        self._drafts: list[_Draft] = []
        self._handed_over = False

    @property
    def is_handed_over(self) -> bool:
        """Return whether the final lease document is stored."""
        return self._handed_over

    def begin(self, now: float) -> None:
        """Record that the shard is loaded and executors are contacted from now on."""
        self._loaded_at = now

    def inherited_bound(self, executor: str, now: float) -> InheritedLeaseBound:
        """Return the bound of an executor inherited from previous terms, on this process's clock.

        The time that has passed since it was stored is not known yet, and not subtracted.
        """
        bound = self._inherited.of(executor)
        if bound is None:
            return InheritedLeaseBound(now + self._max_inherited_lease, now)
        return InheritedLeaseBound(
            now + bound.left + STORED_BOUND_MARGIN, now - bound.known_for, bound.machine, bound.life
        )

    def subtract_elapsed_time(self, executors: Iterable[Executor], now: float) -> None:
        """Shorten inherited bounds by the minimum time that has passed since they were stored."""
        unreached = [item for item in executors if item.runs and not item.contacted]
        if not unreached:
            return
        passed = min_elapsed(self._inherited.clocks, self._clocks.lower_bound(now))
        for executor in unreached:
            bound = self._inherited.of(executor.name)
            if bound is not None:
                over = now + max(0.0, bound.left - passed) + STORED_BOUND_MARGIN
                executor.lease_expires_at = min(executor.lease_expires_at, over)

    def may_extend(self, executor: str) -> bool:
        """Return whether leases of an executor may be extended."""
        if self._handed_over or any(draft.final for draft in self._drafts):
            return False
        return executor not in self._stored and not any(
            executor in draft.silent for draft in self._drafts
        )

    def needs_write(self, executors: Iterable[Executor], now: float) -> bool:
        """Return whether the stored document has to change without waiting for another write.

        Executors that no longer run anything may stay in it until the next write. A write of
        unknown outcome has to be replaced, since until then no lease that it lists may be extended.
        """
        if self._loaded_at is None:
            return False
        if self._drafts:
            return True
        busy = [item for item in executors if item.runs]
        silent = {item.name for item in busy if self._is_silent(item, now)}
        regained = any(item.name in self._stored - silent for item in busy)
        return regained or not silent <= self._stored

    def draft(
        self,
        executors: Iterable[Executor],
        now: float,
        final: bool = False,
        unanswered: frozenset[str] = frozenset(),
    ) -> Put | None:
        """Return the document for the next write; None if the stored one is up to date.

        Only one write may be in progress at a time; `confirm` has to follow once it is stored.

        Args:
            executors: All executors of the shard.
            now: Time of `clock.read`.
            final: Whether the owner hands over and will extend no more leases.
            unanswered: Executors that left a call unanswered. They are listed as silent even if
                they are not considered unresponsive yet.
        """
        if self._handed_over:
            return None
        if self._loaded_at is None:
            return self._draft_inherited() if final else None
        all_executors = list(executors)
        if final and not any(item.contacted for item in all_executors):
            return self._draft_inherited()
        busy = [item for item in all_executors if item.runs]
        silent = {
            item.name: self._bound(item, now)
            for item in busy
            if item.name in unanswered or self._is_silent(item, now)
        }
        if not final and not self._drafts and self._stored == silent.keys():
            return None
        others = {item.name: self._bound(item, now) for item in busy if item.name not in silent}
        clocks = itertools.islice(self._clocks.upper_bound(now).items(), REFERENCE_CLOCKS)
        document = LeaseBounds(self._token, silent, others if final else {}, dict(clocks))
        return self._begin_write(document, final)

    def _draft_inherited(self) -> Put:
        """Return the inherited bounds unchanged, for an owner that has extended no lease.

        This includes an owner to which no executor has reported: new bounds without clock readings
        would start again at their values at the take-over.
        """
        bounds = self._inherited
        document = LeaseBounds(self._token, bounds.silent, bounds.handed_over, bounds.clocks)
        return self._begin_write(document, final=True)

    def _begin_write(self, document: LeaseBounds, final: bool) -> Put:
        self._drafts.append(_Draft(frozenset(document.silent), final))
        self._log(document)
        return Put(self._key, document.to_bytes())

    def confirm(self) -> bool:
        """Record that the latest draft is stored and replaces earlier ones.

        Returns:
            Whether there was a draft, in which case the set of leases that may be extended may have
            changed.
        """
        if not self._drafts:
            return False
        latest = self._drafts[-1]
        self._stored, self._handed_over = latest.silent, latest.final
        self._drafts.clear()
        return True

    def discard_draft(self) -> None:
        """Record that the latest draft is not stored and never will be."""
        self._drafts.pop()

    def _is_silent(self, executor: Executor, now: float) -> bool:
        """Return whether an executor is unresponsive, rather than about to report to a new owner.

        A healthy executor that is listed as silent too early is renewed only after two more writes.
        """
        if executor.contacted:
            return executor.unresponsive_since is not None
        late = self._loaded_at is not None and now > self._loaded_at + FIRST_CONTACT_TIMEOUT
        return late or executor.name in self._stored

    def _log(self, document: LeaseBounds) -> None:
        remaining = [bound.left for bound in document.silent.values()]
        fields = {
            "token": self._token,
            "silent": len(remaining),
            "longest": round(max(remaining, default=0.0), 3),
            "executors": sorted(document.silent)[:MAX_LOGGED_NAMES],
            "handed_over": len(document.handed_over),
        }
        log.info("lease bounds written", extra=fields)

    def _bound(self, executor: Executor, now: float) -> ExecutorBound:
        """Return the bound to store for an executor; an inherited bound is not extended again."""
        facts = executor.facts
        is_inherited = not executor.contacted and self._inherited.of(executor.name) is not None
        added = STORED_BOUND_MARGIN - INHERITED_BOUND_MARGIN if is_inherited else 0.0
        left, known_for = executor.lease_expires_at - now - added, now - executor.tracked_since
        return ExecutorBound(max(0.0, left), known_for, facts.machine, facts.incarnation)
