"""Tell when a stand-in's event loop stood still.

A stand-in that gets no processor time, or waits for a disk, looks to others
like one that is silent. Its log then says so, and a test that fails shows it.
"""

from __future__ import annotations

import asyncio
import time

__all__ = ["watch_loop"]

LOOK = 0.1
# Seconds late; the shortest silence that VMs judge by is 0.5 s.
LATE = 0.3


async def watch_loop() -> None:
    """Print a line whenever this loop was late; run it as a task."""
    while True:
        due = time.monotonic() + LOOK
        await asyncio.sleep(LOOK)
        late = time.monotonic() - due
        if late > LATE:
            print(f"loop_late seconds={late:.2f}", flush=True)
