"""Speak with the platform's object store."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import orjson

from bamboospring.object_store import Call
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Found
from bamboospring.object_store import Page
from bamboospring.object_store import Stored

__all__ = ["StoreDialect"]

ROOT = "/api/objects"
JSON = "Content-Type: application/json\r\n"


class StoreDialect:
    """How the platform's store is called and what it answers.

    Its revision of an object serves as the version here. What others call
    the object's specification is the value; nothing of ours uses the status.
    """

    era_header = "store-era"

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""
        return Call(method="GET", path=_path(kind, name))

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value on a condition.

        An object that is not there yet is created by another method, which
        fails if there is one.
        """
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        if if_version:
            meta["revision"] = if_version
        body = orjson.dumps({"meta": meta, "spec": value})
        if if_version:
            return Call(
                method="PUT", path=_path(kind, name), body=body, headers=JSON
            )
        return Call(
            method="POST", path=f"{ROOT}/{kind}", body=body, headers=JSON
        )

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the call that removes an object on a condition."""
        path = f"{_path(kind, name)}?revision={if_version}"
        return Call(method="DELETE", path=path)

    def list(self, kind: str, after: str) -> Call:
        """Return the call that reads all objects of a kind, or the rest."""
        query = f"?after={quote(after, safe='')}" if after else ""
        return Call(method="GET", path=f"{ROOT}/{kind}{query}")

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""
        path = f"{ROOT}/{kind}?watch={revision}&waitMs={wait_ms}"
        return Call(method="GET", path=path)

    def header(self, purpose: str) -> str:
        """Return no header: the store does not count purposes."""
        return ""

    def found(self, body: bytes) -> Found:
        """Read the answer that holds one object."""
        return _object("", orjson.loads(body))

    def stored(self, body: bytes) -> Stored:
        """Read the answer to an update that was done."""
        return Stored(version=_object("", orjson.loads(body)).version)

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Read the answer to an update whose condition failed.

        Without an object in it there is none.
        """
        try:
            found = _object("", orjson.loads(body))
        except (ValueError, KeyError, TypeError):
            if status == 404:
                return Conflict(version=0, value=None)
            raise
        return Conflict(version=found.version, value=found.value)

    def page(self, kind: str, body: bytes) -> Page:
        """Read a part of a list."""
        raw = orjson.loads(body)
        objects = _readable(kind, raw["items"])
        more = bool(raw.get("hasMore")) and bool(objects)
        return Page(
            changes=Changes(objects=objects, revision=int(raw["currentRev"])),
            after=objects[-1].name if more else "",
        )

    def events(self, kind: str, body: bytes) -> Changes:
        """Read the answer to a watch."""
        raw = orjson.loads(body)
        objects: list[Found] = []
        for event in raw.get("events") or ():
            found = _readable(kind, [event.get("object")])
            if found and event.get("deleted"):
                gone = found[0]
                found = (
                    Found(kind=kind, name=gone.name, version=0, value=None),
                )
            objects.extend(found)
        return Changes(objects=tuple(objects), revision=int(raw["currentRev"]))


def _path(kind: str, name: str) -> str:
    return f"{ROOT}/{kind}/{quote(name, safe='')}"


def _readable(kind: str, items: list[Any]) -> tuple[Found, ...]:
    """Return the objects that can be read.

    Others write to the store too; what is no object names nothing to use,
    and must not hide the rest of the list.
    """
    found = []
    for raw in items:
        try:
            found.append(_object(kind, raw))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
    return tuple(found)


def _object(kind: str, raw: Any) -> Found:
    meta = raw["meta"]
    return Found(
        kind=kind,
        name=str(meta["name"]),
        version=int(meta["revision"]),
        value=raw.get("spec"),
    )
