"""Finish changes of primary that their leader has left unfinished.

See `overdue_change` for the decisions.
"""

from __future__ import annotations

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
from bamboospring.sessions.overdue_change import finished_record
from bamboospring.sessions.overdue_change import is_finisher
from bamboospring.sessions.overdue_change import is_overdue
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import version_text

__all__ = ["ChangeFinisher"]

# Seconds between two checks of a group, and the timeout of an answer.
CHECK_INTERVAL = 0.2
REPORT_TIMEOUT = 0.5
STORE_TIMEOUT = 1.0


class ChangeFinisher:
    """Asks the targets of overdue changes, and records a new primary.

    `nonce_hash` is a number that differs between processes.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        questions: TargetControl,
        records: RecordKeeper,
        releases: ProofReleases,
        nonce_hash: int,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._releases = releases
        self._nonce_hash = nonce_hash
        self._checked_at: dict[str, float] = {}
        self._busy: set[str] = set()

    def tick(self) -> None:
        """Check the groups whose change is overdue."""
        if not is_finisher(self._nonce_hash, self._board.vm_count):
            return
        now = self._reactor.now()
        for group in self._board.groups.values():
            elapsed = now - self._checked_at.get(group.name, -1e9)
            if elapsed < CHECK_INTERVAL or group.name in self._busy:
                continue
            if is_overdue(group, now):
                self._checked_at[group.name] = now
                self._ask_targets(group)

    def _ask_targets(self, group: SessionGroup) -> None:
        record = group.record
        assert record is not None
        others = [name for name in group.targets if name != record.primary]
        reports: dict[str, TargetReport] = {}
        remaining = set(others)

        def handle(name: str, result: TargetReport | NoReport) -> None:
            remaining.discard(name)
            if isinstance(result, TargetReport):
                reports[name] = result
            if not remaining:
                self._busy.discard(group.name)
                self._store_if_finished(group, record, reports)

        if others:
            self._busy.add(group.name)
        for name in others:
            self._questions.ask(
                group,
                name,
                AskReport(),
                REPORT_TIMEOUT,
                lambda result, name=name: handle(name, result),  # type: ignore
            )

    def _store_if_finished(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        reports: dict[str, TargetReport],
    ) -> None:
        if group.record is not record:
            # Another record arrived in the meantime.
            return
        finished = finished_record(record, reports)
        if finished is not None:
            self._store(finished)

    def _store(self, record: PrimaryRecord) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            logs.log_event(
                "change_finished",
                group=record.group,
                primary=record.primary,
                term=record.term,
                version=version_text(record.version),
                outcome=type(result).__name__,
            )
            if isinstance(result, Stored):
                self._releases.publish(record, result.version)
            else:
                self._records.request_read(record.group)

        self._platform.put(
            RECORD_KIND,
            record.group,
            record.version,
            encode_record(record),
            "change",
            on_result,
            timeout=STORE_TIMEOUT,
        )
