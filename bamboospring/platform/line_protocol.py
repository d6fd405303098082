"""Lines as callers and targets exchange them.

A message is a word and its fields, separated by blanks and ended by CR LF;
the last field goes on to the end of the line. Bytes are taken as latin-1, so
that whatever a caller sends reaches the target unchanged.
"""

from __future__ import annotations

import hashlib

from bamboospring.statements import Position

__all__ = [
    "LineDecoder",
    "LineTooLong",
    "MAX_LINE_BYTES",
    "key_digest",
    "replace_line_breaks",
    "format_position",
    "parse_position",
]

# Bytes of the longest message on the wire, its end included.
MAX_LINE_BYTES = 1024 * 1024
END = b"\r\n"


class LineTooLong(Exception):
    """A line goes on beyond what a message may hold."""


class LineDecoder:
    """Cuts a stream of bytes into lines."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[str]:
        """Return the lines that are whole now; raises LineTooLong."""
        if self._rest:
            data = self._rest + data
        *lines, self._rest = data.split(END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._rest)) > MAX_LINE_BYTES:
            raise LineTooLong()
        return [line.decode("latin-1") for line in lines]


def format_position(position: Position | None) -> str:
    """Return a position as the wire has it."""
    if position is None:
        return "-"
    return f"{position.term}.{position.index}"


def parse_position(text: str) -> Position | None:
    """Read a position; None where there is none."""
    term, dot, number = text.partition(".")
    if not dot or not (term.isdigit() and number.isdigit()):
        return None
    return Position(term=int(term), index=int(number))


def replace_line_breaks(text: str) -> str:
    """Return a text that stays within its line."""
    return text.replace("\r", " ").replace("\n", " ")


def key_digest(key: bytes) -> str:
    """Return what stands for a caller's key wherever it is kept or compared.

    The key itself goes no further than the line that it came on.
    """
    return hashlib.blake2s(key, digest_size=16).hexdigest()
