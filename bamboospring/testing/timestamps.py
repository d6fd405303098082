"""Times in the output of tests and stand-ins, in the format of the logs."""

from __future__ import annotations

from datetime import datetime
from datetime import timezone

__all__ = ["timestamp"]


def timestamp() -> str:
    """Return the time of day in UTC, such as `2026-01-31T09:30:00.123Z`."""
    text = datetime.now(timezone.utc).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")
