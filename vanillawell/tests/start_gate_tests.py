"""Test when starts are sent side by side, on plain data."""

from __future__ import annotations

from vanillawell.coordination.start_gate import (
    MAX_GATE_DELAY,
    RECENT_ANSWER_TIME,
    StartGate,
)

ANSWERED = 100.0
"""When the executor answered last, in seconds."""

LATER = ANSWERED + 2 * RECENT_ANSWER_TIME
SOONER = ANSWERED + RECENT_ANSWER_TIME / 2


# Guards against making the first start of all wait.
def test_single_start_is_sent_at_once() -> None:
    assert StartGate().delay(ANSWERED, LATER) == 0.0


# Guards against slowing down executors that answer.
def test_starts_are_sent_side_by_side_shortly_after_an_answer() -> None:
    gate = StartGate()
    with gate.sending(SOONER):
        assert gate.delay(ANSWERED, SOONER) == 0.0


# Guards against several starts reaching an incarnation that is taken for its predecessor.
def test_next_start_waits_for_the_answer_to_the_first_one() -> None:
    gate = StartGate()
    with gate.sending(LATER):
        assert gate.delay(ANSWERED, LATER) > 0.0
    assert gate.delay(LATER, LATER) == 0.0


# Guards against a lost answer that holds back all starts until its call has timed out.
def test_lost_answer_delays_the_next_start_only_briefly() -> None:
    gate = StartGate()
    with gate.sending(LATER):
        assert gate.delay(ANSWERED, LATER + MAX_GATE_DELAY) == 0.0
