"""Exchange heartbeats with other entries: demand, configuration versions and freshness.

Each entry sends heartbeats to the other entries of its zone. The watchers of a zone also send the
zone's total to the first entries of other zones, which relay it within their zone. The number of
messages therefore grows with the number of zones, not with pairs of entries. A byte budget
lengthens the interval as the fleet grows.
"""

from __future__ import annotations

import itertools
import logging
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import PeerProtocolError
from vanillawell.protocol.peer_messages import (
    Acknowledgement,
    Beat,
    DemandReport,
    DocumentKind,
    DocumentReply,
    DocumentRequest,
    Versions,
)
from vanillawell.state.demand_table import Row

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from anyio.abc import ByteStream, TaskGroup

    from vanillawell.config.settings import TimingSettings
    from vanillawell.coordination.document_sync import DocumentSync
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import Presence
    from vanillawell.protocol.peer_calls import PeerLink, PeerTransport
    from vanillawell.protocol.peer_messages import Message, NameTable
    from vanillawell.state.demand_table import DemandTable
    from vanillawell.telemetry import Telemetry

MAX_HEARTBEAT_BYTES_PER_SECOND = 3_500.0
"""Budget for sent heartbeats; control traffic as a whole may use 4 KB per second."""

ENTRIES_PER_REMOTE_ZONE = 2
"""Entries of each other zone that receive a zone's total, so that one of them may be down."""

RECONNECT_INTERVAL = 0.2
"""Seconds between two attempts to connect to a peer."""

UNLISTED_PEER_TIMEOUTS = 4
"""Peer timeouts without an acknowledgement after which the link to an unlisted peer is closed; an
unresponsive connection is detected and replaced within two."""

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    PeerProtocolError,
)
"""Errors after which a peer connection is closed and opened again."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a peer; each address has its own link."""

    host: str
    port: int
    same_zone: bool = True


@dataclass(slots=True)
class Link:
    """State of the connection that is maintained to a peer."""

    scope: anyio.CancelScope
    acknowledged_at: float
    """Time of the last acknowledged heartbeat, or of opening the link before the first one."""

    wanted: bool = True
    """Whether this entry should connect to the peer according to the member list."""

    was_listed: bool = False
    """Whether the peer was ever in the member list; a seed address may not belong to any entry."""


class Peers:
    """Manage all connections to other entries."""

    def __init__(
        self,
        tasks: TaskGroup,
        membership: Membership,
        documents: Mapping[DocumentKind, DocumentSync],
        demand_table: DemandTable,
        timing: TimingSettings,
        telemetry: Telemetry,
        transport: PeerTransport,
        local_host: str,
        names: Callable[[], NameTable],
        own_rows: Callable[[float], Iterable[Row]],
        on_demand_reports: Callable[[set[str]], None],
    ) -> None:
        self._tasks = tasks
        self._membership = membership
        self._documents = documents
        self._configuration = documents[DocumentKind.CONFIGURATION]
        self._demand_table = demand_table
        self._timing = timing
        self._telemetry = telemetry
        self._transport = transport
        self._local_host = local_host
        self._names = names
        self._own_rows = own_rows
        self._on_demand_reports = on_demand_reports
        self._links: dict[PeerAddress, Link] = {}
        self._seeds: list[PeerAddress] = []
        self._push = anyio.Event()
        self._direct_zones: set[str] = set()
        self._last_heartbeat_size = 200.0

    def add_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Set addresses to connect to while no other entry is known."""
        self._seeds = list(seeds)
        self.update_links()

    def update_links(self) -> None:
        """Open links to new members and close those to entries that have terminated.

        An entry that has lost the store drops out of the member list while it continues to serve.
        If it cannot open connections either, it receives updates only over links that other
        entries maintain to it.
        """
        wanted = self._targets()
        for address, link in list(self._links.items()):
            link.wanted = address in wanted
            link.was_listed |= address in self._listed()
            if not link.wanted and not self._is_active_unlisted(address, link, clock.read()):
                self._close(address, link)
        for address in wanted - self._links.keys():
            link = Link(anyio.CancelScope(), clock.read(), was_listed=address in self._listed())
            self._links[address] = link
            self._tasks.start_soon(self._maintain_link, address, link)

    def _close(self, address: PeerAddress, link: Link) -> None:
        del self._links[address]
        link.scope.cancel()

    def _is_active_unlisted(self, address: PeerAddress, link: Link, now: float) -> bool:
        """Return whether an unlisted peer has acknowledged a heartbeat recently."""
        if address in self._listed() or not link.was_listed:
            return False
        silence = now - link.acknowledged_at
        is_active = silence <= self._interval() + UNLISTED_PEER_TIMEOUTS * self._timing.peer_timeout
        subject = f"link to {address.host}:{address.port}"
        self._telemetry.log_state(subject, "kept though unlisted" if is_active else "closed")
        return is_active

    def push(self) -> None:
        """Send heartbeats immediately, because this entry has a new version to announce."""
        self._push.set()
        self._push = anyio.Event()

    def _targets(self) -> set[PeerAddress]:
        me = self._membership.me
        zones = self._membership.zones()
        zone_peers = [member for member in zones.get(me.zone, []) if member != me]
        remote_peers = list(
            itertools.chain.from_iterable(
                members[:ENTRIES_PER_REMOTE_ZONE]
                for zone, members in zones.items()
                if zone != me.zone
            )
        )
        chosen = [*zone_peers, *remote_peers] if self._membership.is_watcher() else zone_peers
        return self._addresses(chosen) if zone_peers or remote_peers else set(self._seeds)

    def _listed(self) -> set[PeerAddress]:
        """Return the addresses of all members, including those without a link from this entry."""
        return self._addresses(self._membership.members.values())

    def _addresses(self, members: Iterable[Presence]) -> set[PeerAddress]:
        zone = self._membership.me.zone
        return {
            PeerAddress(member.peer_host, member.peer_port, member.zone == zone)
            for member in members
        }

    async def _maintain_link(self, address: PeerAddress, link: Link) -> None:
        with link.scope:
            while link.wanted or self._is_active_unlisted(address, link, clock.read()):
                try:
                    timeout = self._timing.peer_timeout
                    local = self._local_host
                    raw = await self._transport.dial(address.host, address.port, local, timeout)
                    stream = self._transport.wrap(raw, self._names, self._count)
                    async with raw:
                        await self._send_heartbeats(stream, address, link)
                except CONNECTION_ERRORS:
                    name = f"peer {address.host}:{address.port}"
                    self._telemetry.log_state(name, "unreachable", logging.WARNING)
                await anyio.sleep(RECONNECT_INTERVAL)
            self._close(address, link)

    async def _send_heartbeats(self, stream: PeerLink, address: PeerAddress, link: Link) -> None:
        """Send heartbeats and wait for each acknowledgement; a timeout ends the connection.

        A connection whose state was dropped by a device on the path reports no error. The missing
        acknowledgement reveals it, and the connection is replaced.
        """
        while True:
            push = self._push
            with anyio.fail_after(self._timing.peer_timeout):
                sent = clock.read()
                self._last_heartbeat_size = float(
                    await stream.send(self._heartbeat(sent, address.same_zone))
                )
                await self._receive_until_acknowledged(stream, sent)
            link.acknowledged_at = clock.read()
            # Logged only after an acknowledgement: a proxy on the path may accept connections and
            # close them immediately, and each attempt would log two state changes.
            self._telemetry.log_state(f"peer {address.host}:{address.port}", "connected")
            with anyio.move_on_after(self._interval()):
                await push.wait()

    def _interval(self) -> float:
        within_budget = (
            len(self._links) * self._last_heartbeat_size / MAX_HEARTBEAT_BYTES_PER_SECOND
        )
        return max(self._timing.beat_interval, within_budget)

    async def _receive_until_acknowledged(self, stream: PeerLink, sent: float) -> None:
        awaited = 1
        while awaited:
            message = await stream.receive()
            if isinstance(message, Acknowledgement):
                self._confirm(message.versions, message.fresh_age, sent)
                awaited += await self._request_newer(stream, message.versions)
                awaited -= 1
            else:
                await self._handle_document(stream, message)
                awaited -= isinstance(message, DocumentReply)

    async def serve(self, raw: ByteStream) -> None:
        """Serve a connection that a peer has opened to this entry."""
        stream = self._transport.wrap(raw, self._names, self._count)
        acknowledged_at: float | None = None
        try:
            async with raw:
                while True:
                    with anyio.fail_after(self._timing.peer_timeout + 4 * self._interval()):
                        message = await stream.receive()
                    if not isinstance(message, Beat):
                        await self._handle_document(stream, message)
                        continue
                    if acknowledged_at is not None:
                        self._confirm(message.versions, message.fresh_age, acknowledged_at)
                    acknowledged_at = await self._answer_heartbeat(stream, message)
        except CONNECTION_ERRORS:
            return

    async def _answer_heartbeat(self, stream: PeerLink, beat: Beat) -> float:
        """Apply and acknowledge a heartbeat; return the time before which the peer sends no other
        one."""
        self._apply_heartbeat(beat, clock.read())
        await self._request_newer(stream, beat.versions)
        now = clock.read()
        await stream.send(Acknowledgement(self._versions(), self._configuration.fresh_age(now)))
        return now

    def _confirm(self, theirs: Versions, fresh_age: float, sent_after: float) -> None:
        """Take over a peer's confirmation of the configuration, in a message sent after a time.

        Messages may be read long after they were sent, for example once this process has been
        paused. What the peer had not heard of by then is no news of the present.
        """
        self._configuration.confirm(theirs.configuration, fresh_age, sent_after)

    def _versions(self) -> Versions:
        assignment = self._documents[DocumentKind.ASSIGNMENT]
        return Versions(self._configuration.version, assignment.version)

    async def _request_newer(self, stream: PeerLink, theirs: Versions) -> int:
        """Request each document of which the peer has a newer version; return their number."""
        newer = [
            (kind, own.version)
            for kind, own in self._documents.items()
            if theirs.of(kind) > own.version
        ]
        for kind, have in newer:
            await stream.send(DocumentRequest(kind, have))
        return len(newer)

    async def _handle_document(self, stream: PeerLink, message: Message) -> None:
        if isinstance(message, DocumentRequest):
            own = self._documents[message.kind]
            await stream.send(DocumentReply(message.kind, own.version, own.document))
        elif isinstance(message, DocumentReply) and message.version:
            self._documents[message.kind].apply(message.document)

    def _apply_heartbeat(self, beat: Beat, now: float) -> None:
        self._membership.add_discovered(beat.sender)
        organisations: set[str] = set()
        for report in beat.reports:
            if self._accept_report(report, beat.sender, now):
                organisations.update(row.organisation for row in report.rows)
        if organisations:
            self._on_demand_reports(organisations)

    def _accept_report(self, report: DemandReport, sender: Presence, now: float) -> bool:
        me = self._membership.me
        if report.source in (me.instance, me.zone):
            return False
        if sender.zone != me.zone:
            self._direct_zones.add(report.source)
        return self._demand_table.receive(
            report.source, report.entries, report.sequence, report.rows, now
        )

    def _heartbeat(self, now: float, same_zone: bool) -> Beat:
        reports = self._reports_for_zone_peers(now) if same_zone else [self._zone_sum(now)]
        return Beat(
            sender=self._membership.me,
            versions=self._versions(),
            fresh_age=self._configuration.fresh_age(now),
            reports=tuple(reports),
        )

    def _reports_for_zone_peers(self, now: float) -> list[DemandReport]:
        """Return this entry's own rows, and the reports received directly from other zones."""
        rows = tuple(self._own_rows(now))
        own = DemandReport(self._membership.me.instance, 1, sequence_now(), rows)
        relayed = [
            DemandReport(zone, report.entries, report.sequence, tuple(report.rows.values()))
            for zone, report in self._demand_table.reports.items()
            if zone in self._direct_zones
        ]
        return [own, *relayed]

    def _zone_sum(self, now: float) -> DemandReport:
        """Return the total of this entry and of the entries of its zone that report to it."""
        me = self._membership.me
        zone_peers = {member.instance for member in self._membership.in_zone(me.zone)}
        reports = [
            self._demand_table.reports[name]
            for name in zone_peers
            if name in self._demand_table.reports
        ]
        rows = itertools.chain(self._own_rows(now), *(item.rows.values() for item in reports))
        return DemandReport(me.zone, 1 + len(reports), sequence_now(), sum_rows(rows))

    def _count(self, direction: str, size: int) -> None:
        self._telemetry.peer_bytes.add({"direction": direction}, size)


def sequence_now() -> int:
    """Return a number that increases with each report, also across restarts: Unix milliseconds."""
    return int(time.time() * 1000)


def sum_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Sum the rows of several sources by pool and organisation."""
    demand: Counter[tuple[str, str]] = Counter()
    used: Counter[tuple[str, str]] = Counter()
    for row in rows:
        demand[row.pool, row.organisation] += row.demand
        used[row.pool, row.organisation] += row.used  # type: ignore[assignment]
    return tuple(
        Row(pool, organisation, demand[pool, organisation], used[pool, organisation])
        for pool, organisation in demand
    )
