"""Callers of the line protocol that report all outcomes to a checker."""

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

from bamboospring.testing.session_checker import Cut
from bamboospring.testing.session_checker import SentStatement
from bamboospring.testing.session_checker import SessionChecker

__all__ = ["CallerKey", "CallerRoute", "SessionCaller", "StatementReply"]

NOT_RUN_CODES = (
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGHOST",
    "MAXCONN",
)
# The reason of refusals after which a caller closes its session.
STOPPING_REASON = "draining"
ANSWER_TIMEOUT = 6.0
ITEM_COUNT = 40
# Ends of items, data, values and shapes: letters whose last byte in UTF-8 is a
# white space of latin-1, and bytes that are no text. None of the first four
# holds a blank, so that they can end any field of a line.
FIELD_ENDINGS = ("", "ठ".encode().decode("latin-1"), "\x85", "\xb2")
DATA_ENDINGS = (*FIELD_ENDINGS, " ", "\t", "\x0b", "\x1f", "\r", "\x00\xff")
_session_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRoute:
    """A database as callers see it; `max_age` is in seconds.

    `write_share` and `transaction_share` are shares from 0 to 1.
    """

    database: str
    group: str
    max_age: float
    write_share: float
    transaction_share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerKey:
    """A key and its team; both are empty if no key is needed."""

    key: str = ""
    team: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementReply:
    """The answer to one statement; `code` is empty after success."""

    code: str = ""
    state: str = "I"
    rows: tuple[str, ...] = ()
    signature: str = ""


class ConnectionEnded(Exception):
    """The connection ended; the outcome of a statement is unknown."""


class SessionCaller:
    """One caller, which opens sessions at random VMs and runs statements."""

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
        self._checker = judge
        self._rng = random.Random(f"{seed}/caller/{number}")
        self._pause = pause
        self._keys = keys
        # Can be changed while the caller runs.
        self.stop_at = 0.0

    async def run(self, stop_at: float) -> None:
        """Run sessions until a monotonic time."""
        self.stop_at = stop_at
        while time.monotonic() < self.stop_at:
            route = self._rng.choice(self._routes)
            session = _Session(
                number=next(_session_numbers),
                route=route,
                checker=self._checker,
                rng=self._rng,
                outcomes=self.outcomes,
                latencies=self.latencies,
                key=self._rng.choice(self._keys),
            )
            try:
                await session.open(self._rng.choice(self._addresses()))
                await self._run_operations(session)
            except (
                OSError,
                ConnectionEnded,
                asyncio.IncompleteReadError,
                TimeoutError,
            ):
                self.outcomes["cut"] += 1
                await asyncio.sleep(0.05)
            finally:
                session.close()

    async def _run_operations(self, session: _Session) -> None:
        for _ in range(self._rng.choice((1, 5, 40))):
            if time.monotonic() >= self.stop_at:
                return
            await session.run_operation()
            if session.must_leave:
                return
            await asyncio.sleep(self._rng.uniform(0, 2 * self._pause))


@dataclass(slots=True, kw_only=True)
class _Session:
    """One session with its values and prepared shapes."""

    number: int
    route: CallerRoute
    checker: SessionChecker
    rng: random.Random
    outcomes: Counter[str]
    latencies: list[float]
    key: CallerKey
    values: dict[str, str] = field(default_factory=dict)
    prepared_shapes: dict[str, tuple[bool, str]] = field(default_factory=dict)
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    address: str = ""
    opened_at: float = 0.0
    must_leave: bool = False

    async def open(self, address: str) -> None:
        """Connect and open a session on the database."""
        self.address, self.opened_at = address, time.monotonic()
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        credential = self.key.key or f"c{self.number}"
        self.writer.write(
            f"OPEN {self.route.database} {credential}\r\n".encode()
        )
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            self.outcomes[f"open:{line.decode().split()[1]}"] += 1
            raise ConnectionEnded()

    def close(self) -> None:
        """Close the connection, which ends the session."""
        if self.writer is not None:
            self.writer.close()

    async def run_operation(self) -> None:
        """Run one statement or one transaction."""
        random_value = self.rng.random()
        if random_value < 0.05:
            await self._set_value()
        elif random_value < 0.1:
            await self._prepare_shape()
        elif self.rng.random() < self.route.transaction_share:
            await self._run_transaction()
        else:
            await self._run_autocommit()

    async def _set_value(self) -> None:
        name = self.rng.choice(("lang", "zone"))
        number = self.rng.randrange(4)
        value = f"{number}{FIELD_ENDINGS[number]}"
        reply = await self._query("-s", f"SET {name} {value}")
        if not reply.code:
            self.values[name] = value

    async def _prepare_shape(self) -> None:
        name = self.rng.choice(("a", "b"))
        is_write = self.rng.random() < self.route.write_share
        number = self.rng.randrange(6)
        shape = f"q{number}{DATA_ENDINGS[number]}"
        mode = "WRITE" if is_write else "READ"
        reply = await self._query("-p", f"PREPARE {name} {mode} {shape}")
        if not reply.code:
            self.prepared_shapes[name] = (is_write, shape)

    async def _run_autocommit(self) -> None:
        started_at = time.monotonic()
        is_write = self.rng.random() < self.route.write_share
        id, is_write, reply = await self._run_statement(
            is_write, started_at, ""
        )
        self._record_reply("write" if is_write else "read", reply, started_at)
        if is_write:
            self._report_outcome((id,), reply)

    async def _run_transaction(self) -> None:
        """Run a transaction with pauses; some are rolled back."""
        started_at = time.monotonic()
        has_writes = self.rng.random() < self.route.write_share
        transaction = _new_id()
        reply = await self._query(
            "-b", "BEGIN" if has_writes else "BEGIN READ"
        )
        if reply.code:
            self._record_reply("begin", reply, started_at)
            return
        write_ids: list[str] = []
        for _ in range(self.rng.randint(1, 5)):
            await asyncio.sleep(self.rng.uniform(0, 0.03))
            is_write = has_writes and self.rng.random() < 0.6
            id, is_write, reply = await self._run_statement(
                is_write, started_at, transaction
            )
            if is_write:
                write_ids.append(id)
            if reply.code:
                if not self.must_leave:
                    await self._query("-r", "ROLLBACK")
                self._record_reply("statement", reply, started_at)
                self._report_outcome(
                    tuple(write_ids), StatementReply(code="ABORTED")
                )
                return
        if self.rng.random() < 0.1:
            await self._query("-r", "ROLLBACK")
            self._report_outcome(
                tuple(write_ids), StatementReply(code="ABORTED")
            )
            return
        id = _new_id()
        self._record_sent(id, "COMMIT", started_at, transaction)
        reply = await self._query(id, "COMMIT")
        self._record_reply("commit", reply, started_at)
        self._report_outcome(tuple(write_ids), reply)

    async def _run_statement(
        self, is_write: bool, started_at: float, transaction: str
    ) -> tuple[str, bool, StatementReply]:
        id = _new_id()
        number = self.rng.randrange(ITEM_COUNT)
        item = f"i{number}{FIELD_ENDINGS[number % len(FIELD_ENDINGS)]}"
        ending = DATA_ENDINGS[int(id, 16) % len(DATA_ENDINGS)]
        data = f" d{id[:6]}{ending}" if is_write else ""
        mode = "WRITE" if is_write else "READ"
        text, shape = f"{mode} {item}{data}", ""
        matching_names = [
            n for n, (w, _s) in self.prepared_shapes.items() if w == is_write
        ]
        if matching_names and self.rng.random() < 0.5:
            name = self.rng.choice(matching_names)
            text, shape = (
                f"EXECUTE {name} {item}{data}",
                self.prepared_shapes[name][1],
            )
        self._record_sent(id, text, started_at, transaction, shape)
        reply = await self._query(id, text)
        if not is_write and not reply.code:
            self.checker.check_rows(id, reply.rows)
        return id, is_write, reply

    def _record_sent(
        self,
        id: str,
        text: str,
        started_at: float,
        transaction: str,
        shape: str = "",
    ) -> None:
        sent_at = started_at if transaction else time.monotonic()
        self.checker.record_sent(
            SentStatement(
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
        )

    async def _query(self, id: str, text: str) -> StatementReply:
        """Send one statement and return its reply.

        An id that starts with `-` is replaced by a new id, which the checker
        does not expect.
        """
        assert self.writer is not None and self.reader is not None
        if id.startswith("-"):
            id = _new_id()
        self.writer.write(f"QUERY {id} {text}\r\n".encode("latin-1"))
        rows: list[str] = []
        code = signature = ""
        sent_at = time.monotonic()
        while True:
            try:
                line = await asyncio.wait_for(
                    self.reader.readuntil(b"\r\n"), ANSWER_TIMEOUT
                )
            except (ConnectionError, asyncio.IncompleteReadError):
                if not code:
                    self._record_cut(id, sent_at)
                raise
            keyword, _, rest = line.decode("latin-1")[:-2].partition(" ")
            match keyword:
                case "ROW":
                    rows.append(rest)
                case "COMPLETE":
                    signature = rest
                case "ERROR":
                    code = rest.split(" ")[0]
                    self.must_leave |= STOPPING_REASON in rest.split(" ")
                case "READY":
                    return StatementReply(
                        code=code,
                        state=rest[:1],
                        rows=tuple(rows),
                        signature=signature,
                    )
                case _:
                    raise ConnectionEnded()

    def _record_cut(self, id: str, sent_at: float) -> None:
        self.checker.cuts.append(
            Cut(
                id=id,
                address=self.address,
                opened_at=self.opened_at,
                sent_at=sent_at,
                ended_at=time.monotonic(),
            )
        )

    def _report_outcome(
        self, request_ids: tuple[str, ...], reply: StatementReply
    ) -> None:
        outcome = "unknown"
        if not reply.code:
            outcome = "done"
        elif reply.code in NOT_RUN_CODES:
            outcome = "nothing"
        self.checker.check_outcome(
            self.route.group, self.number, request_ids, outcome
        )

    def _record_reply(
        self, operation: str, reply: StatementReply, started_at: float
    ) -> None:
        self.outcomes[f"{operation}:{reply.code or 'ok'}"] += 1
        if not reply.code:
            self.latencies.append(time.monotonic() - started_at)


def _new_id() -> str:
    return f"{random.getrandbits(64):016x}"
