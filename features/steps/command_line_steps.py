"""Steps that run the command line as a user does."""

from __future__ import annotations

import os
from pathlib import Path
import re
import shlex
import subprocess
import sys
from typing import Any

from behave import then
from behave import when

ROOT = Path(__file__).resolve().parents[2]
COMMAND_SECONDS = 60.0


def run_command(
    text: str, **environment: str
) -> subprocess.CompletedProcess[str]:
    """Run a bamboospring command and return what came of it."""
    return subprocess.run(
        [sys.executable, "-m", "bamboospring", *shlex.split(text)],
        cwd=ROOT,
        env={**os.environ, "SHELL": "/bin/bash", **environment},
        capture_output=True,
        text=True,
        timeout=COMMAND_SECONDS,
        check=False,
    )


@when('the command "{text}" is run')
def step_run(context: Any, text: str) -> None:
    context.done = run_command(text)


@then("it ends with {code:d}")
def step_code(context: Any, code: int) -> None:
    assert context.done.returncode == code, context.done


@then("its output names {words}")
def step_output(context: Any, words: str) -> None:
    for word in re.split(r", | and ", words):
        assert word in context.done.stdout, (word, context.done)


@then('it complains of "{text}"')
def step_complaint(context: Any, text: str) -> None:
    assert text in context.done.stderr, context.done
    assert "Traceback" not in context.done.stderr, context.done


@then("each command has help that ends with 0")
def step_each_help(context: Any) -> None:
    story = run_command("--help").stdout
    listed = story.partition("Commands:")[2]
    names = re.findall(r"^  ([a-z]+)  ", listed, re.MULTILINE)
    assert len(names) >= 10, names
    for name in names:
        done = run_command(f"{name} --help")
        assert done.returncode == 0, done
        assert "Usage: bamboospring" in done.stdout, done
