"""Measure what control costs one `serve` process, without any statement.

    python -m bench.control --seconds 60 --out bench/results/control.json

One real process is measured. The platform is the stand-in behind a relay that
counts bytes; all other VMs and all targets are fakes in this process, which
answer as real ones would: heartbeats of the VMs that have the measured one
as a neighbour, questions for group records if it is one of the six watchers,
long polls of the targets that it holds, and two edits a minute (2,100 a day
are 1.5 a minute).
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
import json
import os
import pathlib
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any

import psutil

from bamboospring.blackboard import Vm
from bamboospring.group_sync import digest_names
from bamboospring.group_sync import digest_versions
from bamboospring.group_sync import needs_group
from bamboospring.group_sync import QUESTIONS_PER_SECOND
from bamboospring.group_sync import REPAIR_INTERVAL
from bamboospring.peers import PROTOCOL
from bamboospring.peers import schema
from bamboospring.rendezvous import choose_neighbours
from bamboospring.rendezvous import choose_watchers
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.rendezvous import SHARDS
from bamboospring.testing.http_server import Connection
from bamboospring.testing.http_server import listening_address
from bamboospring.testing.http_server import Reply
from bamboospring.testing.http_server import Request
from bamboospring.testing.http_server import serve_http

ZONES = 4
REGIONS = 2
HEARTBEAT_SECONDS = 2.0
SETTLE_SECONDS = 10.0
EDIT_SECONDS = 30.0
LENGTH = struct.Struct("<I")
TOKEN = "operator-secret-for-the-bench"


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """Sizes of one run; `watcher` measures one of the six watchers."""

    groups: int
    vms: int
    watcher: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What one run gave. Rates are per second of the measured time."""

    groups: int
    vms: int
    watcher: bool
    held_groups: int
    seconds: float
    cpu_percent: float
    resident_mb: float
    unique_mb: float
    peer_bytes: float
    peer_bytes_by_kind: dict[str, float]
    platform_bytes: float
    target_bytes: float
    target_polls: float
    platform_calls: dict[str, float]


class Meter:
    """Bytes by what they were for."""

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.polls = 0


class Relay:
    """Forward connections to the platform and count their bytes."""

    def __init__(self, upstream: str, meter: Meter) -> None:
        self._host, _, port = upstream.rpartition(":")
        self._port = int(port)
        self._meter = meter

    async def accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        there = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._pump(reader, there[1]), self._pump(there[0], writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                self._meter.bytes["platform"] += len(data)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


class FakeTargets:
    """All targets of a role: they answer probes and change nothing."""

    def __init__(self, meter: Meter, role: str) -> None:
        self._meter = meter
        self._role = role

    async def handle(self, conn: Connection, request: Request) -> Reply:
        """Answer one request."""
        name = request.headers.get("host", "")
        body = {
            "target": name,
            "term": 1,
            "role": self._role,
            "received": 100,
            "applied": 100,
            "last_term": 1,
            "primary": "",
            "start": 1,
            "leaving": False,
        }
        self._meter.polls += 1
        # Heads of request and answer, near enough: 120 and 110 bytes.
        self._meter.bytes["target"] += 230 + len(json.dumps(body))
        if request.path[0] == "positions":
            await asyncio.sleep(int(request.query["wait_ms"]) / 1000)
        return Reply(body=body)


class FakeFleet:
    """All other VMs, each at a loopback address of its own."""

    def __init__(
        self, case: Case, vms: list[Vm], me: Vm, records: dict[str, Any]
    ) -> None:
        self.meter = Meter()
        self._case = case
        self._vms = vms
        self._me = me
        self._records = records
        self._placement = Placement(vms, records)
        self._versions: tuple[int, list[int]] = (1, [0] * SHARDS)
        self._servers: list[asyncio.Server] = []

    async def listen(self, vm: Vm) -> None:
        """Be one VM at its address."""
        host, _, port = vm.address.rpartition(":")
        accepted = partial(self.accepted, vm.name)
        server = await asyncio.start_server(accepted, host, int(port))
        self._servers.append(server)

    def close(self) -> None:
        """Listen no more."""
        for server in self._servers:
            server.close()

    async def accepted(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer what the measured process asks one VM."""
        hello = schema.Envelope.new_message()
        hello.init("hello").protocol = PROTOCOL
        self._write(writer, hello)
        try:
            while True:
                message = await self._read(reader)
                self._answer(name, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def call(self, address: str) -> None:
        """Be the VMs that have the measured one as a neighbour or watcher."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        callers = [
            vm.name
            for vm in self._vms
            if self._me in choose_neighbours(vm.name, self._vms)
        ]
        jobs = [self._drain(reader)]
        jobs += [self._beat(writer, name) for name in callers]
        if self._case.watcher:
            askers = self._vms[:: len(choose_watchers(self._vms))]
            jobs += [self._ask(writer, vm.name) for vm in askers]
        await asyncio.gather(*jobs)

    async def _beat(self, writer: asyncio.StreamWriter, name: str) -> None:
        while True:
            message = schema.Envelope.new_message()
            message.id = 1
            self._fill(message.init("heartbeat"), name)
            self._write(writer, message)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _ask(self, writer: asyncio.StreamWriter, name: str) -> None:
        needed = {
            group: 1
            for group in self._records
            if name in needs_group(self._placement, group)
        }
        body = {
            "vm": name,
            "digest": digest_versions(needed),
            "names": digest_names(self._records),
            "all": False,
        }
        while True:
            message = schema.Envelope.new_message()
            message.id = 2
            message.init("groupFact").record = json.dumps(body).encode()
            self._write(writer, message)
            await asyncio.sleep(ask_interval(self._case.vms))

    async def _drain(self, reader: asyncio.StreamReader) -> None:
        while True:
            await self._read(reader)

    async def _read(self, reader: asyncio.StreamReader) -> Any:
        (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        data = await reader.readexactly(size)
        with schema.Envelope.from_bytes(data) as message:
            self.meter.bytes[message.which()] += LENGTH.size + size
            return message.as_builder()

    def _write(self, writer: asyncio.StreamWriter, message: Any) -> None:
        data = message.to_bytes()
        self.meter.bytes[message.which()] += LENGTH.size + len(data)
        writer.write(LENGTH.pack(len(data)) + data)

    def _answer(
        self, name: str, message: Any, writer: asyncio.StreamWriter
    ) -> None:
        answer = schema.Envelope.new_message()
        answer.id = message.id
        match message.which():
            case "heartbeat":
                beat = message.heartbeat
                if not beat.draining:
                    self._versions = (beat.vmsRevision, list(beat.shards))
                self._fill(answer.init("heartbeatAck"), name)
            case "groupFact":
                record = self._group_answer(message.groupFact.record)
                answer.init("groupFact").record = record
            case "shareRequest":
                # A VM that holds nothing, and will ask before it does.
                out = answer.init("shareRelease")
                out.group = message.shareRequest.group
                out.vm = name
                out.vmsRevision = 1
                out.agrees = True
                out.informed = True
            case _:
                return
        if message.id:
            self._write(writer, answer)

    def _group_answer(self, record: bytes) -> bytes:
        question = json.loads(record)
        if "digest" in question:
            same: dict[str, Any] = {"complete": True, "same": True}
            return json.dumps(same).encode()
        have = question["have"]
        facts = [
            {"name": name, "version": 1, "value": value}
            for name, value in self._records.items()
            if name not in have
            and self._me.name in needs_group(self._placement, name)
        ]
        body: dict[str, Any] = {"complete": True, "facts": facts, "want": []}
        if question.get("names") != digest_names(self._records):
            body["names"] = list(self._records)
        return json.dumps(body).encode()

    def _fill(self, out: Any, name: str) -> None:
        out.vm = name
        out.vmsRevision, out.shards = self._versions


async def call_json(
    address: str, method: str, path: str, body: Any = None
) -> Any:
    """Make one call to the platform stand-in."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    text = json.dumps(body or {}).encode()
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(text)}\r\n\r\n"
    writer.write(head.encode() + text)
    head_bytes = await reader.readuntil(b"\r\n\r\n")
    (size,) = (
        int(line.split(b":")[1])
        for line in head_bytes.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    data = await reader.readexactly(size)
    writer.close()
    return json.loads(data)


def make_record(addresses: list[str], number: int) -> dict[str, Any]:
    """Return a group of three targets."""
    return {
        "targets": [
            {
                "name": f"group-{number}-m{member}",
                "address": addresses[min(member, 2) - 1],
                "availability_zone": f"zone-{member}",
                "site": "old" if member % 2 else "new",
                "slots": 3,
                "connections": 20,
            }
            for member in (1, 2, 3)
        ],
        "term": 1,
        "primary": f"group-{number}-m1",
        "starts": [{"term": 1, "index": 1}],
    }


def make_row(group: str, staleness: int) -> dict[str, Any]:
    """Return a row with all columns set."""
    return {
        "group": group,
        "read_weights": {"old": 60, "new": 40},
        "write_weights": {"old": 100, "new": 0},
        "max_connections": 12,
        "max_slots": 3,
        "max_staleness_ms": staleness,
        "leaving_targets": [],
    }


class Run:
    """One measured run."""

    def __init__(self, case: Case, seconds: float) -> None:
        self._case = case
        self._seconds = seconds
        self._names = [f"group-{number}" for number in range(case.groups)]
        self._staleness = 0

    async def run(self) -> Result:
        """Bring all up, let it settle, measure, end it."""
        directory = pathlib.Path(tempfile.mkdtemp(prefix="bs-control-"))
        platform = await start_listening(
            "bamboospring.testing.platform", "--listen", "127.0.0.1:0"
        )
        try:
            return await self._measure(platform[1], directory)
        finally:
            platform[0].terminate()
            shutil.rmtree(directory, ignore_errors=True)

    async def _measure(self, platform: str, directory: pathlib.Path) -> Result:
        meter = Meter()
        servers = [
            await serve_http("127.0.0.1:0", FakeTargets(meter, role).handle)
            for role in ("primary", "replica")
        ]
        addresses = [listening_address(server) for server in servers]
        records = {
            name: make_record(addresses, number)
            for number, name in enumerate(self._names)
        }
        relay = await asyncio.start_server(
            Relay(platform, meter).accepted, "127.0.0.1", 0
        )
        vms, me, fleet = await self._make_fleet(records)
        await self._fill_platform(platform, vms, records)
        child = start_serve(directory, me, listening_address(relay))
        tasks: list[asyncio.Task[None]] = []
        try:
            await asyncio.sleep(SETTLE_SECONDS / 2)
            tasks.append(asyncio.create_task(fleet.call(me.address)))
            tasks.append(asyncio.create_task(self._edit(platform)))
            await asyncio.sleep(SETTLE_SECONDS / 2)
            return await self._sample(child.pid, platform, meter, fleet, me)
        finally:
            for task in tasks:
                task.cancel()
            child.kill()
            child.wait()
            fleet.close()
            relay.close()
            for server in servers:
                server.close()

    async def _make_fleet(
        self, records: dict[str, Any]
    ) -> tuple[list[Vm], Vm, FakeFleet]:
        own = free_address()
        ports = [free_port(loopback(n)) for n in range(self._case.vms)]
        vms = [
            Vm(
                name=f"vm-{number}",
                address=f"{loopback(number)}:{ports[number]}",
                availability_zone=f"zone-{number % ZONES}",
                region=f"region-{number // ZONES % REGIONS}",
            )
            for number in range(self._case.vms)
        ]
        place = self._choose_measured(vms)
        me = replace(vms[place], address=own)
        vms[place] = me
        fleet = FakeFleet(self._case, vms, me, records)
        for vm in vms:
            if vm != me:
                await fleet.listen(vm)
        return vms, me, fleet

    def _choose_measured(self, vms: list[Vm]) -> int:
        """Return a VM of the wanted role that holds a typical share."""
        watchers = set(choose_watchers(vms))
        placement = Placement(vms, self._names)
        held: Counter[str] = Counter()
        for name in self._names:
            held.update(vm.name for vm in placement.holders(name))
        typical = 3 * len(self._names) / len(vms)
        fitting = [
            (abs(held[vm.name] - typical), place)
            for place, vm in enumerate(vms)
            if (vm in watchers) == self._case.watcher
        ] or [(0.0, 0)]
        return min(fitting)[1]

    async def _fill_platform(
        self, platform: str, vms: list[Vm], records: dict[str, Any]
    ) -> None:
        listed = [
            {
                "name": vm.name,
                "address": vm.address,
                "availability_zone": vm.availability_zone,
                "region": vm.region,
                "state": "live",
            }
            for vm in vms
        ]
        await call_json(platform, "PUT", "/vms", {"vms": listed})
        for name, value in records.items():
            body = {"if_version": 0, "value": value}
            await call_json(platform, "PUT", f"/objects/group/{name}", body)
        for shard in range(SHARDS):
            await self._put_shard(platform, shard, 0)

    async def _put_shard(
        self, platform: str, shard: int, if_version: int
    ) -> None:
        self._staleness += 1
        rows = {
            name: make_row(name, self._staleness)
            for name in self._names
            if shard_of(name) == shard
        }
        body = {"if_version": if_version, "value": {"rows": rows}}
        await call_json(platform, "PUT", f"/objects/table/{shard}", body)

    async def _edit(self, platform: str) -> None:
        version = 1
        while True:
            await self._put_shard(platform, shard_of("group-0"), version)
            version += 1
            await asyncio.sleep(EDIT_SECONDS)

    async def _sample(
        self,
        pid: int,
        platform: str,
        meter: Meter,
        fleet: FakeFleet,
        me: Vm,
    ) -> Result:
        process = psutil.Process(pid)
        counters = await call_json(platform, "GET", "/counters")
        cpu = sum(process.cpu_times()[:2])
        meter.bytes.clear()
        fleet.meter.bytes.clear()
        meter.polls = 0
        begun = time.monotonic()
        await asyncio.sleep(self._seconds)
        took = time.monotonic() - begun
        cpu = sum(process.cpu_times()[:2]) - cpu
        memory = process.memory_full_info()
        after = await call_json(platform, "GET", "/counters")
        placement = Placement(fleet._vms, self._names)
        held = sum(me in placement.holders(name) for name in self._names)
        return Result(
            **asdict(self._case),
            held_groups=held,
            seconds=took,
            cpu_percent=100 * cpu / took,
            resident_mb=memory.rss / 2**20,
            unique_mb=memory.uss / 2**20,
            peer_bytes=fleet.meter.bytes.total() / took,
            peer_bytes_by_kind={
                kind: count / took for kind, count in fleet.meter.bytes.items()
            },
            platform_bytes=meter.bytes["platform"] / took,
            target_bytes=meter.bytes["target"] / took,
            target_polls=meter.polls / took,
            platform_calls=call_rates(counters, after, took),
        )


def ask_interval(vms: int) -> float:
    """Return how often a VM asks a watcher, as the process does it."""
    return max(REPAIR_INTERVAL, vms / QUESTIONS_PER_SECOND)


def call_rates(
    before: dict[str, Any], after: dict[str, Any], seconds: float
) -> dict[str, float]:
    """Return calls per second by purpose; the bench's own have none."""
    rates: Counter[str] = Counter()
    for kind in ("reads", "writes"):
        for purpose, number in after[kind].items():
            rates[purpose] += number - before[kind].get(purpose, 0)
    del rates["none"]
    return {purpose: count / seconds for purpose, count in rates.items()}


async def start_listening(
    module: str, *args: str
) -> tuple[subprocess.Popen[str], str]:
    """Start a stand-in and return it with its address."""
    child = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdout is not None
    line = await asyncio.to_thread(child.stdout.readline)
    return child, line.split()[1]


def loopback(number: int) -> str:
    """Return a loopback address for each fake VM."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


def free_port(host: str) -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def free_address() -> str:
    """Return an address for the measured process."""
    return f"127.0.0.1:{free_port('127.0.0.1')}"


def start_serve(
    directory: pathlib.Path, me: Vm, platform: str
) -> subprocess.Popen[bytes]:
    """Start the measured process."""
    settings = {
        "vm": me.name,
        "availability_zone": me.availability_zone,
        "region": me.region,
        "callers": {"listen": free_address()},
        "peers": {"listen": me.address},
        "operators": {"listen": free_address(), "token": TOKEN},
        "platform": {"address": platform},
        "token_keys": [{"id": "k1", "secret": "secret-of-the-bench-0001"}],
    }
    path = directory / f"{me.name}.json"
    path.write_text(json.dumps(settings))
    argv = [sys.executable, "-m", "bamboospring", "serve", "--settings"]
    log = open(directory / "serve.log", "wb")
    return subprocess.Popen(
        [*argv, str(path)], stdout=log, stderr=log, env=dict(os.environ)
    )


def main() -> None:
    """Run the cases and write their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--out", default="")
    parser.add_argument(
        "--case",
        action="append",
        help="GROUPS,VMS or GROUPS,VMS,watcher; may be given repeatedly",
    )
    options = parser.parse_args()
    asyncio.run(run_cases(options))


async def run_cases(options: argparse.Namespace) -> None:
    """Run the cases at the same time, each with its own processes."""
    cases = [parse_case(text) for text in options.case]
    runs = [Run(case, options.seconds) for case in cases]
    results = await asyncio.gather(*[run.run() for run in runs])
    # What the relays still have open ends with the loop, and says so.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    text = json.dumps([asdict(result) for result in results], indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


def parse_case(text: str) -> Case:
    """Return the case that an option names."""
    groups, vms, *rest = text.split(",")
    return Case(groups=int(groups), vms=int(vms), watcher=bool(rest))


if __name__ == "__main__":
    main()
