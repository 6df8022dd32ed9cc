"""Hold one version of what operators configured for jobs: queues, services, organisations."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from vanillawell.state.work import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class AdviceRule:
    """Tell that only executors which an outside service names may run a queue's steps."""

    decide: float
    """Seconds that one call takes."""

    each: float
    """Seconds more for each executor asked about."""

    validity: float
    """Seconds for which its answer holds."""


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one kind are handed in, and how they are treated."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    """0 comes first."""

    attempts: int
    """Failed runs of a task after which its job has failed."""

    slack_factor: float
    """Multiple of a job's critical path that its objective allows."""

    objective: float
    """Seconds that the objective allows on top."""

    anonymous: bool
    """Whether callers need no key."""

    advice: AdviceRule | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of executors."""

    name: str
    guards_capacity: bool
    """Whether its executors refuse what does not fit."""

    standby: bool
    """Whether its executors are switched off until they are moved to another pool."""


@dataclass(frozen=True, slots=True)
class OrganisationLimits:
    """What one organisation may use."""

    name: str
    share: float
    """Weight of its share when all is full."""

    maximum: Resources
    """What it may have running at once in all pools; 0 for no limit of that kind."""

    def allows(self, running: Resources, more: Resources) -> bool:
        """Tell whether `more` keeps the organisation within its maximum."""
        total = running + more
        limits = self.maximum
        return (
            (not limits.cpu or total.cpu <= limits.cpu)
            and (not limits.memory or total.memory <= limits.memory)
            and (not limits.gpu or total.gpu <= limits.gpu)
        )


@dataclass(frozen=True)
class WorkPolicy:
    """One version of the configuration that is in force for jobs."""

    version: int
    queues: Mapping[str, Queue]
    services: Mapping[str, Service]
    organisations: Mapping[str, OrganisationLimits]
    key_owners: Mapping[str, str] = field(repr=False)
    """Organisation by digest of its key."""

    body_bound: int = 262_144
    """Bytes of a request body; the value is the published default."""

    @cached_property
    def _by_host(self) -> dict[str, list[Queue]]:
        found: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues.values(), key=lambda item: -len(item.prefix)):
            found.setdefault(queue.host, []).append(queue)
        return found

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path` at `host`."""
        return next((q for q in self._by_host.get(host, ()) if path.startswith(q.prefix)), None)
