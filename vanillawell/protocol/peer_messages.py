"""Encode and decode the messages between entries with Cap'n Proto."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

import capnp

from vanillawell.exceptions import PeerProtocolError
from vanillawell.protocol.documents import Presence
from vanillawell.state.demand_table import Row

SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))

NEVER_CONFIRMED_AGE = 2**63
"""Age in milliseconds sent by an entry whose configuration was never confirmed as newest."""


@dataclass(frozen=True, slots=True)
class NameTable:
    """Pools and organisations of one configuration; rows refer to them by their index.

    Written out, names would make up four fifths of a heartbeat. Both ends use the indexes of the
    same configuration version; while their versions differ, new reports are ignored and the
    previous ones stay in use.
    """

    version: int = 0
    pools: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()


class DocumentKind(StrEnum):
    """Versioned documents that entries send to each other."""

    CONFIGURATION = "configuration"
    ASSIGNMENT = "assignment"


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of all documents in use by one entry."""

    configuration: int
    assignment: int

    def of(self, kind: DocumentKind) -> int:
        """Return the version of the document of one kind."""
        return self.configuration if kind is DocumentKind.CONFIGURATION else self.assignment


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand of one source, which is an entry or a whole zone, as sent to peers."""

    source: str
    entries: int
    sequence: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Beat:
    """Heartbeat of one entry, with its own demand and that of the zones it reports for."""

    sender: Presence
    versions: Versions
    fresh_age: float
    """Seconds since the sender's configuration was confirmed as the newest; may be infinite."""

    reports: tuple[DemandReport, ...]


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answer to a heartbeat."""

    versions: Versions
    fresh_age: float


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Request for a document of which the peer has a newer version than `have`."""

    kind: DocumentKind
    have: int


@dataclass(frozen=True, slots=True)
class DocumentReply:
    """One version of a document, as stored."""

    kind: DocumentKind
    version: int
    document: bytes


Message = Beat | Acknowledgement | DocumentRequest | DocumentReply


def encode(message: Message, names: NameTable) -> bytes:
    """Encode a message as packed bytes; rows with names that are not in the table are left out."""
    wire = SCHEMA.Message.new_message()
    match message:
        case Beat():
            _fill_beat(wire.init("beat"), message, names)
        case Acknowledgement():
            part = wire.init("acknowledgement")
            part.version = message.versions.configuration
            part.assignment = message.versions.assignment
            part.freshAgeMilliseconds = _to_milliseconds(message.fresh_age)
        case DocumentRequest():
            request = wire.init("documentRequest")
            request.kind = message.kind.value
            request.have = message.have
        case DocumentReply():
            reply = wire.init("documentReply")
            reply.kind = message.kind.value
            reply.version = message.version
            reply.document = message.document
    return bytes(wire.to_bytes_packed())


def decode(data: bytes, names: NameTable) -> Message:
    """Decode a message; the reports of a heartbeat with another name table version are left out.

    Raises:
        PeerProtocolError: The bytes are not a valid message.
    """
    try:
        wire = SCHEMA.Message.from_bytes_packed(data)
        return _read(wire, names)
    except (capnp.KjException, ValueError, IndexError) as error:
        raise PeerProtocolError(f"unreadable peer message: {error}") from error


def _read(wire: Any, names: NameTable) -> Message:
    match str(wire.which()):
        case "beat":
            return _read_beat(wire.beat, names)
        case "acknowledgement":
            part = wire.acknowledgement
            versions = Versions(part.version, part.assignment)
            return Acknowledgement(versions, _from_milliseconds(part.freshAgeMilliseconds))
        case "documentRequest":
            request = wire.documentRequest
            return DocumentRequest(DocumentKind(str(request.kind)), request.have)
        case _:
            reply = wire.documentReply
            kind = DocumentKind(str(reply.kind))
            return DocumentReply(kind, reply.version, bytes(reply.document))


def _fill_beat(part: Any, beat: Beat, names: NameTable) -> None:
    sender = beat.sender
    part.instance = sender.instance
    part.incarnation = sender.incarnation
    part.zone = sender.zone
    part.peerHost = sender.peer_host
    part.peerPort = sender.peer_port
    part.adminHost = sender.admin_host
    part.adminPort = sender.admin_port
    part.version = beat.versions.configuration
    part.assignment = beat.versions.assignment
    part.freshAgeMilliseconds = _to_milliseconds(beat.fresh_age)
    reports = part.init("reports", len(beat.reports))
    for target, report in zip(reports, beat.reports, strict=True):
        _fill_report(target, report, names)


def _fill_report(target: Any, report: DemandReport, names: NameTable) -> None:
    target.source = report.source
    target.entries = report.entries
    target.sequence = report.sequence
    pools = {name: number for number, name in enumerate(names.pools)}
    organisations = {name: number for number, name in enumerate(names.organisations)}
    encodable = [
        row for row in report.rows if row.pool in pools and row.organisation in organisations
    ]
    rows = target.init("rows", len(encodable))
    for wire, row in zip(rows, encodable, strict=True):
        wire.pool = pools[row.pool]
        wire.organisation = organisations[row.organisation]
        wire.demand = row.demand
        wire.usedMilliseconds = int(row.used * 1000)


def _read_beat(part: Any, names: NameTable) -> Beat:
    sender = Presence(
        instance=part.instance,
        incarnation=part.incarnation,
        zone=part.zone,
        peer_host=part.peerHost,
        peer_port=part.peerPort,
        admin_host=part.adminHost,
        admin_port=part.adminPort,
    )
    versions = Versions(part.version, part.assignment)
    readable = part.reports if versions.configuration == names.version else ()
    reports = tuple(_read_report(report, names) for report in readable)
    return Beat(sender, versions, _from_milliseconds(part.freshAgeMilliseconds), reports)


def _read_report(report: Any, names: NameTable) -> DemandReport:
    rows = tuple(
        Row(
            names.pools[row.pool],
            names.organisations[row.organisation],
            row.demand,
            row.usedMilliseconds / 1000,
        )
        for row in report.rows
    )
    return DemandReport(report.source, report.entries, report.sequence, rows)


def _to_milliseconds(seconds: float) -> int:
    return min(NEVER_CONFIRMED_AGE, int(min(seconds, NEVER_CONFIRMED_AGE / 1000) * 1000))


def _from_milliseconds(milliseconds: int) -> float:
    return float("inf") if milliseconds >= NEVER_CONFIRMED_AGE else milliseconds / 1000
