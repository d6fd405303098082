"""Measure file size, unpacked size, start time and memory of the program.

    tools/build
    python bench/binary.py dist/bamboospring --out bench/results/binary.json

Starts a serving process, whose platform is not reachable, to read its memory.
"""

from __future__ import annotations

import argparse
import json
import os
from pathlib import Path
import shutil
import signal
import statistics
import subprocess
import tempfile
import time

WARM_START_COUNT = 7
SETTLE_SECONDS = 3.0
SETTINGS = {
    "vm": "vm-1",
    "availability_zone": "zone-a",
    "callers": {"listen": "127.0.0.1:0"},
    "peers": {"listen": "127.0.0.1:0"},
    "operators": {"listen": "127.0.0.1:0", "token": "operators-token-1"},
    "platform": {"address": "127.0.0.1:1"},
    "token_keys": [{"id": "k1", "secret": "0123456789abcdef"}],
}


def main() -> None:
    """Measure the built program and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", type=Path)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    program = args.program.resolve()
    directory = Path(tempfile.mkdtemp())
    env = {**os.environ, "SHIV_ROOT": str(directory)}
    try:
        cold_start_seconds = _measure_start_seconds(program, env)
        warm_start_seconds = [
            _measure_start_seconds(program, env)
            for _ in range(WARM_START_COUNT)
        ]
        result = {
            "file_bytes": program.stat().st_size,
            "unpacked_bytes": _directory_bytes(directory),
            "first_start_s": round(cold_start_seconds, 3),
            "later_start_s": round(statistics.median(warm_start_seconds), 3),
            "later_start_s_range": [
                round(min(warm_start_seconds), 3),
                round(max(warm_start_seconds), 3),
            ],
            **_measure_memory(program, env, directory),
        }
    finally:
        shutil.rmtree(directory)
    text = json.dumps(result, indent=2)
    print(text)
    if args.out is not None:
        args.out.write_text(text + "\n")


def _measure_start_seconds(program: Path, env: dict[str, str]) -> float:
    started_at = time.perf_counter()
    subprocess.run([program, "version"], env=env, check=True)
    return time.perf_counter() - started_at


def _directory_bytes(directory: Path) -> int:
    return sum(
        path.stat().st_size for path in directory.rglob("*") if path.is_file()
    )


def _measure_memory(
    program: Path, env: dict[str, str], directory: Path
) -> dict[str, int]:
    settings = directory / "vm.json"
    settings.write_text(json.dumps(SETTINGS))
    process = subprocess.Popen(
        [program, "serve", "--settings", settings],
        env=env,
        stderr=subprocess.DEVNULL,
    )
    try:
        time.sleep(SETTLE_SECONDS)
        text = Path(f"/proc/{process.pid}/status").read_text()
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    fields = dict(
        line.split(":", 1) for line in text.splitlines() if ":" in line
    )
    return {
        "resident_kb": int(fields["VmRSS"].split()[0]),
        "anonymous_kb": int(fields["RssAnon"].split()[0]),
        "threads": int(fields["Threads"]),
    }


if __name__ == "__main__":
    main()
