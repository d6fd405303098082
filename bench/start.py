"""Measure the processor time to load a VM that serves sessions.

The result is a ratio to the processor time of an interpreter that does
nothing. Both are run in turn several times and the minimum of each is used, so
that a slower or a busy machine gives about the same ratio.

    python bench/start.py [--repeat 15] [--site] [--plugins]
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import subprocess
import sys

PROGRAM = "import bamboospring.platform.__main__"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeat", type=int, default=15)
    parser.add_argument("--site", action="store_true")
    parser.add_argument("--plugins", action="store_true")
    args = parser.parse_args()
    flags = [] if args.site else ["-S"]
    env = dict(os.environ, PYTHONPATH=os.pathsep.join([ROOT, *sys.path[1:]]))
    if not args.plugins:
        env["PYDANTIC_DISABLE_PLUGINS"] = "__all__"
    empty, loaded = float("inf"), float("inf")
    for _ in range(args.repeat):
        empty = min(empty, _child_processor_seconds(["-S", "-c", "pass"], env))
        loaded = min(
            loaded, _child_processor_seconds([*flags, "-c", PROGRAM], env)
        )
    print(
        json.dumps(
            {
                "empty_ms": round(empty * 1000, 1),
                "loaded_ms": round(loaded * 1000, 1),
                "ratio": round(loaded / empty, 1),
            }
        )
    )


def _child_processor_seconds(args: list[str], env: dict[str, str]) -> float:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, *args], check=True, env=env)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


if __name__ == "__main__":
    main()
