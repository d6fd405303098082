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
import os
import re
import sys
import time
from typing import Any

import eliot

__all__ = [
    "Bounds",
    "Level",
    "LineSink",
    "configure",
    "configure_node",
    "enabled",
    "flush",
    "left_out",
    "log_event",
    "wanted",
]


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


def configure_node(*, level: str, vm: str) -> None:
    """Log to standard output, bounded and without ever waiting for it."""
    global _sink
    if _sink is None:
        _sink = LineSink(fd=sys.stdout.fileno())
    configure(level=level, write=_sink.write, vm=vm)


def wanted(name: str, level: Level) -> bool:
    """Tell whether one more event of a name is within this second's bound.

    Under load there are thousands of a kind. What went well is left out
    first; a later line of the same name says how many were.
    """
    if level < _threshold:
        return False
    return _bounds.allow(name, level, time.monotonic())


def left_out() -> int:
    """Return how many lines were left out since the start."""
    lost = _sink.dropped if _sink is not None else 0
    return _bounds.total + lost


def flush() -> None:
    """Write what is still held back, as far as it is taken."""
    if _sink is not None:
        _sink.flush()


class Bounds:
    """How many lines of each name may be written in a second."""

    # Lines a second of one name: of what went well enough to see the usual
    # case, of what did not as many as a person can be expected to need.
    GOOD = 5
    BAD = 100

    def __init__(self) -> None:
        self.total = 0
        self._second = 0
        self._counts: dict[tuple[str, bool], int] = {}

    def allow(self, name: str, level: Level, now: float) -> bool:
        if int(now) != self._second:
            self._begin_second(int(now))
        bad = level >= Level.WARNING
        key = (name, bad)
        count = self._counts[key] = self._counts.get(key, 0) + 1
        return count <= (self.BAD if bad else self.GOOD)

    def _begin_second(self, second: int) -> None:
        counts, self._counts = self._counts, {}
        self._second = second
        for (name, bad), count in counts.items():
            over = count - (self.BAD if bad else self.GOOD)
            if over > 0:
                self.total += over
                log_event("left_out", of=name, bad=bad, lines=over)


class LineSink:
    """Writes lines to a descriptor and never waits for its reader.

    A reader that has stopped fills the pipe; a process that then waited in a
    write would keep every caller waiting. What does not fit is held up to a
    bound, and then dropped and counted.
    """

    MOST_HELD = 256 * 1024
    WRITE_AT_ONCE = 16 * 1024

    def __init__(self, *, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        self._held = bytearray()
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Take one line with its newline."""
        data = line.encode("utf-8", "replace")
        if len(self._held) + len(data) > self.MOST_HELD:
            self.dropped += 1
            return
        self._held += data
        self.flush()

    def flush(self) -> None:
        """Write as much as is taken now."""
        while self._held:
            try:
                sent = os.write(self._fd, self._held[: self.WRITE_AT_ONCE])
            except BlockingIOError:
                return
            except OSError:
                # Whoever reads is gone. Serving goes on: a proxy that stops
                # because its log pipe broke would cut every caller.
                self.dropped += self._held.count(b"\n")
                self._held.clear()
                return
            del self._held[:sent]


_bounds = Bounds()
_sink: LineSink | None = None


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
