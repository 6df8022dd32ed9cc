"""Build documents in which one value is not what its readers expect."""

from __future__ import annotations

from typing import Any

import orjson
from hypothesis import strategies as st

ODD_NUMBERS = (-1, 0, 1, 1.5, 2**53, 2**63, 2**64 - 1, 1e308, -1e308)
ODD: st.SearchStrategy[Any] = st.sampled_from(
    (None, True, *ODD_NUMBERS, "", "x", "\ufffd", "7", "-1", "a" * 300, [], [1], [[]], {}, {"a": 1})
)


@st.composite
def changed(draw: Any, document: Any) -> bytes:
    """Return a document in which one value, name or item is another."""
    copy = orjson.loads(orjson.dumps(document))
    target: Any = copy
    while True:
        inner = sorted(target) if isinstance(target, dict) else list(range(len(target)))
        key = draw(st.sampled_from(inner))
        value = target[key]
        if isinstance(value, dict | list) and value and draw(st.booleans()):
            target = value
            continue
        break
    match draw(st.sampled_from(["value", "value", "without", "name"])):
        case "value":
            target[key] = draw(ODD)
        case "without":
            del target[key]
        case "name" if isinstance(target, dict):
            target[draw(st.sampled_from(["x", "-1", "99999", ""]))] = target.pop(key)
        case _:
            target.append(value)
    return orjson.dumps(copy)
