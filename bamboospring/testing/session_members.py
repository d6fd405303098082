"""Stand-ins for database members that speak the line protocol.

Members of a group share nothing but what replication carries: each has its
own log, applies late, and may be cut from the others. A `Judge` is told of
everything that runs.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
import hashlib
import random
from typing import Protocol

from bamboospring.testing.fault_proxy import reset

__all__ = [
    "Entry",
    "Group",
    "Link",
    "Member",
    "MemberJudge",
    "MemberSettings",
]

READ_LIMIT = 2 * 1024 * 1024
TAIL_OF_PROMOTE = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One commit that wrote: its place, the request ids and the items."""

    term: int
    number: int
    requests: tuple[str, ...]
    items: tuple[tuple[str, str], ...]

    @property
    def position(self) -> tuple[int, int]:
        """Return the place in the log."""
        return self.term, self.number


@dataclass(slots=True, kw_only=True)
class MemberSettings:
    """How members behave; times in seconds, shares from 0 to 1."""

    work: float = 0.004
    connect: float = 0.012
    lag: float = 0.02
    promote: float = 0.6
    slots: int = 3
    queue: int = 24
    connections: int = 22
    lose_answers: float = 0.0
    fail: float = 0.0


class MemberJudge(Protocol):
    """Who is told what runs at members."""

    def opened(self, member: Member, id: str) -> None:
        """Take that a connection named the member it means."""

    def ran(self, member: Member, link: Link, id: str, text: str) -> None:
        """Take that a read or write runs."""

    def committed(self, member: Member, entry: Entry) -> None:
        """Take that a commit is in a member's log."""

    def promoted(self, group: Group, member: Member) -> None:
        """Take that a member leads from now on."""


class Group:
    """A primary and its replicas."""

    def __init__(
        self,
        *,
        name: str,
        judge: MemberJudge,
        knobs: MemberSettings,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.judge = judge
        self.knobs = knobs
        self.members: dict[str, Member] = {}
        self.random = random.Random(f"{seed}/{name}")
        self.cut: set[frozenset[str]] = set()

    def add(self, id: str, zone: str, *, primary: bool) -> Member:
        """Add a member, not yet listening."""
        member = Member(group=self, id=id, zone=zone, primary=primary)
        self.members[id] = member
        return member

    def connected(self, a: Member, b: Member) -> bool:
        """Tell whether two members reach each other."""
        both_up = a.is_running and b.is_running
        return both_up and frozenset((a.id, b.id)) not in self.cut

    def replicate(self, source: Member) -> None:
        """Have replicas receive what the primary has, each after its lag."""
        for member in self.members.values():
            if member is not source:
                lag = member.lag * self.random.uniform(0.5, 1.5)
                asyncio.get_running_loop().call_later(
                    lag, member.receive, source, len(source.log)
                )

    async def promote(self, id: str) -> bool:
        """Have a member lead the next term after a while."""
        member = self.members.get(id)
        if member is None or not member.is_running:
            return False
        if member.is_primary:
            return True
        await asyncio.sleep(self.knobs.promote)
        if not member.is_running:
            return False
        member.term = max(m.term for m in self.members.values()) + 1
        member.is_primary = True
        member.held_term = 0
        self.judge.promoted(self, member)
        for other in self.members.values():
            if other is not member:
                other.held_term = 0
        asyncio.create_task(self._spread(member))
        return True

    async def _spread(self, leader: Member) -> None:
        """Have the others follow once they reach the new primary."""
        while leader.is_primary and leader.is_running:
            for other in self.members.values():
                if other is leader or not self.connected(leader, other):
                    continue
                if other.is_primary and other.term < leader.term:
                    other.step_down_at(TAIL_OF_PROMOTE)
                elif not other.is_primary:
                    other.receive(leader, len(leader.log))
            await asyncio.sleep(0.1)


class Member:
    """One database server: log, role, slots and its listener."""

    def __init__(
        self, *, group: Group, id: str, zone: str, primary: bool
    ) -> None:
        self.group = group
        self.id = id
        self.zone = zone
        self.is_primary = primary
        self.term = 1
        self.held_term = 0
        self.lag = group.knobs.lag
        self.work = group.knobs.work
        self.log: list[Entry] = []
        self.draining = False
        self.unresponsive = False
        self.address = ""
        self.links: set[Link] = set()
        self.busy = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(group.knobs.slots)
        self._server: asyncio.Server | None = None
        self._stepping_down = False

    @property
    def is_running(self) -> bool:
        """Tell whether its process runs."""
        return self._server is not None

    @property
    def position(self) -> tuple[int, int]:
        """Return the place of the newest entry."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self) -> None:
        """Listen at `address`, at each start the same."""
        host, _, port = self.address.rpartition(":")
        self.held_term = 0
        self._server = await asyncio.start_server(
            self._accepted, host, int(port), backlog=256, limit=READ_LIMIT
        )

    def stop(self) -> None:
        """End at once; the log stays."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in list(self.links):
            reset(link.writer)

    def receive(self, source: Member, length: int) -> None:
        """Take the primary's log up to a length."""
        if not self.group.connected(source, self):
            return
        if self.is_primary or source.term < self.term or not source.is_primary:
            return
        if self.held_term > source.term:
            return
        self.term = source.term
        wanted = source.log[:length]
        if len(wanted) < len(self.log) and self.log[: len(wanted)] == wanted:
            return
        self.log = wanted

    def step_down(self, term: int) -> None:
        """Become a replica of a higher term."""
        if self.is_primary and self.term < term:
            self.is_primary = False

    def step_down_at(self, after: float) -> None:
        """Become a replica a while after the new primary is in reach."""
        if self._stepping_down:
            return
        self._stepping_down = True

        def done() -> None:
            self._stepping_down = False
            self.is_primary = False

        asyncio.get_running_loop().call_later(after, done)

    def commit(self, link: Link) -> Entry:
        """Append what a transaction wrote."""
        entry = Entry(
            term=self.term,
            number=len(self.log) + 1,
            requests=tuple(link.wrote),
            items=tuple(link.items),
        )
        self.log.append(entry)
        self.group.judge.committed(self, entry)
        self.group.replicate(self)
        return entry

    async def use_slot(self, seconds: float) -> bool:
        """Hold a slot for a while; False if the queue is full."""
        if self.waiting >= self.group.knobs.queue:
            return False
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
            self._slots.release()
        return True

    async def _accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = Link(member=self, reader=reader, writer=writer)
        try:
            await link.run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.links.discard(link)
            writer.close()


@dataclass(slots=True, kw_only=True, eq=False)
class Link:
    """One connection at a member, with its values, names and transaction.

    `who` is the word that named who connects.
    """

    member: Member
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    who: str = ""
    values: dict[str, str] = field(default_factory=dict)
    names: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    term: int = 0
    wrote: list[str] = field(default_factory=list)
    items: list[tuple[str, str]] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Serve one connection until it ends."""
        if not await self._greet():
            return
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")
            word, _, rest = line[:-2].partition(" ")
            if word != "QUERY":
                return
            id, _, text = rest.partition(" ")
            await self._query(id, text)

    async def _greet(self) -> bool:
        line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")
        fields = line[:-2].split(" ")
        member = self.member
        self.who = fields[2] if len(fields) > 2 else ""
        wanted = fields[3] if len(fields) > 3 else member.id
        if fields[1] != member.group.name or wanted != member.id:
            await self._send(["ERROR WRONGHOST"])
            return False
        if len(member.links) >= member.group.knobs.connections:
            await self._send(["ERROR MAXCONN"])
            return False
        member.links.add(self)
        await member.use_slot(member.group.knobs.connect)
        member.group.judge.opened(member, wanted)
        await self._send([], ready=True)
        return True

    async def _send(self, lines: list[str], *, ready: bool = False) -> None:
        if ready:
            term, number = self.member.position
            lines = [*lines, f"READY {self.state} {term}.{number}"]
        if self.member.unresponsive:
            await asyncio.Event().wait()
        data = "".join(f"{line}\r\n" for line in lines)
        self.writer.write(data.encode("latin-1"))
        await self.writer.drain()

    async def _query(self, id: str, text: str) -> None:
        after, text = _take_after(text)
        word, _, rest = text.partition(" ")
        refusal = self._refusal(word, rest, after)
        if refusal is not None:
            await self._refuse(refusal)
            return
        match word:
            case "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN":
                await self._control(word, rest)
            case "RESET":
                self.values, self.names = {}, {}
                await self._send(["COMPLETE -"], ready=True)
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                await self._send(["COMPLETE -"], ready=True)
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                mode, _, body = shape.partition(" ")
                self.names[name] = (mode, body)
                await self._send(["COMPLETE -"], ready=True)
            case "BEGIN":
                self._begin(rest)
                await self._send(["COMPLETE -"], ready=True)
            case "ROLLBACK":
                self._end()
                await self._send(["COMPLETE -"], ready=True)
            case "COMMIT":
                await self._commit(id)
            case "READ" | "WRITE" | "EXECUTE":
                await self._work(id, text)
            case _:
                await self._refuse("MALFORMED")

    def _refusal(
        self, word: str, rest: str, after: tuple[int, int] | None
    ) -> str | None:
        member = self.member
        if after is not None and member.position < after:
            return "LAGGING"
        if self.state == "E" and word not in ("ROLLBACK", "RESET", "STATUS"):
            return "MALFORMED"
        if word == "BEGIN" and rest != "READ" and not member.is_primary:
            return f"READONLY {member.id}"
        lost = self.state == "T" and not self.read_only
        if lost and not (member.is_primary and member.term == self.term):
            if word in ("READ", "WRITE", "EXECUTE"):
                return f"READONLY {member.id}"
            if word == "COMMIT" and self.wrote:
                return f"READONLY {member.id}"
        if word == "EXECUTE" and rest.split(" ")[0] not in self.names:
            return "NOSUCHSTMT"
        return None

    async def _refuse(self, code: str) -> None:
        if self.state == "T":
            self.state = "E"
        await self._send([f"ERROR {code}"], ready=True)

    def _begin(self, mode: str) -> None:
        self._end()
        self.state = "T"
        self.read_only = mode == "READ"
        self.term = self.member.term

    def _end(self) -> None:
        self.state = "I"
        self.wrote, self.items, self.ran = [], [], []

    async def _control(self, word: str, rest: str) -> None:
        member = self.member
        if not await member.use_slot(0.0005):
            await self._refuse("BUSY")
            return
        if word == "PAUSE" and not member.is_primary:
            if int(rest) > max(member.term, member.held_term):
                member.held_term = int(rest)
        elif word == "RESUME":
            member.held_term = 0
        elif word == "STEPDOWN":
            member.step_down(int(rest))
        role = "primary" if member.is_primary else "replica"
        term, number = member.position
        row = (
            f"ROW {role} {member.term} {term}.{number} {member.held_term} "
            f"{int(member.lag * 1000)} {member.busy} {len(member.links)}"
        )
        await self._send([row, "COMPLETE -"], ready=True)

    async def _work(self, id: str, text: str) -> None:
        member = self.member
        writes, item, data = self._parse(text)
        if writes and not member.is_primary:
            await self._refuse(f"READONLY {member.id}")
            return
        knobs = member.group.knobs
        if not await member.use_slot(member.work):
            await self._refuse("BUSY")
            return
        if writes and not member.is_primary:
            await self._refuse(f"READONLY {member.id}")
            return
        if member.group.random.random() < knobs.fail:
            await self._refuse("FAILED")
            return
        member.group.judge.ran(member, self, id, text)
        self.ran.append(id)
        if writes:
            self.wrote.append(id)
            self.items.append((item, data))
        if writes and self.state == "I":
            member.commit(self)
            self._end()
        rows = [] if writes else [f"ROW {_value(member.log, item)}"]
        await self._answer([*rows, f"COMPLETE {_sign(member.id, id)}"])

    async def _commit(self, id: str) -> None:
        member = self.member
        if self.state != "T":
            await self._refuse("MALFORMED")
            return
        await member.use_slot(member.work / 2)
        if self.wrote:
            if not member.is_primary or member.term != self.term:
                await self._refuse(f"READONLY {member.id}")
                return
            member.commit(self)
        self._end()
        await self._answer([f"COMPLETE {_sign(member.id, id)}"])

    async def _answer(self, lines: list[str]) -> None:
        """Send an answer, unless it is one that gets lost."""
        knobs = self.member.group.knobs
        if self.member.group.random.random() < knobs.lose_answers:
            reset(self.writer)
            raise ConnectionError("the answer is lost")
        await self._send(lines, ready=True)

    def _parse(self, text: str) -> tuple[bool, str, str]:
        word, _, rest = text.partition(" ")
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            writes = self.names[name][0] == "WRITE"
        item, _, data = rest.partition(" ")
        return writes, item, data


def _take_after(text: str) -> tuple[tuple[int, int] | None, str]:
    if not text.startswith("AFTER "):
        return None, text
    position, _, rest = text[6:].partition(" ")
    term, _, number = position.partition(".")
    return (int(term), int(number)), rest


def _value(log: list[Entry], item: str) -> str:
    for entry in reversed(log):
        for name, data in reversed(entry.items):
            if name == item:
                return data
    return "-"


def _sign(member: str, id: str) -> str:
    return hashlib.blake2s(f"{member}/{id}".encode()).hexdigest()[:16]
