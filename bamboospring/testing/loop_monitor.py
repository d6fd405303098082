"""Reports delays of a stand-in's event loop.

A stand-in that gets no CPU time or waits for a disk appears unresponsive to
other processes. Its log then contains a line about the delay, which is shown
when a test fails.
"""

from __future__ import annotations

import asyncio
import time

from bamboospring.testing.timestamps import timestamp

__all__ = ["report_loop_delays"]

CHECK_INTERVAL = 0.1
# Seconds. VMs regard a process as unresponsive after 0.5 s at the earliest.
MAX_DELAY = 0.3


async def report_loop_delays() -> None:
    """Print a line whenever this event loop was delayed; run as a task.

    The time in the line is that of the end of the delay.
    """
    while True:
        due = time.monotonic() + CHECK_INTERVAL
        await asyncio.sleep(CHECK_INTERVAL)
        delay = time.monotonic() - due
        if delay > MAX_DELAY:
            print(
                f"loop_late time={timestamp()} seconds={delay:.2f}",
                flush=True,
            )
