"""Run a module whose connections all come from one address.

    python -m bamboospring.testing.from_address 127.0.0.2 MODULE ARGUMENTS...

All processes of a fleet share the loopback interface. The fault proxy can cut
a region off only if it sees where a connection comes from.
"""

from __future__ import annotations

import runpy
import socket
import sys
from typing import Any

__all__ = ["main"]

_connect = socket.socket.connect
_connect_ex = socket.socket.connect_ex


def _bind(sock: socket.socket, address: str) -> None:
    if sock.family == socket.AF_INET and sock.getsockname()[1] == 0:
        sock.bind((address, 0))


def come_from(address: str) -> None:
    """Bind each socket of this process to an address before it connects."""

    def connect(sock: socket.socket, there: Any) -> None:
        _bind(sock, address)
        _connect(sock, there)

    def connect_ex(sock: socket.socket, there: Any) -> int:
        _bind(sock, address)
        return _connect_ex(sock, there)

    setattr(socket.socket, "connect", connect)
    setattr(socket.socket, "connect_ex", connect_ex)


def main() -> None:
    """Become the module named on the command line."""
    _, address, module, *rest = sys.argv
    come_from(address)
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
