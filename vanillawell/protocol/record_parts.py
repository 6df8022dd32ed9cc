"""Divide a job's record into several values of the store where one would be too large.

A record in one value stays as it always was. A larger one is cut into parts under keys of their
own, and its own key then holds its state and the number of parts. All are written in one
transaction, and read by an owner that alone may write them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from vanillawell.protocol.store import Put

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_PARTS = 24
"""Parts of one record; with its head and the job's inbox keys they fit into one transaction."""


def part_key(key: str, number: int) -> str:
    """Return the key of one part of the record under `key`."""
    return f"{key}/{number}"


def divide(key: str, record: bytes, state: str, value_limit: int) -> list[Put]:
    """Return the writes of a record, whose values have at most `value_limit` bytes."""
    if len(record) <= value_limit:
        return [Put(key, record)]
    parts = [record[start : start + value_limit] for start in range(0, len(record), value_limit)]
    head = orjson.dumps({"state": state, "parts": len(parts)})
    return [Put(key, head), *(Put(part_key(key, n), part) for n, part in enumerate(parts))]


def stale_parts(key: str, before: int, now: int) -> list[str]:
    """Return the keys of parts that are left over once a record has `now` parts."""
    return [part_key(key, number) for number in range(now, before)]


def count_parts(value: bytes) -> int:
    """Return the number of parts that the value under a record's own key names.

    Raises:
        ValueError: The value is no record.
    """
    document = orjson.loads(value)
    if not isinstance(document, dict):
        raise ValueError("a record is not a JSON object")
    parts = document.get("parts", 0)
    if not isinstance(parts, int) or not 0 <= parts <= MAX_PARTS:
        raise ValueError("a record has no valid number of parts")
    return parts


def join(key: str, parts: int, values: Mapping[str, bytes]) -> bytes:
    """Return a record that was divided into `parts`, 0 for one that was not.

    Raises:
        ValueError: A part is missing.
    """
    if not parts:
        return values[key]
    keys = [part_key(key, number) for number in range(parts)]
    missing = [item for item in keys if item not in values]
    if missing:
        raise ValueError(f"{len(missing)} of {parts} parts of the record are missing")
    return b"".join(values[item] for item in keys)
