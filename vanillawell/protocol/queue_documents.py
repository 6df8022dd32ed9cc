"""Define the stored rules of queues, for later owners whose configuration lacks the queues."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.state.work_policy import AdviceRule, Queue

if TYPE_CHECKING:
    from collections.abc import Mapping


def write_queues(queues: Mapping[str, Queue]) -> bytes:
    """Serialise the rules of queues by name."""
    return orjson.dumps(queues)


def read_queues(data: bytes) -> dict[str, Queue]:
    """Parse the rules of queues by name; raises ValueError if the data is malformed."""
    try:
        document = orjson.loads(data)
        return {str(name): _read_queue(item) for name, item in document.items()}
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed queue rules: {error!r}") from error


def _read_queue(item: Mapping[str, Any]) -> Queue:
    advice = item["advice"]
    return Queue(
        name=str(item["name"]),
        host=str(item["host"]),
        prefix=str(item["prefix"]),
        service=str(item["service"]),
        priority=int(item["priority"]),
        attempts=int(item["attempts"]),
        slack_factor=float(item["slack_factor"]),
        objective=float(item["objective"]),
        anonymous=bool(item["anonymous"]),
        advice=_read_advice(advice) if advice else None,
    )


def _read_advice(item: Mapping[str, Any]) -> AdviceRule:
    return AdviceRule(float(item["decide"]), float(item["each"]), float(item["validity"]))
