"""Send a bounded, seeded load to entries and collect statistics of the callers."""

from __future__ import annotations

import itertools
import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import httpcore
import orjson

from vanillawell.standins.deployment import organisation_key

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CLIENT_TIMEOUT = {"connect": 2.0, "read": 30.0, "write": 5.0, "pool": 30.0}
"""Timeouts of one request, in seconds."""


@dataclass(frozen=True, slots=True)
class Target:
    """Address that callers send to; targets are used in turn, as by a load balancer."""

    host: str
    port: int
    zone: int = 0


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one organisation for one service."""

    organisation: str
    service: str
    rate: Callable[[float], float]
    """Requests per second as a function of the seconds since the start."""

    method: str = "GET"
    timeout: float = 5.0
    zone: int = 0
    """Zone of the entries that the requests are sent to; 0 for all zones."""

    urgency: int = 3
    """Urgency as of RFC 9218; requests of urgency 4 and above may wait behind all others."""

    keyed: bool = False
    """Whether to send each request with its own Idempotency-Key."""


@dataclass(slots=True)
class CallerStatistics:
    """Results of the requests that callers of one organisation sent."""

    sent: int = 0
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    connection_errors: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def percentile(self, fraction: float) -> float:
        """Return a percentile, given as a fraction, of the latency of answers in seconds."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@dataclass(slots=True)
class LoadResult:
    """Duration of a load and the statistics of its callers by organisation."""

    seconds: float
    caller_statistics: dict[str, CallerStatistics]

    def total(self) -> CallerStatistics:
        """Return the sum over all organisations."""
        total = CallerStatistics()
        for statistics in self.caller_statistics.values():
            total.sent += statistics.sent
            total.answered += statistics.answered
            total.refused += statistics.refused
            total.connection_errors += statistics.connection_errors
            total.latencies += statistics.latencies
        return total


class LoadGenerator:
    """Send streams of requests at given rates, independently of earlier responses."""

    def __init__(self, targets: Sequence[Target], seed: int, client_delay: float = 0.0) -> None:
        self._targets = list(targets)
        self._rng = random.Random(seed)
        self._client_delay = client_delay
        self._round_robin = {
            zone: itertools.cycle([t for t in targets if zone in (0, t.zone)])
            for zone in {0, *(target.zone for target in targets)}
        }
        self._caller_statistics: dict[str, CallerStatistics] = {}
        self._idle_connections: dict[Target, list[httpcore.AsyncConnectionPool]] = {
            target: [] for target in targets
        }

    async def run(self, streams: Sequence[Stream], seconds: float) -> LoadResult:
        """Send for `seconds`, then wait for the outstanding answers."""
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for stream in streams:
                self._caller_statistics.setdefault(stream.organisation, CallerStatistics())
                rng = random.Random(self._rng.random())
                tasks.start_soon(self._send_stream, stream, rng, seconds)
        for pool in (pool for pools in self._idle_connections.values() for pool in pools):
            await pool.aclose()
        return LoadResult(time.monotonic() - started, self._caller_statistics)

    async def closed_loop(self, stream: Stream, callers: int, seconds: float) -> float:
        """Send requests back to back from several callers; return the answers per second."""
        statistics = self._caller_statistics.setdefault(stream.organisation, CallerStatistics())
        deadline = time.monotonic() + seconds

        async def repeat() -> None:
            while time.monotonic() < deadline:
                await self._send_one(stream)

        async with anyio.create_task_group() as tasks:
            for _ in range(callers):
                tasks.start_soon(repeat)
        return statistics.answered / seconds

    async def _send_stream(self, stream: Stream, rng: random.Random, seconds: float) -> None:
        """Send with exponentially distributed intervals at the stream's current rate."""
        started = time.monotonic()
        send_at = 0.0
        async with anyio.create_task_group() as tasks:
            while True:
                rate = max(stream.rate(send_at), 1e-3)
                send_at += min(rng.expovariate(rate), 1.0)
                if send_at >= seconds:
                    return
                if rate <= 1e-3:
                    continue
                await anyio.sleep(max(0.0, started + send_at - time.monotonic()))
                tasks.start_soon(self._send_one, stream)

    def _acquire_connection(self, target: Target) -> httpcore.AsyncConnectionPool:
        """Return an idle connection or a new one.

        Each is a pool of one connection. A single pool searches all its connections at each
        request; with hundreds open this used a whole core and showed up as latency of the entries.
        """
        connections = self._idle_connections[target]
        return connections.pop() if connections else httpcore.AsyncConnectionPool(max_connections=1)

    async def _send_one(self, stream: Stream) -> None:
        target = next(self._round_robin[stream.zone])
        statistics = self._caller_statistics[stream.organisation]
        statistics.sent += 1
        started = time.monotonic()
        headers = [
            ("authorization", f"Bearer {organisation_key(stream.organisation)}"),
            ("request-timeout", str(stream.timeout)),
            ("priority", f"u={stream.urgency}"),
        ]
        if stream.keyed:
            headers.append(("idempotency-key", new_idempotency_key(self._rng, time.time())))
        await anyio.sleep(self._client_delay)
        pool = self._acquire_connection(target)
        try:
            response = await pool.request(
                stream.method,
                f"http://{target.host}:{target.port}/{stream.service}/check",
                headers=headers,
                content=b"x" if stream.method == "POST" else None,
                extensions={"timeout": CLIENT_TIMEOUT},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            statistics.connection_errors[type(error).__name__] += 1
            await pool.aclose()
            return
        self._idle_connections[target].append(pool)
        await anyio.sleep(self._client_delay)
        if response.status == 200:
            statistics.answered += 1
            statistics.latencies.append(time.monotonic() - started)
        else:
            statistics.refused[_refusal_type(response)] += 1


def _refusal_type(response: httpcore.Response) -> str:
    try:
        return str(orjson.loads(response.content)["type"]).rpartition(":")[2]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return str(response.status)


def new_idempotency_key(rng: random.Random, now: float) -> str:
    """Return a UUID of version 7 (RFC 9562, section 5.7): milliseconds, then random bits."""
    random_bits = rng.getrandbits(74)
    value = int(now * 1000) << 80 | 7 << 76 | (random_bits >> 62) << 64
    return str(uuid.UUID(int=value | 2 << 62 | random_bits & (1 << 62) - 1))


def constant_rate(rate: float) -> Callable[[float], float]:
    """Return a constant rate function."""
    return lambda _: rate


def peak_rate(
    mean: float, period: float, offset: float, peak_seconds: float, factor: float = 5.0
) -> Callable[[float], float]:
    """Return a rate function with periodic peaks.

    It is `factor` times the mean during peaks and a twentieth of the mean between them.
    """

    def rate(elapsed: float) -> float:
        in_peak = (elapsed - offset) % period < peak_seconds
        return mean * factor if in_peak else mean / 20

    return rate
