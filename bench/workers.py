"""Measure the throughput and the control cost of entry-only processes.

    python bench/workers.py --out bench/results/workers.json
    python bench/workers.py --control-seconds 60 --rounds 0 --out ...

Throughput: callers read without pause through one VM that holds no group, with
its main process alone and with one and two entry-only processes besides. The
three setups take turns in each round, so that load on the machine affects them
alike. Only the ratios within a round are meaningful. The processor time of the
VM's processes is given as well, because holders, targets and callers share the
machine.

Control: the fakes of bench/control.py form a fleet of the full size. The
entry-only process besides the measured main process has no callers.
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
from bench.support import GROUP  # noqa: E402
from bench.support import make_topology  # noqa: E402
from bench.support import processor_seconds  # noqa: E402
from bench.support import READ  # noqa: E402

MAX_ENTRY_PROCESSES = 2
LOAD_PROCESSES = 4
CALLERS_PER_PROCESS = 24
SETTLE_SECONDS = 1.0
GROUPS = 530
VMS = 480
SETTINGS = {
    "callers": {"reuse_port": True},
    "timing": {"drain_notice_ms": 0, "drain_idle_ms": 0},
}


def main() -> None:
    """Run the selected measurements and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--control-seconds", type=float, default=0.0)
    parser.add_argument("--out", type=Path)
    parser.add_argument(
        "--load",
        help="entry to load; only for the processes that this program starts",
    )
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
    """Return statements per second by number of entry-only processes."""
    with Fleet(
        topology=make_topology(slots=60, connections=120),
        vms=4,
        settings=SETTINGS,
    ) as fleet:
        fleet.wait_serving()
        vm = fleet.not_holders(GROUP)[0]
        points = [
            [
                measure_point(fleet, vm, count, seconds)
                for count in range(MAX_ENTRY_PROCESSES + 1)
            ]
            for _ in range(rounds)
        ]
    return {
        "rounds": points,
        "ratios": [
            summarize_ratios([point[count] for point in points], points)
            for count in range(MAX_ENTRY_PROCESSES + 1)
        ],
    }


def summarize_ratios(
    points: list[dict[str, float]], rounds: list[list[dict[str, float]]]
) -> dict[str, float]:
    """Return median and range of the throughput relative to one process."""
    ratios = [
        point["per_s"] / each[0]["per_s"]
        for point, each in zip(points, rounds, strict=True)
    ]
    return {
        "entry_only": points[0]["entry_only"],
        "median": round(statistics.median(ratios), 3),
        "least": round(min(ratios), 3),
        "most": round(max(ratios), 3),
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
    """Load one VM that has `count` entry-only processes."""
    names = [f"{vm}-entry-{number + 1}" for number in range(count)]
    for number in range(count):
        fleet.add_entry_process(vm, number + 1)
    time.sleep(SETTLE_SECONDS)
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
    """Load a VM from several processes and return the number of reads."""
    argv = [sys.executable, __file__, "--load", entry]
    argv += ["--seconds", str(seconds)]
    children = [
        subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)
        for _ in range(LOAD_PROCESSES)
    ]
    return sum(int(child.communicate()[0]) for child in children)


def run_callers(entry: str, seconds: float) -> int:
    """Read without pause from several threads; return how many succeed."""
    done = [0] * CALLERS_PER_PROCESS

    def work(number: int) -> None:
        caller = Caller(entries=[entry])
        caller.open()
        # A connection stays with the process that accepted it. The kernel may
        # distribute the first connections unevenly, so each caller reconnects
        # after every 50 reads to spread over the processes.
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            done[number] += caller.read(GROUP, READ).done
            if done[number] % 50 == 0:
                caller.close_connections_except([])

    threads = [
        threading.Thread(target=work, args=(number,), daemon=True)
        for number in range(CALLERS_PER_PROCESS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(done)


# Control.


class ControlRun(control.Run):
    """A run of bench/control.py with an additional entry-only process."""

    def __init__(self, seconds: float) -> None:
        case = control.Case(
            groups=GROUPS,
            vms=VMS,
            watcher=False,
            steward=False,
            wanted_groups=0,
        )
        super().__init__(case, seconds)
        self._entry_result: dict[str, Any] = {}

    async def run_both(self) -> dict[str, Any]:
        """Return the cost of the main process and the entry-only process."""
        main_result = await self.run()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return {
            "main": dataclasses.asdict(main_result),
            "entry_only": self._entry_result,
        }

    async def _sample(
        self,
        pid: int,
        platform: str,
        meter: control.TrafficMeter,
        fleet: control.FakeFleet,
        measured_vm: Vm,
    ) -> control.Result:
        directory = Path(control.tempfile.mkdtemp(prefix="bs-workers-"))
        operators = control.free_address()
        child = start_entry_only(directory, measured_vm, operators)
        try:
            await asyncio.sleep(control.SETTLE_SECONDS)
            process = psutil.Process(child.pid)
            cpu = sum(process.cpu_times()[:2])
            count = await asyncio.to_thread(peer_bytes, operators)
            started_at = time.monotonic()
            result = await super()._sample(
                pid, platform, meter, fleet, measured_vm
            )
            elapsed = time.monotonic() - started_at
            cpu = sum(process.cpu_times()[:2]) - cpu
            count = await asyncio.to_thread(peer_bytes, operators) - count
            memory = process.memory_full_info()
            status = await asyncio.to_thread(read_status, operators)
            self._entry_result = {
                "seconds": elapsed,
                "cpu_percent": 100 * cpu / elapsed,
                "resident_mb": memory.rss / 2**20,
                "unique_mb": memory.uss / 2**20,
                "bytes": count / elapsed,
                "ready": status["ready"],
                "vms_seen": status["vms_seen"],
            }
            return result
        finally:
            child.kill()
            child.wait()
            control.shutil.rmtree(directory, ignore_errors=True)


def peer_bytes(operators: str) -> float:
    """Return the bytes exchanged with peers in both directions.

    An entry-only process has no other connections for control.
    """
    host, port = operators.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {"Authorization": f"Bearer {control.OPERATOR_TOKEN}"}
    conn.request("GET", "/metrics", headers=headers)
    text = conn.getresponse().read().decode()
    conn.close()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith("bamboospring_peer_io")
    )


def read_status(operators: str) -> dict[str, Any]:
    """Return the status report of a process."""
    headers = {"Authorization": f"Bearer {control.OPERATOR_TOKEN}"}
    status: dict[str, Any] = call_json(
        operators, "GET", "/status.json", headers=headers
    )
    return status


def start_entry_only(
    directory: Path, measured_vm: Vm, operators: str
) -> subprocess.Popen[bytes]:
    """Start an entry-only process of the measured VM."""
    settings = {
        "vm": f"{measured_vm.name}-entry-1",
        "availability_zone": measured_vm.availability_zone,
        "region": measured_vm.region,
        "entry": {
            "only": True,
            "of": measured_vm.name,
            "main": measured_vm.address,
        },
        "callers": {"listen": control.free_address()},
        "peers": {"listen": control.free_address()},
        "operators": {
            "listen": operators,
            "token": control.OPERATOR_TOKEN,
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
