"""Check values of documents that other writers may have left in the store.

A value of another type or size passes through most code and fails in a later use, where the error
concerns the whole owner. Readers check each value, so that only its own document counts as
unreadable.
"""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar("T")

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


def _of_type(kind: type[T], value: Any) -> T:
    """Return a value of exactly this type; a truth value is no whole number.

    Raises:
        ValueError: The value is of another type.
    """
    if type(value) is not kind:
        raise ValueError(f"{value!r:.40} is no {kind.__name__}")
    return value


def text(value: Any) -> str:
    """Return a text; raises ValueError if the value is none."""
    return _of_type(str, value)


def flag(value: Any) -> bool:
    """Return a truth value; raises ValueError if the value is none."""
    return _of_type(bool, value)


def mapping(value: Any) -> dict[str, Any]:
    """Return a JSON object; raises ValueError if the value is none."""
    return _of_type(dict, value)


def texts(value: Any) -> list[str]:
    """Return a list of texts; raises ValueError if the value is none."""
    return [text(item) for item in _of_type(list, value)]


def position(value: str) -> int:
    """Return the position that a key of a JSON object names.

    Raises:
        ValueError: The key names none; a negative one would count from the end.
    """
    if not value.isascii() or not value.isdigit() or len(value) > 15:
        raise ValueError(f"{value!r:.40} is not a position")
    return int(value)
