"""Model one version of the configuration, compiled for fast decisions."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, replace
from functools import cached_property
from typing import TYPE_CHECKING

from vanillawell.config.effective import effective_settings
from vanillawell.state.limits import LimitChange
from vanillawell.state.pools import current_pools

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.config.tree import OperatorTree
    from vanillawell.state.pools import Assignment


@dataclass(frozen=True, slots=True)
class OrganisationPolicy:
    """Effective settings of one organisation."""

    name: str
    share: float
    limit: int
    limit_changes: tuple[LimitChange, ...]
    reserve: float
    queue_length: int
    longest_timeout: float
    key_freshness: float
    objective_seconds: float


@dataclass(frozen=True, slots=True)
class Executor:
    """A backend server instance of a pool."""

    name: str
    host: str
    port: int
    zone: str
    rack: str


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Effective settings of one pool."""

    name: str
    service: str | None
    executors: tuple[Executor, ...]
    budget: int
    slots: int
    connections: int
    body_bound: int
    retry_ratio: float
    attempts: int
    eject_ratio: float
    eject_cap: float
    drain_bound: float
    lending: str


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The organisation that a valid key belongs to."""

    organisation: str
    key_id: str
    sha256: str


@dataclass(frozen=True)
class Policy:
    """One version of the configuration."""

    version: int
    organisations: dict[str, OrganisationPolicy]
    pools: dict[str, PoolPolicy]
    keys: dict[str, KeyOwner]
    """Valid keys by their hash."""

    evacuated_zones: frozenset[str] = frozenset()
    """Availability zones whose instances get no new requests."""

    @cached_property
    def services(self) -> dict[str, PoolPolicy]:
        """Return the pool that runs each service."""
        return {pool.service: pool for pool in self.pools.values() if pool.service}

    def owner(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, or None if the key is unknown or withdrawn."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self.keys.get(digest)
        if found is None or not hmac.compare_digest(found.sha256, digest):
            return None
        return found


def place_executors(policy: Policy, assignment: Assignment) -> Policy:
    """Return the policy with each instance in the pool that it serves now.

    Instances in evacuated zones are in no pool, so they count for no slots and get no requests.
    """
    executors = {item.name: item for pool in policy.pools.values() for item in pool.executors}
    homes = {item.name: pool.name for pool in policy.pools.values() for item in pool.executors}
    serving = {
        name: pool
        for name, pool in current_pools(homes, assignment).items()
        if executors[name].zone not in policy.evacuated_zones
    }
    pools = {
        name: replace(
            pool, executors=tuple(executors[key] for key in sorted(serving) if serving[key] == name)
        )
        for name, pool in policy.pools.items()
    }
    return replace(policy, pools=pools)


def compile_policy(
    tree: OperatorTree, version: int, limit_changes: Mapping[str, tuple[LimitChange, ...]]
) -> Policy:
    """Compile the configuration tree, resolving inheritance once instead of for each request."""
    organisations = {
        name: _organisation(tree, name, limit_changes[name])
        for name in tree.of_kind("organisation")
    }
    pools = {name: _pool(tree, name) for name in tree.of_kind("pool")}
    keys = {
        key.sha256: KeyOwner(organisation, key_id, key.sha256)
        for organisation, node in tree.of_kind("organisation").items()
        for key_id, key in node.keys.items()
        if not key.withdrawn
    }
    return Policy(version, organisations, pools, keys, frozenset(tree.evacuations))


def _organisation(
    tree: OperatorTree, name: str, changes: tuple[LimitChange, ...]
) -> OrganisationPolicy:
    values = {key: item.value for key, item in effective_settings(tree, name).items()}
    fields = OrganisationPolicy.__dataclass_fields__
    chosen = {key: values[key] for key in fields if key in values}
    return OrganisationPolicy(name=name, limit_changes=changes, **chosen)


def _pool(tree: OperatorTree, name: str) -> PoolPolicy:
    values = {key: item.value for key, item in effective_settings(tree, name).items()}
    node = tree.nodes[name]
    executors = tuple(
        Executor(key, item.address.host, item.address.port, item.zone, item.rack)
        for key, item in sorted(node.instances.items())
    )
    fields = PoolPolicy.__dataclass_fields__
    chosen = {key: values[key] for key in fields if key in values}
    return PoolPolicy(name=name, service=node.service, executors=executors, **chosen)
