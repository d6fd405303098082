"""Sockets to listen on, made with nothing but the standard library."""

from __future__ import annotations

import socket

__all__ = ["BACKLOG", "bound_socket", "split_address"]

# Connections that may wait to be accepted.
BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split `"ip:port"` into its two parts; ValueError if it is not one."""
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"not an ip:port address: {address!r}")
    return host, int(port)


def bound_socket(address: str, *, reuse_port: bool = False) -> socket.socket:
    """Return a socket bound to `"ip:port"`; OSError if that can't be had."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, reuse_port)
    sock.setblocking(False)
    try:
        sock.bind(split_address(address))
    except OSError:
        sock.close()
        raise
    return sock
