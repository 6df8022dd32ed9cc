"""Describe a deployment to emulate: zones, entries, services, organisations and latencies."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import Field

from vanillawell.config.settings import Name, StrictModel
from vanillawell.config.tree import OperatorTree

SPARE = "spare"
"""Stands for the spare pool where a service is named."""

RACK_SIZE = 4
"""Instances of a pool that share a rack; the rest stand in a rack of the next zone."""


class OrganisationPlan(StrictModel):
    """One organisation."""

    share: float = 1.0
    limit: int = 20
    weight: float = 1.0
    """Part of the load that it sends, relative to the others."""


class ServicePlan(StrictModel):
    """One service and the pool of executors that runs it."""

    mean_seconds: float = 0.05
    """Mean run time of a request."""

    budget: int = 3
    """Instances of the pool that must be available at all times."""


class Deployment(StrictModel):
    """One user's fleet."""

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
    """Instances of the spare pool, each in a rack of its own."""

    services: dict[Name, ServicePlan]
    organisations: dict[Name, OrganisationPlan]
    fleet_settings: dict[str, Any] = {}
    """Settings of the operators' root node."""

    timing: dict[str, Any] = {}
    """Timing settings of every entry."""

    experiment: dict[str, Any] = {}
    """Baselines that every entry uses instead of the product's decisions."""

    seeded: bool = False
    """Name the first entry as a seed in the settings of all others."""

    entry_settings: dict[str, Any] = {}
    """Further settings of every entry, for instance TLS."""

    backend_options: list[str] = []
    """Further options of the backend servers' stand-in."""

    cli_options: list[str] = []
    """Options that every call of the command line gets."""

    store_users: dict[str, str] = {}
    """Passwords of the store's users; empty if it asks for none."""

    store: dict[str, Any] = {}
    """Store settings of every entry, except for its address."""


@dataclass(frozen=True, slots=True)
class ExecutorPlacement:
    """One executor of a deployment."""

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
    """Place each service's executors: four in a rack of one zone, the rest in the next zone."""
    served = [
        _place(deployment, index, service, number)
        for index, service in enumerate(deployment.services)
        for number in range(deployment.executors_per_service)
    ]
    return served + [_spare(deployment, number) for number in range(deployment.spares)]


def _spare(deployment: Deployment, number: int) -> ExecutorPlacement:
    zone = number % deployment.zones + 1
    return ExecutorPlacement(f"spare-{number + 1}", SPARE, zone, f"rack-{zone}-spare-{number + 1}")


def _place(deployment: Deployment, index: int, service: str, number: int) -> ExecutorPlacement:
    block = number // RACK_SIZE
    zone = (index + block) % deployment.zones + 1
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
    """Build the operators' tree; `ports` gives the address of each executor."""
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
        place.name: {
            "address": {"host": "127.0.0.1", "port": ports[place.name]},
            "zone": zone_name(place.zone),
            "rack": place.rack,
        }
        for place in executor_placements(deployment)
        if place.service == service
    }
