"""Keep the platform's list of instances, read as often as its size allows."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.protocol.platform_calls import InstanceList, PlatformCalls

BYTES_PER_SECOND = 2000.0
"""What reading the list may cost; 4,000 instances make some 80 KB, read every 40 s then."""


class InstanceListCache:
    """Own the planner's copy of the list.

    A copy only makes the list older than the platform's lag does already: its age counts on, so
    the bound beyond which no step is begun holds for both together.
    """

    def __init__(self, platform: PlatformCalls) -> None:
        self._platform = platform
        self._copy: InstanceList | None = None
        self._read_at = 0.0

    async def current(self, now: float) -> InstanceList:
        """Return the list with its present age; raises PlatformUnavailableError."""
        if self._copy is None or now - self._read_at >= self._copy.size / BYTES_PER_SECOND:
            self._copy = await self._platform.instances()
            self._read_at = now
        return replace(self._copy, age=self._copy.age + now - self._read_at)
