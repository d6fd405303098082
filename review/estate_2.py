"""A small estate for the scripts of the second review.

The stand-ins of members, store and promotion service are the project's own
and run in this process. The VMs are separate processes, started with the
command of the deploy file. Everything is on loopback.
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import signal
import subprocess
import tempfile
import time
from typing import Any
import urllib.request

from bamboospring.testing.reserved_ports import ReservedPorts
from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberConnection
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_members import MemberSettings
from bamboospring.testing.session_platform import PromotionService
from bamboospring.testing.session_platform import SessionStore

__all__ = [
    "Estate",
    "Record",
    "RecordingConnection",
    "RecordingMember",
    "Vm",
    "is_trouble_on",
]

ROOT = Path(__file__).resolve().parents[1]
GROUP = "ledger"
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 0.4
READY_TIMEOUT_S = 20.0
COMMAND = ["python3", "-S", "-m", "bamboospring.platform"]


def is_trouble_on() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes lines with times to `record.txt` in a case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="latin-1")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.4f} {text}\n")

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


class RecordingConnection(MemberConnection):
    """A connection that reports each request as it arrives."""

    async def _handle_query(self, id: str, text: str) -> None:
        self.member.group.observer.on_request(self.member, id, text)
        await super()._handle_query(id, text)


class RecordingMember(Member):
    """A member whose connections report each request."""

    connection_class = RecordingConnection

    async def _handle_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = self.connection_class(member=self, reader=reader, writer=writer)
        try:
            await conn.run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open_connections.discard(conn)
            writer.close()


class Vm:
    """One VM: its process, addresses and log."""

    def __init__(self, name: str, directory: Path, cfg: dict[str, Any]):
        self.name = name
        self.callers = cfg["callers"]
        self.readiness = cfg["readiness"]
        self._settings = directory / f"{name}.json"
        self._settings.write_text(json.dumps(cfg))
        self.log_path = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYDANTIC_DISABLE_PLUGINS": "__all__",
            "BAMBOOSPRING_SETTINGS": str(self._settings),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the VM reports that it is ready."""
        url = f"http://{self.readiness}/api/readiness"
        try:
            with urllib.request.urlopen(url, timeout=0.5) as answer:
                return answer.status == 200
        except OSError:
            return False


class Estate:
    """A group of three members, a store, a promotion service and VMs."""

    def __init__(
        self,
        *,
        vms: int,
        observer: Any,
        routes: list[dict[str, Any]],
        member_settings: MemberSettings,
        member_class: type[RecordingMember] = RecordingMember,
        sync_replicas: int = 0,
    ) -> None:
        self.store = SessionStore()
        self.groups: dict[str, MemberGroup] = {}
        self.vms: list[Vm] = []
        self._routes = routes
        self._settings = member_settings
        self._sync_replicas = sync_replicas
        self._directory = tempfile.TemporaryDirectory()
        self._ports = ReservedPorts()
        self._vm_count = vms
        self._tasks: list[asyncio.Task[None]] = []
        group = MemberGroup(
            name=GROUP, observer=observer, settings=member_settings
        )
        for index, zone in enumerate(ZONES):
            id = f"{GROUP}-m{index}"
            group.members[id] = member_class(
                group=group, id=id, zone=zone, primary=index == 0
            )
        self.groups[GROUP] = group
        self.promotions = PromotionService(self.groups)
        self.orders_address = ""

    async def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        await self.store.start()
        await self.promotions.start()
        for member in self.members():
            await self.start_member(member)
        self.store.put("config", "main", self._config())
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for number in range(self._vm_count):
            vm = self._make_vm(f"vm{number}", ZONES[number % len(ZONES)])
            self.vms.append(vm)
            vm.start()
        await self._wait_ready()

    async def close(self) -> None:
        """End everything that was started."""
        # Watches that still wait are cancelled with the event loop, and each
        # would print a traceback.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        for vm in self.vms:
            vm.kill()
        for task in self._tasks:
            task.cancel()
        for member in self.members():
            member.stop()
        await asyncio.sleep(0)
        self._ports.close()
        self._directory.cleanup()

    def members(self) -> list[Member]:
        """Return all members."""
        return [m for g in self.groups.values() for m in g.members.values()]

    async def start_member(self, member: Member) -> None:
        """Start a member at an address of its own."""
        member.address = member.address or self._ports.reserve()
        await member.start()

    def _config(self) -> dict[str, Any]:
        return {
            "version": 1,
            "routes": self._routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConnections": self._settings.connections,
                    "syncReplicas": self._sync_replicas,
                }
                for name in self.groups
            ],
            "limits": {"transactionIdleMs": 3000},
        }

    def _make_vm(self, name: str, zone: str) -> Vm:
        cfg = {
            "vm": name,
            "availability_zone": zone,
            "region": "region-a",
            "callers": self._ports.reserve(),
            "readiness": self._ports.reserve(),
            "peers": self._ports.reserve(),
            "operators": self._ports.reserve(),
            "platform": self.store.address,
            "orders": self.orders_address or self.promotions.address,
            "platform_terms": ["base", "drain", "config", "sql", "platform"],
            "regions": {each: "region-a" for each in ZONES},
            "limits": {"queue_length": 256},
            "timing": {"grace_ms": 6000, "target_leaving_ms": 7000},
        }
        return Vm(name, Path(self._directory.name), cfg)

    async def _send_heartbeats(self) -> None:
        while True:
            for member in self.members():
                self._write_entry(member)
            await asyncio.sleep(HEARTBEAT_S)

    def _write_entry(self, member: Member) -> None:
        if not member.is_running:
            return
        old = self.store.get("servers", member.id) or {}
        entry = {
            "service": member.group.name,
            "address": member.address,
            "zone": member.zone,
            "version": "v1",
            "slots": self._settings.slots,
            "state": "draining" if member.draining else "ready",
            "warmupRemainingMs": 0,
            "databaseRole": "primary" if member.is_primary else "replica",
            "sequence": old.get("sequence", 0) + 1,
        }
        self.store.put("servers", member.id, entry)

    async def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            ready = await asyncio.gather(
                *(asyncio.to_thread(vm.is_ready) for vm in self.vms)
            )
            if all(ready):
                return
            await asyncio.sleep(0.05)
        tails = [vm.log_path.read_text()[-2000:] for vm in self.vms]
        raise TimeoutError("VMs are not ready:\n" + "\n".join(tails))
