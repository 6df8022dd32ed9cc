"""Test that signals during the start or a planned stop do not terminate a process.

Until a stopping process exits by itself, it answers its callers and hands over its shard.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from vanillawell import signals
from vanillawell.standins.processes import wait_until
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import running_fleet, send_one
from vanillawell.tests.platform_process import PlatformProcess, write_settings

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle
    from vanillawell.tests.caller import Reply

START_TIMEOUT = 20.0
"""Seconds to wait for a start or an exit on a busy machine."""

STOPPING_SIGNALS = [signal.SIGHUP, signal.SIGTERM]
"""Signals that arrive while a process is already stopping."""


def test_a_reload_while_libraries_are_loaded_does_not_terminate_the_process(tmp_path: Path) -> None:
    """SIGHUP announces new settings while the process still loads its libraries, which takes tenths
    of a second on a small machine. If it terminated the process, that would count as a failure
    and cause another start."""
    with PlatformProcess(write_settings(tmp_path)) as process:
        wait_until(lambda: process.has_loaded("pydantic_core"), "libraries are being loaded")
        assert not process.has_logged("started")
        process.send(signal.SIGHUP)
        process.wait_for("started", START_TIMEOUT)


def test_a_reload_before_the_settings_are_read_does_not_terminate_the_process(
    tmp_path: Path,
) -> None:
    """SIGHUP arrives at the last moment before the process handles signals, while it waits for its
    settings file: a pipe that is written to only after the signal."""
    written = write_settings(tmp_path)
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    with PlatformProcess(pipe) as process:
        with pipe.open("w") as writer:  # blocks until the process opens the pipe
            process.send(signal.SIGHUP)
            writer.write(written.read_text())
        process.wait_for("started", START_TIMEOUT)
        process.send(signal.SIGHUP)
        process.wait_for("reload requested", START_TIMEOUT)


def test_a_planned_stop_exits_with_status_0(tmp_path: Path) -> None:
    """If the platform had to kill the entry, it would terminate without its final reports."""
    with PlatformProcess(write_settings(tmp_path)) as process:
        process.wait_for("started", START_TIMEOUT)
        process.send(signal.SIGTERM)
        assert process.wait_for_exit(START_TIMEOUT) == 0
        assert process.has_logged("stopped")


@pytest.mark.parametrize("second", STOPPING_SIGNALS, ids=lambda item: item.name)
def test_a_signal_during_a_planned_stop_does_not_abort_it(tmp_path: Path, second: int) -> None:
    """SIGHUP or another SIGTERM arrives while a stopping entry still serves. If the entry exited at
    once, requests that it has read would get no answer, and a shard that it owns would stay
    locked until its lease expires."""
    with PlatformProcess(write_settings(tmp_path)) as process:
        process.wait_for("started", START_TIMEOUT)
        process.send(signal.SIGTERM)
        process.wait_for("stop requested", START_TIMEOUT)
        process.send(second)
        assert process.wait_for_exit(START_TIMEOUT) == 0
        assert process.has_logged("stopped")


def test_signals_until_the_exit_do_not_abort_a_planned_stop(tmp_path: Path) -> None:
    """Signals keep arriving until the process has exited, also after it has logged its stop. One
    that terminated it in its last moments would make a planned stop look like a failure."""
    with PlatformProcess(write_settings(tmp_path, grace_s=0.4)) as process:
        process.wait_for("started", START_TIMEOUT)
        process.send(signal.SIGTERM)
        sent = 0
        while process.is_running():
            process.send(STOPPING_SIGNALS[sent % 2])
            sent += 1
            time.sleep(0.002)
        assert process.wait_for_exit(START_TIMEOUT) == 0
        assert process.has_logged("stopped")
        assert process.has_logged("reload requested")
        assert process.has_logged("already stopping")


def test_the_default_action_is_not_restored_at_the_end_of_a_planned_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A process that stops handles no more signals, and one arrives at that moment. If its default
    action were in force between the two settings, the signal would terminate the process."""
    before = {number: signal.getsignal(number) for number in signals.HANDLED_SIGNALS}
    set_action = signal.signal
    replaced = []

    def record(number: int, action: Any) -> Any:
        previous = set_action(number, action)
        if action is signal.SIG_IGN:
            replaced.append(previous)
        return previous

    async def handle_until_cancelled() -> None:
        async with anyio.create_task_group() as tasks:
            await tasks.start(signals.handle_signals, anyio.Event())
            monkeypatch.setattr(signal, "signal", record)
            tasks.cancel_scope.cancel()

    try:
        anyio.run(handle_until_cancelled)
    finally:
        monkeypatch.undo()
        for number, action in before.items():
            signal.signal(number, action)
    assert len(replaced) == len(signals.HANDLED_SIGNALS)
    assert not {signal.SIG_DFL, signal.default_int_handler}.intersection(replaced)


@pytest.mark.parametrize("second", STOPPING_SIGNALS, ids=lambda item: item.name)
def test_a_signal_during_the_daemons_planned_stop_aborts_no_request(
    tmp_path: Path, second: signal.Signals
) -> None:
    """The daemon gets SIGTERM while a request runs, and then SIGHUP or another SIGTERM. If it
    terminated at once, it would abort the request and hold its units and its lease until they
    expire."""
    timing = {"stop_notice": 0.5, "longest_request": 10.0}
    with running_fleet(tmp_path, timing=timing) as fleet:
        entry = fleet.entries["entry-1-1"]
        wait_until(lambda: send_one(entry, Call()).status == 200, "the entry serves")
        entry.process.signal(signal.SIGHUP)
        wait_until(
            lambda: "reload requested" in entry.process.log_text, "the entry logs the reload"
        )
        replies: list[Reply] = []
        call = Call(run_seconds=2.0, timeout=5.0)
        caller = threading.Thread(target=lambda: replies.append(send_one(entry, call)))
        caller.start()
        wait_until(lambda: _running_requests(entry) == 1, "the request runs")
        entry.process.signal(signal.SIGTERM)
        wait_until(lambda: not entry.ready, "the entry is no longer ready")
        entry.process.signal(second)
        caller.join()
        assert [reply.status for reply in replies] == [200]
        assert entry.process.wait() == 0


def _running_requests(entry: EntryHandle) -> int:
    return sum(item["running"] for item in entry.status()["organisations"].values())
