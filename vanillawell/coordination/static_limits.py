"""Divide limits evenly and statically between entries, as a baseline for measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.coordination.membership import Membership
    from vanillawell.state.policy import Policy


class StaticLimits:
    """Give each entry a fixed, even part of each limit."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._limits: dict[str, int] = {}

    def configure(self, policy: Policy) -> None:
        """Apply a configuration."""
        self._limits = {
            name: organisation.limit for name, organisation in policy.organisations.items()
        }

    def usable(self, organisation: str, now: float) -> int:
        """Return this entry's part; the remainder goes to the first entries by name."""
        entries = sorted(self._membership.members)
        part, rest = divmod(self._limits.get(organisation, 0), len(entries))
        return part + (entries.index(self._membership.me.instance) < rest)

    def handle_demand_change(self, organisation: str) -> None:
        """Do nothing: static limits do not depend on demand."""

    def can_acquire(self) -> bool:
        """Return False: static limits never change."""
        return False
