"""Read plain JSON under lines of comments, with nothing but the library.

Most settings files are that and no more. What is read here means the same in
the full grammar of `json_source`, which also says where a fault stands; its
parser takes 40 ms to load, and callers wait while a VM starts.
"""

from __future__ import annotations

import json
from typing import Any

__all__ = ["parse_plain"]

COMMENT = "//"


def parse_plain(text: str) -> Any:
    """Return the data in a text; ValueError if it is anything but plain."""
    plain = "\n".join(
        "" if line.lstrip().startswith(COMMENT) else line
        for line in text.split("\n")
    )
    try:
        return json.loads(
            plain,
            object_pairs_hook=_without_repetition,
            parse_constant=_no_constant,
        )
    except RecursionError:
        raise ValueError("nested too deep") from None


def _without_repetition(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a key stands twice")
    return found


def _no_constant(text: str) -> Any:
    raise ValueError(f"{text} is no number of JSON")
