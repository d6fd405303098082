"""Parse JSON with comments and keep the position of each key.

The grammar is that of the json5 library. Its parser is subclassed only to
record the offset of each key, so that an error found later, such as a value
out of bounds, can be reported with its line and column.

    data = parse('{"lease": {"renew_ms": 0}}', name="vm.json")
    position(data, ("lease", "renew_ms"))  # Position(line=1, column=12)
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from json5 import lib
from json5.parser import Parser

from bamboospring.errors import SourceError

__all__ = ["Key", "Position", "parse", "position"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """A position in a text; lines and columns count from 1."""

    line: int = 1
    column: int = 1


class Key(str):
    """A key of an object, with its position in the text."""

    position: Position

    @classmethod
    def at(cls, text: str, where: Position) -> "Key":
        """Return the key `text` with the position `where`."""
        key = cls(text)
        key.position = where
        return key


class _KeyParser(Parser):  # type: ignore[misc]
    """The json5 parser, extended to record the position of each key."""

    def _member_(self) -> None:
        start = self.pos
        super()._member_()
        if self.failed:
            return
        name, value = self.val
        self.val = [Key.at(name, _position_at(self.msg, start)), value]


def parse(text: str, *, name: str) -> Any:
    """Return the data in `text`; `name` is the file name in errors.

    Raise `SourceError` with line and column if the text is malformed or an
    object has a duplicate key: the second value would silently replace the
    first.
    """
    if not text.strip():
        raise SourceError("the text is empty", name=name)
    parser = _KeyParser(text, name)
    tree, err, offset = parser.parse(
        global_vars={"_strict": True, "_consume_trailing": True}
    )
    if err:
        where = _position_at(text, offset)
        found = "end of text" if offset >= len(text) else repr(text[offset])
        raise SourceError(
            f"unexpected {found}",
            name=name,
            line=where.line,
            column=where.column,
        )
    return lib._convert(
        tree,
        object_hook=None,
        parse_float=None,
        parse_int=None,
        parse_constant=None,
        object_pairs_hook=lambda pairs: _reject_duplicate_keys(pairs, name),
        allow_duplicate_keys=True,
    )


def position(data: Any, path: Sequence[str | int]) -> Position:
    """Return the position of the deepest existing key on `path`.

    A path consists of keys and list indexes. If its end does not exist, for
    example a missing key, the result is the position of the nearest key above.
    """
    found = Position()
    node = data
    for step in path:
        if isinstance(node, dict):
            key = next((each for each in node if each == step), None)
            if key is None:
                break
            if isinstance(key, Key):
                found = key.position
            node = node[key]
        elif isinstance(node, list) and isinstance(step, int):
            if step >= len(node):
                break
            node = node[step]
            found = _first_key_position(node, found)
        else:
            break
    return found


def _first_key_position(node: Any, default: Position) -> Position:
    if not isinstance(node, dict):
        return default
    first = next(iter(node), None)
    return first.position if isinstance(first, Key) else default


def _position_at(text: str, offset: int) -> Position:
    line = text.count("\n", 0, offset) + 1
    column = offset - text.rfind("\n", 0, offset)
    return Position(line=line, column=column)


def _reject_duplicate_keys(
    pairs: Iterable[tuple[str, Any]], name: str
) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            where = key.position if isinstance(key, Key) else Position()
            raise SourceError(
                f"duplicate key {str(key)!r} in one object",
                name=name,
                line=where.line,
                column=where.column,
            )
        found[key] = value
    return found
