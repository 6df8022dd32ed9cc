"""Define the stored rules of queues, for owners whose configuration lacks the queues.

The entry that accepts a job stores the rules of the job's queue beside it, under a key of their
own: earlier versions reject a job with unknown fields. An owner stores the rules of all queues that
have jobs.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.protocol.checked_values import flag, mapping, number, text, whole
from vanillawell.state.work_policy import AdviceRule, Queue

if TYPE_CHECKING:
    from collections.abc import Mapping


def write_job_rules(queue: Queue, key_id: str) -> bytes:
    """Serialise what a job was accepted with: the rules of its queue, and the id of its caller's
    key."""
    return orjson.dumps({**asdict(queue), "key_id": key_id})


def read_key_id(data: bytes) -> str:
    """Parse the id of the key that a job was submitted with, empty if it isn't known.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        return text(mapping(orjson.loads(data)).get("key_id", ""))
    except TypeError as error:
        raise ValueError(f"malformed rules of a job: {error!r}") from error


def read_queue(data: bytes) -> Queue:
    """Parse the rules of one queue; raises ValueError if the data is malformed."""
    try:
        return _read_queue(orjson.loads(data))
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed queue rules: {error!r}") from error


def write_queues(queues: Mapping[str, Queue]) -> bytes:
    """Serialise the rules of queues by name."""
    return orjson.dumps(queues)


def read_queues(data: bytes) -> dict[str, Queue]:
    """Parse the rules of queues by name; raises ValueError if the data is malformed."""
    try:
        document = mapping(orjson.loads(data))
        return {name: _read_queue(item) for name, item in document.items()}
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed queue rules: {error!r}") from error


def _read_queue(item: Mapping[str, Any]) -> Queue:
    advice = item["advice"]
    return Queue(
        name=text(item["name"]),
        host=text(item["host"]),
        prefix=text(item["prefix"]),
        service=text(item["service"]),
        priority=whole(item["priority"]),
        attempts=whole(item["attempts"]),
        slack_factor=number(item["slack_factor"]),
        objective=number(item["objective"]),
        anonymous=flag(item["anonymous"]),
        advice=_read_advice(advice) if advice else None,
    )


def _read_advice(item: Mapping[str, Any]) -> AdviceRule:
    return AdviceRule(number(item["decide"]), number(item["each"]), number(item["validity"]))


def read_pending(data: bytes) -> dict[str, int]:
    """Parse the numbers of pending jobs by queue; raises ValueError if the data is malformed."""
    return {name: whole(count) for name, count in mapping(orjson.loads(data)).items()}
