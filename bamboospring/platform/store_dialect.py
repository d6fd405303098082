"""The HTTP calls of the platform's object store."""

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

OBJECTS_PATH = "/api/objects"
JSON_HEADER = "Content-Type: application/json\r\n"


class StoreDialect:
    """Encodes calls to the platform's store and decodes its answers.

    The store's revision of an object is used as the object's version, and
    its `spec` as the object's value. The `status` is not used.
    """

    era_header = "store-era"

    def get(self, kind: str, name: str) -> Call:
        """Return the call that reads one object."""
        return Call(method="GET", path=_object_path(kind, name))

    def put(self, kind: str, name: str, if_version: int, value: Any) -> Call:
        """Return the call that stores a value if the version matches.

        Version 0 creates the object; that call uses another HTTP method and
        fails if the object exists.
        """
        meta: dict[str, Any] = {"name": name, "finalizers": []}
        if if_version:
            meta["revision"] = if_version
        body = orjson.dumps({"meta": meta, "spec": value})
        if if_version:
            return Call(
                method="PUT",
                path=_object_path(kind, name),
                body=body,
                headers=JSON_HEADER,
            )
        return Call(
            method="POST",
            path=f"{OBJECTS_PATH}/{kind}",
            body=body,
            headers=JSON_HEADER,
        )

    def delete(self, kind: str, name: str, if_version: int) -> Call:
        """Return the call that deletes an object if the version matches."""
        path = f"{_object_path(kind, name)}?revision={if_version}"
        return Call(method="DELETE", path=path)

    def list(self, kind: str, after: str) -> Call:
        """Return the call that lists the objects of a kind after a name."""
        query = f"?after={quote(after, safe='')}" if after else ""
        return Call(method="GET", path=f"{OBJECTS_PATH}/{kind}{query}")

    def watch(self, kind: str, revision: int, wait_ms: int) -> Call:
        """Return the call that waits for changes after a revision."""
        path = f"{OBJECTS_PATH}/{kind}?watch={revision}&waitMs={wait_ms}"
        return Call(method="GET", path=path)

    def header(self, purpose: str) -> str:
        """Return no header: the store keeps no counters by purpose."""
        return ""

    def found(self, body: bytes) -> Found:
        """Decode the answer that holds one object."""
        return _parse_object("", orjson.loads(body))

    def stored(self, body: bytes) -> Stored:
        """Decode the answer to a successful update."""
        return Stored(version=_parse_object("", orjson.loads(body)).version)

    def conflict(self, status: int, body: bytes) -> Conflict:
        """Decode the answer to an update whose condition failed.

        A 404 without an object means that the object does not exist.
        """
        try:
            found = _parse_object("", orjson.loads(body))
        except (ValueError, KeyError, TypeError):
            if status == 404:
                return Conflict(version=0, value=None)
            raise
        return Conflict(version=found.version, value=found.value)

    def page(self, kind: str, body: bytes) -> Page:
        """Decode one page of a list."""
        raw = orjson.loads(body)
        objects = _parse_objects(kind, raw["items"])
        more = bool(raw.get("hasMore")) and bool(objects)
        return Page(
            changes=Changes(objects=objects, revision=int(raw["currentRev"])),
            after=objects[-1].name if more else "",
        )

    def events(self, kind: str, body: bytes) -> Changes:
        """Decode the answer to a watch."""
        raw = orjson.loads(body)
        objects: list[Found] = []
        for event in raw.get("events") or ():
            found = _parse_objects(kind, [event.get("object")])
            if found and event.get("deleted"):
                deleted = found[0]
                found = (
                    Found(kind=kind, name=deleted.name, version=0, value=None),
                )
            objects.extend(found)
        return Changes(objects=tuple(objects), revision=int(raw["currentRev"]))


def _object_path(kind: str, name: str) -> str:
    return f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def _parse_objects(kind: str, items: list[Any]) -> tuple[Found, ...]:
    """Return the objects that can be decoded.

    Other programs write to the store too. An item that is not an object is
    skipped, so that it does not hide the rest of the list.
    """
    found = []
    for raw in items:
        try:
            found.append(_parse_object(kind, raw))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
    return tuple(found)


def _parse_object(kind: str, raw: Any) -> Found:
    meta = raw["meta"]
    return Found(
        kind=kind,
        name=str(meta["name"]),
        version=int(meta["revision"]),
        value=raw.get("spec"),
        created=_created(meta),
    )


def _created(meta: dict[str, Any]) -> int:
    """Return the revision at which an object was created, 0 if unknown."""
    created = meta.get("created")
    return created if isinstance(created, int) and created > 0 else 0
