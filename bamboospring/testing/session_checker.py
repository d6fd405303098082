"""Compares what members executed with the answers that callers received.

Violations are recorded as texts; a run without any has kept all guarantees.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import time

from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberConnection
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_members import MemberLogEntry
from bamboospring.testing.session_platform import PromotionOrder

__all__ = ["Cut", "SentStatement", "SessionChecker", "TeamLimits"]

# A statement that a member executes more than this many seconds after the
# start of its drain was sent there too late.
MAX_LEAVING_SECONDS = 7.0

# A team's limit applies to each window of this length. A window may exceed it
# by this share of the limit, plus this number of operations.
LIMIT_WINDOW_SECONDS = 5.0
LIMIT_TOLERANCE = 0.1
LIMIT_EXTRA_OPERATIONS = 20

# The row of an item that was never written.
NO_DATA = "-"


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamLimits:
    """The limits of a team: operations per second, and operations at once."""

    rate: float
    burst: float

    @property
    def max_operations(self) -> float:
        """Return the maximum number of operations in one window."""
        limit = self.rate * LIMIT_WINDOW_SECONDS + self.burst
        return limit * (1 + LIMIT_TOLERANCE) + LIMIT_EXTRA_OPERATIONS


@dataclass(slots=True, kw_only=True)
class SentStatement:
    """One statement as a caller sent it."""

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

    @property
    def item_and_data(self) -> tuple[str, str]:
        """Return the item of a read or write, and the data of a write."""
        skipped = 2 if self.text.startswith("EXECUTE") else 1
        item, _, data = self.text.split(" ", skipped)[skipped].partition(" ")
        return item, data


@dataclass(frozen=True, slots=True, kw_only=True)
class Cut:
    """A statement whose connection ended without any part of an answer.

    The times are monotonic; `opened_at` is when its session was opened.
    """

    id: str
    address: str
    opened_at: float
    sent_at: float
    ended_at: float


@dataclass(slots=True, kw_only=True)
class AcknowledgedCommit:
    """A commit that was acknowledged to a caller."""

    position: tuple[int, int]
    acknowledged_at: float
    session: int


class SessionChecker:
    """Checks all executed statements and all answers for violations."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.sent_statements: dict[str, SentStatement] = {}
        self.cuts: list[Cut] = []
        # The data that callers have sent, by group and item.
        self._sent_data: dict[tuple[str, str], set[str]] = {}
        self.leaving_since: dict[str, float] = {}
        # When the store acknowledged the removal of a key, and for how many
        # seconds after that the key may still be used.
        self.key_removed_at: dict[str, float] = {}
        self.removed_key_lifetime = float("inf")
        self._acknowledged: dict[str, list[AcknowledgedCommit]] = {}
        self._commits: dict[str, list[tuple[MemberLogEntry, str, float]]] = {}
        self._promotions: dict[str, list[tuple[float, int, str]]] = {}
        self._lost_positions: dict[str, set[tuple[int, int]]] = {}
        self._on: dict[str, tuple[MemberConnection, int]] = {}
        self._owner: dict[int, str] = {}

    def record_sent(self, sent: SentStatement) -> None:
        """Record a statement that a caller is about to send."""
        self.sent_statements[sent.id] = sent
        if sent.text != "COMMIT":
            item, data = sent.item_and_data
            self._sent_data.setdefault((sent.group, item), set()).add(data)

    # Events at members.

    def on_connection_opened(self, member: Member, id: str) -> None:
        """Count a session that was opened at a member."""
        self.counts["connections"] += 1

    def on_statement(
        self, member: Member, conn: MemberConnection, id: str, text: str
    ) -> None:
        """Check a statement at the moment of its execution."""
        self.counts["ran"] += 1
        sent = self.sent_statements.get(id)
        if sent is None:
            self._add_violation(f"no caller sent {id} {text[:40]}")
            return
        if member.group.name != sent.group:
            self._add_violation(f"{id} ran in {member.group.name}")
        if conn.values != sent.values:
            self._add_violation(
                f"{id} ran with {conn.values}, not {sent.values}"
            )
        sent.executed_at = time.monotonic()
        self._check_team(conn, sent)
        self._check_text(conn, sent, text)
        self._check_transaction(conn, sent)
        if not text.startswith("WRITE") and sent.max_age is not None:
            self._check_staleness(member, sent)
        draining_since = self.leaving_since.get(member.id)
        late = (
            draining_since is not None
            and time.monotonic() - draining_since > MAX_LEAVING_SECONDS
        )
        if late and not sent.transaction:
            self._add_violation(f"{id} ran at leaving {member.id}")

    def _check_team(self, conn: MemberConnection, sent: SentStatement) -> None:
        if not sent.key:
            return
        if conn.user != sent.team:
            self._add_violation(f"{sent.id} of {sent.team} ran as {conn.user}")
        removed_at = self.key_removed_at.get(sent.key)
        if removed_at is not None:
            late = sent.sent_at - removed_at
            if late > self.removed_key_lifetime:
                self._add_violation(
                    f"{sent.id} ran {late:.3f} s after its key was removed"
                )

    def check_team_limits(
        self, limits: dict[str, TeamLimits]
    ) -> dict[str, int]:
        """Check each team's operations; return the maximum in any window."""
        peaks: dict[str, int] = {}
        for team, team_limits in limits.items():
            operations = self._operation_times(team)
            peaks[team] = _max_in_window(operations)
            if peaks[team] > team_limits.max_operations:
                self._add_violation(
                    f"{peaks[team]} operations of {team} in "
                    f"{LIMIT_WINDOW_SECONDS} s"
                )
        return peaks

    def _operation_times(self, team: str) -> list[tuple[float, float]]:
        """Return when each operation of a team was first sent and executed."""
        found: dict[str, tuple[float, float]] = {}
        for sent in self.sent_statements.values():
            if sent.team == team and sent.executed_at is not None:
                operation = sent.transaction or sent.attempt
                times = (sent.sent_at, sent.executed_at)
                found[operation] = min(found.get(operation, times), times)
        return sorted(found.values())

    def _check_text(
        self, conn: MemberConnection, sent: SentStatement, text: str
    ) -> None:
        if not text.startswith("EXECUTE"):
            if text != sent.text:
                self._add_violation(
                    f"{sent.id}: {sent.text!r} became {text!r}"
                )
            return
        _, name, arguments = text.split(" ", 2)
        if arguments != sent.text.split(" ", 2)[2]:
            self._add_violation(f"{sent.id}: {sent.text!r} became {text!r}")
        if conn.prepared_shapes[name][1] != sent.shape:
            self._add_violation(
                f"{sent.id}: {name} is {conn.prepared_shapes[name]}"
            )

    def _check_transaction(
        self, conn: MemberConnection, sent: SentStatement
    ) -> None:
        inside = conn.state == "T"
        if inside != bool(sent.transaction):
            self._add_violation(f"{sent.id} ran in state {conn.state}")
            return
        if not inside:
            return
        for other in conn.statement_ids:
            owner = self.sent_statements[other].transaction
            if owner != sent.transaction:
                self._add_violation(f"{sent.id} ran inside {owner}")

    def _check_staleness(self, member: Member, sent: SentStatement) -> None:
        assert sent.max_age is not None
        sent_at = sent.sent_at
        applied = {entry.position for entry in member.log}
        lost = self._lost_positions.get(sent.group, set())
        for commit in self._acknowledged.get(sent.group, ()):
            is_own = (
                commit.session == sent.session
                and commit.acknowledged_at < sent_at
            )
            is_too_old = commit.acknowledged_at < sent_at - sent.max_age
            if not (is_own or is_too_old) or commit.position in lost:
                continue
            if commit.position not in applied:
                self._add_violation(
                    f"stale: {sent.id} at {member.id} {member.position} "
                    f"lacks {commit.position}, acknowledged "
                    f"{sent_at - commit.acknowledged_at:.3f} s before, "
                    f"own={is_own}"
                )
                return

    def on_commit(self, member: Member, entry: MemberLogEntry) -> None:
        """Record a commit with its time."""
        self.counts["committed"] += 1
        commits = self._commits.setdefault(member.group.name, [])
        commits.append((entry, member.id, time.monotonic()))

    def on_promotion(self, group: MemberGroup, member: Member) -> None:
        """Record a promotion and the commits that are lost by it."""
        self.counts["promoted"] += 1
        promotions = self._promotions.setdefault(group.name, [])
        promotions.append((time.monotonic(), member.term, member.id))
        retained = {entry.position for entry in member.log}
        lost = self._lost_positions.setdefault(group.name, set())
        for entry, _member, _at in self._commits.get(group.name, ()):
            if entry.position not in retained:
                lost.add(entry.position)

    # Answers to callers.

    def check_rows(self, id: str, rows: tuple[str, ...]) -> None:
        """Check that a read returned data of its item that a caller sent."""
        sent = self.sent_statements[id]
        item, _ = sent.item_and_data
        known = self._sent_data[sent.group, item]
        for row in rows:
            if row != NO_DATA and row not in known:
                self._add_violation(f"{id} of {item!r} returned {row!r}")

    def check_outcome(
        self,
        group: str,
        session: int,
        request_ids: tuple[str, ...],
        outcome: str,
    ) -> None:
        """Check the outcome that a caller received for an attempt's writes.

        `outcome` is done, nothing (a guarantee that no effect is kept) or
        unknown.
        """
        self.counts[outcome] += 1
        expected_ids = set(request_ids)
        commits = [
            (entry, member, at)
            for entry, member, at in self._commits.get(group, ())[-400:]
            if expected_ids & set(entry.request_ids)
        ]
        if outcome == "nothing" and commits:
            self._add_violation(
                f"{request_ids} were committed although refused"
            )
        if len(commits) > 1:
            kept = [
                f for f in commits if f[0].position not in self._lost_in(group)
            ]
            if len(kept) > 1:
                self._add_violation(
                    f"{request_ids} took effect {len(kept)} times"
                )
        if outcome != "done" or not request_ids:
            return
        if not commits:
            self._add_violation(
                f"{request_ids} are in no log although acknowledged"
            )
            return
        entry, member, committed_at = commits[-1]
        for promoted_at, term, primary in self._promotions.get(group, ()):
            if (
                promoted_at < committed_at
                and term > entry.term
                and primary != member
            ):
                self._add_violation(
                    f"{request_ids} were acknowledged from {member}, "
                    f"{committed_at - promoted_at:.3f} s after {primary} was "
                    f"promoted"
                )
        self._acknowledged.setdefault(group, []).append(
            AcknowledgedCommit(
                position=entry.position,
                acknowledged_at=time.monotonic(),
                session=session,
            )
        )

    def check_promotions(self, requests: list[PromotionOrder]) -> None:
        """Check the fencing numbers of all promotion requests."""
        highest = 0
        holders: dict[int, str] = {}
        for request in requests:
            if request.fence < highest:
                self._add_violation(
                    f"fence {request.fence} came after {highest}"
                )
            highest = max(highest, request.fence)
            holder = holders.setdefault(request.fence, request.holder)
            if holder != request.holder:
                self._add_violation(
                    f"{holder} and {request.holder} share {request.fence}"
                )

    def _lost_in(self, group: str) -> set[tuple[int, int]]:
        return self._lost_positions.get(group, set())

    def _add_violation(self, text: str) -> None:
        if len(self.violations) < 100:
            self.violations.append(text)


def _max_in_window(operations: list[tuple[float, float]]) -> int:
    """Return the maximum number sent and executed within one window."""
    peak = 0
    for index, (sent_at, _) in enumerate(operations):
        window_end = sent_at + LIMIT_WINDOW_SECONDS
        execution_times = [
            ran for sent, ran in operations[index:] if sent <= window_end
        ]
        peak = max(peak, sum(ran <= window_end for ran in execution_times))
    return peak
