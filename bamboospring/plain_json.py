"""Parse plain JSON with comment lines, with the standard library only.

Most settings files need no more than that. Such a text has the same meaning in
the full grammar of `json_source`, which also reports the position of an error.
The json5 parser of that module takes 40 ms to load, and callers wait while a
VM starts.
"""

from __future__ import annotations

import json
from typing import Any

__all__ = ["parse_plain"]

COMMENT = "//"


def parse_plain(text: str) -> Any:
    """Return the data in `text`; raise ValueError if it is not plain JSON."""
    plain = "\n".join(
        "" if line.lstrip().startswith(COMMENT) else line
        for line in text.split("\n")
    )
    try:
        return json.loads(
            plain,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("duplicate key")
    return found


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a JSON number")
