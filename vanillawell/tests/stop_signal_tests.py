"""Prove that a process that was asked to stop serves until it ends by itself.

Until then callers that were sent to it get their answers, and the shard is handed over.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from typing import TYPE_CHECKING

import pytest

from vanillawell.standins.processes import wait_until
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import running_fleet, send_one
from vanillawell.tests.platform_process import PlatformProcess, settings

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle
    from vanillawell.tests.caller import Reply

START = 20.0
"""Seconds that a start may take on a busy machine."""

LATER = [signal.SIGHUP, signal.SIGTERM]
"""Signals that come while a process stops already."""


def test_settings_that_change_while_an_entry_loads_do_not_end_it(tmp_path: Path) -> None:
    """A process is told of new settings while it still loads its libraries, for tenths of a second
    on a small machine. Ended by that, it would count as one that fails, and be started once more.
    """
    with PlatformProcess(settings(tmp_path)) as process:
        wait_until(lambda: process.has_loaded("pydantic_core"), "libraries are being loaded")
        assert not process.has_logged("started")
        process.send(signal.SIGHUP)
        process.wait_for("started", START)


def test_settings_that_change_before_an_entry_has_read_them_do_not_end_it(tmp_path: Path) -> None:
    """The last moment before a process takes signals in: it waits for the file with its settings,
    which hands over what it holds only after the signal."""
    written = settings(tmp_path)
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    with PlatformProcess(pipe) as process:
        with pipe.open("w") as writer:  # which waits for the process to open it, too
            process.send(signal.SIGHUP)
            writer.write(written.read_text())
        process.wait_for("started", START)
        process.send(signal.SIGHUP)
        process.wait_for("reload requested", START)


def test_a_planned_stop_ends_by_itself(tmp_path: Path) -> None:
    """Killed by the platform instead, the entry would leave without its last words."""
    with PlatformProcess(settings(tmp_path)) as process:
        process.wait_for("started", START)
        process.send(signal.SIGTERM)
        assert process.end(START) == 0
        assert process.has_logged("stopped")


@pytest.mark.parametrize("second", LATER, ids=lambda item: item.name)
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


def test_signals_to_the_very_end_leave_a_planned_stop_its_course(tmp_path: Path) -> None:
    """Signals go on coming until the process is gone, also after it has said that it has stopped.
    One that ended it in its last moments would make a planned end look like a failure."""
    with PlatformProcess(settings(tmp_path, grace_s=0.4)) as process:
        process.wait_for("started", START)
        process.send(signal.SIGTERM)
        sent = 0
        while process.is_running():
            process.send(LATER[sent % 2])
            sent += 1
            time.sleep(0.002)
        assert process.end(START) == 0
        assert process.has_logged("stopped")
        assert process.has_logged("reload requested")
        assert process.has_logged("already stopping")


@pytest.mark.parametrize("second", LATER, ids=lambda item: item.name)
def test_a_signal_during_the_daemons_planned_stop_cuts_no_request(
    tmp_path: Path, second: signal.Signals
) -> None:
    """The daemon is asked to stop while a request runs, and told once more, or of new settings.
    Ended at once, it would cut the request and leave its units and its lease to their terms."""
    timing = {"stop_notice": 0.5, "longest_request": 10.0}
    with running_fleet(tmp_path, timing=timing) as fleet:
        entry = fleet.entries["entry-1-1"]
        wait_until(lambda: send_one(entry, Call()).status == 200, "it serves")
        entry.process.signal(signal.SIGHUP)
        wait_until(lambda: "reload requested" in entry.process.log_text, "it goes on")
        replies: list[Reply] = []
        call = Call(run_seconds=2.0, timeout=5.0)
        caller = threading.Thread(target=lambda: replies.append(send_one(entry, call)))
        caller.start()
        wait_until(lambda: _running(entry) == 1, "the request runs")
        entry.process.signal(signal.SIGTERM)
        wait_until(lambda: not entry.ready, "it stops")
        entry.process.signal(second)
        caller.join()
        assert [reply.status for reply in replies] == [200]
        assert entry.process.wait() == 0


def _running(entry: EntryHandle) -> int:
    return sum(item["running"] for item in entry.status()["organisations"].values())
