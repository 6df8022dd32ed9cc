"""Give orders for machines in the name of a term, without crossing those of a former owner.

A former owner may have given an order for a machine just before it was replaced, and the service
behind it must not see two holders take turns within a bound. So the machines of the latest orders
are stored before the orders go out, and a new owner leaves just those alone for that long. Waiting
with all machines would leave a pool without help in the seconds after each change of owner.

How long ago the orders were given is told by the steady clocks of executors, whose readings are
stored with them: wall clocks of two entries may differ by seconds, and counting from the change of
owner, the seconds in which nobody owned the shard would be waited for once more.
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
from vanillawell.protocol.machine_calls import MachineDuty
from vanillawell.protocol.store import Put

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.coordination.leases import ExecutorClocks
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.work_documents import WorkKeys

log = logging.getLogger(__name__)

ORDER_FRESHNESS = 0.5
"""Seconds after its announcement within which an order has to be sent, while the store is quick."""

MAX_ORDER_FRESHNESS = 3.0
"""Seconds to which that bound grows while the store is slow."""

ARRIVAL_BOUND = 4.0
"""Seconds after which a moved machine that has not come is no longer counted on."""

WRITES_ALLOWED = 2
"""Multiple of the time that an announcement took by which the next one may be slower still."""


class Purpose(StrEnum):
    """What a machine is claimed for."""

    MOVE = "move"
    UPKEEP = "upkeep"


class MachineOrders:
    """Own the right to give orders for machines during one term."""

    def __init__(
        self,
        term: Term,
        ports: Ports,
        keys: WorkKeys,
        shard: str,
        holder: str,
        pause: float,
        clocks: ExecutorClocks,
    ) -> None:
        """Take the seconds to leave a machine alone."""
        self._term = term
        self._store = ports.store
        self._key = keys.machine_orders(shard)
        self._pause = pause
        self._kept = max(pause, ARRIVAL_BOUND)
        """Seconds for which an order is told to successors."""

        self._clocks = clocks
        self._began = clock.read()
        self._former: dict[str, float] | None = None
        """Machines of a former owner's latest orders, with the age of each when it was stored."""

        self._former_pools: dict[str, str] = {}
        """The pools that these go to; other orders have none."""

        self._former_clocks: dict[str, float] = {}
        self._freshness = ORDER_FRESHNESS
        self._former_freshness = ORDER_FRESHNESS
        self._all_free_at = float("-inf")
        self._fresh_until = float("-inf")
        self._lately: dict[str, float] = {}
        self._pools: dict[str, str] = {}
        self._claims: dict[str, Purpose] = {}
        self.duty = MachineDuty(holder, term.token)

    async def load(self) -> bool:
        """Read which machines a former owner gave orders for; False while the store is away."""
        if self._former is not None:
            return True
        try:
            found = await self._store.get(self._key)
        except StoreError as error:
            log.warning("former orders not read", extra={"why": str(error)})
            return False
        if found is None:
            self._former = {}
            return True
        try:
            self._take_former(found.value)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            # Damaged, or of an earlier version: any machine may have been ordered just now.
            log.error("former orders unreadable", extra={"why": repr(error)})
            self._former_pools = {}
            self._former, self._all_free_at = {}, self._began + self._pause + MAX_ORDER_FRESHNESS
        return True

    def _take_former(self, value: bytes) -> None:
        """Read a former owner's announcement; raises what its parts being of other types does."""
        document = orjson.loads(value)
        pools = document.get("pools", {}).items()  # former versions did not store them
        self._former_pools = {str(name): str(pool) for name, pool in pools}
        self._former = {str(name): float(age) for name, age in document["machines"].items()}
        self._former_freshness = float(document.get("freshness", MAX_ORDER_FRESHNESS))
        clocks = document["clocks"].items()
        self._former_clocks = {str(life): float(reading) for life, reading in clocks}

    def may_order(self, machine: str, now: float) -> bool:
        """Tell whether no former owner can have given an order for the machine just now."""
        if self._former is None or not self._term.is_held(now) or now < self._all_free_at:
            return False
        return self.is_over(machine, now)

    def is_over(self, machine: str, now: float) -> bool:
        """Tell whether no order of a former owner for the machine can take effect any more."""
        age = (self._former or {}).get(machine)
        if age is None:
            return True
        return age + self._since_former(now) > self._pause + self._former_freshness

    def pending_of_previous_owner(self, now: float) -> dict[str, str]:
        """Return the machines for which orders of a former owner may take effect yet.

        Each with the pool that it goes to; "" if the order does not change its pool, or an earlier
        version gave it.
        """
        return {
            name: self._former_pools.get(name, "")
            for name in self._former or {}
            if not self.is_over(name, now)
        }

    def ordered_by_previous_owner(self, now: float) -> set[str]:
        """Return the machines of a former owner's latest orders that may still be on their way."""
        passed = self._since_former(now)
        former = self._former or {}
        return {name for name, age in former.items() if age + passed <= ARRIVAL_BOUND}

    def claim(self, machine: str, purpose: Purpose) -> bool:
        """Take the sole right to order a machine; False while it is claimed for something else.

        A wave and a pool may want the same machine. Without a claim one would carry out what it
        decided before the other's order took effect, and end what has begun there since.
        """
        return self._claims.setdefault(machine, purpose) is purpose

    def release(self, machine: str, purpose: Purpose) -> None:
        """Give a claim back once nothing more is ordered on its ground."""
        if self._claims.get(machine) is purpose:
            del self._claims[machine]

    def is_claimed(self, machine: str) -> bool:
        """Tell whether a machine is claimed for anything."""
        return machine in self._claims

    def _since_former(self, now: float) -> float:
        """Return the seconds that have surely passed since the former owner's announcement."""
        passed = min_elapsed(self._former_clocks, self._clocks.lower_bound(now))
        return max(now - self._began, passed)

    def is_fresh(self, now: float) -> bool:
        """Tell whether an order that was just announced may still be sent."""
        return now <= self._fresh_until

    async def announce(self, machines: Mapping[str, str]) -> None:
        """Store that orders for these machines are about to go out; raises TermLostError.

        They are given with the pool that each goes to; "" for orders that do not change it.
        """
        now = clock.read()
        recent = {
            name: moment for name, moment in self._lately.items() if moment > now - self._kept
        }
        self._lately = {**recent, **dict.fromkeys(machines, now)}
        ages = {name: now - moment for name, moment in self._lately.items()}
        self._pools.update(machines)
        pools = {**self._former_pools, **self._pools}
        clocks = dict(itertools.islice(self._clocks.upper_bound(now).items(), REFERENCE_CLOCKS))
        former = self._ages_of_former(now)
        document = {
            "machines": {**former, **ages},
            "pools": {name: pools[name] for name in former | ages if pools.get(name)},
            "clocks": clocks,
            "freshness": max(self._freshness, self._former_freshness if former else 0.0),
        }
        await self._term.write([Put(self._key, orjson.dumps(document))])
        self._fresh_until = now + self._freshness
        self._allow_for(clock.read() - now)

    def _allow_for(self, took: float) -> None:
        """Give later orders more time if an announcement took long.

        With half a second in any case, a slow store let no order go out for as long as it was slow,
        and a peak's pool stayed at half of what it asked for.
        """
        wanted = min(MAX_ORDER_FRESHNESS, WRITES_ALLOWED * took)
        if wanted > self._freshness:
            self._freshness = wanted
            log.info("orders get more time", extra={"freshness": round(wanted, 3)})

    def _ages_of_former(self, now: float) -> dict[str, float]:
        """Return the former owner's machines that successors have to know of, with their ages."""
        passed = self._since_former(now)
        ages = {name: age + passed for name, age in (self._former or {}).items()}
        bound = max(self._kept, self._pause + self._former_freshness)
        return {name: age for name, age in ages.items() if age <= bound}
