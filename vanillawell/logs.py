"""Write log records as JSON lines, in bounded amounts and without blocking the process."""

from __future__ import annotations

import atexit
import collections
import logging
import os
import select
import sys
import time

import anyio
import orjson

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
"""Attributes that every record has; all others are fields of the event."""

MAX_QUEUED_BYTES = 2_000_000
"""Bytes of lines queued for a slow reader; beyond this the oldest are dropped and counted."""

FLUSH_INTERVAL = 0.05
"""Seconds between two writes; lines are written in batches, since each write has a fixed cost."""

LINE_BUDGET = 400
"""Lines with the same message per second; the most frequent messages reach about 200 when load
peaks at five times its usual level."""

DROPPED_FIELD = "dropped_before"
"""Field with the number of lines of this message dropped since the last one that was written."""


class JsonFormatter(logging.Formatter):
    """Render a record as one JSON object, with the fields of the event beside the message."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        fields = {key: value for key, value in vars(record).items() if key not in STANDARD_FIELDS}
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        document = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname,
            "instance": self._instance,
            "logger": record.name,
            "message": record.getMessage(),
            **fields,
        }
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(document, default=str).decode()


class BudgetFilter(logging.Filter):
    """Pass a bounded number of lines per message and second, and count those dropped."""

    def __init__(self, budget: int = LINE_BUDGET) -> None:
        super().__init__()
        self._budget = budget
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        """Lines dropped so far because their message was over budget."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is within the budget of its message."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        message = str(record.msg)
        self._counts[message] += 1
        if self._counts[message] > self._budget:
            self._dropped[message] += 1
            self.dropped += 1
            return False
        dropped_before = self._dropped.pop(message, 0)
        if dropped_before:
            setattr(record, DROPPED_FIELD, dropped_before)
        return True


class NonBlockingHandler(logging.Handler):
    """Queue lines and write them to a descriptor as fast as it accepts them.

    The reader of the lines may stop reading. A blocking write would then stall every request, so
    lines wait in a bounded queue, and the oldest are dropped when it is full.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        """Lines dropped so far because the queue was full or a write failed."""
        os.set_blocking(descriptor, False)
        atexit.register(self.flush)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        line = self.format(record).encode() + b"\n"
        self._lines.append(line)
        self._size += len(line)
        while self._size > MAX_QUEUED_BYTES and len(self._lines) > 1:
            self._size -= len(self._lines.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write queued lines until the descriptor accepts no more."""
        while self._lines:
            data = self._take_chunk()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self.dropped += data.count(b"\n")
                continue
            if written < len(data):
                self._lines.appendleft(data[written:])
                self._size += len(data) - written
                return

    def _take_chunk(self) -> bytes:
        """Dequeue as many whole lines as a pipe accepts in one atomic write, or one longer line."""
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= select.PIPE_BUF:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        self._size -= size
        return b"".join(chunk)


_handler: NonBlockingHandler | None = None


def lines_dropped() -> int:
    """Return the number of lines dropped so far, in the queue or because they were over budget."""
    if _handler is None:
        return 0
    return _handler.dropped + sum(
        item.dropped for item in _handler.filters if isinstance(item, BudgetFilter)
    )


async def flush_periodically() -> None:
    """Write queued lines at a fixed interval until cancelled."""
    while True:
        await anyio.sleep(FLUSH_INTERVAL)
        if _handler is not None:
            _handler.flush()


def configure(instance: str, level: str) -> None:
    """Send all records of `level` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(instance))
    _install(handler, level)


def configure_queued(instance: str, level: str) -> None:
    """Queue records of `level` and above for `flush_periodically` to write to standard output."""
    global _handler
    _handler = NonBlockingHandler(sys.stdout.fileno())
    _handler.setFormatter(JsonFormatter(instance))
    _handler.addFilter(BudgetFilter())
    _install(_handler, level)


def _install(handler: logging.Handler, level: str) -> None:
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
