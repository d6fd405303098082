"""Runs a module whose connections all use one source address.

    python -m bamboospring.testing.from_address 127.0.0.2 MODULE ARGUMENTS...

All processes of a fleet share the loopback interface. The fault proxy can
isolate a region only if it can tell the region from the source address.
"""

from __future__ import annotations

import runpy
import socket
import sys
from typing import Any

__all__ = ["main"]

_connect = socket.socket.connect
_connect_ex = socket.socket.connect_ex


def _bind_if_unbound(sock: socket.socket, address: str) -> None:
    if sock.family == socket.AF_INET and sock.getsockname()[1] == 0:
        sock.bind((address, 0))


def bind_connections_to(address: str) -> None:
    """Bind all IPv4 sockets of this process to an address on connect."""

    def connect(sock: socket.socket, there: Any) -> None:
        _bind_if_unbound(sock, address)
        _connect(sock, there)

    def connect_ex(sock: socket.socket, there: Any) -> int:
        _bind_if_unbound(sock, address)
        return _connect_ex(sock, there)

    setattr(socket.socket, "connect", connect)
    setattr(socket.socket, "connect_ex", connect_ex)


def main() -> None:
    """Run the module that the command line names."""
    _, address, module, *rest = sys.argv
    bind_connections_to(address)
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
