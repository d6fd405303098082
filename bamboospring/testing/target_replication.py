"""How a replica pulls the primary's log, and shows it later.

A pull names the newest entry here by index and term. The primary answers
with what follows, or with a mismatch and the newest place where the logs may
agree. Own entries are dropped only once the primary has sent what replaces
them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson

from bamboospring.blackboard import Role
from bamboospring.testing.target_engine import Engine
from bamboospring.testing.target_store import LogEntry

__all__ = ["Replication"]

PULL_WAIT_MS = 1000
PULL_TIMEOUT = 2.0
RETRY_DELAY = 0.05
APPLY_BATCH = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Epoch:
    """The order under which a pull was started."""

    term: int
    role: Role
    primary_address: str


class LogClient:
    """A small HTTP client for the primary's `/log`."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, path: str) -> tuple[int, dict[str, Any]]:
        """Return status and body; any error closes the connection."""
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
        """Close the connection; the next call opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = None
        self._writer = None


class Replication:
    """Keeps a target at its primary's heels while it is a replica."""

    def __init__(self, *, engine: Engine) -> None:
        self.engine = engine
        self._client: LogClient | None = None
        self._due: deque[tuple[float, int]] = deque()

    def _epoch(self) -> Epoch:
        store = self.engine.store
        return Epoch(
            term=store.term,
            role=store.role,
            primary_address=store.primary_address,
        )

    async def pull_for_ever(self) -> None:
        """Pull from whatever primary this target follows."""
        while True:
            epoch = self._epoch()
            if epoch.role != Role.REPLICA or not epoch.primary_address:
                await self.engine.wait_change(PULL_WAIT_MS / 1000)
                continue
            try:
                await self._pull_epoch(epoch)
            except (OSError, EOFError, TimeoutError, ValueError):
                await asyncio.sleep(RETRY_DELAY)

    async def _pull_epoch(self, epoch: Epoch) -> None:
        client = self._client
        if client is None or client.address != epoch.primary_address:
            if client is not None:
                client.close()
            client = self._client = LogClient(address=epoch.primary_address)
        store = self.engine.store
        after = store.received
        while True:
            last_term = store.term_at(after)
            status, body = await self._ask(client, epoch, after, last_term)
            # A fence or another primary may have come while we waited: what
            # the old primary sent is then no longer ours to take.
            if self._epoch() != epoch:
                return
            if status != 200:
                await asyncio.sleep(RETRY_DELAY)
                return
            if body.get("mismatch"):
                after = max(min(after - 1, body["hint"]), 0)
                continue
            await self._store(epoch, after, body["entries"])
            if self._epoch() != epoch:
                return
            after = store.received

    async def _ask(
        self, client: LogClient, epoch: Epoch, after: int, last_term: Any
    ) -> tuple[int, dict[str, Any]]:
        pull = asyncio.ensure_future(
            client.get(
                f"/log?after={after}&last_term={last_term}"
                f"&term={epoch.term}&wait_ms={PULL_WAIT_MS}"
            )
        )
        try:
            while not pull.done() and self._epoch() == epoch:
                change = asyncio.ensure_future(
                    self.engine.wait_change(PULL_TIMEOUT)
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

    async def _store(
        self, epoch: Epoch, after: int, entries: list[list[Any]]
    ) -> None:
        if not entries:
            return
        knobs = self.engine.knobs
        if knobs.receive_lag_ms > 0:
            await asyncio.sleep(knobs.receive_lag_ms / 1000)
            if self._epoch() != epoch:
                return
        store = self.engine.store
        store.store_entries(
            after,
            [
                LogEntry(index=index, term=term, body=body.encode())
                for index, term, body in entries
            ],
        )
        if knobs.apply_lag_ms > 0:
            due = asyncio.get_running_loop().time()
            due += knobs.apply_lag_ms / 1000
            self._due.append((due, store.received))
        else:
            self._due.clear()
            store.apply_through(store.received)
        self.engine.changed()

    async def apply_for_ever(self) -> None:
        """Show entries to readers once their lag has passed."""
        loop = asyncio.get_running_loop()
        store = self.engine.store
        self._due.append((loop.time(), store.received))
        while True:
            while self._due and self._due[0][0] <= loop.time():
                await self._apply_to(self._due.popleft()[1])
            if self._due:
                await asyncio.sleep(max(self._due[0][0] - loop.time(), 0))
            else:
                await self.engine.wait_change(PULL_WAIT_MS / 1000)

    async def _apply_to(self, index: int) -> None:
        store = self.engine.store
        while store.role == Role.REPLICA:
            last = min(index, store.received)
            if store.applied >= last:
                return
            store.apply_through(min(store.applied + APPLY_BATCH, last))
            self.engine.changed()
            await asyncio.sleep(0)
