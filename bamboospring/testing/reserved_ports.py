"""Reserves loopback ports for processes that start later.

A port that was free when it was chosen may be taken before its process
listens, or while that process restarts: by another fleet on the same machine
or by an outgoing connection. Each socket here therefore stays bound without
listening. With SO_REUSEADDR on both sockets the intended process can still
listen on the port, while the kernel does not assign it to a process that asks
for any free port.
"""

from __future__ import annotations

import socket

__all__ = ["ReservedPorts"]

HOST = "127.0.0.1"


class ReservedPorts:
    """The ports of one fleet, reserved until `close`."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Reserve a free port and return its address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self._sockets.append(sock)
        return f"{HOST}:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Release all ports."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()
