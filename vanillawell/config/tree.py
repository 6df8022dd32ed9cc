"""Define the operators' tree: nodes that inherit settings and override only what differs."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from vanillawell.config.settings import Address, Name, Seconds, StrictModel

ROOT = "fleet"
"""Name of the root node."""

Kind = Literal["fleet", "region", "zone", "group", "organisation", "pool"]
Ratio = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]


class ScopedSettings(StrictModel):
    """Settings that any node may set; None means inherited from the parent."""

    share: Annotated[float, Field(gt=0, le=1e6)] | None = None
    """Weight of an organisation when all slots are taken."""

    limit: Count | None = None
    """Most requests of an organisation that may run at once across the whole fleet."""

    guaranteed: Count | None = None
    """Slots promised to an organisation when all is full; a limit below it is refused."""

    reserve: Ratio | None = None
    """Part of an organisation's limit that stays spread over all entries for zones that get cut
    off."""

    queue_length: Count | None = None
    """Most requests of an organisation that wait in one entry for one pool."""

    longest_timeout: Seconds | None = None
    """Most seconds a caller may ask an entry to try; also the default."""

    key_freshness: Seconds | None = None
    """Seconds that keys are accepted on a configuration that nobody has confirmed as fresh."""

    objective: Annotated[float, Field(gt=0, lt=1)] | None = None
    """Part of requests that must be good; the rest is the error budget."""

    objective_seconds: Seconds | None = None
    """Seconds within which an answer counts as good."""

    budget: Count | None = None
    """Least number of available instances in a pool."""

    slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    """Requests that one executor runs at once."""

    connections: Annotated[int, Field(ge=1, le=100_000)] | None = None
    """Connections that one executor accepts from all entries together."""

    body_bound: Annotated[int, Field(ge=0, le=64 * 2**20)] | None = None
    """Largest request body, in bytes."""

    retry_ratio: Ratio | None = None
    """Retries allowed per first attempt."""

    attempts: Annotated[int, Field(ge=1, le=10)] | None = None
    """Executors tried before a failing request gets its final error."""

    eject_ratio: Ratio | None = None
    """Part of recent attempts that must fail before an executor is left out."""

    eject_cap: Ratio | None = None
    """Largest part of a pool that may be left out at once."""

    drain_bound: Seconds | None = None
    """Seconds after which a leaving instance counts as drained even without confirmation."""

    lending: Literal["off", "buffer-cost", "nearness"] | None = None
    """Which measure weighs most when spare instances are lent to a pool for its demand."""


DEFAULTS = ScopedSettings(
    share=1.0,
    limit=0,
    guaranteed=0,
    reserve=0.25,
    queue_length=200,
    longest_timeout=10.0,
    key_freshness=600.0,
    objective=0.999,
    objective_seconds=5.0,
    budget=0,
    slots=8,
    connections=64,
    body_bound=1_048_576,
    retry_ratio=0.2,
    attempts=3,
    eject_ratio=0.5,
    eject_cap=0.5,
    drain_bound=60.0,
    lending="off",
)
"""Effective values of settings that no node sets."""


class Key(StrictModel):
    """One organisation key; only its hash is kept."""

    sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
    """SHA-256 of the key, in hexadecimal."""

    withdrawn: bool = False
    """A withdrawn key is refused."""


class Instance(StrictModel):
    """One backend server instance."""

    address: Address
    """Where its executor takes requests."""

    zone: Name
    """Availability zone it stands in."""

    rack: Name
    """Rack it stands in: a failure domain."""


class Node(StrictModel):
    """One level of the tree."""

    kind: Kind
    """What the node stands for."""

    parent: Name | None = None
    """Node whose settings it inherits; None only for the root."""

    settings: ScopedSettings = ScopedSettings()
    """What differs from the parent."""

    keys: dict[Name, Key] = {}
    """Keys of an organisation by id."""

    service: Name | None = None
    """Service that a pool runs; None for the spare pool."""

    instances: dict[Name, Instance] = {}
    """Instances of a pool by name."""


class Evacuation(StrictModel):
    """An availability zone that was taken out of use."""

    author: str
    """User who requested it."""

    since: float
    """When it was requested, in seconds since the epoch."""

    reason: str = ""
    """Why it was requested."""


class OperatorTree(StrictModel):
    """The operators' whole configuration."""

    format: Literal[1] = 1
    """Version of this format."""

    nodes: dict[Name, Node]
    """All nodes by name."""

    evacuations: dict[Name, Evacuation] = {}
    """Availability zones whose instances get no new requests, by name."""

    def zones(self) -> set[str]:
        """Return the availability zones of all instances."""
        return {
            instance.zone for node in self.nodes.values() for instance in node.instances.values()
        }

    def ancestry(self, name: str) -> list[str]:
        """Return a node and its ancestors, nearest first, up to a cycle or a missing parent."""
        names: list[str] = []
        current: str | None = name
        while current is not None and current in self.nodes and current not in names:
            names.append(current)
            current = self.nodes[current].parent
        return names

    def of_kind(self, kind: Kind) -> dict[str, Node]:
        """Return the nodes of one kind by name."""
        return {name: node for name, node in self.nodes.items() if node.kind == kind}
