"""Define the settings of one daemon process, with defaults and validators."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

PortNumber = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Refuse unknown keys, so that a misspelt setting never goes unnoticed."""

    model_config = ConfigDict(extra="forbid", frozen=True, use_attribute_docstrings=True)


class Address(StrictModel):
    """An IP address and a port."""

    host: str = "127.0.0.1"
    """IP number, never a name: instances have no resolver to rely on."""

    port: PortNumber
    """Port; 0 lets the system choose, for tests."""

    @field_validator("host")
    @classmethod
    def _require_ip_number(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ServerTls(StrictModel):
    """Certificate files of a listening port; renewed files are taken over while it runs."""

    certificate: Path
    """PEM file with the certificate and those between it and its authority."""

    key: Path
    """PEM file with the private key."""

    client_authorities: Path | None = None
    """PEM file with authorities; if set, whoever connects must show a certificate by one."""


class ClientTls(StrictModel):
    """How the other end of outgoing connections is verified."""

    authorities: Path
    """PEM file with the authorities that the other end's certificate must come from."""

    certificate: Path | None = None
    """PEM file with the certificate to show to the other end, together with `key`."""

    key: Path | None = None
    """PEM file with its private key."""


class StoreSettings(StrictModel):
    """How the platform's key-value service is reached."""

    address: Address
    """Where the JSON gateway listens."""

    timeout: Seconds = 1.5
    """Seconds after which an unanswered call counts as outcome unknown."""

    poll_interval: Seconds = 3.0
    """Seconds between two reads of the configuration's version, which also prove freshness."""

    lease_ttl: Seconds = 6.0
    """Seconds that presence outlives the last keep-alive."""

    prefix: str = "/vanillawell"
    """Prefix of every key, so that several users can share one service."""

    tls: ClientTls | None = None
    """Turns TLS towards the store on."""

    user: str = ""
    """User to log in as; empty if the store asks for none."""

    password_file: Path | None = None
    """File with the user's password."""


class TimingSettings(StrictModel):
    """Bounds on time that all entries of a fleet must share."""

    longest_request: Seconds = 30.0
    """Longest time a backend server may go on running a request once it was sent."""

    holding_term: Seconds = 7200.0
    """Seconds an entry cut off from the store may go on using the limit units it holds."""

    clock_drift: Annotated[float, Field(ge=0, le=0.1)] = 0.01
    """Largest relative difference between the rates of two instances' clocks."""

    beat_interval: Seconds = 0.5
    """Seconds between two heartbeats to a peer."""

    peer_timeout: Seconds = 2.0
    """Seconds of silence after which a peer counts as unreachable."""

    ledger_interval: Seconds = 0.1
    """Least time between two ledger transactions of one entry."""

    claim_interval: Seconds = 0.01
    """Least time between two claim transactions of one entry."""

    claim_retention: Seconds = 3600.0
    """Age of an Idempotency-Key beyond which it is refused rather than run."""

    stop_notice: Annotated[float, Field(ge=0, le=300)] = 3.0
    """Seconds between readiness going off and refusal, for the balancer to notice."""


class ExperimentSettings(StrictModel):
    """Plain baselines to measure against; leave them alone in operation."""

    routing: Literal["quota", "least-loaded"] = "quota"
    """How an executor is chosen."""

    queue: Literal["fair", "fifo"] = "fair"
    """Which request is next."""

    limits: Literal["ledger", "static"] = "ledger"
    """Whether units move with demand or each entry has an even part of each limit."""

    retries: Literal["budgeted", "unbudgeted"] = "budgeted"
    """Whether retries are bounded by a part of first attempts."""


class DaemonSettings(StrictModel):
    """All settings of `vanillawelld`."""

    instance: Name
    """Name of this entry instance; unique in the fleet and stable across restarts."""

    zone: Name
    """Availability zone this instance stands in."""

    caller: Address
    """Where callers' HTTP requests arrive."""

    admin: Address
    """Where metrics, readiness and status are served."""

    peer: Address
    """Where other entries connect."""

    peer_advertised: Address | None = None
    """Address that other entries dial, if it differs from `peer`."""

    store: StoreSettings
    """The platform's key-value service."""

    timing: TimingSettings = TimingSettings()
    """Bounds on time."""

    platform: Address | None = None
    """The platform's own interface; without it this entry never plans moves."""

    experiment: ExperimentSettings = ExperimentSettings()
    """Baselines, for measurements only."""

    seeds: tuple[Address, ...] = ()
    """Peer addresses to try when the store is not there at start."""

    caller_tls: ServerTls | None = None
    """Turns TLS for callers on."""

    backend_tls: ClientTls | None = None
    """Turns TLS towards backend servers on."""

    admin_tls: ServerTls | None = None
    """Turns TLS on the admin port on."""

    admin_trust: ClientTls | None = None
    """How this entry verifies other entries' admin ports; needed where `admin_tls` is on."""

    admin_token_file: Path | None = None
    """File with the secret that operators and entries show on admin ports; probes need none."""

    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    """Least severity that is logged."""

    @model_validator(mode="after")
    def _require_trust(self) -> DaemonSettings:
        if self.admin_tls and not self.admin_trust:
            raise ValueError("admin_trust: needed where admin_tls is on, to ask other entries")
        return self
