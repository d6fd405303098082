"""Callers with sessions, over the line protocol, that tell a judge."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import itertools
import random
import time

from bamboospring.testing.session_checker import SentStatement
from bamboospring.testing.session_checker import SessionChecker

__all__ = ["CallerKey", "CallerRoute", "SessionCaller", "StatementReply"]

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "MAXCONN")
ANSWER_TIMEOUT = 6.0
ITEMS = 40
_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRoute:
    """A database as callers know it; ages in seconds."""

    database: str
    group: str
    max_age: float
    write_share: float
    transaction_share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerKey:
    """A key and its team; both are empty where no key is needed."""

    key: str = ""
    team: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementReply:
    """The answer to one statement; `code` is empty for a success."""

    code: str = ""
    state: str = "I"
    rows: tuple[str, ...] = ()
    signature: str = ""


class Gone(Exception):
    """The connection ended; nothing more is known."""


class SessionCaller:
    """One caller: opens sessions at some VM and works through them."""

    def __init__(
        self,
        *,
        number: int,
        routes: list[CallerRoute],
        addresses: Callable[[], list[str]],
        judge: SessionChecker,
        seed: int,
        pause: float = 0.02,
        keys: Sequence[CallerKey] = (CallerKey(),),
    ) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latencies: list[float] = []
        self._number = number
        self._routes = routes
        self._addresses = addresses
        self._judge = judge
        self._random = random.Random(f"{seed}/caller/{number}")
        self._pause = pause
        self._keys = keys
        # May be put off while it works.
        self.stop_at = 0.0

    async def run(self, until: float) -> None:
        """Work until a monotonic time."""
        self.stop_at = until
        while time.monotonic() < self.stop_at:
            route = self._random.choice(self._routes)
            session = _Session(
                number=next(_numbers),
                route=route,
                judge=self._judge,
                random=self._random,
                outcomes=self.outcomes,
                latencies=self.latencies,
                key=self._random.choice(self._keys),
            )
            try:
                await session.open(self._random.choice(self._addresses()))
                await self._work(session)
            except (OSError, Gone, asyncio.IncompleteReadError, TimeoutError):
                self.outcomes["cut"] += 1
                await asyncio.sleep(0.05)
            finally:
                session.close()

    async def _work(self, session: _Session) -> None:
        for _ in range(self._random.choice((1, 5, 40))):
            if time.monotonic() >= self.stop_at:
                return
            await session.operation()
            await asyncio.sleep(self._random.uniform(0, 2 * self._pause))


@dataclass(slots=True, kw_only=True)
class _Session:
    """One session and what it has set and prepared."""

    number: int
    route: CallerRoute
    judge: SessionChecker
    random: random.Random
    outcomes: Counter[str]
    latencies: list[float]
    key: CallerKey
    values: dict[str, str] = field(default_factory=dict)
    names: dict[str, tuple[bool, str]] = field(default_factory=dict)
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def open(self, address: str) -> None:
        """Connect and name the database."""
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        who = self.key.key or f"c{self.number}"
        self.writer.write(f"OPEN {self.route.database} {who}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            self.outcomes[f"open:{line.decode().split()[1]}"] += 1
            raise Gone()

    def close(self) -> None:
        """End the session."""
        if self.writer is not None:
            self.writer.close()

    async def operation(self) -> None:
        """Do one statement or one transaction."""
        draw = self.random.random()
        if draw < 0.05:
            await self._set()
        elif draw < 0.1:
            await self._prepare()
        elif self.random.random() < self.route.transaction_share:
            await self._transaction()
        else:
            await self._single()

    async def _set(self) -> None:
        name = self.random.choice(("lang", "zone"))
        value = str(self.random.randrange(4))
        told = await self._ask("-s", f"SET {name} {value}")
        if not told.code:
            self.values[name] = value

    async def _prepare(self) -> None:
        name = self.random.choice(("a", "b"))
        writes = self.random.random() < self.route.write_share
        shape = f"q{self.random.randrange(6)}"
        mode = "WRITE" if writes else "READ"
        told = await self._ask("-p", f"PREPARE {name} {mode} {shape}")
        if not told.code:
            self.names[name] = (writes, shape)

    async def _single(self) -> None:
        began = time.monotonic()
        writes = self.random.random() < self.route.write_share
        id, writes, told = await self._statement(writes, began, "")
        self._count("write" if writes else "read", told, began)
        if writes:
            self._tell((id,), told)

    async def _transaction(self) -> None:
        """Work in a transaction with pauses, sometimes leaving midway."""
        began = time.monotonic()
        writing = self.random.random() < self.route.write_share
        transaction = _new_id()
        told = await self._ask("-b", "BEGIN" if writing else "BEGIN READ")
        if told.code:
            self._count("begin", told, began)
            return
        wrote: list[str] = []
        for _ in range(self.random.randint(1, 5)):
            await asyncio.sleep(self.random.uniform(0, 0.03))
            writes = writing and self.random.random() < 0.6
            id, writes, told = await self._statement(
                writes, began, transaction
            )
            if writes:
                wrote.append(id)
            if told.code:
                await self._ask("-r", "ROLLBACK")
                self._count("statement", told, began)
                self._tell(tuple(wrote), StatementReply(code="ABORTED"))
                return
        if self.random.random() < 0.1:
            await self._ask("-r", "ROLLBACK")
            self._tell(tuple(wrote), StatementReply(code="ABORTED"))
            return
        id = _new_id()
        self._note(id, "COMMIT", began, transaction)
        told = await self._ask(id, "COMMIT")
        self._count("commit", told, began)
        self._tell(tuple(wrote), told)

    async def _statement(
        self, writes: bool, began: float, transaction: str
    ) -> tuple[str, bool, StatementReply]:
        id = _new_id()
        item = f"i{self.random.randrange(ITEMS)}"
        data = f" d{id[:6]}" if writes else ""
        mode = "WRITE" if writes else "READ"
        text, shape = f"{mode} {item}{data}", ""
        fit = [n for n, (w, _s) in self.names.items() if w == writes]
        if fit and self.random.random() < 0.5:
            name = self.random.choice(fit)
            text, shape = f"EXECUTE {name} {item}{data}", self.names[name][1]
        self._note(id, text, began, transaction, shape)
        return id, writes, await self._ask(id, text)

    def _note(
        self,
        id: str,
        text: str,
        began: float,
        transaction: str,
        shape: str = "",
    ) -> None:
        sent_at = began if transaction else time.monotonic()
        self.judge.sent_statements[id] = SentStatement(
            id=id,
            group=self.route.group,
            session=self.number,
            attempt=id,
            text=text,
            sent_at=sent_at,
            max_age=self.route.max_age,
            transaction=transaction,
            values=dict(self.values),
            shape=shape,
            key=self.key.key,
            team=self.key.team,
        )

    async def _ask(self, id: str, text: str) -> StatementReply:
        assert self.writer is not None and self.reader is not None
        if id.startswith("-"):
            id = _new_id()
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        rows: list[str] = []
        code = signature = ""
        while True:
            line = await asyncio.wait_for(
                self.reader.readuntil(b"\r\n"), ANSWER_TIMEOUT
            )
            word, _, rest = line.decode("latin-1")[:-2].partition(" ")
            match word:
                case "ROW":
                    rows.append(rest)
                case "COMPLETE":
                    signature = rest
                case "ERROR":
                    code = rest.split(" ")[0]
                case "READY":
                    return StatementReply(
                        code=code,
                        state=rest[:1],
                        rows=tuple(rows),
                        signature=signature,
                    )
                case _:
                    raise Gone()

    def _tell(self, requests: tuple[str, ...], told: StatementReply) -> None:
        word = "unknown"
        if not told.code:
            word = "done"
        elif told.code in PROMISES:
            word = "nothing"
        self.judge.told(self.route.group, self.number, requests, word)

    def _count(self, what: str, told: StatementReply, began: float) -> None:
        self.outcomes[f"{what}:{told.code or 'ok'}"] += 1
        if not told.code:
            self.latencies.append(time.monotonic() - began)


def _new_id() -> str:
    return f"{random.getrandbits(64):016x}"
