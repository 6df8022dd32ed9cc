"""Resolve the effective value of each setting and the node that sets it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from vanillawell.config.tree import DEFAULTS, ScopedSettings

if TYPE_CHECKING:
    from vanillawell.config.tree import OperatorTree

BUILT_IN_LEVEL = "(default)"
"""Level reported for values that no node sets."""


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """The effective value of a setting and the node that sets it."""

    key: str
    value: Any
    level: str


def effective_value(tree: OperatorTree, node: str, key: str) -> EffectiveValue:
    """Return the value of `key` at a node: that of the nearest level that sets it."""
    levels = ((name, getattr(tree.nodes[name].settings, key)) for name in tree.ancestry(node))
    nearest = next(((name, value) for name, value in levels if value is not None), None)
    if nearest is None:
        return EffectiveValue(key, getattr(DEFAULTS, key), BUILT_IN_LEVEL)
    return EffectiveValue(key, nearest[1], nearest[0])


def effective_settings(tree: OperatorTree, node: str) -> dict[str, EffectiveValue]:
    """Return the effective value of every setting at a node, by key."""
    return {key: effective_value(tree, node, key) for key in ScopedSettings.model_fields}
