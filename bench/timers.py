"""Cost of timers that are cancelled long before they are due.

Each statement sets some, with its deadline, and nearly all are cancelled by
the answer a few milliseconds later.

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

COUNT = 400_000
DEADLINE = 60.0
IN_FLIGHT = 100


def main() -> None:
    reactor = Reactor()
    before = support.memory_kb(os.getpid())["RssAnon"]
    waiting: list[Any] = []
    began = time.process_time()
    for _ in range(COUNT):
        waiting.append(reactor.call_later(DEADLINE, lambda: None))
        if len(waiting) > IN_FLIGHT:
            waiting.pop(0).cancel()
    taken = time.process_time() - began
    after = support.memory_kb(os.getpid())["RssAnon"]
    result = {
        "timers": COUNT,
        "us_each": round(taken / COUNT * 1e6, 2),
        "kb_more": after - before,
        "peak_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
