"""Replication: pulls the primary's log and applies it with a lag.

A pull contains the index and term of the newest local entry. The primary
answers with the entries after it, or with a mismatch and the newest index at
which the logs may agree. Local entries are dropped only when the primary has
sent the entries that replace them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson

from bamboospring.blackboard import Role
from bamboospring.testing.target_engine import TargetEngine
from bamboospring.testing.target_store import LogEntry

__all__ = ["Replication"]

PULL_WAIT_MS = 1000
PULL_TIMEOUT = 2.0
RETRY_DELAY = 0.05
APPLY_BATCH = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowState:
    """The term, role and primary under which a pull was started."""

    term: int
    role: Role
    primary_address: str


class LogClient:
    """A small HTTP client for `/log` of the primary."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, path: str) -> tuple[int, dict[str, Any]]:
        """Return status and body; close the connection on any error."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT):
                return await self._get(path)
        except BaseException:
            self.close()
            raise

    async def _get(self, path: str) -> tuple[int, dict[str, Any]]:
        if self._writer is None:
            host, port = self.address.rsplit(":", 1)
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        assert self._reader is not None
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
        self._writer.write(request.encode())
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        length = 0
        for line in lines:
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await self._reader.readexactly(length)
        return int(lines[0].split()[1]), orjson.loads(body)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = None
        self._writer = None


class Replication:
    """Replicates the primary's log while the target is a replica."""

    def __init__(self, *, engine: TargetEngine) -> None:
        self.engine = engine
        self._client: LogClient | None = None
        self._apply_queue: deque[tuple[float, int]] = deque()

    def _follow_state(self) -> FollowState:
        store = self.engine.store
        return FollowState(
            term=store.term,
            role=store.role,
            primary_address=store.primary_address,
        )

    async def run_pull_loop(self) -> None:
        """Pull continuously from the primary that this target follows."""
        while True:
            following = self._follow_state()
            if following.role != Role.REPLICA or not following.primary_address:
                await self.engine.wait_for_change(PULL_WAIT_MS / 1000)
                continue
            try:
                await self._pull_while_following(following)
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(RETRY_DELAY)

    async def _pull_while_following(self, following: FollowState) -> None:
        client = self._client
        if client is None or client.address != following.primary_address:
            if client is not None:
                client.close()
            client = self._client = LogClient(
                address=following.primary_address
            )
        store = self.engine.store
        after = store.received
        while True:
            last_term = store.term_at(after)
            status, body = await self._request_entries(
                client, following, after, last_term
            )
            # The target may have been fenced or follow another primary since
            # the pull began. The entries of the old primary must not be
            # stored then.
            if self._follow_state() != following:
                return
            if status != 200:
                await asyncio.sleep(RETRY_DELAY)
                return
            if body.get("mismatch"):
                after = max(min(after - 1, body["hint"]), 0)
                continue
            await self._store_entries(following, after, body["entries"])
            if self._follow_state() != following:
                return
            after = store.received

    async def _request_entries(
        self,
        client: LogClient,
        following: FollowState,
        after: int,
        last_term: Any,
    ) -> tuple[int, dict[str, Any]]:
        pull = asyncio.ensure_future(
            client.get(
                f"/log?after={after}&last_term={last_term}"
                f"&term={following.term}&wait_ms={PULL_WAIT_MS}"
            )
        )
        try:
            while not pull.done() and self._follow_state() == following:
                change = asyncio.ensure_future(
                    self.engine.wait_for_change(PULL_TIMEOUT)
                )
                await asyncio.wait(
                    [pull, change], return_when=asyncio.FIRST_COMPLETED
                )
                change.cancel()
            if not pull.done():
                return 409, {}
            return pull.result()
        finally:
            pull.cancel()

    async def _store_entries(
        self, following: FollowState, after: int, entries: list[list[Any]]
    ) -> None:
        if not entries:
            return
        settings = self.engine.settings
        if settings.receive_lag_ms > 0:
            await asyncio.sleep(settings.receive_lag_ms / 1000)
            if self._follow_state() != following:
                return
        store = self.engine.store
        store.store_entries(
            after,
            [
                LogEntry(index=index, term=term, body=body.encode())
                for index, term, body in entries
            ],
        )
        if settings.apply_lag_ms > 0:
            apply_at = asyncio.get_running_loop().time()
            apply_at += settings.apply_lag_ms / 1000
            self._apply_queue.append((apply_at, store.received))
        else:
            self._apply_queue.clear()
            store.apply_through(store.received)
        self.engine.notify_change()

    async def run_apply_loop(self) -> None:
        """Apply entries, which makes them visible, after their lag."""
        loop = asyncio.get_running_loop()
        store = self.engine.store
        self._apply_queue.append((loop.time(), store.received))
        while True:
            while self._apply_queue and self._apply_queue[0][0] <= loop.time():
                await self._apply_to(self._apply_queue.popleft()[1])
            if self._apply_queue:
                await asyncio.sleep(
                    max(self._apply_queue[0][0] - loop.time(), 0)
                )
            else:
                await self.engine.wait_for_change(PULL_WAIT_MS / 1000)

    async def _apply_to(self, index: int) -> None:
        store = self.engine.store
        while store.role == Role.REPLICA:
            last = min(index, store.received)
            if store.applied >= last:
                return
            store.apply_through(min(store.applied + APPLY_BATCH, last))
            self.engine.notify_change()
            await asyncio.sleep(0)
