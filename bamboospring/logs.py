"""Log one line of key=value pairs for each event, through eliot.

    log_event("promoted", group="g1", term=4, reason="primary_silent")

writes

    time=2026-01-31T09:30:00.123Z level=info event=promoted group=g1 term=4 \
reason=primary_silent

to standard error. Fields keep the order of the arguments. The field `trace` is
the correlation id of a statement; it is the same at the entry and at the
holder.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from datetime import timezone
from enum import IntEnum
import json
import os
import re
import sys
import time
from typing import Any

import eliot

__all__ = [
    "LineRateLimiter",
    "Level",
    "NonBlockingLineWriter",
    "configure",
    "configure_node",
    "is_enabled",
    "flush",
    "dropped_lines",
    "log_event",
    "should_log",
]


class Level(IntEnum):
    """Severity of an event; lower levels are left out first."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


_is_plain = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+").fullmatch
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
    """Set the lowest level to write and the fields of every line.

    `write` takes one line with its newline; the default writes to standard
    error. Call it again to change the level of a running process.
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


def is_enabled(level: Level) -> bool:
    """Return whether events of this level are written."""
    return level >= _threshold


def configure_node(*, level: str, vm: str) -> None:
    """Log to standard output without blocking, with a bounded buffer."""
    global _output
    if _output is None:
        _output = NonBlockingLineWriter(fd=sys.stdout.fileno())
    configure(level=level, write=_output.write, vm=vm)


def should_log(name: str, level: Level) -> bool:
    """Return whether one more event of a name is within the rate limit.

    Under load there are thousands of events of a name per second. Events
    below the level WARNING have a lower limit. A later `left_out` line
    reports how many lines of the name were not written.
    """
    if level < _threshold:
        return False
    return _rate_limiter.allow(name, level, time.monotonic())


def dropped_lines() -> int:
    """Return how many lines were left out since the start."""
    dropped = _output.dropped if _output is not None else 0
    return _rate_limiter.total + dropped


def flush() -> None:
    """Write as much of the buffer as possible without blocking."""
    if _output is not None:
        _output.flush()


class LineRateLimiter:
    """Limits the lines of each event name per second."""

    # Lines per second of one name. A few lines below WARNING are enough to see
    # the usual case; of warnings and errors, as many lines are written as an
    # operator can be expected to need.
    MAX_INFO_LINES = 5
    MAX_WARNING_LINES = 100

    def __init__(self) -> None:
        self.total = 0
        self._second = 0
        self._counts: dict[tuple[str, bool], int] = {}

    def allow(self, name: str, level: Level, now: float) -> bool:
        if int(now) != self._second:
            self._start_second(int(now))
        bad = level >= Level.WARNING
        key = (name, bad)
        count = self._counts[key] = self._counts.get(key, 0) + 1
        return count <= (
            self.MAX_WARNING_LINES if bad else self.MAX_INFO_LINES
        )

    def _start_second(self, second: int) -> None:
        counts, self._counts = self._counts, {}
        self._second = second
        for (name, bad), count in counts.items():
            excess = count - (
                self.MAX_WARNING_LINES if bad else self.MAX_INFO_LINES
            )
            if excess > 0:
                self.total += excess
                log_event("left_out", of=name, bad=bad, lines=excess)


class NonBlockingLineWriter:
    """Writes lines to a file descriptor without blocking.

    If the reader stops, the pipe fills up, and a blocking write would delay
    every caller. Lines that do not fit are buffered up to a limit; further
    lines are dropped and counted.
    """

    MAX_BUFFERED_BYTES = 256 * 1024
    MAX_WRITE_BYTES = 16 * 1024

    def __init__(self, *, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        self._buffer = bytearray()
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Write or buffer one line with its newline."""
        data = line.encode("utf-8", "replace")
        if len(self._buffer) + len(data) > self.MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                sent = os.write(self._fd, self._buffer[: self.MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe. The process continues,
                # because stopping it would disconnect every caller.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:sent]


_rate_limiter = LineRateLimiter()
_output: NonBlockingLineWriter | None = None


def log_event(
    name: str, /, *, level: Level = Level.INFO, **fields: Any
) -> None:
    """Log an event with its fields.

    An event below the threshold costs one comparison. The logger is used
    directly, because eliot's `log_message` creates a UUID for each message
    outside an action, and `trace` already is the correlation id.
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
        write(_format_line(message))

    return destination


def _format_line(message: dict[str, Any]) -> str:
    parts = [
        f"time={_format_timestamp(message.pop('timestamp', 0.0))}",
        f"level={message.pop('level', 'info')}",
        f"event={message.pop('message_type', 'event')}",
    ]
    parts.extend(
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in ("task_uuid", "task_level")
    )
    return " ".join(parts) + "\n"


def _format_timestamp(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + (
        f"{moment.microsecond // 1000:03d}Z"
    )


def _format_value(value: Any) -> str:
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
    # Quotes a value with a space or a newline. Otherwise a caller's text could
    # forge fields or lines, by accident or on purpose.
    return text if _is_plain(text) else json.dumps(text)


def _write_stderr(line: str) -> None:
    try:
        sys.stderr.write(line)
        sys.stderr.flush()
    except (OSError, ValueError):
        # The reader of standard error has closed it. The process continues,
        # because stopping it would disconnect every caller.
        pass


configure()
