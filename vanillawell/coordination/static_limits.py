"""Divide limits evenly between entries for good, as a baseline to measure against."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.coordination.membership import Membership
    from vanillawell.state.policy import Policy


class StaticLimits:
    """Give each entry an even part of each limit for good: the plain baseline."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._limits: dict[str, int] = {}

    def configure(self, policy: Policy) -> None:
        """Take over a configuration."""
        self._limits = {
            name: organisation.limit for name, organisation in policy.organisations.items()
        }

    def usable(self, organisation: str, now: float) -> int:
        """Return this entry's part, the remainder going to the first ones by name."""
        entries = sorted(self._membership.members)
        part, rest = divmod(self._limits.get(organisation, 0), len(entries))
        return part + (entries.index(self._membership.me.instance) < rest)

    def note_demand(self, organisation: str) -> None:
        """Take no notice."""

    def can_acquire(self) -> bool:
        """Tell that nothing ever moves."""
        return False
