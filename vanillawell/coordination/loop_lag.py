"""Tell in the log when this process can't keep up with its work."""

from __future__ import annotations

import logging

import anyio

from vanillawell import clock

log = logging.getLogger(__name__)

INTERVAL = 0.25
"""Seconds between two looks."""

LATE = 0.1
"""Seconds by which a look must come late to be told; calls take a few milliseconds."""


async def watch(name: str) -> None:
    """Log each look that comes late, since then everything in this process does."""
    while True:
        began = clock.read()
        await anyio.sleep(INTERVAL)
        late = clock.read() - began - INTERVAL
        if late > LATE:
            log.warning("process behind", extra={"while": name, "late": round(late, 3)})
