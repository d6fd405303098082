"""Steps for what a VM loads when it starts."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import then

from bamboospring.errors import SettingsError
from bamboospring.errors import SourceError
from bamboospring import json_source
from bamboospring.settings_base import Logs
from bamboospring.settings_base import parse_as

LOAD = """
import bamboospring.platform.__main__
import sys
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
    assert not found, f"loaded unnecessarily: {found}"


@then("each of these texts is read as by the full grammar")
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
