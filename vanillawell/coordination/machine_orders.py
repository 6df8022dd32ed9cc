"""Give machine orders in the name of a term, without conflicting with those of a previous owner.

A previous owner may have given an order for a machine just before it was replaced, and the machine
service must not see orders of two holders for the same machine within a minimum interval. Therefore
the machines of the latest orders are stored before the orders are sent, and a new owner excludes
only those machines for that interval. Excluding all machines would leave a pool without new
machines for seconds after each change of owner.

The age of the orders is measured by the monotonic clocks of executors, whose readings are stored
with them. Wall clocks of two entries may differ by seconds, and counting from the change of owner
would prolong the exclusion by the seconds in which nobody owned the shard.
"""

from __future__ import annotations

import itertools
import logging
from enum import StrEnum
from typing import TYPE_CHECKING

import orjson

from vanillawell import clock
from vanillawell.coordination.leases import REFERENCE_CLOCKS, min_elapsed
from vanillawell.exceptions import StoreError
from vanillawell.protocol.checked_values import mapping, number, text
from vanillawell.protocol.machine_calls import MachineDuty
from vanillawell.protocol.store import Put

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.leases import ExecutorClocks
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.work_keys import WorkKeys

log = logging.getLogger(__name__)

ORDER_FRESHNESS = 0.5
"""Seconds after its announcement within which an order has to be sent, while the store is fast."""

MAX_ORDER_FRESHNESS = 3.0
"""Maximum seconds to which that limit grows while the store is slow."""

ARRIVAL_TIMEOUT = 4.0
"""Seconds after which a moved machine that has not arrived is no longer expected."""

FRESHNESS_FACTOR = 2
"""Multiple of the time that an announcement took to which the limit is raised, since the next one
may be slower."""


class ClaimPurpose(StrEnum):
    """The purpose that a machine is claimed for."""

    MOVE = "move"
    UPKEEP = "upkeep"


class MachineOrders:
    """Hold the right to give machine orders during one term."""

    def __init__(
        self,
        term: Term,
        ports: Ports,
        keys: WorkKeys,
        shard: str,
        holder: str,
        exclusion_period: float,
        clocks: ExecutorClocks,
    ) -> None:
        """Initialise the orders; `exclusion_period` is the seconds for which a machine of a
        previous owner's order is excluded."""
        self._term = term
        self._store = ports.store
        self._key = keys.machine_orders(shard)
        self._exclusion_period = exclusion_period
        self._retention = max(exclusion_period, ARRIVAL_TIMEOUT)
        """Seconds for which an order is stored for successors."""

        self._clocks = clocks
        self._started_at = clock.read()
        self._inherited: dict[str, float] | None = None
        """Machines of a previous owner's latest orders, with the age of each order when it was
        stored."""

        self._inherited_pools: dict[str, str] = {}
        """The target pools of these machines; orders that do not move a machine have none."""

        self._inherited_clocks: dict[str, float] = {}
        self._freshness = ORDER_FRESHNESS
        self._inherited_freshness = ORDER_FRESHNESS
        self._all_orderable_at = float("-inf")
        self._fresh_until: dict[str, float] = {}
        """Time until which the order for each announced machine may be sent."""

        self._recent_orders: dict[str, float] = {}
        self._pools: dict[str, str] = {}
        self._claims: dict[str, ClaimPurpose] = {}
        self.duty = MachineDuty(holder, term.token)

    async def load(self) -> bool:
        """Read the machines that a previous owner gave orders for; return False if the store is
        unavailable."""
        if self._inherited is not None:
            return True
        try:
            stored = await self._store.get(self._key)
        except StoreError as error:
            log.warning("machine orders of the previous owner not read", extra={"why": str(error)})
            return False
        if stored is None:
            self._inherited = {}
            return True
        try:
            self._read_announcement(stored.value)
        except (ValueError, KeyError) as error:
            # The document is damaged or of an earlier version: any machine may have a recent order.
            log.error("machine orders of the previous owner unreadable", extra={"why": repr(error)})
            self._inherited_pools = {}
            self._inherited, self._all_orderable_at = (
                {},
                self._started_at + self._exclusion_period + MAX_ORDER_FRESHNESS,
            )
        return True

    def _read_announcement(self, value: bytes) -> None:
        """Read a previous owner's announcement.

        Raises:
            ValueError: The document has another structure, or a value of another type.
            KeyError: A field is missing.
        """
        document = mapping(orjson.loads(value))
        stored_pools = mapping(document.get("pools", {}))  # earlier versions do not store them
        pools = {name: text(pool) for name, pool in stored_pools.items()}
        ages = {name: number(age) for name, age in mapping(document["machines"]).items()}
        freshness = number(document.get("freshness", MAX_ORDER_FRESHNESS))
        clocks = {life: number(time) for life, time in mapping(document["clocks"]).items()}
        self._inherited_pools, self._inherited = pools, ages
        self._inherited_freshness, self._inherited_clocks = freshness, clocks

    def may_order(self, machine: str, now: float) -> bool:
        """Return whether no previous owner can have given a recent order for the machine."""
        if self._inherited is None or not self._term.is_held(now) or now < self._all_orderable_at:
            return False
        return self.is_over(machine, now)

    def is_over(self, machine: str, now: float) -> bool:
        """Return whether no order of a previous owner for the machine can take effect any more."""
        age = (self._inherited or {}).get(machine)
        if age is None:
            return True
        return (
            age + self._time_since_inherited(now)
            > self._exclusion_period + self._inherited_freshness
        )

    def pending_of_previous_owner(self, now: float) -> dict[str, str]:
        """Return the machines for which orders of a previous owner may still take effect.

        Each machine is mapped to its target pool, or to "" if the order does not change the pool or
        was given by an earlier version.
        """
        return {
            name: self._inherited_pools.get(name, "")
            for name in self._inherited or {}
            if not self.is_over(name, now)
        }

    def ordered_by_previous_owner(self, now: float) -> set[str]:
        """Return the machines of a previous owner's latest orders that may still be moving."""
        passed = self._time_since_inherited(now)
        inherited = self._inherited or {}
        return {name for name, age in inherited.items() if age + passed <= ARRIVAL_TIMEOUT}

    def claim(self, machine: str, purpose: ClaimPurpose) -> bool:
        """Claim the exclusive right to order a machine; return False if it is claimed for another
        purpose.

        A wave and a pool may need the same machine. Without a claim, one of them could send an
        order decided before the other's order took effect, and end runs that have started on the
        machine since.
        """
        return self._claims.setdefault(machine, purpose) is purpose

    def release(self, machine: str, purpose: ClaimPurpose) -> None:
        """Release a claim once no further orders depend on it."""
        if self._claims.get(machine) is purpose:
            del self._claims[machine]

    def is_claimed(self, machine: str) -> bool:
        """Return whether a machine is claimed for any purpose."""
        return machine in self._claims

    def _time_since_inherited(self, now: float) -> float:
        """Return the seconds that have certainly passed since the previous owner's announcement."""
        passed = min_elapsed(self._inherited_clocks, self._clocks.lower_bound(now))
        return max(now - self._started_at, passed)

    def is_fresh(self, machine: str, now: float) -> bool:
        """Return whether the order that was last announced for a machine may still be sent."""
        return now <= self._fresh_until.get(machine, float("-inf"))

    async def announce(self, machines: Mapping[str, str]) -> None:
        """Store that orders for these machines are about to be sent; raise TermLostError if the
        term is lost.

        Each machine is mapped to its target pool, or to "" if the order does not change the pool.
        """
        now = clock.read()
        recent = {
            name: ordered_at
            for name, ordered_at in self._recent_orders.items()
            if ordered_at > now - self._retention
        }
        self._recent_orders = {**recent, **dict.fromkeys(machines, now)}
        ages = {name: now - ordered_at for name, ordered_at in self._recent_orders.items()}
        self._pools.update(machines)
        pools = {**self._inherited_pools, **self._pools}
        clocks = dict(itertools.islice(self._clocks.upper_bound(now).items(), REFERENCE_CLOCKS))
        inherited = self._inherited_ages(now)
        document = {
            "machines": {**inherited, **ages},
            "pools": {name: pools[name] for name in inherited | ages if pools.get(name)},
            "clocks": clocks,
            "freshness": max(self._freshness, self._inherited_freshness if inherited else 0.0),
        }
        await self._term.write([Put(self._key, orjson.dumps(document))])
        self._fresh_until = {
            **{name: until for name, until in self._fresh_until.items() if until > now},
            **dict.fromkeys(machines, now + self._freshness),
        }
        self._adapt_freshness(clock.read() - now)

    def _adapt_freshness(self, took: float) -> None:
        """Allow more time for later orders if an announcement took long.

        With a fixed limit of half a second, no order was sent for as long as the store was slow,
        and a pool stayed at half of its required size during a peak.
        """
        limit = min(MAX_ORDER_FRESHNESS, FRESHNESS_FACTOR * took)
        if limit > self._freshness:
            self._freshness = limit
            log.info("time limit for announced orders raised", extra={"freshness": round(limit, 3)})

    def _inherited_ages(self, now: float) -> dict[str, float]:
        """Return the machines of the previous owner's orders that are stored for successors again,
        with the ages of the orders."""
        passed = self._time_since_inherited(now)
        ages = {name: age + passed for name, age in (self._inherited or {}).items()}
        bound = max(self._retention, self._exclusion_period + self._inherited_freshness)
        return {name: age for name, age in ages.items() if age <= bound}
