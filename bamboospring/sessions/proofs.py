"""How long a primary may be taken for the primary.

A primary that was replaced does not know, and goes on answering whoever still
reaches it. A read there is stale, and a write there is lost. So a process
uses a primary only while it can show that no change had begun a short time
ago, and whoever changes a primary first makes such proofs impossible, then
waits until all of them have lapsed, and only then promotes.

There are two kinds of proof. A linearizable read of the group's record that
shows no change; or, where the platform's store does not answer, the word of
every other target of the group that it holds no later term, since a change
has one of them hold the new term before the wait begins. Either counts from
before the question was sent.

Pure decisions; times are passed in and count suspensions of the machine.
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
    "others_agree",
]

# Seconds for which a proof holds. Records are read about every second, so
# that one lost answer costs nothing; longer makes a change of primary wait
# longer where a process cannot be asked to let go of its proof.
PROOF_LIFETIME = 2.0
# Seconds that a change waits between the moment at which new proofs have
# become impossible and the promotion. Longer than a proof lives by what the
# clocks' rates may differ, 5 %.
PROMOTION_WAIT = PROOF_LIFETIME * 1.05

NEVER = -1e9


@dataclass(slots=True, kw_only=True)
class Proof:
    """The newest instant at which the agreed primary was surely the one."""

    asked_at: float = NEVER

    def renew(self, asked_at: float) -> None:
        """Take a newer proof; an older one changes nothing."""
        self.asked_at = max(self.asked_at, asked_at)

    def invalidate(self) -> None:
        """Forget all proofs, since the record has changed."""
        self.asked_at = NEVER

    def covers(self, instant: float) -> bool:
        """Tell whether nobody else was primary at an instant."""
        return instant < self.asked_at + PROOF_LIFETIME


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReport:
    """What a target says of its place in its group.

    `held_term` is the term above which it takes nothing from a primary, 0 if
    it holds none; `received` is the number of its newest entry.
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


def others_agree(
    others: Iterable[str],
    reports: Mapping[str, TargetReport | None],
    term: int,
) -> bool:
    """Tell whether no other target of a group has gone beyond a term.

    `reports` holds None for a target whose machine refused the connection:
    its process is not running. Every other target must have been heard or
    refused, and at least one heard: a target of which nothing is known may
    be the one that holds the new term.
    """
    heard = 0
    for name in others:
        if name not in reports:
            return False
        report = reports[name]
        if report is None:
            continue
        if report.is_primary or report.newest_term > term:
            return False
        heard += 1
    return heard > 0
