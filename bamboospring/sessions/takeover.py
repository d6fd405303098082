"""One change of a group's primary, step by step.

    survey -> intend -> hold -> wait -> verify -> seal -> check -> (name)
    -> promote -> confirm -> record

A primary that is replaced does not know and goes on answering. What keeps
anybody from using it is that proofs of a primary lapse (see `proofs`). A
change therefore first makes new proofs impossible: it writes its intent into
the group's record, and has a replica hold the next term. The record stops
those who read the store; the held term stops those who can't and ask all
targets instead. Then it waits until proofs given before have lapsed, or until
every VM has let go of its own, and only then promotes.

The replica that holds the term takes nothing from its primary any more, so
where there are two it is the one that will not be promoted: the other one
receives until the end, and nothing that was acknowledged meanwhile is lost
with a primary that only leaves.

A store call without an answer may still take effect, so the record is read
back; the nonce in it tells whose it is. The order to promote may be repeated
for the same target. Another target is ordered only after a new survey, with a
term above all that any target has shown.

This module does no I/O. Each method returns the actions to carry out.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.proofs import PROMOTION_WAIT
from bamboospring.sessions.proofs import TargetReport

__all__ = [
    "Action",
    "TakeoverCause",
    "OrderPromotion",
    "TakeoverPhase",
    "ReadRecord",
    "StoreRecord",
    "Takeover",
    "TellTarget",
]

# Seconds. A target answers in milliseconds; one that is busy takes longer.
SURVEY_PATIENCE = 0.5
# Once a replica has answered, the others get this much longer.
SURVEY_GRACE = 0.1
# What has no answer is sent again after this.
RESEND = 0.25
# A leaving primary still takes commits; its replica may need this much
# longer to have received the last of them.
CATCH_UP = 0.5
# So often a second target to hold the term is looked for.
MOST_LONE_TRIES = 3
# A promotion takes about a second; after three more it has failed.
CONFIRM_PATIENCE = 4.0
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
        """Tell whether the primary still works."""
        return self in (
            TakeoverCause.LEAVING,
            TakeoverCause.ORDERED,
            TakeoverCause.UNREACHED,
            TakeoverCause.UNSETTLED,
        )


class TakeoverPhase(Enum):
    """How far a change has come."""

    SURVEY = "survey"
    INTEND = "intend"
    HOLD = "hold"
    WAIT = "wait"
    VERIFY = "verify"
    SEAL = "seal"
    CHECK = "check"
    NAME = "name"
    PROMOTE = "promote"
    CONFIRM = "confirm"
    RECORD = "record"
    DONE = "done"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True, kw_only=True)
class TellTarget:
    """Send an order to a target and report its answer."""

    target: str
    order: AskReport | HoldTerm


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreRecord:
    """Store the group's record if it is still at the version named."""

    record: PrimaryRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRecord:
    """Read the group's record back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderPromotion:
    """Have the platform promote a target."""

    target: str


Action = TellTarget | StoreRecord | ReadRecord | OrderPromotion


@dataclass(slots=True, kw_only=True)
class Takeover:
    """One attempt to change a group's primary.

    `record` is the record as last read; `targets` are those that may be
    asked, `unfit` those that must not be promoted.
    """

    vm: str
    nonce: str
    cause: TakeoverCause
    record: PrimaryRecord
    targets: Collection[str]
    unfit: Collection[str] = ()
    phase: TakeoverPhase = TakeoverPhase.SURVEY
    term: int = 0
    candidate: str = ""
    holder: str = ""
    second: str = ""
    end: str = ""
    reports: dict[str, TargetReport | None] = field(default_factory=dict)
    released: bool = False
    _phase_at: float = 0.0
    _sent_at: float = 0.0
    _closed_at: float = 0.0
    _storing: bool = False
    _lone_tries: int = 0
    _refused: set[str] = field(default_factory=set)

    @property
    def over(self) -> bool:
        """Tell whether nothing is left to do."""
        return self.phase in (TakeoverPhase.DONE, TakeoverPhase.GIVEN_UP)

    def begin(self, now: float) -> list[Action]:
        """Start: ask all targets how things stand."""
        return self._survey(now)

    # Events.

    def replied(
        self, target: str, report: TargetReport | None, now: float
    ) -> list[Action]:
        """Take a target's answer; None if its process is not running."""
        self.reports[target] = report
        match self.phase:
            case TakeoverPhase.SURVEY:
                return self._try_leave_survey(now)
            case TakeoverPhase.HOLD if target == self.holder:
                return self._held(report, now)
            case TakeoverPhase.VERIFY:
                return self._try_leave_verify(now)
            case TakeoverPhase.SEAL if target == self.second:
                return self._sealed(report, now)
            case TakeoverPhase.CHECK if target == self.holder:
                return self._checked(report, now)
            case TakeoverPhase.CONFIRM if target == self.candidate:
                return self._confirmed(report, now)
        return []

    def stored(self, version: int, now: float) -> list[Action]:
        """Take that the record was stored."""
        self._storing = False
        record = self._wanted()
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
                self._closed_at = now
                return self._hold(now)
            case TakeoverPhase.NAME:
                return self._order(now)
            case TakeoverPhase.RECORD:
                self._enter(TakeoverPhase.DONE, now)
        return []

    def store_unsure(self, now: float) -> list[Action]:
        """Take that nothing is known of an update: `tick` reads it back."""
        self._sent_at = now
        return []

    def read(self, record: PrimaryRecord, now: float) -> list[Action]:
        """Take the record as the store has it."""
        self._storing = False
        if self.phase not in (
            TakeoverPhase.INTEND,
            TakeoverPhase.NAME,
            TakeoverPhase.RECORD,
        ):
            return []
        if record.version == self.record.version:
            return self._store(now)
        if self._is_wanted(record):
            return self.stored(record.version, now)
        self._give_up("another process has changed the record", now)
        return []

    def ordered(self, result: PromotionResult, now: float) -> list[Action]:
        """Take what became of the order to promote."""
        if self.phase is not TakeoverPhase.PROMOTE:
            return []
        match result:
            case PromotionResult.ACCEPTED | PromotionResult.UNKNOWN:
                self._enter(TakeoverPhase.CONFIRM, now)
                return self._ask([self.candidate], now)
            case PromotionResult.REFUSED:
                self._refused.add(self.candidate)
                return self._verify(now)
            case PromotionResult.NOT_SENT:
                self._sent_at = now
        return []

    def all_released(self, now: float) -> list[Action]:
        """Take that every VM has let go of its proof of the primary."""
        self.released = True
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Go on with what is due, and send again what has no answer."""
        waited = now - self._phase_at
        match self.phase:
            case TakeoverPhase.SURVEY if waited >= SURVEY_PATIENCE:
                return self._leave_survey(now)
            case TakeoverPhase.SURVEY if waited >= SURVEY_GRACE:
                return self._try_leave_survey(now)
            case TakeoverPhase.WAIT if self._proofs_are_over(now):
                return self._verify(now)
            case TakeoverPhase.VERIFY if waited >= SURVEY_PATIENCE:
                return self._leave_verify(now)
            case TakeoverPhase.VERIFY:
                return self._try_leave_verify(now)
            case TakeoverPhase.CONFIRM if waited >= CONFIRM_PATIENCE:
                return self._survey_again(now)
            case TakeoverPhase.CONFIRM if (
                now - self._sent_at >= CONFIRM_INTERVAL
            ):
                return self._ask([self.candidate], now)
        if now - self._sent_at >= RESEND:
            return self._send_again(now)
        return []

    def _send_again(self, now: float) -> list[Action]:
        self._sent_at = now
        match self.phase:
            case (
                TakeoverPhase.INTEND
                | TakeoverPhase.NAME
                | TakeoverPhase.RECORD
            ):
                return [ReadRecord()]
            case TakeoverPhase.HOLD:
                return self._hold(now)
            case TakeoverPhase.SEAL | TakeoverPhase.CHECK:
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
        if now - self._phase_at >= SURVEY_GRACE:
            if missing <= {self.record.primary} and not self.cause.is_planned:
                return self._leave_survey(now)
        return []

    def _leave_survey(self, now: float) -> list[Action]:
        heard = self._heard()
        done = self._already_promoted(heard)
        if done is not None and self.record.change is not None:
            self.candidate = done
            return self._confirmed(heard[done], now)
        if self._primary_works(heard):
            self._give_up("the primary works", now)
            return []
        self.candidate = self._best(heard)
        if not self.candidate:
            self._give_up("no other target can be reached", now)
            return []
        known = [report.newest_term for report in heard.values()]
        self.term = max([self.record.term, *known]) + 1
        self._enter(TakeoverPhase.INTEND, now)
        return self._store(now)

    def _primary_works(self, heard: dict[str, TargetReport]) -> bool:
        if self.cause.is_planned or self.record.change is not None:
            return False
        if self.cause is TakeoverCause.GONE:
            return False
        report = heard.get(self.record.primary)
        return report is not None and report.is_primary

    def _already_promoted(self, heard: dict[str, TargetReport]) -> str | None:
        """Return a target that leads by an earlier attempt at this change.

        Of an unsettled group it may be any earlier primary that leads.
        """
        if self.cause is TakeoverCause.UNSETTLED:
            return None
        for name, report in heard.items():
            if report.is_primary and report.term > self.record.term:
                return name
        return None

    # Intent, hold, wait.

    def _store(self, now: float) -> list[Action]:
        if self._storing:
            return []
        self._storing = True
        self._sent_at = now
        return [StoreRecord(record=self._wanted())]

    def _wanted(self) -> PrimaryRecord:
        """Return the record that this phase is to store."""
        old = self.record
        if self.phase in (TakeoverPhase.INTEND, TakeoverPhase.NAME):
            change = PendingChange(
                term=self.term,
                vm=self.vm,
                nonce=self.nonce,
                cause=self.cause.value,
                candidate=self.candidate,
            )
            return PrimaryRecord(
                group=old.group,
                version=old.version,
                term=old.term,
                primary=old.primary,
                change=change,
                era=old.era,
            )
        return PrimaryRecord(
            group=old.group,
            version=old.version,
            term=self.term,
            primary=self.candidate,
            era=old.era,
        )

    def _is_wanted(self, record: PrimaryRecord) -> bool:
        wanted = self._wanted()
        return (record.term, record.primary, record.change) == (
            wanted.term,
            wanted.primary,
            wanted.change,
        )

    def _hold(self, now: float) -> list[Action]:
        """Have a replica hold the term, not the candidate if it can be."""
        heard = self._heard()
        replicas = [name for name in heard if self._may_hold(name)]
        others = [name for name in replicas if name != self.candidate]
        if self.holder in others and self.phase is TakeoverPhase.HOLD:
            # It did not answer: try the next one, the candidate last.
            others.remove(self.holder)
        self.holder = (others or [self.candidate])[0]
        self._enter(TakeoverPhase.HOLD, now)
        order = HoldTerm(term=self.term)
        return [TellTarget(target=self.holder, order=order)]

    def _may_hold(self, name: str) -> bool:
        return name != self.record.primary and name not in self._refused

    def _held(self, report: TargetReport | None, now: float) -> list[Action]:
        if report is None:
            return []
        if max(report.held_term, report.term) < self.term:
            if report.newest_term >= self.term:
                self.term = report.newest_term + 1
            return []
        self._closed_at = max(self._closed_at, now)
        self._enter(TakeoverPhase.WAIT, now)
        return self.tick(now)

    def _proofs_are_over(self, now: float) -> bool:
        return self.released or now >= self._closed_at + PROMOTION_WAIT

    # Verify, promote, confirm.

    def _verify(self, now: float) -> list[Action]:
        self.reports = {}
        self._enter(TakeoverPhase.VERIFY, now)
        return self._ask(self.targets, now)

    def _try_leave_verify(self, now: float) -> list[Action]:
        heard = self._heard()
        missing = set(self.targets) - self.reports.keys()
        if missing and now - self._phase_at < SURVEY_GRACE:
            return []
        if self.holder in missing or not heard:
            return []
        old = heard.get(self.record.primary)
        best = self._best(heard)
        if old is not None and best and self.cause.is_planned:
            behind = _log_end(heard[best]) < _log_end(old)
            if behind and now - self._phase_at < CATCH_UP:
                if now - self._sent_at >= CONFIRM_INTERVAL:
                    return self._ask(self.targets, now)
                return []
        return self._leave_verify(now)

    def _leave_verify(self, now: float) -> list[Action]:
        heard = self._heard()
        holds = heard.get(self.holder)
        if not self.released and (
            holds is None or holds.newest_term < self.term
        ):
            # It may have started anew and forgotten the term, and proofs
            # been given since; the wait begins again. Where every VM has let
            # go of the primary there is nobody whom the term has to stop.
            return self._hold(now)
        best = self._best(heard)
        if not best:
            return self._survey_again(now)
        self.candidate = best
        if self.released:
            return self._promote(now)
        # The one that holds the term may start anew before the candidate
        # leads, and forget it. With another one holding it too, both would
        # have to in the same second.
        self.second = best
        if best == self.holder:
            self.second = self._other_replica(heard)
        if not self.second:
            return self._without_second(now)
        self._enter(TakeoverPhase.SEAL, now)
        order = HoldTerm(term=self.term)
        return [TellTarget(target=self.second, order=order)]

    def _other_replica(self, heard: dict[str, TargetReport]) -> str:
        away = (self.holder, self.record.primary)
        return next((name for name in heard if name not in away), "")

    def _without_second(self, now: float) -> list[Action]:
        """Look for a second target some times before going on without."""
        self._lone_tries += 1
        if self._lone_tries < MOST_LONE_TRIES:
            return self._verify(now)
        return self._promote(now)

    def _sealed(self, report: TargetReport | None, now: float) -> list[Action]:
        if report is None:
            if self.second == self.candidate:
                self._refused.add(self.candidate)
            return self._verify(now)
        if report.newest_term < self.term:
            return []
        # Asked only now: if it still holds the term it has done so all the
        # while, and from now on the candidate does.
        self._enter(TakeoverPhase.CHECK, now)
        return self._ask([self.holder], now)

    def _checked(
        self, report: TargetReport | None, now: float
    ) -> list[Action]:
        if report is None or report.newest_term < self.term:
            return self._hold(now)
        return self._promote(now)

    def _promote(self, now: float) -> list[Action]:
        """Order the promotion, of a target that the record names.

        Any VM may record the end of a change once the target named leads. If
        another one were ordered under the same record, the first could still
        be found leading, be recorded, and be used beside the second.
        """
        change = self.record.change
        if change is not None and change.candidate == self.candidate:
            return self._order(now)
        self._enter(TakeoverPhase.NAME, now)
        return self._store(now)

    def _order(self, now: float) -> list[Action]:
        self._enter(TakeoverPhase.PROMOTE, now)
        return [OrderPromotion(target=self.candidate)]

    def _confirmed(
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

    # Small things.

    def _heard(self) -> dict[str, TargetReport]:
        return {
            name: report
            for name, report in self.reports.items()
            if report is not None
        }

    def _best(self, heard: dict[str, TargetReport]) -> str:
        """Return the most advanced target that may be promoted, or empty."""
        fit = [
            name
            for name in heard
            if name != self.record.primary
            and name not in self.unfit
            and name not in self._refused
        ]
        # The one that holds the term has stopped receiving: of equals the
        # other one is taken.
        return max(
            fit,
            key=lambda name: (_log_end(heard[name]), name != self.holder),
            default="",
        )

    def _ask(self, targets: Collection[str], now: float) -> list[Action]:
        self._sent_at = now
        return [TellTarget(target=t, order=AskReport()) for t in targets]

    def _enter(self, phase: TakeoverPhase, now: float) -> None:
        self.phase = phase
        self._phase_at = now
        self._sent_at = now

    def _give_up(self, why: str, now: float) -> None:
        self.end = why
        self._enter(TakeoverPhase.GIVEN_UP, now)


def _log_end(report: TargetReport) -> tuple[int, int]:
    return report.received_term, report.received_index
