"""Start a VM: listen for callers, then load the program and run it."""

from __future__ import annotations

import os
import sys

from bamboospring.early_listener import listen_early

__all__ = ["main"]

# Where the platform says where the settings are.
VARIABLE = "BAMBOOSPRING_SETTINGS"


def main() -> int:
    """Serve until told to stop; returns the exit code."""
    path = os.environ.get(VARIABLE, "")
    listening = listen_early(path)
    # Loaded only now, while callers' connections can wait already.
    from bamboospring.platform import program

    return program.main(path, listening)


if __name__ == "__main__":
    sys.exit(main())
