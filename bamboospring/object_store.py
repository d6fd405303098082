"""The port to the platform's object store: results, and how it is spoken to.

`bamboospring.platform_client` paces calls and judges what comes back. What a
call looks like on the wire is a dialect's business: `OwnDialect` speaks this
project's own protocol, and another platform brings a dialect of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Protocol

import orjson

__all__ = [
    "Call",
    "Changes",
    "Conflict",
    "Deleted",
    "Found",
    "HistoryLost",
    "Missing",
    "ObjectDialect",
    "OwnDialect",
    "Page",
    "Rejected",
    "Stored",
    "Unavailable",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """An object as the platform has it."""

    kind: str
    name: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Missing:
    """There is no such object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """The conditional update was done; the object has this version now."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Deleted:
    """The object is gone, by this call or before it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Nothing was stored: the object is at another version.

    Version 0 without a value means that there is no object.
    """

    version: int
    value: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The platform refuses the value itself, for example as too large."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """No answer that tells anything.

    `maybe_applied` is true where an update may have taken effect, or may
    still do so. `retry_after` is in seconds; a call before then is refused.
    """

    maybe_applied: bool
    retry_after: float
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store has forgotten what changed since the watch's revision.

    Only a new list shows how things stand. It may also have come back from an
    older copy, in which that revision means something else.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Objects of a kind; deleted ones have version 0 and no value.

    `revision` is where the next watch goes on from.
    """

    objects: tuple[Found, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """A part of a list; `after` asks for the next one, empty at the end."""

    changes: Changes
    after: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call as it goes out; `headers` are whole lines with CRLF."""

    method: str
    path: str
    body: bytes = b""
    headers: str = ""


class ObjectDialect(Protocol):
    """How calls to an object store are written and its answers read.

    The reading methods raise ValueError, KeyError or TypeError on a body
    that is not what it should be.

    `era_header` names, in lower case, the header of each answer that counts
    how often the store has come back from an older copy; empty: it never does.
    """

    era_header: str

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value on a condition.

        A version of 0 says that the object must not exist yet.
        """

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the call that removes an object on a condition."""

    def list(self, kind: str, after: str) -> Call:
        """Return the call that reads all objects of a kind, or the rest."""

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""

    def header(self, purpose: str) -> str:
        """Return the header lines that name a call's purpose."""

    def found(self, body: bytes) -> Found:
        """Read the answer that holds one object."""

    def stored(self, body: bytes) -> Stored:
        """Read the answer to an update that was done."""

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Read the answer to an update whose condition failed."""

    def page(self, kind: str, body: bytes) -> Page:
        """Read a list."""

    def events(self, kind: str, body: bytes) -> Changes:
        """Read the answer to a watch."""


class OwnDialect:
    """This project's own protocol, which docs/PROTOCOLS.md describes."""

    era_header = ""

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""
        return Call(method="GET", path=f"/objects/{kind}/{name}")

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value on a condition."""
        body = orjson.dumps({"if_version": if_version, "value": value})
        return Call(method="PUT", path=f"/objects/{kind}/{name}", body=body)

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the update that leaves the object without a value."""
        return self.put(kind, name, if_version, None)

    def list(self, kind: str, after: str) -> Call:
        """Return the call that reads all objects of a kind at once."""
        return Call(method="GET", path=f"/objects/{kind}")

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""
        path = f"/watch/{kind}?after={revision}&wait_ms={wait_ms}"
        return Call(method="GET", path=path)

    def header(self, purpose: str) -> str:
        """Return the header by which the platform counts purposes."""
        return f"X-Purpose: {purpose}\r\n"

    def found(self, body: bytes) -> Found:
        """Read the answer that holds one object."""
        return _own_object(orjson.loads(body))

    def stored(self, body: bytes) -> Stored:
        """Read the answer to an update that was done."""
        return Stored(version=orjson.loads(body)["version"])

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Read the answer to an update whose condition failed."""
        raw = orjson.loads(body)
        return Conflict(version=raw["version"], value=raw["value"])

    def page(self, kind: str, body: bytes) -> Page:
        """Read a list, which is always whole."""
        return Page(changes=self.events(kind, body))

    def events(self, kind: str, body: bytes) -> Changes:
        """Read the answer to a watch."""
        raw = orjson.loads(body)
        objects = tuple(_own_object(item) for item in raw["objects"])
        return Changes(objects=objects, revision=raw["revision"])


def _own_object(raw: dict[str, Any]) -> Found:
    return Found(
        kind=raw["kind"],
        name=raw["name"],
        version=raw["version"],
        value=raw["value"],
    )
