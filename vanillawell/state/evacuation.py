"""Track the availability zones that operators have evacuated.

No new work is sent to an evacuated zone until the evacuation ends. Work that runs there goes on.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class EvacuatedZones:
    """The evacuated zones, each with the time of `clock.read` since which this process knows it."""

    _since: dict[str, float] = field(default_factory=dict)

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the evacuated zones."""
        return frozenset(self._since)

    def begin(self, zone: str, now: float) -> bool:
        """Record that a zone is evacuated; return whether that is new."""
        is_new = zone not in self._since
        self._since.setdefault(zone, now)
        return is_new

    def end(self, zone: str, now: float) -> float | None:
        """Record that the evacuation of a zone has ended.

        Returns:
            The seconds for which it was known; None if the zone was not evacuated.
        """
        since = self._since.pop(zone, None)
        return None if since is None else now - since
