"""A stand-in for the platform of VMs that serve sessions.

Its object store and its order of promotions answer on one address each, with
faults that can be switched on. Members and operators write to the store
directly, as others do on a real one.
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
from bamboospring.testing.session_members import Group

__all__ = [
    "PromotionService",
    "PromotionOrder",
    "SessionStore",
    "StoreSnapshot",
    "StoreFaults",
]

PAGE = 500


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """What goes wrong: `down` is busy, reset, silent or empty."""

    outage: str = ""
    slow: float = 0.0
    lose: float = 0.0
    late: float = 0.0


@dataclass(slots=True, kw_only=True)
class Stored:
    """One object."""

    kind: str
    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None

    def as_json(self) -> dict[str, Any]:
        """Return the object as the store shows it."""
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
    """All that a store holds at one moment."""

    revision: int
    objects: dict[tuple[str, str], Stored]
    events: list[tuple[int, str, dict[str, Any]]]
    oldest: int


class SessionStore:
    """Objects by kind and name, one revision counter, watches.

    `era` counts how often it has come back from an older copy.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.faults = StoreFaults()
        self.era = 0
        self.revision = 1
        self.address = ""
        self.calls = 0
        self._objects: dict[tuple[str, str], Stored] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._random = random.Random(f"{seed}/store")

    async def start(self) -> None:
        """Listen."""
        server = await serve_http("127.0.0.1:0", self._handle)
        self.address = listening_address(server)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Store a value unconditionally, as members and operators do."""
        found = self._objects.get((kind, name))
        if found is not None and found.spec == spec:
            return found.revision
        return self._store(kind, name, spec).revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.pop((kind, name), None)
        if found is None:
            return
        self.revision += 1
        gone = {**found.as_json()}
        gone["meta"] = {**gone["meta"], "revision": self.revision}
        self._tell(kind, {"deleted": True, "object": gone})

    def get(self, kind: str, name: str) -> Any:
        """Return an object's value, None if there is none."""
        found = self._objects.get((kind, name))
        return None if found is None else found.spec

    def discard_history(self) -> None:
        """Answer older watches that their history is gone."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def snapshot(self) -> StoreSnapshot:
        """Return a copy to come back from."""
        return StoreSnapshot(
            revision=self.revision,
            objects={k: replace(v) for k, v in self._objects.items()},
            events=list(self._events),
            oldest=self._oldest,
        )

    def restore(self, copy: StoreSnapshot) -> None:
        """Come back from a copy: what was written since is gone.

        Revisions go on from the copy's, so some are given out twice.
        """
        self.era += 1
        self.revision = copy.revision
        self._objects = {k: replace(v) for k, v in copy.objects.items()}
        self._events = list(copy.events)
        self._oldest = copy.oldest
        self._wake()

    def _store(self, kind: str, name: str, spec: Any) -> Stored:
        self.revision += 1
        old = self._objects.get((kind, name))
        stored = Stored(
            kind=kind,
            name=name,
            revision=self.revision,
            created=old.created if old else self.revision,
            spec=spec,
        )
        self._objects[kind, name] = stored
        self._tell(kind, {"deleted": False, "object": stored.as_json()})
        return stored

    def _tell(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
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
        if faults.slow:
            await asyncio.sleep(faults.slow)
        if req.method != "GET" and self._random.random() < faults.lose:
            return await self._lose(req)
        reply = await self._route(req)
        if reply is not None:
            reply.headers["Store-Era"] = str(self.era)
        return reply

    async def _lose(self, req: Request) -> Reply | None:
        """Do a write, perhaps later, and answer nothing."""
        late = self.faults.late

        async def later() -> None:
            await asyncio.sleep(late)
            await self._route(req)

        task = asyncio.create_task(later())
        if not late:
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
        page = [self._objects[kind, n].as_json() for n in names[:PAGE]]
        body = {
            "items": page,
            "hasMore": len(names) > PAGE,
            "currentRev": self.revision,
        }
        return Reply(body=body)

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply | None:
        since, era = int(query["watch"]), self.era
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.era != era:
                return CLOSE
            if not self._oldest <= since <= self.revision:
                return Reply(status=410, body={})
            events = [
                event
                for revision, of, event in self._events
                if revision > since and of == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                body = {"events": events, "currentRev": self.revision}
                return Reply(body=body)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
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
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != found.revision:
            return Reply(status=409, body=found.as_json())
        if found.spec == body["spec"]:
            return Reply(body=found.as_json())
        stored = self._store(kind, name, body["spec"])
        return Reply(body=stored.as_json())

    def _remove(self, kind: str, name: str, query: dict[str, str]) -> Reply:
        found = self._objects.get((kind, name))
        if found is None:
            return Reply(status=404, body={})
        wanted = query.get("revision")
        if wanted is not None and int(wanted) != found.revision:
            return Reply(status=409, body=found.as_json())
        self.delete(kind, name)
        return Reply(body={})


@dataclass(slots=True, kw_only=True)
class PromotionOrder:
    """One order as it came in."""

    group: str
    target: str
    holder: str
    fence: int


class PromotionService:
    """Takes orders of promotion and keeps them for the judge."""

    def __init__(self, groups: dict[str, Group]) -> None:
        self.address = ""
        self.orders: list[PromotionOrder] = []
        self._groups = groups

    async def start(self) -> None:
        """Listen."""
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
