"""Decide which entries of the registry name executors to use.

Anybody may write there. An entry that names no executor changes nothing: it closes no runs, and an
executor whose entry it replaces stays as it was known.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from vanillawell.state.executors import ExecutorFacts

MAX_REMEMBERED = 1_000
"""Number of ignored entries that are remembered, so that each is logged only once."""


class IgnoredBecause(StrEnum):
    """Why an entry of the registry is ignored."""

    UNREADABLE = "unreadable"
    UNKNOWN_SERVICE = "unknown service"


class Registrations:
    """Entries of the registry that name no executor, or none yet."""

    def __init__(self) -> None:
        self._services: set[str] = set()
        """All services that a configuration or the queue of a job has named."""

        self._ignored: dict[str, IgnoredBecause] = {}
        """Present entries that are ignored, by executor id."""

        self._waiting: dict[str, ExecutorFacts] = {}
        """Complete entries of services that are not known so far, by executor id."""

        self._reported: dict[tuple[str, str], None] = {}
        """Entries reported as ignored, each with its reason, the oldest first."""

    def add_services(self, names: Iterable[str]) -> list[ExecutorFacts]:
        """Add services that are named; return the entries that name executors because of that.

        Services are never removed: the executors of a service that a newer configuration drops may
        still run tasks.
        """
        self._services.update(names)
        accepted = [item for item in self._waiting.values() if item.service in self._services]
        for item in accepted:
            self.remove(item.executor)
        return accepted

    def accept(self, facts: ExecutorFacts) -> bool:
        """Return whether a complete entry names an executor to use."""
        self.remove(facts.executor)
        if facts.service in self._services:
            return True
        self._ignored[facts.executor] = IgnoredBecause.UNKNOWN_SERVICE
        self._waiting[facts.executor] = facts
        return False

    def reject(self, name: str) -> None:
        """Record that the entry of an executor id cannot be read."""
        self._waiting.pop(name, None)
        self._ignored[name] = IgnoredBecause.UNREADABLE

    def remove(self, name: str) -> None:
        """Record that an entry was removed or replaced."""
        self._waiting.pop(name, None)
        self._ignored.pop(name, None)

    def retain(self, names: Collection[str]) -> None:
        """Record that there are no entries but those of `names`."""
        for name in self._ignored.keys() - set(names):
            self.remove(name)

    def is_first_report(self, name: str, reason: str) -> bool:
        """Return whether an entry is ignored for the first time for this reason.

        Most writers write their entry anew every second.
        """
        if (name, reason) in self._reported:
            return False
        if len(self._reported) >= MAX_REMEMBERED:
            del self._reported[next(iter(self._reported))]
        self._reported[name, reason] = None
        return True

    def count_ignored(self) -> Counter[IgnoredBecause]:
        """Return the number of present entries that are ignored, by reason."""
        return Counter(self._ignored.values())
