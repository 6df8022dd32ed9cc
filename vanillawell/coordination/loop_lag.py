"""Log when the event loop of this process lags behind."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.25
"""Seconds between two checks."""

LAG_THRESHOLD = 0.1
"""Seconds by which a check has to be late to be logged; most calls take a few milliseconds."""


def _ignore(_late: float, _now: float) -> None:
    """Do nothing with a late check but log it."""


async def monitor(name: str, on_late: Callable[[float, float], None] = _ignore) -> None:
    """Log each check that runs late, since then all tasks of this process do.

    `on_late` is called with the seconds by which it was late and the present time.
    """
    while True:
        began = clock.read()
        await anyio.sleep(CHECK_INTERVAL)
        now = clock.read()
        late = now - began - CHECK_INTERVAL
        if late > LAG_THRESHOLD:
            on_late(late, now)
            log.warning("process behind", extra={"while": name, "late": round(late, 3)})
