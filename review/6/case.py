"""Stop a VM with SIGTERM while its clients go on working.

Twenty-four clients keep their sessions and run one operation after the other:
half of them transactions with pauses, the others also single statements. A
client that is refused closes its session and opens one at another VM. The
check is LOST: a request that was passed on to a member, and whose connection
ends without an answer.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
import random
import signal
import sys
import time
from typing import Any

from bamboospring.testing.session_members import MemberSettings

from review.estate_2 import Estate
from review.estate_2 import is_trouble_on
from review.estate_2 import Record

FOLDER = Path(__file__).resolve().parent
GRACE_S = 6.0
# Requests sent until then may still be at work when the process ends.
EXCUSED_S = 3.0
TIMEOUT_S = 1.0
CLIENTS = 24
# A round trip of a client's link: after an answer, the next operation of a
# session arrives at the VM this much later.
ROUND_TRIP_S = 0.006
SIGTERM_AT_S = 3.0
RUN_S = 11.0
ROUTES = [
    {
        "name": "r-transfers",
        "database": "transfers",
        "kind": "primary",
        "timeoutMs": int(TIMEOUT_S * 1000),
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "ledger",
    }
]


@dataclass(slots=True, kw_only=True)
class Request:
    """One request, from its sending to its end."""

    text: str
    vm: str
    sent_at: float
    ended_at: float | None = None
    answer: str = ""
    at_member: float | None = None


class Observer:
    """Records what members run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.requests: dict[str, Request] = {}

    def on_request(self, member: Any, id: str, text: str) -> None:
        """Record a request that has reached a member."""
        request = self.requests.get(id)
        if request is not None:
            request.at_member = time.monotonic()
            self.record.add(f"member {member.id} gets {id} {text}")

    def on_connection_opened(self, member: Any, id: str) -> None:
        """Ignore new connections."""

    def on_statement(self, member: Any, conn: Any, id: str, text: str) -> None:
        """Record a statement that has run."""
        self.record.add(f"member {member.id} ran {id} {text}")

    def on_commit(self, member: Any, entry: Any) -> None:
        """Record a commit of writes."""
        ids = " ".join(entry.request_ids)
        self.record.add(f"member {member.id} commits the writes {ids}")

    def on_promotion(self, group: Any, member: Any) -> None:
        """Record a promotion."""
        self.record.add(f"member {member.id} is promoted")


class Gone(Exception):
    """The session has ended."""


class Client:
    """Runs operations on a session, one after the other."""

    def __init__(
        self, number: int, estate: Estate, observer: Observer, stop_at: float
    ) -> None:
        self.rng = random.Random(number)
        self.number = number
        self.estate = estate
        self.observer = observer
        self.stop_at = stop_at
        self.vm = estate.vms[0]
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def run(self) -> None:
        """Work until the end, at another VM after the session has ended."""
        while time.monotonic() < self.stop_at:
            try:
                await self._open()
                while time.monotonic() < self.stop_at:
                    await self._run_operation()
                    await asyncio.sleep(ROUND_TRIP_S)
            except (Gone, OSError, asyncio.IncompleteReadError):
                self.vm = self.rng.choice(self.estate.vms[1:])
            finally:
                self.writer.close()

    async def _open(self) -> None:
        host, _, port = self.vm.callers.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        self.writer.write(f"OPEN transfers c{self.number}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2.0)
        if not line.startswith(b"READY"):
            raise Gone

    async def _run_operation(self) -> None:
        if self.number % 2 or self.rng.random() < 0.4:
            await self._run_transaction()
        else:
            await self._query(self._statement())

    async def _run_transaction(self) -> None:
        await self._query("BEGIN")
        for _ in range(self.rng.randint(2, 12)):
            await asyncio.sleep(self.rng.uniform(0.006, 0.04))
            await self._query(self._statement())
        await self._query("COMMIT")

    def _statement(self) -> str:
        item = f"i{self.rng.randrange(200)}"
        if self.rng.random() < 0.35:
            return f"WRITE {item} d{self.rng.randrange(10**6)}"
        return f"READ {item}"

    async def _query(self, text: str) -> None:
        id = f"{random.getrandbits(64):016x}"
        record = self.observer.record
        request = Request(text=text, vm=self.vm.name, sent_at=time.monotonic())
        self.observer.requests[id] = request
        record.add(f"client {self.number} to {self.vm.name}: {id} {text}")
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        try:
            await self._read_answer(request)
        finally:
            request.ended_at = time.monotonic()
            record.add(
                f"client {self.number} from {self.vm.name}: {id} "
                f"{request.answer or 'the connection ended, no answer'}"
            )
        if request.answer != "READY I" and request.answer != "READY T":
            raise Gone

    async def _read_answer(self, request: Request) -> None:
        error = ""
        while True:
            line = await asyncio.wait_for(
                self.reader.readuntil(b"\r\n"), 2 * TIMEOUT_S
            )
            words = line.decode("latin-1").split()
            if words[0] == "ERROR":
                error = " ".join(words[:2])
            if words[0] == "READY":
                request.answer = error or " ".join(words[:2])
                return


def find_lost(
    requests: dict[str, Request], vm: str, sigterm_at: float
) -> list[str]:
    """Return the requests that break the rule."""
    lost = []
    for id, request in requests.items():
        if request.vm != vm or request.answer or request.ended_at is None:
            continue
        after = request.sent_at - sigterm_at
        held = request.ended_at - request.sent_at
        is_passed_on = request.at_member is not None
        if is_passed_on and after > EXCUSED_S and held < TIMEOUT_S:
            lost.append(
                f"{id} {request.text}: sent {after:.3f} s after SIGTERM, "
                f"passed on to a member, connection ended "
                f"{held * 1000:.0f} ms after it was sent, without an answer"
            )
    return lost


async def play(record: Record) -> int:
    """Play the case and return the exit code."""
    observer = Observer(record)
    estate = Estate(
        vms=3,
        observer=observer,
        routes=ROUTES,
        member_settings=MemberSettings(statement_seconds=0.024, slots=5),
    )
    sigterm_at = float("inf")
    try:
        await estate.start()
        started_at = time.monotonic()
        clients = [
            Client(n, estate, observer, started_at + RUN_S)
            for n in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(c.run()) for c in clients]
        await asyncio.sleep(SIGTERM_AT_S)
        if is_trouble_on():
            sigterm_at = time.monotonic()
            record.add(f"SIGTERM to {estate.vms[0].name}")
            estate.vms[0].send(signal.SIGTERM)
            process = estate.vms[0].process
            assert process is not None
            await asyncio.to_thread(process.wait, GRACE_S)
            ended = time.monotonic() - sigterm_at
            record.add(f"{estate.vms[0].name} ended after {ended:.3f} s")
        await asyncio.gather(*tasks)
        # Lets members finish what they are running.
        await asyncio.sleep(0.5)
    finally:
        await estate.close()
    served = sum(
        r.answer.startswith("READY") for r in observer.requests.values()
    )
    record.add(f"{len(observer.requests)} requests, {served} served")
    if not served:
        return 2
    lost = find_lost(observer.requests, estate.vms[0].name, sigterm_at)
    for text in lost:
        record.add(f"LOST {text}")
        print(f"LOST {text}")
    record.add(f"{len(lost)} requests lost")
    print(f"{len(lost)} requests lost of {len(observer.requests)}")
    return 1 if lost else 0


def main() -> int:
    """Run the case; 2 means that it couldn't run."""
    record = Record(FOLDER)
    try:
        return asyncio.run(play(record))
    except Exception as exc:
        record.add(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
