"""Test the stored document with the rules of queues."""

from __future__ import annotations

import orjson
import pytest

from vanillawell.protocol.queue_documents import (
    read_queue,
    read_queues,
    write_job_rules,
    write_queues,
)
from vanillawell.protocol.work_documents import write_job
from vanillawell.state.work_policy import AdviceRule, Queue
from vanillawell.tests.scheduling_builders import job

QUEUE_WITHOUT_ADVICE = Queue("plain", "a.example", "/plain/", "service-a", 0, 3, 1.5, 0.6, False)
QUEUE_WITH_ADVICE = Queue(
    "h", "b.example", "/h/", "service-b", 2, 4, 2.0, 1.0, True, AdviceRule(0.1, 0.2, 5)
)


def test_queue_rules_are_unchanged_by_writing_and_reading() -> None:
    """A new owner applies the same rules to jobs of a removed queue as the previous owner."""
    queues = {"plain": QUEUE_WITHOUT_ADVICE, "h": QUEUE_WITH_ADVICE}
    assert read_queues(write_queues(queues)) == queues


def test_a_job_is_stored_in_a_form_that_earlier_versions_read() -> None:
    """During a rolling update the owner may be of an earlier version. It rejects a job with an
    unknown field and removes it from the inbox, so the job would never begin."""
    known = {"job_id", "queue", "organisation", "payload", "steps", "accepted_at"}
    known |= {"times", "first_due", "interval"}
    assert orjson.loads(write_job(job())).keys() <= known


@pytest.mark.parametrize("queue", [QUEUE_WITHOUT_ADVICE, QUEUE_WITH_ADVICE])
def test_rules_of_a_job_are_unchanged_by_writing_and_reading(queue: Queue) -> None:
    """An owner that has never known the queue applies the rules that the job was accepted with."""
    assert read_queue(write_job_rules(queue, "0123")) == queue


@pytest.mark.parametrize("data", [b"", b"[]", b"1", b'{"name": "plain"}'])
def test_malformed_rules_of_a_job_raise_value_error(data: bytes) -> None:
    """The reader catches only ValueError; any other error would end the owner's term."""
    with pytest.raises(ValueError):
        read_queue(data)


@pytest.mark.parametrize("data", [b"", b"[]", b'{"plain": 1}', b'{"plain": {"name": "plain"}}'])
def test_malformed_queue_rules_raise_value_error(data: bytes) -> None:
    """The owner catches only ValueError; any other error would keep it from loading its shard."""
    with pytest.raises(ValueError):
        read_queues(data)
