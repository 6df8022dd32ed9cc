"""Define the external services that the scheduler depends on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.protocol.executor_calls import ExecutorCalls
    from vanillawell.protocol.machine_calls import AdviceCalls, MachineCalls
    from vanillawell.protocol.store import PolledStore
    from vanillawell.state.executors import ExecutorFacts
    from vanillawell.state.upkeep import Wave
    from vanillawell.state.work_policy import WorkPolicy


@dataclass(frozen=True, slots=True)
class PlatformKeys:
    """Keys and prefixes in the store of documents shared with the platform."""

    configuration: str
    """Key of the operators' configuration."""

    operators: str
    """Prefix of all documents that operators write."""

    waves: str
    """Prefix of requests for upkeep."""

    evacuations: str
    """Prefix of requests to evacuate an availability zone, which end when the key is removed."""

    executors: str
    """Prefix of the registry of executors."""

    wave_states: str
    """Prefix under which the state of each wave is published for operators."""


@dataclass(frozen=True, slots=True)
class DocumentCodec:
    """Readers and writers of the documents in the store that are shared with the platform.

    Each reader raises ValueError if the bytes are not such a document.
    """

    policy: Callable[[bytes], WorkPolicy]
    wave: Callable[[bytes], Wave]
    executor: Callable[[str, bytes], ExecutorFacts]
    """Read an executor's registration from its key and value."""

    write_wave_state: Callable[[int, bool], bytes]
    """Write the state of a wave for operators from its number and whether it is completed."""

    keys: PlatformKeys
    """Keys of these documents."""


@dataclass(frozen=True, slots=True)
class Ports:
    """External services that the scheduler depends on."""

    store: PolledStore
    executors: ExecutorCalls
    machines: MachineCalls
    advice: AdviceCalls | None
    documents: DocumentCodec
