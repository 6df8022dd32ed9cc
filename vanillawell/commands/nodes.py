"""Create and change nodes of the tree: organisations, pools, groups, settings and keys."""

from __future__ import annotations

import difflib
import hashlib
import secrets
from typing import TYPE_CHECKING, Any

import json5

from vanillawell.commands.config import PushOptions, apply_change
from vanillawell.commands.printing import print_document
from vanillawell.config.loader import validate
from vanillawell.config.tree import Instance, Key, Kind, Node, OperatorTree, ScopedSettings
from vanillawell.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from vanillawell.commands.context import CommandContext

KEY_BYTES = 24
"""Random bytes in a new key."""


def parse_settings(assignments: Sequence[str]) -> dict[str, Any]:
    """Parse KEY=VALUE pairs; the value `null` restores the inherited value."""
    pairs = [text.partition("=") for text in assignments]
    for key, separator, _ in pairs:
        if not separator:
            raise SettingsError(f"{key}: expected KEY=VALUE")
        if key not in ScopedSettings.model_fields:
            nearest = difflib.get_close_matches(key, ScopedSettings.model_fields, n=1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            raise SettingsError(f"{key}: unknown setting{hint}")
    try:
        return {key: json5.loads(value) for key, _, value in pairs}
    except ValueError as error:
        raise SettingsError(f"malformed value: {error}") from error


def create(
    context: CommandContext,
    name: str,
    kind: Kind,
    parent: str,
    assignments: Sequence[str],
    service: str | None,
    options: PushOptions,
) -> None:
    """Add a node."""
    settings = parse_settings(assignments)

    def change(tree: OperatorTree) -> OperatorTree:
        if name in tree.nodes:
            raise SettingsError(f"a node named {name!r} already exists")
        document: dict[str, Any] = {"kind": kind, "parent": parent, "settings": settings}
        if service:
            document["service"] = service
        return _with_node(tree, name, validate(document, Node, name))

    apply_change(context, change, options)


def change_settings(
    context: CommandContext, name: str, assignments: Sequence[str], options: PushOptions
) -> None:
    """Set or clear settings of a node."""
    settings = parse_settings(assignments)

    def update(node: Node) -> Node:
        merged = node.settings.model_dump(exclude_none=True) | settings
        checked = validate(merged, ScopedSettings, f"nodes.{name}.settings")
        return node.model_copy(update={"settings": checked})

    _change_node(context, name, update, options)


def add_instance(
    context: CommandContext,
    pool: str,
    name: str,
    location: tuple[str, str, str],
    options: PushOptions,
) -> None:
    """Add an instance to a pool; `location` is its address, zone and rack."""
    address, zone, rack = location
    host, _, port = address.rpartition(":")
    document = {"address": {"host": host, "port": port}, "zone": zone, "rack": rack}
    instance = validate(document, Instance, name)

    def update(node: Node) -> Node:
        return node.model_copy(update={"instances": {**node.instances, name: instance}})

    _change_node(context, pool, update, options)


def remove(context: CommandContext, name: str, options: PushOptions) -> None:
    """Remove a node."""

    def change(tree: OperatorTree) -> OperatorTree:
        _require_node(tree, name)
        nodes = {key: node for key, node in tree.nodes.items() if key != name}
        return tree.model_copy(update={"nodes": nodes})

    apply_change(context, change, options)


def grant_key(
    context: CommandContext, organisation: str, key_id: str, options: PushOptions
) -> None:
    """Create a key for an organisation and print it; it cannot be shown again."""
    secret = f"vw-{secrets.token_urlsafe(KEY_BYTES)}"
    key = Key(sha256=hashlib.sha256(secret.encode()).hexdigest())

    def update(node: Node) -> Node:
        if key_id in node.keys:
            raise SettingsError(f"{organisation} already has a key named {key_id!r}")
        return node.model_copy(update={"keys": {**node.keys, key_id: key}})

    _change_node(context, organisation, update, options)
    if not options.dry_run:
        print_document({"organisation": organisation, "id": key_id, "key": secret})


def withdraw_key(
    context: CommandContext, organisation: str, key_id: str, options: PushOptions
) -> None:
    """Withdraw a key; entries refuse it as soon as the configuration is in force."""

    def update(node: Node) -> Node:
        if key_id not in node.keys:
            raise SettingsError(f"{organisation} has no key named {key_id!r}")
        withdrawn = node.keys[key_id].model_copy(update={"withdrawn": True})
        return node.model_copy(update={"keys": {**node.keys, key_id: withdrawn}})

    _change_node(context, organisation, update, options)


def _change_node(
    context: CommandContext, name: str, update: Callable[[Node], Node], options: PushOptions
) -> None:
    def change(tree: OperatorTree) -> OperatorTree:
        _require_node(tree, name)
        return _with_node(tree, name, update(tree.nodes[name]))

    apply_change(context, change, options)


def _require_node(tree: OperatorTree, name: str) -> None:
    if name not in tree.nodes:
        nearest = difflib.get_close_matches(name, tree.nodes, n=1)
        hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
        raise SettingsError(f"no node is named {name!r}{hint}")


def _with_node(tree: OperatorTree, name: str, node: Node) -> OperatorTree:
    return tree.model_copy(update={"nodes": {**tree.nodes, name: node}})
