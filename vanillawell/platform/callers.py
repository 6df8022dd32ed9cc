"""Serve callers over HTTP in the platform's format."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import orjson

from vanillawell import clock
from vanillawell.coordination.job_service import DEFAULT_CALL_TIMEOUT, JobService
from vanillawell.platform.documents import (
    JOB_ID,
    UnreadableDocumentError,
    key_digest,
    read_job_body,
)
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict
from vanillawell.state.work import JobState
from vanillawell.transport.asgi import (
    BodyTooLargeError,
    CallerGoneError,
    read_body,
    send_bytes,
    send_json,
)

if TYPE_CHECKING:
    from vanillawell.scheduler_telemetry import SchedulerTelemetry
    from vanillawell.state.job_access import Access
    from vanillawell.transport.asgi import Receive, Scope, Send

log = logging.getLogger(__name__)

MAX_CALL_TIMEOUT = 600.0
"""Seconds of the longest wait of a caller that is heeded."""


class CallerApp:
    """ASGI application that answers callers' requests about jobs."""

    def __init__(self, job_service: JobService, telemetry: SchedulerTelemetry) -> None:
        self._job_service = job_service
        self._telemetry = telemetry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        started_at = clock.read()
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        path = scope["path"]
        key = headers.get(b"x-key", b"").decode("latin-1").strip()
        access = self._job_service.admit(host, path, key_digest(key) if key else None, started_at)
        try:
            if isinstance(access, Refusal):
                answer: Refusal | dict[str, object] = access
            else:
                answer = await self._answer(scope, receive, access, path, _caller_timeout(headers))
        except CallerGoneError:
            return
        await self._send(send, scope["method"], path, answer, started_at)

    async def _answer(
        self, scope: Scope, receive: Receive, access: Access, path: str, time_left: float
    ) -> Refusal | dict[str, object]:
        name = path[len(access.queue.prefix) :]
        method = scope["method"]
        if not name:
            return await self._count_pending(method, access)
        if not JOB_ID.fullmatch(name):
            return _refusal(Reason.NO_SUCH_QUEUE)
        if method == "POST":
            return await self._submit(receive, access, name, time_left)
        if method == "GET":
            state = await self._job_service.show(name, access)
            return {"state": state.value} if isinstance(state, JobState) else state
        if method == "DELETE":
            return await self._job_service.cancel(name, access, time_left) or {}
        return _refusal(Reason.MALFORMED)

    async def _count_pending(self, method: str, access: Access) -> Refusal | dict[str, object]:
        if method != "GET":
            return _refusal(Reason.MALFORMED)
        count = await self._job_service.pending(access.queue)
        return count if isinstance(count, Refusal) else {"pending": count}

    async def _submit(
        self, receive: Receive, access: Access, job_id: str, time_left: float
    ) -> Refusal | dict[str, object]:
        try:
            body = await read_body(receive, self._job_service.body_bound())
            job = read_job_body(body, job_id, access.queue.name, access.organisation, time.time())
        except BodyTooLargeError:
            return _refusal(Reason.TOO_LARGE)
        except UnreadableDocumentError as error:
            return Refusal(Reason.MALFORMED, Verdict.NOT_RUN, str(error))
        return await self._job_service.submit(job, access, time_left) or {}

    async def _send(
        self,
        send: Send,
        method: str,
        path: str,
        answer: Refusal | dict[str, object],
        started_at: float,
    ) -> None:
        status = answer.reason.status if isinstance(answer, Refusal) else 200
        self._telemetry.calls.inc({"operation": method, "status": str(status)})
        self._telemetry.latency.observe({"operation": method}, clock.read() - started_at)
        if isinstance(answer, Refusal):
            log.info(
                "call refused",
                extra={
                    "job": path.rpartition("/")[2],
                    "operation": method,
                    "reason": answer.reason.slug,
                    "retry_after": answer.retry_after,
                    **self._job_service.configuration_fields(started_at),
                },
            )
            headers = answer.headers()
            if not self._job_service.is_ready(clock.read()):
                # The load balancer sends the caller's next connection to another entry.
                headers.append((b"connection", b"close"))
            await send_bytes(send, status, answer.body(), headers)
        else:
            await send_json(send, answer)


class ReadyApp:
    """ASGI application for the load balancer's readiness checks."""

    def __init__(self, job_service: JobService) -> None:
        self._job_service = job_service
        self.stopping = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer 200 if callers should be sent here, otherwise 503."""
        ready = not self.stopping and self._job_service.is_ready(clock.read())
        await send_bytes(send, 200 if ready else 503, orjson.dumps({"ready": ready}))


def _caller_timeout(headers: dict[bytes, bytes]) -> float:
    """Return the seconds for which the caller waits, from its `X-Deadline-Ms` header."""
    try:
        seconds = float(headers[b"x-deadline-ms"]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_CALL_TIMEOUT
    return min(seconds, MAX_CALL_TIMEOUT) if seconds >= 0 else DEFAULT_CALL_TIMEOUT


def _refusal(reason: Reason) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN)
