"""Look after changes of primary that their leader has left unfinished."""

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
from bamboospring.sessions.overdue_change import is_overdue
from bamboospring.sessions.overdue_change import takes_part
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import version_text

__all__ = ["ChangeFinisher"]

# Seconds between two looks at a group, and the time for an answer.
INTERVAL = 0.2
TIMEOUT = 0.5
STORE_TIMEOUT = 1.0


class ChangeFinisher:
    """Asks targets of overdue changes, and records who leads already.

    `draw` is a number of this process's own that tells it from others.
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
        draw: int,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._releases = releases
        self._draw = draw
        self._looked_at: dict[str, float] = {}
        self._busy: set[str] = set()

    def tick(self) -> None:
        """Look at the groups whose change is overdue."""
        if not takes_part(self._draw, self._board.vm_count):
            return
        now = self._reactor.now()
        for group in self._board.groups.values():
            looked = now - self._looked_at.get(group.name, -1e9)
            if looked < INTERVAL or group.name in self._busy:
                continue
            if is_overdue(group, now):
                self._looked_at[group.name] = now
                self._look(group)

    def _look(self, group: SessionGroup) -> None:
        record = group.record
        assert record is not None
        others = [name for name in group.targets if name != record.primary]
        reports: dict[str, TargetReport] = {}
        left = set(others)

        def heard(name: str, result: TargetReport | NoReport) -> None:
            left.discard(name)
            if isinstance(result, TargetReport):
                reports[name] = result
            if not left:
                self._busy.discard(group.name)
                self._judge(group, record, reports)

        if others:
            self._busy.add(group.name)
        for name in others:
            self._questions.ask(
                group,
                name,
                AskReport(),
                TIMEOUT,
                lambda result, name=name: heard(name, result),  # type: ignore
            )

    def _judge(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        reports: dict[str, TargetReport],
    ) -> None:
        if group.record is not record:
            # Another record has come in meanwhile.
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
