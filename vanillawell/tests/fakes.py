"""An in-process fake of the store with injectable write faults."""

from __future__ import annotations

from dataclasses import dataclass, field

from vanillawell.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.protocol.store import KeyValue, Transaction, TransactionResult


@dataclass
class FaultyStore:
    """A store whose next write may be lost, delayed or refused, as set by `mode`."""

    mode: str = "ok"
    down: bool = False
    items: dict[str, KeyValue] = field(default_factory=dict)
    delayed: list[Transaction] = field(default_factory=list)
    revision: int = 1

    async def transact(self, transaction: Transaction) -> TransactionResult:
        if self.down:
            raise StoreOutcomeUnknownError("down")
        if not transaction.puts:
            return self.apply(transaction)
        mode, self.mode = self.mode, "ok"
        if mode == "unavailable":
            raise StoreUnavailableError("down")
        if mode == "delayed":
            self.delayed.append(transaction)
            raise StoreOutcomeUnknownError("delayed")
        result = self.apply(transaction)
        if mode == "lost":
            raise StoreOutcomeUnknownError("lost")
        return result

    def apply(self, transaction: Transaction) -> TransactionResult:
        holds = all(
            item.mod_revision
            == (self.items[item.key].mod_revision if item.key in self.items else 0)
            for item in transaction.compares
        )
        if holds and transaction.puts:
            self.revision += 1
            for put in transaction.puts:
                self.items[put.key] = KeyValue(put.key, put.value, self.revision)
        if holds:
            for key in transaction.deletes:
                self.items.pop(key, None)
        reads = transaction.reads if not holds or transaction.read_back else ()
        values = {key: self.items[key] for key in reads if key in self.items}
        return TransactionResult(holds, self.revision, values)

    async def get(self, key: str) -> KeyValue | None:
        return self.items.get(key)

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision)

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
