"""Steps that run commands as a user does."""

from __future__ import annotations

import json
import os
from pathlib import Path
import re
import shlex
import socket
import subprocess
import sys
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when

ROOT = Path(__file__).resolve().parents[2]
COMMAND_TIMEOUT = 60.0
ANY_PORT = "127.0.0.1:0"


def run_command(
    text: str, **environment: str
) -> subprocess.CompletedProcess[str]:
    """Run a bamboospring command and return its result."""
    return subprocess.run(
        [sys.executable, "-m", "bamboospring", *shlex.split(text)],
        cwd=ROOT,
        env={**os.environ, "SHELL": "/bin/bash", **environment},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT,
        check=False,
    )


@when('the command "{text}" is run from bash')
def step_run_from_bash(context: Any, text: str) -> None:
    # typer looks for a shell among the parent processes. Start one, because
    # the tests may run without a shell.
    command = f"{shlex.quote(sys.executable)} -m bamboospring {text}; exit $?"
    context.done = subprocess.run(
        ["bash", "-c", command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT,
        check=False,
    )


@when('the command "{text}" is run')
def step_run(context: Any, text: str) -> None:
    context.done = run_command(text)


@given("settings whose operators' address is in use")
def step_address_in_use(context: Any) -> None:
    sock = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(sock.close)
    port = sock.getsockname()[1]
    _write_settings(context, operators_listen=f"127.0.0.1:{port}")


@given("settings whose certificate is missing")
def step_no_certificate(context: Any) -> None:
    missing = {"certificate": "missing.pem", "private_key": "missing.key"}
    _write_settings(context, callers={"listen": ANY_PORT, "tls": missing})


def _write_settings(
    context: Any, *, operators_listen: str = "127.0.0.1:0", **more: Any
) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = Path(folder.name) / "vm.json"
    settings = {
        "vm": "vm-1",
        "availability_zone": "zone-a",
        "callers": {"listen": ANY_PORT},
        "peers": {"listen": ANY_PORT},
        "operators": {"listen": operators_listen, "token": "x" * 16},
        "platform": {"address": "127.0.0.1:1"},
        "token_keys": [{"id": "k1", "secret": "0123456789abcdef"}],
    }
    context.settings_path.write_text(json.dumps({**settings, **more}))


@when('the command "serve" is run with these settings')
def step_serve(context: Any) -> None:
    context.done = run_command(f"serve --settings {context.settings_path}")


@then("it exits with {code:d}")
def step_code(context: Any, code: int) -> None:
    assert context.done.returncode == code, context.done


@then("its output contains {words}")
def step_output(context: Any, words: str) -> None:
    for word in re.split(r", | and ", words):
        assert word in context.done.stdout, (word, context.done)


@then('it prints the error "{text}"')
def step_error(context: Any, text: str) -> None:
    assert text in context.done.stderr, context.done
    assert "Traceback" not in context.done.stderr, context.done


@then("the help of each command exits with 0")
def step_each_help(context: Any) -> None:
    help_text = run_command("--help").stdout
    listed = help_text.partition("Commands:")[2]
    names = re.findall(r"^  ([a-z]+)  ", listed, re.MULTILINE)
    assert len(names) >= 10, names
    for name in names:
        done = run_command(f"{name} --help")
        assert done.returncode == 0, done
        assert "Usage: bamboospring" in done.stdout, done
