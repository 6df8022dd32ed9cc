"""Change the operators' tree in the store, safely when operators race and answers get lost."""

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

TRIES = 8
"""Tries to learn the outcome of a write whose answer was lost."""

VERSIONS_KEPT = 200
"""Earlier versions that stay in the store; at 2,400 changes a day all would fill it."""

TRY_PAUSE = 0.5
"""Seconds between two of these tries."""

Change = Callable[["OperatorTree"], "OperatorTree"]
"""Builds the wanted tree from the one in force."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One key that differs between two trees; None stands for absent."""

    key: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.key}: {self.before} -> {self.after}"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A checked change, not yet written."""

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
        """Return the configuration in force, None before the first."""
        found = await self._store.get(self._keys.configuration)
        return Configuration.from_bytes(found.value) if found else None

    async def history(self) -> list[Configuration]:
        """Return all versions that are kept, oldest first."""
        listing = await self._store.list(self._keys.history_prefix)
        return [Configuration.from_bytes(item.value) for item in listing.items]

    async def version(self, number: int) -> Configuration:
        """Return one version; raises SettingsError if it is not kept."""
        found = await self._store.get(self._keys.history(number))
        if found is None:
            raise SettingsError(f"version {number}: is not kept")
        return Configuration.from_bytes(found.value)

    async def propose(self, change: Change, base: int | None = None) -> Proposal:
        """Build and check a change of the configuration in force.

        `base` is the version it was meant for; if another is in force, ConflictError shows what
        has changed since.
        """
        found = await self._store.get(self._keys.configuration)
        current = Configuration.from_bytes(found.value) if found else None
        await self._require_base(current, base)
        tree = change(current.tree if current else _empty_tree())
        differences = compare_trees(current.tree if current else None, tree)
        revision = found.mod_revision if found else 0
        return Proposal(current, revision, tree, differences, check_tree(tree))

    async def _require_base(self, current: Configuration | None, base: int | None) -> None:
        version = current.version if current else 0
        if base is None or base == version:
            return
        shown = ""
        if current and 0 < base < version:
            before = await self.version(base)
            shown = _show(compare_trees(before.tree, current.tree))
        raise ConflictError(f"version {version} is in force, not {base}{shown}")

    async def accept(self, proposal: Proposal, note: str) -> Configuration:
        """Write a checked change as the next version.

        Of two racing operators one gets ConflictError with what the other changed. An answer
        lost after the write took effect is recognised by the change's own id.
        """
        if proposal.findings.errors:
            raise SettingsError("\n".join(str(item) for item in proposal.findings.errors))
        configuration = self._next(proposal, note)
        transaction = self._transaction(proposal, configuration)
        for _ in range(TRIES):
            try:
                result = await self._store.transact(transaction)
            except (StoreOutcomeUnknownError, StoreUnavailableError):
                await anyio.sleep(TRY_PAUSE)
                continue
            if result.succeeded:
                return configuration
            return await self._settle_conflict(proposal, configuration, result.values)
        raise StoreOutcomeUnknownError(
            f"the store does not answer; run again, or look for change {configuration.change_id}"
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
            deletes=[self._keys.history(configuration.version - VERSIONS_KEPT)],
            reads=[self._keys.configuration],
        )

    async def _settle_conflict(
        self, proposal: Proposal, mine: Configuration, values: dict[str, KeyValue]
    ) -> Configuration:
        """Tell a lost race from one's own write whose answer was lost."""
        kept = await self._store.get(self._keys.history(mine.version))
        if kept and Configuration.from_bytes(kept.value).change_id == mine.change_id:
            return mine
        found = values.get(self._keys.configuration)
        theirs = Configuration.from_bytes(found.value) if found else None
        base = proposal.base.tree if proposal.base else None
        shown = _show(compare_trees(base, theirs.tree)) if theirs else ""
        who = f"{theirs.author} made version {theirs.version}" if theirs else "it was removed"
        raise ConflictError(f"the configuration changed meanwhile: {who}{shown}")


def _show(differences: tuple[Difference, ...]) -> str:
    return "".join(f"\n  {item}" for item in differences)


def _empty_tree() -> OperatorTree:
    return OperatorTree(nodes={ROOT: Node(kind="fleet")})
