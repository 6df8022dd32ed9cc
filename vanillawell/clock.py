"""Read the clock that every decision is timed by."""

from __future__ import annotations

import time


def read() -> float:
    """Return seconds that never jump and also pass while the machine is suspended.

    The wall clock may be set back, and the plain monotonic clock stops during a suspension; a
    lease judged by either could seem valid after others may have taken it over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
