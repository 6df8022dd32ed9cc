"""Cache the platform's list of instances; larger lists are read less often."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillawell.protocol.platform_calls import InstanceList, PlatformCalls

MAX_BYTES_PER_SECOND = 2000.0
"""Maximum average rate of reading the list; 80 KB for 4,000 instances are read every 40 s."""


class InstanceListCache:
    """The planner's cache of the instance list.

    The reported age includes the time in the cache as well as the platform's own lag, so the
    maximum age at which steps are begun applies to the sum of both.
    """

    def __init__(self, platform: PlatformCalls) -> None:
        self._platform = platform
        self._cached: InstanceList | None = None
        self._read_at = 0.0

    async def current(self, now: float) -> InstanceList:
        """Return the list with its current age; raise PlatformUnavailableError on failure."""
        if self._cached is None or now - self._read_at >= self._cached.size / MAX_BYTES_PER_SECOND:
            self._cached = await self._platform.instances()
            self._read_at = now
        return replace(self._cached, age=self._cached.age + now - self._read_at)
