"""The two messages of a statement's way in Cap'n Proto, packed by hand.

pycapnp looks each field up by its name, which took an eighth of the
processor time of a statement. Here a message that has the layout that this
program writes itself, one segment with each struct right behind its pointer,
is packed and read by one `struct` call. The bytes are plain Cap'n Proto:
whatever else arrives, from a later schema or in several segments, is left to
pycapnp (`read_flat` returns None).

A layout has to agree with wire.capnp; features/forwarding.feature compares
both ways with pycapnp.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
import struct

__all__ = [
    "ANSWER",
    "FlatMessage",
    "Layout",
    "Packed",
    "STATEMENT",
    "read_flat",
    "to_blob",
    "to_text",
]

WORD = 8
# The segment table, then the root pointer; the Envelope's id, its union's
# discriminant and its one pointer.
FRAME = "<IIQQHxxxxxxQ"
ENVELOPE_WORDS = 4
BYTE_LIST = 2
MAX_OFFSET = 1 << 29


def _struct_pointer(data_words: int, pointers: int) -> int:
    """Return a pointer to a struct that begins right behind it."""
    return data_words << 32 | pointers << 48


ROOT = _struct_pointer(2, 1)


class Layout:
    """One struct in an Envelope: its data section and its blobs.

    `data` is the format of the data section in whole words, `texts` has a
    letter for each blob: t for Text, with the NUL that ends it, d for Data.
    An empty one is a null pointer.
    """

    def __init__(
        self, *, kind: str, discriminant: int, data: str, texts: str
    ) -> None:
        blobs = len(texts)
        self.kind = kind
        self._texts = [letter == "t" for letter in texts]
        self._discriminant = discriminant
        self._struct = struct.Struct(FRAME + data + "Q" * blobs)
        self._blobs = blobs
        words = struct.calcsize("<" + data) // WORD
        self._pointer = _struct_pointer(words, blobs)
        self._words = ENVELOPE_WORDS + words + blobs

    def pack(
        self, number: int, values: Sequence[int], blobs: Sequence[bytes]
    ) -> bytes:
        """Return the message with the correlation id `number`."""
        pointers = []
        parts = [b""]
        # The words from the pointer's end to where the blob begins.
        ahead = self._blobs - 1
        words = self._words
        for blob in blobs:
            size = len(blob)
            if size:
                pointers.append(ahead << 2 | 1 | (size << 3 | BYTE_LIST) << 32)
                used = (size + WORD - 1) // WORD
                parts.append(blob.ljust(used * WORD, b"\0"))
                ahead += used
                words += used
            else:
                pointers.append(0)
            ahead -= 1
        parts[0] = self._struct.pack(
            0,
            words,
            ROOT,
            number,
            self._discriminant,
            self._pointer,
            *values,
            *pointers,
        )
        return b"".join(parts)

    def unpack(self, frame: bytes) -> FlatMessage | None:
        """Read a frame; None if it is not laid out like this."""
        if len(frame) < self._struct.size:
            return None
        segments, words, root, number, which, pointer, *values = (
            self._struct.unpack_from(frame)
        )
        known = (0, ROOT, self._discriminant, self._pointer)
        if (segments, root, which, pointer) != known:
            return None
        if len(frame) != (words + 1) * WORD:
            return None
        blobs = []
        place = self._struct.size - self._blobs * WORD
        for pointer, is_text in zip(values[-self._blobs :], self._texts):
            place += WORD
            if not pointer:
                blobs.append(b"")
                continue
            size = pointer >> 35
            offset = (pointer & 0xFFFFFFFF) >> 2
            begin = place + offset * WORD
            end = begin + size
            is_bytes = pointer >> 32 & 7 == BYTE_LIST and pointer & 3 == 1
            if not is_bytes or offset >= MAX_OFFSET or end > len(frame):
                return None
            if is_text and (not size or frame[end - 1]):
                return None
            blobs.append(frame[begin:end])
        return FlatMessage(
            id=number,
            kind=self.kind,
            values=values[: -self._blobs],
            blobs=blobs,
        )


@dataclass(slots=True, kw_only=True)
class FlatMessage:
    """A message as read: the data section's values, then the blobs."""

    id: int
    kind: str
    values: list[int]
    blobs: list[bytes]

    def which(self) -> str:
        """Return the name of the Envelope's union member."""
        return self.kind


@dataclass(slots=True, kw_only=True)
class Packed:
    """A message to be sent, used like pycapnp's builder of an Envelope."""

    layout: Layout
    values: Sequence[int]
    blobs: Sequence[bytes]
    id: int = 0

    def to_bytes(self) -> bytes:
        """Return the message."""
        return self.layout.pack(self.id, self.values, self.blobs)


# Values: flags (write, stalenessStated, settle), step, stalenessMs,
# tokenTerm, tokenIndex, deadlineMs. Blobs: group, caller, sql, params,
# transaction, key, trace.
STATEMENT = Layout(
    kind="statement", discriminant=1, data="BBxxIQQIxxxx", texts="tttdttt"
)
# Values: outcome, flags (replayed, atReplica), retryAfterMs, term, index,
# rowcount. Blobs: reason, message, target, columns, rows, transaction.
ANSWER = Layout(kind="answer", discriminant=2, data="BBxxIQQq", texts="tttddt")
DISCRIMINANT_AT = 24
LAYOUTS = {1: STATEMENT, 2: ANSWER}


def read_flat(frame: bytes) -> FlatMessage | None:
    """Read a statement or an answer; None leaves the frame to pycapnp."""
    if len(frame) <= DISCRIMINANT_AT:
        return None
    layout = LAYOUTS.get(frame[DISCRIMINANT_AT])
    return layout.unpack(frame) if layout is not None else None


def to_text(blob: bytes) -> str:
    """Return a Text blob without the NUL that ends it."""
    return blob[:-1].decode()


def to_blob(value: str) -> bytes:
    """Return a Text as a blob."""
    return value.encode() + b"\0" if value else b""
