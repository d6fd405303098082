"""What watching and leading groups costs a VM, by number of groups.

    python bench/control.py --out bench/results/control.json

One `bamboospring serve` process is the only VM, so it holds and leads all
groups. The targets are fakes: two ports stand for all primaries and all
replicas, answer probes, and hold long polls until they are over. No statements
run. Processor time, memory and the bytes to and from the targets are measured
over `--seconds` once the groups are known; the slope is per group that is held
and led at once.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import replace
import json
from pathlib import Path
import subprocess
import sys
import time
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import psutil

from bamboospring.testing.estate import SMALL
from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until

COUNTS = (3, 50, 200, 530)
HEAD_END = b"\r\n\r\n"


class FakeTarget(asyncio.Protocol):
    """Answers for any number of targets of one role."""

    sent = 0
    received = 0

    def __init__(self, role: str, primary: str) -> None:
        self.body = {
            "target": "t",
            "term": 1,
            "role": role,
            "received": 1,
            "applied": 1,
            "last_term": 1,
            "primary": primary,
            "start": 1,
            "leaving": False,
        }
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each request, a long poll when its time is over."""
        FakeTarget.received += len(data)
        self.buffer += data
        while HEAD_END in self.buffer:
            head, self.buffer = self.buffer.split(HEAD_END, 1)
            url = urlsplit(head.split(b" ", 2)[1].decode())
            wait = parse_qs(url.query).get("wait_ms", ["0"])[0]
            loop = asyncio.get_running_loop()
            loop.call_later(int(wait) / 1000, self.answer, url.path)

    def answer(self, path: str) -> None:
        """Send the state, or the byte counts."""
        body: Any = self.body
        if path == "/bytes":
            body = {"bytes": FakeTarget.sent + FakeTarget.received}
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
        answer = head.encode() + data
        FakeTarget.sent += len(answer)
        if self.transport is not None:
            self.transport.write(answer)


async def serve_fakes() -> None:
    """Serve both roles and print their addresses."""
    loop = asyncio.get_running_loop()
    addresses: list[str] = []
    for role in ("primary", "replica"):
        primary = addresses[0] if addresses else ""
        server = await loop.create_server(
            lambda r=role, p=primary: FakeTarget(r, p),  # type: ignore
            "127.0.0.1",
            0,
            backlog=4096,
        )
        port = server.sockets[0].getsockname()[1]
        addresses.append(f"127.0.0.1:{port}")
    print(*addresses, flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Measure each number of groups and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fakes", action="store_true")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--counts", type=int, nargs="*", default=COUNTS)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    if args.fakes:
        asyncio.run(serve_fakes())
        return
    rows = []
    for count in args.counts:
        rows.append(measure(count, args.seconds))
        print(json.dumps(rows[-1]), flush=True)
    result = {"seconds": args.seconds, "rows": rows, "slopes": slopes(rows)}
    print(json.dumps(result["slopes"]))
    if args.out is not None:
        args.out.parent.mkdir(parents=True, exist_ok=True)
        args.out.write_text(json.dumps(result, indent=1) + "\n")


def measure(count: int, seconds: float) -> dict[str, float]:
    """Measure one number of groups."""
    fakes = subprocess.Popen(
        [sys.executable, __file__, "--fakes"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert fakes.stdout is not None
        primary, replica = fakes.stdout.readline().split()
        estate = replace(SMALL, groups=())
        with Fleet(estate=estate, vms=1) as fleet:
            put_groups(fleet, count, primary, replica)
            return measure_vm(fleet, count, seconds, primary)
    finally:
        fakes.kill()
        fakes.wait()


def put_groups(fleet: Fleet, count: int, primary: str, replica: str) -> None:
    """Write the records of the groups."""
    addresses = {"a": primary, "b": replica, "c": replica}
    for number in range(count):
        targets = [
            {
                "name": name,
                "address": address,
                "availability_zone": f"zone-{name}",
                "site": "old",
            }
            for name, address in addresses.items()
        ]
        value = {
            "targets": targets,
            "term": 1,
            "primary": "a",
            "starts": [{"term": 1, "index": 1}],
        }
        fleet.put_object("group", f"group-{number}", value)


def measure_vm(
    fleet: Fleet, count: int, seconds: float, primary: str
) -> dict[str, float]:
    """Measure the only VM once it leads all groups."""
    wait_until(lambda: len(leases(fleet)) == 16, seconds=30, what="all leases")
    time.sleep(8)
    process = psutil.Process(fleet.process("vm-1").pid)
    before = sample(fleet, process, primary)
    time.sleep(seconds)
    after = sample(fleet, process, primary)
    spent = after["at"] - before["at"]
    return {
        "groups": count,
        "processor_percent": round(
            100 * (after["cpu"] - before["cpu"]) / spent, 2
        ),
        "memory_mb": round(process.memory_info().rss / 1e6, 1),
        "target_bytes_per_s": round(
            (after["bytes"] - before["bytes"]) / spent
        ),
        "platform_calls_per_s": round(
            (after["calls"] - before["calls"]) / spent, 1
        ),
        "terms_changed": changed_terms(fleet, count),
    }


def leases(fleet: Fleet) -> list[Any]:
    """Return the leases that are held."""
    path = "/objects/lease"
    found = call_json(fleet._platform_address, "GET", path)["objects"]
    return [item for item in found if item["value"]["vm"]]


def changed_terms(fleet: Fleet, count: int) -> int:
    """Return how many groups were given another term."""
    path = "/objects/group"
    found = call_json(fleet._platform_address, "GET", path)["objects"]
    return sum(item["value"]["term"] != 1 for item in found)


def sample(
    fleet: Fleet, process: psutil.Process, primary: str
) -> dict[str, float]:
    """Return the counters at this instant."""
    times = process.cpu_times()
    counters = fleet.counters("platform")
    calls = sum(counters["reads"].values()) + sum(counters["writes"].values())
    return {
        "at": time.monotonic(),
        "cpu": times.user + times.system,
        "bytes": call_json(primary, "GET", "/bytes")["bytes"],
        "calls": calls,
    }


def slopes(rows: list[dict[str, float]]) -> dict[str, dict[str, float]]:
    """Return a straight line through each figure, by least squares."""
    xs = [row["groups"] for row in rows]
    result = {}
    for name in ("processor_percent", "memory_mb", "target_bytes_per_s"):
        ys = [row[name] for row in rows]
        slope, base, error = fit(xs, ys)
        result[name] = {
            "per_group": round(slope, 5),
            "base": round(base, 3),
            "largest_error": round(error, 3),
        }
    return result


def fit(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Return slope, base and the largest distance from the line."""
    if len(xs) < 2:
        return 0.0, ys[0], 0.0
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    above = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    slope = above / sum((x - mean_x) ** 2 for x in xs)
    base = mean_y - slope * mean_x
    pairs = zip(xs, ys, strict=True)
    error = max(abs(y - base - slope * x) for x, y in pairs)
    return slope, base, error


if __name__ == "__main__":
    main()
