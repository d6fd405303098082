"""What entry-only processes bring on one VM, and what their control costs.

    python bench/workers.py --out bench/results/workers.json
    python bench/workers.py --control-seconds 60 --rounds 0 --out ...

Throughput: callers without pause read through one VM that holds no group, with
its main process alone, with one and with two entry-only processes beside it.
The three take turns in each round, so that a busy machine hits all alike, and
only the ratios of a round are worth something. What the VM's processes used is
given as well, since holders, targets and callers share the machine.

Control: the fakes of bench/control.py are a fleet of the full size; the
entry-only process beside the measured main process gets no caller.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import http.client
import json
import os
from pathlib import Path
import statistics
import subprocess
import sys
import threading
import time
from typing import Any

import psutil

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bamboospring.blackboard import Vm  # noqa: E402
from bamboospring.testing.caller import Caller  # noqa: E402
from bamboospring.testing.fleet import call_json  # noqa: E402
from bamboospring.testing.fleet import Fleet  # noqa: E402
from bench import control  # noqa: E402
from bench.support import estate  # noqa: E402
from bench.support import GROUP  # noqa: E402
from bench.support import processor_seconds  # noqa: E402
from bench.support import READ  # noqa: E402

MOST_ENTRIES = 2
LOADERS = 4
CALLERS = 24
SETTLE = 1.0
GROUPS = 530
VMS = 480
SETTINGS = {
    "callers": {"reuse_port": True},
    "timing": {"drain_notice_ms": 0, "drain_idle_ms": 0},
}


def main() -> None:
    """Measure and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--control-seconds", type=float, default=0.0)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--load", help="entry to load; used by itself")
    args = parser.parse_args()
    if args.load:
        print(run_callers(args.load, args.seconds))
        return
    result: dict[str, Any] = {"load_average_before": os.getloadavg()}
    if args.rounds:
        result["throughput"] = measure_throughput(args.rounds, args.seconds)
    if args.control_seconds:
        run = ControlRun(args.control_seconds)
        result["control"] = asyncio.run(run.run_both())
    result["load_average"] = os.getloadavg()
    text = json.dumps(result, indent=1)
    print(text)
    if args.out is not None:
        args.out.write_text(text + "\n")


# Throughput.


def measure_throughput(rounds: int, seconds: float) -> dict[str, Any]:
    """Return statements a second by number of entry-only processes."""
    with Fleet(
        topology=estate(slots=60, connections=120), vms=4, settings=SETTINGS
    ) as fleet:
        fleet.wait_serving()
        vm = fleet.not_holders(GROUP)[0]
        points = [
            [
                measure_point(fleet, vm, count, seconds)
                for count in range(MOST_ENTRIES + 1)
            ]
            for _ in range(rounds)
        ]
    return {
        "rounds": points,
        "ratios": [
            ratio_of([point[count] for point in points], points)
            for count in range(MOST_ENTRIES + 1)
        ],
    }


def ratio_of(
    points: list[dict[str, float]], rounds: list[list[dict[str, float]]]
) -> dict[str, float]:
    """Return the median and range of what a round gave over one process."""
    found = [
        point["per_s"] / each[0]["per_s"]
        for point, each in zip(points, rounds, strict=True)
    ]
    return {
        "entry_only": points[0]["entry_only"],
        "median": round(statistics.median(found), 3),
        "least": round(min(found), 3),
        "most": round(max(found), 3),
        "median_per_s": round(
            statistics.median(point["per_s"] for point in points), 1
        ),
        "median_us": round(
            statistics.median(point["vm_us"] for point in points), 1
        ),
    }


def measure_point(
    fleet: Fleet, vm: str, count: int, seconds: float
) -> dict[str, float]:
    """Load one VM with so many entry-only processes beside its main one."""
    names = [f"{vm}-entry-{number + 1}" for number in range(count)]
    for number in range(count):
        fleet.add_entry_process(vm, number + 1)
    time.sleep(SETTLE)
    pids = [fleet.process(name).pid for name in (vm, *names)]
    before = [processor_seconds(pid) for pid in pids]
    done = load_vm(fleet.vms[vm].callers_listen, seconds)
    used = [
        processor_seconds(pid) - was
        for pid, was in zip(pids, before, strict=True)
    ]
    for name in names:
        fleet.kill(name)
    return {
        "entry_only": count,
        "per_s": round(done / seconds, 1),
        "vm_us": round(sum(used) / max(1, done) * 1e6, 1),
        "cores": round(sum(used) / seconds, 3),
    }


def load_vm(entry: str, seconds: float) -> int:
    """Return how many reads some processes of callers got done."""
    argv = [sys.executable, __file__, "--load", entry]
    argv += ["--seconds", str(seconds)]
    children = [
        subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)
        for _ in range(LOADERS)
    ]
    return sum(int(child.communicate()[0]) for child in children)


def run_callers(entry: str, seconds: float) -> int:
    """Read without pause from a few threads; return how many were done."""
    done = [0] * CALLERS

    def work(number: int) -> None:
        caller = Caller(entries=[entry])
        caller.open()
        # A connection stays with the process that took it: new ones now and
        # then spread the callers whatever the first draw was.
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            done[number] += caller.read(GROUP, READ).done
            if done[number] % 50 == 0:
                caller.close_connections_except([])

    threads = [
        threading.Thread(target=work, args=(number,), daemon=True)
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(done)


# Control.


class ControlRun(control.Run):
    """A run of bench/control.py with an entry-only process beside."""

    def __init__(self, seconds: float) -> None:
        case = control.Case(
            groups=GROUPS,
            vms=VMS,
            watcher=False,
            steward=False,
            wanted_groups=0,
        )
        super().__init__(case, seconds)
        self._entry: dict[str, Any] = {}

    async def run_both(self) -> dict[str, Any]:
        """Return the cost of the main process and of the entry-only one."""
        main_result = await self.run()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return {
            "main": dataclasses.asdict(main_result),
            "entry_only": self._entry,
        }

    async def _sample(
        self,
        pid: int,
        platform: str,
        meter: control.Meter,
        fleet: control.FakeFleet,
        me: Vm,
    ) -> control.Result:
        directory = Path(control.tempfile.mkdtemp(prefix="bs-workers-"))
        operators = control.free_address()
        child = start_entry_only(directory, me, operators)
        try:
            await asyncio.sleep(control.SETTLE_SECONDS)
            process = psutil.Process(child.pid)
            cpu = sum(process.cpu_times()[:2])
            count = await asyncio.to_thread(peer_bytes, operators)
            begun = time.monotonic()
            result = await super()._sample(pid, platform, meter, fleet, me)
            took = time.monotonic() - begun
            cpu = sum(process.cpu_times()[:2]) - cpu
            count = await asyncio.to_thread(peer_bytes, operators) - count
            memory = process.memory_full_info()
            status = await asyncio.to_thread(read_status, operators)
            self._entry = {
                "seconds": took,
                "cpu_percent": 100 * cpu / took,
                "resident_mb": memory.rss / 2**20,
                "unique_mb": memory.uss / 2**20,
                "bytes": count / took,
                "ready": status["ready"],
                "vms_seen": status["vms_seen"],
            }
            return result
        finally:
            child.kill()
            child.wait()
            control.shutil.rmtree(directory, ignore_errors=True)


def peer_bytes(operators: str) -> float:
    """Return what a process has exchanged with peers, in both directions.

    It talks to nobody else.
    """
    host, port = operators.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {"Authorization": f"Bearer {control.TOKEN}"}
    conn.request("GET", "/metrics", headers=headers)
    text = conn.getresponse().read().decode()
    conn.close()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith("bamboospring_peer_io")
    )


def read_status(operators: str) -> dict[str, Any]:
    """Return a process's status."""
    headers = {"Authorization": f"Bearer {control.TOKEN}"}
    found: dict[str, Any] = call_json(
        operators, "GET", "/status.json", headers=headers
    )
    return found


def start_entry_only(
    directory: Path, me: Vm, operators: str
) -> subprocess.Popen[bytes]:
    """Start the entry-only process."""
    settings = {
        "vm": f"{me.name}-entry-1",
        "availability_zone": me.availability_zone,
        "region": me.region,
        "entry": {"only": True, "of": me.name, "main": me.address},
        "callers": {"listen": control.free_address()},
        "peers": {"listen": control.free_address()},
        "operators": {
            "listen": operators,
            "token": control.TOKEN,
        },
        "platform": {"address": "127.0.0.1:9"},
        "token_keys": [{"id": "k1", "secret": "secret-of-the-bench-0001"}],
    }
    path = directory / "entry.json"
    path.write_text(json.dumps(settings))
    argv = [sys.executable, "-m", "bamboospring", "serve", "--settings"]
    log = open(directory / "serve.log", "wb")
    return subprocess.Popen([*argv, str(path)], stdout=log, stderr=log)


if __name__ == "__main__":
    main()
