"""Stand-ins for database members that use the line protocol.

The members of a group share no state except through replication: each has its
own log, applies entries with a lag and may be partitioned from the others. A
`MemberObserver` is called for every executed statement.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import hashlib
import random
from typing import Protocol

from bamboospring.testing.fault_proxy import reset_connection

__all__ = [
    "Member",
    "MemberConnection",
    "MemberGroup",
    "MemberLogEntry",
    "MemberObserver",
    "MemberSettings",
]

MAX_LINE_BYTES = 2 * 1024 * 1024
STEP_DOWN_DELAY = 1.0
# Seconds between two checks whether the client of a connection whose reply is
# withheld has closed it.
CLOSE_CHECK_INTERVAL = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLogEntry:
    """One commit with writes: its position, request ids and items."""

    term: int
    index: int
    request_ids: tuple[str, ...]
    items: tuple[tuple[str, str], ...]

    @property
    def position(self) -> tuple[int, int]:
        """Return the position in the log."""
        return self.term, self.index


@dataclass(slots=True, kw_only=True)
class MemberSettings:
    """Limits and simulated behaviour; shares are from 0 to 1.

    `replication_lag` is in seconds.
    """

    statement_seconds: float = 0.004
    connect_seconds: float = 0.012
    replication_lag: float = 0.02
    promotion_seconds: float = 0.6
    slots: int = 3
    max_waiting: int = 24
    connections: int = 22
    lost_answer_share: float = 0.0
    failure_share: float = 0.0


class MemberObserver(Protocol):
    """Receives the events at members."""

    def on_connection_opened(self, member: Member, id: str) -> None:
        """Handle the opening of a session that named the member."""

    def on_statement(
        self, member: Member, conn: MemberConnection, id: str, text: str
    ) -> None:
        """Handle the execution of a read or write."""

    def on_commit(self, member: Member, entry: MemberLogEntry) -> None:
        """Handle a commit that was appended to a member's log."""

    def on_promotion(self, group: MemberGroup, member: Member) -> None:
        """Handle the promotion of a member."""


class MemberGroup:
    """A primary and its replicas."""

    def __init__(
        self,
        *,
        name: str,
        observer: MemberObserver,
        settings: MemberSettings,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.observer = observer
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.newest_term = 1
        self.rng = random.Random(f"{seed}/{name}")
        self.partitioned_pairs: set[frozenset[str]] = set()

    def add(self, id: str, zone: str, *, primary: bool) -> Member:
        """Add a member that does not listen yet."""
        member = Member(group=self, id=id, zone=zone, primary=primary)
        self.members[id] = member
        return member

    def can_reach(self, a: Member, b: Member) -> bool:
        """Return whether two members can reach each other."""
        both_up = a.is_running and b.is_running
        return (
            both_up and frozenset((a.id, b.id)) not in self.partitioned_pairs
        )

    def replicate(self, primary: Member) -> None:
        """Send the log of a primary to all replicas, each after its lag."""
        for member in self.members.values():
            if member is not primary:
                lag = member.lag * self.rng.uniform(0.5, 1.5)
                asyncio.get_running_loop().call_later(
                    lag, member.receive, primary, len(primary.log)
                )

    async def promote(self, id: str) -> bool:
        """Make a member primary of the next term after a delay."""
        member = self.members.get(id)
        if member is None or not member.is_running:
            return False
        if member.is_primary:
            return True
        await asyncio.sleep(self.settings.promotion_seconds)
        if not member.is_running:
            return False
        self.newest_term += 1
        member.term = self.newest_term
        member.is_primary = True
        member.held_term = 0
        self.observer.on_promotion(self, member)
        for other in self.members.values():
            if other is not member:
                other.held_term = 0
        asyncio.create_task(self._announce_primary(member))
        return True

    async def _announce_primary(self, primary: Member) -> None:
        """Make the others follow as soon as they can reach the new primary."""
        while primary.is_primary and primary.is_running:
            for other in self.members.values():
                if other is primary or not self.can_reach(primary, other):
                    continue
                if other.is_primary and other.term < primary.term:
                    other.schedule_step_down(STEP_DOWN_DELAY)
                elif not other.is_primary:
                    other.receive(primary, len(primary.log))
            await asyncio.sleep(0.1)


class Member:
    """One database server with its log, role, slots and listener."""

    def __init__(
        self, *, group: MemberGroup, id: str, zone: str, primary: bool
    ) -> None:
        self.group = group
        self.id = id
        self.zone = zone
        self.is_primary = primary
        self.term = 1
        self.held_term = 0
        self.lag = group.settings.replication_lag
        self.statement_seconds = group.settings.statement_seconds
        self.log: list[MemberLogEntry] = []
        self.draining = False
        self.unresponsive = False
        self.address = ""
        self.open_connections: set[MemberConnection] = set()
        self.busy_slots = 0
        self.waiting_statements = 0
        self._slots = asyncio.Semaphore(group.settings.slots)
        self._server: asyncio.Server | None = None
        self._stepping_down = False

    @property
    def is_running(self) -> bool:
        """Return whether the simulated process runs."""
        return self._server is not None

    @property
    def position(self) -> tuple[int, int]:
        """Return the position of the newest entry."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        """Listen on `address`, which is the same at each start."""
        host, _, port = self.address.rpartition(":")
        self.held_term = 0
        self._server = await asyncio.start_server(
            self._handle_accept,
            host,
            int(port),
            backlog=256,
            limit=MAX_LINE_BYTES,
        )

    def stop(self) -> None:
        """Stop immediately; the log is kept."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for conn in list(self.open_connections):
            reset_connection(conn.writer)

    def receive(self, primary: Member, length: int) -> None:
        """Replace the log by the primary's log up to a length."""
        if not self.group.can_reach(primary, self):
            return
        if (
            self.is_primary
            or primary.term < self.term
            or not primary.is_primary
        ):
            return
        if self.held_term > primary.term:
            return
        self.term = primary.term
        received = primary.log[:length]
        if (
            len(received) < len(self.log)
            and self.log[: len(received)] == received
        ):
            return
        self.log = received

    def step_down(self, term: int) -> None:
        """Become a replica if the term is higher than the current one."""
        if self.is_primary and self.term < term:
            self.is_primary = False

    def schedule_step_down(self, delay: float) -> None:
        """Become a replica `delay` seconds after reaching the new primary."""
        if self._stepping_down:
            return
        self._stepping_down = True

        def step_down_now() -> None:
            self._stepping_down = False
            self.is_primary = False

        asyncio.get_running_loop().call_later(delay, step_down_now)

    def commit(self, conn: MemberConnection) -> MemberLogEntry:
        """Append the writes of a transaction to the log."""
        entry = MemberLogEntry(
            term=self.term,
            index=len(self.log) + 1,
            request_ids=tuple(conn.write_ids),
            items=tuple(conn.written_items),
        )
        self.log.append(entry)
        self.group.observer.on_commit(self, entry)
        self.group.replicate(self)
        return entry

    async def use_slot(self, seconds: float) -> bool:
        """Use a slot for some seconds; return False if the queue is full."""
        if self.waiting_statements >= self.group.settings.max_waiting:
            return False
        self.waiting_statements += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting_statements -= 1
        self.busy_slots += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy_slots -= 1
            self._slots.release()
        return True

    async def _handle_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = MemberConnection(member=self, reader=reader, writer=writer)
        try:
            await conn.run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open_connections.discard(conn)
            writer.close()


@dataclass(slots=True, kw_only=True, eq=False)
class MemberConnection:
    """One connection at a member, with its values, shapes and transaction.

    `user` is the user name from the OPEN message.
    """

    member: Member
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    user: str = ""
    values: dict[str, str] = field(default_factory=dict)
    prepared_shapes: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    term: int = 0
    write_ids: list[str] = field(default_factory=list)
    written_items: list[tuple[str, str]] = field(default_factory=list)
    statement_ids: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Handle requests until the connection ends."""
        if not await self._handle_open():
            return
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")
            keyword, _, rest = line[:-2].partition(" ")
            if keyword != "QUERY":
                return
            id, _, text = rest.partition(" ")
            await self._handle_query(id, text)

    async def _handle_open(self) -> bool:
        line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")
        fields = line[:-2].split(" ")
        member = self.member
        self.user = fields[2] if len(fields) > 2 else ""
        member_id = fields[3] if len(fields) > 3 else member.id
        if fields[1] != member.group.name or member_id != member.id:
            await self._send(["ERROR WRONGHOST"])
            return False
        if len(member.open_connections) >= member.group.settings.connections:
            await self._send(["ERROR MAXCONN"])
            return False
        member.open_connections.add(self)
        await member.use_slot(member.group.settings.connect_seconds)
        member.group.observer.on_connection_opened(member, member_id)
        await self._send([], ready=True)
        return True

    async def _send(self, lines: list[str], *, ready: bool = False) -> None:
        if ready:
            term, index = self.member.position
            lines = [*lines, f"READY {self.state} {term}.{index}"]
        if self.member.unresponsive:
            await self._wait_for_close()
        data = "".join(f"{line}\r\n" for line in lines)
        self.writer.write(data.encode("latin-1"))
        await self.writer.drain()

    async def _wait_for_close(self) -> None:
        """Never reply, but free the connection after the client's close.

        Otherwise it would count against the limit for good, and the next
        clients would find no connection at a member that responds again.
        """
        while not self.reader.at_eof():
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
        raise ConnectionResetError

    async def _handle_query(self, id: str, text: str) -> None:
        after, text = _split_after(text)
        keyword, _, rest = text.partition(" ")
        refusal = self._find_refusal(keyword, rest, after)
        if refusal is not None:
            await self._send_refusal(refusal)
            return
        match keyword:
            case "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN":
                await self._handle_control(keyword, rest)
            case "RESET":
                self.values, self.prepared_shapes = {}, {}
                await self._send(["COMPLETE -"], ready=True)
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                await self._send(["COMPLETE -"], ready=True)
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                mode, _, body = shape.partition(" ")
                self.prepared_shapes[name] = (mode, body)
                await self._send(["COMPLETE -"], ready=True)
            case "BEGIN":
                self._begin_transaction(rest)
                await self._send(["COMPLETE -"], ready=True)
            case "ROLLBACK":
                self._end_transaction()
                await self._send(["COMPLETE -"], ready=True)
            case "COMMIT":
                await self._handle_commit(id)
            case "READ" | "WRITE" | "EXECUTE":
                await self._handle_statement(id, text)
            case _:
                await self._send_refusal("MALFORMED")

    def _find_refusal(
        self, keyword: str, rest: str, after: tuple[int, int] | None
    ) -> str | None:
        member = self.member
        if after is not None and member.position < after:
            return "LAGGING"
        if self.state == "E" and keyword not in (
            "ROLLBACK",
            "RESET",
            "STATUS",
        ):
            return "MALFORMED"
        if keyword == "BEGIN" and rest != "READ" and not member.is_primary:
            return f"READONLY {member.id}"
        in_write_transaction = self.state == "T" and not self.read_only
        if in_write_transaction and not (
            member.is_primary and member.term == self.term
        ):
            if keyword in ("READ", "WRITE", "EXECUTE"):
                return f"READONLY {member.id}"
            if keyword == "COMMIT" and self.write_ids:
                return f"READONLY {member.id}"
        if (
            keyword == "EXECUTE"
            and rest.split(" ")[0] not in self.prepared_shapes
        ):
            return "NOSUCHSTMT"
        return None

    async def _send_refusal(self, code: str) -> None:
        if self.state == "T":
            self.state = "E"
        await self._send([f"ERROR {code}"], ready=True)

    def _begin_transaction(self, mode: str) -> None:
        self._end_transaction()
        self.state = "T"
        self.read_only = mode == "READ"
        self.term = self.member.term

    def _end_transaction(self) -> None:
        self.state = "I"
        self.write_ids, self.written_items, self.statement_ids = [], [], []

    async def _handle_control(self, keyword: str, rest: str) -> None:
        member = self.member
        if not await member.use_slot(0.0005):
            await self._send_refusal("BUSY")
            return
        if keyword == "PAUSE" and not member.is_primary:
            if int(rest) > max(member.term, member.held_term):
                member.held_term = int(rest)
        elif keyword == "RESUME":
            member.held_term = 0
        elif keyword == "STEPDOWN":
            member.step_down(int(rest))
        role = "primary" if member.is_primary else "replica"
        term, index = member.position
        row = (
            f"ROW {role} {member.term} {term}.{index} {member.held_term} "
            f"{int(member.lag * 1000)} {member.busy_slots} "
            f"{len(member.open_connections)}"
        )
        await self._send([row, "COMPLETE -"], ready=True)

    async def _handle_statement(self, id: str, text: str) -> None:
        member = self.member
        is_write, item, data = self._parse_statement(text)
        if is_write and not member.is_primary:
            await self._send_refusal(f"READONLY {member.id}")
            return
        settings = member.group.settings
        if not await member.use_slot(member.statement_seconds):
            await self._send_refusal("BUSY")
            return
        if is_write and not member.is_primary:
            await self._send_refusal(f"READONLY {member.id}")
            return
        if member.group.rng.random() < settings.failure_share:
            await self._send_refusal("FAILED")
            return
        member.group.observer.on_statement(member, self, id, text)
        self.statement_ids.append(id)
        if is_write:
            self.write_ids.append(id)
            self.written_items.append((item, data))
        if is_write and self.state == "I":
            member.commit(self)
            self._end_transaction()
        rows = [] if is_write else [f"ROW {_item_value(member.log, item)}"]
        await self._send_answer(
            [*rows, f"COMPLETE {_signature(member.id, id)}"]
        )

    async def _handle_commit(self, id: str) -> None:
        member = self.member
        if self.state != "T":
            await self._send_refusal("MALFORMED")
            return
        await member.use_slot(member.statement_seconds / 2)
        if self.write_ids:
            if not member.is_primary or member.term != self.term:
                await self._send_refusal(f"READONLY {member.id}")
                return
            member.commit(self)
        self._end_transaction()
        await self._send_answer([f"COMPLETE {_signature(member.id, id)}"])

    async def _send_answer(self, lines: list[str]) -> None:
        """Send an answer, or reset the connection to lose the answer."""
        settings = self.member.group.settings
        if self.member.group.rng.random() < settings.lost_answer_share:
            reset_connection(self.writer)
            raise ConnectionError("answer lost by a simulated fault")
        await self._send(lines, ready=True)

    def _parse_statement(self, text: str) -> tuple[bool, str, str]:
        keyword, _, rest = text.partition(" ")
        is_write = keyword == "WRITE"
        if keyword == "EXECUTE":
            name, _, rest = rest.partition(" ")
            is_write = self.prepared_shapes[name][0] == "WRITE"
        item, _, data = rest.partition(" ")
        return is_write, item, data


def _split_after(text: str) -> tuple[tuple[int, int] | None, str]:
    if not text.startswith("AFTER "):
        return None, text
    position, _, rest = text[6:].partition(" ")
    term, _, index = position.partition(".")
    return (int(term), int(index)), rest


def _item_value(log: list[MemberLogEntry], item: str) -> str:
    for entry in reversed(log):
        for name, data in reversed(entry.items):
            if name == item:
                return data
    return "-"


def _signature(member: str, id: str) -> str:
    return hashlib.blake2s(f"{member}/{id}".encode()).hexdigest()[:16]
