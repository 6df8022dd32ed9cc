"""Provide the clock by which all decisions are timed."""

from __future__ import annotations

import time


def read() -> float:
    """Return seconds of a monotonic clock that includes time in suspension.

    The wall clock may be set back, and the ordinary monotonic clock stops while the machine is
    suspended. By either of them, a lease could seem valid after others may have taken it over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
