"""Code shared by the HTTP/1.1 server and client."""

from __future__ import annotations

__all__ = ["InvalidMessage", "join_parts"]


class InvalidMessage(Exception):
    """The parser accepts the message, but this package rejects it."""


def join_parts(parts: list[bytes]) -> bytes:
    """Return the concatenated parts, without a copy if there is only one."""
    return parts[0] if len(parts) == 1 else b"".join(parts)
