"""Prove that a process that was asked to stop serves until it ends by itself.

Until then callers that were sent to it get their answers, and the shard is handed over.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest

from vanillawell.tests.platform_process import PlatformProcess, settings

if TYPE_CHECKING:
    from pathlib import Path

START = 20.0
"""Seconds that a start may take on a busy machine."""


def test_a_planned_stop_ends_by_itself(tmp_path: Path) -> None:
    """Killed by the platform instead, the entry would leave without its last words."""
    with PlatformProcess(settings(tmp_path)) as process:
        process.wait_for("started", START)
        process.send(signal.SIGTERM)
        assert process.end(START) == 0
        assert process.has_logged("stopped")


@pytest.mark.parametrize("second", [signal.SIGHUP, signal.SIGTERM], ids=lambda item: item.name)
def test_a_signal_during_a_planned_stop_does_not_break_it_off(tmp_path: Path, second: int) -> None:
    """The settings change, or the stop is asked for again, while an entry that is stopping still
    serves. Ended at once, it would leave requests that it has read without an answer, and a shard
    that it owns to its lease."""
    with PlatformProcess(settings(tmp_path)) as process:
        process.wait_for("started", START)
        process.send(signal.SIGTERM)
        process.wait_for("stop requested", START)
        process.send(second)
        assert process.end(START) == 0
        assert process.has_logged("stopped")
