"""Carry out instance moves and maintenance waves on the one entry that holds the planner role.

The role is a key bound to the entry's lease. Every write of the assignment also requires the key of
the role to be unchanged, so an entry that was paused and has since been replaced cannot write.
"""

from __future__ import annotations

import itertools
import logging
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.instance_list import InstanceListCache
from vanillawell.coordination.role import NotHolderError, Role, run_while_held
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.state.lending import Lending, LendingPlanner
from vanillawell.state.limits import Ledger
from vanillawell.state.pool_steps import next_steps
from vanillawell.state.pools import (
    Assignment,
    FleetView,
    Home,
    Phase,
    Placement,
    PoolNeed,
    Step,
    WaveState,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from vanillawell.config.settings import TimingSettings
    from vanillawell.config.tree import OperatorTree
    from vanillawell.coordination.assignment import AssignmentSync
    from vanillawell.coordination.configuration import ConfigurationSync
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import Presence, StoreKeys
    from vanillawell.protocol.peer_calls import AdminCalls
    from vanillawell.protocol.platform_calls import InstanceList, PlatformCalls
    from vanillawell.protocol.store import Store
    from vanillawell.state.policy import Policy
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)

MAX_LIST_AGE = 60.0
"""Maximum age in seconds of the platform's instance list at which new steps are begun."""

DRAIN_POLLS = 4
"""Additional polls of draining instances per planning round."""

DRAIN_POLL_INTERVAL = 0.1
"""Minimum seconds between these polls."""

MAX_STATUS_REQUESTS_PER_SECOND = 100.0
"""Maximum requests per second to entries about a draining instance, in a fleet of any size."""

MAX_INSTANCES_PER_SECOND = 2500.0
"""Maximum instances planned per second; bounds the CPU time of rounds in large fleets."""

STATUS_TIMEOUT = 1.0
"""Timeout in seconds of a request to an entry for what it runs on an instance."""


class Planner:
    """Plan and carry out steps while this entry holds the planner role."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        platform: PlatformCalls,
        membership: Membership,
        configuration: ConfigurationSync,
        assignment: AssignmentSync,
        demand: Callable[[], Mapping[str, int]],
        admin_calls: AdminCalls,
        timing: TimingSettings,
        telemetry: Telemetry,
    ) -> None:
        self._admin_calls = admin_calls
        self._store = store
        self._keys = keys
        self._platform = platform
        self._instance_list = InstanceListCache(platform)
        self._membership = membership
        self._configuration = configuration
        self._assignment = assignment
        self._demand = demand
        self._lending = LendingPlanner()
        self._timing = timing
        self._telemetry = telemetry
        self._role = Role(store, keys.planner, membership)

    async def run(self) -> None:
        """Acquire the role when it is free and plan while it is held, until cancelled."""
        await run_while_held("planner", self._round, self._membership, self._telemetry)

    async def _round(self) -> None:
        policy, tree = self._configuration.policy, self._configuration.tree
        if policy is None or tree is None:
            raise NotHolderError
        await self._role.acquire()
        await self._assignment.check_store()
        instance_list = await self._instance_list.current(clock.read())
        await self._advance(policy, _view(policy, tree, instance_list, self._assignment.assignment))
        if instance_list.age <= MAX_LIST_AGE:
            await self._begin_steps(policy, tree, instance_list)
        await self._poll_draining(policy, tree, instance_list)
        await anyio.sleep(len(instance_list.live) / MAX_INSTANCES_PER_SECOND)

    async def _poll_draining(
        self, policy: Policy, tree: OperatorTree, instance_list: InstanceList
    ) -> None:
        """Poll leaving instances at a short interval within a round; idle ones drain immediately.

        An instance that is moved to a pool with peak load must arrive while the peak lasts.
        """
        interval = max(
            DRAIN_POLL_INTERVAL, len(self._membership.members) / MAX_STATUS_REQUESTS_PER_SECOND
        )
        for _ in range(DRAIN_POLLS):
            placements = self._assignment.assignment.placements.values()
            if not any(item.phase is Phase.LEAVING for item in placements):
                return
            await anyio.sleep(interval)
            await self._advance(
                policy, _view(policy, tree, instance_list, self._assignment.assignment)
            )

    async def _write(self, assignment: Assignment) -> None:
        """Write the next assignment; raise NotHolderError if it or the role has changed."""
        document = assignment.to_bytes()
        transaction = Transaction(
            compares=[
                self._role.guard,
                Compare(self._keys.assignment, self._assignment.revision),
            ],
            puts=[Put(self._keys.assignment, document)],
            reads=[self._keys.assignment],
            read_back=True,
        )
        result = await self._store.transact(transaction)
        if self._keys.assignment in result.values:
            self._assignment.apply_stored(result.values[self._keys.assignment])
        if not result.succeeded:
            raise NotHolderError

    async def _begin_steps(
        self, policy: Policy, tree: OperatorTree, instance_list: InstanceList
    ) -> None:
        """Begin new steps; each write requires the assignment that the step was checked against."""
        needs = self._needs(_view(policy, tree, instance_list, self._assignment.assignment), policy)
        while True:
            view = replace(
                _view(policy, tree, instance_list, self._assignment.assignment), needs=needs
            )
            steps = next_steps(view, time.time())
            if not steps:
                return
            await self._place(steps[0].instance, steps[0].placement, view)
            self._log(steps[0])

    def _needs(self, view: FleetView, policy: Policy) -> dict[str, PoolNeed]:
        """Return how many borrowed instances each pool needs for its demand."""
        now = clock.read()
        demand = self._demand()
        own = Counter(
            home.pool
            for name, home in view.homes.items()
            if name in view.live and not view.is_evacuated(name)
        )
        return {
            name: self._lending.need(
                name, Lending(pool.lending), demand.get(name, 0), own[name], pool.slots, now
            )
            for name, pool in policy.pools.items()
            if pool.service
        }

    def _log(self, step: Step) -> None:
        self._telemetry.moves.inc({"reason": step.reason})
        fields = {
            "subject": f"instance {step.instance}",
            "state": f"{step.placement.phase} {step.placement.pool}",
            "target": step.placement.target,
            "reason": step.reason,
        }
        log.info("state changed", extra=fields)

    async def _place(self, instance: str, placement: Placement, view: FleetView) -> None:
        home = view.homes[instance].pool
        await self._write(view.assignment.with_placement(instance, placement, home))

    async def _advance(self, policy: Policy, view: FleetView) -> None:
        """Advance every step in progress as far as possible."""
        for instance, placement in list(view.assignment.placements.items()):
            if instance not in view.homes:
                continue
            if placement.phase is Phase.LEAVING:
                await self._advance_leaving(policy, instance, placement)
            elif placement.phase is Phase.REBOOTING:
                await self._advance_rebooting(instance, placement, view.live)

    async def _advance_leaving(self, policy: Policy, instance: str, placement: Placement) -> None:
        timeout = policy.pools[placement.pool].drain_bound + self._timing.longest_request
        overdue = time.time() - placement.since > timeout
        if not overdue and not await self._drained(instance):
            return
        now = time.time()
        if placement.target:
            next_placement = Placement(placement.target, Phase.SERVING, "", now)
        else:
            next_placement = Placement(placement.pool, Phase.REBOOTING, "", now)
        await self._change(instance, next_placement)

    async def _advance_rebooting(
        self, instance: str, placement: Placement, live: frozenset[str]
    ) -> None:
        """Request the reboot until it is done and the instance list shows the instance as live."""
        wave = self._assignment.assignment.wave
        done = await self._platform.reboot(wave.operation(instance), instance)
        if not done or instance not in live:
            return
        await self._change(instance, Placement(placement.pool, Phase.SERVING), rebooted=True)

    async def _change(self, instance: str, placement: Placement, rebooted: bool = False) -> None:
        tree = self._configuration.tree
        assert tree is not None
        home = _homes(tree, self._assignment.assignment)[instance].pool
        changed = self._assignment.assignment.with_placement(instance, placement, home)
        if rebooted:
            changed = _mark_rebooted(changed, instance)
        await self._write(changed)

    async def _drained(self, instance: str) -> bool:
        """Return whether all entries have the assignment and run nothing on the instance.

        An entry in a zone that is cut off drops out of the member list, does not receive the
        assignment and continues to send requests. If only listed members were asked, the instance
        would be reassigned while that entry uses it, and requests would be cut off. The ledgers
        are therefore checked for holders of limit units that are not listed; while such a holder
        may be active, the instance does not count as drained.
        """
        version = self._assignment.version
        drained: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for member in self._membership.members.values():
                tasks.start_soon(self._query_entry, member, instance, version, drained)
        return all(drained) and not self._membership.possibly_active(await self._holders())

    async def _holders(self) -> set[str]:
        """Return all holders of units of any limit, read from the ledgers in the store."""
        listing = await self._store.list(self._keys.ledger_prefix)
        ledgers = (Ledger.from_bytes(item.value) for item in listing.items)
        return set(itertools.chain.from_iterable(ledger.holders for ledger in ledgers))

    async def _query_entry(
        self, member: Presence, instance: str, version: int, drained: list[bool]
    ) -> None:
        async with self._admin_calls.client(member) as client:
            try:
                answer = await client.get(f"/executors/{instance}", STATUS_TIMEOUT)
            except (NotSentError, NoAnswerError):
                drained.append(False)
                return
        drained.append(answer["assignment"] >= version and answer["running"] == 0)


def _mark_rebooted(assignment: Assignment, instance: str) -> Assignment:
    wave = assignment.wave
    remaining = tuple(name for name in wave.remaining if name != instance)
    state = wave.state if remaining else WaveState.DONE
    done = (*wave.done, instance)
    return replace(assignment, wave=replace(wave, remaining=remaining, done=done, state=state))


def _homes(tree: OperatorTree, assignment: Assignment) -> dict[str, Home]:
    return {
        name: Home(assignment.home_of(name, pool), item.zone, item.rack)
        for pool, node in tree.of_kind("pool").items()
        for name, item in node.instances.items()
    }


def _view(
    policy: Policy, tree: OperatorTree, instance_list: InstanceList, assignment: Assignment
) -> FleetView:
    return FleetView(
        homes=_homes(tree, assignment),
        budgets={name: pool.budget for name, pool in policy.pools.items()},
        spare_pools=frozenset(name for name, pool in policy.pools.items() if not pool.service),
        live=instance_list.live,
        assignment=assignment,
        evacuated_zones=policy.evacuated_zones,
    )
