"""Write log records as JSON lines, bounded and without ever blocking the process."""

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
"""Attributes that every record has; all others are the event's own fields."""

MAX_QUEUED_BYTES = 2_000_000
"""Bytes of lines that wait for a slow reader; more are dropped and counted."""

FLUSH_INTERVAL = 0.05
"""Seconds between two writes: lines are written together, since each write has its price."""

LINE_BUDGET = 400
"""Lines of one kind in a second; the busiest kinds reach some 200 under a five-fold peak."""

DROPPED_FIELD = "dropped_before"
"""Field that tells how many lines of this kind were left out since the last one."""


class JsonFormatter(logging.Formatter):
    """Render a record as one JSON object with the event's fields beside the message."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line."""
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
    """Let through a bounded number of lines of each kind in a second, and count the others."""

    def __init__(self, budget: int = LINE_BUDGET) -> None:
        super().__init__()
        self._budget = budget
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        """Lines left out so far."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a record is within the budget of its kind."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = str(record.msg)
        self._counts[kind] += 1
        if self._counts[kind] > self._budget:
            self._dropped[kind] += 1
            self.dropped += 1
            return False
        missing = self._dropped.pop(kind, 0)
        if missing:
            setattr(record, DROPPED_FIELD, missing)
        return True


class NonBlockingHandler(logging.Handler):
    """Collect lines and write them to a descriptor as far as it takes them.

    Whoever reads the lines may stop reading. A blocking write would then stop every request; so
    lines wait in a bounded queue and the oldest are dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        """Lines dropped so far since nobody read them."""
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
        """Write what the reader takes now."""
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
        """Take as many whole lines as a pipe takes in one piece, or one longer line."""
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= select.PIPE_BUF:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        self._size -= size
        return b"".join(chunk)


_handler: NonBlockingHandler | None = None


def lines_dropped() -> int:
    """Return the lines dropped so far, for want of a reader or beyond their budget."""
    if _handler is None:
        return 0
    return _handler.dropped + sum(
        item.dropped for item in _handler.filters if isinstance(item, BudgetFilter)
    )


async def flush_periodically() -> None:
    """Write queued lines until cancelled."""
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
    """Send all records of `level` and above to standard output; see `flush_periodically`."""
    global _handler
    _handler = NonBlockingHandler(sys.stdout.fileno())
    _handler.setFormatter(JsonFormatter(instance))
    _handler.addFilter(BudgetFilter())
    _install(_handler, level)


def _install(handler: logging.Handler, level: str) -> None:
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
