"""Name everything outside that the scheduler talks to."""

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
    """Where the documents of others lie in the store."""

    configuration: str
    """Key of the operators' configuration."""

    operators: str
    """Prefix of everything that operators write."""

    waves: str
    """Prefix of requests for upkeep."""

    executors: str
    """Prefix of the registry of executors."""

    wave_states: str
    """Prefix under which operators look for the state of a wave."""


@dataclass(frozen=True, slots=True)
class DocumentCodec:
    """Read and write the documents that others keep in the store.

    Each reader raises ValueError if the bytes are no such document.
    """

    policy: Callable[[bytes], WorkPolicy]
    wave: Callable[[bytes], Wave]
    executor: Callable[[str, bytes], ExecutorFacts]
    """Read an executor's entry in the registry, from its key and its value."""

    write_wave_state: Callable[[int, bool], bytes]
    """Write a wave's state for operators, from its number and whether it is completed."""

    keys: PlatformKeys
    """Where these documents lie."""


@dataclass(frozen=True, slots=True)
class Ports:
    """Everything outside that the scheduler talks to."""

    store: PolledStore
    executors: ExecutorCalls
    machines: MachineCalls
    advice: AdviceCalls | None
    documents: DocumentCodec
