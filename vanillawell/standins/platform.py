"""Emulate the platform: the store's JSON gateway, instances and workers, with injected faults."""

from __future__ import annotations

from typing import Annotated, Any

import anyio
import orjson
import typer
from anyio.streams.memory import MemoryObjectReceiveStream

from vanillawell.standins.machines import Machines
from vanillawell.standins.store import (
    LOST_ANSWER_HOLD,
    WATCH_BACKLOG,
    AnswerLostError,
    MemoryStore,
    StoreDownError,
    decode_key,
)
from vanillawell.standins.workers import Workers
from vanillawell.transport.asgi import (
    Receive,
    Scope,
    Send,
    bind,
    read_body,
    send_bytes,
    send_json,
    server,
)

MAX_VALUE_BYTES = 2**20
"""Bytes; the platform's store holds values up to a megabyte."""


class PlatformApp:
    """Serve the store's gateway, the platform's interface and the control calls of tests."""

    def __init__(self) -> None:
        self._store = MemoryStore()
        self._machines = Machines()
        self._workers = Workers()
        self._store.on_put = self._machines.record_assignment
        self._users: dict[str, str] = {}
        self._tokens: set[str] = set()

    @property
    def store(self) -> MemoryStore:
        """Return the store behind the gateway."""
        return self._store

    @property
    def machines(self) -> Machines:
        """Return the emulated instances."""
        return self._machines

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        body = await read_body(receive, 4 * MAX_VALUE_BYTES)
        if path.startswith("/control/"):
            await self._control(path, body, send)
        elif path.startswith("/platform/"):
            await self._platform(path, orjson.loads(body or b"{}"), send)
        elif path != "/v3/auth/authenticate" and not self._is_authenticated(scope):
            await send_json(send, {"error": "etcdserver: invalid auth token", "code": 16}, 401)
        elif path == "/v3/watch":
            await self._watch(orjson.loads(body), receive, send)
        else:
            await self._call(path, body, receive, send)

    async def _call(self, path: str, body: bytes, receive: Receive, send: Send) -> None:
        if path == "/v3/auth/authenticate":
            await self._authenticate(orjson.loads(body), send)
            return
        try:
            answer = await self._store.call(path, orjson.loads(body), anyio.current_time())
        except StoreDownError:
            await send_json(send, {"error": "unavailable", "code": 14}, 503)
        except AnswerLostError:
            await self._wait_for_disconnect(receive)
        except KeyError as error:
            await send_json(send, {"error": str(error), "code": 5}, 404)
        else:
            await send_json(send, answer)

    async def _authenticate(self, request: dict[str, str], send: Send) -> None:
        """Issue a token for a user's password, as etcd's gateway does."""
        if not self._users or self._users.get(request["name"]) != request["password"]:
            error = "etcdserver: authentication failed, invalid user ID or password"
            await send_json(send, {"error": error, "code": 3}, 400)
            return
        token = f"{request['name']}.{len(self._tokens)}"
        self._tokens.add(token)
        await send_json(send, {"header": {}, "token": token})

    def _is_authenticated(self, scope: Scope) -> bool:
        token = next((v for name, v in scope["headers"] if name == b"authorization"), b"")
        return not self._users or token.decode() in self._tokens

    async def _wait_for_disconnect(self, receive: Receive) -> None:
        with anyio.move_on_after(LOST_ANSWER_HOLD):
            while (await receive())["type"] != "http.disconnect":
                continue

    async def _watch(self, request: dict[str, object], receive: Receive, send: Send) -> None:
        sender, receiver = anyio.create_memory_object_stream[bytes](WATCH_BACKLOG)
        try:
            watch_id = self._store.open_watch(request, sender)
        except StoreDownError:
            await send_json(send, {"error": "unavailable", "code": 14}, 503)
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_events, receiver, send)
                await self._wait_for_disconnect(receive)
                tasks.cancel_scope.cancel()
        finally:
            self._store.close_watch(watch_id)

    async def _send_events(self, receiver: MemoryObjectReceiveStream[bytes], send: Send) -> None:
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        async for frame in receiver:
            await send({"type": "http.response.body", "body": frame, "more_body": True})

    async def _platform(self, path: str, request: dict[str, Any], send: Send) -> None:
        now = anyio.current_time()
        if path.startswith(("/platform/workers", "/platform/tasks")):
            await send_json(send, self._workers.call(path, request, now))
        elif path == "/platform/instances":
            await send_json(send, self._machines.list_instances(now))
        elif path.startswith("/platform/instances/"):
            await send_json(send, self._machines.instance_state(path.rpartition("/")[2]))
        else:
            await send_json(send, self._machines.reboot(request["id"], request["instance"], now))

    async def _control(self, path: str, body: bytes, send: Send) -> None:
        request = orjson.loads(body or b"{}")
        match path:
            case "/control/faults":
                for name, value in request.items():
                    setattr(self._store.faults, name, value)
                await send_json(send, {"ok": True})
            case "/control/machines":
                self._machines.set_up(request)
                await send_json(send, {"ok": True})
            case "/control/fail":
                self._machines.fail(request["instances"], request["seconds"], anyio.current_time())
                await send_json(send, {"ok": True})
            case "/control/workers":
                self._workers.set_up(request)
                await send_json(send, {"ok": True})
            case "/control/finished":
                finished, stops = self._workers.finished, self._workers.stops
                await send_json(send, {"finished": finished, "stops": stops})
            case "/control/gone":
                self._machines.remove_permanently(request["instances"])
                await send_json(send, {"ok": True})
            case "/control/users":
                self._users = request
                self._tokens.clear()
                await send_json(send, {"ok": True})
            case "/control/margins":
                await send_json(send, self._machines.report())
            case "/control/counts":
                await send_json(send, self._counts())
            case "/control/keys":
                keys = [decode_key(key) for key in self._store.all_keys()]
                await send_json(send, {"keys": keys})
            case _:
                await send_bytes(send, 404, b"")

    def _counts(self) -> dict[str, object]:
        return {"calls": dict(self._store.counts), "watches": self._store.waiting_watches}


async def serve(host: str, port: int) -> None:
    """Serve until the process is terminated."""
    app = PlatformApp()
    listener = bind(host, port, "port")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(app.store.sweep_leases)
        tasks.start_soon(app.machines.run)
        running = server(app, keepalive=60)
        await running.serve(sockets=[listener])
        tasks.cancel_scope.cancel()


def main(
    host: Annotated[str, typer.Option()] = "127.0.0.1", port: Annotated[int, typer.Option()] = 2379
) -> None:
    """Run the platform emulator."""
    anyio.run(serve, host, port, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
