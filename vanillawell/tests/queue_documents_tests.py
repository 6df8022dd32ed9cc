"""Test the stored document with the rules of queues."""

from __future__ import annotations

import pytest

from vanillawell.protocol.queue_documents import read_queues, write_queues
from vanillawell.state.work_policy import AdviceRule, Queue

QUEUE_WITHOUT_ADVICE = Queue("plain", "a.example", "/plain/", "service-a", 0, 3, 1.5, 0.6, False)
QUEUE_WITH_ADVICE = Queue(
    "h", "b.example", "/h/", "service-b", 2, 4, 2.0, 1.0, True, AdviceRule(0.1, 0.2, 5)
)


def test_queue_rules_are_unchanged_by_writing_and_reading() -> None:
    """A new owner applies the same rules to jobs of a removed queue as the previous owner."""
    queues = {"plain": QUEUE_WITHOUT_ADVICE, "h": QUEUE_WITH_ADVICE}
    assert read_queues(write_queues(queues)) == queues


@pytest.mark.parametrize("data", [b"", b"[]", b'{"plain": 1}', b'{"plain": {"name": "plain"}}'])
def test_malformed_queue_rules_raise_value_error(data: bytes) -> None:
    """The owner catches only ValueError; any other error would keep it from loading its shard."""
    with pytest.raises(ValueError):
        read_queues(data)
