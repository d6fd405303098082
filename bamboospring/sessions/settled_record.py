"""Agree anew on a group's primary where the store may have lost the record.

A store that has come back from an older copy shows a record that may have been
replaced since: a primary was promoted, and the store no longer says so. Such a
record proves nothing. The targets know better: each change has a target hold
its term before anything else is done, and whoever follows a primary knows its
term. So where one target leads and all others know of no later term, it is the
primary, and is recorded in the present era of the store. Where they do not
agree, the primary is replaced as by any planned change, with a term above all.

Pure decisions.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.proofs import TargetReport
from bamboospring.store_version import UnsettledState

__all__ = ["latest_known", "settled_record"]


def settled_record(
    known: PrimaryRecord,
    unsettled: UnsettledState,
    targets: Collection[str],
    reports: Mapping[str, TargetReport | None],
) -> PrimaryRecord | None:
    """Return the record on which all targets agree, None if they don't.

    `reports` are as for `others_agree`; `known` is the newest record that is
    known of, whether or not the store still has it. A former primary that
    still leads an earlier term speaks against nothing.
    """
    latest = latest_known(known, unsettled, reports)
    report = reports.get(latest.primary)
    if report is None or not report.is_primary or report.term != latest.term:
        return None
    others = [name for name in targets if name != latest.primary]
    if others and not _none_beyond(others, reports, latest.term):
        return None
    return dataclasses.replace(latest, change=None)


def _none_beyond(
    others: Collection[str],
    reports: Mapping[str, TargetReport | None],
    term: int,
) -> bool:
    if any(name not in reports for name in others):
        return False
    heard = [report for report in reports.values() if report is not None]
    if len(heard) < 2:
        return False
    return all(report.newest_term <= term for report in heard)


def latest_known(
    known: PrimaryRecord,
    unsettled: UnsettledState,
    reports: Mapping[str, TargetReport | None],
) -> PrimaryRecord:
    """Return the newest primary that is known or shows itself.

    It may not be the newest there is. It replaces what the store shows.
    """
    latest = dataclasses.replace(
        known, version=unsettled.version, era=unsettled.era
    )
    for name, report in reports.items():
        if (
            report is not None
            and report.is_primary
            and report.term > latest.term
        ):
            latest = dataclasses.replace(
                latest, primary=name, term=report.term, change=None
            )
    return latest
