"""Keep connections for later calls to the same address, in bounded number and for a bounded time.

Nobody may ever call an address again: executors leave, and later ones have other addresses. Their
connections would stay open until the process has no file descriptor left.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

IDLE_TIMEOUT = 12.0
"""Seconds after which an idle connection is not reused; the other ends close theirs after 15."""

MAX_IDLE_CONNECTIONS = 2_000
"""Idle connections to all addresses together: half of a small machine's descriptors."""


class _Connection(Protocol):
    opened_at: float
    idle_since: float


C = TypeVar("C", bound=_Connection)


class IdleConnections(Generic[C]):
    """Idle connections by address. The caller closes those that are removed."""

    def __init__(self, limit: int = MAX_IDLE_CONNECTIONS) -> None:
        self._limit = limit
        self._by_address: dict[str, list[C]] = {}
        self._addresses: dict[C, str] = {}
        """Address of each connection; the one that has been idle for longest is first."""

    def __len__(self) -> int:
        return len(self._addresses)

    def add(self, address: str, connection: C, now: float) -> None:
        """Keep a connection for later calls."""
        connection.idle_since = now
        self._by_address.setdefault(address, []).append(connection)
        self._addresses[connection] = address

    def take(self, address: str) -> C | None:
        """Remove and return the connection to an address that was used last; None without one."""
        found = self._by_address.get(address)
        if not found:
            return None
        connection = found[-1]
        self._remove(connection)
        return connection

    def remove_expired(self, now: float) -> list[C]:
        """Remove and return the connections that are too old, and the oldest beyond the limit."""
        excess = len(self._addresses) - self._limit
        expired: list[C] = []
        for connection in self._addresses:
            if len(expired) >= excess and now - connection.idle_since < IDLE_TIMEOUT:
                break
            expired.append(connection)
        for connection in expired:
            self._remove(connection)
        return expired

    def remove_opened_before(self, address: str, moment: float) -> list[C]:
        """Remove and return the connections to an address that were opened before `moment`."""
        old = [item for item in self._by_address.get(address, ()) if item.opened_at < moment]
        for connection in old:
            self._remove(connection)
        return old

    def remove_all(self) -> list[C]:
        """Remove and return all connections."""
        connections = list(self._addresses)
        self._addresses.clear()
        self._by_address.clear()
        return connections

    def _remove(self, connection: C) -> None:
        address = self._addresses.pop(connection)
        found = self._by_address[address]
        found.remove(connection)
        if not found:
            del self._by_address[address]
