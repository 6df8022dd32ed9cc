"""Describe the calls to the platform's own interface, free of any transport."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from vanillawell.state.jobs import Job, TaskReport, Worker


class PlatformUnavailableError(Exception):
    """The platform gave no answer; a reboot that was asked for may have begun."""


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Which instances are live, as of a moment in the past."""

    live: frozenset[str]
    age: float
    """Seconds by which the list lags."""

    size: int
    """Bytes of its entries, to tell what reading it costs."""


class PlatformCalls(Protocol):
    """Calls to the platform; each raises PlatformUnavailableError if there is no answer."""

    async def instances(self) -> InstanceList:
        """Read the list of instances."""

    async def is_terminated(self, instance: str) -> bool:
        """Tell whether an instance has ended for good and will never run again."""

    async def workers(self) -> list[Worker]:
        """Read the lagging report on workers."""

    async def start_task(self, job: Job, cores: float, ttl: float) -> None:
        """Start a job's present attempt under a lease; the same id never starts a second one."""

    async def stop_task(self, task_id: str) -> None:
        """Let a task make a checkpoint and end."""

    async def tasks(self, ids: list[str], ttl: float) -> dict[str, TaskReport]:
        """Report tasks and renew their leases; tasks the platform never heard of are missing."""

    async def reboot(self, operation: str, instance: str) -> bool:
        """Ask for a reboot, or for how it went; True once it is done."""
