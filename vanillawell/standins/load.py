"""Send a bounded, seeded load to entries and sum up what callers saw."""

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
"""Bounds of one request, in seconds."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where callers of a zone send; the balancer's stand-in picks one in turn."""

    host: str
    port: int
    zone: int = 0


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one organisation for one service."""

    organisation: str
    service: str
    rate: Callable[[float], float]
    """Requests a second at a time since the start."""

    method: str = "GET"
    timeout: float = 5.0
    zone: int = 0
    """Zone whose entries it reaches; 0 for all."""

    urgency: int = 3
    """Urgency by RFC 9218; 4 and above may wait behind all others."""

    keyed: bool = False
    """Send each request with an Idempotency-Key of its own."""


@dataclass(slots=True)
class CallerStatistics:
    """What the callers of one organisation saw."""

    sent: int = 0
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    connection_errors: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def percentile(self, part: float) -> float:
        """Return a percentile of the answered requests' latency, in seconds."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@dataclass(slots=True)
class LoadResult:
    """What all callers saw."""

    seconds: float
    caller_statistics: dict[str, CallerStatistics]

    def total(self) -> CallerStatistics:
        """Add up all organisations."""
        whole = CallerStatistics()
        for tally in self.caller_statistics.values():
            whole.sent += tally.sent
            whole.answered += tally.answered
            whole.refused += tally.refused
            whole.connection_errors += tally.connection_errors
            whole.latencies += tally.latencies
        return whole


class LoadGenerator:
    """Send streams of requests at their own pace, whatever becomes of earlier ones."""

    def __init__(self, targets: Sequence[Target], seed: int, client_delay: float = 0.0) -> None:
        self._targets = list(targets)
        self._rng = random.Random(seed)
        self._client_delay = client_delay
        self._turns = {
            zone: itertools.cycle([t for t in targets if zone in (0, t.zone)])
            for zone in {0, *(target.zone for target in targets)}
        }
        self._tallies: dict[str, CallerStatistics] = {}
        self._idle: dict[Target, list[httpcore.AsyncConnectionPool]] = {
            target: [] for target in targets
        }

    async def run(self, streams: Sequence[Stream], seconds: float) -> LoadResult:
        """Send for `seconds`, then wait for the answers that are still due."""
        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for stream in streams:
                self._tallies.setdefault(stream.organisation, CallerStatistics())
                rng = random.Random(self._rng.random())
                tasks.start_soon(self._send_stream, stream, rng, seconds)
        for pool in (pool for pools in self._idle.values() for pool in pools):
            await pool.aclose()
        return LoadResult(time.monotonic() - started, self._tallies)

    async def closed_loop(self, stream: Stream, callers: int, seconds: float) -> float:
        """Send without a pause by some callers; return answers a second."""
        tally = self._tallies.setdefault(stream.organisation, CallerStatistics())
        end = time.monotonic() + seconds

        async def repeat() -> None:
            while time.monotonic() < end:
                await self._send_one(stream)

        async with anyio.create_task_group() as tasks:
            for _ in range(callers):
                tasks.start_soon(repeat)
        return tally.answered / seconds

    async def _send_stream(self, stream: Stream, rng: random.Random, seconds: float) -> None:
        """Send with exponentially distributed gaps at the stream's present rate."""
        begun = time.monotonic()
        due = 0.0
        async with anyio.create_task_group() as tasks:
            while True:
                rate = max(stream.rate(due), 1e-3)
                due += min(rng.expovariate(rate), 1.0)
                if due >= seconds:
                    return
                if rate <= 1e-3:
                    continue
                await anyio.sleep(max(0.0, begun + due - time.monotonic()))
                tasks.start_soon(self._send_one, stream)

    def _take_connection(self, target: Target) -> httpcore.AsyncConnectionPool:
        """Return an idle connection or a new one.

        Each is a pool of one: a single pool looks through all its connections at each request,
        and with hundreds open that took a whole core and showed as latency of the entries.
        """
        idle = self._idle[target]
        return idle.pop() if idle else httpcore.AsyncConnectionPool(max_connections=1)

    async def _send_one(self, stream: Stream) -> None:
        target = next(self._turns[stream.zone])
        tally = self._tallies[stream.organisation]
        tally.sent += 1
        started = time.monotonic()
        headers = [
            ("authorization", f"Bearer {organisation_key(stream.organisation)}"),
            ("request-timeout", str(stream.timeout)),
            ("priority", f"u={stream.urgency}"),
        ]
        if stream.keyed:
            headers.append(("idempotency-key", new_idempotency_key(self._rng, time.time())))
        await anyio.sleep(self._client_delay)
        pool = self._take_connection(target)
        try:
            response = await pool.request(
                stream.method,
                f"http://{target.host}:{target.port}/{stream.service}/check",
                headers=headers,
                content=b"x" if stream.method == "POST" else None,
                extensions={"timeout": CLIENT_TIMEOUT},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            tally.connection_errors[type(error).__name__] += 1
            await pool.aclose()
            return
        self._idle[target].append(pool)
        await anyio.sleep(self._client_delay)
        if response.status == 200:
            tally.answered += 1
            tally.latencies.append(time.monotonic() - started)
        else:
            tally.refused[_refusal_name(response)] += 1


def _refusal_name(response: httpcore.Response) -> str:
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
    """Return a constant rate."""
    return lambda _: rate


def peak_rate(
    mean: float, period: float, offset: float, peak_seconds: float, factor: float = 5.0
) -> Callable[[float], float]:
    """Return a rate of `factor` times the mean for some seconds, and a twentieth between."""

    def rate(at: float) -> float:
        in_peak = (at - offset) % period < peak_seconds
        return mean * factor if in_peak else mean / 20

    return rate
