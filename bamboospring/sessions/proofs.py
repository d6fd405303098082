"""Proofs that a target is still the primary of its group.

A replaced primary is not notified and keeps answering every process that
reaches it. A read there is stale, and a write there is lost. A process
therefore uses a primary only while it has a proof that no change had begun a
short time ago. A change of primary first makes new proofs impossible, then
waits until all earlier ones have expired, and only then promotes.

There are two kinds of proof: a linearizable read of the group's record that
shows no change; or, if the platform's store does not answer, reports from all
other targets of the group that none holds a later term, because a change has
one of them hold the new term before the wait begins. A proof is dated from
before the question was sent.

Pure decisions; times are passed in and include suspensions of the machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "PROOF_LIFETIME",
    "Proof",
    "TargetReport",
    "PROMOTION_WAIT",
    "others_confirm_term",
]

# Seconds for which a proof is valid. Records are read about every second, so
# one lost answer has no effect. A longer lifetime delays changes of primary
# whenever some process can't be asked to release its proof.
PROOF_LIFETIME = 2.0
# Seconds that a change waits between blocking new proofs and the promotion. It
# is longer than a proof's lifetime because clock rates may differ by up to 5%.
PROMOTION_WAIT = PROOF_LIFETIME * 1.05

NEVER = -1e9


@dataclass(slots=True, kw_only=True)
class Proof:
    """The latest time at which the recorded primary was proven."""

    asked_at: float = NEVER

    def renew(self, asked_at: float) -> None:
        """Record a proof; an older one has no effect."""
        self.asked_at = max(self.asked_at, asked_at)

    def invalidate(self) -> None:
        """Discard the proof after the record has changed."""
        self.asked_at = NEVER

    def covers(self, instant: float) -> bool:
        """Return whether no other target was primary at `instant`."""
        return instant < self.asked_at + PROOF_LIFETIME


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """A target's report about its role in its group.

    A target that holds a term receives nothing from a primary of a lower one;
    `held_term` is 0 if it holds none. `received_index` is the index of its
    newest log entry.
    """

    is_primary: bool
    term: int
    received_term: int
    received_index: int
    held_term: int = 0
    lag: float = 0.0
    connections: int = 0

    @property
    def newest_term(self) -> int:
        """Return the newest term that the target knows of."""
        return max(self.term, self.received_term, self.held_term)


def others_confirm_term(
    others: Iterable[str],
    reports: Mapping[str, TargetReport | None],
    term: int,
) -> bool:
    """Return whether no other target of a group knows a later term.

    `reports` has None for a target whose machine refused the connection: its
    process is not running. Every other target must have reported or refused,
    and at least one must have reported: a target that did not answer may be
    the one that holds the new term.
    """
    report_count = 0
    for name in others:
        if name not in reports:
            return False
        report = reports[name]
        if report is None:
            continue
        if report.is_primary or report.newest_term > term:
            return False
        report_count += 1
    return report_count > 0
