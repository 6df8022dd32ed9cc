"""Work out the value in force for each setting and the level it came from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from vanillawell.config.tree import DEFAULTS, ScopedSettings

if TYPE_CHECKING:
    from vanillawell.config.tree import OperatorTree

BUILT_IN_LEVEL = "(default)"
"""Level shown for values that no node sets."""


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """A value in force and the node that set it."""

    key: str
    value: Any
    level: str


def effective_value(tree: OperatorTree, node: str, key: str) -> EffectiveValue:
    """Find the nearest level that sets `key`."""
    levels = ((name, getattr(tree.nodes[name].settings, key)) for name in tree.ancestry(node))
    found = next(((name, value) for name, value in levels if value is not None), None)
    if found is None:
        return EffectiveValue(key, getattr(DEFAULTS, key), BUILT_IN_LEVEL)
    return EffectiveValue(key, found[1], found[0])


def effective_settings(tree: OperatorTree, node: str) -> dict[str, EffectiveValue]:
    """Return every setting in force at a node by key."""
    return {key: effective_value(tree, node, key) for key in ScopedSettings.model_fields}
