"""Test how many idle connections are kept, and for how long."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

import anyio

from vanillawell.platform.http import HttpClient
from vanillawell.platform.idle_connections import IDLE_TIMEOUT, IdleConnections
from vanillawell.tests.executor_hosts import listen

ADDRESSES = 20
"""Addresses that are called once each."""


@dataclass(eq=False)
class Connection:
    """An idle connection."""

    opened_at: float = 0.0
    idle_since: float = 0.0


def test_connection_that_was_used_last_is_taken_first() -> None:
    idle: IdleConnections[Connection] = IdleConnections()
    first, second = Connection(), Connection()
    idle.add("a", first, 1.0)
    idle.add("a", second, 2.0)
    assert [idle.take("b"), idle.take("a"), idle.take("a"), idle.take("a")] == [
        None,
        second,
        first,
        None,
    ]


# Guards against an owner that has no file descriptor left, since it keeps connections to executors
# that it never calls again.
def test_connections_to_addresses_that_are_not_called_again_expire() -> None:
    idle: IdleConnections[Connection] = IdleConnections()
    connections = [Connection() for _ in range(ADDRESSES)]
    for number, connection in enumerate(connections):
        idle.add(f"host-{number}", connection, float(number))
    assert idle.remove_expired(IDLE_TIMEOUT + 4.5) == connections[:5]
    assert len(idle) == ADDRESSES - 5


# Guards against the same when executors are replaced faster than connections expire.
def test_oldest_connections_beyond_the_limit_are_removed() -> None:
    idle: IdleConnections[Connection] = IdleConnections(limit=3)
    connections = [Connection() for _ in range(5)]
    for number, connection in enumerate(connections):
        idle.add(f"host-{number}", connection, 0.0)
    assert idle.remove_expired(0.0) == connections[:2]
    assert idle.take("host-0") is None
    assert idle.take("host-2") is connections[2]


def test_connections_opened_before_a_moment_are_removed() -> None:
    idle: IdleConnections[Connection] = IdleConnections()
    old, new, elsewhere = Connection(1.0), Connection(3.0), Connection(1.0)
    for address, connection in (("a", old), ("a", new), ("b", elsewhere)):
        idle.add(address, connection, 3.0)
    assert idle.remove_opened_before("a", 2.0) == [old]
    assert idle.remove_all() == [new, elsewhere]
    assert len(idle) == 0


async def _answer(scope: Any, _receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"{}"})


# Guards against the same at real sockets.
def test_client_closes_connections_to_addresses_that_it_no_longer_calls() -> None:
    opened: list[Any] = []
    connect = anyio.connect_tcp

    async def record(*args: Any) -> Any:
        opened.append(await connect(*args))
        return opened[-1]

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            client = HttpClient()
            addresses = [listen(tasks, _answer) for _ in range(ADDRESSES)]
            await client.call(addresses[0], "GET", "/")
            for address in addresses[1:]:
                await client.call(address, "GET", "/")
            with patch("vanillawell.platform.http.clock.read", lambda: 1e9):
                await client.call(addresses[0], "GET", "/")
            assert sum(not _is_closed(stream) for stream in opened) == 1
            tasks.cancel_scope.cancel()

    with patch("anyio.connect_tcp", record):
        anyio.run(run)


def _is_closed(stream: Any) -> bool:
    return bool(stream._transport.is_closing())
