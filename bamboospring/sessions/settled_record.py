"""Determine a group's primary after the store may have lost its record.

A store that was restored from an older copy may show a record that has been
replaced since: a target was promoted, but the store no longer has that record.
Such a record proves nothing, but the targets know the newest term: each change
first has a target hold its term, and a target that follows a primary knows its
term. So if one target is primary and all others know no later term, it is
recorded as the primary in the current era of the store. If they do not agree,
the primary is replaced as in a planned change, with a term above all others.
So it is if a change is known to have been under way: its candidate may have
been promoted, and neither it nor the target that holds the term may be listed.

Pure decisions.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.proofs import TargetReport
from bamboospring.store_version import UnsettledState

__all__ = ["latest_known_record", "settled_record"]


def settled_record(
    known: PrimaryRecord,
    unsettled: UnsettledState,
    targets: Collection[str],
    reports: Mapping[str, TargetReport],
) -> PrimaryRecord | None:
    """Return the record on which all targets agree, None if they don't.

    `reports` has those that were received. `known` is the newest known
    record, whether or not the store still has it. A former primary of an
    earlier term that still reports itself as primary does not matter.
    """
    latest = latest_known_record(known, unsettled, reports)
    change = known.change
    if change is not None and latest.primary != change.candidate:
        return None
    report = reports.get(latest.primary)
    if report is None or not report.is_primary or report.term != latest.term:
        return None
    others = [name for name in targets if name != latest.primary]
    if others and not _no_later_term(others, reports, latest.term):
        return None
    return dataclasses.replace(latest, change=None)


def _no_later_term(
    others: Collection[str],
    reports: Mapping[str, TargetReport],
    term: int,
) -> bool:
    if any(name not in reports for name in others):
        return False
    return all(report.newest_term <= term for report in reports.values())


def latest_known_record(
    known: PrimaryRecord,
    unsettled: UnsettledState,
    reports: Mapping[str, TargetReport],
) -> PrimaryRecord:
    """Return a record of the newest primary that is known or reports itself.

    A newer primary may exist. The record is to replace the stored one.
    """
    latest = dataclasses.replace(
        known, version=unsettled.version, era=unsettled.era
    )
    for name, report in reports.items():
        if report.is_primary and report.term > latest.term:
            latest = dataclasses.replace(
                latest, primary=name, term=report.term, change=None
            )
    return latest
