"""Describe requests to backend servers and their answers, free of any transport."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream

    from vanillawell.state.policy import Executor
    from vanillawell.state.retries import Failure

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """One request as it goes to a backend server."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Answer:
    """One backend answer, whole in `body` or, if large, continued in `remaining_body`."""

    status: int
    headers: Headers
    body: bytes
    remaining_body: MemoryObjectReceiveStream[bytes] | None = None
    """Further chunks; ends with an error instead of normally if the answer breaks off."""

    broken: bool = False
    """The rest broke off, so that the caller must not take the answer for whole."""

    executor: str = ""


class AttemptError(Exception):
    """An attempt gave no usable answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt under way, for the search for silent connections."""

    started: float
    may_send: Callable[[], bool]
    """Asked right before the first byte."""

    head_arrived: bool = False
    probed: bool = False
    """A probe has already been made on its account."""


class BackendLink(Protocol):
    """All connections of this entry to one executor."""

    @property
    def attempts(self) -> set[Attempt]:
        """Return the attempts under way."""

    @property
    def executor(self) -> Executor:
        """Return the executor at the other end."""

    async def replace_connections(self, now: float) -> None:
        """Send all further requests over new connections; close old ones that are idle."""

    async def close_idle(self) -> None:
        """Close replaced connections on which no request is under way any more."""

    async def close(self) -> None:
        """Close everything."""

    async def probe(self) -> bool:
        """Ask for any answer on a new connection."""

    async def exchange(
        self,
        forward: ForwardedRequest,
        attempt: Attempt,
        longest: float,
        deliver: Callable[[Answer], None],
    ) -> None:
        """Send a request, hand the answer to `deliver`, and return when it has wholly arrived.

        Raises AttemptError if nothing could be delivered.
        """


LinkOpener = Callable[["Executor", int], BackendLink]
"""Open a link to an executor over at most so many connections."""
