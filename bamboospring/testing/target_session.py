"""Statement connections of the stand-in target, and its write lock."""

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
    "Refused",
    "Session",
    "Statement",
    "Transaction",
    "WriteLock",
]

DEFAULT_DEADLINE_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
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
        """Tell whether only a primary may run this."""
        return self.write or self.step is not None


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction; a read-only one has a connection of its own."""

    conn: sqlite3.Connection
    read_only: bool
    index: int
    statements: list[StoredStatement] = field(default_factory=list)
    asked: list[StoredStatement] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, eq=False)
class Session:
    """One statement connection."""

    holder: str
    abort: Callable[[], None]
    idle_tx_ms: int = 0
    number: int = 0
    transaction: Transaction | None = None
    idle: asyncio.TimerHandle | None = None


class Refused(Exception):
    """Nothing ran; carries the protocol's reason."""

    def __init__(self, reason: str, message: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.message = message


class WriteLock:
    """The target's single write lock, first come first served."""

    def __init__(self) -> None:
        self.owner: Session | None = None
        self._waiting: deque[tuple[Session, asyncio.Future[None]]] = deque()

    def take_now(self, session: Session) -> bool:
        """Take the lock if it is free."""
        if self.owner is not None:
            return False
        self.owner = session
        return True

    async def take(self, session: Session, timeout: float) -> bool:
        """Wait for the lock; False when the time is over."""
        if self.take_now(session):
            return True
        fut = asyncio.get_running_loop().create_future()
        item = (session, fut)
        self._waiting.append(item)
        try:
            await asyncio.wait([fut], timeout=timeout)
        finally:
            if not fut.done():
                self._waiting.remove(item)
        return fut.done()

    def release(self, session: Session) -> None:
        """Give the lock to the next one that waits."""
        if self.owner is not session:
            return
        self.owner = None
        if self._waiting:
            owner, fut = self._waiting.popleft()
            self.owner = owner
            fut.set_result(None)
