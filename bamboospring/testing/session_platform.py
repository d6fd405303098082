"""A stand-in for the platform of VMs that serve sessions.

The object store and the promotion service listen on one address each and can
simulate faults. Members and operators write to the store directly, as they do
on a real platform.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import random
from typing import Any

from bamboospring.testing.http_server import CLOSE
from bamboospring.testing.http_server import Connection
from bamboospring.testing.http_server import listening_address
from bamboospring.testing.http_server import Reply
from bamboospring.testing.http_server import Request
from bamboospring.testing.http_server import serve_http
from bamboospring.testing.session_members import MemberGroup

__all__ = [
    "PromotionOrder",
    "PromotionService",
    "SessionStore",
    "StoreFaults",
    "StoreSnapshot",
]

PAGE_SIZE = 500


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """The simulated faults; delays are in seconds, shares from 0 to 1.

    `outage` is busy, reset, silent or empty. An unanswered write is executed
    after `unanswered_write_delay`.
    """

    outage: str = ""
    response_delay: float = 0.0
    unanswered_write_share: float = 0.0
    unanswered_write_delay: float = 0.0


@dataclass(slots=True, kw_only=True)
class StoreObject:
    """One object of the store."""

    kind: str
    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None

    def as_json(self) -> dict[str, Any]:
        """Return the object as it is in the API."""
        return {
            "meta": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": self.spec,
            "status": self.status,
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSnapshot:
    """The whole state of a store at one moment."""

    revision: int
    objects: dict[tuple[str, str], StoreObject]
    events: list[tuple[int, str, dict[str, Any]]]
    oldest: int


class SessionStore:
    """Objects by kind and name, with one revision counter and watches.

    `era` is the number of restores from an older snapshot.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.faults = StoreFaults()
        self.era = 0
        self.revision = 1
        self.address = ""
        self.calls = 0
        self._objects: dict[tuple[str, str], StoreObject] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._rng = random.Random(f"{seed}/store")

    async def start(self) -> None:
        """Start to listen on a free port."""
        server = await serve_http("127.0.0.1:0", self._handle)
        self.address = listening_address(server)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Store a value unconditionally, as members and operators do."""
        found = self._objects.get((kind, name))
        if found is not None and found.spec == spec:
            return found.revision
        return self._store(kind, name, spec).revision

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        found = self._objects.pop((kind, name), None)
        if found is None:
            return
        self.revision += 1
        deleted = {**found.as_json()}
        deleted["meta"] = {**deleted["meta"], "revision": self.revision}
        self._append_event(kind, {"deleted": True, "object": deleted})

    def get(self, kind: str, name: str) -> Any:
        """Return an object's value, None if there is none."""
        found = self._objects.get((kind, name))
        return None if found is None else found.spec

    def discard_history(self) -> None:
        """Discard the history, so that older watches are answered with 410."""
        self._events.clear()
        self._oldest = self.revision
        self._notify_watchers()

    def snapshot(self) -> StoreSnapshot:
        """Return a snapshot for `restore`."""
        return StoreSnapshot(
            revision=self.revision,
            objects={k: replace(v) for k, v in self._objects.items()},
            events=list(self._events),
            oldest=self._oldest,
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a snapshot and lose all writes after it.

        Revisions continue from the snapshot, so some of them are used twice.
        """
        self.era += 1
        self.revision = snapshot.revision
        self._objects = {k: replace(v) for k, v in snapshot.objects.items()}
        self._events = list(snapshot.events)
        self._oldest = snapshot.oldest
        self._notify_watchers()

    def _store(self, kind: str, name: str, spec: Any) -> StoreObject:
        self.revision += 1
        old = self._objects.get((kind, name))
        stored = StoreObject(
            kind=kind,
            name=name,
            revision=self.revision,
            created=old.created if old else self.revision,
            spec=spec,
        )
        self._objects[kind, name] = stored
        self._append_event(
            kind, {"deleted": False, "object": stored.as_json()}
        )
        return stored

    def _append_event(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # HTTP.

    async def _handle(self, conn: Connection, req: Request) -> Reply | None:
        self.calls += 1
        faults = self.faults
        match faults.outage:
            case "busy":
                era = {"Store-Era": str(self.era)}
                return Reply(status=503, body={}, headers=era)
            case "reset":
                return CLOSE
            case "silent":
                await asyncio.sleep(30)
                return CLOSE
        if faults.response_delay:
            await asyncio.sleep(faults.response_delay)
        if (
            req.method != "GET"
            and self._rng.random() < faults.unanswered_write_share
        ):
            return await self._execute_unanswered(req)
        reply = await self._route(req)
        if reply is not None:
            reply.headers["Store-Era"] = str(self.era)
        return reply

    async def _execute_unanswered(self, req: Request) -> Reply | None:
        """Execute a write, possibly with a delay, and send no answer."""
        delay = self.faults.unanswered_write_delay

        async def later() -> None:
            await asyncio.sleep(delay)
            await self._route(req)

        task = asyncio.create_task(later())
        if not delay:
            await task
        await asyncio.sleep(2)
        return CLOSE

    async def _route(self, req: Request) -> Reply | None:
        match req.method, req.path:
            case "GET", ["api", "objects", kind] if "watch" in req.query:
                return await self._watch(kind, req.query)
            case "GET", ["api", "objects", kind]:
                return self._list(kind, req.query.get("after", ""))
            case "GET", ["api", "objects", kind, name]:
                found = self._objects.get((kind, name))
                if found is None:
                    return Reply(status=404, body={})
                return Reply(body=found.as_json())
            case "POST", ["api", "objects", kind]:
                return self._create(kind, req.json())
            case "PUT", ["api", "objects", kind, name]:
                return self._replace(kind, name, req.json())
            case "DELETE", ["api", "objects", kind, name]:
                return self._remove(kind, name, req.query)
        return Reply(status=404, body={})

    def _list(self, kind: str, after: str) -> Reply:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        page = [self._objects[kind, n].as_json() for n in names[:PAGE_SIZE]]
        body = {
            "items": page,
            "hasMore": len(names) > PAGE_SIZE,
            "currentRev": self.revision,
        }
        return Reply(body=body)

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply | None:
        since_revision, era = int(query["watch"]), self.era
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.era != era:
                return CLOSE
            if not self._oldest <= since_revision <= self.revision:
                return Reply(status=410, body={})
            events = [
                event
                for revision, event_kind, event in self._events
                if revision > since_revision and event_kind == kind
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                body = {"events": events, "currentRev": self.revision}
                return Reply(body=body)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _create(self, kind: str, body: dict[str, Any]) -> Reply:
        name = body["meta"]["name"]
        found = self._objects.get((kind, name))
        if found is not None:
            return Reply(status=409, body=found.as_json())
        stored = self._store(kind, name, body["spec"])
        return Reply(status=201, body=stored.as_json())

    def _replace(self, kind: str, name: str, body: dict[str, Any]) -> Reply:
        found = self._objects.get((kind, name))
        if found is None:
            return Reply(status=404, body={})
        expected_revision = body["meta"].get("revision")
        if (
            expected_revision is not None
            and expected_revision != found.revision
        ):
            return Reply(status=409, body=found.as_json())
        if found.spec == body["spec"]:
            return Reply(body=found.as_json())
        stored = self._store(kind, name, body["spec"])
        return Reply(body=stored.as_json())

    def _remove(self, kind: str, name: str, query: dict[str, str]) -> Reply:
        found = self._objects.get((kind, name))
        if found is None:
            return Reply(status=404, body={})
        expected_revision = query.get("revision")
        if (
            expected_revision is not None
            and int(expected_revision) != found.revision
        ):
            return Reply(status=409, body=found.as_json())
        self.delete(kind, name)
        return Reply(body={})


@dataclass(slots=True, kw_only=True)
class PromotionOrder:
    """One promotion request as it was received."""

    group: str
    target: str
    holder: str
    fence: int


class PromotionService:
    """Accepts promotion requests and records them for the checker."""

    def __init__(self, groups: dict[str, MemberGroup]) -> None:
        self.address = ""
        self.orders: list[PromotionOrder] = []
        self._groups = groups

    async def start(self) -> None:
        """Start to listen on a free port."""
        server = await serve_http("127.0.0.1:0", self._handle)
        self.address = listening_address(server)

    async def _handle(self, conn: Connection, req: Request) -> Reply | None:
        if (req.method, req.path) != ("POST", ["promotion"]):
            return Reply(status=404, body={})
        body = req.json()
        group = self._groups[body["service"]]
        member = group.members.get(body["id"])
        self.orders.append(
            PromotionOrder(
                group=group.name,
                target=body["id"],
                holder=req.headers["duty-holder"],
                fence=int(req.headers["fencing-token"]),
            )
        )
        if member is None or not member.is_running:
            return Reply(status=409, body={})
        asyncio.create_task(group.promote(member.id))
        return Reply(body={})
