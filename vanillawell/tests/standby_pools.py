"""Configure clusters whose machines move between two pools and standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.tests.scheduler_documents import POOL, config

if TYPE_CHECKING:
    from vanillawell.standins.scheduler.machines import StandInMachine
    from vanillawell.tests.scheduler_cluster import Cluster

STANDBY = "pool-standby"
OTHER_POOL = "pool-other"


def configure_standby(built: Cluster) -> None:
    """Configure one pool as the standby pool."""
    services = [{"name": POOL}, {"name": OTHER_POOL}, {"name": STANDBY, "standby": True}]
    built.store.put_document("op/config", config(2, services=services))


def simulate_moves(built: Cluster) -> None:
    """Make a moved machine return with a new executor in its target pool."""
    names = iter(range(1_000))

    async def moved(machine: StandInMachine) -> None:
        if machine.executor in built.hosts:
            built.store.delete(f"servers/{machine.executor}")
        if machine.pool == STANDBY:
            return
        host = await built.add_executor(f"moved-{next(names)}", machine=machine.name)
        machine.executor = host.executor.name
        built.register(host.executor.name, service=machine.pool)

    built.machines.on_move = moved
