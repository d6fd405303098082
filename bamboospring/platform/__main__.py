"""Start a VM with the settings file that the platform generated."""

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

# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "BAMBOOSPRING_SETTINGS"
EXIT_MISUSED = 2


def main() -> int:
    """Run the VM until it is asked to stop and return the exit code."""
    try:
        run(os.environ.get(SETTINGS_VARIABLE, ""))
    except BamboospringError as exc:
        print(f"bamboospring: {exc}", file=sys.stderr)
        return EXIT_MISUSED
    return 0


def run(path: str) -> None:
    """Run the VM with the settings in a file."""
    cfg = load(path)
    logs.configure_node(level=cfg.logs.level, vm=cfg.vm)
    try:
        node = SessionNode(cfg, make_adapters(), path)
    except OSError as exc:
        raise ListenError(f"cannot listen: {exc}") from exc
    node.settings_reloader.install_signal_handler()
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
