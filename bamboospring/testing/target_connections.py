"""Statement connections of the target stand-in, and its write lock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import sqlite3
from typing import Any

from bamboospring.testing.target_store import StoredStatement

__all__ = [
    "DEFAULT_DEADLINE_MS",
    "StatementConnection",
    "StatementRefused",
    "TargetStatement",
    "TargetTransaction",
    "WriteLock",
]

DEFAULT_DEADLINE_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatement:
    """One `/execute` request."""

    id: int
    term: int = 0
    write: bool = False
    sql: str = ""
    params: list[Any] = field(default_factory=list)
    step: str | None = None
    key: str | None = None
    caller: str = ""
    min_index: int = 0
    deadline_ms: float = DEFAULT_DEADLINE_MS

    @property
    def needs_primary(self) -> bool:
        """Return whether only a primary may run the statement."""
        return self.write or self.step is not None


@dataclass(slots=True, kw_only=True)
class TargetTransaction:
    """An open transaction; a read-only one has its own connection."""

    conn: sqlite3.Connection
    read_only: bool
    index: int
    statements: list[StoredStatement] = field(default_factory=list)
    requested: list[StoredStatement] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, eq=False)
class StatementConnection:
    """One statement connection."""

    holder: str
    abort: Callable[[], None]
    idle_tx_ms: int = 0
    connection_id: int = 0
    transaction: TargetTransaction | None = None
    idle_timer: asyncio.TimerHandle | None = None


class StatementRefused(Exception):
    """The statement was not executed; `reason` is part of the protocol."""

    def __init__(self, reason: str, message: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.message = message


class WriteLock:
    """The target's single write lock, granted in FIFO order."""

    def __init__(self) -> None:
        self.owner: StatementConnection | None = None
        self._waiting: deque[
            tuple[StatementConnection, asyncio.Future[None]]
        ] = deque()

    def try_acquire(self, connection: StatementConnection) -> bool:
        """Acquire the lock if it is free; return whether it was."""
        if self.owner is not None:
            return False
        self.owner = connection
        return True

    async def acquire(
        self, connection: StatementConnection, timeout: float
    ) -> bool:
        """Wait for the lock; return False after `timeout` seconds."""
        if self.try_acquire(connection):
            return True
        fut = asyncio.get_running_loop().create_future()
        item = (connection, fut)
        self._waiting.append(item)
        try:
            await asyncio.wait([fut], timeout=timeout)
        finally:
            if not fut.done():
                self._waiting.remove(item)
        return fut.done()

    def release(self, connection: StatementConnection) -> None:
        """Release the lock and grant it to the next waiting connection."""
        if self.owner is not connection:
            return
        self.owner = None
        if self._waiting:
            owner, fut = self._waiting.popleft()
            self.owner = owner
            fut.set_result(None)
