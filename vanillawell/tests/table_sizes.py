"""Measure the tables of a running scheduler, to find those that grow with its life."""

from __future__ import annotations

import collections
from collections import Counter
from collections.abc import Iterator, Mapping, Set
from typing import Any

CONTAINERS = (Mapping, Set, list, tuple, collections.deque)


def table_sizes(root: Any, *left_out: str) -> Counter[str]:
    """Return the number of elements of all containers that an object refers to, by the class and
    the name of the attribute that holds them; attributes in `left_out` are not looked into."""
    sizes: Counter[str] = Counter()
    seen: set[int] = set()
    waiting: list[tuple[str, Any]] = [("", root)]
    while waiting:
        path, item = waiting.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, CONTAINERS):
            sizes[path] += len(item)
            waiting.extend((path, child) for child in _elements(item))
        elif _is_of_the_product(type(item).__module__):
            named = ((f"{type(item).__name__}.{name}", value) for name, value in _attributes(item))
            waiting.extend(pair for pair in named if pair[0] not in left_out)
    return sizes


def _is_of_the_product(module: str) -> bool:
    names = module.split(".")
    return names[0] == "vanillawell" and names[1] not in ("tests", "standins")


def _elements(container: Any) -> Iterator[Any]:
    if isinstance(container, Mapping):
        yield from list(container.keys())
        yield from list(container.values())
    else:
        yield from list(container)


def _attributes(item: Any) -> Iterator[tuple[str, Any]]:
    slots = (name for kind in type(item).__mro__ for name in getattr(kind, "__slots__", ()))
    for name in {*getattr(item, "__dict__", {}), *slots}:
        if not name.startswith("__") and hasattr(item, name):
            yield name, getattr(item, name)
