"""State machine for one change of a group's primary.

    survey -> intend -> wait -> verify -> (name) -> promote -> confirm
    -> record

A replaced primary is not notified and keeps answering. VMs stop using it
because their proofs expire (see `proofs`). A change therefore first blocks new
proofs: it writes its intent into the group's record and has a replica hold the
next term. The record blocks VMs that read the store; the held term blocks
those that can't and ask the targets instead. The change then waits until all
proofs have ended (see `outstanding_proofs`), verifies that the term is still
held, and only then promotes.

VMs ask the targets that they know, and one that is cut off may know none that
has joined lately. So the replica that was listed first holds the term. If a VM
may know none of those that can hold it, the primary is told to step down as
well, which is the one target that all VMs ask.

The replica that holds the term no longer receives from the primary. With two
replicas it is therefore the one that will not be promoted: the other one
receives until the end, so no commit acknowledged in the meantime is lost when
the primary is merely leaving.

With synchronous replicas the target must have all acknowledged commits. It is
the most advanced one, and the change waits until so few replicas are unheard
that none of them can have more (see `Takeover._is_safe`).

A store call without an answer may still take effect, so the record is read
back; its nonce identifies the writer. The order to promote may be repeated for
the same target. Another target is ordered only after a new survey, with a term
above every term reported by any target.

This module does no I/O. Each method returns the actions to execute.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import sys

from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.outstanding_proofs import OutstandingProofs
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proofs import TargetReport

__all__ = [
    "Action",
    "TakeoverCause",
    "OrderPromotion",
    "TakeoverPhase",
    "ReadRecord",
    "StoreRecord",
    "Takeover",
    "SendToTarget",
]

# Seconds. A target answers in milliseconds, a busy one takes longer.
SURVEY_TIMEOUT = 0.5
# After this many seconds the survey no longer waits for a failed primary, and
# the verification waits only for the target that holds the term.
SURVEY_GRACE_PERIOD = 0.1
# With synchronous replicas, a change waits this many seconds for targets that
# may have more acknowledged commits before it begins anew.
UNHEARD_TIMEOUT = 2.0
# Seconds after which an unanswered request is sent again.
RESEND_INTERVAL = 0.25
# A leaving primary still accepts commits. Its replica may need this many
# seconds to receive the last of them.
CATCH_UP_TIMEOUT = 0.5
# Seconds after which a primary that still works is told to step down, if VMs
# that have not released their proofs ask none of the targets that hold the
# term. Its commits until then are received by the candidate.
STEP_DOWN_DELAY = 0.4
# A promotion takes about a second. It has failed after three more.
CONFIRM_TIMEOUT = 4.0
CONFIRM_INTERVAL = 0.1


class TakeoverCause(Enum):
    """Why a primary is replaced.

    `UNSETTLED`: the store may have lost who is the primary, and the targets
    do not agree on it either.
    """

    FAILED = "failed"
    GONE = "gone"
    LEAVING = "leaving"
    ROLE_LOST = "role_lost"
    UNSETTLED = "unsettled"
    UNREACHED = "unreached"
    UNFINISHED = "unfinished"
    ORDERED = "ordered"

    @property
    def is_planned(self) -> bool:
        """Return whether the change is made although the primary works."""
        return self in (
            TakeoverCause.LEAVING,
            TakeoverCause.ORDERED,
            TakeoverCause.UNREACHED,
            TakeoverCause.UNSETTLED,
        )


# Causes for which a primary is replaced that can go on for a while.
WORKING_CAUSES = (TakeoverCause.LEAVING, TakeoverCause.ORDERED)


class TakeoverPhase(Enum):
    """The current step of a change."""

    SURVEY = "survey"
    INTEND = "intend"
    WAIT = "wait"
    VERIFY = "verify"
    NAME = "name"
    PROMOTE = "promote"
    CONFIRM = "confirm"
    RECORD = "record"
    DONE = "done"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True, kw_only=True)
class SendToTarget:
    """Send an order to a target; the answer goes to `on_report`."""

    target: str
    order: AskReport | HoldTerm | StepDown


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreRecord:
    """Store the group's record if the stored version is `record.version`."""

    record: PrimaryRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRecord:
    """Read the group's record from the store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderPromotion:
    """Have the platform promote a target."""

    target: str


Action = SendToTarget | StoreRecord | ReadRecord | OrderPromotion


@dataclass(slots=True, kw_only=True)
class Takeover:
    """One attempt to change a group's primary.

    `record` is the record as last read or stored. `targets` are all targets of
    the group, `leaving` those that will end soon. `created` has the version of
    the list since which each target has been in it. `sync_replicas` is how
    many replicas have received a commit before it is acknowledged. `reports`
    has None for a target whose process is not running.
    """

    vm: str
    nonce: str
    cause: TakeoverCause
    record: PrimaryRecord
    targets: Collection[str]
    leaving: Collection[str] = ()
    created: Mapping[str, int] = field(default_factory=dict)
    sync_replicas: int = 0
    phase: TakeoverPhase = TakeoverPhase.SURVEY
    term: int = 0
    candidate: str = ""
    end_reason: str = ""
    reports: dict[str, TargetReport | None] = field(default_factory=dict)
    outstanding: OutstandingProofs = field(default_factory=OutstandingProofs)
    _phase_at: float = 0.0
    _sent_at: float = 0.0
    _wait_began_at: float = 0.0
    _storing: bool = False
    _hold_asked_at: dict[str, float] = field(default_factory=dict)
    _told_to_step_down: bool = False
    _refused: set[str] = field(default_factory=set)
    _to_ask: set[str] = field(default_factory=set)
    _must_verify: bool = False

    @property
    def is_over(self) -> bool:
        """Return whether the change has succeeded or failed."""
        return self.phase in (TakeoverPhase.DONE, TakeoverPhase.GIVEN_UP)

    @property
    def _is_unsettled(self) -> bool:
        """Return whether the record may name an earlier primary.

        A change that takes up another one does not know more than that one.
        """
        change = self.record.change
        return self.cause is TakeoverCause.UNSETTLED or (
            self.cause is TakeoverCause.UNFINISHED
            and change is not None
            and change.cause == TakeoverCause.UNSETTLED.value
        )

    @property
    def is_waiting(self) -> bool:
        """Return whether VMs may still hold proofs of the primary."""
        return self.phase in (TakeoverPhase.WAIT, TakeoverPhase.VERIFY)

    def begin(self, now: float) -> list[Action]:
        """Start by asking all targets for their reports."""
        return self._survey(now)

    # Events.

    def on_report(
        self, target: str, report: TargetReport | None, now: float
    ) -> list[Action]:
        """Handle a target's report; None if its process is not running."""
        self.reports[target] = report
        match self.phase:
            case TakeoverPhase.SURVEY:
                return self._try_leave_survey(now)
            case TakeoverPhase.WAIT if report is not None:
                return self._on_block_report(target, report, now)
            case TakeoverPhase.VERIFY:
                return self._try_leave_verify(now)
            case TakeoverPhase.CONFIRM if target == self.candidate:
                return self._on_confirm_report(report, now)
        return []

    def on_no_report(self, target: str) -> None:
        """Handle that a target has not reported; `tick` may ask it again."""
        self._to_ask.add(target)

    def update_targets(
        self,
        targets: Collection[str],
        leaving: Collection[str],
        created: Mapping[str, int],
    ) -> None:
        """Handle a new list of the group's targets.

        With synchronous replicas new ones are asked, and a replica that does
        not report is waited for while it is listed.
        """
        self.leaving, self.created = leaving, created
        if self.sync_replicas:
            self._to_ask.update(set(targets) - set(self.targets))
            self.targets = targets

    def on_stored(self, version: int, now: float) -> list[Action]:
        """Handle a successful update of the record."""
        self._storing = False
        record = self._next_record()
        self.record = PrimaryRecord(
            group=record.group,
            version=version,
            term=record.term,
            primary=record.primary,
            change=record.change,
            era=record.era,
        )
        match self.phase:
            case TakeoverPhase.INTEND:
                self._wait_began_at = now
                return self._wait(now)
            case TakeoverPhase.NAME:
                return self._order_promotion(now)
            case TakeoverPhase.RECORD:
                self._enter(TakeoverPhase.DONE, now)
        return []

    def on_store_unanswered(self, now: float) -> list[Action]:
        """Handle an update with unknown outcome; `tick` reads it back."""
        self._sent_at = now
        return []

    def on_record_read(
        self, record: PrimaryRecord, now: float
    ) -> list[Action]:
        """Handle a read of the record."""
        self._storing = False
        if self.phase not in (
            TakeoverPhase.INTEND,
            TakeoverPhase.NAME,
            TakeoverPhase.RECORD,
        ):
            return []
        if record.version == self.record.version:
            return self._store(now)
        if self._is_next_record(record):
            return self.on_stored(record.version, now)
        self._give_up("another process has changed the record", now)
        return []

    def on_promotion_result(
        self, result: PromotionResult, now: float
    ) -> list[Action]:
        """Handle the result of the order to promote."""
        if self.phase is not TakeoverPhase.PROMOTE:
            return []
        match result:
            case PromotionResult.ACCEPTED | PromotionResult.UNKNOWN:
                self._enter(TakeoverPhase.CONFIRM, now)
                return self._ask([self.candidate], now)
            case PromotionResult.REFUSED if self.sync_replicas:
                # The others may lack acknowledged commits. If the candidate
                # reports again, it is ordered again.
                self._must_verify = True
                self._sent_at = now
            case PromotionResult.REFUSED:
                self._refused.add(self.candidate)
                return self._verify(now)
            case PromotionResult.NOT_SENT:
                self._sent_at = now
        return []

    def on_vms_listed(
        self, lists: Mapping[str, int], now: float, *, incomplete: bool = False
    ) -> list[Action]:
        """Handle a list of the VMs that may hold a proof, read after INTEND.

        `lists` has the version of each VM's list of targets.
        """
        if self.outstanding.lists is None:
            self.outstanding.incomplete = incomplete
        self.outstanding.update_lists(lists, now)
        if self.phase is not TakeoverPhase.WAIT:
            return []
        if self._have_proofs_ended(now):
            return self._verify(now)
        return self._block(now)

    def on_proof_released(self, vm: str, now: float) -> list[Action]:
        """Handle that a VM has released its proof of the primary."""
        self.outstanding.release(vm, now)
        return self.tick(now)

    def on_proofs_released(self, now: float) -> list[Action]:
        """Handle that every VM has released its proof of the primary."""
        self.outstanding.lists = {}
        self.outstanding.incomplete = False
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Advance if a wait has ended, and resend unanswered requests."""
        elapsed = now - self._phase_at
        match self.phase:
            case TakeoverPhase.SURVEY if elapsed >= SURVEY_TIMEOUT:
                return self._leave_survey(now) or self._ask_unheard(now)
            case TakeoverPhase.SURVEY if elapsed >= SURVEY_GRACE_PERIOD:
                return self._try_leave_survey(now) or self._ask_unheard(now)
            case TakeoverPhase.WAIT if self._have_proofs_ended(now):
                return self._verify(now)
            case TakeoverPhase.VERIFY if elapsed >= SURVEY_TIMEOUT:
                return self._leave_verify(now) or self._ask_unheard(now)
            case TakeoverPhase.VERIFY:
                return self._try_leave_verify(now) or self._ask_unheard(now)
            case TakeoverPhase.CONFIRM if elapsed >= CONFIRM_TIMEOUT:
                return self._survey_again(now)
            case TakeoverPhase.CONFIRM if (
                now - self._sent_at >= CONFIRM_INTERVAL
            ):
                return self._ask([self.candidate], now)
        if now - self._sent_at >= RESEND_INTERVAL:
            return self._resend(now)
        return []

    def _resend(self, now: float) -> list[Action]:
        self._sent_at = now
        match self.phase:
            case (
                TakeoverPhase.INTEND
                | TakeoverPhase.NAME
                | TakeoverPhase.RECORD
            ):
                return [ReadRecord()]
            case TakeoverPhase.WAIT:
                return self._block(now) + self._ask_unreported(now)
            case TakeoverPhase.PROMOTE if self._must_verify:
                self._must_verify = False
                return self._verify(now)
            case TakeoverPhase.PROMOTE:
                return [OrderPromotion(target=self.candidate)]
        return []

    # Survey.

    def _survey(self, now: float) -> list[Action]:
        self.reports = {}
        self._enter(TakeoverPhase.SURVEY, now)
        return self._ask(self.targets, now)

    def _survey_again(self, now: float) -> list[Action]:
        self._refused.clear()
        return self._survey(now)

    def _try_leave_survey(self, now: float) -> list[Action]:
        if self.reports.keys() >= set(self.targets):
            return self._leave_survey(now)
        missing = set(self.targets) - self.reports.keys()
        if now - self._phase_at >= SURVEY_GRACE_PERIOD:
            if missing <= {self.record.primary} and not self.cause.is_planned:
                return self._leave_survey(now)
        return []

    def _leave_survey(self, now: float) -> list[Action]:
        reports = self._received_reports()
        promoted = self._already_promoted(reports)
        if promoted is not None:
            self.candidate = promoted
            return self._on_confirm_report(reports[promoted], now)
        if self._primary_works(reports):
            self._give_up("the primary works", now)
            return []
        self.candidate = self._best_candidate(reports)
        if not self.candidate:
            self._give_up("no other target can be reached", now)
            return []
        if not self._is_safe(reports, self.candidate):
            return self._survey_longer(now)
        terms = [report.newest_term for report in reports.values()]
        self.term = max([self.record.term, *terms]) + 1
        self._enter(TakeoverPhase.INTEND, now)
        return self._store(now)

    def _survey_longer(self, now: float) -> list[Action]:
        """Wait for the replicas that may have more acknowledged commits.

        A primary that still works goes on meanwhile, so a planned change ends
        and is tried again.
        """
        elapsed = now - self._phase_at
        limit = SURVEY_TIMEOUT if self.cause.is_planned else UNHEARD_TIMEOUT
        if elapsed < limit:
            return []
        unheard = self._unheard_replicas(self._received_reports())
        self._give_up(
            f"{self.candidate} may lack acknowledged commits, not heard: "
            + ", ".join(sorted(unheard)),
            now,
        )
        return []

    def _ask_unheard(self, now: float) -> list[Action]:
        """Ask targets again that have not reported.

        Without synchronous replicas a change goes on without their reports.
        """
        is_waiting = self.phase in (TakeoverPhase.SURVEY, TakeoverPhase.VERIFY)
        is_due = now - self._sent_at >= RESEND_INTERVAL
        if not (self.sync_replicas and is_waiting and is_due and self._to_ask):
            return []
        unheard = set(self.targets) - self._received_reports().keys()
        asked, self._to_ask = self._to_ask & unheard, set()
        return self._ask(sorted(asked), now)

    def _is_safe(
        self, reports: dict[str, TargetReport], candidate: str
    ) -> bool:
        """Return whether a target certainly has all acknowledged commits.

        A commit is acknowledged once `sync_replicas` replicas have it, and
        replicas receive in order. So if fewer replicas than that are unheard,
        the most advanced of the others has all commits of the primary's
        term. It also has those of earlier terms, unless it has received
        nothing of this one and is behind the primary.
        """
        if not self.sync_replicas:
            return True
        primary = reports.get(self.record.primary)
        position = _log_position(reports[candidate])
        if primary is not None and self._has_all_commits(primary):
            if position >= _log_position(primary):
                return True
            if reports[candidate].received_term < primary.term:
                return False
        return len(self._unheard_replicas(reports)) < self.sync_replicas

    def _has_all_commits(self, primary: TargetReport) -> bool:
        """Return whether the primary's log has all commits of its term."""
        stepped_down = self.outstanding.stepped_down_since is not None
        return primary.is_primary or stepped_down

    def _unheard_replicas(self, reports: dict[str, TargetReport]) -> set[str]:
        return set(self.targets) - reports.keys() - {self.record.primary}

    def _primary_works(self, reports: dict[str, TargetReport]) -> bool:
        if self.cause.is_planned or self.record.change is not None:
            return False
        if self.cause is TakeoverCause.GONE:
            return False
        report = reports.get(self.record.primary)
        return report is not None and report.is_primary

    def _already_promoted(
        self, reports: dict[str, TargetReport]
    ) -> str | None:
        """Return the candidate if an earlier attempt has promoted it.

        Another target that leads a later term than the record was ordered
        under an earlier version of the record, and the candidate may lead a
        term after that one. In an unsettled group a target that reports itself
        as primary may be any earlier primary, so none is returned.
        """
        change = self.record.change
        if self.cause is TakeoverCause.UNSETTLED or change is None:
            return None
        report = reports.get(change.candidate)
        if report is None or not report.is_primary:
            return None
        return change.candidate if report.term > self.record.term else None

    # Intent, hold, wait.

    def _store(self, now: float) -> list[Action]:
        if self._storing:
            return []
        self._storing = True
        self._sent_at = now
        return [StoreRecord(record=self._next_record())]

    def _next_record(self) -> PrimaryRecord:
        """Return the record that the current phase stores."""
        current = self.record
        if self.phase in (TakeoverPhase.INTEND, TakeoverPhase.NAME):
            change = PendingChange(
                term=self.term,
                vm=self.vm,
                nonce=self.nonce,
                cause=(
                    TakeoverCause.UNSETTLED
                    if self._is_unsettled
                    else self.cause
                ).value,
                candidate=self.candidate,
            )
            return PrimaryRecord(
                group=current.group,
                version=current.version,
                term=current.term,
                primary=current.primary,
                change=change,
                era=current.era,
            )
        return PrimaryRecord(
            group=current.group,
            version=current.version,
            term=self.term,
            primary=self.candidate,
            era=current.era,
        )

    def _is_next_record(self, record: PrimaryRecord) -> bool:
        expected = self._next_record()
        return (record.term, record.primary, record.change) == (
            expected.term,
            expected.primary,
            expected.change,
        )

    def _wait(self, now: float) -> list[Action]:
        self._enter(TakeoverPhase.WAIT, now)
        if self._have_proofs_ended(now):
            return self._verify(now)
        return self._block(now)

    def _have_proofs_ended(self, now: float) -> bool:
        ended_at = self.outstanding.ended_at(self.created)
        return ended_at is not None and now >= ended_at

    def _block(self, now: float) -> list[Action]:
        """Return the orders that keep VMs from extending their proofs.

        One replica holds the term from the beginning. The others do if that
        blocks further VMs, but the candidate of a primary that works goes on
        receiving from it; this primary steps down instead, if the VMs have
        not released their proofs in time.
        """
        self._sent_at = now
        holders = self._further_holders(now)
        for name in holders:
            self._hold_asked_at[name] = now
        orders: list[Action] = [
            SendToTarget(target=name, order=HoldTerm(term=self.term))
            for name in holders
        ]
        if self._must_step_down(now):
            self._told_to_step_down = True
            order = StepDown(term=self.term)
            orders.append(
                SendToTarget(target=self.record.primary, order=order)
            )
        return orders

    def _further_holders(self, now: float) -> list[str]:
        """Return the replicas to be ordered now to hold the term."""
        proofs = self.outstanding
        asked = {
            name
            for name, asked_at in self._hold_asked_at.items()
            if now < asked_at + RESEND_INTERVAL
        }
        holding = asked | proofs.held_since.keys()
        may_hold = [
            name
            for name in self._received_reports()
            if name != self.record.primary
            and name not in self._refused
            and name not in holding
            and (name != self.candidate or not self._candidate_receives())
        ]
        if not holding and may_hold:
            return [min(may_hold, key=self._holder_preference)]
        unblocked = proofs.unblocked(self.created, holding)
        return [
            name
            for name in may_hold
            if proofs.would_block(unblocked, self.created.get(name, 0))
        ]

    def _holder_preference(
        self, name: str
    ) -> tuple[bool, bool, bool, bool, int]:
        """Return the sort key of replicas that may hold the term first.

        Preferred is one that has not failed to answer, is not the candidate,
        stays, and was listed first, so that most VMs know it.
        """
        created = self.created.get(name, 0)
        return (
            name in self._hold_asked_at,
            name == self.candidate,
            name in self.leaving,
            not created,
            created,
        )

    def _candidate_receives(self) -> bool:
        """Return whether the primary goes on and its candidate receives."""
        report = self._received_reports().get(self.record.primary)
        return report is not None and report.is_primary

    def _must_step_down(self, now: float) -> bool:
        if self._is_unsettled:
            # VMs may prove another primary, which the store has lost.
            return False
        proofs = self.outstanding
        return (
            proofs.stepped_down_since is None
            and self.record.primary in self._received_reports()
            and now >= self._wait_began_at + STEP_DOWN_DELAY
            and not proofs.are_blocked(self.created)
        )

    def _ask_unreported(self, now: float) -> list[Action]:
        """Ask the targets again that could block VMs, if any are not."""
        if self.outstanding.are_blocked(self.created):
            return []
        unreported = set(self.targets) - self._received_reports().keys()
        return self._ask(sorted(unreported), now)

    def _on_block_report(
        self, target: str, report: TargetReport, now: float
    ) -> list[Action]:
        proofs = self.outstanding
        if target == self.record.primary:
            if not report.is_primary and self._told_to_step_down:
                proofs.stepped_down_since = now
        elif max(report.held_term, report.term) >= self.term:
            proofs.held_since.setdefault(target, now)
        elif report.newest_term >= self.term:
            self.term = report.newest_term + 1
            proofs.held_since.clear()
        return self.tick(now)

    # Verify, promote, confirm.

    def _verify(self, now: float) -> list[Action]:
        self.reports = {}
        self._enter(TakeoverPhase.VERIFY, now)
        return self._ask(self.targets, now)

    def _try_leave_verify(self, now: float) -> list[Action]:
        reports = self._received_reports()
        missing = set(self.targets) - self.reports.keys()
        if missing and now - self._phase_at < SURVEY_GRACE_PERIOD:
            return []
        if self._blocking_targets() & missing or not reports:
            return []
        primary = reports.get(self.record.primary)
        candidate = self._best_candidate(reports)
        if primary is not None and candidate and self.cause.is_planned:
            is_behind = _log_position(reports[candidate]) < _log_position(
                primary
            )
            if is_behind and now - self._phase_at < CATCH_UP_TIMEOUT:
                if now - self._sent_at >= CONFIRM_INTERVAL:
                    return self._ask(self.targets, now)
                return []
        return self._leave_verify(now)

    def _leave_verify(self, now: float) -> list[Action]:
        reports = self._received_reports()
        self._forget_lost_blocks(reports)
        if not self._have_proofs_ended(now):
            # A target has restarted and lost the term, or a former primary
            # its new role, and VMs may have extended their proofs since.
            return self._wait(now)
        candidate = self._best_candidate(reports)
        if not candidate:
            return self._survey_again(now)
        if not self._is_safe(reports, candidate):
            if now - self._phase_at < UNHEARD_TIMEOUT:
                return []
            return self._survey_again(now)
        self.candidate = candidate
        return self._promote(now)

    def _blocking_targets(self) -> set[str]:
        """Return the targets that keep VMs from extending their proofs."""
        proofs = self.outstanding
        if proofs.all_released:
            return set()
        blocking = set(proofs.held_since)
        if proofs.stepped_down_since is not None:
            blocking.add(self.record.primary)
        return blocking

    def _forget_lost_blocks(self, reports: dict[str, TargetReport]) -> None:
        proofs = self.outstanding
        proofs.held_since = {
            name: since
            for name, since in proofs.held_since.items()
            if name in reports and reports[name].newest_term >= self.term
        }
        primary = reports.get(self.record.primary)
        if primary is None or primary.is_primary:
            proofs.stepped_down_since = None

    def _promote(self, now: float) -> list[Action]:
        """Order the promotion of the candidate named in the record.

        Any VM may record the end of a change once that candidate is primary.
        If another target were ordered under the same record, the first one
        could still become primary, be recorded, and be used in parallel with
        the second.
        """
        change = self.record.change
        if change is not None and change.candidate == self.candidate:
            return self._order_promotion(now)
        self._enter(TakeoverPhase.NAME, now)
        return self._store(now)

    def _order_promotion(self, now: float) -> list[Action]:
        self._enter(TakeoverPhase.PROMOTE, now)
        return [OrderPromotion(target=self.candidate)]

    def _on_confirm_report(
        self, report: TargetReport | None, now: float
    ) -> list[Action]:
        if report is None:
            self._refused.add(self.candidate)
            return self._survey(now)
        if not report.is_primary or report.term <= self.record.term:
            return []
        self.term = report.term
        self._enter(TakeoverPhase.RECORD, now)
        return self._store(now)

    # Helpers.

    def _received_reports(self) -> dict[str, TargetReport]:
        return {
            name: report
            for name, report in self.reports.items()
            if report is not None
        }

    def _best_candidate(self, reports: dict[str, TargetReport]) -> str:
        """Return the target to promote, or an empty string.

        A leaving target, which would soon have to be replaced again, is only
        chosen if there is no other, and not to replace a primary that still
        works. But with synchronous replicas only the most advanced target
        certainly has all acknowledged commits, so the final choice is this
        one, even if it is leaving. All that have what a primary reports are
        equal then: an earlier primary may have more, which nobody was told.
        """
        eligible = [
            name
            for name in reports
            if name != self.record.primary
            and name in self.targets
            and (self.sync_replicas or name not in self._refused)
        ]
        staying = [name for name in eligible if name not in self.leaving]
        is_final = self.sync_replicas and not self._is_choice_provisional()
        if not is_final and (staying or self.cause in WORKING_CAUSES):
            eligible = staying
        enough = (sys.maxsize, 0)
        primary = reports.get(self.record.primary)
        if self.sync_replicas and primary is not None:
            if self._has_all_commits(primary):
                enough = _log_position(primary)

        def preference(name: str) -> tuple[tuple[int, int], bool, bool, int]:
            # A target that holds the term has stopped receiving, so it loses
            # against one with an equal log position. The one that was listed
            # first is left to hold the term.
            return (
                min(_log_position(reports[name]), enough),
                name not in self.leaving,
                name not in self.outstanding.held_since,
                self.created.get(name, 0),
            )

        return max(eligible, key=preference, default="")

    def _is_choice_provisional(self) -> bool:
        """Return whether the primary goes on, and positions with it.

        The candidate then receives until it is compared with the others
        again, right before the promotion.
        """
        return self.phase is TakeoverPhase.SURVEY and self.cause.is_planned

    def _ask(self, targets: Collection[str], now: float) -> list[Action]:
        self._sent_at = now
        return [SendToTarget(target=t, order=AskReport()) for t in targets]

    def _enter(self, phase: TakeoverPhase, now: float) -> None:
        self.phase = phase
        self._phase_at = now
        self._sent_at = now

    def _give_up(self, reason: str, now: float) -> None:
        self.end_reason = reason
        self._enter(TakeoverPhase.GIVEN_UP, now)


def _log_position(report: TargetReport) -> tuple[int, int]:
    return report.received_term, report.received_index
