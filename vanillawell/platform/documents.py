"""Decode the platform's documents into the scheduler's own types, and encode its answers.

All documents are validated here. For one that cannot be read, the functions raise
UnreadableDocumentError; their caller reports it and uses nothing from the document.
"""

from __future__ import annotations

import hashlib
import re
from typing import Annotated, Literal, TypeVar

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from vanillawell.coordination.ports import PlatformKeys
from vanillawell.platform.addresses import parse_address
from vanillawell.state.executors import ExecutorFacts
from vanillawell.state.upkeep import Wave
from vanillawell.state.work import Job, Resources, Step
from vanillawell.state.work_policy import (
    AdviceRule,
    OrganisationLimits,
    Queue,
    Service,
    WorkPolicy,
)

KEYS = PlatformKeys(
    configuration="op/config",
    operators="op/",
    waves="op/wave/",
    evacuations="op/evacuate/",
    executors="servers/",
    wave_states="status/wave/",
)

MAX_COUNT = 10**12
"""Largest number of anything in a document; sums of many stay within the 64 bits of stored and
logged numbers."""

MAX_MILLISECONDS = 10**12
"""Longest duration in a document, about 30 years."""

MAX_MOMENT = 10**15
"""Latest time in a document, in milliseconds since the epoch."""

MAX_NAME_LENGTH = 200
"""Characters of the longest name in an entry of the registry; keys of the store end there, too."""

MAX_LABELS = 100
"""Number of labels of one executor."""

Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, Field(ge=0, le=MAX_MILLISECONDS)]
Moment = Annotated[int, Field(ge=0, le=MAX_MOMENT)]
Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
Text = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]

Model = TypeVar("Model", bound=BaseModel)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")

EXECUTOR_ID = re.compile(r"[!-~]+")
"""Printable ASCII, since each call to an executor names it in a header."""


class UnreadableDocumentError(ValueError):
    """A document does not have the expected format; the text says why."""


class _PlatformDocument(BaseModel):
    """Base of all documents; ignores unknown fields, since the platform may add fields."""

    model_config = ConfigDict(extra="ignore", strict=False)


class _Amounts(_PlatformDocument):
    cpu: Count = 0
    """Millicores."""
    memMb: Count = 0  # noqa: N815
    gpu: Count = 0

    def decode(self) -> Resources:
        return Resources(self.cpu, self.memMb, self.gpu)


class _Hint(_PlatformDocument):
    decideMs: Milliseconds  # noqa: N815
    eachMs: Milliseconds  # noqa: N815
    validityMs: Milliseconds  # noqa: N815


class _Route(_PlatformDocument):
    """A queue; the platform calls it a route."""

    name: str
    host: str
    prefix: str
    service: str
    priority: Count = 0
    attempts: Count = 3
    slackFactor: float = 1.0  # noqa: N815
    targetLatencyMs: Milliseconds = 0  # noqa: N815
    allowAnon: bool = False  # noqa: N815
    hint: _Hint | None = None


class _Service(_PlatformDocument):
    name: str
    rejectsOverload: bool = False  # noqa: N815
    standby: bool = False


class _Tenant(_PlatformDocument):
    """An organisation, the platform's tenant; `weight` is its share when capacity is short."""

    name: str
    apiKeys: list[str] = []  # noqa: N815
    weight: float = 1.0
    maximum: _Amounts = _Amounts()


class _Limits(_PlatformDocument):
    maxBodyBytes: Count = 262_144  # noqa: N815


class _Config(_PlatformDocument):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class _Capacity(_PlatformDocument):
    """Capacity of an executor."""

    model_config = ConfigDict(extra="ignore", strict=True)

    cpu: Count
    memMb: Count  # noqa: N815
    gpu: Count

    def decode(self) -> Resources:
        return Resources(self.cpu, self.memMb, self.gpu)


class _Beat(_PlatformDocument):
    """An executor's own entry in the registry.

    Anybody can write there, so an entry names an executor only if no field is missing and each has
    its type.
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    service: Name
    address: Name
    zone: Text
    version: Text
    slots: Count
    state: Literal["ready", "draining"]
    machine: Name
    remainingMs: Milliseconds | None = None  # noqa: N815
    """Minimum time left to a draining executor; only these state it."""
    coldRemainingMs: Milliseconds  # noqa: N815
    """Time for which an executor remains slow after its start."""
    born: Moment
    seq: Count
    capacity: _Capacity
    labels: Annotated[list[Text], Field(max_length=MAX_LABELS)]
    """Kind of the executor, then its rack."""


class _Wave(_PlatformDocument):
    wave: int
    machines: list[str]
    durationS: float  # noqa: N815
    maximum: Count = 1


class _Step(_PlatformDocument):
    count: Annotated[int, Field(ge=1, le=MAX_COUNT)]
    cpu: Count = 0
    memMb: Count = 0  # noqa: N815
    gpu: Count = 0
    estimateMs: Milliseconds = 0  # noqa: N815
    after: list[Count] = []
    savesProgress: bool = False  # noqa: N815
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    requiredLabel: str = ""  # noqa: N815
    affinity: str = ""
    """Rack that holds the data of the step."""
    maxPerServer: Count = 0  # noqa: N815
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ""
    targetMs: Milliseconds = 0  # noqa: N815
    fills: bool = False
    maxUnavailable: Count = 0  # noqa: N815

    def decode(self) -> Step:
        return Step(
            count=self.count,
            need=Resources(self.cpu, self.memMb, self.gpu),
            estimate=self.estimateMs / 1000,
            after=tuple(self.after),
            saves_progress=self.savesProgress,
            gang=self.gang,
            same_rack=self.sameRack,
            required_label=self.requiredLabel,
            data_rack=self.affinity,
            most_per_executor=self.maxPerServer,
            speculative=self.speculative,
            long_running=self.longRunning,
            image=self.image,
            tail_target=self.targetMs / 1000,
            fills=self.fills,
            most_away=self.maxUnavailable,
        )


class _JobBody(_PlatformDocument):
    spec: Annotated[str, Field(max_length=4_000)] = ""
    """Payload that is passed to the tasks; the scheduler does not interpret it."""
    steps: Annotated[list[_Step], Field(min_length=1, max_length=1_000)]
    times: Count = 0
    startTimeMs: Annotated[float, Field(ge=-MAX_MOMENT, le=MAX_MOMENT)] = 0  # noqa: N815
    intervalMs: Milliseconds = 0  # noqa: N815


def _load(model: type[Model], data: bytes) -> Model:
    try:
        return model.model_validate(orjson.loads(data))
    except (ValidationError, orjson.JSONDecodeError) as error:
        reason = str(error).splitlines()
        raise UnreadableDocumentError("; ".join(line.strip() for line in reason[:4])) from error


def key_digest(key: str) -> str:
    """Return the digest that identifies an API key; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_config(data: bytes) -> WorkPolicy:
    """Decode the operators' configuration."""
    config = _load(_Config, data)
    queues = (
        Queue(
            name=route.name,
            host=route.host.lower(),
            prefix=route.prefix,
            service=route.service,
            priority=route.priority,
            attempts=max(1, route.attempts),
            slack_factor=route.slackFactor,
            objective=route.targetLatencyMs / 1000,
            anonymous=route.allowAnon,
            advice=_advice(route.hint),
        )
        for route in config.routes
    )
    return WorkPolicy(
        version=config.version,
        queues={queue.name: queue for queue in queues},
        services={
            item.name: Service(item.name, item.rejectsOverload, item.standby)
            for item in config.services
        },
        organisations={
            item.name: OrganisationLimits(
                item.name, item.weight, item.maximum.decode(), item.weight or None
            )
            for item in config.tenants
        },
        key_owners={key_digest(key): item.name for item in config.tenants for key in item.apiKeys},
        body_bound=config.limits.maxBodyBytes,
    )


def _advice(hint: _Hint | None) -> AdviceRule | None:
    if hint is None:
        return None
    return AdviceRule(hint.decideMs / 1000, hint.eachMs / 1000, hint.validityMs / 1000)


def read_executor(key: str, data: bytes) -> ExecutorFacts:
    """Decode an executor's entry in the registry.

    Any writer may leave an entry there. Whatever a later use of it would not bear is rejected here,
    since an error of such a use would end the owner of the shard.
    """
    executor = key.removeprefix(KEYS.executors)
    if not EXECUTOR_ID.fullmatch(executor):
        raise UnreadableDocumentError("its key holds no executor id")
    registration = _load(_Beat, data)
    is_draining = registration.state == "draining"
    if is_draining and registration.remainingMs is None:
        raise UnreadableDocumentError("no remaining time, although it is draining")
    try:
        parse_address(registration.address)
    except ValueError as error:
        raise UnreadableDocumentError(str(error)) from error
    return ExecutorFacts(
        executor=executor,
        incarnation=registration.born,
        service=registration.service,
        address=registration.address,
        zone=registration.zone,
        rack=registration.labels[1] if len(registration.labels) > 1 else "",
        machine=registration.machine,
        labels=frozenset(registration.labels),
        capacity=registration.capacity.decode(),
        draining=is_draining,
        cold_remaining=registration.coldRemainingMs / 1000,
        remaining=None if registration.remainingMs is None else registration.remainingMs / 1000,
    )


def read_wave(data: bytes) -> Wave:
    """Decode a wave, the operators' request for the upkeep of machines."""
    wave = _load(_Wave, data)
    return Wave(wave.wave, tuple(wave.machines), wave.durationS, max(1, wave.maximum))


def write_wave_state(number: int, completed: bool) -> bytes:
    """Encode the state of a wave, for operators."""
    return orjson.dumps({"wave": number, "state": "completed" if completed else "running"})


def read_job_body(
    data: bytes, job_id: str, queue: str, organisation: str, accepted_at: float
) -> Job:
    """Decode a job that a caller submits."""
    body = _load(_JobBody, data)
    for position, step in enumerate(body.steps):
        if any(earlier >= position for earlier in step.after):
            raise UnreadableDocumentError(f"step {position} waits for itself or a later step")
    return Job(
        job_id=job_id,
        queue=queue,
        organisation=organisation,
        payload=body.spec,
        steps=tuple(step.decode() for step in body.steps),
        accepted_at=accepted_at,
        times=body.times,
        first_due=body.startTimeMs / 1000,
        interval=body.intervalMs / 1000,
    )
