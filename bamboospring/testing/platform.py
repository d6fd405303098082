"""A stand-in for the platform's object API, with switchable faults.

Run it as `python -m bamboospring.testing.platform --listen 127.0.0.1:0`. The
protocol, with its test knobs, is in docs/PROTOCOLS.md.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import time
from typing import Any

import orjson

from bamboospring.testing.http_server import CLOSE
from bamboospring.testing.http_server import Connection
from bamboospring.testing.http_server import listening_address
from bamboospring.testing.http_server import Reply
from bamboospring.testing.http_server import Request
from bamboospring.testing.http_server import serve_http
from bamboospring.testing.loop_monitor import watch_loop

__all__ = ["ObjectStore", "Platform", "VmList", "main"]

MAX_VALUE_BYTES = 1_000_000
MAX_READS_PER_S = 2000
MAX_WRITES_PER_S = 400
MAX_WAIT_MS = 60_000


@dataclass(slots=True, kw_only=True)
class StoredObject:
    """One object; a deleted one stays as a version without a value."""

    kind: str
    name: str
    version: int = 0
    value: Any = None
    revision: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the object as the API shows it."""
        return {
            "kind": self.kind,
            "name": self.name,
            "version": self.version if self.value is not None else 0,
            "value": self.value,
        }


class ObjectStore:
    """Objects with versions; versions go on counting after a deletion."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[tuple[str, str], StoredObject] = {}

    def get(self, kind: str, name: str) -> StoredObject:
        """Return an object, or an empty one of version 0."""
        found = self._objects.get((kind, name))
        return found or StoredObject(kind=kind, name=name)

    def put(
        self, kind: str, name: str, if_version: int, value: Any
    ) -> StoredObject | None:
        """Store a value if the version is the stated one, else None."""
        found = self.get(kind, name)
        visible = found.version if found.value is not None else 0
        if visible != if_version:
            return None
        self.revision += 1
        stored = StoredObject(
            kind=kind,
            name=name,
            version=found.version + 1,
            value=value,
            revision=self.revision,
        )
        self._objects[kind, name] = stored
        return stored

    def changed(self, kind: str, after: int = -1) -> list[dict[str, Any]]:
        """Return the kind's objects that changed after a revision."""
        return [
            o.as_json()
            for o in self._objects.values()
            if o.kind == kind
            and o.revision > after
            and (after >= 0 or o.value is not None)
        ]


class VmList:
    """The list of VMs, shown as it was some time ago."""

    def __init__(self, *, lag_ms: int) -> None:
        self.lag = lag_ms / 1000
        self._history: deque[tuple[float, dict[str, Any]]] = deque()
        self._history.append((-1e9, {"revision": 0, "vms": []}))

    def set(self, vms: list[dict[str, Any]], now: float) -> None:
        """Take a new list; readers see it after the lag."""
        revision = self._history[-1][1]["revision"] + 1
        self._history.append((now, {"revision": revision, "vms": vms}))

    def shown(self, now: float) -> dict[str, Any]:
        """Return the list that readers see now."""
        while len(self._history) > 1 and self._shows(self._history[1], now):
            self._history.popleft()
        return self._history[0][1]

    def _shows(self, entry: tuple[float, Any], now: float) -> bool:
        return entry[0] + self.lag <= now


@dataclass(slots=True, kw_only=True)
class Faults:
    """What is broken just now."""

    outage: str = "none"
    slow_ms: int = 0
    lose_answers: int = 0
    lose_kind: str = ""


@dataclass(slots=True, kw_only=True)
class RateLimit:
    """A count of calls in the current second."""

    per_second: int
    second: int = 0
    used: int = 0

    def take(self, now: float) -> bool:
        """Count a call; false when this second has no more."""
        if int(now) != self.second:
            self.second = int(now)
            self.used = 0
        self.used += 1
        return self.used <= self.per_second


@dataclass(slots=True, kw_only=True)
class Counters:
    """Calls by purpose since the start."""

    reads: Counter[str] = field(default_factory=Counter)
    writes: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    peak_per_second: int = 0
    second: int = 0
    in_second: int = 0

    def count(self, purpose: str, write: bool, now: float) -> None:
        """Count one call, whatever becomes of it."""
        (self.writes if write else self.reads)[purpose] += 1
        if int(now) != self.second:
            self.second = int(now)
            self.in_second = 0
        self.in_second += 1
        self.peak_per_second = max(self.peak_per_second, self.in_second)

    def as_json(self) -> dict[str, Any]:
        """Return the counters as the API shows them."""
        return {
            "reads": self.reads,
            "writes": self.writes,
            "refused": self.refused,
            "failed": self.failed,
            "peak_per_second": self.peak_per_second,
        }


class Platform:
    """Answers requests over the store, unless a fault says otherwise."""

    def __init__(
        self,
        *,
        vm_list_lag_ms: int = 0,
        max_reads_per_s: int = MAX_READS_PER_S,
        max_writes_per_s: int = MAX_WRITES_PER_S,
    ) -> None:
        self.store = ObjectStore()
        self.vms = VmList(lag_ms=vm_list_lag_ms)
        self.faults = Faults()
        self.counters = Counters()
        self._read_limit = RateLimit(per_second=max_reads_per_s)
        self._write_limit = RateLimit(per_second=max_writes_per_s)
        self._changed = asyncio.Condition()
        self._repaired = asyncio.Event()

    async def handle(self, conn: Connection, request: Request) -> Reply | None:
        """Answer one request, or drop its connection."""
        try:
            if self._is_knob(request):
                return await self._handle_knob(request)
            return await self._handle_call(request)
        except (KeyError, ValueError, orjson.JSONDecodeError) as exc:
            return Reply(status=400, body={"error": str(exc)})

    def _is_knob(self, request: Request) -> bool:
        match request.method, request.path:
            case (_, ["faults"]) | (_, ["counters"]) | ("PUT", ["vms"]):
                return True
        return False

    async def _handle_knob(self, request: Request) -> Reply:
        match request.method, request.path:
            case "GET", ["counters"]:
                return Reply(body=self.counters.as_json())
            case "PUT", ["vms"]:
                self.vms.set(request.json()["vms"], time.monotonic())
                return Reply(body={})
            case "POST", ["faults"]:
                return await self._set_faults(request.json())
        return Reply(status=404, body={})

    async def _set_faults(self, values: dict[str, Any]) -> Reply:
        for name, value in values.items():
            if name not in Faults.__slots__:
                raise ValueError(f"unknown fault {name}")
            setattr(self.faults, name, value)
        if self.faults.outage == "none":
            self._repaired.set()
        else:
            self._repaired.clear()
        async with self._changed:
            self._changed.notify_all()
        return Reply(body={})

    async def _handle_call(self, request: Request) -> Reply | None:
        purpose = request.headers.get("x-purpose", "none")
        write = request.method in ("PUT", "DELETE")
        now = time.monotonic()
        self.counters.count(purpose, write, now)
        limit = self._write_limit if write else self._read_limit
        if await self._is_down(purpose):
            return CLOSE
        if not limit.take(now):
            self.counters.refused[purpose] += 1
            headers = {"Retry-After": "1"}
            return Reply(status=429, body={}, headers=headers)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        reply = await self._route(request)
        if await self._is_down(purpose):
            return CLOSE
        if write and reply.status == 200 and self._loses_answer(request):
            return CLOSE
        return reply

    async def _is_down(self, purpose: str) -> bool:
        """Say whether the call fails; a hanging one fails after repair."""
        if self.faults.outage == "none":
            return False
        self.counters.failed[purpose] += 1
        if self.faults.outage == "hang":
            await self._repaired.wait()
        return True

    def _loses_answer(self, request: Request) -> bool:
        kind = request.path[1]
        if self.faults.lose_answers <= 0:
            return False
        if self.faults.lose_kind not in ("", kind):
            return False
        self.faults.lose_answers -= 1
        return True

    async def _route(self, request: Request) -> Reply:
        match request.method, request.path:
            case "GET", ["objects", kind, name]:
                found = self.store.get(kind, name)
                status = 200 if found.value is not None else 404
                return Reply(status=status, body=found.as_json())
            case "GET", ["objects", kind]:
                return self._list(kind)
            case "PUT", ["objects", kind, name]:
                return await self._put(kind, name, request)
            case "DELETE", ["objects", kind, name]:
                version = int(request.query["if_version"])
                return await self._store(kind, name, version, None)
            case "GET", ["watch", kind]:
                return await self._watch(kind, request.query)
            case "GET", ["vms"]:
                return self._list_vms(request.query)
        return Reply(status=404, body={"error": "no such resource"})

    def _list_vms(self, query: dict[str, str]) -> Reply:
        shown = self.vms.shown(time.monotonic())
        if shown["revision"] <= int(query.get("after", "0")):
            return Reply(body={"revision": shown["revision"]})
        return Reply(body=shown)

    def _list(self, kind: str) -> Reply:
        objects = self.store.changed(kind)
        body = {"objects": objects, "revision": self.store.revision}
        return Reply(body=body)

    async def _put(self, kind: str, name: str, request: Request) -> Reply:
        if len(request.body) > MAX_VALUE_BYTES:
            return Reply(status=413, body={})
        body = request.json()
        return await self._store(
            kind, name, int(body["if_version"]), body["value"]
        )

    async def _store(
        self, kind: str, name: str, if_version: int, value: Any
    ) -> Reply:
        stored = self.store.put(kind, name, if_version, value)
        if stored is None:
            found = self.store.get(kind, name)
            status = 409 if found.value is not None else 404
            return Reply(status=status, body=found.as_json())
        async with self._changed:
            self._changed.notify_all()
        return Reply(body={"version": stored.version})

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply:
        after = int(query.get("after", "0"))
        wait = min(int(query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        deadline = time.monotonic() + wait
        while True:
            objects = self.store.changed(kind, after)
            left = deadline - time.monotonic()
            if objects or left <= 0 or self.faults.outage != "none":
                break
            await self._wait_for_change(left)
        body = {"objects": objects, "revision": self.store.revision}
        return Reply(body=body)

    async def _wait_for_change(self, timeout: float) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait(), timeout)
            except TimeoutError:
                pass


async def serve(options: argparse.Namespace) -> None:
    """Listen and answer until the process ends."""
    platform = Platform(
        vm_list_lag_ms=options.vm_list_lag_ms,
        max_reads_per_s=options.max_reads_per_s,
        max_writes_per_s=options.max_writes_per_s,
    )
    server = await serve_http(options.listen, platform.handle)
    print(f"listening {listening_address(server)}", flush=True)
    await asyncio.gather(server.serve_forever(), watch_loop())


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--vm-list-lag-ms", type=int, default=0)
    parser.add_argument("--max-reads-per-s", type=int, default=MAX_READS_PER_S)
    parser.add_argument(
        "--max-writes-per-s", type=int, default=MAX_WRITES_PER_S
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
