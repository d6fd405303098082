"""Steps for the operators' listener, status, keys, logs and TLS."""

from __future__ import annotations

import base64
import dataclasses
from functools import partial
import http.client
import json
import os
from pathlib import Path
import re
import signal
import socket
import ssl
from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from command_line_steps import run_command
from fleet_support import GROUP
from fleet_support import SCHEMA

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.fleet import TOKEN_KEYS
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.topology import SMALL

TLS_DIRECTORY = Path(__file__).resolve().parents[1] / "data" / "tls"
NEW_TOKEN = "the-operators-next-token"
NEW_KEY = {"id": "k2", "secret": "secret-of-the-test-fleet-0002"}
WAIT_SECONDS = 20.0
READ = "SELECT count(*) FROM entries"
WRITE = "INSERT INTO entries (body) VALUES ('x')"


def _start_fleet(
    context: Any,
    settings: dict[str, Any],
    *,
    vms: int = 3,
    serving: bool = True,
) -> None:
    topology = dataclasses.replace(SMALL, schema=SCHEMA)
    fleet = Fleet(topology=topology, settings=settings, vms=vms)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    if serving:
        fleet.wait_serving()
    context.token = OPERATOR_TOKEN
    context.vm = next(iter(fleet.vms.values()))


@given("a small fleet for operators")
def step_fleet(context: Any) -> None:
    _start_fleet(context, {})


@given("a small fleet for operators under TLS")
def step_tls_fleet(context: Any) -> None:
    _start_fleet(context, {"peers": {"tls": _tls_settings("vm")}})


def _tls_settings(name: str) -> dict[str, str]:
    return {
        "certificate": str(TLS_DIRECTORY / f"{name}.pem"),
        "private_key": str(TLS_DIRECTORY / f"{name}.key"),
        "authority": str(TLS_DIRECTORY / "authority.pem"),
    }


def _request(
    context: Any,
    path: str,
    *,
    method: str = "GET",
    body: str | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, str]:
    host, port = context.vm.operators_listen.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        conn.request(method, path, body, headers or {})
        resp = conn.getresponse()
        return resp.status, resp.read().decode()
    finally:
        conn.close()


def _bearer_header(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


def _run_command(context: Any, text: str) -> Any:
    return run_command(
        text,
        BAMBOOSPRING_VM=context.vm.operators_listen,
        BAMBOOSPRING_TOKEN=context.token,
    )


@then("/healthz and /readyz answer without a token")
def step_public_paths(context: Any) -> None:
    assert _request(context, "/healthz")[0] == 200
    wait_until(
        lambda: _request(context, "/readyz")[0] == 200,
        seconds=WAIT_SECONDS,
        what="the VM to be ready",
    )


@then("{paths} refuse a wrong token")
def step_wrong_token(context: Any, paths: str) -> None:
    for path in paths.replace(" and ", ", ").split(", "):
        for headers in ({}, _bearer_header("wrong"), _bearer_header("")):
            status, _ = _request(context, path, headers=headers)
            assert status == 401, (path, headers, status)
        assert (
            _request(context, path, headers=_bearer_header(context.token))[0]
            == 200
        )


@then("a browser's sign-in with the token opens /status")
def step_browser(context: Any) -> None:
    status, page = _request(
        context, "/status", headers=_basic_header(context.token)
    )
    assert status == 200 and GROUP in page, page


def _basic_header(token: str) -> dict[str, str]:
    pair = base64.b64encode(f"me:{token}".encode()).decode()
    return {"Authorization": f"Basic {pair}"}


@then("a form of another site changes nothing")
def step_form(context: Any) -> None:
    path = f"/groups/{GROUP}/primary"
    headers = {**_basic_header(context.token), "Content-Type": "text/plain"}
    status, _ = _request(
        context, path, method="POST", body='{"target": ""}', headers=headers
    )
    assert status == 415, status


@when("a caller does {writes:d} writes and {reads:d} reads through one entry")
def step_run_statements(context: Any, writes: int, reads: int) -> None:
    metrics = _read_metrics(context)
    context.before = {
        kind: metrics.get(
            f'bamboospring_{kind}_total{{db_namespace="{GROUP}"}}', 0
        )
        for kind in ("reads", "writes")
    }
    _run_statements(context.vm.entry, writes, reads)


def _run_statements(entry: str, writes: int, reads: int) -> None:
    caller = Caller(entries=[entry])
    answers = [caller.write(GROUP, WRITE) for _ in range(writes)]
    answers += [caller.read(GROUP, READ) for _ in range(reads)]
    assert all(answer.done for answer in answers), answers


@step(
    "a caller does {writes:d} writes and {reads:d} reads through every entry"
)
def step_run_statements_everywhere(
    context: Any, writes: int, reads: int
) -> None:
    for entry in context.fleet.entries():
        _run_statements(entry, writes, reads)


@when("a caller asks that entry for {number:d} groups that do not exist")
def step_unknown_groups(context: Any, number: int) -> None:
    caller = Caller(entries=[context.vm.entry])
    for each in range(number):
        answer = caller.read(f"strange-{each}", READ)
        assert answer.outcome == "not_run", answer


def _read_metrics(context: Any) -> dict[str, float]:
    _, text = _request(
        context, "/metrics", headers=_bearer_header(context.token)
    )
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    pairs = [line.rpartition(" ") for line in lines]
    return {name: float(value) for name, _, value in pairs}


@then("that entry's metrics show {writes:d} writes and {reads:d} reads")
def step_counted(context: Any, writes: int, reads: int) -> None:
    metrics = _read_metrics(context)
    for kind, number in (("writes", writes), ("reads", reads)):
        name = f'bamboospring_{kind}_total{{db_namespace="{GROUP}"}}'
        grown = metrics[name] - context.before[kind]
        assert grown == number, (name, grown)


@then("no group that does not exist has a series of its own")
def step_bounded(context: Any) -> None:
    assert not [name for name in _read_metrics(context) if "strange" in name]
    # Counts of unknown groups would also stay in memory forever.
    _, text = _request(
        context, "/status.json", headers=_bearer_header(context.token)
    )
    assert "strange" not in text, text


@then('"bamboospring status" soon ends with 0')
def step_status_healthy(context: Any) -> None:
    wait_until(
        lambda: _run_command(context, "status").returncode == 0,
        seconds=WAIT_SECONDS,
        what="a fleet that needs no attention",
    )


@when("one VM of the fleet is killed")
def step_kill(context: Any) -> None:
    context.lost = list(context.fleet.vms)[-1]
    context.fleet.kill(context.lost)


@then('"bamboospring status" ends with 1 and names it silent')
def step_status_silent(context: Any) -> None:
    done = _run_command(context, "status")
    assert done.returncode == 1, done
    line = next(
        each
        for each in done.stdout.splitlines()
        if each.startswith(context.lost)
    )
    assert "silent" in line, done.stdout


@when("the operator orders another primary")
def step_order(context: Any) -> None:
    done = _run_command(context, f"primary {GROUP} --target {GROUP}-m2")
    assert done.returncode == 0, done


@then('"bamboospring status" soon shows it at term 2')
def step_primary_moved(context: Any) -> None:
    def moved() -> bool:
        done = _run_command(context, "status --json")
        groups = [
            vm["groups"][GROUP]
            for vm in json.loads(done.stdout)["vms"]
            if GROUP in vm["groups"]
        ]
        return bool(groups) and all(
            (each["primary"], each["term"]) == (f"{GROUP}-m2", 2)
            for each in groups
        )

    wait_until(moved, seconds=WAIT_SECONDS, what="the primary to move")


# Keys.


@given("a caller with a session")
def step_session(context: Any) -> None:
    context.caller = Caller(entries=context.fleet.entries())
    answer = context.caller.write(GROUP, WRITE)
    assert answer.done, answer


def _change_settings(context: Any, changes: dict[str, Any]) -> None:
    """Write new settings files and make all VMs read them."""
    for name in context.fleet.vms:
        path = context.fleet.directory / f"{name}.json"
        data = json.loads(path.read_text())
        for key, value in changes.items():
            if isinstance(value, dict):
                data[key] = {**data.get(key, {}), **value}
            else:
                data[key] = value
        path.write_text(json.dumps(data))
        os.kill(context.fleet.process(name).pid, signal.SIGHUP)


@when("the fleet's token keys and operators' token are replaced on SIGHUP")
def step_replace(context: Any) -> None:
    _change_settings(
        context,
        {
            "token_keys": [NEW_KEY, *TOKEN_KEYS],
            "operators": {"token": NEW_TOKEN},
        },
    )
    context.token = NEW_TOKEN


@then("the old operators' token is refused and the new one taken")
def step_new_token(context: Any) -> None:
    def status(token: str) -> int:
        return _request(
            context, "/status.json", headers=_bearer_header(token)
        )[0]

    wait_until(
        lambda: status(NEW_TOKEN) == 200,
        seconds=WAIT_SECONDS,
        what="the new token",
    )
    assert status(OPERATOR_TOKEN) == 401


@then("the caller's session goes on, signed with the new key")
def step_session_goes_on(context: Any) -> None:
    answer = context.caller.write(GROUP, WRITE)
    assert answer.done, answer
    token = answer.token
    raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    assert NEW_KEY["id"].encode() in raw, raw


@when("the settings file is broken and read again")
def step_invalid_settings(context: Any) -> None:
    _change_settings(context, {"token_keys": [], "operators": {"token": ""}})


@then("the new operators' token is still taken")
def step_token_unchanged(context: Any) -> None:
    name = context.vm.name
    wait_until(
        lambda: "settings_refused" in context.fleet.process(name).tail(200),
        seconds=WAIT_SECONDS,
        what="the broken file to be refused",
    )
    status, _ = _request(
        context, "/status.json", headers=_bearer_header(NEW_TOKEN)
    )
    assert status == 200, status


# Logs.


@given("a fleet with one VM that holds nothing")
def step_fleet_with_spare_vm(context: Any) -> None:
    _start_fleet(context, {}, vms=4)


@when("its logs are set to debug on SIGHUP")
def step_debug(context: Any) -> None:
    _change_settings(context, {"logs": {"level": "debug"}})
    for name in context.fleet.vms:
        wait_until(
            partial(_has_applied_settings, context, name),
            seconds=WAIT_SECONDS,
            what="the level to be taken",
        )


def _has_applied_settings(context: Any, name: str) -> bool:
    return "settings_taken" in _read_log(context, name)


def _read_log(context: Any, name: str) -> str:
    return str(context.fleet.process(name).tail(500))


@when("a write goes through an entry that does not hold its group")
def step_forwarded_write(context: Any) -> None:
    context.entry = context.fleet.not_holders(GROUP)[0]
    _run_statements(context.fleet.vms[context.entry].entry, 1, 0)


@then("the entry and one holder log it under the same correlation id")
def step_same_trace(context: Any) -> None:
    # The answer may arrive before its log line is written.
    line = wait_until(
        lambda: _find_answered_line(context),
        seconds=5,
        what="the entry's line",
    )
    trace = re.search(r" trace=(\S+) ", line)
    assert trace is not None, line
    done = wait_until(
        lambda: _holders_that_ran(context, trace[1]),
        seconds=5,
        what="a holder's line",
    )
    assert len(done) == 1, (line, done)


def _find_answered_line(context: Any) -> str:
    for each in _read_log(context, context.entry).splitlines():
        if " event=answered " in each and " kind=write " in each:
            return each
    return ""


def _holders_that_ran(context: Any, trace: str) -> list[str]:
    """Return the holders that ran the statement.

    A holder that did not run it logs it too, and the entry tries the next.
    """
    return [
        name
        for name in context.fleet.holders(GROUP)
        for each in _read_log(context, name).splitlines()
        if f" event=ran vm={name} trace={trace} group={GROUP} " in each
        and " outcome=done " in each
    ]


# TLS.


def _handshake(context: Any, name: str | None) -> bytes:
    """Connect as `name`; return the server's certificate, or raise."""
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls.check_hostname = False
    tls.load_verify_locations(TLS_DIRECTORY / "authority.pem")
    if name is not None:
        tls.load_cert_chain(
            TLS_DIRECTORY / f"{name}.pem", TLS_DIRECTORY / f"{name}.key"
        )
    host, port = context.vm.peers.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        with tls.wrap_socket(sock) as conn:
            # With TLS 1.3 a refusal of the client's certificate is reported
            # only by the first read.
            conn.settimeout(1.0)
            try:
                if conn.recv(1) == b"":
                    raise ConnectionResetError("closed")
            except TimeoutError:
                pass
            shown = conn.getpeercert(binary_form=True)
            assert shown is not None
            return shown


@then(
    "a stranger without the fleet's authority is refused by "
    "the peers' listener"
)
def step_untrusted_certificate(context: Any) -> None:
    assert _handshake(context, "vm")
    for name in ("foreign", None):
        try:
            _handshake(context, name)
        except OSError:
            continue
        raise AssertionError(f"{name} was accepted")


@then("plain text is refused by the peers' listener")
def step_plain_text_refused(context: Any) -> None:
    host, port = context.vm.peers.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(b"\x08\x00\x00\x00not tls!" * 8)
        try:
            while sock.recv(4096):
                pass
        except ConnectionResetError:
            pass


@when("the keys are replaced by new ones on SIGHUP")
def step_replace_keys(context: Any) -> None:
    context.old = _handshake(context, "vm")
    _change_settings(context, {"peers": {"tls": _tls_settings("vm-next")}})


@then("the peers' listener shows the new certificate")
def step_new_certificate(context: Any) -> None:
    wait_until(
        lambda: _handshake(context, "vm") != context.old,
        seconds=WAIT_SECONDS,
        what="the new certificate",
    )


@given("a small fleet whose callers and operators use TLS")
def step_tls_listeners(context: Any) -> None:
    keys = {
        "certificate": str(TLS_DIRECTORY / "vm.pem"),
        "private_key": str(TLS_DIRECTORY / "vm.key"),
    }
    settings = {"callers": {"tls": keys}, "operators": {"tls": keys}}
    _start_fleet(context, settings, serving=False)


def _post_over_tls(
    context: Any, path: str, body: dict[str, Any]
) -> dict[str, Any]:
    host, port = context.vm.entry.rsplit(":", 1)
    tls = ssl.create_default_context(
        cafile=str(TLS_DIRECTORY / "authority.pem")
    )
    conn = http.client.HTTPSConnection(
        host, int(port), timeout=10, context=tls
    )
    try:
        conn.request("POST", path, json.dumps(body))
        answer: dict[str, Any] = json.loads(conn.getresponse().read())
        return answer
    finally:
        conn.close()


@then("a caller under TLS soon gets a read done")
def step_tls_read(context: Any) -> None:
    def done() -> bool:
        session = _post_over_tls(context, "/v1/sessions", {"caller": "tls"})
        body = {
            "token": session["token"],
            "group": GROUP,
            "kind": "read",
            "sql": READ,
            "params": [],
        }
        answer = _post_over_tls(context, "/v1/statements", body)
        return bool(answer["outcome"] == "done")

    wait_until(done, seconds=WAIT_SECONDS, what="a read under TLS")


@then("a caller in plain text gets no answer")
def step_plain_caller(context: Any) -> None:
    try:
        token = Caller(entries=[context.vm.entry]).open()
    except ConnectionError:
        return
    raise AssertionError(f"the caller got a session: {token}")


@then(
    '"bamboospring status" with the authority\'s certificate soon ends with 0'
)
def step_tls_status(context: Any) -> None:
    command = f"status --authority {TLS_DIRECTORY / 'authority.pem'}"
    wait_until(
        lambda: _run_command(context, command).returncode == 0,
        seconds=WAIT_SECONDS,
        what="the fleet's status under TLS",
    )


@then('without it "bamboospring status" ends with 3')
def step_no_authority(context: Any) -> None:
    done = _run_command(context, "status")
    assert done.returncode == 3, done
