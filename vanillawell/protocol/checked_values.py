"""Check values of documents that other writers may have left in the store.

A value of another type or size passes through most code and fails in a later use, where the error
concerns the whole owner. Readers check each value, so that only its own document counts as
unreadable.
"""

from __future__ import annotations

from typing import Any

MAX_WHOLE = 10**15
"""Largest whole number; sums of many stay within 64 bits, and times in milliseconds fit."""

MAX_NUMBER = 1e15
"""Largest amount of any other number."""


def whole(value: Any, most: int = MAX_WHOLE) -> int:
    """Return a whole number from 0 to `most`.

    Raises:
        ValueError: The value is no such number.
    """
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"{value!r:.40} is not a whole number up to {most}")
    return value


def number(value: Any) -> float:
    """Return a finite number of bounded size.

    Raises:
        ValueError: The value is no such number.
    """
    if type(value) not in (int, float) or not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r:.40} is not a number up to {MAX_NUMBER:.0e}")
    return float(value)


def text(value: Any) -> str:
    """Return a text.

    Raises:
        ValueError: The value is none.
    """
    if type(value) is not str:
        raise ValueError(f"{value!r:.40} is not a text")
    return value


def flag(value: Any) -> bool:
    """Return a truth value.

    Raises:
        ValueError: The value is none.
    """
    if type(value) is not bool:
        raise ValueError(f"{value!r:.40} is not a truth value")
    return value


def texts(value: Any) -> list[str]:
    """Return a list of texts.

    Raises:
        ValueError: The value is none.
    """
    if type(value) is not list:
        raise ValueError(f"{value!r:.40} is not a list")
    return [text(item) for item in value]


def mapping(value: Any) -> dict[str, Any]:
    """Return a JSON object.

    Raises:
        ValueError: The value is none.
    """
    if type(value) is not dict:
        raise ValueError(f"{value!r:.40} is not a JSON object")
    return value


def position(value: str) -> int:
    """Return the position that a key of a JSON object names.

    Raises:
        ValueError: The key names none; a negative one would count from the end.
    """
    if not value.isascii() or not value.isdigit() or len(value) > 15:
        raise ValueError(f"{value!r:.40} is not a position")
    return int(value)
