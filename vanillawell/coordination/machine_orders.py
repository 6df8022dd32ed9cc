"""Give orders for machines in the name of a term, without crossing those of a former owner.

A former owner may have given an order for a machine just before it was replaced, and the service
behind it must not see two holders take turns within a bound. So the machines of the latest orders
are stored before the orders go out, and a new owner leaves just those alone for that long. Waiting
with all machines would leave a pool without help in the seconds after each change of owner.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import orjson

from vanillawell import clock
from vanillawell.exceptions import StoreError
from vanillawell.protocol.machine_calls import MachineDuty
from vanillawell.protocol.store import Put

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.work_documents import WorkKeys

log = logging.getLogger(__name__)


class MachineOrders:
    """Own the right to give orders for machines during one term."""

    def __init__(
        self, term: Term, ports: Ports, keys: WorkKeys, shard: str, holder: str, pause: float
    ) -> None:
        self._term = term
        self._store = ports.store
        self._key = keys.machine_orders(shard)
        self._pause = pause
        self._began = clock.read()
        self._former: frozenset[str] | None = None
        self._lately: dict[str, float] = {}
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
        self._former = frozenset(orjson.loads(found.value)) if found else frozenset()
        return True

    def may_order(self, machine: str, now: float) -> bool:
        """Tell whether no former owner can have given an order for the machine just now."""
        if self._former is None or not self._term.is_held(now):
            return False
        return machine not in self._former or now > self._began + self._pause

    async def announce(self, machines: Iterable[str]) -> None:
        """Store that orders for these machines are about to go out; raises TermLostError."""
        now = clock.read()
        self._lately = {
            name: moment for name, moment in self._lately.items() if moment > now - self._pause
        }
        self._lately.update(dict.fromkeys(machines, now))
        if self._former and now <= self._began + self._pause:
            names = sorted({*self._lately, *self._former})
        else:
            names = sorted(self._lately)
        await self._term.write([Put(self._key, orjson.dumps(names))])
