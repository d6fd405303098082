"""Holds what members ran against what callers were told.

Faults are kept as texts; a run without any has kept its promises.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import time

from bamboospring.testing.session_members import Entry
from bamboospring.testing.session_members import Group
from bamboospring.testing.session_members import Link
from bamboospring.testing.session_members import Member
from bamboospring.testing.session_platform import PromotionOrder

__all__ = ["SentStatement", "SessionChecker", "TeamLimits"]

# What runs later than this after a member has begun to leave, in seconds, was
# sent there too late.
LEAVING_LIMIT = 7.0


# A team's limit holds over each span of so many seconds, with this much more
# of it and so many operations besides.
LIMIT_WINDOW = 5.0
LIMIT_OVERAGE = 0.1
LIMIT_SLACK = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamLimits:
    """What a team may run: operations a second, and so many at once."""

    rate: float
    burst: float

    @property
    def max_operations(self) -> float:
        """Return how many operations may run in one window."""
        wanted = self.rate * LIMIT_WINDOW + self.burst
        return wanted * (1 + LIMIT_OVERAGE) + LIMIT_SLACK


@dataclass(slots=True, kw_only=True)
class SentStatement:
    """One statement of a caller, as it was sent."""

    id: str
    group: str
    session: int
    attempt: str
    text: str
    sent_at: float
    max_age: float | None
    transaction: str = ""
    values: dict[str, str] = field(default_factory=dict)
    shape: str = ""
    key: str = ""
    team: str = ""
    executed_at: float | None = None


@dataclass(slots=True, kw_only=True)
class Acknowledged:
    """A commit that a caller was told of."""

    position: tuple[int, int]
    at: float
    session: int


class SessionChecker:
    """Is told what runs and what callers hear, and finds what is wrong."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.sent_statements: dict[str, SentStatement] = {}
        self.leaving_since: dict[str, float] = {}
        # When the store acknowledged that a key is gone, and for how long it
        # may be used after that.
        self.key_removed_at: dict[str, float] = {}
        self.removed_key_lifetime = float("inf")
        self._acknowledged: dict[str, list[Acknowledged]] = {}
        self._commits: dict[str, list[tuple[Entry, str, float]]] = {}
        self._promoted: dict[str, list[tuple[float, int, str]]] = {}
        self._lost: dict[str, set[tuple[int, int]]] = {}
        self._on: dict[str, tuple[Link, int]] = {}
        self._owner: dict[int, str] = {}

    # From members.

    def opened(self, member: Member, id: str) -> None:
        """Take that a connection named the member it means."""
        self.counts["connections"] += 1

    def ran(self, member: Member, link: Link, id: str, text: str) -> None:
        """Check a statement at the moment at which it runs."""
        self.counts["ran"] += 1
        asked = self.sent_statements.get(id)
        if asked is None:
            self._fault(f"nobody sent {id} {text[:40]}")
            return
        if member.group.name != asked.group:
            self._fault(f"{id} ran in {member.group.name}")
        if link.values != asked.values:
            self._fault(f"{id} ran with {link.values}, not {asked.values}")
        asked.executed_at = time.monotonic()
        self._check_team(link, asked)
        self._check_text(link, asked, text)
        self._check_transaction(link, asked)
        if not text.startswith("WRITE") and asked.max_age is not None:
            self._check_fresh(member, asked)
        since = self.leaving_since.get(member.id)
        late = since is not None and time.monotonic() - since > LEAVING_LIMIT
        if late and not asked.transaction:
            self._fault(f"{id} ran at leaving {member.id}")

    def _check_team(self, link: Link, asked: SentStatement) -> None:
        if not asked.key:
            return
        if link.who != asked.team:
            self._fault(f"{asked.id} of {asked.team} ran as {link.who}")
        removed_at = self.key_removed_at.get(asked.key)
        if removed_at is not None:
            late = asked.sent_at - removed_at
            if late > self.removed_key_lifetime:
                self._fault(
                    f"{asked.id} ran {late:.3f} s after its key was removed"
                )

    def check_team_limits(
        self, limits: dict[str, TeamLimits]
    ) -> dict[str, int]:
        """Check each team's operations; returns the most in any window."""
        most: dict[str, int] = {}
        for team, allowed in limits.items():
            operations = self._operations(team)
            most[team] = _most_in_window(operations)
            if most[team] > allowed.max_operations:
                self._fault(
                    f"{most[team]} operations of {team} in {LIMIT_WINDOW} s"
                )
        return most

    def _operations(self, team: str) -> list[tuple[float, float]]:
        """Return when operations of a team were sent and ran first."""
        found: dict[str, tuple[float, float]] = {}
        for asked in self.sent_statements.values():
            if asked.team == team and asked.executed_at is not None:
                name = asked.transaction or asked.attempt
                now = (asked.sent_at, asked.executed_at)
                found[name] = min(found.get(name, now), now)
        return sorted(found.values())

    def _check_text(self, link: Link, asked: SentStatement, text: str) -> None:
        if not text.startswith("EXECUTE"):
            if text != asked.text:
                self._fault(f"{asked.id}: {asked.text!r} became {text!r}")
            return
        name = text.split(" ")[1]
        if link.names[name][1] != asked.shape:
            self._fault(f"{asked.id}: {name} is {link.names[name]}")

    def _check_transaction(self, link: Link, asked: SentStatement) -> None:
        inside = link.state == "T"
        if inside != bool(asked.transaction):
            self._fault(f"{asked.id} ran in state {link.state}")
            return
        if not inside:
            return
        for other in link.ran:
            owner = self.sent_statements[other].transaction
            if owner != asked.transaction:
                self._fault(f"{asked.id} ran inside {owner}")

    def _check_fresh(self, member: Member, asked: SentStatement) -> None:
        assert asked.max_age is not None
        began = asked.sent_at
        have = {entry.position for entry in member.log}
        lost = self._lost.get(asked.group, set())
        for known in self._acknowledged.get(asked.group, ()):
            own = known.session == asked.session and known.at < began
            old = known.at < began - asked.max_age
            if not (own or old) or known.position in lost:
                continue
            if known.position not in have:
                self._fault(
                    f"stale: {asked.id} at {member.id} {member.position} "
                    f"lacks {known.position}, told "
                    f"{began - known.at:.3f} s before, own={own}"
                )
                return

    def committed(self, member: Member, entry: Entry) -> None:
        """Keep a commit with its time."""
        self.counts["committed"] += 1
        commits = self._commits.setdefault(member.group.name, [])
        commits.append((entry, member.id, time.monotonic()))

    def promoted(self, group: Group, member: Member) -> None:
        """Keep a promotion, and what is lost with it."""
        self.counts["promoted"] += 1
        promoted = self._promoted.setdefault(group.name, [])
        promoted.append((time.monotonic(), member.term, member.id))
        have = {entry.position for entry in member.log}
        lost = self._lost.setdefault(group.name, set())
        for entry, _member, _at in self._commits.get(group.name, ()):
            if entry.position not in have:
                lost.add(entry.position)

    # From callers.

    def told(
        self, group: str, session: int, requests: tuple[str, ...], word: str
    ) -> None:
        """Check what a caller was told of the writes of one attempt.

        `word` is done, nothing (a promise that nothing is kept) or unknown.
        """
        self.counts[word] += 1
        wanted = set(requests)
        found = [
            (entry, member, at)
            for entry, member, at in self._commits.get(group, ())[-400:]
            if wanted & set(entry.requests)
        ]
        if word == "nothing" and found:
            self._fault(f"{requests} were kept though refused")
        if len(found) > 1:
            kept = [
                f for f in found if f[0].position not in self._lost_of(group)
            ]
            if len(kept) > 1:
                self._fault(f"{requests} took effect {len(kept)} times")
        if word != "done" or not requests:
            return
        if not found:
            self._fault(f"{requests} are in no log though acknowledged")
            return
        entry, member, at = found[-1]
        for when, term, leader in self._promoted.get(group, ()):
            if when < at and term > entry.term and leader != member:
                self._fault(
                    f"{requests} were acknowledged from {member}, "
                    f"{at - when:.3f} s after {leader} was promoted"
                )
        self._acknowledged.setdefault(group, []).append(
            Acknowledged(
                position=entry.position,
                at=time.monotonic(),
                session=session,
            )
        )

    def check_promotions(self, orders: list[PromotionOrder]) -> None:
        """Check the fencing numbers of all orders of promotion."""
        highest = 0
        holders: dict[int, str] = {}
        for order in orders:
            if order.fence < highest:
                self._fault(f"fence {order.fence} came after {highest}")
            highest = max(highest, order.fence)
            holder = holders.setdefault(order.fence, order.holder)
            if holder != order.holder:
                self._fault(f"{holder} and {order.holder} share {order.fence}")

    def _lost_of(self, group: str) -> set[tuple[int, int]]:
        return self._lost.get(group, set())

    def _fault(self, text: str) -> None:
        if len(self.violations) < 100:
            self.violations.append(text)


def _most_in_window(operations: list[tuple[float, float]]) -> int:
    """Return how many were both sent and run within one window."""
    most = 0
    for number, (sent_at, _) in enumerate(operations):
        until = sent_at + LIMIT_WINDOW
        inside = [ran for sent, ran in operations[number:] if sent <= until]
        most = max(most, sum(ran <= until for ran in inside))
    return most
