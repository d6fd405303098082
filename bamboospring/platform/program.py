"""Run a VM with the settings that the platform has rendered."""

from __future__ import annotations

import socket
import sys

from bamboospring.errors import BamboospringError
from bamboospring.errors import ListenError
from bamboospring import logs
from bamboospring.platform.outside import make_outside
from bamboospring.sessions.node import SessionNode
from bamboospring.sessions.settings import load

__all__ = ["main", "run"]

MISUSED = 2


def main(path: str, listening: socket.socket | None) -> int:
    """Serve until told to stop; returns the exit code."""
    try:
        run(path, listening)
    except BamboospringError as exc:
        print(f"bamboospring: {exc}", file=sys.stderr)
        return MISUSED
    return 0


def run(path: str, listening: socket.socket | None = None) -> None:
    """Serve with the settings in a file.

    `listening` takes connections at the address of callers already.
    """
    cfg = load(path)
    logs.configure_node(level=cfg.logs.level, vm=cfg.vm)
    try:
        node = SessionNode(cfg, make_outside(listening), path)
    except OSError as exc:
        raise ListenError(f"cannot listen: {exc}") from exc
    node.rotation.install()
    logs.log_event(
        "started",
        zone=cfg.availability_zone,
        callers=cfg.callers,
        readiness=cfg.readiness,
        platform=cfg.platform,
        listened_early=listening is not None,
    )
    node.start_work()
    node.run()
    logs.flush()
