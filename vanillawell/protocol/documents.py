"""Define the documents and keys that vanillawell keeps in the platform's key-value store."""

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
"""Maximum number of recorded changes of one organisation's limit; older ones are merged into one
with the highest of their limits."""


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """Names of the keys in the store, under one prefix."""

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
        """Key of the planner role, attached to the lease of its holder."""
        return f"{self.prefix}/role/planner"

    @property
    def jobs(self) -> str:
        """Key of the document with all deferrable jobs."""
        return f"{self.prefix}/jobs"

    @property
    def job_runner(self) -> str:
        """Key of the job runner role, attached to the lease of its holder."""
        return f"{self.prefix}/role/job-runner"

    def presence(self, instance: str) -> str:
        """Key of one entry's presence, attached to the entry's lease."""
        return f"{self.prefix}/presence/{instance}"

    @property
    def presence_prefix(self) -> str:
        """Prefix of the presence keys of all entries."""
        return f"{self.prefix}/presence/"

    @property
    def ledger_prefix(self) -> str:
        """Prefix of the limit ledgers of all organisations."""
        return f"{self.prefix}/ledger/"

    def ledger(self, organisation: str) -> str:
        """Key of one organisation's limit ledger."""
        return f"{self.prefix}/ledger/{organisation}"

    def claim(self, organisation: str, idempotency_key: str) -> str:
        """Key of the claim on one request with an Idempotency-Key."""
        return f"{self.prefix}/claim/{organisation}/{idempotency_key}"


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operators' tree."""

    version: int
    """Increases by one with each change."""

    change_id: str
    """Id chosen by the author, which identifies its own change after an unacknowledged write."""

    author: str
    created_at: float
    """Seconds since the epoch, for display only."""

    note: str
    tree: OperatorTree
    limit_changes: dict[str, tuple[LimitChange, ...]]
    """Recent changes of each organisation's effective limit, oldest first."""

    def to_bytes(self) -> bytes:
        """Serialise and compress the document, without fields that have their default.

        Each change is sent in full to a few watchers in every zone and from there to all entries;
        at 430 organisations and 4,000 instances, compression reduces it to a tenth.
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
        """Parse a document.

        Raises:
            SettingsError: The operators' tree in it is not valid.
            ValueError: It is not a configuration document.
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
    """Return `previous` extended by the limit changes that `tree` makes at `version`."""
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
    """Addresses and identity of one running entry."""

    instance: str
    incarnation: str
    """Random value drawn at each start: an entry restarted at the same address is a new member."""

    zone: str
    peer_host: str
    peer_port: int
    admin_host: str
    admin_port: int

    @property
    def holder(self) -> str:
        """Name under which this incarnation of the entry holds limit units."""
        return f"{self.instance}/{self.incarnation}"

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(self)

    @classmethod
    def from_bytes(cls, data: bytes) -> Presence:
        """Parse the document."""
        return cls(**orjson.loads(data))
