"""Log when the event loop of this process lags behind."""

from __future__ import annotations

import logging

import anyio

from vanillawell import clock

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.25
"""Seconds between two checks."""

LAG_THRESHOLD = 0.1
"""Seconds by which a check has to be late to be logged; most calls take a few milliseconds."""


async def monitor(name: str) -> None:
    """Log each check that runs late, since then all tasks of this process do."""
    while True:
        began = clock.read()
        await anyio.sleep(CHECK_INTERVAL)
        late = clock.read() - began - CHECK_INTERVAL
        if late > LAG_THRESHOLD:
            log.warning("process behind", extra={"while": name, "late": round(late, 3)})
