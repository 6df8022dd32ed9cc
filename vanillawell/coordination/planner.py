"""Carry out moves and maintenance waves, in the one entry that holds the planner's role.

The role is a key under the entry's lease. Every write of the assignment also requires the role's
key to be unchanged, so an entry that was paused and replaced meanwhile cannot write.
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
from vanillawell.coordination.role import NotHolderError, Role, act_while_held
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

OLDEST_LIST = 60.0
"""Seconds by which the platform's list may lag before no new step is begun."""

LOOKS = 4
"""Further looks in one round at instances that are leaving."""

LOOK_PAUSE = 0.1
"""Seconds between them."""

QUESTIONS_PER_SECOND = 100.0
"""Bounds how often all entries are asked about a leaving instance, whatever their number."""

INSTANCES_PER_SECOND = 2500.0
"""Bounds the processor time of rounds, which grows with the instances."""

ASK_TIMEOUT = 1.0
"""Seconds an entry may take to say what it runs on an instance."""


class Planner:
    """Plan and carry out steps while this entry holds the role."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        platform: PlatformCalls,
        membership: Membership,
        configuration: ConfigurationSync,
        assignment: AssignmentSync,
        demand: Callable[[], Mapping[str, int]],
        access: AdminCalls,
        timing: TimingSettings,
        telemetry: Telemetry,
    ) -> None:
        self._access = access
        self._store = store
        self._keys = keys
        self._platform = platform
        self._list = InstanceListCache(platform)
        self._membership = membership
        self._configuration = configuration
        self._follower = assignment
        self._demand = demand
        self._lending = LendingPlanner()
        self._timing = timing
        self._telemetry = telemetry
        self._role = Role(store, keys.planner, membership)

    async def run(self) -> None:
        """Take the role when it is free and act while it is held, until cancelled."""
        await act_while_held("planner", self._round, self._membership, self._telemetry)

    async def _round(self) -> None:
        policy, tree = self._configuration.policy, self._configuration.tree
        if policy is None or tree is None:
            raise NotHolderError
        await self._role.hold()
        await self._follower.check_store()
        listed = await self._list.current(clock.read())
        await self._advance(policy, _view(policy, tree, listed, self._follower.assignment))
        if listed.age <= OLDEST_LIST:
            await self._begin(policy, tree, listed)
        await self._look_again(policy, tree, listed)
        await anyio.sleep(len(listed.live) / INSTANCES_PER_SECOND)

    async def _look_again(self, policy: Policy, tree: OperatorTree, listed: InstanceList) -> None:
        """Go on soon with instances that are leaving; idle ones are drained at once.

        An instance that moves towards a peak is of use only while the peak lasts.
        """
        pause = max(LOOK_PAUSE, len(self._membership.members) / QUESTIONS_PER_SECOND)
        for _ in range(LOOKS):
            placements = self._follower.assignment.placements.values()
            if not any(item.phase is Phase.LEAVING for item in placements):
                return
            await anyio.sleep(pause)
            await self._advance(policy, _view(policy, tree, listed, self._follower.assignment))

    async def _write(self, assignment: Assignment) -> None:
        """Write the next assignment; raises NotHolderError if anything changed meanwhile."""
        document = assignment.to_bytes()
        transaction = Transaction(
            compares=[
                self._role.guard,
                Compare(self._keys.assignment, self._follower.revision),
            ],
            puts=[Put(self._keys.assignment, document)],
            reads=[self._keys.assignment],
            read_back=True,
        )
        result = await self._store.transact(transaction)
        if self._keys.assignment in result.values:
            self._follower.take(result.values[self._keys.assignment])
        if not result.succeeded:
            raise NotHolderError

    async def _begin(self, policy: Policy, tree: OperatorTree, listed: InstanceList) -> None:
        """Reserve steps, each checked against the assignment that its write requires."""
        needs = self._needs(_view(policy, tree, listed, self._follower.assignment), policy)
        while True:
            view = replace(_view(policy, tree, listed, self._follower.assignment), needs=needs)
            steps = next_steps(view, time.time())
            if not steps:
                return
            await self._place(steps[0].instance, steps[0].placement, view)
            self._log(steps[0])

    def _needs(self, view: FleetView, policy: Policy) -> dict[str, PoolNeed]:
        """Return the instances beyond their own that pools need for their demand."""
        now = clock.read()
        demand = self._demand()
        own = Counter(home.pool for name, home in view.homes.items() if name in view.live)
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
        """Bring every step under way as far as it can go."""
        for instance, placement in list(view.assignment.placements.items()):
            if instance not in view.homes:
                continue
            if placement.phase is Phase.LEAVING:
                await self._advance_leaving(policy, instance, placement)
            elif placement.phase is Phase.REBOOTING:
                await self._advance_rebooting(instance, placement, view.live)

    async def _advance_leaving(self, policy: Policy, instance: str, placement: Placement) -> None:
        bound = policy.pools[placement.pool].drain_bound + self._timing.longest_request
        overdue = time.time() - placement.since > bound
        if not overdue and not await self._drained(instance):
            return
        now = time.time()
        if placement.target:
            following = Placement(placement.target, Phase.SERVING, "", now)
        else:
            following = Placement(placement.pool, Phase.REBOOTING, "", now)
        await self._change(instance, following)

    async def _advance_rebooting(
        self, instance: str, placement: Placement, live: frozenset[str]
    ) -> None:
        """Ask for the reboot until it is done and the list shows the instance as live again."""
        wave = self._follower.assignment.wave
        done = await self._platform.reboot(wave.operation(instance), instance)
        if not done or instance not in live:
            return
        await self._change(instance, Placement(placement.pool, Phase.SERVING), finished=True)

    async def _change(self, instance: str, placement: Placement, finished: bool = False) -> None:
        tree = self._configuration.tree
        assert tree is not None
        home = _homes(tree, self._follower.assignment)[instance].pool
        changed = self._follower.assignment.with_placement(instance, placement, home)
        if finished:
            changed = _finish(changed, instance)
        await self._write(changed)

    async def _drained(self, instance: str) -> bool:
        """Ask all entries whether they have the assignment and run nothing on the instance.

        An entry in a zone that is cut off has left the list of members, has not heard of the
        move, and goes on sending. Asking only those on the list would give its instance away
        under it, and callers would see their requests cut. So the ledgers are read for holders
        of limit units that are off the list, and they count as not having confirmed.
        """
        version = self._follower.version
        answers: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for member in self._membership.members.values():
                tasks.start_soon(self._ask, member, instance, version, answers)
        return all(answers) and not self._membership.unaccounted(await self._holders())

    async def _holders(self) -> set[str]:
        """Return all who hold units of any organisation's limit, by the store's ledgers of now."""
        listing = await self._store.list(self._keys.ledger_prefix)
        ledgers = (Ledger.from_bytes(item.value) for item in listing.items)
        return set(itertools.chain.from_iterable(ledger.holders for ledger in ledgers))

    async def _ask(
        self, member: Presence, instance: str, version: int, answers: list[bool]
    ) -> None:
        async with self._access.client(member) as client:
            try:
                answer = await client.get(f"/executors/{instance}", ASK_TIMEOUT)
            except (NotSentError, NoAnswerError):
                answers.append(False)
                return
        answers.append(answer["assignment"] >= version and answer["running"] == 0)


def _finish(assignment: Assignment, instance: str) -> Assignment:
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
    policy: Policy, tree: OperatorTree, listed: InstanceList, assignment: Assignment
) -> FleetView:
    return FleetView(
        homes=_homes(tree, assignment),
        budgets={name: pool.budget for name, pool in policy.pools.items()},
        spare_pools=frozenset(name for name, pool in policy.pools.items() if not pool.service),
        live=listed.live,
        assignment=assignment,
    )
