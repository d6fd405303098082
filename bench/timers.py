"""Measure the cost of timers that are cancelled long before they are due.

Each statement starts several timers with its deadline. Nearly all are
cancelled when the answer arrives a few milliseconds later.

    python bench/timers.py
"""

from __future__ import annotations

import json
import os
import resource
import time
from typing import Any

import support

from bamboospring.reactor import Reactor

TIMER_COUNT = 400_000
TIMER_DELAY_SECONDS = 60.0
IN_FLIGHT = 100


def main() -> None:
    reactor = Reactor()
    before = support.memory_kb(os.getpid())["RssAnon"]
    pending: list[Any] = []
    started_at = time.process_time()
    for _ in range(TIMER_COUNT):
        pending.append(reactor.call_later(TIMER_DELAY_SECONDS, lambda: None))
        if len(pending) > IN_FLIGHT:
            pending.pop(0).cancel()
    processor_seconds = time.process_time() - started_at
    after = support.memory_kb(os.getpid())["RssAnon"]
    result = {
        "timers": TIMER_COUNT,
        "us_each": round(processor_seconds / TIMER_COUNT * 1e6, 2),
        "kb_more": after - before,
        "peak_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
