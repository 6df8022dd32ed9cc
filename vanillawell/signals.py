"""Handle the signals of a process until it exits, so that none ends it early."""

from __future__ import annotations

import asyncio
import logging
import math
import signal
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock

if TYPE_CHECKING:
    from types import FrameType

    from anyio.abc import TaskStatus

log = logging.getLogger(__name__)

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that are handled; by default, each of them would end the process at once."""


async def handle_signals(
    stop: anyio.Event, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Handle signals until cancelled, and set `stop` when a planned stop is requested.

    A stopping process serves for some seconds more, during which further signals may arrive.
    Once this task is cancelled the process only has to exit, so signals are ignored from then on.

    The handlers are installed with `signal.signal` and replaced directly by `SIG_IGN`. A receiver
    of the event loop would restore the default action as it closes, and a signal that arrives
    before the next line would terminate the process.
    """
    loop = asyncio.get_running_loop()
    arrived, signals = anyio.create_memory_object_stream[signal.Signals](math.inf)

    def forward(number: int, _frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(arrived.send_nowait, signal.Signals(number))

    for handled in HANDLED_SIGNALS:
        signal.signal(handled, forward)
    with arrived, signals:
        try:
            task_status.started()
            async for received in signals:
                _handle(received, stop)
        finally:
            for handled in HANDLED_SIGNALS:
                signal.signal(handled, signal.SIG_IGN)


def _handle(received: signal.Signals, stop: anyio.Event) -> None:
    """Handle one signal; a reload needs no action, since everything that may change is watched."""
    if received is signal.SIGHUP:
        log.info("reload requested", extra={"outcome": "no setting can change at run time"})
    elif stop.is_set():
        log.info("stop requested", extra={"outcome": "already stopping"})
    else:
        log.info("stop requested", extra={"clock": clock.read()})
        stop.set()
