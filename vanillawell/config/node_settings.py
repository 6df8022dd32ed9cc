"""Define the settings of one scheduler process."""

from __future__ import annotations

from typing import Any

from pydantic import Field, field_validator

from vanillawell.config.settings import Address, StrictModel


class NodeBounds(StrictModel):
    """Bounds that the platform sets for all of its users, in milliseconds unless said."""

    lease_most_ms: int = Field(gt=0)
    """Longest lease that an executor gives to what it runs."""

    kill_grace_ms: int = Field(ge=0)
    """Longest time that a stop takes."""

    revoke_ms: int = Field(gt=0)
    """Time after which a withdrawn key must not work anywhere."""

    strict_revoke: bool = True
    """Whether that holds for entries that can hear nothing, too."""

    state_kept_s: int = Field(gt=0)
    """Seconds for which the state of a final job must be told."""

    duty_lease_ms: int = Field(gt=0)
    """Time that must lie between orders of two holders for one machine."""

    grace_s: float = Field(gt=0)
    """Seconds between the request to stop and the kill."""

    drain_ms: int = Field(ge=0)
    """Time for which a leaving executor still serves."""

    remote_factor: float = Field(default=1.0, ge=1)
    """Multiple of its run time that a task takes away from the rack of its data; 1 if racks don't
    matter."""


class EntryCapacity(StrictModel):
    """What one entry may use of its machine."""

    processor_share: float = Field(default=1.0, ge=0)
    """Part of a processor that it may use."""

    processor_speed: float = Field(default=1.0, ge=0)
    """Speed of that processor, as a multiple of a plain core."""

    link_mbit: float = Field(default=1000.0, ge=0)
    """Width of its link in megabits a second."""

    @property
    def cores(self) -> float:
        """Return the processor share as a number of cores of the reference speed."""
        return self.processor_share * self.processor_speed


class NodeSettings(StrictModel):
    """Settings of one process of the scheduler, filled in from the platform's template."""

    instance: str
    zone: str
    zones: tuple[str, ...] = ()
    """All availability zones; empty if they are not known."""

    caller: Address
    """Where callers connect."""

    ready: Address
    """Where the balancer asks whether to send callers here."""

    metrics: Address
    """Where counters and histograms are served."""

    store: str
    """Address of the platform's store."""

    machines: str
    """Address of the service that owns all machines."""

    advice: str = ""
    """Address of the service that says which executors may run a step; empty if there is none."""

    shortest_lease_ms: int = Field(gt=0)
    """Shortest lease that the store gives."""

    value_bytes: int = Field(default=1_048_576, ge=1_024)
    """Bytes of the largest value that the store holds."""

    bounds: NodeBounds
    capacity: EntryCapacity = EntryCapacity()
    log_level: str = "INFO"

    @field_validator("caller", "ready", "metrics", mode="before")
    @classmethod
    def _split_address(cls, value: Any) -> Any:
        """Split `HOST:PORT` into the fields of an address."""
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(":")
        return {"host": host, "port": port}
