"""Steps for what a VM loads when it starts."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import threading
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.components import Component
from bamboospring.early_listener import listen_early
from bamboospring.errors import SettingsError
from bamboospring.errors import SourceError
from bamboospring import json_source
from bamboospring.platform.caller_lines import CallerServer
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import Worker
from bamboospring.settings_base import Logs
from bamboospring.settings_base import parse_as
from bamboospring.sockets import split_address

LOAD = """
import sys
import bamboospring.platform.program
print(" ".join(sys.modules))
"""


@then("the program of such a VM is loaded without any of these")
def step_not_loaded(context: Any) -> None:
    done = subprocess.run(
        [sys.executable, "-c", LOAD],
        capture_output=True,
        check=True,
        text=True,
    )
    loaded = set(done.stdout.split())
    assert "bamboospring.sessions.node" in loaded
    needless = [row["module"] for row in context.table]
    found = [name for name in needless if name in loaded]
    assert not found, f"loaded for nothing: {found}"


@then("each of these texts gives what the full grammar gives")
def step_same(context: Any) -> None:
    for row in context.table:
        text = row["text"].replace("\\n", "\n")
        assert _quickly(text) == _fully(text), text


def _quickly(text: str) -> Any:
    try:
        return parse_as(Logs, text, name="it")
    except SettingsError:
        return None


def _fully(text: str) -> Any:
    try:
        return Logs.model_validate(json_source.parse(text, name="it"))
    except ValueError:
        return None
    except SourceError:
        return None


@given("a settings file whose callers connect at a free port")
def step_file(context: Any) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        context.address = "127.0.0.1:%d" % probe.getsockname()[1]
    context.path = _write(f'// A VM.\n{{"callers": "{context.address}"}}')


@when("a VM listens early by it")
def step_listen(context: Any) -> None:
    context.listening = listen_early(context.path)
    assert context.listening is not None


@when('a caller connects and opens the database "d"')
def step_connect(context: Any) -> None:
    context.caller = socket.create_connection(
        split_address(context.address), timeout=2
    )
    context.caller.sendall(b"OPEN d me\r\n")


@when("the program is loaded and takes the listener over")
def step_adopt(context: Any) -> None:
    root = Component()
    reactor = Reactor().register(root)
    board = SessionBoard(vm="vm", availability_zone="z")
    context.server = CallerServer(
        reactor=reactor,
        address=context.address,
        admit=lambda database, held: None,
        make_session=lambda database, caller, channel: Session(
            caller=caller,
            database=database,
            reactor=reactor,
            board=board,
            worker=Worker(),
            channel=channel,
        ),
        listening=context.listening,
    )
    context.root, context.reactor = root, reactor


@then("the caller's session is open within 2 s")
def step_open(context: Any) -> None:
    result = {}

    def read() -> None:
        try:
            result["line"] = context.caller.recv(100)
        finally:
            context.root.stop()
            context.reactor.resume()

    reader = threading.Thread(target=read)
    reader.start()
    context.root.run()
    reader.join()
    context.caller.close()
    assert result["line"] == b"READY I -\r\n", result


@then("nothing listens early by each of these settings")
def step_no_listener(context: Any) -> None:
    for row in context.table:
        assert listen_early(_write(row["text"])) is None, row["text"]
    assert listen_early("/nowhere/vm.json") is None


def _write(text: str) -> str:
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as f:
        f.write(text)
    return f.name
