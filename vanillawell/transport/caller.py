"""Serve callers over HTTP/1.1: check, claim and queue requests, and forward the answers."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.claims import HeldClaim, StoredAnswer
from vanillawell.coordination.tickets import CheckedRequest, Ticket
from vanillawell.protocol.backend_calls import Answer, ForwardedRequest
from vanillawell.protocol.claim_documents import fingerprint
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict
from vanillawell.transport.asgi import (
    BodyTooLargeError,
    CallerGoneError,
    read_body,
    send_bytes,
)
from vanillawell.transport.request_head import (
    RequestHead,
    RequestRefusedError,
    read_head,
    refusal_error,
)

if TYPE_CHECKING:
    from vanillawell.coordination.claims import ClaimService
    from vanillawell.coordination.configuration import ConfigurationSync
    from vanillawell.coordination.dispatch import Dispatcher
    from vanillawell.state.burn import BurnCounters
    from vanillawell.state.policy import OrganisationPolicy, Policy, PoolPolicy
    from vanillawell.telemetry import Telemetry
    from vanillawell.transport.asgi import Receive, Scope, Send

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Hop-by-hop headers, which are never forwarded (RFC 9110 section 7.6.1)."""

UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {b"authorization", b"content-length", b"host", b"expect"}
"""Headers of a request that are not forwarded; an organisation's key never reaches a backend
server."""

SEND_STALL_TIMEOUT = 10.0
"""Seconds for which a caller may accept no data of its answer before its connection is closed."""

UNREADY_RETRY_AFTER = 0.5
"""Seconds after which the load balancer has another entry for the caller."""


class CallerAbortError(Exception):
    """An answer broke off after its head was sent; the connection must not be closed cleanly."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a request, for metrics."""

    name: str
    """Status of an answer, or type of a refusal."""

    status: int
    """HTTP status; 0 if the caller disconnected before its request was complete."""


class CallerApp:
    """ASGI application that answers callers' requests."""

    def __init__(
        self,
        configuration: ConfigurationSync,
        dispatcher: Dispatcher,
        claims: ClaimService,
        telemetry: Telemetry,
        burn: BurnCounters,
        prefix: str,
    ) -> None:
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._claims = claims
        self._telemetry = telemetry
        self._burn = burn
        self._ids = (f"{prefix}-{number}" for number in itertools.count(1))
        self._closing = False
        self._refusing = False
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have arrived and are not answered yet."""
        return self._open_requests

    def close_connections(self) -> None:
        """Make callers open new connections, which the load balancer sends to other entries."""
        self._closing = True

    def refuse_new(self) -> None:
        """Refuse requests that arrive from now on."""
        self._refusing = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        self._open_requests += 1
        started = clock.read()
        labels = {"service": "-", "organisation": "-"}
        try:
            outcome = await self._handle(scope, receive, send, labels)
        except RequestRefusedError as error:
            outcome = await self._send_refusal(send, error.refusal)
        except CallerGoneError:
            outcome = Outcome("caller-gone", 0)
        finally:
            self._open_requests -= 1
        self._count(labels, outcome, started, clock.read())

    def _count(self, labels: dict[str, str], outcome: Outcome, started: float, now: float) -> None:
        self._telemetry.requests.inc({**labels, "outcome": outcome.name})
        self._telemetry.latency.observe(labels, now - started)
        policy = self._configuration.policy
        organisation = policy.organisations.get(labels["organisation"]) if policy else None
        if organisation and labels["service"] != "-" and outcome.status:
            in_time = now - started <= organisation.objective_seconds
            self._burn.record(labels["service"], organisation.name, outcome.status, in_time, now)

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, labels: dict[str, str]
    ) -> Outcome:
        head = read_head(scope)
        now = clock.read()
        policy = self._ready_policy()
        organisation = self._authenticate(policy, head, now)
        labels["organisation"] = organisation.name
        pool = policy.services.get(head.service)
        if pool is None:
            raise refusal_error(Reason.NO_SUCH_SERVICE, f"no service is named {head.service!r}")
        labels["service"] = head.service
        deadline = now + head.timeout(organisation.longest_timeout)
        try:
            with anyio.fail_after(deadline - now):
                body = await read_body(receive, pool.body_bound)
        except TimeoutError:
            raise refusal_error(Reason.BODY_LATE) from None
        except BodyTooLargeError:
            raise refusal_error(Reason.TOO_LARGE, f"at most {pool.body_bound} bytes") from None
        request = self._checked_request(head, organisation, pool, body, deadline)
        key = head.headers.get(b"idempotency-key")
        if head.idempotent or key is None:
            return await self._run(request, receive, send, None)
        return await self._run_claimed(request, key.decode("latin-1"), receive, send)

    def _ready_policy(self) -> Policy:
        if self._refusing:
            raise refusal_error(Reason.STOPPING, retry_after=UNREADY_RETRY_AFTER)
        if self._configuration.policy is None:
            raise refusal_error(Reason.STARTING, retry_after=UNREADY_RETRY_AFTER)
        return self._configuration.policy

    def _authenticate(self, policy: Policy, head: RequestHead, now: float) -> OrganisationPolicy:
        """Return the organisation of the key, provided that the configuration is fresh enough.

        An entry that reaches neither the store nor any peer does not learn that a key was
        withdrawn. Once its configuration is older than the organisation's `key_freshness`, it
        refuses requests rather than accept a withdrawn key.
        """
        owner = policy.owner(head.bearer_key())
        if owner is None:
            raise refusal_error(Reason.UNAUTHENTICATED)
        organisation = policy.organisations[owner.organisation]
        if self._configuration.fresh_age(now) > organisation.key_freshness:
            raise refusal_error(Reason.CONFIGURATION_STALE, retry_after=UNREADY_RETRY_AFTER)
        return organisation

    def _checked_request(
        self,
        head: RequestHead,
        organisation: OrganisationPolicy,
        pool: PoolPolicy,
        body: bytes,
        deadline: float,
    ) -> CheckedRequest:
        request_id = next(self._ids)
        headers = [
            (name, value) for name, value in head.raw_headers if name not in UNFORWARDED_HEADERS
        ]
        headers += [
            (b"host", pool.service.encode() if pool.service else b"-"),
            (b"content-length", str(len(body)).encode()),
            (b"vanillawell-organisation", organisation.name.encode()),
            (b"vanillawell-request", request_id.encode()),
        ]
        return CheckedRequest(
            request_id=request_id,
            organisation=organisation.name,
            pool=pool.name,
            urgent=head.urgent(),
            idempotent=head.idempotent,
            deadline=deadline,
            forward=ForwardedRequest(head.method, head.target, headers, body),
        )

    async def _run_claimed(
        self, request: CheckedRequest, key: str, receive: Receive, send: Send
    ) -> Outcome:
        refusal = self._claims.check_key(key, time.time())
        if refusal:
            raise RequestRefusedError(refusal)
        forward = request.forward
        request_fingerprint = fingerprint(forward.method, forward.target, forward.body)
        claimed = await self._claims.claim(request.organisation, key, request_fingerprint)
        match claimed:
            case Refusal():
                raise RequestRefusedError(claimed)
            case StoredAnswer():
                headers = [
                    *claimed.headers,
                    (b"idempotency-replayed", b"true"),
                    (b"vanillawell-verdict", Verdict.RAN.value.encode()),
                ]
                await send_bytes(send, claimed.status, claimed.body, headers)
                return Outcome("replayed", claimed.status)
            case _:
                return await self._run(request, receive, send, claimed)

    async def _run(
        self, request: CheckedRequest, receive: Receive, send: Send, claim: HeldClaim | None
    ) -> Outcome:
        ticket = self._dispatcher.submit(request, clock.read())
        if isinstance(ticket, Refusal):
            if claim:
                self._claims.conclude_not_run(claim)
            raise RequestRefusedError(ticket)
        outcome = await self._wait(ticket, receive)
        if claim:
            self._conclude(claim, ticket, outcome)
        if isinstance(outcome, Refusal):
            raise RequestRefusedError(outcome)
        await self._send_answer(send, outcome)
        return Outcome(str(outcome.status), outcome.status)

    def _conclude(self, claim: HeldClaim, ticket: Ticket, outcome: Answer | Refusal) -> None:
        """Record the outcome of a claimed request, now or when its running attempt ends."""

        def conclude(answer: Answer | None, verdict: Verdict) -> None:
            if answer is not None:
                self._claims.conclude_ran(
                    claim, answer.status, _replayed_headers(answer), answer.body
                )
            elif verdict is Verdict.NOT_RUN:
                self._claims.conclude_not_run(claim)
            else:
                self._claims.conclude_unknown(claim)

        if isinstance(outcome, Answer):
            conclude(outcome, Verdict.RAN)
        elif ticket.running:
            ticket.on_late_outcome = conclude
        else:
            conclude(None, outcome.verdict)

    async def _wait(self, ticket: Ticket, receive: Receive) -> Answer | Refusal:
        """Return the outcome; abort the request at its deadline or when the caller disconnects."""
        with anyio.move_on_after(max(0.0, ticket.request.deadline - clock.read())):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, ticket, receive)
                await ticket.done.wait()
                tasks.cancel_scope.cancel()
        if ticket.outcome is None:
            self._dispatcher.abort(ticket, Reason.DEADLINE, clock.read())
        assert ticket.outcome is not None
        return ticket.outcome

    async def _watch_caller(self, ticket: Ticket, receive: Receive) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self._dispatcher.abort(ticket, Reason.DEADLINE, clock.read())
                return

    async def _send_answer(self, send: Send, answer: Answer) -> None:
        headers = [
            (name.lower(), value)
            for name, value in answer.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        headers.append((b"vanillawell-verdict", b"ran"))
        headers += self._connection_headers()
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await send(start)
        if answer.remaining_body is None:
            await send({"type": "http.response.body", "body": answer.body})
            return
        await self._send_rest(send, answer)

    async def _send_rest(self, send: Send, answer: Answer) -> None:
        """Stream a large answer; if it breaks off, the caller can see that it is incomplete."""
        assert answer.remaining_body is not None
        async with answer.remaining_body:
            await _send_part(send, answer.body)
            async for chunk in answer.remaining_body:
                await _send_part(send, chunk)
        if answer.broken:
            raise CallerAbortError
        await send({"type": "http.response.body", "body": b""})

    async def _send_refusal(self, send: Send, refusal: Refusal) -> Outcome:
        headers = refusal.headers() + self._connection_headers()
        await send_bytes(send, refusal.reason.status, refusal.body(), headers)
        return Outcome(refusal.reason.slug, refusal.reason.status)

    def _connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self._closing else []


async def _send_part(send: Send, part: bytes) -> None:
    """Send a part of a large answer; raises CallerAbortError if the caller stops reading.

    A caller whose connection is dead accepts no data and never closes it. Without a timeout its
    answer would hold an executor's slot and a unit of the organisation's limit indefinitely.
    """
    try:
        with anyio.fail_after(SEND_STALL_TIMEOUT):
            await send({"type": "http.response.body", "body": part, "more_body": True})
    except TimeoutError:
        raise CallerAbortError from None


def _replayed_headers(answer: Answer) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a stored answer is replayed."""
    dropped = HOP_BY_HOP_HEADERS | {b"content-length", b"date"}
    return [(name, value) for name, value in answer.headers if name.lower() not in dropped]
