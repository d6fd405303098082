"""A fleet for sessions: stand-ins for members and platform, and real VMs.

The VMs are processes; everything else runs in one event loop, so that the
checker sees each statement at the moment of its execution.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
import json
import os
from pathlib import Path
import sys
import tempfile
import time
from typing import Any
import urllib.request

from bamboospring.testing.fault_proxy import Link
from bamboospring.testing.process import ManagedProcess
from bamboospring.testing.reserved_ports import ReservedPorts
from bamboospring.testing.session_callers import CallerKey
from bamboospring.testing.session_callers import CallerRoute
from bamboospring.testing.session_checker import SessionChecker
from bamboospring.testing.session_checker import TeamLimits
from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_members import MemberSettings
from bamboospring.testing.session_platform import PromotionService
from bamboospring.testing.session_platform import SessionStore
from bamboospring.testing.session_platform import StoreFaults
from bamboospring.testing.session_platform import StoreSnapshot

__all__ = ["FleetTeam", "SessionFleet", "VmProcess"]

ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_INTERVAL = 0.4
# The entry of a member is removed after this number of missed heartbeats.
MAX_MISSED_HEARTBEATS = 3
# Seconds after which a member notices that the client of a silent connection
# is gone, where connections are fewer than VMs. Without it, the connections
# that each fault leaves behind would soon be all that the member allows.
MEMBER_KEEPALIVE = 3.0
# The same for silent connections between VMs.
PEER_KEEPALIVE = 1.0
# Kind, maximum age in seconds, share of writes and share of transactions.
ROUTE_KINDS: tuple[tuple[str, float | None, float, float], ...] = (
    ("primary", None, 0.35, 0.4),
    ("bounded_staleness", 1.5, 0.0, 0.1),
    ("read_your_writes", 2.5, 0.12, 0.12),
)


@dataclass(slots=True, kw_only=True)
class FleetTeam:
    """A team of the configuration, by default without limits."""

    keys: list[str]
    limits: TeamLimits | None = None


@dataclass(slots=True, kw_only=True)
class VmProcess:
    """One VM: its process and its listening addresses.

    All of its connections come from the IP address `source`, if it has one.
    """

    name: str
    process: ManagedProcess
    callers: str
    readiness: str
    settings: Path
    source: str = ""

    def is_ready(self) -> bool:
        """Return whether the VM reports that it is ready for callers."""
        url = f"http://{self.readiness}/api/readiness"
        try:
            with urllib.request.urlopen(url, timeout=0.5) as answer:
                return answer.status == 200
        except OSError:
            return False


class SessionFleet:
    """Groups of three members, a store, a promotion service and VMs.

    VMs that are `separable` can be cut off from each other, and members from
    some VMs.
    """

    def __init__(
        self,
        *,
        vms: int = 3,
        groups: int = 2,
        member_settings: MemberSettings | None = None,
        seed: int = 0,
        grace_ms: int = 4000,
        timeout_ms: int = 1000,
        teams: dict[str, FleetTeam] | None = None,
        key_life_ms: int | None = None,
        load_control: bool = False,
        separable: bool = False,
    ) -> None:
        self.checker = SessionChecker()
        self.teams = teams
        self._key_life_ms = key_life_ms
        self._load_control = load_control
        self._separable = separable
        self._keepalive = MEMBER_KEEPALIVE if load_control else None
        if key_life_ms is not None:
            self.checker.removed_key_lifetime = key_life_ms / 1000
        self.member_settings = member_settings or MemberSettings()
        self.store = SessionStore(seed=seed)
        self.groups: dict[str, MemberGroup] = {}
        self.vms: dict[str, VmProcess] = {}
        self.links: dict[str, Link] = {}
        self._vm_count = vms
        self._grace_ms = grace_ms
        self._timeout_ms = timeout_ms
        self._directory = tempfile.TemporaryDirectory()
        self._ports = ReservedPorts()
        self._tasks: list[asyncio.Task[None]] = []
        self._missed_heartbeats: dict[str, int] = {}
        self._added_members = 0
        self._config_version = 0
        self._config: dict[str, Any] = {}
        self.added_databases: list[str] = []
        self.suppressed_heartbeats: set[str] = set()
        for number in range(groups):
            name = f"group{number}"
            group = MemberGroup(
                name=name,
                observer=self.checker,
                settings=self.member_settings,
                seed=seed,
            )
            for index, zone in enumerate(ZONES):
                group.add(f"{name}-m{index}", zone, primary=index == 0)
            self.groups[name] = group
        self.promotion_service = PromotionService(self.groups)

    async def start(self) -> None:
        """Start all parts and wait until the VMs are ready."""
        await self.store.start()
        await self.promotion_service.start()
        for member in self.members():
            member.address = self._ports.reserve()
            await member.start()
            await self._add_link(
                member.id, member.address, keepalive=self._keepalive
            )
        for number in range(self._vm_count):
            name = f"vm{number}"
            await self._add_link(f"{name}-store", self.store.address)
            peers_listen = self._ports.reserve()
            if self._separable:
                await self._add_link(
                    f"{name}-peers", peers_listen, keepalive=PEER_KEEPALIVE
                )
            self._add_vm(number, ZONES[number % len(ZONES)], peers_listen)
        self.write_config()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        for vm in self.vms.values():
            vm.process.start()
        await self.wait_ready()

    async def close(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms.values():
            vm.process.kill()
        for member in self.members():
            member.stop()
        for link in self.links.values():
            link.close()
        await asyncio.sleep(0)
        self._ports.close()
        self._directory.cleanup()

    def members(self) -> list[Member]:
        """Return all members."""
        return [m for g in self.groups.values() for m in g.members.values()]

    def primary(self, group: str) -> Member:
        """Return the member that is primary of the highest term.

        If there is none, return the one with the newest log.
        """
        members = self.groups[group].members.values()
        return max(members, key=lambda m: (m.is_primary, m.term, m.position))

    def routes(self) -> list[CallerRoute]:
        """Return the databases of the configuration as callers see them."""
        return [
            CallerRoute(
                database=f"{group}-{kind}",
                group=group,
                max_age=max_age or 0.0,
                write_share=writes,
                transaction_share=transactions,
            )
            for group in self.groups
            for kind, max_age, writes, transactions in ROUTE_KINDS
        ]

    def addresses(self) -> list[str]:
        """Return the addresses that callers connect to."""
        return [vm.callers for vm in self.vms.values()]

    def write_config(self, **limits: Any) -> int:
        """Store a new version of the configuration and return the version."""
        self._config_version += 1
        routes = []
        for group in self.groups:
            for kind, max_age, _writes, _transactions in ROUTE_KINDS:
                route: dict[str, Any] = {
                    "name": f"r-{group}-{kind}",
                    "database": f"{group}-{kind}",
                    "pathPrefix": "/",
                    "kind": kind,
                    "timeoutMs": self._timeout_ms,
                    "targetLatencyMs": 300,
                    "priority": 1 if kind == "primary" else 2,
                    "service": group,
                    "maxAttempts": 2,
                }
                if max_age is not None:
                    route["maxStalenessMs"] = int(max_age * 1000)
                routes.append(route)
        for database in self.added_databases:
            routes.append(
                {**routes[0], "name": database, "database": database}
            )
        services = [
            {
                "name": group,
                "healthPath": "/health",
                "maxConnections": self.member_settings.connections,
                "syncReplicas": 0,
            }
            for group in self.groups
        ]
        config: dict[str, Any] = {
            "version": self._config_version,
            "routes": routes,
            "services": services,
            "limits": {"transactionIdleMs": 3000, **limits},
        }
        if self.teams is not None:
            config["tenants"] = [
                _tenant(name, team) for name, team in self.teams.items()
            ]
        self._config = config
        self.store.put("config", "main", config)
        return self._config_version

    async def restore_store(
        self, snapshot: StoreSnapshot, *, outage: float, rewrite_delay: float
    ) -> None:
        """Restore the store from an older snapshot after an outage.

        Members write their entries again at their next heartbeat. The newest
        configuration is written again `rewrite_delay` seconds after the
        restore, as an operator does. `outage` is in seconds.
        """
        self.store.faults = StoreFaults(outage="reset")
        await asyncio.sleep(outage)
        self.store.restore(snapshot)
        self.store.faults = StoreFaults()
        await asyncio.sleep(rewrite_delay)
        self.store.put("config", "main", self._config)

    def remove_key(self, key: str) -> None:
        """Remove a key; the checker limits its use from this moment on."""
        for team in (self.teams or {}).values():
            if key in team.keys:
                team.keys.remove(key)
        self.write_config()
        self.checker.key_removed_at[key] = time.monotonic()

    def caller_keys(self, *teams: str) -> list[CallerKey]:
        """Return the keys of these teams, or those of all teams."""
        return [
            CallerKey(key=key, team=name)
            for name, team in (self.teams or {}).items()
            if not teams or name in teams
            for key in team.keys
        ]

    def separate_vms(self, names: Collection[str]) -> None:
        """Cut VMs off from the store and from all other VMs."""
        for name in names:
            store = self.links[f"{name}-store"]
            store.set_mode(mode="freeze", direction="both", delay_ms=0)
            for other in self.vms.values():
                if other.name != name:
                    self.links[f"{name}-peers"].silence_source(other.source)
                    self.links[f"{other.name}-peers"].silence_source(
                        self.vms[name].source
                    )

    def join_vms(self) -> None:
        """Have all VMs reach the store and each other again."""
        for name in self.vms:
            store = self.links[f"{name}-store"]
            store.set_mode(mode="pass", direction="both", delay_ms=0)
            self.links[f"{name}-peers"].silenced_sources.clear()

    def separate_member(self, member: Member, names: Collection[str]) -> None:
        """Cut a member off from the store, other members and some VMs."""
        self.suppressed_heartbeats.add(member.id)
        member.group.partitioned_pairs |= {
            frozenset((member.id, other))
            for other in member.group.members
            if other != member.id
        }
        for name in names:
            self.links[member.id].silence_source(self.vms[name].source)

    def join_members(self) -> None:
        """Have all members reach everything again."""
        self.suppressed_heartbeats.clear()
        for group in self.groups.values():
            group.partitioned_pairs.clear()
        for member in self.members():
            self.links[member.id].silenced_sources.clear()

    async def add_member(self, group: MemberGroup, zone: str) -> Member:
        """Start a new replica with the log of the primary."""
        self._added_members += 1
        primary = self.primary(group.name)
        member = group.add(
            f"{group.name}-n{self._added_members}", zone, primary=False
        )
        member.term, member.log = primary.term, list(primary.log)
        member.address = self._ports.reserve()
        await member.start()
        await self._add_link(
            member.id, member.address, keepalive=self._keepalive
        )
        self._update_entry(member)
        return member

    def remove_member(self, member: Member) -> None:
        """End a member for good."""
        member.stop()
        member.is_primary = False
        del member.group.members[member.id]
        self.store.delete("servers", member.id)
        self.links[member.id].close()

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all running VMs report that they are ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            running = [v for v in self.vms.values() if v.process.running]
            ready = await asyncio.gather(
                *(asyncio.to_thread(vm.is_ready) for vm in running)
            )
            if all(ready):
                return
            await asyncio.sleep(0.05)
        tails = "\n".join(v.process.tail(15) for v in self.vms.values())
        raise TimeoutError(f"VMs are not ready:\n{tails}")

    def read_log(self, vm: str) -> str:
        """Return the log of a VM."""
        path = self.vms[vm].process.log_path
        return path.read_text() if path.exists() else ""

    async def _add_link(
        self, name: str, upstream: str, *, keepalive: float | None = None
    ) -> None:
        link = Link(
            name=name,
            listen="127.0.0.1:0",
            upstream=upstream,
            keepalive=keepalive,
        )
        await link.start()
        self.links[name] = link

    async def _send_heartbeats(self) -> None:
        """Periodically write the members' entries to the store."""
        while True:
            for member in self.members():
                self._update_entry(member)
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def _update_entry(self, member: Member) -> None:
        is_suppressed = member.id in self.suppressed_heartbeats
        if (
            not member.is_running
            or member.unresponsive
            or is_suppressed
            or self.store.faults.outage
        ):
            missed_count = self._missed_heartbeats[member.id] = (
                self._missed_heartbeats.get(member.id, 0) + 1
            )
            if missed_count >= MAX_MISSED_HEARTBEATS:
                self.store.delete("servers", member.id)
            return
        self._missed_heartbeats[member.id] = 0
        old = self.store.get("servers", member.id) or {}
        entry = {
            "service": member.group.name,
            "address": self.links[member.id].listen,
            "zone": member.zone,
            "version": "v1",
            "slots": self.member_settings.slots,
            "state": "draining" if member.draining else "ready",
            "warmupRemainingMs": 0,
            "databaseRole": "primary" if member.is_primary else "replica",
            "sequence": old.get("sequence", 0) + 1,
        }
        self.store.put("servers", member.id, entry)

    def _add_vm(self, number: int, zone: str, peers_listen: str) -> None:
        name = f"vm{number}"
        directory = Path(self._directory.name)
        callers, readiness, metrics = (self._ports.reserve() for _ in range(3))
        peers, source, module = peers_listen, "", ["bamboospring.platform"]
        if self._separable:
            peers = self.links[f"{name}-peers"].listen
            source = f"127.0.1.{number + 1}"
            module = ["bamboospring.testing.from_address", source, *module]
        settings = directory / f"{name}.json"
        cfg = {
            "vm": name,
            "availability_zone": zone,
            "callers": callers,
            "readiness": readiness,
            "peers": peers,
            "peers_listen": peers_listen,
            "operators": metrics,
            "platform": self.links[f"{name}-store"].listen,
            "orders": self.promotion_service.address,
            "load_control": "on" if self._load_control else "off",
            "timing": {
                "grace_ms": self._grace_ms,
                "key_life_ms": self._key_life_ms,
            },
        }
        settings.write_text(json.dumps(cfg))
        root = str(Path(__file__).resolve().parents[2])
        process = ManagedProcess(
            name=name,
            argv=[sys.executable, "-m", *module],
            log_path=directory / f"{name}.log",
            env={
                **os.environ,
                "PYTHONPATH": root,
                "BAMBOOSPRING_SETTINGS": str(settings),
            },
        )
        self.vms[name] = VmProcess(
            name=name,
            process=process,
            callers=callers,
            readiness=readiness,
            settings=settings,
            source=source,
        )


def _tenant(name: str, team: FleetTeam) -> dict[str, Any]:
    tenant: dict[str, Any] = {"name": name, "apiKeys": team.keys}
    if team.limits is not None:
        tenant["ratePerS"] = team.limits.rate
        tenant["burstSize"] = team.limits.burst
    return tenant
