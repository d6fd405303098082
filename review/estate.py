"""A small estate for the cases of the review.

VMs are real processes, started with the command of `deploy/system.toml`. The
store, the promotion service and the members are the project's own stand-ins
in the process of the case, and so are its callers, so that one clock dates
all events.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from bamboospring.testing.reserved_ports import ReservedPorts
from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_platform import PromotionService
from bamboospring.testing.session_platform import SessionStore

__all__ = [
    "Answer",
    "BROKEN",
    "COULD_NOT_RUN",
    "HELD",
    "CannotRun",
    "CallerSession",
    "Estate",
    "Record",
    "RouteSpec",
    "Vm",
    "is_disturbed",
    "run_case",
]

# Exit codes of a case's process; its `run.sh` turns BROKEN into 1.
HELD = 0
COULD_NOT_RUN = 2
BROKEN = 10
ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
HEARTBEAT_INTERVAL = 1.2
# An entry is removed after this many intervals of silence.
MISSED_HEARTBEATS = 3
READY_TIMEOUT = 30.0
EXIT_TIMEOUT = 5.0


class CannotRun(Exception):
    """The case could not be brought about, so it shows nothing."""


def is_disturbed() -> bool:
    """Return whether the disruption is wanted: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The events of a run, each with its time in seconds."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._started_at

    def add(self, event: str, **fields: Any) -> None:
        """Add one event."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._lines.append(f"{self.now():9.4f} {event} {text}".rstrip())

    def write(self) -> None:
        """Write all events to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def run_case(run: Callable[[Record], Awaitable[int]], path: Path) -> int:
    """Run a case, write its record and return its exit code.

    Whatever goes wrong besides means that the case did not run.
    """
    # Ends the case's tasks, and so all processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(path)

    async def main() -> int:
        return await run(record)

    try:
        return asyncio.run(main())
    except Exception as exc:
        record.add("could_not_run", reason=repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        record.add("end")
        record.write()


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteSpec:
    """One route of the configuration, in the words of the store."""

    database: str
    service: str
    kind: str
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int | None = None
    anonymous: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the route as the operator writes it."""
        route: dict[str, Any] = {
            "name": f"r-{self.database}",
            "database": self.database,
            "pathPrefix": "/",
            "kind": self.kind,
            "timeoutMs": self.timeout_ms,
            "targetLatencyMs": self.target_latency_ms,
            "priority": self.priority,
            "service": self.service,
            "maxAttempts": 2,
            "allowAnonymous": self.anonymous,
        }
        if self.max_staleness_ms is not None:
            route["maxStalenessMs"] = self.max_staleness_ms
        return route


class Vm:
    """One VM: its process, its addresses and its settings file."""

    def __init__(
        self, *, name: str, zone: str, directory: Path, ports: ReservedPorts
    ) -> None:
        self.name = name
        self.zone = zone
        self.callers = ports.reserve()
        self.readiness = ports.reserve()
        self.peers = ports.reserve()
        self.operators = ports.reserve()
        self.settings = directory / f"{name}.json"
        self.log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self, **values: Any) -> None:
        """Write the settings file, with the keys of the template."""
        cfg = {
            "vm": self.name,
            "availability_zone": self.zone,
            "region": "region-a",
            "callers": self.callers,
            "readiness": self.readiness,
            "peers": self.peers,
            "operators": self.operators,
            **values,
        }
        self.settings.write_text(json.dumps(cfg))

    def start(self) -> None:
        """Start the process as the deploy file does."""
        names = ("PATH", "HOME", "LANG")
        env = {n: os.environ[n] for n in names if n in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYDANTIC_DISABLE_PLUGINS"] = "__all__"
        env["BAMBOOSPRING_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "bamboospring.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.is_running:
            self.process.kill()
            self.process.wait(EXIT_TIMEOUT)

    async def is_ready(self) -> bool:
        """Ask the VM's readiness address, as the platform does."""
        host, _, port = self.readiness.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /api/readiness HTTP/1.1\r\nHost: vm\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]


class Estate:
    """The store, the promotion service, one service's members, and VMs."""

    def __init__(
        self,
        *,
        record: Record,
        group: MemberGroup,
        routes: list[RouteSpec],
        vm_zones: list[str],
        sync_replicas: int = 0,
        tenants: list[dict[str, Any]] | None = None,
        timing: dict[str, Any] | None = None,
    ) -> None:
        self.record = record
        self.group = group
        self.routes = routes
        self.tenants = tenants
        self.sync_replicas = sync_replicas
        self.store = SessionStore()
        self.promotion_service = PromotionService({group.name: group})
        self.on_entry: Callable[[str, str], None] = lambda _id, _state: None
        self._timing = {"grace_ms": 6000, "target_leaving_ms": 7000}
        self._timing.update(timing or {})
        self._version = 0
        self._ports = ReservedPorts()
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task[None]] = []
        self._missed: dict[str, int] = {}
        self.vms = [
            Vm(
                name=f"vm{number}",
                zone=zone,
                directory=self._directory,
                ports=self._ports,
            )
            for number, zone in enumerate(vm_zones)
        ]

    async def start(self) -> None:
        """Start all parts and wait until all VMs are ready."""
        await self.store.start()
        await self.promotion_service.start()
        for member in self.group.members.values():
            member.address = self._ports.reserve()
            await member.start()
        self.write_config()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for vm in self.vms:
            vm.write_settings(
                platform=self.store.address,
                orders=self.promotion_service.address,
                limits={"queue_length": 256},
                timing=self._timing,
            )
            vm.start()
        await self.wait_ready(self.vms)

    async def wait_ready(self, vms: list[Vm]) -> None:
        """Wait until these VMs report that they are ready."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            ready = await asyncio.gather(*(vm.is_ready() for vm in vms))
            if all(ready):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the VMs are not ready in time")

    async def close(self) -> None:
        """End everything that was started, and remove its files."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.kill()
        for member in self.group.members.values():
            member.stop()
        await asyncio.sleep(0)
        self._ports.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self._directory, ignore_errors=True)

    def write_config(self) -> int:
        """Store a new version of the configuration, as the operator does."""
        self._version += 1
        config: dict[str, Any] = {
            "version": self._version,
            "routes": [route.as_json() for route in self.routes],
            "services": [
                {
                    "name": self.group.name,
                    "healthPath": "/health",
                    "maxConnections": self.group.settings.connections,
                    "syncReplicas": self.sync_replicas,
                }
            ],
            "limits": {"transactionIdleMs": 3000},
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.store.put("config", "main", config)
        self.record.add("config_stored", version=self._version)
        return self._version

    async def _send_heartbeats(self) -> None:
        """Write the members' entries, a changed role at once."""
        due = 0.0
        roles: dict[str, bool] = {}
        while True:
            now = time.monotonic()
            is_due = now >= due
            if is_due:
                due = now + HEARTBEAT_INTERVAL
            for member in self.group.members.values():
                has_changed = roles.get(member.id) != member.is_primary
                if is_due or has_changed:
                    roles[member.id] = member.is_primary
                    self._write_entry(member)
            await asyncio.sleep(0.02)

    def _write_entry(self, member: Member) -> None:
        if not member.is_running:
            missed = self._missed[member.id] = (
                self._missed.get(member.id, 0) + 1
            )
            if missed == MISSED_HEARTBEATS:
                self.store.delete("servers", member.id)
            return
        self._missed[member.id] = 0
        old = self.store.get("servers", member.id) or {}
        entry = {
            "service": self.group.name,
            "address": member.address,
            "zone": member.zone,
            "version": "v1",
            "slots": self.group.settings.slots,
            "state": "draining" if member.draining else "ready",
            "warmupRemainingMs": 0,
            "databaseRole": "primary" if member.is_primary else "replica",
            "sequence": old.get("sequence", 0) + 1,
        }
        self.store.put("servers", member.id, entry)


@dataclass(slots=True, kw_only=True)
class Answer:
    """The answer to one request; `code` is empty after a success."""

    code: str = ""
    text: str = ""
    state: str = "I"
    signature: str = ""
    rows: list[str] = field(default_factory=list)


class CallerSession:
    """One session over the line protocol."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str, database: str, key: str) -> Answer:
        """Connect and open the session; a refusal is returned."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writer.write(f"OPEN {database} {key}\r\n".encode())
        line = await asyncio.wait_for(self._read_line(), 2.0)
        word, _, rest = line.partition(" ")
        if word == "READY":
            return Answer()
        code, _, text = rest.partition(" ")
        return Answer(code=code or word, text=text)

    async def query(self, id: str, text: str) -> Answer:
        """Send one request and return its answer.

        Raises `ConnectionError` or `asyncio.IncompleteReadError` if the
        connection ends first.
        """
        assert self._writer is not None
        self._writer.write(f"QUERY {id} {text}\r\n".encode("latin-1"))
        await self._writer.drain()
        answer = Answer()
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(" ")
            match word:
                case "ROW":
                    answer.rows.append(rest)
                case "COMPLETE":
                    answer.signature = rest
                case "ERROR":
                    answer.code, _, answer.text = rest.partition(" ")
                case "READY":
                    answer.state = rest[:1]
                    return answer

    def close(self) -> None:
        """Close the connection, which ends the session."""
        if self._writer is not None:
            self._writer.close()

    async def _read_line(self) -> str:
        assert self._reader is not None
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode("latin-1")
