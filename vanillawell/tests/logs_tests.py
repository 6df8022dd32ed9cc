"""Test that the volume of logs is bounded and that logging never blocks the process."""

from __future__ import annotations

import logging
import os
import time

import pytest

from vanillawell.coordination import cycle_log
from vanillawell.logs import BUDGET, DROPPED_FIELD, LONGEST_QUEUE, BudgetFilter, JsonFormatter
from vanillawell.logs import NonBlockingHandler as Handler
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step


def _record(message: str) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "", 0, message, None, None)


def test_stalled_log_reader_does_not_block_the_process() -> None:
    """When the log collector hangs, lines are dropped and counted so that requests go on."""
    reader, writer = os.pipe()
    handler = Handler(writer)
    handler.setFormatter(JsonFormatter("entry-0"))
    started = time.monotonic()
    lines = 2 * LONGEST_QUEUE // 1_000
    for _ in range(lines):
        handler.emit(_record("x" * 1_000))
        handler.flush()
    assert time.monotonic() - started < 5.0
    assert handler.dropped > 0
    os.close(reader)
    handler.flush()
    os.close(writer)


def test_lines_over_the_budget_of_a_message_are_dropped_and_counted() -> None:
    budget = BudgetFilter(3)
    records = [_record("often") for _ in range(5)]
    for record in records:
        record.created = 100.5
    assert [budget.filter(record) for record in records] == [True, True, True, False, False]
    other = _record("rare")
    other.created = 100.6
    assert budget.filter(other)
    later = _record("often")
    later.created = 101.5
    assert budget.filter(later)
    assert getattr(later, DROPPED_FIELD) == 2
    assert budget.dropped == 2


def test_all_task_starts_of_a_peak_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    """The owner of a large pool starts a thousand tasks within a second.

    With one line for each task, those over the log budget would be missing, and late jobs of the
    peak could not be explained.
    """
    wide = job(step(1_000, cpu=1))
    harness = ShardHarness(facts("i-0"))
    harness.admit(wide)
    runs = harness.place()
    with caplog.at_level(logging.INFO):
        cycle_log.log_started_tasks(runs, token=7)
    logged = [row for record in caplog.records for row in record.__dict__["runs"]]
    assert len(logged) == len(runs) == 1_000
    assert len(caplog.records) < BUDGET / 10
