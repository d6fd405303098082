"""Run changes of primary: requests to targets, the store and the platform."""

from __future__ import annotations

from collections.abc import Callable
import secrets

from bamboospring import logs
from bamboospring.object_store import Conflict
from bamboospring.object_store import Found
from bamboospring.object_store import Missing
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import decode_record
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.leader_lease import LeaderLease
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionOrders
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.takeover import Action
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import ReadRecord
from bamboospring.sessions.takeover import SendToTarget
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover import TakeoverPhase
from bamboospring.sessions.target_control import ControlOrder
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import version_text

__all__ = ["TakeoverRunner", "REPORT_TIMEOUT"]

REPORT_TIMEOUT = 0.5
PROMOTE_TIMEOUT = 0.6
STORE_TIMEOUT = 1.0
# Seconds during which targets that can't be reached are asked again after a
# change. After that an old primary learns of the change from the new one.
STEP_DOWN_PERIOD = 20.0
STEP_DOWN_INTERVAL = 0.5
# Phases that begin with the choice of a candidate.
CHOICE_PHASES = (TakeoverPhase.INTEND, TakeoverPhase.PROMOTE)


class TakeoverRunner:
    """Runs the changes of primary that this VM leads, at most one per group.

    `on_ended` is called with each group whose change has ended.
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
        orders: PromotionOrders,
        lease: LeaderLease,
        on_ended: Callable[[SessionGroup], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._releases = releases
        self._orders = orders
        self._lease = lease
        self._on_ended = on_ended
        self._takeovers: dict[str, Takeover] = {}
        self._logged_choices: dict[str, tuple[TakeoverPhase, str]] = {}

    def tick(self, group: SessionGroup) -> bool:
        """Advance a group's change; return False if there is none."""
        takeover = self._takeovers.get(group.name)
        if takeover is None:
            return False
        takeover.update_targets(
            tuple(group.targets),
            _leaving_targets(group),
            _listed_since(group),
        )
        self._advance(group, takeover, takeover.tick(self._reactor.now()))
        return True

    def drop_all(self) -> None:
        """Drop all changes; the next leader takes them up."""
        self._takeovers.clear()

    def reconcile_all(self) -> None:
        """Reconcile all groups when this VM becomes the leader.

        The previous leader may have failed right after it recorded a change.
        Without this the old primary of that group keeps answering, and a
        replica that holds a term receives nothing.
        """
        for group in self._board.groups.values():
            self.reconcile(group)

    def reconcile(self, group: SessionGroup) -> None:
        """Have the other targets follow the primary, if it is settled."""
        record = group.record
        if record is None or record.change is not None:
            return
        if group.unsettled is None:
            until = self._reactor.now() + STEP_DOWN_PERIOD
            self._reconcile_targets(group, record, until)

    def begin(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        cause: TakeoverCause,
        now: float,
    ) -> None:
        """Start a change of a group's primary."""
        takeover = Takeover(
            vm=self._board.vm,
            nonce=secrets.token_hex(8),
            cause=cause,
            record=record,
            targets=tuple(group.targets),
            leaving=_leaving_targets(group),
            created=_listed_since(group),
            sync_replicas=self._board.sync_replicas(group.name),
        )
        self._takeovers[group.name] = takeover
        self._logged_choices.pop(group.name, None)
        logs.log_event(
            "change_begun",
            group=group.name,
            cause=cause.value,
            primary=record.primary,
            term=record.term,
            version=version_text(record.version),
            targets=len(group.targets),
        )
        self._advance(group, takeover, takeover.begin(now))

    def _advance(
        self, group: SessionGroup, takeover: Takeover, actions: list[Action]
    ) -> None:
        self._log_choice(group, takeover)
        for action in actions:
            self._execute(group, takeover, action)
        if takeover.is_over and self._takeovers.get(group.name) is takeover:
            self._finish(group, takeover)

    def _log_choice(self, group: SessionGroup, takeover: Takeover) -> None:
        """Log a candidate with the reports that it was chosen from."""
        choice = (takeover.phase, takeover.candidate)
        if (
            takeover.phase not in CHOICE_PHASES
            or self._logged_choices.get(group.name) == choice
        ):
            return
        self._logged_choices[group.name] = choice
        heard = {n: r for n, r in takeover.reports.items() if r is not None}
        proofs = takeover.outstanding
        logs.log_event(
            "candidate_chosen",
            group=group.name,
            phase=takeover.phase.value,
            candidate=takeover.candidate,
            positions=",".join(
                f"{name}={report.received_term}.{report.received_index}"
                for name, report in sorted(heard.items())
            ),
            unheard=",".join(sorted(set(takeover.targets) - heard.keys())),
            leaving=",".join(sorted(takeover.leaving)),
            holders=",".join(sorted(proofs.held_since)),
            stepped_down=proofs.stepped_down_since is not None,
            unreleased=",".join(sorted(proofs.lists or ())),
        )

    def _execute(
        self, group: SessionGroup, takeover: Takeover, action: Action
    ) -> None:
        if not self._lease.is_held:
            return
        match action:
            case SendToTarget(target=target, order=order):
                self._send(group, takeover, target, order)
            case StoreRecord(record=record):
                self._store(group, takeover, record)
            case ReadRecord():
                self._read(group, takeover)
            case OrderPromotion(target=target):
                self._promote(group, takeover, target)

    def _send(
        self,
        group: SessionGroup,
        takeover: Takeover,
        target: str,
        order: ControlOrder,
    ) -> None:
        def on_report(result: TargetReport | NoReport) -> None:
            if isinstance(result, NoReport):
                takeover.on_no_report(target)
                if not result.refused:
                    return
            report = result if isinstance(result, TargetReport) else None
            now = self._reactor.now()
            if isinstance(order, HoldTerm):
                self._log_hold(group, takeover, target, report)
            if isinstance(order, StepDown):
                logs.log_event(
                    "primary_stepped_down",
                    group=group.name,
                    target=target,
                    term=takeover.term,
                    done=report is not None and not report.is_primary,
                )
            self._advance(
                group, takeover, takeover.on_report(target, report, now)
            )

        self._questions.ask(group, target, order, REPORT_TIMEOUT, on_report)

    def _log_hold(
        self,
        group: SessionGroup,
        takeover: Takeover,
        target: str,
        report: TargetReport | None,
    ) -> None:
        now = self._reactor.now()
        logs.log_event(
            "term_held",
            group=group.name,
            target=target,
            term=takeover.term,
            known=report.newest_term if report is not None else "refused",
            listed=",".join(sorted(group.targets)),
            list_age_ms=round((now - self._board.targets_seen_at) * 1000),
            list_version=version_text(self._board.targets_version),
            listed_since=version_text(takeover.created.get(target, 0)),
        )

    def _store(
        self, group: SessionGroup, takeover: Takeover, record: PrimaryRecord
    ) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            now = self._reactor.now()
            match result:
                case Stored(version=version):
                    actions = takeover.on_stored(version, now)
                    self._on_record_stored(group, takeover)
                case Conflict(version=version, value=value):
                    found = Found(
                        kind=RECORD_KIND,
                        name=group.name,
                        version=version,
                        value=value,
                    )
                    actions = self._on_record_read(takeover, found)
                case _:
                    actions = takeover.on_store_unanswered(now)
            self._advance(group, takeover, actions)

        self._platform.put(
            RECORD_KIND,
            group.name,
            record.version,
            encode_record(record),
            f"change/{group.name}",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _on_record_stored(
        self, group: SessionGroup, takeover: Takeover
    ) -> None:
        """Publish a record that was just stored."""
        record = takeover.record
        self._records.apply(record)
        if record.change is None:
            self._records.request_read(group.name)
            self._releases.announce_record(record)
            return

        if not takeover.is_waiting:
            self._releases.announce_record(record)
            return

        def is_waiting() -> bool:
            is_running = self._takeovers.get(group.name) is takeover
            return is_running and takeover.is_waiting

        def on_listed(lists: dict[str, int], incomplete: bool) -> None:
            if is_waiting():
                now = self._reactor.now()
                actions = takeover.on_vms_listed(
                    lists, now, incomplete=incomplete
                )
                self._advance(group, takeover, actions)

        def on_released(vm: str) -> None:
            if is_waiting():
                actions = takeover.on_proof_released(vm, self._reactor.now())
                self._advance(group, takeover, actions)

        self._releases.request(record, is_waiting, on_listed, on_released)

    def _read(self, group: SessionGroup, takeover: Takeover) -> None:
        def on_result(result: Found | Missing | Unavailable) -> None:
            if isinstance(result, Found):
                self._advance(
                    group, takeover, self._on_record_read(takeover, result)
                )

        self._platform.get(
            RECORD_KIND,
            group.name,
            f"change/{group.name}",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _on_record_read(
        self, takeover: Takeover, found: Found
    ) -> list[Action]:
        record = decode_record(found)
        if record is None:
            return []
        self._records.apply(record)
        before = takeover.record.version
        actions = takeover.on_record_read(record, self._reactor.now())
        if takeover.record.version != before:
            self._on_record_stored(self._board.group(record.group), takeover)
        return actions

    def _promote(
        self, group: SessionGroup, takeover: Takeover, target: str
    ) -> None:
        sent_at = self._reactor.now()
        if not self._lease.is_held_until(sent_at + PROMOTE_TIMEOUT):
            # An order still in flight when the lease expires could arrive
            # after an order of the next holder. The target ordered first
            # would then be promoted last.
            self._advance(
                group,
                takeover,
                takeover.on_promotion_result(
                    PromotionResult.NOT_SENT, sent_at
                ),
            )
            return

        def on_complete(result: PromotionResult) -> None:
            now = self._reactor.now()
            logs.log_event(
                "promotion_ordered",
                group=group.name,
                target=target,
                fence=self._lease.fence,
                result=result.value,
                took_ms=round((now - sent_at) * 1000),
            )
            self._advance(
                group, takeover, takeover.on_promotion_result(result, now)
            )

        self._orders.promote(
            group=group.name,
            target=target,
            holder=self._board.vm,
            fence=self._lease.fence,
            timeout=PROMOTE_TIMEOUT,
            on_complete=on_complete,
        )

    def _finish(self, group: SessionGroup, takeover: Takeover) -> None:
        del self._takeovers[group.name]
        now = self._reactor.now()
        succeeded = takeover.phase is TakeoverPhase.DONE
        logs.log_event(
            "change_ended",
            level=logs.Level.INFO if succeeded else logs.Level.WARNING,
            group=group.name,
            outcome=takeover.phase.value,
            reason=takeover.end_reason,
            primary=takeover.record.primary,
            term=takeover.record.term,
            version=version_text(takeover.record.version),
        )
        self._on_ended(group)
        if succeeded:
            self._reconcile_targets(
                group, takeover.record, now + STEP_DOWN_PERIOD
            )

    def _reconcile_targets(
        self, group: SessionGroup, record: PrimaryRecord, until: float
    ) -> None:
        """Have the other targets follow the primary; retry until `until`.

        Until they get an order a former primary keeps answering, and a replica
        that holds a term receives nothing.
        """
        for name in group.targets:
            if name != record.primary:
                self._reconcile_target(group, record, name, until)

    def _reconcile_target(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        target: str,
        until: float,
    ) -> None:
        def is_current() -> bool:
            return group.record == record and self._lease.is_held

        def retry() -> None:
            if is_current() and self._reactor.now() <= until:
                self._reconcile_target(group, record, target, until)

        def on_report(result: TargetReport | NoReport) -> None:
            if not is_current():
                # The target may hold the term of the next change by now.
                return
            if isinstance(result, NoReport):
                self._reactor.call_later(STEP_DOWN_INTERVAL, retry)
                return
            if result.is_primary and result.term < record.term:
                self._send_order(group, target, StepDown(term=record.term))
                self._reactor.call_later(STEP_DOWN_INTERVAL, retry)
            elif result.held_term:
                self._send_order(group, target, ResumeReceiving())

        self._questions.ask(
            group, target, AskReport(), REPORT_TIMEOUT, on_report
        )

    def _send_order(
        self, group: SessionGroup, target: str, order: ControlOrder
    ) -> None:
        def on_report(result: TargetReport | NoReport) -> None:
            logs.log_event(
                "target_told",
                group=group.name,
                target=target,
                order=type(order).__name__,
                heard=isinstance(result, TargetReport),
            )

        self._questions.ask(group, target, order, REPORT_TIMEOUT, on_report)


def _listed_since(group: SessionGroup) -> dict[str, int]:
    """Return the version of the list since which each target is in it."""
    return {name: listed.created for name, listed in group.targets.items()}


def _leaving_targets(group: SessionGroup) -> tuple[str, ...]:
    return tuple(n for n, listed in group.targets.items() if listed.leaving)
