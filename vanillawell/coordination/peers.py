"""Exchange heartbeats with other entries: demand, configuration versions, freshness.

Each entry sends to those of its zone. The first entry of each zone also sends the zone's sum to
the first ones of the other zones, which pass it on inside theirs; so messages grow with zones,
not with pairs of entries. A byte budget stretches the interval when the fleet grows.
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
    DocumentKind,
    DocumentReply,
    DocumentRequest,
    SourceReport,
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

BYTES_PER_SECOND = 3_500.0
"""Budget for heartbeats sent, below the 4 KB a second that control may cost."""

ENTRIES_PER_REMOTE_ZONE = 2
"""Entries of each other zone that hear a zone's sum, so that one may be down."""

RECONNECT_PAUSE = 0.2
"""Seconds between two tries to reach a peer."""

TRIES_OFF_THE_LIST = 4
"""Peer timeouts without an answer after which a peer that is off the list is given up; a silent
connection is found and replaced within two."""

BROKEN = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    PeerProtocolError,
)
"""Errors after which a peer connection is dropped and opened anew."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer is reached; a new address is a new link."""

    host: str
    port: int
    same_zone: bool = True


@dataclass(slots=True)
class Link:
    """A connection that is kept open to a peer."""

    scope: anyio.CancelScope
    answered: float
    """When the peer last acknowledged a heartbeat; when the link was opened, before the first."""

    wanted: bool = True
    """Whether this entry should speak with the peer, by the list of members."""

    joined: bool = False
    """Whether the peer has ever been on that list; a seed may be an address that none has."""


class Peers:
    """Own all connections to other entries."""

    def __init__(
        self,
        tasks: TaskGroup,
        membership: Membership,
        documents: Mapping[DocumentKind, DocumentSync],
        board: DemandTable,
        timing: TimingSettings,
        telemetry: Telemetry,
        transport: PeerTransport,
        local_host: str,
        names: Callable[[], NameTable],
        own_rows: Callable[[float], Iterable[Row]],
        heard: Callable[[set[str]], None],
    ) -> None:
        self._tasks = tasks
        self._membership = membership
        self._documents = documents
        self._configuration = documents[DocumentKind.CONFIGURATION]
        self._board = board
        self._timing = timing
        self._telemetry = telemetry
        self._transport = transport
        self._local_host = local_host
        self._names = names
        self._own_rows = own_rows
        self._heard = heard
        self._links: dict[PeerAddress, Link] = {}
        self._seeds: list[PeerAddress] = []
        self._push = anyio.Event()
        self._direct_zones: set[str] = set()
        self._last_size = 200.0

    def add_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Also dial these addresses while no other entry is known."""
        self._seeds = list(seeds)
        self.update_links()

    def update_links(self) -> None:
        """Open links to new members and close those to gone ones.

        An entry that has lost the store leaves the list while it goes on serving. If it cannot
        open connections either, all that it hears comes over links that others keep to it.
        """
        wanted = self._targets()
        for address, link in list(self._links.items()):
            link.wanted = address in wanted
            link.joined |= address in self._listed()
            if not link.wanted and not self._serves_off_the_list(address, link, clock.read()):
                self._close(address, link)
        for address in wanted - self._links.keys():
            link = Link(anyio.CancelScope(), clock.read(), joined=address in self._listed())
            self._links[address] = link
            self._tasks.start_soon(self._dial, address, link)

    def _close(self, address: PeerAddress, link: Link) -> None:
        del self._links[address]
        link.scope.cancel()

    def _serves_off_the_list(self, address: PeerAddress, link: Link, now: float) -> bool:
        """Tell whether a peer has left the list but answers still, or did a moment ago."""
        if address in self._listed() or not link.joined:
            return False
        silent = now - link.answered
        serves = silent <= self._interval() + TRIES_OFF_THE_LIST * self._timing.peer_timeout
        subject = f"link to {address.host}:{address.port}"
        self._telemetry.log_state(subject, "kept off the list" if serves else "given up")
        return serves

    def push(self) -> None:
        """Send heartbeats now, since there is something new to tell."""
        self._push.set()
        self._push = anyio.Event()

    def _targets(self) -> set[PeerAddress]:
        me = self._membership.me
        zones = self._membership.zones()
        mates = [member for member in zones.get(me.zone, []) if member != me]
        far = list(
            itertools.chain.from_iterable(
                members[:ENTRIES_PER_REMOTE_ZONE]
                for zone, members in zones.items()
                if zone != me.zone
            )
        )
        chosen = [*mates, *far] if self._membership.is_watcher() else mates
        return self._addresses(chosen) if mates or far else set(self._seeds)

    def _listed(self) -> set[PeerAddress]:
        """Return the addresses of all members, also of those that others speak with."""
        return self._addresses(self._membership.members.values())

    def _addresses(self, members: Iterable[Presence]) -> set[PeerAddress]:
        zone = self._membership.me.zone
        return {
            PeerAddress(member.peer_host, member.peer_port, member.zone == zone)
            for member in members
        }

    async def _dial(self, address: PeerAddress, link: Link) -> None:
        with link.scope:
            while link.wanted or self._serves_off_the_list(address, link, clock.read()):
                try:
                    timeout = self._timing.peer_timeout
                    local = self._local_host
                    raw = await self._transport.dial(address.host, address.port, local, timeout)
                    stream = self._transport.wrap(raw, self._names, self._count)
                    async with raw:
                        await self._beat_over(stream, address, link)
                except BROKEN:
                    name = f"peer {address.host}:{address.port}"
                    self._telemetry.log_state(name, "unreachable", logging.WARNING)
                await anyio.sleep(RECONNECT_PAUSE)
            self._close(address, link)

    async def _beat_over(self, stream: PeerLink, address: PeerAddress, link: Link) -> None:
        """Send heartbeats and await each answer; silence ends the connection.

        A connection that something in between has lost track of reports nothing. The missing
        answer shows it, and a new connection takes its place.
        """
        while True:
            push = self._push
            with anyio.fail_after(self._timing.peer_timeout):
                self._last_size = float(
                    await stream.send(self._beat(clock.read(), address.same_zone))
                )
                await self._until_acknowledged(stream)
            link.answered = clock.read()
            # Not before: something in between may take connections and drop them at once, and each
            # try would log two changes.
            self._telemetry.log_state(f"peer {address.host}:{address.port}", "connected")
            with anyio.move_on_after(self._interval()):
                await push.wait()

    def _interval(self) -> float:
        within_budget = len(self._links) * self._last_size / BYTES_PER_SECOND
        return max(self._timing.beat_interval, within_budget)

    async def _until_acknowledged(self, stream: PeerLink) -> None:
        awaited = 1
        while awaited:
            message = await stream.receive()
            if isinstance(message, Acknowledgement):
                awaited += await self._compare(stream, message.versions, message.fresh_age)
                awaited -= 1
            else:
                await self._handle_document(stream, message)
                awaited -= isinstance(message, DocumentReply)

    async def serve(self, raw: ByteStream) -> None:
        """Answer one peer that has dialled this entry."""
        stream = self._transport.wrap(raw, self._names, self._count)
        try:
            async with raw:
                while True:
                    with anyio.fail_after(self._timing.peer_timeout + 4 * self._interval()):
                        message = await stream.receive()
                    await self._answer(stream, message)
        except BROKEN:
            return

    async def _answer(self, stream: PeerLink, message: Message) -> None:
        if not isinstance(message, Beat):
            await self._handle_document(stream, message)
            return
        self._take_beat(message, clock.read())
        await self._compare(stream, message.versions, message.fresh_age)
        age = self._configuration.fresh_age(clock.read())
        await stream.send(Acknowledgement(self._versions(), age))

    def _versions(self) -> Versions:
        assignment = self._documents[DocumentKind.ASSIGNMENT]
        return Versions(self._configuration.version, assignment.version)

    async def _compare(self, stream: PeerLink, theirs: Versions, fresh_age: float) -> int:
        """Ask for each document that the peer has newer; return how many."""
        newer = [
            (kind, mine.version)
            for kind, mine in self._documents.items()
            if theirs.of(kind) > mine.version
        ]
        for kind, have in newer:
            await stream.send(DocumentRequest(kind, have))
        self._configuration.confirm(theirs.configuration, fresh_age, clock.read())
        return len(newer)

    async def _handle_document(self, stream: PeerLink, message: Message) -> None:
        if isinstance(message, DocumentRequest):
            mine = self._documents[message.kind]
            await stream.send(DocumentReply(message.kind, mine.version, mine.document))
        elif isinstance(message, DocumentReply) and message.version:
            self._documents[message.kind].apply(message.document)

    def _take_beat(self, beat: Beat, now: float) -> None:
        self._membership.learn(beat.sender)
        organisations: set[str] = set()
        for report in beat.reports:
            if self._accept(report, beat.sender, now):
                organisations.update(row.organisation for row in report.rows)
        if organisations:
            self._heard(organisations)

    def _accept(self, report: SourceReport, sender: Presence, now: float) -> bool:
        me = self._membership.me
        if report.source in (me.instance, me.zone):
            return False
        if sender.zone != me.zone:
            self._direct_zones.add(report.source)
        return self._board.receive(report.source, report.entries, report.sequence, report.rows, now)

    def _beat(self, now: float, same_zone: bool) -> Beat:
        reports = self._reports_for_mates(now) if same_zone else [self._zone_sum(now)]
        return Beat(
            sender=self._membership.me,
            versions=self._versions(),
            fresh_age=self._configuration.fresh_age(now),
            reports=tuple(reports),
        )

    def _reports_for_mates(self, now: float) -> list[SourceReport]:
        """Return this entry's own rows, and what other zones told it directly."""
        rows = tuple(self._own_rows(now))
        own = SourceReport(self._membership.me.instance, 1, sequence_now(), rows)
        relayed = [
            SourceReport(zone, report.entries, report.sequence, tuple(report.rows.values()))
            for zone, report in self._board.reports.items()
            if zone in self._direct_zones
        ]
        return [own, *relayed]

    def _zone_sum(self, now: float) -> SourceReport:
        """Return the sum of this entry and those of its zone that it hears from."""
        me = self._membership.me
        mates = {member.instance for member in self._membership.in_zone(me.zone)}
        heard = [self._board.reports[name] for name in mates if name in self._board.reports]
        rows = itertools.chain(self._own_rows(now), *(item.rows.values() for item in heard))
        return SourceReport(me.zone, 1 + len(heard), sequence_now(), sum_rows(rows))

    def _count(self, direction: str, size: int) -> None:
        self._telemetry.peer_bytes.add({"direction": direction}, size)


def sequence_now() -> int:
    """Return a number that rises with each report, also over restarts: wall milliseconds."""
    return int(time.time() * 1000)


def sum_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Add up rows of several sources by pool and organisation."""
    demand: Counter[tuple[str, str]] = Counter()
    used: Counter[tuple[str, str]] = Counter()
    for row in rows:
        demand[row.pool, row.organisation] += row.demand
        used[row.pool, row.organisation] += row.used  # type: ignore[assignment]
    return tuple(
        Row(pool, organisation, demand[pool, organisation], used[pool, organisation])
        for pool, organisation in demand
    )
