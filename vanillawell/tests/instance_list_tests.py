"""Check how often the platform's list is read."""

from __future__ import annotations

from typing import Any

import anyio

from vanillawell.coordination.instance_list import InstanceListCache
from vanillawell.protocol.platform_calls import InstanceList


class CountingPlatform:
    """Return a list of a given size and count how often it was asked."""

    def __init__(self, size: int) -> None:
        self._size = size
        self.asked = 0

    async def instances(self) -> InstanceList:
        self.asked += 1
        return InstanceList(frozenset(["a"]), 0.5, self._size)


def test_a_large_list_is_read_seldom_and_its_age_counts_on() -> None:
    """A list of 80 KB read twice a second would cost 160 KB/s, where 4 KB/s are allowed."""
    platform: Any = CountingPlatform(80_000)
    copy = InstanceListCache(platform)

    async def play() -> list[float]:
        return [(await copy.current(float(now))).age for now in range(120)]

    ages = anyio.run(play)
    assert platform.asked == 3
    assert max(ages) == 39.5


def test_a_small_list_is_read_at_every_look() -> None:
    platform: Any = CountingPlatform(700)
    copy = InstanceListCache(platform)

    async def play() -> None:
        for now in range(20):
            await copy.current(now / 2)

    anyio.run(play)
    assert platform.asked == 20
