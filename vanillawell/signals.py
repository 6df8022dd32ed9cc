"""Take the signals of a process from its start to its very end, so that none cuts it off."""

from __future__ import annotations

import logging
import signal
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

log = logging.getLogger(__name__)

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that are taken in; left alone, each of them would end the process at once."""


async def handle_signals(
    stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Take signals until cancelled, and set `stop` once a planned stop is asked for.

    A process that stops serves for seconds more, in which signals go on coming. Once this is
    cancelled nothing is left to be done but to exit, so they are ignored from then on.
    """
    try:
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            task_status.started()
            async for number in signals:
                _take(number, stop)
    finally:
        for followed in HANDLED_SIGNALS:
            signal.signal(followed, signal.SIG_IGN)


def _take(number: signal.Signals, stop: anyio.Event) -> None:
    """Take one signal; a reload needs nothing, since all that may change is followed."""
    if number is signal.SIGHUP:
        log.info("reload requested", extra={"outcome": "settings hold nothing that changes"})
    elif stop.is_set():
        log.info("stop requested", extra={"outcome": "already stopping"})
    else:
        log.info("stop requested", extra={"clock": clock.read()})
        stop.set()
