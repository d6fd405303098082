"""Start a VM with the settings that the platform has rendered."""

from __future__ import annotations

import os
import sys

from bamboospring.errors import BamboospringError
from bamboospring.errors import ListenError
from bamboospring import logs
from bamboospring.platform.adapters import make_adapters
from bamboospring.sessions.node import SessionNode
from bamboospring.sessions.settings import load

__all__ = ["main"]

# Where the platform says where the settings are.
VARIABLE = "BAMBOOSPRING_SETTINGS"
MISUSED = 2


def main() -> int:
    """Serve until told to stop; returns the exit code."""
    try:
        run(os.environ.get(VARIABLE, ""))
    except BamboospringError as exc:
        print(f"bamboospring: {exc}", file=sys.stderr)
        return MISUSED
    return 0


def run(path: str) -> None:
    """Serve with the settings in a file."""
    cfg = load(path)
    logs.configure_node(level=cfg.logs.level, vm=cfg.vm)
    try:
        node = SessionNode(cfg, make_adapters(), path)
    except OSError as exc:
        raise ListenError(f"cannot listen: {exc}") from exc
    node.rotation.install()
    logs.log_event(
        "started",
        zone=cfg.availability_zone,
        callers=cfg.callers,
        readiness=cfg.readiness,
        platform=cfg.platform,
    )
    node.start_work()
    node.run()
    logs.flush()


if __name__ == "__main__":
    sys.exit(main())
