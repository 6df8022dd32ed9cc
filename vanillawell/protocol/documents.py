"""Lay out the documents that the product keeps in the platform's store."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import orjson

from vanillawell.config.effective import effective_value
from vanillawell.config.loader import validate
from vanillawell.config.tree import OperatorTree
from vanillawell.state.limits import LimitChange

MAX_LIMIT_CHANGES = 16
"""Changes of one organisation's limit that are told apart; older ones are merged into the highest.
Changes of one organisation's limit that are told apart; older ones are merged into the highest."""


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """Names of the keys under one prefix."""

    prefix: str

    @property
    def configuration(self) -> str:
        """Key of the configuration in force."""
        return f"{self.prefix}/configuration"

    def history(self, version: int) -> str:
        """Key of one earlier configuration; zero-padded so that keys sort by version."""
        return f"{self.prefix}/history/{version:012d}"

    @property
    def history_prefix(self) -> str:
        """Prefix of all earlier configurations."""
        return f"{self.prefix}/history/"

    @property
    def assignment(self) -> str:
        """Key of the assignment of instances to pools."""
        return f"{self.prefix}/assignment"

    @property
    def planner(self) -> str:
        """Key of the planner's role, under its holder's lease."""
        return f"{self.prefix}/role/planner"

    @property
    def jobs(self) -> str:
        """Key of all work that may wait."""
        return f"{self.prefix}/jobs"

    @property
    def job_runner(self) -> str:
        """Key of the job runner's role, under its holder's lease."""
        return f"{self.prefix}/role/job-runner"

    def presence(self, instance: str) -> str:
        """Key of one entry's presence, under its lease."""
        return f"{self.prefix}/presence/{instance}"

    @property
    def presence_prefix(self) -> str:
        """Prefix of all entries' presence."""
        return f"{self.prefix}/presence/"

    @property
    def ledger_prefix(self) -> str:
        """Prefix of all organisations' limit ledgers."""
        return f"{self.prefix}/ledger/"

    def ledger(self, organisation: str) -> str:
        """Key of one organisation's limit ledger."""
        return f"{self.prefix}/ledger/{organisation}"

    def claim(self, organisation: str, idempotency_key: str) -> str:
        """Key of the claim on one request."""
        return f"{self.prefix}/claim/{organisation}/{idempotency_key}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operators' tree."""

    version: int
    """Rises by one with each change."""

    change_id: str
    """Id that the author chose, by which a lost answer is recognised as one's own."""

    author: str
    created_at: float
    """Seconds since the epoch, for people; nothing is decided by it."""

    note: str
    tree: OperatorTree
    limit_changes: dict[str, tuple[LimitChange, ...]]
    """Recent changes of each organisation's effective limit, oldest first."""

    def to_bytes(self) -> bytes:
        """Write the document, compressed, leaving out everything that is inherited.

        Each change goes whole to a few watchers in every zone and from there to all entries;
        at 430 organisations and 4,000 instances compression makes it a tenth.
        """
        document = {
            "version": self.version,
            "change_id": self.change_id,
            "author": self.author,
            "created_at": self.created_at,
            "note": self.note,
            "tree": self.tree.model_dump(mode="json", exclude_defaults=True),
            "limit_changes": {
                organisation: [[change.version, change.limit] for change in changes]
                for organisation, changes in self.limit_changes.items()
            },
        }
        return zlib.compress(orjson.dumps(document))

    @classmethod
    def from_bytes(cls, data: bytes) -> Configuration:
        """Read a document.

        Raises:
            SettingsError: Its tree is not valid.
            ValueError: It is no document of ours.
        """
        try:
            document: dict[str, Any] = orjson.loads(zlib.decompress(data))
        except zlib.error as error:
            raise ValueError(f"configuration is not compressed: {error}") from error
        tree = validate(document.pop("tree"), OperatorTree, "configuration in the store")
        changes = {
            organisation: tuple(LimitChange(*pair) for pair in pairs)
            for organisation, pairs in document.pop("limit_changes").items()
        }
        return cls(tree=tree, limit_changes=changes, **document)


def next_limit_changes(
    tree: OperatorTree, version: int, previous: dict[str, tuple[LimitChange, ...]]
) -> dict[str, tuple[LimitChange, ...]]:
    """Extend the record of limit changes by those that `tree` makes at `version`."""
    return {
        organisation: _extend(
            previous.get(organisation, ()),
            LimitChange(version, effective_value(tree, organisation, "limit").value),
        )
        for organisation in tree.of_kind("organisation")
    }


def _extend(old: tuple[LimitChange, ...], change: LimitChange) -> tuple[LimitChange, ...]:
    if old and old[-1].limit == change.limit:
        return old
    if len(old) < MAX_LIMIT_CHANGES:
        return (*old, change)
    merged = LimitChange(old[1].version, max(old[0].limit, old[1].limit))
    return (merged, *old[2:], change)


@dataclass(frozen=True, slots=True)
class Presence:
    """Where one running entry can be reached."""

    instance: str
    incarnation: str
    """Drawn anew at each start, so that a restart at the same address is a new member."""

    zone: str
    peer_host: str
    peer_port: int
    admin_host: str
    admin_port: int

    @property
    def holder(self) -> str:
        """Name under which this run of the entry holds limit units."""
        return f"{self.instance}/{self.incarnation}"

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Presence:
        """Read the document."""
        return cls(**orjson.loads(data))
