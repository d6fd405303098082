"""A stand-in for the platform's object API, with switchable faults.

Run it as `python -m bamboospring.testing.platform --listen 127.0.0.1:0`. The
protocol, including the control requests for tests, is in docs/PROTOCOLS.md.
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
from bamboospring.testing.loop_monitor import report_loop_delays

__all__ = ["ObjectStore", "Platform", "VmList", "main"]

MAX_VALUE_BYTES = 1_000_000
MAX_READS_PER_S = 2000
MAX_WRITES_PER_S = 400
MAX_WAIT_MS = 60_000


@dataclass(slots=True, kw_only=True)
class StoredObject:
    """One object; a deleted object keeps its version and has no value."""

    kind: str
    name: str
    version: int = 0
    value: Any = None
    revision: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the object as it is in the API."""
        return {
            "kind": self.kind,
            "name": self.name,
            "version": self.version if self.value is not None else 0,
            "value": self.value,
        }


class ObjectStore:
    """Versioned objects; versions continue to increase after a deletion."""

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
        """Store a value and return the object; None on a version conflict."""
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

    def changed_objects(
        self, kind: str, after: int = -1
    ) -> list[dict[str, Any]]:
        """Return the objects of a kind that changed after a revision."""
        return [
            o.as_json()
            for o in self._objects.values()
            if o.kind == kind
            and o.revision > after
            and (after >= 0 or o.value is not None)
        ]


class VmList:
    """The list of VMs; readers see a new list only after a lag."""

    def __init__(self, *, lag_ms: int) -> None:
        self.lag = lag_ms / 1000
        self._history: deque[tuple[float, dict[str, Any]]] = deque()
        self._history.append((-1e9, {"revision": 0, "vms": []}))

    def set(self, vms: list[dict[str, Any]], now: float) -> None:
        """Store a new list, which readers see after the lag."""
        revision = self._history[-1][1]["revision"] + 1
        self._history.append((now, {"revision": revision, "vms": vms}))

    def visible_list(self, now: float) -> dict[str, Any]:
        """Return the list that readers see at time `now`."""
        while len(self._history) > 1 and self._is_visible(
            self._history[1], now
        ):
            self._history.popleft()
        return self._history[0][1]

    def _is_visible(self, entry: tuple[float, Any], now: float) -> bool:
        return entry[0] + self.lag <= now


@dataclass(slots=True, kw_only=True)
class Faults:
    """The faults that are active."""

    outage: str = "none"
    slow_ms: int = 0
    lose_answers: int = 0
    lose_kind: str = ""


@dataclass(slots=True, kw_only=True)
class RateLimit:
    """Limits the number of calls per second."""

    per_second: int
    second: int = 0
    used_in_second: int = 0

    def try_take(self, now: float) -> bool:
        """Count a call; return False if it exceeds the limit."""
        if int(now) != self.second:
            self.second = int(now)
            self.used_in_second = 0
        self.used_in_second += 1
        return self.used_in_second <= self.per_second


@dataclass(slots=True, kw_only=True)
class Counters:
    """The number of calls by purpose since the start."""

    reads: Counter[str] = field(default_factory=Counter)
    writes: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    peak_per_second: int = 0
    second: int = 0
    in_second: int = 0

    def record_call(self, purpose: str, write: bool, now: float) -> None:
        """Count one call, whatever its outcome."""
        (self.writes if write else self.reads)[purpose] += 1
        if int(now) != self.second:
            self.second = int(now)
            self.in_second = 0
        self.in_second += 1
        self.peak_per_second = max(self.peak_per_second, self.in_second)

    def as_json(self) -> dict[str, Any]:
        """Return the counters as they are in the API."""
        return {
            "reads": self.reads,
            "writes": self.writes,
            "refused": self.refused,
            "failed": self.failed,
            "peak_per_second": self.peak_per_second,
        }


class Platform:
    """Answers requests on the store and simulates the active faults."""

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
        self._change_condition = asyncio.Condition()
        self._outage_ended = asyncio.Event()

    async def handle(self, conn: Connection, request: Request) -> Reply | None:
        """Answer one request, or close its connection."""
        try:
            if self._is_control_request(request):
                return await self._handle_control_request(request)
            return await self._handle_call(request)
        except (KeyError, ValueError, orjson.JSONDecodeError) as exc:
            return Reply(status=400, body={"error": str(exc)})

    def _is_control_request(self, request: Request) -> bool:
        match request.method, request.path:
            case (_, ["faults"]) | (_, ["counters"]) | ("PUT", ["vms"]):
                return True
        return False

    async def _handle_control_request(self, request: Request) -> Reply:
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
            self._outage_ended.set()
        else:
            self._outage_ended.clear()
        async with self._change_condition:
            self._change_condition.notify_all()
        return Reply(body={})

    async def _handle_call(self, request: Request) -> Reply | None:
        purpose = request.headers.get("x-purpose", "none")
        write = request.method in ("PUT", "DELETE")
        now = time.monotonic()
        self.counters.record_call(purpose, write, now)
        limit = self._write_limit if write else self._read_limit
        if await self._fails_by_outage(purpose):
            return CLOSE
        if not limit.try_take(now):
            self.counters.refused[purpose] += 1
            headers = {"Retry-After": "1"}
            return Reply(status=429, body={}, headers=headers)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        reply = await self._route(request)
        if await self._fails_by_outage(purpose):
            return CLOSE
        if write and reply.status == 200 and self._should_lose_answer(request):
            return CLOSE
        return reply

    async def _fails_by_outage(self, purpose: str) -> bool:
        """Return whether the call fails; during a hang, after its end."""
        if self.faults.outage == "none":
            return False
        self.counters.failed[purpose] += 1
        if self.faults.outage == "hang":
            await self._outage_ended.wait()
        return True

    def _should_lose_answer(self, request: Request) -> bool:
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
        visible = self.vms.visible_list(time.monotonic())
        if visible["revision"] <= int(query.get("after", "0")):
            return Reply(body={"revision": visible["revision"]})
        return Reply(body=visible)

    def _list(self, kind: str) -> Reply:
        objects = self.store.changed_objects(kind)
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
        async with self._change_condition:
            self._change_condition.notify_all()
        return Reply(body={"version": stored.version})

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply:
        after = int(query.get("after", "0"))
        wait = min(int(query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        deadline = time.monotonic() + wait
        while True:
            objects = self.store.changed_objects(kind, after)
            remaining = deadline - time.monotonic()
            if objects or remaining <= 0 or self.faults.outage != "none":
                break
            await self._wait_for_change(remaining)
        body = {"objects": objects, "revision": self.store.revision}
        return Reply(body=body)

    async def _wait_for_change(self, timeout: float) -> None:
        async with self._change_condition:
            try:
                await asyncio.wait_for(self._change_condition.wait(), timeout)
            except TimeoutError:
                pass


async def serve(options: argparse.Namespace) -> None:
    """Serve requests until the process ends."""
    platform = Platform(
        vm_list_lag_ms=options.vm_list_lag_ms,
        max_reads_per_s=options.max_reads_per_s,
        max_writes_per_s=options.max_writes_per_s,
    )
    server = await serve_http(options.listen, platform.handle)
    print(f"listening {listening_address(server)}", flush=True)
    await asyncio.gather(server.serve_forever(), report_loop_delays())


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
