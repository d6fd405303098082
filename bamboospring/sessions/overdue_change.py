"""Finish a change of primary whose leader has gone after its order.

The load that it answers: a primary fails, the VM that leads has another one
promoted, and is lost itself before it could record that. The promoted target
leads within a second, but nobody uses it until the lease has lapsed and
another VM has taken the change up: callers are refused two seconds longer
than the platform takes.

No lease is needed to end such a change. The order was sent only after every
proof of the old primary was over, and only for the target that the record
names. So whoever finds that target leading a later term may record it, as
long as the record is still the same: a leader that goes another way stores
it anew first.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Mapping

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.proofs import TargetReport

__all__ = ["FINISHERS", "finished_record", "is_overdue", "takes_part"]

# Seconds after a change was seen from which on others look whether it is
# done. The leader itself needs the promotion and a tenth of a second; who asks
# before that takes slots of replicas for nothing.
OVERDUE_AFTER = 0.8
# So many VMs look, of however many there are.
FINISHERS = 4


def is_overdue(group: SessionGroup, now: float) -> bool:
    """Tell whether the leader of a group's change should be done by now."""
    agreed = group.record
    if agreed is None or agreed.change is None:
        return False
    return now >= group.change_seen_at + OVERDUE_AFTER


def takes_part(draw: int, vms: int) -> bool:
    """Tell whether a VM is one of those that look; `draw` is its own."""
    return draw % max(1, vms) < FINISHERS


def finished_record(
    record: PrimaryRecord, reports: Mapping[str, TargetReport]
) -> PrimaryRecord | None:
    """Return the record that ends a change, None if it can't be ended yet.

    A change of a record that may not be the newest has perhaps ended long ago.
    """
    if record.change is None or not record.is_current:
        return None
    named = record.change.candidate
    report = reports.get(named)
    if report is None or not report.is_primary or report.term <= record.term:
        return None
    return PrimaryRecord(
        group=record.group,
        version=record.version,
        term=report.term,
        primary=named,
        era=record.era,
    )
