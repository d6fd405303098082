"""Measure the cost of control traffic in one `serve` process.

    python -m bench.control --seconds 60 --case 530,480 --case 530,480,watcher

No statements are sent. One real process is measured. The platform is the
stand-in behind a relay that counts bytes. All other VMs and all targets are
fakes in this process, which reply as real ones do: heartbeats from the VMs
that have the measured VM as a neighbour, questions for group records if it is
one of the six watchers, long polls of the targets that it holds, and two edits
per minute (2,100 per day are 1.5 per minute).
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
import random
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
from bamboospring.fact_versions import FactVersions
from bamboospring.fact_versions import versions_digest
from bamboospring.group_sync import digest_names
from bamboospring.group_sync import digest_versions
from bamboospring.group_sync import QUESTIONS_PER_SECOND
from bamboospring.group_sync import REPAIR_INTERVAL
from bamboospring.group_sync import vms_needing_group
from bamboospring.peers import PROTOCOL
from bamboospring.peers import schema
from bamboospring.rendezvous import BUCKET_COUNT
from bamboospring.rendezvous import choose_neighbours
from bamboospring.rendezvous import choose_platform_watchers
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import SHARD_COUNT
from bamboospring.rendezvous import shard_of
from bamboospring.testing.http_server import Connection
from bamboospring.testing.http_server import listening_address
from bamboospring.testing.http_server import Reply
from bamboospring.testing.http_server import Request
from bamboospring.testing.http_server import serve_http

ZONES = 4
REGIONS = 2
HEAD_END = b"\r\n\r\n"
HEARTBEAT_INTERVAL_SECONDS = 2.0
# Holders ask each other for shares until 10 s after they receive their first
# list of VMs, which would count as control traffic.
SETTLE_SECONDS = 16.0
EDIT_INTERVAL_SECONDS = 30.0
TABLE_REQUEST_DELAY_SECONDS = 0.5
LENGTH_PREFIX = struct.Struct("<I")
OPERATOR_TOKEN = "operator-secret-for-the-bench"


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """Sizes of one run and the choice of the measured VM.

    `watcher` selects one of the six watchers, `steward` a VM that leads a
    bucket. `wanted_groups` is the number of groups that the VM should hold:
    the VM with the nearest number is measured; 0 means the average.
    """

    groups: int
    vms: int
    watcher: bool
    steward: bool
    wanted_groups: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Result of one run. Rates are per second of the measured time."""

    groups: int
    vms: int
    watcher: bool
    steward: bool
    wanted_groups: int
    held_groups: int
    seconds: float
    cpu_percent: float
    resident_mb: float
    unique_mb: float
    peer_bytes: float
    peer_bytes_by_kind: dict[str, float]
    peer_messages_by_kind: dict[str, float]
    platform_bytes: float
    platform_bytes_by_call: dict[str, float]
    target_bytes: float
    target_head_bytes: float
    target_polls: float
    platform_calls: dict[str, float]


class TrafficMeter:
    """Counts of bytes and messages by purpose."""

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.header_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.target_polls = 0

    def clear(self) -> None:
        """Reset all counts."""
        self.bytes.clear()
        self.header_bytes.clear()
        self.messages.clear()
        self.target_polls = 0


class Relay:
    """Forward connections and count their bytes by purpose and path.

    A connection to the platform serves one purpose, so the purpose of its
    first request applies to the whole connection.
    """

    def __init__(self, upstream: str, meter: TrafficMeter, name: str) -> None:
        self._host, _, port = upstream.rpartition(":")
        self._port = int(port)
        self._meter = meter
        self._name = name

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        upstream = await asyncio.open_connection(self._host, self._port)
        name = [self._name]
        await asyncio.gather(
            self._pump(reader, upstream[1], name),
            self._pump(upstream[0], writer, name),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: list[str],
    ) -> None:
        try:
            while data := await reader.read(65536):
                if data.startswith((b"GET", b"PUT")) and name == ["platform"]:
                    name[0] = describe_platform_call(data)
                self._meter.bytes[name[0]] += len(data)
                if data.startswith((b"GET ", b"HTTP/")):
                    end = data.find(HEAD_END) + len(HEAD_END)
                    self._meter.header_bytes[name[0]] += end
                    self._meter.messages[name[0]] += 1
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


def describe_platform_call(head: bytes) -> str:
    """Return "platform", the purpose and the kind of a request."""
    path = head.split(b" ", 2)[1].split(b"?")[0].decode()
    lines = head.split(HEAD_END)[0].decode().split("\r\n")
    purposes = [
        line.partition(": ")[2]
        for line in lines
        if line.startswith("X-Purpose")
    ]
    kind = "/".join(path.split("/")[1:3])
    return " ".join(["platform", *purposes, kind])


class FakeTargets:
    """All targets of one role, which answer probes and never change state."""

    def __init__(self, meter: TrafficMeter, role: str) -> None:
        self.primary = ""
        self._meter = meter
        self._role = role

    async def handle(self, conn: Connection, request: Request) -> Reply:
        """Return the reply to one request."""
        name = request.headers.get("host", "")
        body = {
            "target": name,
            "term": 1,
            "role": self._role,
            "received": 100,
            "applied": 100,
            "last_term": 1,
            "primary": self.primary,
            "start": 1,
            "leaving": False,
            "state": "0123456789abcdef",
        }
        self._meter.target_polls += 1
        if request.path[0] == "positions":
            await asyncio.sleep(int(request.query["wait_ms"]) / 1000)
        if "seen" in request.query:
            return Reply(status=204)
        return Reply(body=body)


class FakeFleet:
    """All VMs but the measured one, each at its own loopback address."""

    def __init__(
        self,
        case: Case,
        vms: list[Vm],
        measured_vm: Vm,
        records: dict[str, Any],
    ) -> None:
        self.meter = TrafficMeter()
        self._case = case
        self._vms = vms
        self._measured_vm = measured_vm
        self._records = records
        self._placement = Placement(vms, records)
        self._versions: tuple[int, list[int]] = (1, [0] * SHARD_COUNT)
        self._servers: list[asyncio.Server] = []
        self._rows: dict[int, tuple[int, bytes]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._random = random.Random(1)

    async def listen(self, vm: Vm, sock: socket.socket) -> None:
        """Listen as one VM on a socket that is bound to its address."""
        handler = partial(self.handle_connection, vm.name)
        server = await asyncio.start_server(handler, sock=sock)
        self._servers.append(server)

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def handle_connection(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Handle a connection from the measured process to one VM."""
        hello = schema.Envelope.new_message()
        hello.init("hello").protocol = PROTOCOL
        self._write(writer, hello)
        try:
            while True:
                message = await self._read(reader)
                self._handle_message(name, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def connect(self, address: str) -> None:
        """Act as the VMs whose neighbour or watcher the measured VM is."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        callers = [
            vm.name
            for vm in self._vms
            if self._measured_vm in choose_neighbours(vm.name, self._vms)
        ]
        self._writer = writer
        coroutines = [self._discard_messages(reader)]
        coroutines += [self._send_heartbeats(writer, name) for name in callers]
        if self._case.watcher:
            asking_vms = self._vms[:: len(choose_platform_watchers(self._vms))]
            coroutines += [
                self._send_group_questions(writer, vm.name)
                for vm in asking_vms
            ]
        await asyncio.gather(*coroutines)

    async def announce_edit(
        self, shard: int, version: int, value: Any
    ) -> None:
        """Announce an edit as one neighbour, then request it as another.

        A VM receives an edited shard about once and sends it about once.
        """
        revision, shards = self._versions
        shards = [*shards]
        shards[shard] = version
        self._versions = revision, shards
        self._rows[shard] = version, json.dumps(value).encode()
        if self._writer is None:
            return
        announcement = schema.Envelope.new_message()
        self._fill_heartbeat(
            announcement.init("heartbeat"),
            self._vms[0].name,
            include_shards=True,
        )
        self._write(self._writer, announcement)
        await asyncio.sleep(TABLE_REQUEST_DELAY_SECONDS)
        question = schema.Envelope.new_message()
        question.id = 3
        question.init("tableWant").shard = shard
        question.tableWant.version = version - 1
        self._write(self._writer, question)

    async def _send_heartbeats(
        self, writer: asyncio.StreamWriter, name: str
    ) -> None:
        # Heartbeats start at random offsets, as those of real VMs do. If all
        # were sent at once, the measured VM would receive none in between and
        # would check whether it is isolated.
        await asyncio.sleep(
            self._random.uniform(0, HEARTBEAT_INTERVAL_SECONDS)
        )
        while True:
            message = schema.Envelope.new_message()
            message.id = 1
            self._fill_heartbeat(
                message.init("heartbeat"), name, include_shards=False
            )
            self._write(writer, message)
            jitter = self._random.uniform(0.75, 1.25)
            await asyncio.sleep(jitter * HEARTBEAT_INTERVAL_SECONDS)

    async def _send_group_questions(
        self, writer: asyncio.StreamWriter, name: str
    ) -> None:
        needed = {
            group: 1
            for group in self._records
            if name in vms_needing_group(self._placement, group)
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
            await asyncio.sleep(question_interval(self._case.vms))

    async def _discard_messages(self, reader: asyncio.StreamReader) -> None:
        while True:
            await self._read(reader)

    async def _read(self, reader: asyncio.StreamReader) -> Any:
        (size,) = LENGTH_PREFIX.unpack(
            await reader.readexactly(LENGTH_PREFIX.size)
        )
        data = await reader.readexactly(size)
        with schema.Envelope.from_bytes(data) as message:
            self.meter.bytes[message.which()] += LENGTH_PREFIX.size + size
            self.meter.messages[message.which()] += 1
            return message.as_builder()

    def _write(self, writer: asyncio.StreamWriter, message: Any) -> None:
        data = message.to_bytes()
        self.meter.bytes[message.which()] += LENGTH_PREFIX.size + len(data)
        self.meter.messages[message.which()] += 1
        writer.write(LENGTH_PREFIX.pack(len(data)) + data)

    def _handle_message(
        self, name: str, message: Any, writer: asyncio.StreamWriter
    ) -> None:
        answer = schema.Envelope.new_message()
        answer.id = message.id
        match message.which():
            case "heartbeat":
                beat = message.heartbeat
                if beat.shards and not beat.draining:
                    self._versions = (beat.vmsRevision, list(beat.shards))
                out = answer.init("heartbeatAck")
                self._fill_heartbeat(
                    out,
                    name,
                    include_shards=beat.digest != self._current_digest(),
                )
            case "groupFact" if message.id == 0:
                return
            case "groupFact":
                record = self._answer_group_question(message.groupFact.record)
                answer.init("groupFact").record = record
            case "tableWant":
                shard = message.tableWant.shard
                delta = answer.init("tableDelta")
                delta.shard = shard
                delta.version, delta.rows = self._rows.get(shard, (0, b""))
            case "shareRequest":
                # Reply as a VM that holds no share and that asks before it
                # takes one.
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

    def _answer_group_question(self, record: bytes) -> bytes:
        question = json.loads(record)
        if "digest" in question:
            same: dict[str, Any] = {"complete": True, "same": True}
            return json.dumps(same).encode()
        have = question["have"]
        facts = [
            {"name": name, "version": 1, "value": value}
            for name, value in self._records.items()
            if name not in have
            and self._measured_vm.name
            in vms_needing_group(self._placement, name)
        ]
        body: dict[str, Any] = {"complete": True, "facts": facts, "want": []}
        if question.get("names") != digest_names(self._records):
            body["names"] = list(self._records)
        return json.dumps(body).encode()

    def _fill_heartbeat(
        self, out: Any, name: str, *, include_shards: bool
    ) -> None:
        out.vm = name
        out.vmsRevision, shards = self._versions
        out.digest = self._current_digest()
        if include_shards:
            out.shards = shards

    def _current_digest(self) -> int:
        revision, shards = self._versions
        return versions_digest(
            FactVersions(vms_revision=revision, shards=tuple(shards))
        )


async def call_platform(
    address: str, method: str, path: str, body: Any = None
) -> Any:
    """Make one call to the platform stand-in and return the decoded body."""
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
    assert b" 200 " in head_bytes.splitlines()[0], (path, head_bytes)
    return json.loads(data)


def make_record(addresses: list[str], number: int) -> dict[str, Any]:
    """Return the record of a group with three targets."""
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
    """Return a table row with all columns set."""
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
    """One measured run of a case."""

    def __init__(self, case: Case, seconds: float) -> None:
        self._case = case
        self._seconds = seconds
        self._names = [f"group-{number}" for number in range(case.groups)]
        self._staleness = 0

    async def run(self) -> Result:
        """Start all processes, let them settle, measure and stop them."""
        directory = pathlib.Path(tempfile.mkdtemp(prefix="bs-control-"))
        # Populating the stand-in needs more writes per second than it allows
        # by default.
        platform = await start_listening(
            "bamboospring.testing.platform",
            "--listen",
            "127.0.0.1:0",
            "--max-writes-per-s",
            "100000",
        )
        try:
            return await self._measure(platform[1], directory)
        finally:
            platform[0].terminate()
            shutil.rmtree(directory, ignore_errors=True)

    async def _measure(self, platform: str, directory: pathlib.Path) -> Result:
        meter = TrafficMeter()
        targets = [FakeTargets(meter, role) for role in ("primary", "replica")]
        servers = [
            await serve_http("127.0.0.1:0", each.handle) for each in targets
        ]
        relays = [
            await start_relay(listening_address(server), meter, "target")
            for server in servers
        ]
        servers += relays
        addresses = [listening_address(server) for server in relays]
        # A steward orders replicas that report no primary to follow one.
        targets[1].primary = addresses[0]
        records = {
            name: make_record(addresses, number)
            for number, name in enumerate(self._names)
        }
        relay = await start_relay(platform, meter, "platform")
        vms, measured_vm, fleet = await self._make_fleet(records)
        await self._populate_platform(platform, vms, records)
        child = start_serve(directory, measured_vm, listening_address(relay))
        tasks: list[asyncio.Task[None]] = []
        try:
            await asyncio.sleep(SETTLE_SECONDS / 2)
            tasks.append(
                asyncio.create_task(fleet.connect(measured_vm.address))
            )
            tasks.append(
                asyncio.create_task(self._make_edits(platform, fleet))
            )
            await asyncio.sleep(SETTLE_SECONDS / 2)
            return await self._sample(
                child.pid, platform, meter, fleet, measured_vm
            )
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
        # The sockets stay bound until they listen, because concurrent runs
        # choose ports as well and could take them.
        sockets = [
            bind_socket(loopback_host(n)) for n in range(self._case.vms)
        ]
        vms = [
            Vm(
                name=f"vm-{number}",
                address="%s:%d" % sockets[number].getsockname(),
                availability_zone=f"zone-{number % ZONES}",
                region=f"region-{number // ZONES % REGIONS}",
            )
            for number in range(self._case.vms)
        ]
        measured_index = self._choose_measured_index(vms)
        measured_vm = replace(vms[measured_index], address=own)
        vms[measured_index] = measured_vm
        fleet = FakeFleet(self._case, vms, measured_vm, records)
        for vm, sock in zip(vms, sockets, strict=True):
            if vm != measured_vm:
                await fleet.listen(vm, sock)
            else:
                sock.close()
        return vms, measured_vm, fleet

    def _choose_measured_index(self, vms: list[Vm]) -> int:
        """Return the index of a VM with the wanted role and group count."""
        watchers = set(choose_platform_watchers(vms))
        placement = Placement(vms, self._names)
        held: Counter[str] = Counter()
        for name in self._names:
            held.update(vm.name for vm in placement.holders(name))
        mean_held = 3 * len(self._names) / len(vms)
        wanted_held = self._case.wanted_groups or mean_held
        candidates = {
            vm.name
            for bucket in range(BUCKET_COUNT)
            for vm in placement.candidates(bucket)
        }
        eligible = [
            (abs(held[vm.name] - wanted_held), place)
            for place, vm in enumerate(vms)
            if (vm in watchers) == self._case.watcher
            and (vm.name in candidates) >= self._case.steward
        ] or [(0.0, 0)]
        return min(eligible)[1]

    async def _populate_platform(
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
        await call_platform(platform, "PUT", "/vms", {"vms": listed})
        for name, value in records.items():
            body = {"if_version": 0, "value": value}
            await call_platform(
                platform, "PUT", f"/objects/group/{name}", body
            )
        for shard in range(SHARD_COUNT):
            await self._put_shard(platform, shard, 0)

    async def _put_shard(
        self, platform: str, shard: int, if_version: int
    ) -> Any:
        self._staleness += 1
        rows = {
            name: make_row(name, self._staleness)
            for name in self._names
            if shard_of(name) == shard
        }
        value = {"rows": rows}
        body = {"if_version": if_version, "value": value}
        await call_platform(platform, "PUT", f"/objects/table/{shard}", body)
        return value

    async def _make_edits(self, platform: str, fleet: FakeFleet) -> None:
        version = 1
        shard = shard_of("group-0")
        while True:
            value = await self._put_shard(platform, shard, version)
            version += 1
            await fleet.announce_edit(shard, version, value)
            await asyncio.sleep(EDIT_INTERVAL_SECONDS)

    async def _sample(
        self,
        pid: int,
        platform: str,
        meter: TrafficMeter,
        fleet: FakeFleet,
        measured_vm: Vm,
    ) -> Result:
        process = psutil.Process(pid)
        counters_before = await call_platform(platform, "GET", "/counters")
        cpu = sum(process.cpu_times()[:2])
        meter.clear()
        fleet.meter.clear()
        started_at = time.monotonic()
        await asyncio.sleep(self._seconds)
        elapsed = time.monotonic() - started_at
        cpu = sum(process.cpu_times()[:2]) - cpu
        memory = process.memory_full_info()
        counters_after = await call_platform(platform, "GET", "/counters")
        calls = {
            name: count / elapsed
            for name, count in meter.bytes.items()
            if name != "target"
        }
        placement = Placement(fleet._vms, self._names)
        held = sum(
            measured_vm in placement.holders(name) for name in self._names
        )
        return Result(
            **asdict(self._case),
            held_groups=held,
            seconds=elapsed,
            cpu_percent=100 * cpu / elapsed,
            resident_mb=memory.rss / 2**20,
            unique_mb=memory.uss / 2**20,
            peer_bytes=fleet.meter.bytes.total() / elapsed,
            peer_bytes_by_kind={
                kind: count / elapsed
                for kind, count in fleet.meter.bytes.items()
            },
            peer_messages_by_kind={
                kind: count / elapsed
                for kind, count in fleet.meter.messages.items()
            },
            platform_bytes=sum(calls.values()),
            platform_bytes_by_call=calls,
            target_bytes=meter.bytes["target"] / elapsed,
            target_head_bytes=meter.header_bytes["target"] / elapsed,
            target_polls=meter.target_polls / elapsed,
            platform_calls=call_rates(
                counters_before, counters_after, elapsed
            ),
        )


def question_interval(vms: int) -> float:
    """Return the interval in s of a VM's questions, as `serve` computes it."""
    return max(REPAIR_INTERVAL, vms / QUESTIONS_PER_SECOND)


def call_rates(
    before: dict[str, Any], after: dict[str, Any], seconds: float
) -> dict[str, float]:
    """Return calls per second by purpose, without those of the benchmark.

    The calls of the benchmark have no purpose.
    """
    calls: Counter[str] = Counter()
    for kind in ("reads", "writes"):
        for purpose, number in after[kind].items():
            calls[purpose] += number - before[kind].get(purpose, 0)
    del calls["none"]
    return {purpose: count / seconds for purpose, count in calls.items()}


async def start_relay(
    upstream: str, meter: TrafficMeter, name: str
) -> asyncio.Server:
    """Start a relay on a free port."""
    relay = Relay(upstream, meter, name)
    return await asyncio.start_server(relay.handle_connection, "127.0.0.1", 0)


async def start_listening(
    module: str, *args: str
) -> tuple[subprocess.Popen[str], str]:
    """Start a stand-in and return its process and address."""
    child = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdout is not None
    line = await asyncio.to_thread(child.stdout.readline)
    return child, line.split()[1]


def loopback_host(number: int) -> str:
    """Return the loopback address of a fake VM."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


def bind_socket(host: str) -> socket.socket:
    """Return a socket bound to a free port."""
    sock = socket.socket()
    sock.bind((host, 0))
    return sock


def free_address() -> str:
    """Return a free loopback address for the measured process."""
    with bind_socket("127.0.0.1") as sock:
        return "%s:%d" % sock.getsockname()


def start_serve(
    directory: pathlib.Path, measured_vm: Vm, platform: str
) -> subprocess.Popen[bytes]:
    """Start the measured process."""
    settings = {
        "vm": measured_vm.name,
        "availability_zone": measured_vm.availability_zone,
        "region": measured_vm.region,
        "callers": {"listen": free_address()},
        "peers": {"listen": measured_vm.address},
        "operators": {"listen": free_address(), "token": OPERATOR_TOKEN},
        "platform": {"address": platform},
        "token_keys": [{"id": "k1", "secret": "secret-of-the-bench-0001"}],
    }
    path = directory / f"{measured_vm.name}.json"
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
        help="GROUPS,VMS, optionally followed by watcher, steward and the "
        "number of groups that the VM should hold; can be repeated",
    )
    options = parser.parse_args()
    asyncio.run(run_cases(options))


async def run_cases(options: argparse.Namespace) -> None:
    """Run the cases concurrently, each with its own processes."""
    cases = [parse_case(text) for text in options.case]
    runs = [Run(case, options.seconds) for case in cases]
    results = await asyncio.gather(*[run.run() for run in runs])
    # Connections that are open in the relays end with the event loop, which
    # would log an error for each.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    text = json.dumps([asdict(result) for result in results], indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


def parse_case(text: str) -> Case:
    """Return the case that a `--case` option describes."""
    groups, vms, *rest = text.split(",")
    return Case(
        groups=int(groups),
        vms=int(vms),
        watcher="watcher" in rest,
        steward="steward" in rest,
        wanted_groups=sum(int(text) for text in rest if text.isdecimal()),
    )


if __name__ == "__main__":
    main()
