"""UNASKED: the data of a prepared write reaches its member without its end.

Callers write texts in several languages, by a prepared statement, and read
them back. No machine, link or member is disturbed.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import itertools
from pathlib import Path
import sys

from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberConnection
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_members import MemberLogEntry
from bamboospring.testing.session_members import MemberSettings

from review.estate import BROKEN
from review.estate import CallerSession
from review.estate import CannotRun
from review.estate import Estate
from review.estate import HELD
from review.estate import is_disturbed
from review.estate import Record
from review.estate import RouteSpec
from review.estate import run_case

ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE, DATABASE = "strings", "strings-primary"
# Hindi, Malayalam, Chinese, Russian, Greek and Italian. In UTF-8, each of
# these words ends in the byte A0 or 85.
WORDS = ("पाठ", "പീഠ", "市内", "новых", "που", "città")
# The same languages, with other last letters.
OTHER_WORDS = ("पाठक", "പീഠം", "市内的", "новые", "πού", "cittadino")

_ids = itertools.count(1)


@dataclass(slots=True, kw_only=True)
class Judge:
    """Compares what members ran with what callers have sent."""

    record: Record
    # The text of each request without the name of the prepared statement,
    # which the system may change.
    sent: dict[str, str] = field(default_factory=dict)
    changed: list[str] = field(default_factory=list)
    compared: int = 0

    def on_connection_opened(self, member: Member, id: str) -> None:
        """Ignore a session that was opened at a member."""

    def on_statement(
        self, member: Member, conn: MemberConnection, id: str, text: str
    ) -> None:
        """Compare a statement that a member runs."""
        self.record.add("ran", member=member.id, id=id, text=ascii(text))
        self.compared += 1
        expected, found = self.sent.get(id), _without_name(text)
        if expected != found:
            self.changed.append(id)
            self.record.add(
                "UNASKED",
                id=id,
                sent=ascii(expected),
                member_ran=ascii(found),
            )

    def on_commit(self, member: Member, entry: MemberLogEntry) -> None:
        """Record a commit."""
        self.record.add(
            "committed", member=member.id, items=ascii(entry.items)
        )

    def on_promotion(self, group: MemberGroup, member: Member) -> None:
        """Record a promotion, which this case does not bring about."""
        self.record.add("promoted", member=member.id)


def _without_name(text: str) -> str:
    word, _, rest = text.partition(" ")
    if word == "EXECUTE":
        rest = rest.partition(" ")[2]
    return f"{word} {rest}"


async def write_and_read(
    estate: Estate, judge: Judge, words: tuple[str, ...]
) -> int:
    """Write the words through each VM; return how many were acknowledged."""
    count = 0
    for vm in estate.vms:
        session = CallerSession()
        opened = await session.open(vm.callers, DATABASE, "caller")
        if opened.code:
            raise CannotRun(f"no session: {opened}")
        await session.query("p1", "PREPARE s1 WRITE q2c")
        for number, word in enumerate(words):
            item = f"{vm.name}-{number}"
            # The line protocol carries bytes; latin-1 stands for them here.
            data = word.encode().decode("latin-1")
            await _run(session, judge, f"EXECUTE s1 {item} {data}")
            await _run(session, judge, f"READ {item}")
            count += 1
        session.close()
    return count


async def _run(session: CallerSession, judge: Judge, text: str) -> None:
    id = f"{next(_ids):016x}"
    judge.sent[id] = _without_name(text)
    judge.record.add("sent", id=id, text=ascii(text))
    answer = await session.query(id, text)
    judge.record.add(
        "answered",
        id=id,
        code=answer.code or "ok",
        rows=ascii(answer.rows),
    )
    if answer.code:
        raise CannotRun(f"{text} was refused: {answer}")


async def run(record: Record) -> int:
    """Run the case and return the exit code."""
    judge = Judge(record=record)
    group = MemberGroup(
        name=SERVICE, observer=judge, settings=MemberSettings()
    )
    for index, zone in enumerate(ZONES):
        group.add(f"strings-m{index}", zone, primary=index == 0)
    estate = Estate(
        record=record,
        group=group,
        routes=[
            RouteSpec(
                database=DATABASE,
                service=SERVICE,
                kind="primary",
                timeout_ms=1500,
                target_latency_ms=100,
                priority=1,
            )
        ],
        vm_zones=list(ZONES),
    )
    words = WORDS if is_disturbed() else OTHER_WORDS
    try:
        await estate.start()
        count = await write_and_read(estate, judge, words)
    finally:
        await estate.close()
    record.add(
        "verdict",
        acknowledged=count,
        compared=judge.compared,
        changed=len(judge.changed),
    )
    print(f"{count} writes acknowledged, {len(judge.changed)} texts changed")
    return BROKEN if judge.changed else HELD


if __name__ == "__main__":
    sys.exit(run_case(run, Path(__file__).with_name("record.txt")))
