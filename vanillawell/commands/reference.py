"""Generate the settings reference from the typed classes, so that the two cannot diverge."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from pydantic_core import PydanticUndefined

from vanillawell.config import node_settings, settings
from vanillawell.config.tree import DEFAULTS, Instance, Key, Node, OperatorTree, ScopedSettings

if TYPE_CHECKING:
    from pydantic import BaseModel
    from pydantic.fields import FieldInfo

DAEMON_CLASSES: tuple[type[BaseModel], ...] = (
    settings.DaemonSettings,
    settings.Address,
    settings.ServerTls,
    settings.ClientTls,
    settings.StoreSettings,
    settings.TimingSettings,
    settings.ExperimentSettings,
)

NODE_CLASSES: tuple[type[BaseModel], ...] = (
    node_settings.NodeSettings,
    node_settings.NodeBounds,
    node_settings.EntryCapacity,
)

TREE_CLASSES: tuple[type[BaseModel], ...] = (OperatorTree, Node, ScopedSettings, Key, Instance)


def render() -> str:
    """Return the whole page as Markdown."""
    parts = [
        "# Settings reference",
        "Made by `vanillawell settings reference`; a test keeps it in step with the classes.",
        "# Settings of a daemon",
        *(_section(model) for model in DAEMON_CLASSES),
        "# Settings of a scheduler process",
        *(_section(model) for model in NODE_CLASSES),
        "# The operators' tree",
        *(_section(model) for model in TREE_CLASSES),
    ]
    return "\n\n".join(parts) + "\n"


def print_reference() -> None:
    """Print the page."""
    sys.stdout.write(render())


def _section(model: type[BaseModel]) -> str:
    summary = (model.__doc__ or "").strip().partition("\n")[0]
    rows = [_row(model, name, field) for name, field in model.model_fields.items()]
    head = ["| key | default | meaning |", "|---|---|---|"]
    return "\n".join([f"## {model.__name__}", "", summary, "", *head, *rows])


def _row(model: type[BaseModel], name: str, field: FieldInfo) -> str:
    meaning = " ".join((field.description or "").split())
    return f"| `{name}` | {_default(model, name, field)} | {meaning} |"


def _default(model: type[BaseModel], name: str, field: FieldInfo) -> str:
    value: Any = field.default
    if model is ScopedSettings:
        value = getattr(DEFAULTS, name)
    if value is PydanticUndefined:
        return "required"
    if isinstance(value, settings.StrictModel):
        return f"see {type(value).__name__}"
    return f"`{value}`"
