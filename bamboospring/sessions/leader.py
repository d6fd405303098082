"""Lead changes of primary, on the one VM that holds the lease for it.

The lease is an object beside the groups' records, so that every read of them
shows it too and no VM has to ask for it. Its fencing number is the store's
version of the object when the holder took it: the store's versions only grow,
so a later holder always has a higher one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import secrets
import zlib

from bamboospring.blackboard import Lease
from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ReadLease
from bamboospring.lease import SeenLease
from bamboospring.lease import WriteLease
from bamboospring.lease_client import encode_lease
from bamboospring.lease_client import read_lease
from bamboospring.lease_client import report_to_keeper
from bamboospring.lease_client import Result as LeaseResult
from bamboospring import logs
from bamboospring.object_store import Conflict
from bamboospring.object_store import Found
from bamboospring.object_store import Missing
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.judgement import first_record
from bamboospring.sessions.judgement import judge
from bamboospring.sessions.judgement import PrimarySight
from bamboospring.sessions.model import GroupView
from bamboospring.sessions.model import Leadership
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import PromotionOrders
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proofs import Report
from bamboospring.sessions.questions import NoReport
from bamboospring.sessions.questions import Question
from bamboospring.sessions.questions import TargetQuestions
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.records import encode_record
from bamboospring.sessions.records import read_record
from bamboospring.sessions.records import RECORD_KIND
from bamboospring.sessions.release import Releases
from bamboospring.sessions.takeover import Action
from bamboospring.sessions.takeover import Cause
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import Phase
from bamboospring.sessions.takeover import ReadRecord
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TellTarget
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry

__all__ = ["Holder", "LEASE_NAME", "Leader"]

LEASE_NAME = "lease"
TICK = 0.1
# VMs that would take a free lease do so this many ranks apart at most.
RANKS = 8
# Seconds between questions to a primary, and the time for each.
LOOK_INTERVAL = 0.35
LOOK_TIMEOUT = 0.8
ROLE_INTERVAL = 2.0
TELL_TIMEOUT = 0.5
PROMOTE_TIMEOUT = 0.6
STORE_TIMEOUT = 1.0
# An old primary that can't be reached is told to step down for this long, in
# seconds; after that it learns from the new one.
STEP_DOWN_PATIENCE = 20.0
STEP_DOWN_INTERVAL = 0.5
# Seconds between two looks at the list of VMs.
TIDY_INTERVAL = 10.0
# A change that ended without a new primary is begun again after this.
TRY_AGAIN = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """Who holds the lease, by its own word; `version` is the lease's."""

    vm: str
    address: str
    version: int


class Leader:
    """This VM's part in leading changes of primary."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        questions: TargetQuestions,
        records: RecordKeeper,
        orders: PromotionOrders,
        missing_since: Callable[[str], float | None],
        registry: VmRegistry,
        releases: Releases,
        timing: LeaseTiming,
    ) -> None:
        self._registry = registry
        self._releases = releases
        self._tidied_at = -1e9
        self._told = Holder(vm="", address="", version=0)

        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._orders = orders
        self._missing_since = missing_since
        nonce = secrets.token_hex(8)
        self._keeper = LeaseKeeper(
            bucket=0,
            vm=board.vm,
            nonce=nonce,
            timing=timing,
            address=registry.me.address,
        )
        self._rank = zlib.crc32(nonce.encode()) % RANKS
        self._awaiting_read = False
        self._led = False
        self._changes: dict[str, Takeover] = {}
        self._sights: dict[str, tuple[str, PrimarySight]] = {}
        self._looked_at: dict[str, float] = {}
        self._begin_after: dict[str, float] = {}
        records.leading = lambda: self.leads
        records.on_other = self._lease_seen
        records.on_read = self._records_read

    @property
    def leads(self) -> bool:
        """Tell whether this VM may act now."""
        return self._keeper.holds(self._reactor.now())

    def holds_for_others(self) -> int:
        """Return 1 while others wait for our lease to end."""
        return int(self._keeper.blocks_others(self._reactor.now()))

    def start(self) -> None:
        """Take part from now on."""
        self._tick()

    def holder(self) -> str:
        """Return the name of the VM that holds the lease, as last seen."""
        lease = self._keeper.as_lease()
        if self._told.version > lease.version:
            return self._told.vm
        return lease.vm

    def holder_address(self) -> str:
        """Return where other VMs reach the holder, as last seen."""
        if self._told.version > self._keeper.as_lease().version:
            return self._told.address
        return self._keeper.address()

    def told_of(self, holder: Holder) -> None:
        """Take from a VM that it has taken the lease.

        A VM that can't read the store finds its way to the new leader's
        facts by this alone.
        """
        if holder.version > self._told.version:
            self._told = holder

    def lease(self) -> Lease:
        """Return the lease as last seen."""
        return self._keeper.as_lease()

    def lease_relayed(
        self, version: int, duration: float, asked_at: float
    ) -> None:
        """Take from its holder that the lease has this version now.

        What marks one renewal from the next matters only to the holder.
        """
        if not self._awaiting_read:
            return
        self._awaiting_read = False
        value = LeaseValue(
            vm=self.holder(),
            nonce="",
            duration=duration,
            address=self.holder_address(),
        )
        seen = SeenLease(version=version, value=value)
        self._keeper.read(asked_at, self._reactor.now(), seen)

    # The lease.

    def _tick(self) -> None:
        self._step_lease()
        if self.leads:
            self._lead()
            self._tidy()
        self._reactor.call_later(TICK, self._tick)

    def _tidy(self) -> None:
        """Keep the list of VMs, and remove those that have long gone."""
        now = self._reactor.now()
        if now - self._tidied_at < TIDY_INTERVAL:
            return
        self._tidied_at = now

        def listed(vms: dict[str, ListedVm] | None) -> None:
            if vms is not None:
                self._releases.tell_leading(self._keeper.as_lease().version)
                self._board.vms = max(1, len(vms))
                self._registry.remove_lapsed(now)

        self._registry.refresh(listed)

    def _step_lease(self) -> None:
        now = self._reactor.now()
        rank = None if self._board.draining else self._rank
        action = self._keeper.step(now, rank)
        match action:
            case ReadLease():
                self._awaiting_read = True
            case WriteLease():
                self._write_lease(action)
        self._log_lead()

    def _log_lead(self) -> None:
        if self.leads == self._led:
            return
        self._led = self.leads
        # The others are told at once.
        self._tidied_at = -1e9
        lease = self._keeper.as_lease()
        logs.log_event(
            "lease_taken" if self._led else "lease_lost",
            version=lease.version,
            fence=self._keeper.fence,
            holder=lease.vm,
        )
        if not self._led:
            self._changes.clear()

    def _write_lease(self, action: WriteLease) -> None:
        sent_at = self._reactor.now()

        def on_result(result: LeaseResult) -> None:
            now = self._reactor.now()
            report_to_keeper(self._keeper, action, result, sent_at, now)

        self._platform.put(
            RECORD_KIND,
            LEASE_NAME,
            action.if_version,
            encode_lease(action.value),
            "lease",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _lease_seen(self, found: Found, asked_at: float) -> None:
        if found.name == LEASE_NAME and self._awaiting_read:
            self._awaiting_read = False
            seen = read_lease(found.version, found.value)
            self._keeper.read(asked_at, self._reactor.now(), seen)

    def _records_read(self, asked_at: float) -> None:
        """Note that the records were read and there was no lease in them."""
        if self._awaiting_read:
            self._awaiting_read = False
            seen = SeenLease(version=0, value=read_lease(0, None).value)
            self._keeper.read(asked_at, self._reactor.now(), seen)

    # Watching primaries.

    def _lead(self) -> None:
        now = self._reactor.now()
        for group in list(self._board.groups.values()):
            if not group.targets:
                continue
            change = self._changes.get(group.name)
            if change is not None:
                self._go_on(group, change, change.tick(now))
            elif group.leadership is None:
                self._record_first(group)
            else:
                self._watch(group, group.leadership, now)

    def _watch(self, group: GroupView, record: Leadership, now: float) -> None:
        sight = self._sight(group, record)
        sight.missing_at = self._missing_since(record.primary)
        if record.primary not in group.targets and sight.missing_at is None:
            # Gone before this process began to look.
            sight.missing_at = -1e9
        if self._should_look(group, record, now):
            self._looked_at[group.name] = now
            self._look(group, record, sight, now)
        cause = judge(group, sight, now)
        if cause is None or now < self._begin_after.get(group.name, -1e9):
            return
        self._begin(group, record, cause, now)

    def _should_look(
        self, group: GroupView, record: Leadership, now: float
    ) -> bool:
        """Tell whether to ask a primary how it is.

        Answers to statements show as well that it lives, and give samples
        that the leader passes on; a question takes a slot of the primary.
        But only a question shows that it has lost its role.
        """
        looked = now - self._looked_at.get(group.name, -1e9)
        sample = group.samples.newest()
        age = now - sample.asked_at if sample is not None else LOOK_INTERVAL
        heard = now - group.view(record.primary).heard_at
        if max(heard, age) < LOOK_INTERVAL:
            return looked >= ROLE_INTERVAL
        return looked >= LOOK_INTERVAL

    def _sight(self, group: GroupView, record: Leadership) -> PrimarySight:
        found = self._sights.get(group.name)
        if found is None or found[0] != record.primary:
            found = (record.primary, PrimarySight())
            self._sights[group.name] = found
        return found[1]

    def _look(
        self,
        group: GroupView,
        record: Leadership,
        sight: PrimarySight,
        now: float,
    ) -> None:
        def heard(result: Report | NoReport) -> None:
            if isinstance(result, Report):
                sight.heard()
                sight.lost_role = not result.leads
                return
            last = group.view(record.primary).heard_at
            if result.busy or last >= now:
                sight.heard()
                return
            if sight.asked_at is None:
                sight.asked_at = max(now, last)
            if result.refused and sight.refused_at is None:
                sight.refused_at = now
            elif not result.refused:
                sight.refused_at = None

        self._questions.ask(
            group, record.primary, AskReport(), LOOK_TIMEOUT, heard
        )

    def _record_first(self, group: GroupView) -> None:
        """Record the primary of a group that has no record yet.

        Not before the records were read: a group that has one must keep it.
        """
        now = self._reactor.now()
        fresh = self._records.read_at > now - 1.0
        if not fresh or now < self._begin_after.get(group.name, -1e9):
            return
        draft = first_record(group, 0)
        if draft is None:
            return
        self._begin_after[group.name] = now + TRY_AGAIN

        def heard(result: Report | NoReport) -> None:
            if isinstance(result, Report) and result.leads and self.leads:
                record = first_record(group, result.term)
                if record is not None:
                    self._store_first(record)

        self._questions.ask(
            group, draft.primary, AskReport(), LOOK_TIMEOUT, heard
        )

    def _store_first(self, record: Leadership) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            self._records.doubt(record.group)

        self._platform.put(
            RECORD_KIND,
            record.group,
            0,
            encode_record(record),
            "change",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    # Changing a primary.

    def _begin(
        self, group: GroupView, record: Leadership, cause: Cause, now: float
    ) -> None:
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
            version=record.version,
            targets=len(group.targets),
        )
        self._go_on(group, change, change.begin(now))

    def _go_on(
        self, group: GroupView, change: Takeover, actions: list[Action]
    ) -> None:
        for action in actions:
            self._carry_out(group, change, action)
        if change.over and self._changes.get(group.name) is change:
            self._ended(group, change)

    def _carry_out(
        self, group: GroupView, change: Takeover, action: Action
    ) -> None:
        if not self.leads:
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
        self, group: GroupView, change: Takeover, target: str, order: Question
    ) -> None:
        def heard(result: Report | NoReport) -> None:
            if isinstance(result, NoReport) and not result.refused:
                return
            report = result if isinstance(result, Report) else None
            now = self._reactor.now()
            self._go_on(group, change, change.replied(target, report, now))

        self._questions.ask(group, target, order, TELL_TIMEOUT, heard)

    def _store(
        self, group: GroupView, change: Takeover, record: Leadership
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

    def _published(self, group: GroupView, change: Takeover) -> None:
        """Act on a record that the store has just taken."""
        record = change.record
        self._records.take(record)
        if record.change is None:
            self._records.doubt(group.name)
            self._releases.tell_all(record)
            return

        def released() -> None:
            now = self._reactor.now()
            if change.record.version == record.version and not change.over:
                self._go_on(group, change, change.all_released(now))

        self._releases.ask_all(record, released)

    def _read(self, group: GroupView, change: Takeover) -> None:
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
        self._records.take(record)
        before = change.record.version
        actions = change.read(record, self._reactor.now())
        if change.record.version != before:
            self._published(self._board.group(record.group), change)
        return actions

    def _promote(
        self, group: GroupView, change: Takeover, target: str
    ) -> None:
        sent_at = self._reactor.now()
        if not self._keeper.holds(sent_at + PROMOTE_TIMEOUT):
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
                fence=self._keeper.fence,
                result=result.value,
                took_ms=round((now - sent_at) * 1000),
            )
            self._go_on(group, change, change.ordered(result, now))

        self._orders.promote(
            group=group.name,
            target=target,
            holder=self._board.vm,
            fence=self._keeper.fence,
            timeout=PROMOTE_TIMEOUT,
            on_done=on_done,
        )

    def _ended(self, group: GroupView, change: Takeover) -> None:
        del self._changes[group.name]
        now = self._reactor.now()
        done = change.phase is Phase.DONE
        logs.log_event(
            "change_ended",
            level=logs.Level.INFO if done else logs.Level.WARNING,
            group=group.name,
            outcome=change.phase.value,
            reason=change.end,
            primary=change.record.primary,
            term=change.record.term,
            version=change.record.version,
        )
        self._sights.pop(group.name, None)
        self._begin_after[group.name] = now + TRY_AGAIN
        if done:
            self._put_right(group, change.record, now + STEP_DOWN_PATIENCE)

    def _put_right(
        self, group: GroupView, record: Leadership, until: float
    ) -> None:
        """Have the others follow the new primary, for as long as it takes.

        A former primary goes on answering whoever reaches it, and a replica
        that holds a term takes nothing, until they are told.
        """
        for name in group.targets:
            if name != record.primary:
                self._put_one_right(group, record, name, until)

    def _put_one_right(
        self, group: GroupView, record: Leadership, name: str, until: float
    ) -> None:
        def again() -> None:
            now = self._reactor.now()
            if group.leadership != record or now > until or not self.leads:
                return
            self._put_one_right(group, record, name, until)

        def heard(result: Report | NoReport) -> None:
            if isinstance(result, NoReport):
                self._reactor.call_later(STEP_DOWN_INTERVAL, again)
                return
            if result.leads and result.term < record.term:
                self._tell_once(group, name, StepDown(term=record.term))
                self._reactor.call_later(STEP_DOWN_INTERVAL, again)
            elif result.held_term:
                self._tell_once(group, name, ResumeReceiving())

        self._questions.ask(group, name, AskReport(), TELL_TIMEOUT, heard)

    def _tell_once(self, group: GroupView, name: str, order: Question) -> None:
        def heard(result: Report | NoReport) -> None:
            logs.log_event(
                "target_told",
                group=group.name,
                target=name,
                order=type(order).__name__,
                heard=isinstance(result, Report),
            )

        self._questions.ask(group, name, order, TELL_TIMEOUT, heard)
