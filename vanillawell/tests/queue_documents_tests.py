"""Test what an owner stores of the rules of queues."""

from __future__ import annotations

import pytest

from vanillawell.protocol.queue_documents import read_queues, write_queues
from vanillawell.state.work_policy import AdviceRule, Queue

PLAIN = Queue("plain", "a.example", "/plain/", "service-a", 0, 3, 1.5, 0.6, False)
HINTED = Queue("h", "b.example", "/h/", "service-b", 2, 4, 2.0, 1.0, True, AdviceRule(0.1, 0.2, 5))


def test_rules_of_queues_are_read_as_they_were_written() -> None:
    """A successor treats jobs of a dropped queue as their owner did."""
    queues = {"plain": PLAIN, "h": HINTED}
    assert read_queues(write_queues(queues)) == queues


@pytest.mark.parametrize("data", [b"", b"[]", b'{"plain": 1}', b'{"plain": {"name": "plain"}}'])
def test_damaged_rules_are_told_from_sound_ones(data: bytes) -> None:
    """Damaged rules must not keep a new owner from its shard."""
    with pytest.raises(ValueError):
        read_queues(data)
