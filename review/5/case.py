"""Crash a primary while the only replica that follows it is draining.

The service has `syncReplicas` 1. One replica is to be shut down and reports
that it drains; it goes on receiving, and counts for acknowledgements. The
other one receives nothing for a while, and meanwhile the primary crashes. The
check is LOST: a commit that was acknowledged to a client and isn't in the log
of the member that is promoted.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
import random
import sys
import time
from typing import Any

from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberLogEntry
from bamboospring.testing.session_members import MemberSettings

from review.estate_2 import Estate
from review.estate_2 import is_trouble_on
from review.estate_2 import Record
from review.estate_2 import RecordingConnection
from review.estate_2 import RecordingMember

FOLDER = Path(__file__).resolve().parent
CLIENTS = 4
SYNC_CHECK_S = 0.001
# The network between members, one way; a replica applies 20 ms later.
NETWORK_S = 0.001
RUN_S = 9.0
DRAIN_AT_S = 2.0
DEAF_AT_S = 2.5
CRASH_AT_S = 5.0
ROUTES = [
    {
        "name": "r-transfers",
        "database": "transfers",
        "kind": "primary",
        "timeoutMs": 1000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "ledger",
    }
]


class SyncConnection(RecordingConnection):
    """Acknowledges a commit once one replica has received it."""

    async def _send_answer(self, lines: list[str]) -> None:
        member = self.member
        length = len(member.log)
        if member.is_primary and length:
            while not member.is_received(length):
                await asyncio.sleep(SYNC_CHECK_S)
        await super()._send_answer(lines)


class SyncMember(RecordingMember):
    """A member with `syncReplicas` 1; a deaf one receives nothing."""

    connection_class = SyncConnection
    is_deaf = False

    def receive(self, primary: Member, length: int) -> None:
        """Receive a part of the primary's log."""
        if not self.is_deaf:
            super().receive(primary, length)

    def is_received(self, length: int) -> bool:
        """Return whether a replica has received this much of the log."""
        return any(
            len(other.log) >= length
            for other in self.group.members.values()
            if other is not self and other.term == self.term
        )


class Observer:
    """Records commits, acknowledgements and promotions."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: dict[str, MemberLogEntry] = {}
        self.acknowledged: list[str] = []
        self.lost: list[str] = []
        self.promotion_count = 0

    def on_request(self, member: Any, id: str, text: str) -> None:
        """Record an order that changes a member's role."""
        if text.split(" ")[0] in ("PAUSE", "RESUME", "STEPDOWN"):
            self.record.add(f"member {member.id} gets {text}")

    def on_connection_opened(self, member: Any, id: str) -> None:
        """Ignore new connections."""

    def on_statement(self, member: Any, conn: Any, id: str, text: str) -> None:
        """Record a statement that has run."""
        self.record.add(f"member {member.id} ran {id} {text}")

    def on_commit(self, member: Any, entry: MemberLogEntry) -> None:
        """Record a commit of writes."""
        for id in entry.request_ids:
            self.entries[id] = entry
        position = ".".join(map(str, entry.position))
        self.record.add(f"member {member.id} commits {position}")

    def on_acknowledged(self, id: str) -> None:
        """Record that a client has its answer."""
        self.acknowledged.append(id)

    def on_promotion(self, group: Any, member: Any) -> None:
        """Look for acknowledged commits that the new primary lacks."""
        self.promotion_count += 1
        kept = {entry.position for entry in member.log}
        self.lost = [
            f"{id} at {'.'.join(map(str, self.entries[id].position))}"
            for id in self.acknowledged
            if self.entries[id].position not in kept
        ]
        self.record.add(
            f"member {member.id} leads term {member.term} with {len(kept)} "
            f"entries; {len(self.acknowledged)} commits were acknowledged"
        )


async def run_client(
    number: int, estate: Estate, observer: Observer, stop_at: float
) -> None:
    """Write one item after the other on a session."""
    rng = random.Random(number)
    record = observer.record
    vm = estate.vms[number % len(estate.vms)]
    host, _, port = vm.callers.rpartition(":")
    while time.monotonic() < stop_at:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"OPEN transfers c{number}\r\n".encode())
            await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
            while time.monotonic() < stop_at:
                id = f"{random.getrandbits(64):016x}"
                text = f"WRITE i{rng.randrange(50)} d{rng.randrange(10**6)}"
                record.add(f"client {number} to {vm.name}: {id} {text}")
                writer.write(f"QUERY {id} {text}\r\n".encode())
                answer = []
                while not answer or not answer[-1].startswith("READY"):
                    line = await asyncio.wait_for(
                        reader.readuntil(b"\r\n"), 2.0
                    )
                    answer.append(line.decode("latin-1").strip())
                record.add(f"client {number} gets {id} {'; '.join(answer)}")
                if answer[0].startswith("COMPLETE"):
                    observer.on_acknowledged(id)
                await asyncio.sleep(rng.uniform(0.02, 0.06))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            record.add(f"client {number}: the session has ended")
            await asyncio.sleep(0.1)
        finally:
            writer.close()


async def disturb(estate: Estate, record: Record) -> None:
    """Drain one replica; make the other deaf and crash the primary."""
    primary, draining, deaf = estate.groups["ledger"].members.values()
    started_at = time.monotonic()
    await asyncio.sleep(DRAIN_AT_S)
    draining.draining = True
    record.add(f"member {draining.id} reports that it is draining")
    if not is_trouble_on():
        return
    await asyncio.sleep(started_at + DEAF_AT_S - time.monotonic())
    deaf.is_deaf = True
    record.add(f"member {deaf.id} receives nothing from now on")
    await asyncio.sleep(started_at + CRASH_AT_S - time.monotonic())
    primary.stop()
    deaf.is_deaf = False
    record.add(f"member {primary.id} crashes; {deaf.id} can receive again")


async def play(record: Record) -> int:
    """Play the case and return the exit code."""
    observer = Observer(record)
    estate = Estate(
        vms=3,
        observer=observer,
        routes=ROUTES,
        member_settings=MemberSettings(
            replication_lag=NETWORK_S, promotion_seconds=0.6
        ),
        member_class=SyncMember,
        sync_replicas=1,
    )
    try:
        await estate.start()
        stop_at = time.monotonic() + RUN_S
        await asyncio.gather(
            disturb(estate, record),
            *(
                run_client(n, estate, observer, stop_at)
                for n in range(CLIENTS)
            ),
        )
    finally:
        await estate.close()
    if not observer.acknowledged:
        return 2
    if is_trouble_on() and not observer.promotion_count:
        record.add("no member was promoted")
        return 2
    for text in observer.lost:
        record.add(f"LOST {text}")
    summary = (
        f"{len(observer.lost)} of {len(observer.acknowledged)} acknowledged "
        "commits are not in the log of the member that was promoted"
    )
    record.add(summary)
    print(summary)
    return 1 if observer.lost else 0


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
