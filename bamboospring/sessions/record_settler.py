"""Settle groups whose newest record the store may have lost.

See `settled_record` for the decisions.
"""

from __future__ import annotations

from collections.abc import Callable

from bamboospring import logs
from bamboospring.object_store import Conflict
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.settled_record import latest_known_record
from bamboospring.sessions.settled_record import settled_record
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import UnsettledState

__all__ = ["RecordSettler"]

# Seconds between two surveys of a group, and the timeout of the answers.
SURVEY_INTERVAL = 0.2
SURVEY_TIMEOUT = 0.5
# Seconds after which the primary is replaced if the targets do not agree.
DISAGREEMENT_TIMEOUT = 1.0
STORE_TIMEOUT = 1.0

# Called with a group whose primary was recorded again.
OnSettled = Callable[[SessionGroup], None]
# Called with a group whose primary must be replaced, and the latest record
# known of it.
OnDisagreed = Callable[[SessionGroup, PrimaryRecord], None]


class RecordSettler:
    """Surveys unsettled groups while this VM is the leader."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        questions: TargetControl,
        records: RecordKeeper,
        releases: ProofReleases,
        is_leader: Callable[[], bool],
        on_settled: OnSettled,
        on_disagreed: OnDisagreed,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._releases = releases
        self._is_leader = is_leader
        self._on_settled = on_settled
        self._on_disagreed = on_disagreed
        self._busy: set[str] = set()
        self._surveyed_at: dict[str, float] = {}
        self._unsettled_since: dict[str, float] = {}

    def tick(self, group: SessionGroup) -> None:
        """Survey an unsettled group without a change, if that is due."""
        now = self._reactor.now()
        if group.name in self._busy:
            return
        if now - self._surveyed_at.get(group.name, -1e9) < SURVEY_INTERVAL:
            return
        known, unsettled = group.record, group.unsettled
        if known is None or unsettled is None or not group.targets:
            return
        if self._platform.may_be_incomplete(self._board.targets_seen_at):
            # A target that was promoted lately may have lost its entry.
            return
        self._unsettled_since.setdefault(group.name, now)
        self._surveyed_at[group.name] = now
        self._busy.add(group.name)
        self._survey(group, known, unsettled)

    def _survey(
        self,
        group: SessionGroup,
        known: PrimaryRecord,
        unsettled: UnsettledState,
    ) -> None:
        targets = tuple(group.targets)
        reports: dict[str, TargetReport] = {}
        remaining = set(targets)

        def handle(name: str, result: TargetReport | NoReport) -> None:
            remaining.discard(name)
            if isinstance(result, TargetReport):
                reports[name] = result
            if not remaining:
                self._busy.discard(group.name)
                self._settle_or_replace(
                    group, known, unsettled, targets, reports
                )

        for name in targets:
            self._questions.ask(
                group,
                name,
                AskReport(),
                SURVEY_TIMEOUT,
                lambda result, name=name: handle(name, result),  # type: ignore
            )

    def _settle_or_replace(
        self,
        group: SessionGroup,
        known: PrimaryRecord,
        unsettled: UnsettledState,
        targets: tuple[str, ...],
        reports: dict[str, TargetReport],
    ) -> None:
        is_unchanged = group.record is known and group.unsettled == unsettled
        if not is_unchanged or not self._is_leader():
            return
        record = settled_record(known, unsettled, targets, reports)
        if record is not None:
            self._store(group, record)
            return
        now = self._reactor.now()
        if (
            now - self._unsettled_since.get(group.name, now)
            < DISAGREEMENT_TIMEOUT
        ):
            return
        logs.log_event(
            "targets_disagree",
            level=logs.Level.WARNING,
            group=group.name,
            primary=known.primary,
            term=known.term,
            heard=len(reports),
            asked=len(targets),
        )
        self._unsettled_since.pop(group.name, None)
        self._on_disagreed(
            group, latest_known_record(known, unsettled, reports)
        )

    def _store(self, group: SessionGroup, record: PrimaryRecord) -> None:
        self._busy.add(group.name)

        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            self._busy.discard(group.name)
            logs.log_event(
                "record_settled",
                group=group.name,
                primary=record.primary,
                term=record.term,
                era=record.era,
                outcome=type(result).__name__,
            )
            if isinstance(result, Stored):
                self._unsettled_since.pop(group.name, None)
                self._releases.publish(record, result.version)
                self._on_settled(group)
            else:
                self._records.request_read(group.name)

        self._platform.put(
            RECORD_KIND,
            group.name,
            record.version,
            encode_record(record),
            f"settle/{group.name}",
            on_result,
            timeout=STORE_TIMEOUT,
        )
