"""Loopback ports that are kept for processes which start later.

A port that was free a moment ago may be taken by the time its process
listens, or while that process is down for a restart: by another fleet of the
same machine, or by an outgoing connection. Each socket here stays bound, not
listening. With SO_REUSEADDR on both sides the process that the port is for
can listen on it all the same, while the kernel gives it to nobody who asks
for any free port.
"""

from __future__ import annotations

import socket

__all__ = ["ReservedPorts"]

HOST = "127.0.0.1"


class ReservedPorts:
    """Ports of one fleet, held until `close`."""

    def __init__(self) -> None:
        self._socks: list[socket.socket] = []

    def reserve(self) -> str:
        """Return a new address that nobody else is given."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self._socks.append(sock)
        return f"{HOST}:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Give all ports back."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()
