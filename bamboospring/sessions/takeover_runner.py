"""Carry changes of primary out: at targets, the store and who promotes."""

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
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import read_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.leader_lease import LeaderLease
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
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
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover import TakeoverPhase
from bamboospring.sessions.takeover import TellTarget
from bamboospring.sessions.target_control import ControlOrder
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import version_text

__all__ = ["TakeoverRunner", "TELL_TIMEOUT"]

TELL_TIMEOUT = 0.5
PROMOTE_TIMEOUT = 0.6
STORE_TIMEOUT = 1.0
# An old primary that can't be reached is told to step down for this long, in
# seconds; after that it learns from the new one.
STEP_DOWN_PATIENCE = 20.0
STEP_DOWN_INTERVAL = 0.5


class TakeoverRunner:
    """The changes of primary that this VM leads, one a group at most.

    `on_ended` is called with each group whose change is over.
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
        self._duty = lease
        self._on_ended = on_ended
        self._changes: dict[str, Takeover] = {}

    def tick(self, group: SessionGroup) -> bool:
        """Go on with a group's change; False if there is none."""
        change = self._changes.get(group.name)
        if change is None:
            return False
        self._go_on(group, change, change.tick(self._reactor.now()))
        return True

    def drop_all(self) -> None:
        """Forget all changes: another VM leads, and takes them up."""
        self._changes.clear()

    def put_all_right(self) -> None:
        """Have all groups follow their primary, as one who begins to lead.

        The VM that led before may have gone right after a change was recorded.
        Its group's old primary would go on answering, and a replica that holds
        a term would receive nothing, until somebody tells them.
        """
        for group in self._board.groups.values():
            self.put_right(group)

    def put_right(self, group: SessionGroup) -> None:
        """Have a group follow its primary, if it is agreed who that is."""
        record = group.record
        if record is None or record.change is not None:
            return
        if group.unsettled is None:
            until = self._reactor.now() + STEP_DOWN_PATIENCE
            self._put_right(group, record, until)

    def begin(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        cause: TakeoverCause,
        now: float,
    ) -> None:
        """Begin to replace a group's primary."""
        leaving = [n for n, news in group.targets.items() if news.leaving]
        change = Takeover(
            vm=self._board.vm,
            nonce=secrets.token_hex(8),
            cause=cause,
            record=record,
            targets=tuple(group.targets),
            unfit=tuple(leaving),
        )
        self._changes[group.name] = change
        logs.log_event(
            "change_begun",
            group=group.name,
            cause=cause.value,
            primary=record.primary,
            term=record.term,
            version=version_text(record.version),
            targets=len(group.targets),
        )
        self._go_on(group, change, change.begin(now))

    def _go_on(
        self, group: SessionGroup, change: Takeover, actions: list[Action]
    ) -> None:
        for action in actions:
            self._carry_out(group, change, action)
        if change.over and self._changes.get(group.name) is change:
            self._ended(group, change)

    def _carry_out(
        self, group: SessionGroup, change: Takeover, action: Action
    ) -> None:
        if not self._duty.is_held:
            return
        match action:
            case TellTarget(target=target, order=order):
                self._tell(group, change, target, order)
            case StoreRecord(record=record):
                self._store(group, change, record)
            case ReadRecord():
                self._read(group, change)
            case OrderPromotion(target=target):
                self._promote(group, change, target)

    def _tell(
        self,
        group: SessionGroup,
        change: Takeover,
        target: str,
        order: ControlOrder,
    ) -> None:
        def heard(result: TargetReport | NoReport) -> None:
            if isinstance(result, NoReport) and not result.refused:
                return
            report = result if isinstance(result, TargetReport) else None
            now = self._reactor.now()
            self._go_on(group, change, change.replied(target, report, now))

        self._questions.ask(group, target, order, TELL_TIMEOUT, heard)

    def _store(
        self, group: SessionGroup, change: Takeover, record: PrimaryRecord
    ) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            now = self._reactor.now()
            match result:
                case Stored(version=version):
                    actions = change.stored(version, now)
                    self._published(group, change)
                case Conflict(version=version, value=value):
                    found = Found(
                        kind=RECORD_KIND,
                        name=group.name,
                        version=version,
                        value=value,
                    )
                    actions = self._read_back(change, found)
                case _:
                    actions = change.store_unsure(now)
            self._go_on(group, change, actions)

        self._platform.put(
            RECORD_KIND,
            group.name,
            record.version,
            encode_record(record),
            f"change/{group.name}",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _published(self, group: SessionGroup, change: Takeover) -> None:
        """Act on a record that the store has just taken."""
        record = change.record
        self._records.apply(record)
        if record.change is None:
            self._records.request_read(group.name)
            self._releases.tell_all(record)
            return

        def released() -> None:
            now = self._reactor.now()
            if change.record.version == record.version and not change.over:
                self._go_on(group, change, change.all_released(now))

        self._releases.ask_all(record, released)

    def _read(self, group: SessionGroup, change: Takeover) -> None:
        def on_result(result: Found | Missing | Unavailable) -> None:
            if isinstance(result, Found):
                self._go_on(group, change, self._read_back(change, result))

        self._platform.get(
            RECORD_KIND,
            group.name,
            f"change/{group.name}",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _read_back(self, change: Takeover, found: Found) -> list[Action]:
        record = read_record(found)
        if record is None:
            return []
        self._records.apply(record)
        before = change.record.version
        actions = change.read(record, self._reactor.now())
        if change.record.version != before:
            self._published(self._board.group(record.group), change)
        return actions

    def _promote(
        self, group: SessionGroup, change: Takeover, target: str
    ) -> None:
        sent_at = self._reactor.now()
        if not self._duty.holds_until(sent_at + PROMOTE_TIMEOUT):
            # An order that is under way when the lease ends could arrive
            # after one of the next holder, and the target that was ordered
            # first would lead last.
            self._go_on(
                group,
                change,
                change.ordered(PromotionResult.NOT_SENT, sent_at),
            )
            return

        def on_done(result: PromotionResult) -> None:
            now = self._reactor.now()
            logs.log_event(
                "promotion_ordered",
                group=group.name,
                target=target,
                fence=self._duty.fence,
                result=result.value,
                took_ms=round((now - sent_at) * 1000),
            )
            self._go_on(group, change, change.ordered(result, now))

        self._orders.promote(
            group=group.name,
            target=target,
            holder=self._board.vm,
            fence=self._duty.fence,
            timeout=PROMOTE_TIMEOUT,
            on_complete=on_done,
        )

    def _ended(self, group: SessionGroup, change: Takeover) -> None:
        del self._changes[group.name]
        now = self._reactor.now()
        done = change.phase is TakeoverPhase.DONE
        logs.log_event(
            "change_ended",
            level=logs.Level.INFO if done else logs.Level.WARNING,
            group=group.name,
            outcome=change.phase.value,
            reason=change.end,
            primary=change.record.primary,
            term=change.record.term,
            version=version_text(change.record.version),
        )
        self._on_ended(group)
        if done:
            self._put_right(group, change.record, now + STEP_DOWN_PATIENCE)

    def _put_right(
        self, group: SessionGroup, record: PrimaryRecord, until: float
    ) -> None:
        """Have the others follow the new primary, for as long as it takes.

        A former primary goes on answering whoever reaches it, and a replica
        that holds a term takes nothing, until they are told.
        """
        for name in group.targets:
            if name != record.primary:
                self._put_one_right(group, record, name, until)

    def _put_one_right(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        name: str,
        until: float,
    ) -> None:
        def again() -> None:
            now = self._reactor.now()
            if group.record != record or now > until or not self._duty.is_held:
                return
            self._put_one_right(group, record, name, until)

        def heard(result: TargetReport | NoReport) -> None:
            if isinstance(result, NoReport):
                self._reactor.call_later(STEP_DOWN_INTERVAL, again)
                return
            if result.is_primary and result.term < record.term:
                self._tell_once(group, name, StepDown(term=record.term))
                self._reactor.call_later(STEP_DOWN_INTERVAL, again)
            elif result.held_term:
                self._tell_once(group, name, ResumeReceiving())

        self._questions.ask(group, name, AskReport(), TELL_TIMEOUT, heard)

    def _tell_once(
        self, group: SessionGroup, name: str, order: ControlOrder
    ) -> None:
        def heard(result: TargetReport | NoReport) -> None:
            logs.log_event(
                "target_told",
                group=group.name,
                target=name,
                order=type(order).__name__,
                heard=isinstance(result, TargetReport),
            )

        self._questions.ask(group, name, order, TELL_TIMEOUT, heard)
