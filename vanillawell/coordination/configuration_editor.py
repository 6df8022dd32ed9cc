"""Change the configuration in the store, safely under concurrent changes and lost answers."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.config.tree import ROOT, Node, OperatorTree
from vanillawell.config.validation import check_tree
from vanillawell.exceptions import (
    ConflictError,
    SettingsError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from vanillawell.protocol.documents import Configuration, next_limit_changes
from vanillawell.protocol.store import Compare, KeyValue, Put, Transaction

if TYPE_CHECKING:
    from vanillawell.config.validation import Findings
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store

MAX_ATTEMPTS = 8
"""Maximum attempts at a write, including those that determine the outcome of an unanswered one."""

MAX_STORED_VERSIONS = 200
"""Versions kept in the store; at 2,400 changes a day, an unlimited history would fill it."""

RETRY_INTERVAL = 0.5
"""Seconds between two attempts at a write."""

Change = Callable[["OperatorTree"], "OperatorTree"]
"""Function that builds the new tree from the one in force."""


@dataclass(frozen=True, slots=True)
class Difference:
    """A key that differs between two trees; None means that it is absent."""

    key: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.key}: {self.before} -> {self.after}"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A validated change that is not written yet."""

    base: Configuration | None
    base_revision: int
    tree: OperatorTree
    differences: tuple[Difference, ...]
    findings: Findings


def compare_trees(before: OperatorTree | None, after: OperatorTree) -> tuple[Difference, ...]:
    """List every key in which two trees differ."""
    old = dict(_flatten("", _document(before))) if before else {}
    new = dict(_flatten("", _document(after)))
    keys = sorted(old.keys() | new.keys())
    return tuple(
        Difference(key, old.get(key), new.get(key)) for key in keys if old.get(key) != new.get(key)
    )


def _document(tree: OperatorTree) -> dict[str, Any]:
    return tree.model_dump(mode="json", exclude_defaults=True)


def _flatten(prefix: str, value: Any) -> list[tuple[str, object]]:
    if not isinstance(value, dict):
        return [(prefix, value)]
    parts = ((f"{prefix}.{key}" if prefix else key, item) for key, item in value.items())
    return [pair for key, item in parts for pair in _flatten(key, item)]


class ConfigurationEditor:
    """Read and change the configuration on behalf of one operator."""

    def __init__(self, store: Store, keys: StoreKeys, author: str) -> None:
        self._store = store
        self._keys = keys
        self._author = author

    async def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        stored = await self._store.get(self._keys.configuration)
        return Configuration.from_bytes(stored.value) if stored else None

    async def history(self) -> list[Configuration]:
        """Return all stored versions, oldest first."""
        listing = await self._store.list(self._keys.history_prefix)
        return [Configuration.from_bytes(item.value) for item in listing.items]

    async def version(self, number: int) -> Configuration:
        """Return one version; raise SettingsError if it is not stored."""
        stored = await self._store.get(self._keys.history(number))
        if stored is None:
            raise SettingsError(f"version {number}: is not stored any more")
        return Configuration.from_bytes(stored.value)

    async def propose(self, change: Change, base: int | None = None) -> Proposal:
        """Build and validate a change of the configuration in force.

        `base` is the version that the change was prepared for; if another version is in force,
        raise ConflictError with the differences between the two.
        """
        stored = await self._store.get(self._keys.configuration)
        current = Configuration.from_bytes(stored.value) if stored else None
        await self._require_base(current, base)
        tree = change(current.tree if current else _empty_tree())
        differences = compare_trees(current.tree if current else None, tree)
        revision = stored.mod_revision if stored else 0
        return Proposal(current, revision, tree, differences, check_tree(tree))

    async def _require_base(self, current: Configuration | None, base: int | None) -> None:
        version = current.version if current else 0
        if base is None or base == version:
            return
        differences_text = ""
        if current and 0 < base < version:
            before = await self.version(base)
            differences_text = _format_differences(compare_trees(before.tree, current.tree))
        raise ConflictError(f"version {version} is in force, not {base}{differences_text}")

    async def accept(self, proposal: Proposal, note: str) -> Configuration:
        """Write a validated change as the next version.

        If another operator made a change at the same time, raise ConflictError with its
        differences. If the answer to a successful write was lost, the write is recognised by the
        id of the change.
        """
        if proposal.findings.errors:
            raise SettingsError("\n".join(str(item) for item in proposal.findings.errors))
        configuration = self._next(proposal, note)
        transaction = self._transaction(proposal, configuration)
        for _ in range(MAX_ATTEMPTS):
            try:
                result = await self._store.transact(transaction)
            except (StoreOutcomeUnknownError, StoreUnavailableError):
                await anyio.sleep(RETRY_INTERVAL)
                continue
            if result.succeeded:
                return configuration
            return await self._settle_conflict(proposal, configuration, result.values)
        raise StoreOutcomeUnknownError(
            f"the store does not answer; run the command again, "
            f"or look for change {configuration.change_id} in the history"
        )

    def _next(self, proposal: Proposal, note: str) -> Configuration:
        version = proposal.base.version + 1 if proposal.base else 1
        previous = proposal.base.limit_changes if proposal.base else {}
        return Configuration(
            version=version,
            change_id=uuid.uuid4().hex,
            author=self._author,
            created_at=time.time(),
            note=note,
            tree=proposal.tree,
            limit_changes=next_limit_changes(proposal.tree, version, previous),
        )

    def _transaction(self, proposal: Proposal, configuration: Configuration) -> Transaction:
        document = configuration.to_bytes()
        return Transaction(
            compares=[Compare(self._keys.configuration, proposal.base_revision)],
            puts=[
                Put(self._keys.configuration, document),
                Put(self._keys.history(configuration.version), document),
            ],
            deletes=[self._keys.history(configuration.version - MAX_STORED_VERSIONS)],
            reads=[self._keys.configuration],
        )

    async def _settle_conflict(
        self, proposal: Proposal, own: Configuration, values: dict[str, KeyValue]
    ) -> Configuration:
        """Return `own` if it was written and only its answer was lost; else raise ConflictError."""
        stored = await self._store.get(self._keys.history(own.version))
        if stored and Configuration.from_bytes(stored.value).change_id == own.change_id:
            return own
        in_force = values.get(self._keys.configuration)
        theirs = Configuration.from_bytes(in_force.value) if in_force else None
        base = proposal.base.tree if proposal.base else None
        differences_text = _format_differences(compare_trees(base, theirs.tree)) if theirs else ""
        who = f"{theirs.author} made version {theirs.version}" if theirs else "it was removed"
        raise ConflictError(f"the configuration changed meanwhile: {who}{differences_text}")


def _format_differences(differences: tuple[Difference, ...]) -> str:
    return "".join(f"\n  {item}" for item in differences)


def _empty_tree() -> OperatorTree:
    return OperatorTree(nodes={ROOT: Node(kind="fleet")})
