"""What the HTTP/1.1 server and client share."""

from __future__ import annotations

__all__ = ["Malformed", "joined"]


class Malformed(Exception):
    """The request is well formed to the parser but not to us."""


def joined(parts: list[bytes]) -> bytes:
    """Return the parts as one, without a copy if there is only one."""
    return parts[0] if len(parts) == 1 else b"".join(parts)
