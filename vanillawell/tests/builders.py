"""Build test data."""

from __future__ import annotations

import random
from typing import Any

from vanillawell.config.settings import StoreSettings, TimingSettings
from vanillawell.config.tree import OperatorTree
from vanillawell.protocol.documents import Presence
from vanillawell.standins.deployment import Deployment
from vanillawell.standins.load import new_key
from vanillawell.state.limits import LimitChange, OrganisationLimit

QUICK_TIMING: dict[str, Any] = {
    "stop_notice": 0.2,
    "longest_request": 4.0,
    "beat_interval": 0.2,
}
"""Timing settings that shorten tests without changing what they check."""


def deployment(**changes: Any) -> Deployment:
    """Build a small deployment: one zone, one entry, one service, one organisation."""
    document: dict[str, Any] = {
        "name": "test",
        "zones": 1,
        "entries_per_zone": 1,
        "executors_per_service": 2,
        "services": {"check": {"mean_seconds": 0.01, "budget": 1}},
        "organisations": {"guild": {"limit": 8}},
        "timing": QUICK_TIMING,
        "store": {"poll_interval": 0.5, "lease_ttl": 2.0, "timeout": 0.7},
    }
    return Deployment.model_validate(document | changes)


def tree(**nodes: Any) -> OperatorTree:
    """Build a valid tree with one organisation and one pool; `nodes` adds or replaces nodes."""
    document: dict[str, Any] = {
        "fleet": {"kind": "fleet", "settings": {"limit": 10}},
        "guild": {
            "kind": "organisation",
            "parent": "fleet",
            "keys": {"first": {"sha256": "a" * 64}},
        },
        "pool-check": {
            "kind": "pool",
            "parent": "fleet",
            "service": "check",
            "instances": {"check-1": instance()},
        },
    }
    return OperatorTree.model_validate({"nodes": document | nodes})


def instance(zone: str = "zone-1", rack: str = "rack-1", port: int = 8001) -> dict[str, Any]:
    """Build one instance of a pool."""
    return {"address": {"host": "127.0.0.1", "port": port}, "zone": zone, "rack": rack}


def organisation_limit(
    limit: int, *, version: int = 1, reserve: float = 0.0, entries: int = 1
) -> OrganisationLimit:
    """Build an organisation's limit with a single change."""
    return OrganisationLimit((LimitChange(version, limit),), reserve, entries)


def presence(instance: str, incarnation: str = "one", zone: str = "zone-1") -> Presence:
    """Build an entry's presence."""
    return Presence(instance, incarnation, zone, "127.0.0.1", 7000, "127.0.0.1", 7001)


def timing(**changes: Any) -> TimingSettings:
    """Build timing settings."""
    return TimingSettings.model_validate(changes)


def store_settings(port: int, **changes: Any) -> StoreSettings:
    """Build store settings for a port on the loopback address."""
    document = {"address": {"host": "127.0.0.1", "port": port}, **changes}
    return StoreSettings.model_validate(document)


def uuid7(milliseconds: int) -> str:
    """Build a UUIDv7 of a given time."""
    return new_key(random.Random(), milliseconds / 1000)
