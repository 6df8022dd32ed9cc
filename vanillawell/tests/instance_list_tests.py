"""Test how often the platform's instance list is read."""

from __future__ import annotations

from typing import Any

import anyio

from vanillawell.coordination.instance_list import InstanceListCache
from vanillawell.protocol.platform_calls import InstanceList


class CountingPlatform:
    """Return a list of a given size and count the requests."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.requests = 0

    async def instances(self) -> InstanceList:
        self.requests += 1
        return InstanceList(frozenset(["a"]), 0.5, self._size)


def test_a_large_list_is_cached_and_its_age_includes_the_time_in_the_cache() -> None:
    """Reading a list of 80 KB twice a second would take 160 KB/s; the budget is 4 KB/s."""
    platform: Any = CountingPlatform(80_000)
    cache = InstanceListCache(platform)

    async def run_script() -> list[float]:
        return [(await cache.current(float(now))).age for now in range(120)]

    ages = anyio.run(run_script)
    assert platform.requests == 3
    assert max(ages) == 39.5


def test_a_small_list_is_read_at_every_poll() -> None:
    platform: Any = CountingPlatform(700)
    cache = InstanceListCache(platform)

    async def run_script() -> None:
        for now in range(20):
            await cache.current(now / 2)

    anyio.run(run_script)
    assert platform.requests == 20
