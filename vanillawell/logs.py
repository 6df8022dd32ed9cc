"""Write log records as JSON lines to standard error."""

from __future__ import annotations

import logging
import sys
import time

import orjson

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
"""Attributes that every record has; all others are the event's own fields."""


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


def configure(instance: str, level: str) -> None:
    """Send all records of `level` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(instance))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
