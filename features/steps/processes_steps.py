"""Steps of processes.feature."""

from __future__ import annotations

import collections
import http.client
import json
import socket
import threading
import time
from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from circuits import Event
from configuration_support import GROUP
from configuration_support import Operator
from configuration_support import start_fleet
import orjson
import psutil

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.entry_facts import EntryFacts
from bamboospring.entry_processes import REPORT_INTERVAL
from bamboospring.membership import Membership
from bamboospring.operator_client import OperatorClient
from bamboospring.operator_client import Unreachable
from bamboospring.peers import new_envelope
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.fleet import wait_until

INSERT = "INSERT INTO entries (id, body) VALUES (?, ?)"
SELECT = "SELECT body FROM entries WHERE id = ?"
SESSION_BODY = b'{"caller": "waiting"}'
SESSION_REQUEST = (
    b"POST /v1/sessions HTTP/1.1\r\nHost: vm-1\r\nContent-Length: "
    + str(len(SESSION_BODY)).encode()
    + b"\r\n\r\n"
    + SESSION_BODY
)
ENTRY_PROCESS = {
    "name": "vm-00-entry",
    "address": "127.0.0.1:99",
    "availability_zone": "zone-0",
}
ATTEMPTS = 24
WAIT_SECONDS = 20.0
SETTINGS: dict[str, Any] = {
    "callers": {"reuse_port": True},
    "timing": {"drain_notice_ms": 500, "drain_idle_ms": 1500},
}


def _operators(context: Any) -> OperatorClient:
    address = context.entry_process.operators_listen
    return OperatorClient(vms=(address,), token=OPERATOR_TOKEN)


def _status(context: Any) -> dict[str, Any]:
    found: dict[str, Any] = (
        _operators(context).call("GET", "/status.json").body
    )
    return found


def _caller(context: Any) -> Caller:
    """Return a caller of vm-1, which either of its processes may accept."""
    return Caller(entries=[context.fleet.vms["vm-1"].callers_listen])


def _fresh(caller: Caller) -> Caller:
    """Use a new connection, which either process may accept."""
    caller.close_connections_except([])
    return caller


class ConnectingLoad:
    """Callers of one VM, half of them with a new connection per request."""

    def __init__(self, fleet: Fleet, callers: int = 8) -> None:
        self.faults: list[str] = []
        self.done = 0
        self._entry = fleet.vms["vm-1"].callers_listen
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Finish the requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join(15)

    def _work(self, number: int) -> None:
        caller = Caller(entries=[self._entry], name=f"load-{number}")
        while not self._stop.wait(0.01):
            if number % 2:
                _fresh(caller)
            answer = caller.read(GROUP, "SELECT 1")
            self.done += answer.done
            if not answer.done:
                self.faults.append(
                    f"{answer.received_at} after {answer.elapsed:.2f} s: "
                    f"{answer.outcome} {answer.message}"
                )


@given("a fleet of {count:d} VMs whose processes may share addresses")
def given_fleet(context: Any, count: int) -> None:
    start_fleet(context, vms=count, settings=SETTINGS)


@when("an entry-only process is started beside vm-1")
def when_started(context: Any) -> None:
    context.entry_process = context.fleet.add_entry_process("vm-1")
    context.edits = 0
    context.watch = VersionWatch(context)
    context.add_cleanup(context.watch.stop)


@then("sessions that go from process to process read what they wrote")
def then_own_writes(context: Any) -> None:
    caller = _caller(context)
    for number in range(ATTEMPTS):
        written = _fresh(caller).write(GROUP, INSERT, [number, f"b{number}"])
        assert written.done, written
        found = _fresh(caller).read(GROUP, SELECT, [number])
        assert found.rows == ((f"b{number}",),), found


@then("transactions that go from process to process are committed")
def then_transactions(context: Any) -> None:
    caller = _caller(context)
    for number in range(ATTEMPTS, 2 * ATTEMPTS):
        begun = _fresh(caller).begin(GROUP)
        assert begun.done, begun
        run = _fresh(caller).statement(
            GROUP, begun.transaction, INSERT, [number, "t"]
        )
        assert run.done, run
        ended = _fresh(caller).commit(GROUP, run.transaction)
        assert ended.done, ended
        found = _fresh(caller).read(GROUP, SELECT, [number])
        assert found.rows == (("t",),), found


@then("both processes of vm-1 have answered callers")
def then_both(context: Any) -> None:
    main = Operator(fleet=context.fleet, vm="vm-1").call("GET", "/status.json")
    for status in (main, _status(context)):
        assert status["counts"][GROUP], status


@then("no VM takes the entry-only process for one of the fleet")
def then_not_listed(context: Any) -> None:
    name = context.entry_process.name
    for vm in context.fleet.vms:
        status = Operator(fleet=context.fleet, vm=vm).call(
            "GET", "/status.json"
        )
        assert status["vms_seen"] == len(context.fleet.vms), status
        for group in status["groups"].values():
            assert name not in group["holders"], group
    own = _status(context)
    assert own["leases"] == [] and own["groups"] == {}, own


@then("the entry-only process has connections only to peers")
def then_only_peers(context: Any) -> None:
    fleet = context.fleet
    process = fleet.process(context.entry_process.name)
    peers = {vm.peers for vm in fleet.vms.values()}
    listening = {
        context.entry_process.peers_listen,
        context.entry_process.operators_listen,
        context.entry_process.callers_listen,
    }
    seen = 0
    for conn in psutil.Process(process.pid).net_connections("tcp"):
        local = f"{conn.laddr.ip}:{conn.laddr.port}"
        if conn.raddr and local not in listening:
            seen += 1
            assert f"{conn.raddr.ip}:{conn.raddr.port}" in peers, conn
    assert seen > 0, "no connection was seen at all"


# Edits


@step("an edit is made at vm-2")
def when_edited(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-2")
    context.edits += 1
    operator.edit_accepted(GROUP, max_staleness_ms=1000 + context.edits)
    shards = operator.in_force()["shards"]
    context.version = shards[str(shard_of(GROUP))]


@then("the edit is in force at the entry-only process")
def then_in_force(context: Any) -> None:
    shard = str(shard_of(GROUP))
    wait_until(
        lambda: context.watch.shards.get(shard, 0) >= context.version,
        seconds=WAIT_SECONDS,
        what="the edit in force at the entry-only process",
    )


class VersionWatch:
    """Reads the versions in force at a process and records decreases."""

    def __init__(self, context: Any) -> None:
        self.decreases: list[str] = []
        self.shards: dict[str, int] = {}
        self.samples = 0
        self._context = context
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self._stop.set()
        self._thread.join(5)

    def _run(self) -> None:
        while not self._stop.wait(0.01):
            try:
                found = _status(self._context)["shards"]
            except Unreachable:
                continue
            self.samples += 1
            for shard, before in self.shards.items():
                if found.get(shard, 0) < before:
                    self.decreases.append(f"{shard}: {before} to {found}")
            self.shards = found


@when("the main process of vm-1 is frozen")
def when_main_frozen(context: Any) -> None:
    context.fleet.freeze("vm-1")
    # Otherwise the platform's answer with the next edit would wait for it.
    context.fleet.set_link_mode("platform:vm-1", "cut")


@when("the main process of vm-1 resumes, cut off, with the older version")
def when_main_thawed(context: Any) -> None:
    for link in ("peers:vm-2", "peers:vm-3"):
        context.fleet.set_link_mode(link, "cut")
    context.fleet.thaw("vm-1")
    # Long enough for the entry-only process to compare with it again.
    time.sleep(3 * REPORT_INTERVAL)
    older = _main_status(context)["shards"][str(shard_of(GROUP))]
    assert older < context.version, (older, context.version)
    for link in ("platform:vm-1", "peers:vm-2", "peers:vm-3"):
        context.fleet.set_link_mode(link, "pass")
    _wait_main_knows(context)


@when("the main process of vm-1 is started again")
def when_main_restarted(context: Any) -> None:
    context.fleet.restart("vm-1")
    _wait_main_knows(context)


def _wait_main_knows(context: Any) -> None:
    """Wait until the main process has the newest edit, and a report later."""
    shard = str(shard_of(GROUP))
    wait_until(
        lambda: _main_status(context)["shards"][shard] >= context.version,
        seconds=WAIT_SECONDS,
        what="the edit in force at the main process",
    )
    time.sleep(REPORT_INTERVAL)


@then("no version ever decreased at the entry-only process")
def then_never_decreased(context: Any) -> None:
    context.watch.stop()
    assert context.watch.decreases == [], context.watch.decreases[:5]
    assert context.watch.samples > 100, context.watch.samples


# Crashes and shutdowns


@step("the main process of vm-1 is killed")
def when_main_killed(context: Any) -> None:
    context.fleet.kill("vm-1")


@when("a second entry-only process is started that knows no other VM")
def when_second_started(context: Any) -> None:
    second = context.fleet.add_entry_process("vm-1", 2, wait=False)
    wait_until(
        lambda: call_json(second.operators_listen, "GET", "/healthz"),
        seconds=WAIT_SECONDS,
        what="the second process to run",
    )


@then("new callers of vm-1 are served without it")
def then_served(context: Any) -> None:
    caller = _caller(context)
    # The dead process may still be tried first for a while.
    wait_until(
        lambda: _fresh(caller).write(GROUP, INSERT, [900, "x"]).done,
        seconds=WAIT_SECONDS,
        what="a write through the entry-only process",
    )
    for number in range(ATTEMPTS):
        written = _fresh(caller).write(GROUP, INSERT, [901 + number, "y"])
        assert written.done, written
        found = caller.read(GROUP, SELECT, [901 + number])
        assert found.rows == (("y",),), found


@when("the main process of vm-1 is started again under load")
def when_main_returns(context: Any) -> None:
    context.load = ConnectingLoad(context.fleet)
    context.add_cleanup(context.load.stop)
    time.sleep(0.5)
    context.fleet.restart("vm-1")
    wait_until(
        lambda: _main_counts(context),
        seconds=WAIT_SECONDS,
        what="the main process to answer callers",
    )


def _main_counts(context: Any) -> Any:
    return _main_status(context)["counts"].get(GROUP)


def _main_status(context: Any) -> dict[str, Any]:
    address = context.fleet.vms["vm-1"].operators_listen
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    found: dict[str, Any] = call_json(
        address, "GET", "/status.json", headers=headers
    )
    return found


@then("no request of vm-1's callers was refused or cut")
def then_not_cut(context: Any) -> None:
    time.sleep(0.5)
    context.load.stop()
    assert context.load.faults == [], context.load.faults[:10]
    assert context.load.done > 100, context.load.done


@when("it gets SIGTERM and is started again under load")
def when_shut_down(context: Any) -> None:
    fleet, name = context.fleet, context.entry_process.name
    context.load = ConnectingLoad(fleet)
    context.add_cleanup(context.load.stop)
    time.sleep(0.5)
    process = fleet.process(name)
    fleet.terminate(name)
    wait_until(
        lambda: not process.running,
        seconds=WAIT_SECONDS,
        what=f"{name} to end",
    )
    context.exit_code = process.exit_code
    fleet.restart(name)
    wait_until(
        lambda: _status(context)["counts"].get(GROUP),
        seconds=WAIT_SECONDS,
        what=f"{name} to answer callers",
    )


@then("it has ended by itself with exit code 0")
def then_ended(context: Any) -> None:
    assert context.exit_code == 0, context.exit_code


@when("it gets SIGTERM and is frozen while {count:d} callers of vm-1 connect")
def when_frozen(context: Any, count: int) -> None:
    fleet, name = context.fleet, context.entry_process.name
    host, port = context.entry_process.callers_listen.rsplit(":", 1)
    fleet.terminate(name)
    wait_until(
        lambda: _status(context)["draining"],
        seconds=WAIT_SECONDS,
        what=f"{name} to drain",
    )
    fleet.freeze(name)
    context.conns = []
    for _ in range(count):
        conn = socket.create_connection(
            (host, int(port)), timeout=WAIT_SECONDS
        )
        conn.sendall(SESSION_REQUEST)
        context.conns.append(conn)
    # After the notice period, the process closes its listener first.
    time.sleep(SETTINGS["timing"]["drain_notice_ms"] / 1000)
    fleet.thaw(name)


@then("all of them get an answer once it resumes")
def then_all_answered(context: Any) -> None:
    answers = [_first_line(conn) for conn in context.conns]
    assert set(answers) == {b"HTTP/1.1 200 OK"}, collections.Counter(answers)
    process = context.fleet.process(context.entry_process.name)
    wait_until(
        lambda: process.exit_code == 0, seconds=WAIT_SECONDS, what="a good end"
    )


def _first_line(conn: socket.socket) -> bytes:
    try:
        return conn.recv(1000).split(b"\r\n")[0]
    except OSError as exc:
        return repr(exc).encode()
    finally:
        conn.close()


# Operators


def _line(context: Any, state: str) -> Any:
    """Return the process's entries if the fleet shows it in a state."""
    found = Operator(fleet=context.fleet, vm="vm-2").call("GET", "/fleet.json")
    name = context.entry_process.name
    statuses = [each for each in found["vms"] if each["vm"] == name]
    silent = [each for each in found["silent"] if each["vm"] == name]
    assert len(statuses) + len(silent) <= 1, found
    return statuses if state == "ready" else silent


@then("the status of any VM shows the entry-only process as {state}")
def then_shown(context: Any, state: str) -> None:
    found = wait_until(
        lambda: _line(context, state),
        seconds=WAIT_SECONDS,
        what=f"{state} in status",
    )
    if state == "ready":
        assert found[0]["entry_of"] == "vm-1", found
        assert found[0]["process"]["memory_bytes"] > 0, found


@then("its own readiness and metrics can be read")
def then_own_pages(context: Any) -> None:
    address = context.entry_process.operators_listen
    assert call_json(address, "GET", "/readyz")["ready"] is True
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    conn.request("GET", "/metrics", headers=headers)
    text = conn.getresponse().read().decode()
    conn.close()
    assert "bamboospring_caller_connections" in text, text[:500]
    assert context.entry_process.name in text, text[:500]


@then("an edit sent to it names vm-1")
def then_edit_refused(context: Any) -> None:
    host, port = context.entry_process.operators_listen.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {
        "Authorization": f"Bearer {OPERATOR_TOKEN}",
        "Content-Type": "application/json",
    }
    conn.request("POST", "/table/edits", "{}", headers)
    answer = conn.getresponse()
    body = json.loads(answer.read())
    conn.close()
    assert answer.status == 421 and "vm-1" in body["error"], body


@when("the entry-only process is killed")
def when_killed(context: Any) -> None:
    context.fleet.kill(context.entry_process.name)


class MainPeers:
    """Answers an entry-only process like its main process."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def add_handler(self, _kind: str, _handler: Any) -> None:
        pass

    def send(self, _address: str, _message: Any) -> None:
        pass

    def ask(
        self, _address: str, message: Any, _timeout: float, on_answer: Any
    ) -> None:
        if message.which() != "groupFact":
            return
        body = {"names": self.names, "complete": True}
        answer = new_envelope()
        answer.init("groupFact").record = orjson.dumps(body)
        on_answer(answer)


class Clock:
    """A reactor that runs callbacks with a delay below 0.1 s at once."""

    def now(self) -> float:
        return 0.0

    def call_later(self, seconds: float, callback: Any) -> None:
        if seconds < 0.1:
            callback()


@given("an entry-only process with {count:d} VMs on its list")
def given_entry_facts(context: Any, count: int) -> None:
    context.listed = [
        Vm(
            name=f"vm-{number:02d}",
            address=f"127.0.0.1:{number + 1}",
            availability_zone=f"zone-{number % 3}",
        )
        for number in range(count)
    ]
    context.peers = MainPeers()
    context.placement = Placement(context.listed)
    context.facts = EntryFacts(
        reactor=Clock(),  # type: ignore[arg-type]
        board=Blackboard(local_vm=Vm(**ENTRY_PROCESS)),
        placement=context.placement,
        peers=context.peers,  # type: ignore[arg-type]
        membership=Membership(),
        main=context.listed[0],
    )


@when("its main process names {count:d} groups")
def when_named(context: Any, count: int) -> None:
    context.peers.names = [f"ledger-{number}" for number in range(count)]
    context.facts.fire(Event.create("started"))
    context.facts.flush()


@then("it asks for each group at the holders that the VMs choose")
def then_same_holders(context: Any) -> None:
    names = context.peers.names
    expected = Placement(context.listed, names)
    unbalanced = Placement(context.listed)
    moved = [n for n in names if expected.holders(n) != unbalanced.holders(n)]
    assert moved, "balancing moved no group"
    for name in names:
        assert context.placement.holders(name) == expected.holders(name), name
