"""Log one line of key=value pairs for each event, through eliot.

    log_event("promoted", group="g1", term=4, reason="primary_silent")

writes

    time=2026-01-31T09:30:00.123Z level=info event=promoted group=g1 term=4 \
reason=primary_silent

to standard error. Fields keep the order in which they were given. The
correlation id of a statement is the field `trace`; it is the same at the
entry and at the holder.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from datetime import timezone
from enum import IntEnum
import json
import re
import sys
import time
from typing import Any

import eliot

__all__ = ["Level", "configure", "enabled", "log_event"]


class Level(IntEnum):
    """How much an event matters; lower ones are left out first."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


_PLAIN = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+").fullmatch
_logger = eliot.Logger()
_threshold = Level.INFO
_context: dict[str, Any] = {}
_destination: Callable[[dict[str, Any]], None] | None = None


def configure(
    *,
    level: str = "info",
    write: Callable[[str], object] | None = None,
    **context: Any,
) -> None:
    """Set the lowest level that is written and the fields on every line.

    `write` takes one line with its newline; by default it is standard
    error's. Call again to change the level of a running process.
    """
    global _destination
    global _threshold
    _threshold = Level[level.upper()]
    _context.clear()
    _context.update(context)
    if _destination is not None:
        eliot.remove_destination(_destination)
    _destination = _line_writer(write or _write_stderr)
    eliot.add_destinations(_destination)


def enabled(level: Level) -> bool:
    """Return whether events of this level are written."""
    return level >= _threshold


def log_event(
    name: str, /, *, level: Level = Level.INFO, **fields: Any
) -> None:
    """Log an event with its fields.

    An event under the threshold costs one comparison. Eliot's own
    `log_message` makes a UUID for each message that is in no action; as the
    correlation id is ours, its logger is used directly.
    """
    if level < _threshold:
        return
    _logger.write(
        {
            "timestamp": time.time(),
            "level": level.name.lower(),
            "message_type": name,
            **_context,
            **fields,
        }
    )


def _line_writer(
    write: Callable[[str], object],
) -> Callable[[dict[str, Any]], None]:
    def destination(message: dict[str, Any]) -> None:
        write(_line(message))

    return destination


def _line(message: dict[str, Any]) -> str:
    parts = [
        f"time={_timestamp(message.pop('timestamp', 0.0))}",
        f"level={message.pop('level', 'info')}",
        f"event={message.pop('message_type', 'event')}",
    ]
    parts.extend(
        f"{key}={_text(value)}"
        for key, value in message.items()
        if key not in ("task_uuid", "task_level")
    )
    return " ".join(parts) + "\n"


def _timestamp(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + (
        f"{moment.microsecond // 1000:03d}Z"
    )


def _text(value: Any) -> str:
    match value:
        case str():
            text = str(value.value if hasattr(value, "value") else value)
        case bool():
            text = "true" if value else "false"
        case None:
            text = "null"
        case float():
            text = f"{value:.6g}"
        case int():
            text = str(int(value))
        case _:
            text = json.dumps(value, default=str, separators=(",", ":"))
    # A value with a space or a newline would break the line into pairs that
    # nobody wrote, also on purpose (a caller's text), so it is quoted.
    return text if _PLAIN(text) else json.dumps(text)


def _write_stderr(line: str) -> None:
    try:
        sys.stderr.write(line)
        sys.stderr.flush()
    except (OSError, ValueError):
        # Whoever reads our standard error is gone. Serving goes on: a proxy
        # that stops because its log pipe broke would cut every caller.
        pass


configure()
