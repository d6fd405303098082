"""The interface to the platform's object store: results and dialects.

`bamboospring.platform_client` schedules calls and classifies their answers. A
dialect defines the encoding of calls: `NativeDialect` implements this
project's protocol, and another platform has its own dialect.
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
    "NativeDialect",
    "ObjectDialect",
    "Page",
    "Rejected",
    "Stored",
    "Unavailable",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """An object as stored by the platform.

    `created` is the version of the store at which the object was created, 0
    if the store does not tell it.
    """

    kind: str
    name: str
    version: int
    value: Any
    created: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Missing:
    """The object does not exist."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """The conditional update succeeded; `version` is the new version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Deleted:
    """The object does not exist any more, by this call or an earlier one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Nothing was stored because the object is at another version.

    Version 0 without a value means that the object does not exist.
    """

    version: int
    value: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The platform refused the value itself, for example as too large."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """There was no usable answer.

    `maybe_applied` is true if an update may have taken effect or may still do
    so. `retry_after` is in seconds; a call before then is refused.
    """

    maybe_applied: bool
    retry_after: float
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store has no history since the watch's revision.

    The objects must be listed again. The store may also have been restored
    from an older copy, in which that revision has another meaning.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Objects of a kind; deleted ones have version 0 and no value.

    `revision` is the start of the next watch.
    """

    objects: tuple[Found, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """A page of a list; `after` requests the next one, empty at the end."""

    changes: Changes
    after: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One encoded call; `headers` are whole lines with CRLF."""

    method: str
    path: str
    body: bytes = b""
    headers: str = ""


class ObjectDialect(Protocol):
    """Encoding of calls to an object store and decoding of its answers.

    The decoding methods raise ValueError, KeyError or TypeError if a body is
    malformed.

    `era_header` is the lower-case name of the answers' header that counts how
    often the store was restored from an older copy; empty if there is none.
    """

    era_header: str

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value conditionally.

        A version of 0 means that the object must not exist yet.
        """

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the call that deletes an object conditionally."""

    def list(self, kind: str, after: str) -> Call:
        """Return the call that lists objects of a kind from a page on."""

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""

    def header(self, purpose: str) -> str:
        """Return the header lines that name a call's purpose."""

    def found(self, body: bytes) -> Found:
        """Decode the answer to a read of one object."""

    def stored(self, body: bytes) -> Stored:
        """Decode the answer to a successful update."""

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Decode the answer to an update whose condition failed."""

    def page(self, kind: str, body: bytes) -> Page:
        """Decode a page of a list."""

    def events(self, kind: str, body: bytes) -> Changes:
        """Decode the answer to a watch."""


class NativeDialect:
    """This project's protocol, which docs/PROTOCOLS.md describes."""

    era_header = ""

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""
        return Call(method="GET", path=f"/objects/{kind}/{name}")

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value conditionally."""
        body = orjson.dumps({"if_version": if_version, "value": value})
        return Call(method="PUT", path=f"/objects/{kind}/{name}", body=body)

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the update that removes the object's value."""
        return self.put(kind, name, if_version, None)

    def list(self, kind: str, after: str) -> Call:
        """Return the call that reads all objects of a kind at once."""
        return Call(method="GET", path=f"/objects/{kind}")

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""
        path = f"/watch/{kind}?after={revision}&wait_ms={wait_ms}"
        return Call(method="GET", path=path)

    def header(self, purpose: str) -> str:
        """Return the header by which the platform counts calls by purpose."""
        return f"X-Purpose: {purpose}\r\n"

    def found(self, body: bytes) -> Found:
        """Decode the answer to a read of one object."""
        return _decode_object(orjson.loads(body))

    def stored(self, body: bytes) -> Stored:
        """Decode the answer to a successful update."""
        return Stored(version=orjson.loads(body)["version"])

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Decode the answer to an update whose condition failed."""
        raw = orjson.loads(body)
        return Conflict(version=raw["version"], value=raw["value"])

    def page(self, kind: str, body: bytes) -> Page:
        """Decode a list, which always has one page."""
        return Page(changes=self.events(kind, body))

    def events(self, kind: str, body: bytes) -> Changes:
        """Decode the answer to a watch."""
        raw = orjson.loads(body)
        objects = tuple(_decode_object(item) for item in raw["objects"])
        return Changes(objects=objects, revision=raw["revision"])


def _decode_object(raw: dict[str, Any]) -> Found:
    return Found(
        kind=raw["kind"],
        name=raw["name"],
        version=raw["version"],
        value=raw["value"],
    )
