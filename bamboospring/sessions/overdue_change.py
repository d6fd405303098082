"""Decide how to finish a change of primary whose leader has failed.

The case: a primary fails, the leader has another target promoted, and fails
itself before it records the result. The promoted target is primary within a
second, but no VM uses it until the lease has expired and another leader has
resumed the change, so callers are refused two seconds longer than the
promotion takes.

Finishing such a change needs no lease. The order to promote is sent only after
every proof of the old primary has expired or was released, and only for the
target named in the record. So any VM that finds that target to be primary of a
later term may record it, as long as the record is unchanged: a leader that
decides otherwise stores the record again first.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Mapping

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.proofs import TargetReport

__all__ = ["FINISHER_COUNT", "finished_record", "is_overdue", "is_finisher"]

# Seconds after a change was first seen before other VMs check whether it is
# done. The leader needs the time of the promotion and a tenth of a second; an
# earlier check takes slots of replicas without any use.
OVERDUE_AFTER = 0.8
# Approximate number of VMs that check, whatever the size of the fleet.
FINISHER_COUNT = 4


def is_overdue(group: SessionGroup, now: float) -> bool:
    """Return whether the leader of a group's change should be done by now."""
    record = group.record
    if record is None or record.change is None:
        return False
    return now >= group.change_seen_at + OVERDUE_AFTER


def is_finisher(nonce_hash: int, vm_count: int) -> bool:
    """Return whether a VM is one of those that check overdue changes.

    `nonce_hash` is a number that differs between VMs.
    """
    return nonce_hash % max(1, vm_count) < FINISHER_COUNT


def finished_record(
    record: PrimaryRecord, reports: Mapping[str, TargetReport]
) -> PrimaryRecord | None:
    """Return the record that ends a change, None if it can't be ended yet.

    A change in a record that may not be the newest may have ended long ago, so
    it is not finished.
    """
    if record.change is None or not record.is_current:
        return None
    candidate = record.change.candidate
    report = reports.get(candidate)
    if report is None or not report.is_primary or report.term <= record.term:
        return None
    return PrimaryRecord(
        group=record.group,
        version=record.version,
        term=report.term,
        primary=candidate,
        era=record.era,
    )
