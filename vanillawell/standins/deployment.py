"""Describe a deployment to emulate: zones, entries, services, organisations and latencies."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import Field

from vanillawell.config.settings import Name, StrictModel
from vanillawell.config.tree import OperatorTree

SPARE = "spare"
"""Service name that denotes the spare pool."""

RACK_SIZE = 4
"""Instances of a pool per rack; the next rack of the pool is in the next zone."""


class OrganisationPlan(StrictModel):
    """Share, limit and load weight of one organisation."""

    share: float = 1.0
    limit: int = 20
    weight: float = 1.0
    """Weight of its load relative to the loads of the other organisations."""


class ServicePlan(StrictModel):
    """One service and the pool of executors that runs it."""

    mean_seconds: float = 0.05
    """Mean run time of a request."""

    budget: int = 3
    """Instances of the pool that must be available at all times."""


class Deployment(StrictModel):
    """One fleet to emulate."""

    name: Name
    zones: Annotated[int, Field(ge=1, le=20)] = 3
    entries_per_zone: Annotated[int, Field(ge=1, le=10)] = 3
    zone_delay_ms: float = 0.0
    """One-way latency between two zones."""

    client_delay_ms: float = 0.0
    """One-way latency between callers and entries."""

    executors_per_service: int = 6
    slots: int = 8
    spares: int = 0
    """Number of instances of the spare pool, each in a rack of its own."""

    services: dict[Name, ServicePlan]
    organisations: dict[Name, OrganisationPlan]
    fleet_settings: dict[str, Any] = {}
    """Settings of the root node of the operators' configuration tree."""

    timing: dict[str, Any] = {}
    """Timing settings of every entry."""

    experiment: dict[str, Any] = {}
    """Baselines that every entry uses instead of vanillawell's own decisions."""

    seeded: bool = False
    """Whether the first entry is named as a seed in the settings of all others."""

    entry_settings: dict[str, Any] = {}
    """Additional settings of every entry, for example TLS."""

    backend_options: list[str] = []
    """Additional options of the backend server emulator."""

    cli_options: list[str] = []
    """Options that are passed to every call of the command line."""

    store_users: dict[str, str] = {}
    """Passwords of the store's users; empty if it requires no authentication."""

    store: dict[str, Any] = {}
    """Store settings of every entry, except for its address."""


@dataclass(frozen=True, slots=True)
class ExecutorPlacement:
    """Service, zone and rack of one executor."""

    name: str
    service: str
    zone: int
    """Zone number, from 1."""

    rack: str


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return f"zone-{number}"


def entry_names(deployment: Deployment) -> list[tuple[str, int, int]]:
    """Return name, zone number and number within the zone of each entry."""
    return [
        (f"entry-{zone}-{number}", zone, number)
        for zone in range(1, deployment.zones + 1)
        for number in range(1, deployment.entries_per_zone + 1)
    ]


def executor_placements(deployment: Deployment) -> list[ExecutorPlacement]:
    """Place each service's executors in racks of four, one zone after the other."""
    placements = [
        _service_placement(deployment, index, service, number)
        for index, service in enumerate(deployment.services)
        for number in range(deployment.executors_per_service)
    ]
    return placements + [
        _spare_placement(deployment, number) for number in range(deployment.spares)
    ]


def _spare_placement(deployment: Deployment, number: int) -> ExecutorPlacement:
    zone = number % deployment.zones + 1
    return ExecutorPlacement(f"spare-{number + 1}", SPARE, zone, f"rack-{zone}-spare-{number + 1}")


def _service_placement(
    deployment: Deployment, index: int, service: str, number: int
) -> ExecutorPlacement:
    rack_index = number // RACK_SIZE
    zone = (index + rack_index) % deployment.zones + 1
    return ExecutorPlacement(
        name=f"{service}-{number + 1}",
        service=service,
        zone=zone,
        rack=f"rack-{zone}-{index + 1}",
    )


def organisation_key(organisation: str) -> str:
    """Return the key that the emulated callers of an organisation use."""
    return f"vw-demo-{organisation}"


def operator_tree(deployment: Deployment, ports: dict[str, int]) -> OperatorTree:
    """Build the operators' configuration tree; `ports` has the port of each executor."""
    nodes: dict[str, Any] = {"fleet": {"kind": "fleet", "settings": deployment.fleet_settings}}
    for number in range(1, deployment.zones + 1):
        nodes[zone_name(number)] = {"kind": "zone", "parent": "fleet"}
    for service, plan in deployment.services.items():
        nodes[f"pool-{service}"] = {
            "kind": "pool",
            "parent": "fleet",
            "service": service,
            "settings": {"budget": plan.budget, "slots": deployment.slots},
            "instances": _instances(deployment, service, ports),
        }
    if deployment.spares:
        instances = _instances(deployment, SPARE, ports)
        nodes["pool-spare"] = {"kind": "pool", "parent": "fleet", "instances": instances}
    for organisation, organisation_plan in deployment.organisations.items():
        digest = hashlib.sha256(organisation_key(organisation).encode()).hexdigest()
        nodes[organisation] = {
            "kind": "organisation",
            "parent": "fleet",
            "settings": {"share": organisation_plan.share, "limit": organisation_plan.limit},
            "keys": {"first": {"sha256": digest}},
        }
    return OperatorTree.model_validate({"nodes": nodes})


def _instances(deployment: Deployment, service: str, ports: dict[str, int]) -> dict[str, Any]:
    return {
        placement.name: {
            "address": {"host": "127.0.0.1", "port": ports[placement.name]},
            "zone": zone_name(placement.zone),
            "rack": placement.rack,
        }
        for placement in executor_placements(deployment)
        if placement.service == service
    }
