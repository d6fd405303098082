"""Proofs that a target is still the primary of its group.

A replaced primary is not notified and keeps answering every process that
reaches it. A read there is stale, and a write there is lost. A process
therefore uses a primary only while it has a proof that no change had begun a
short time ago. A change of primary first makes new proofs impossible, then
waits until all earlier ones have expired, and only then promotes.

There are two kinds of proof. One is a linearizable read of the group's record
that shows no change. The other one is for a process that can't read the store:
the primary reports that it still is one, and all other targets that the
process knows report no later term. A change has one of them hold the new
term, or has the primary step down, before the wait begins (see
`outstanding_proofs`). A proof is dated from before the question was sent.

A proof by targets only extends a proof that is still valid. A target that
restarts forgets the term that it held, and a process that had asked nobody for
a while could not tell. A target that refuses connections has not confirmed
anything, since something between may refuse them for it; only one that was
leaving has probably ended.

Pure decisions; times are passed in and include suspensions of the machine.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "PROOF_LIFETIME",
    "Proof",
    "TargetReport",
    "PROMOTION_WAIT",
    "targets_confirm_primary",
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

    def extend(self, asked_at: float, now: float) -> None:
        """Renew the proof by targets, unless it has expired by now."""
        if self.covers(now):
            self.renew(asked_at)

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


def targets_confirm_primary(
    primary: str,
    others: Collection[str],
    reports: Mapping[str, TargetReport],
    term: int,
) -> bool:
    """Return whether the reports of its group prove a primary of a term.

    `others` are the other targets, but for those that were leaving and have
    ended. All of them must have reported: a target that has not answered may
    be the one that holds a later term.

    Example: m0 and m1 report term 3, m0 as its primary. This proves m0 if m1
    is the only other target, and does not if there is an m2.
    """
    own = reports.get(primary)
    if own is None or not own.is_primary or own.newest_term > term:
        return False
    return bool(others) and all(
        name in reports
        and not reports[name].is_primary
        and reports[name].newest_term <= term
        for name in others
    )
