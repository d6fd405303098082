"""Steps for the settings of a process."""

from __future__ import annotations

import json
from pathlib import Path
import re
import socket
import subprocess
import sys
import tempfile
from typing import Any

from annotated_types import Ge
from annotated_types import Le
from behave import given
from behave import then
from configuration_support import start_fleet
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from bamboospring.errors import SettingsError
from bamboospring import settings
from bamboospring import settings_reference

ROOT = Path(__file__).resolve().parents[2]
SECTIONS = {
    "lease": settings.Lease,
    "limits": settings.Limits,
    "timing": settings.Timing,
}
TEXT = """{
  // The shortest valid settings of a VM.
  "vm": "vm-1", "availability_zone": "zone-a",
  "callers": {"listen": "127.0.0.1:8001"},
  "peers": {"listen": "127.0.0.1:9001"},
  "operators": {"listen": "127.0.0.1:9101", "token": "operators-token-1"},
  "platform": {"address": "127.0.0.1:7000"},
  "logs": {"level": "info"},
  "token_keys": [{"id": "k1", "secret": "0123456789abcdef"}],
}
"""


@given("a settings file")
def step_settings_file(context: Any) -> None:
    context.settings_text = TEXT


@given("line {line:d} of the settings is replaced by {text}")
def step_replace_line(context: Any, line: int, text: str) -> None:
    lines = context.settings_text.splitlines()
    lines[line - 1] = "  " + text
    context.settings_text = "\n".join(lines)


@then("the settings are valid")
def step_usable(context: Any) -> None:
    context.settings = settings.parse(context.settings_text)


@then("the settings have {section}.{key} of {value:d}")
def step_value(context: Any, section: str, key: str, value: int) -> None:
    found = getattr(getattr(context.settings, section), key)
    assert found == value, found


@then(
    "loading them fails at line {line:d}, column {column:d} "
    'with "{message}"'
)
def step_fails(context: Any, line: int, column: int, message: str) -> None:
    try:
        settings.parse(context.settings_text)
    except SettingsError as exc:
        errors = [exc, *exc.others]
    else:
        raise AssertionError("the settings were accepted")
    found = [(each.line, each.column, each.message) for each in errors]
    assert any(
        (at, place) == (line, column) and message in text
        for at, place, text in found
    ), found


@then('"bamboospring check" exits with 1 and reports errors in lines 4 and 8')
def step_check(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "vm.json"
        path.write_text(context.settings_text)
        command = [sys.executable, "-m", "bamboospring", "check", "--json"]
        done = subprocess.run(
            [*command, str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
    assert done.returncode == 1, done
    lines = [fault["line"] for fault in json.loads(done.stdout)]
    assert lines == [4, 8], done.stdout


@then("each whole number among the settings is held to its bounds")
def step_bounds(context: Any) -> None:
    fields = [
        (section, name, _bound(field, Ge, "ge"), _bound(field, Le, "le"))
        for section, model in SECTIONS.items()
        for name, field in model.model_fields.items()
        if field.annotation is int
    ]
    assert len(fields) > 12, fields

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @for_all(
        strategies.sampled_from(fields),
        strategies.integers(-(10**9), 10**9),
    )
    def holds(field: tuple[str, str, int, int], value: int) -> None:
        section, name, low, high = field
        text = TEXT.replace(
            '"logs": {"level": "info"}', f'"{section}": {{"{name}": {value}}}'
        )
        refused = f"{section}.{name}:" in _faults(text)
        assert refused == (not low <= value <= high), (field, value)

    holds()


def _faults(text: str) -> str:
    try:
        settings.parse(text)
    except SettingsError as exc:
        return "\n".join(each.message for each in (exc, *exc.others))
    return ""


def _bound(field: Any, kind: type, name: str) -> int:
    found = [each for each in field.metadata if isinstance(each, kind)]
    return int(getattr(found[0], name))


@then("the program reads every key of the settings")
def step_every_key_read(context: Any) -> None:
    sources = "\n".join(
        path.read_text()
        for path in (ROOT / "bamboospring").glob("*.py")
        if not path.name.startswith("settings")
    )
    unread = [
        f"{section}.{name}"
        for section, model in SECTIONS.items()
        for name in model.model_fields
        if not re.search(rf"\b(?:{section}|cfg)\.{name}\b", sources)
    ]
    assert not unread, unread


@then("docs/SETTINGS.md names every key with its default and bounds")
def step_reference(context: Any) -> None:
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    assert page == settings_reference.page()
    for model in SECTIONS.values():
        for name, field in model.model_fields.items():
            assert f"| `{name}` |" in page, name
            assert f"| `{json.dumps(field.default)}` |" in page, name


@given(
    "a VM that accepts heads of 2 KB and bodies of 3 KB within half a second"
)
def step_bounded(context: Any) -> None:
    bounds = {"request_head_bytes": 2048, "request_body_bytes": 3072}
    timing = {"request_timeout_ms": 500}
    start_fleet(context, vms=1, settings={"limits": bounds, "timing": timing})


def _session_request(head: int, body: int) -> bytes:
    """Return a session request with a head and body of about these sizes."""
    text = json.dumps({"caller": "c"}).ljust(body)
    lines = f"POST /v1/sessions HTTP/1.1\r\nContent-Length: {body}\r\nX: "
    return (lines.ljust(head, "x") + "\r\n\r\n" + text).encode()


def _status_of(context: Any, request: bytes, seconds: float) -> int:
    host, port = context.fleet.vms["vm-1"].callers_listen.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=seconds) as conn:
        conn.sendall(request)
        return int(conn.recv(4096).split()[1])


@then(
    "a request with a head of {head:d} and a body of {body:d} bytes gets "
    "status {status:d}"
)
def step_request(context: Any, head: int, body: int, status: int) -> None:
    found = _status_of(context, _session_request(head, body), 5)
    assert found == status, found


@then(
    "a request that stops in its body gets status {status:d} within "
    "{seconds:d} seconds"
)
def step_stopped(context: Any, status: int, seconds: int) -> None:
    found = _status_of(context, _session_request(100, 500)[:-50], seconds)
    assert found == status, found
