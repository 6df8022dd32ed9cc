"""Define what an owner stores of the rules of queues, for successors that never read them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from vanillawell.state.work_policy import AdviceRule, Queue

if TYPE_CHECKING:
    from collections.abc import Mapping


def write_queues(queues: Mapping[str, Queue]) -> bytes:
    """Write the rules of queues by their names."""
    return orjson.dumps(queues)


def read_queues(data: bytes) -> dict[str, Queue]:
    """Read the rules of queues by their names; raises ValueError if the document holds none."""
    try:
        document = orjson.loads(data)
        return {str(name): _read_queue(item) for name, item in document.items()}
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"not rules of queues: {error!r}") from error


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
