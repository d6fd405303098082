"""The line format that callers and targets exchange.

A message is a keyword and its fields, separated by spaces and terminated by
CR LF; the last field extends to the end of the line. Bytes are decoded as
latin-1, so that any byte that a caller sends reaches the target unchanged.
"""

from __future__ import annotations

import hashlib
import re

from bamboospring.errors import BamboospringError
from bamboospring.statements import Position

__all__ = [
    "format_position",
    "key_digest",
    "LineDecoder",
    "LineTooLong",
    "MalformedPosition",
    "MAX_LINE_BYTES",
    "name_in_line",
    "parse_position",
    "payload_size",
    "replace_line_breaks",
    "truncate_text",
]

# The maximum size of a message, including its terminator.
MAX_LINE_BYTES = 1024 * 1024
LINE_END = b"\r\n"
# The size of the longest character in UTF-8.
MAX_CHARACTER_BYTES = 4
# `str.isdigit` also accepts digits that `int` refuses. A number of 18 digits
# fits into the 64 bits that it has in messages between VMs.
_POSITION = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})")


class MalformedPosition(BamboospringError):
    """A position is neither two whole numbers nor `-`."""


class LineTooLong(Exception):
    """A line is longer than the maximum size of a message."""


def name_in_line(name: str) -> str:
    """Return a name of the configuration as lines have it.

    The configuration holds text. A line holds its bytes in UTF-8, each of them
    one character here: the database `café` is `cafÃ©` in a decoded line.
    """
    return name.encode("utf-8", "replace").decode("latin-1")


class LineDecoder:
    """Splits a stream of bytes into lines."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = b""

    def feed(self, data: bytes) -> list[str]:
        """Return the lines completed by `data`.

        Raises `LineTooLong` if a line exceeds the maximum size.
        """
        if self._partial_line:
            data = self._partial_line + data
        *lines, self._partial_line = data.split(LINE_END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._partial_line)) > MAX_LINE_BYTES:
            raise LineTooLong()
        return [line.decode("latin-1") for line in lines]


def format_position(position: Position | None) -> str:
    """Return a position in the wire format, `-` for none."""
    if position is None:
        return "-"
    return f"{position.term}.{position.index}"


def parse_position(text: str) -> Position | None:
    """Parse a position; return None for `-` and for an empty text.

    Raises `MalformedPosition` for any other text that is not two numbers.
    """
    match = _POSITION.fullmatch(text)
    if match is not None:
        return Position(term=int(match[1]), index=int(match[2]))
    if text in ("", "-"):
        return None
    raise MalformedPosition(f"not a position: {text[:40]!r}")


def payload_size(text: str) -> int:
    """Return how many bytes of a statement must reach the target unchanged.

    That is the whole text, or what follows the name of a prepared statement,
    which the proxy replaces.
    """
    keyword, _, rest = text.partition(" ")
    if keyword == "EXECUTE":
        return len(rest.partition(" ")[2])
    return len(text)


def replace_line_breaks(text: str) -> str:
    """Replace line breaks by spaces, so that the text fits in one line."""
    return text.replace("\r", " ").replace("\n", " ")


def truncate_text(text: str, max_bytes: int) -> str:
    """Cut a text to a number of bytes, but not within a UTF-8 character."""
    if len(text) <= max_bytes:
        return text
    end = max_bytes
    while end > max_bytes - MAX_CHARACTER_BYTES and _is_continuation(
        text[end]
    ):
        end -= 1
    return text[:end]


def _is_continuation(byte: str) -> bool:
    """Return whether a byte continues a UTF-8 character."""
    return "\x80" <= byte <= "\xbf"


def key_digest(key: bytes) -> str:
    """Return the digest of a caller's key.

    Only the digest is stored and compared; the key itself is not kept after
    its message has been parsed.
    """
    return hashlib.blake2s(key, digest_size=16).hexdigest()
