"""Define requests to backend servers and their answers, independently of the transport."""

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
    """One request as it is sent to a backend server."""

    method: str
    target: bytes
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Answer:
    """One answer of a backend server; a large one continues after `body` in `remaining_body`."""

    status: int
    headers: Headers
    body: bytes
    remaining_body: MemoryObjectReceiveStream[bytes] | None = None
    """Further chunks of the body; None if `body` is complete."""

    broken: bool = False
    """Whether the connection failed during `remaining_body`, so that the answer is truncated."""

    executor: str = ""


class AttemptError(Exception):
    """An attempt failed without a usable answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in progress, as observed to detect unresponsive connections."""

    started: float
    may_send: Callable[[], bool]
    """Called right before the first byte is sent; the request is not sent if it returns False."""

    head_arrived: bool = False
    probed: bool = False
    """Whether a probe has already been sent because this attempt was overdue."""


class BackendLink(Protocol):
    """The connections of this entry to one executor."""

    @property
    def attempts(self) -> set[Attempt]:
        """Return the attempts in progress."""

    @property
    def executor(self) -> Executor:
        """Return the executor at the other end."""

    async def replace_connections(self, now: float) -> None:
        """Use new connections for all further requests and close old ones that are idle."""

    async def close_idle(self) -> None:
        """Close replaced connections that no longer carry a request."""

    async def close(self) -> None:
        """Close all connections."""

    async def probe(self) -> bool:
        """Return whether the executor answers at all on a new connection."""

    async def exchange(
        self,
        forward: ForwardedRequest,
        attempt: Attempt,
        longest: float,
        deliver: Callable[[Answer], None],
    ) -> None:
        """Send a request, pass the answer to `deliver`, and return once it has arrived completely.

        `longest` is the timeout in seconds of each single read and write. Raises AttemptError if
        nothing could be delivered.
        """


LinkOpener = Callable[["Executor", int], BackendLink]
"""Opens a link to an executor that uses at most the given number of connections."""
