"""Starts and stops a fleet of real processes.

The platform stand-in, the optional fault proxy, the target stand-ins and the
VMs that run `bamboospring serve` are children of this process. They are
terminated by their process ids when the fleet closes, also after an error.

Example::

    with Fleet(topology=CARPATICA, links=True) as fleet:
        fleet.freeze(fleet.primary("baze-comutare-1"))
        answer = Caller(entries=fleet.entries()).write(...)
"""

from __future__ import annotations

import atexit
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from types import TracebackType
from typing import Any

from bamboospring.blackboard import Vm
from bamboospring.operator_client import Unreachable
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import HOLDERS_PER_GROUP
from bamboospring.testing.process import ManagedProcess
from bamboospring.testing.process import StartFailed
from bamboospring.testing.reserved_ports import ReservedPorts
from bamboospring.testing.topology import Topology

__all__ = [
    "call_json",
    "Fleet",
    "FleetTarget",
    "FleetVm",
    "LOCAL_REGION_ADDRESS",
    "REMOTE_REGION_ADDRESS",
    "wait_until",
]

START_TIMEOUT = 20.0
READY_TIMEOUT = 30.0
STOP_TIMEOUT = 5.0
SIGTERM_EXIT_CODE = 128 + signal.SIGTERM
CONTROL_TIMEOUT = 5.0
# The source addresses of the processes of each region, by which the fault
# proxy distinguishes them.
LOCAL_REGION_ADDRESS = "127.0.0.1"
REMOTE_REGION_ADDRESS = "127.0.0.2"
PLATFORM = "platform"
FAULT_PROXY = "fault-proxy"
OPERATOR_TOKEN = "operator-secret-for-tests"
TOKEN_KEYS = [{"id": "k1", "secret": "secret-of-the-test-fleet-0001"}]


class CallFailed(RuntimeError):
    """A control call to a stand-in returned an error status."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetTarget:
    """One target stand-in; VMs connect to `address`."""

    name: str
    group: str
    zone: str
    site: str
    listen: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetVm:
    """One VM; callers connect to `entry`, other VMs to `peers`."""

    name: str
    zone: str
    callers_listen: str
    peers_listen: str
    operators_listen: str
    entry: str
    peers: str
    platform: str


def call_json(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout: float = CONTROL_TIMEOUT,
    headers: dict[str, str] | None = None,
) -> Any:
    """Make one HTTP/JSON call and return the decoded answer.

    Raises `CallFailed` on an error status and `OSError` if the server can't
    be reached within `timeout` seconds.
    """
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        conn.request(method, path, payload, headers or {})
        resp = conn.getresponse()
        data = resp.read()
    except http.client.HTTPException as exc:
        raise OSError(f"{method} {path} at {address}: {exc!r}") from exc
    finally:
        conn.close()
    if resp.status >= 400:
        raise CallFailed(f"{method} {path}: {resp.status} {data[:500]!r}")
    return json.loads(data) if data else None


def wait_until(
    condition: Callable[[], Any], *, seconds: float, what: str
) -> Any:
    """Poll until `condition` returns a true value, and return that value.

    A failed call counts as false, also one to an operators' listener that is
    not open yet. Raises `StartFailed` with the last error after `seconds`.
    """
    deadline = time.monotonic() + seconds
    last_error: Exception | None = None
    while time.monotonic() < deadline:
        try:
            result = condition()
        except (
            OSError,
            CallFailed,
            Unreachable,
            KeyError,
            ValueError,
        ) as exc:
            result, last_error = None, exc
        if result:
            return result
        time.sleep(0.05)
    raise StartFailed(
        f"timed out after {seconds} s: {what} (last: {last_error!r})"
    )


class Fleet:
    """A running fleet, for use as a context manager.

    With `links`, connections to targets, peers, entries and the platform go
    through links of the fault proxy: `target:<name>`, `peers:<vm>`,
    `entry:<vm>` and `platform:<vm>`. With `bootstrap` the fleet itself makes
    the first member of each group primary of term 1; otherwise the stewards
    do. `settings` is merged into each VM's settings file. `map_address`
    returns the address that VMs use instead of that of the platform or of a
    target.
    """

    def __init__(
        self,
        *,
        topology: Topology,
        links: bool = False,
        bootstrap: bool = True,
        vms: int | None = None,
        settings: dict[str, Any] | None = None,
        table_rows: dict[str, dict[str, Any]] | None = None,
        vm_list_lag_ms: int = 0,
        map_address: Callable[[str], str] = str,
    ) -> None:
        self.topology = topology
        self.map_address = map_address
        self.links = links
        self.bootstrap = bootstrap
        self.settings = settings or {}
        self.table_rows = table_rows or {}
        self.vm_list_lag_ms = vm_list_lag_ms
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="bs-fleet-"))
        self.targets: dict[str, FleetTarget] = {}
        self.vms: dict[str, FleetVm] = {}
        self.entry_processes: dict[str, FleetVm] = {}
        self._vm_count = topology.vms if vms is None else vms
        self._processes: dict[str, ManagedProcess] = {}
        self._ports = ReservedPorts()
        self._platform_address = ""
        self._proxy_address = ""
        self._closed = False
        atexit.register(self.close)
        _exit_on_sigterm()

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    # -- start and stop

    def start(self) -> None:
        """Start all processes and wait until each VM accepts callers."""
        self._allocate_addresses()
        self._start_platform()
        self._start_fault_proxy()
        self._start_targets()
        if self.bootstrap:
            self._promote_first_members()
        self._write_groups()
        self._write_table_rows()
        self.publish_vms()
        for name in self.vms:
            self._start_vm(name)
        for name in self.vms:
            self.wait_vm(name)

    def close(self) -> None:
        """Terminate all processes of this fleet and remove its directory."""
        if self._closed:
            return
        self._closed = True
        processes = list(self._processes.values())
        for process in processes:
            process.thaw()
            process.terminate()
        end = time.monotonic() + STOP_TIMEOUT
        for process in processes:
            process.stop(max(0.0, end - time.monotonic()))
        self._ports.close()
        shutil.rmtree(self.directory, ignore_errors=True)
        atexit.unregister(self.close)

    def wait_vm(self, name: str, seconds: float = READY_TIMEOUT) -> None:
        """Wait until a VM accepts callers' connections."""
        address = self.vms[name].callers_listen
        process = self._processes[name]

        def listening() -> bool:
            if not process.running:
                raise StartFailed(f"{name} ended:\n{process.tail()}")
            return _is_accepting(address)

        wait_until(listening, seconds=seconds, what=f"{name} to listen")

    def wait_serving(
        self,
        groups: Iterable[str] | None = None,
        *,
        seconds: float = READY_TIMEOUT,
        entries: Iterable[str] | None = None,
    ) -> None:
        """Wait until a read of each group succeeds through each entry."""
        group_names = tuple(self.topology.groups if groups is None else groups)
        for entry in self.entries() if entries is None else entries:
            for group in group_names:
                wait_until(
                    lambda e=entry, g=group: _is_serving(e, g),  # type: ignore
                    seconds=seconds,
                    what=f"{group} through {entry}",
                )

    # -- faults

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL)."""
        self._processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self._processes[name].freeze()

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self._processes[name].thaw()

    def terminate(self, name: str) -> None:
        """Ask a process to shut down (SIGTERM) without waiting."""
        self._processes[name].terminate()

    def add_entry_process(
        self, vm: str, number: int = 1, *, wait: bool = True
    ) -> FleetVm:
        """Start an entry-only process next to a VM's main process.

        It accepts callers on the same port as the VM, which requires the
        setting `callers.reuse_port`. With `wait` the process is ready on
        return.
        """
        main = self.vms[vm]
        process = dataclasses.replace(
            main,
            name=f"{vm}-entry-{number}",
            peers_listen=self._ports.reserve(),
            operators_listen=self._ports.reserve(),
        )
        settings = self._vm_settings(process)
        settings["entry"] = {"only": True, "of": vm, "main": main.peers}
        self.entry_processes[process.name] = process
        self._start_serve(process.name, settings)
        if wait:
            self._wait_ready(process)
        return process

    def _wait_ready(self, vm: FleetVm) -> None:
        wait_until(
            lambda: call_json(vm.operators_listen, "GET", "/readyz"),
            seconds=READY_TIMEOUT,
            what=f"{vm.name} to be ready",
        )

    def restart(self, name: str) -> None:
        """Kill a process if it runs and start it on the same addresses."""
        process = self._processes[name]
        process.kill()
        process.start()
        if name in self.vms:
            self.wait_vm(name)
        elif name in self.entry_processes:
            self._wait_ready(self.entry_processes[name])
        else:
            process.wait_listening(START_TIMEOUT)

    def set_link_mode(
        self,
        name: str,
        mode: str,
        *,
        direction: str = "both",
        delay_ms: int = 0,
        source: str = "",
    ) -> None:
        """Set the mode of a fault proxy link (see docs/PROTOCOLS.md)."""
        body = {
            "mode": mode,
            "direction": direction,
            "delay_ms": delay_ms,
            "source": source,
        }
        call_json(self._proxy_address, "POST", f"/links/{name}", body)

    def change_primary(
        self, group: str, name: str, *, without: Iterable[str] = ()
    ) -> int:
        """Make a member primary of a new term; return the start of the term.

        The targets in `without` are not contacted, as if unreachable. The
        platform's object is not updated; `write_group` does that.
        """
        members = [t for t in self.members(group) if t.name not in without]
        term = 1 + max(self.probe(t.name)["term"] for t in members)
        for target in members:
            call_json(target.listen, "POST", "/fence", {"term": term})
        chosen = self.targets[name]
        promoted = call_json(chosen.listen, "POST", "/promote", {"term": term})
        order = {"term": term, "primary": chosen.address}
        for target in members:
            if target.name != name:
                call_json(target.listen, "POST", "/follow", order)
        return int(promoted["start"])

    def write_group(self, group: str, primary: str) -> None:
        """Store a new term's primary and start in the platform's object."""
        value = self.object("group", group)["value"]
        state = self.probe(primary)
        value["term"] = state["term"]
        value["primary"] = primary
        start = {"term": state["term"], "index": state["start"]}
        value["starts"] = [*value["starts"], start]
        self.put_object("group", group, value)

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the platform stand-in's faults (see docs/PROTOCOLS.md)."""
        call_json(self._platform_address, "POST", "/faults", faults)

    def set_target(self, name: str, **settings: Any) -> None:
        """Change settings of a target stand-in, for example `apply_lag_ms`."""
        address = self.targets[name].listen
        call_json(address, "POST", "/settings", settings)

    # -- inspection

    def process(self, name: str) -> ManagedProcess:
        """Return the process of a VM, target or stand-in."""
        return self._processes[name]

    def entries(self) -> list[str]:
        """Return the addresses that callers connect to, one per VM."""
        return [vm.entry for vm in self.vms.values()]

    def members(self, group: str) -> list[FleetTarget]:
        """Return the targets of a group, in order."""
        return [t for t in self.targets.values() if t.group == group]

    def probe(self, name: str) -> dict[str, Any]:
        """Return a target's term, role and positions, asked directly."""
        return call_json(self.targets[name].listen, "GET", "/probe")

    def primary(self, group: str) -> str:
        """Return the name of the group's primary in the platform's object."""
        return str(self.object("group", group)["value"]["primary"])

    def replicas(self, group: str) -> list[str]:
        """Return the names of the group's other members."""
        primary = self.primary(group)
        return [t.name for t in self.members(group) if t.name != primary]

    def holders(self, group: str) -> list[str]:
        """Return the names of the VMs that hold a group."""
        vms = [
            Vm(
                name=vm.name,
                address=vm.peers,
                availability_zone=vm.zone,
                region=self.topology.region_of(vm.name),
            )
            for vm in self.vms.values()
        ]
        chosen = choose_holders(group, vms, HOLDERS_PER_GROUP)
        return [vm.name for vm in chosen]

    def not_holders(self, group: str) -> list[str]:
        """Return the names of the VMs that only forward for a group."""
        holders = self.holders(group)
        return [name for name in self.vms if name not in holders]

    def counters(self, name: str) -> dict[str, Any]:
        """Return the counters of a target, or those of `platform`."""
        if name == PLATFORM:
            address = self._platform_address
        else:
            address = self.targets[name].listen
        return call_json(address, "GET", "/counters")

    def object(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object of the platform, with its version."""
        path = f"/objects/{kind}/{name}"
        return call_json(self._platform_address, "GET", path)

    def put_object(self, kind: str, name: str, value: Any) -> int:
        """Overwrite an object of the platform; return its new version."""
        try:
            version = self.object(kind, name)["version"]
        except CallFailed:
            version = 0
        body = {"if_version": version, "value": value}
        path = f"/objects/{kind}/{name}"
        stored = call_json(self._platform_address, "PUT", path, body)
        return int(stored["version"])

    def query(
        self, target: str, sql: str, params: Iterable[Any] = ()
    ) -> list[list[Any]]:
        """Run a read directly at a target, without the proxy."""
        address = self.targets[target].listen
        host, port = address.rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        try:
            _post_json(conn, "/connect", {"id": 1, "holder": "checker"})
            body = {
                "id": 2,
                "term": 0,
                "kind": "read",
                "sql": sql,
                "params": list(params),
                "tx": None,
                "key": None,
                "caller": "checker",
                "min_index": 0,
                "deadline_ms": 5000,
            }
            answer = _post_json(conn, "/execute", body)
        finally:
            conn.close()
        if answer["outcome"] != "ok":
            raise CallFailed(f"{target}: {answer}")
        return list(answer["rows"])

    def tail(self, lines: int = 15) -> str:
        """Return the last log lines of each process, for a failed test."""
        parts = []
        for name, process in self._processes.items():
            text = process.tail(lines)
            parts.append(f"--- {name} (exit {process.exit_code})\n{text}")
        return "\n".join(parts)

    def publish_vms(
        self, leaving: Iterable[str] = (), *, without: Iterable[str] = ()
    ) -> None:
        """Publish the list of VMs; those in `without` are not listed."""
        leaving_names = set(leaving)
        omitted = set(without)
        vms = [
            {
                "name": vm.name,
                "address": vm.peers,
                "availability_zone": vm.zone,
                "region": self.topology.region_of(vm.name),
                "state": "leaving" if vm.name in leaving_names else "live",
            }
            for vm in self.vms.values()
            if vm.name not in omitted
        ]
        call_json(self._platform_address, "PUT", "/vms", {"vms": vms})

    # -- start-up steps

    def _allocate_addresses(self) -> None:
        for name, number in self._target_names():
            group = name.rsplit("-m", 1)[0]
            listen = self._ports.reserve()
            self.targets[name] = FleetTarget(
                name=name,
                group=group,
                zone=self.topology.zone(number),
                site=self._site(number),
                listen=listen,
                address=self._ports.reserve() if self.links else listen,
            )
        self._platform_address = self._ports.reserve()
        self._proxy_address = self._ports.reserve()
        for number in range(self._vm_count):
            vm = self._allocate_vm(number)
            self.vms[vm.name] = vm

    def _target_names(self) -> Iterable[tuple[str, int]]:
        for group in self.topology.groups:
            for number in range(self.topology.members):
                yield f"{group}-m{number + 1}", number

    def _site(self, number: int) -> str:
        return self.topology.sites[number % len(self.topology.sites)]

    def _allocate_vm(self, number: int) -> FleetVm:
        callers = self._ports.reserve()
        peers = self._ports.reserve()
        linked = self.links
        return FleetVm(
            name=f"vm-{number + 1}",
            zone=self.topology.zone(number),
            callers_listen=callers,
            peers_listen=peers,
            operators_listen=self._ports.reserve(),
            entry=self._ports.reserve() if linked else callers,
            peers=self._ports.reserve() if linked else peers,
            platform=(
                self._ports.reserve() if linked else self._platform_address
            ),
        )

    def _spawn(self, name: str, module: str, *args: str) -> ManagedProcess:
        env = dict(os.environ)
        root = str(pathlib.Path(__file__).resolve().parents[2])
        path = [root, env.get("PYTHONPATH", "")]
        env["PYTHONPATH"] = os.pathsep.join(part for part in path if part)
        env["PYTHONUNBUFFERED"] = "1"
        command = [module, *args]
        if name in self.topology.remote_names:
            command = [
                "bamboospring.testing.from_address",
                REMOTE_REGION_ADDRESS,
                *command,
            ]
        process = ManagedProcess(
            name=name,
            argv=[sys.executable, "-m", *command],
            log_path=self.directory / f"{name}.log",
            env=env,
        )
        self._processes[name] = process
        process.start()
        return process

    def _start_platform(self) -> None:
        process = self._spawn(
            PLATFORM,
            "bamboospring.testing.platform",
            "--listen",
            self._platform_address,
            "--vm-list-lag-ms",
            str(self.vm_list_lag_ms),
        )
        process.wait_listening(START_TIMEOUT)

    def _start_fault_proxy(self) -> None:
        if not self.links:
            return
        links = self._link_definitions()
        process = self._spawn(
            FAULT_PROXY,
            "bamboospring.testing.fault_proxy",
            "--listen",
            self._proxy_address,
        )
        process.wait_listening(START_TIMEOUT)
        for name, listen, upstream in links:
            body = {"name": name, "listen": listen, "upstream": upstream}
            call_json(self._proxy_address, "POST", "/links", body)

    def _link_definitions(self) -> list[tuple[str, str, str]]:
        links = [
            (f"target:{t.name}", t.address, t.listen)
            for t in self.targets.values()
        ]
        for vm in self.vms.values():
            links.append((f"entry:{vm.name}", vm.entry, vm.callers_listen))
            links.append((f"peers:{vm.name}", vm.peers, vm.peers_listen))
            links.append(
                (f"platform:{vm.name}", vm.platform, self._platform_address)
            )
        return links

    def _start_targets(self) -> None:
        schema = self.directory / "schema.sql"
        schema.write_text(self.topology.schema, encoding="utf-8")
        for target in self.targets.values():
            self._start_target(target, schema)
        for name in self.targets:
            self._processes[name].wait_listening(START_TIMEOUT)

    def _start_target(self, target: FleetTarget, schema: pathlib.Path) -> None:
        topology = self.topology
        data = self.directory / target.name
        data.mkdir()
        options = {
            "--name": target.name,
            "--listen": target.listen,
            "--directory": str(data),
            "--group": target.group,
            "--availability-zone": target.zone,
            "--site": target.site,
            "--slots": str(topology.slots),
            "--connections": str(topology.connections),
            "--connect-ms": str(topology.connect_ms),
            "--statement-ms": str(topology.statement_ms),
            "--apply-lag-ms": str(topology.apply_lag_ms),
            "--receive-lag-ms": str(topology.receive_lag_ms),
            "--schema": str(schema),
        }
        args = [text for pair in options.items() for text in pair]
        self._spawn(target.name, "bamboospring.testing.target", *args)

    def _promote_first_members(self) -> None:
        for group in self.topology.groups:
            first, *others = self.members(group)
            for target in (first, *others):
                call_json(target.listen, "POST", "/fence", {"term": 1})
            call_json(first.listen, "POST", "/promote", {"term": 1})
            order = {"term": 1, "primary": first.address}
            for target in others:
                call_json(target.listen, "POST", "/follow", order)

    def _write_groups(self) -> None:
        for group in self.topology.groups:
            members = self.members(group)
            value: dict[str, Any] = {
                "targets": [self._target_object(t) for t in members],
                "term": 0,
                "primary": "",
                "starts": [],
            }
            if self.bootstrap:
                start = self.probe(members[0].name)["start"]
                value["term"] = 1
                value["primary"] = members[0].name
                value["starts"] = [{"term": 1, "index": start}]
            self.put_object("group", group, value)

    def _target_object(self, target: FleetTarget) -> dict[str, Any]:
        return {
            "name": target.name,
            "address": self.map_address(target.address),
            "availability_zone": target.zone,
            "site": target.site,
            "slots": self.topology.slots,
            "connections": self.topology.connections,
        }

    def _write_table_rows(self) -> None:
        # Imported here because only fleets with table rows need the hash.
        if not self.table_rows:
            return
        from xxhash import xxh64_intdigest

        shards: dict[int, dict[str, Any]] = {}
        for group, row in self.table_rows.items():
            shard = xxh64_intdigest(group.encode()) % 16
            shards.setdefault(shard, {})[group] = {"group": group, **row}
        for shard, rows in shards.items():
            self.put_object("table", str(shard), {"rows": rows})

    def _start_vm(self, name: str) -> None:
        self._start_serve(name, self._vm_settings(self.vms[name]))

    def _start_serve(self, name: str, settings: dict[str, Any]) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        self._spawn(name, "bamboospring", "serve", "--settings", str(path))

    def _vm_settings(self, vm: FleetVm) -> dict[str, Any]:
        base: dict[str, Any] = {
            "vm": vm.name,
            "availability_zone": vm.zone,
            "region": self.topology.region_of(vm.name),
            "callers": {"listen": vm.callers_listen},
            "peers": {"listen": vm.peers_listen},
            "operators": {
                "listen": vm.operators_listen,
                "token": OPERATOR_TOKEN,
            },
            "platform": {"address": self.map_address(vm.platform)},
            "token_keys": TOKEN_KEYS,
        }
        return _merge_settings(base, self.settings)


def _exit_on_sigterm() -> None:
    """Turn SIGTERM into an ordinary exit, so that `atexit` handlers run.

    By default the signal ends this process immediately, and the processes of
    the fleet continue to run as orphans.
    """
    if threading.current_thread() is not threading.main_thread():
        return
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_CODE))


def _merge_settings(
    base: dict[str, Any], extra: dict[str, Any]
) -> dict[str, Any]:
    """Return `base` with the values of `extra` merged in recursively."""
    result = dict(base)
    for key, value in extra.items():
        old = result.get(key)
        if isinstance(old, dict) and isinstance(value, dict):
            result[key] = _merge_settings(old, value)
        else:
            result[key] = value
    return result


def _is_accepting(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=1.0):
        return True


def _is_serving(entry: str, group: str) -> bool:
    session = call_json(entry, "POST", "/v1/sessions", {"caller": "ready"})
    body = {
        "token": session["token"],
        "group": group,
        "kind": "read",
        "sql": "SELECT 1",
        "params": [],
        "deadline_ms": 2000,
    }
    answer = call_json(entry, "POST", "/v1/statements", body)
    return bool(answer["outcome"] == "done")


def _post_json(
    conn: http.client.HTTPConnection, path: str, body: dict[str, Any]
) -> dict[str, Any]:
    conn.request("POST", path, json.dumps(body))
    resp = conn.getresponse()
    answer: dict[str, Any] = json.loads(resp.read())
    return answer
