"""One change of a group's primary, step by step.

    probe -> [pause, catch up] -> win -> fence -> promote -> record -> done

A change first wins a term by a conditional update of the group's object,
which from then on names no primary. It then stops a majority of the targets
at that term. Whatever was acknowledged is held by a majority, so by at least
one of the stopped ones, and none of them takes anything from the old primary
any more. The most advanced of them therefore holds all acknowledged writes;
it is promoted and recorded.

Every order carries the term, and targets refuse lower ones, so a steward
that was paused at any step harms nothing when it goes on. Orders may be sent
again: each is idempotent at its term. Of an unanswered update nothing is
believed; the object is read back, and the nonce in it tells whose it is. At
most one target is ever told to be primary at a term: when that one does not
answer, the change ends, and the next one wins a term of its own.

This module does no I/O. Each method returns the actions to carry out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.blackboard import Target
from bamboospring.commit import majority_of
from bamboospring.records import decode_group
from bamboospring.target_api import Probe

__all__ = [
    "Action",
    "Cause",
    "Change",
    "GroupObject",
    "Order",
    "OrderKind",
    "Phase",
    "Plan",
    "ReadGroup",
    "UpdateGroup",
]

STARTS_KEPT = 16
# Seconds. An order is sent again when its answer has not come.
RESEND = 0.25
PROBE_PATIENCE = 1.0
PAUSE_PATIENCE = 1.0
PROMOTE_PATIENCE = 1.5
# Once a majority is stopped the others get this much longer to be heard.
FENCE_GRACE = 0.05
# A primary that others take for failed gets this long to answer the steward.
PROBE_GRACE = 0.05
# A planned change starts only when its target lacks at most this many
# entries, so that the pause of writes is short.
NEARLY_CAUGHT_UP = 2000


class Cause(str, Enum):
    """Why a primary is changed."""

    NO_PRIMARY = "no_primary"
    PRIMARY_FAILED = "primary_failed"
    ROLE_LOST = "role_lost"
    ORDERED = "ordered"
    LEAVING = "leaving"
    WRITE_WEIGHT = "write_weight"

    @property
    def planned(self) -> bool:
        """Tell whether the old primary works and writes can be paused."""
        return self in (Cause.ORDERED, Cause.LEAVING, Cause.WRITE_WEIGHT)


class Phase(str, Enum):
    """Where a change stands."""

    PROBE = "probe"
    PAUSE = "pause"
    CATCH_UP = "catch_up"
    WIN = "win"
    FENCE = "fence"
    PROMOTE = "promote"
    RECORD = "record"
    DONE = "done"
    ENDED = "ended"


class OrderKind(str, Enum):
    """What a target is asked for."""

    PROBE = "probe"
    PAUSE = "pause"
    RESUME = "resume"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One request to a target.

    `primary` is an address, for FOLLOW; `known` what the target said last,
    for PROBE: one that still says so need not say it again.
    """

    kind: OrderKind
    target: Target
    term: int = 0
    primary: str = ""
    known: Probe | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadGroup:
    """Read the group's object."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateGroup:
    """Store the value if the group's object is at `if_version`."""

    if_version: int
    value: dict[str, Any]


Action = Order | ReadGroup | UpdateGroup


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupObject:
    """The group's object as the platform showed it."""

    name: str
    version: int
    value: dict[str, Any]

    def record(self) -> GroupRecord | None:
        """Return it as a record, None when it is malformed."""
        return decode_group(self.name, self.version, self.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Why a primary is changed, and which targets to prefer, best first.

    `term` and `primary` are those of the record that was judged; the change
    ends when the platform's differs. With `insist` it goes on although the
    steward itself hears a primary that others take for failed.
    """

    cause: Cause
    term: int
    primary: str
    preferred: tuple[str, ...] = ()
    insist: bool = False

    @property
    def failed(self) -> str:
        """Return the primary for which nobody waits, or empty."""
        return "" if self.cause.planned else self.primary


@dataclass(slots=True, kw_only=True)
class _Sent:
    order: Order
    at: float


def log_end(probe: Probe) -> tuple[int, int]:
    """Return what orders two logs: the later end holds all of the other."""
    return probe.last_term, probe.received


def choose_primary(
    fenced: dict[str, Probe],
    majority: int,
    preferred: tuple[str, ...],
    *,
    planned: bool,
    failed: str = "",
) -> str:
    """Return the target to promote out of those stopped at the term.

    Safe is each that is at least as advanced as enough others to make a
    majority with it, because an acknowledged write is held by one of any
    majority. A planned change takes the preferred one if it is safe. Any
    other takes the most advanced, since that one may also hold writes whose
    callers wait. One that others took for failed comes last, although it
    answered here. Empty if no majority is stopped.
    """
    if len(fenced) < majority:
        return ""
    ends = {name: log_end(probe) for name, probe in fenced.items()}
    safe = [
        name
        for name, end in ends.items()
        if sum(other <= end for other in ends.values()) >= majority
    ]
    ranks = {name: -place for place, name in enumerate(preferred)}
    worst = -len(preferred)
    if planned:
        safe = [name for name in preferred if name in safe][:1] or safe
    safe = [name for name in safe if name != failed] or safe
    return max(safe, key=lambda n: (ends[n], ranks.get(n, worst), n))


class Change:
    """One attempt to change a group's primary, under one term."""

    def __init__(
        self,
        *,
        group: str,
        targets: tuple[Target, ...],
        plan: Plan,
        nonce: str,
    ) -> None:
        self.group = group
        self.plan = plan
        self.nonce = nonce
        self.phase = Phase.PROBE
        self.reason = ""
        self.term = 0
        self.primary = ""
        self.record: GroupRecord | None = None
        self.marks: list[tuple[Phase, float]] = []
        self._targets = {target.name: target for target in targets}
        self._object: GroupObject | None = None
        self._probes: dict[str, Probe] = {}
        self._probe_lost: set[str] = set()
        self._fenced: dict[str, Probe] = {}
        self._start = 0
        self._pause_end = (0, 0)
        self._phase_at = 0.0
        self._majority_at: float | None = None
        self._sent: dict[tuple[OrderKind, str], _Sent] = {}
        self._update: UpdateGroup | None = None
        self._calling = False
        self._call_again_at = 0.0

    @property
    def over(self) -> bool:
        """Tell whether nothing more will be done."""
        return self.phase in (Phase.DONE, Phase.ENDED)

    @property
    def latest(self) -> GroupRecord | None:
        """Return the newest record that was seen, also after the end."""
        return self._object.record() if self._object is not None else None

    # Events.

    def begin(self, now: float) -> list[Action]:
        """Start: ask all targets and the platform how things stand."""
        self._enter(Phase.PROBE, now)
        self._calling = True
        actions: list[Action] = [ReadGroup()]
        return actions + self._order_all(OrderKind.PROBE, now)

    def answered(
        self, order: Order, accepted: bool, probe: Probe | None, now: float
    ) -> list[Action]:
        """Take in a target's answer; `accepted` is false for a 409."""
        self._sent.pop((order.kind, order.target.name), None)
        if self.over or probe is None:
            return []
        name = order.target.name
        match order.kind:
            case OrderKind.PROBE if self.phase is Phase.PROBE:
                self._probes[name] = probe
                return self._try_leave_probe(now)
            case OrderKind.PROBE if self.phase is Phase.CATCH_UP:
                return self._check_caught_up(name, probe, now)
            case OrderKind.PAUSE if self.phase is Phase.PAUSE:
                return self._paused(accepted, probe, now)
            case OrderKind.FENCE if order.term == self.term:
                return self._stopped(name, accepted, probe, now)
            case OrderKind.PROMOTE if order.term == self.term:
                return self._promoted(accepted, probe, now)
        return []

    def lost(self, order: Order, now: float) -> list[Action]:
        """Take in that no answer came; `tick` sends the order again."""
        if self.phase is Phase.PROBE:
            self._probe_lost.add(order.target.name)
            return self._try_leave_probe(now)
        return []

    def read(self, found: GroupObject | None, now: float) -> list[Action]:
        """Take in the group's object; None: the platform did not answer."""
        self._calling = False
        if self.over:
            return []
        if found is None:
            self._call_again_at = now + RESEND
            return []
        match self.phase:
            case Phase.PROBE:
                self._object = found
                return self._try_leave_probe(now)
            case Phase.WIN | Phase.RECORD:
                return self._resolve(found, now)
        return []

    def updated(self, version: int, now: float) -> list[Action]:
        """Take in that our update was done."""
        self._calling = False
        update = self._update
        if self.over or update is None:
            return []
        stored = GroupObject(
            name=self.group, version=version, value=update.value
        )
        return self._resolve(stored, now)

    def conflicted(self, found: GroupObject, now: float) -> list[Action]:
        """Take in that the object was at another version."""
        self._calling = False
        return [] if self.over else self._resolve(found, now)

    def unanswered(self, now: float) -> list[Action]:
        """Take in that nothing is known of our update: read it back."""
        self._call_again_at = now + RESEND
        self._calling = False
        return []

    def tick(self, now: float) -> list[Action]:
        """Send again what was lost and give up what takes too long."""
        if self.over:
            return []
        waited = now - self._phase_at
        match self.phase:
            case Phase.PROBE if waited > PROBE_PATIENCE:
                return self._end("no majority answers", now)
            case Phase.PROBE if waited > PROBE_GRACE:
                self._probe_lost.add(self.plan.failed)
                actions = self._try_leave_probe(now)
                if actions or self.over:
                    return actions
            case Phase.PAUSE | Phase.CATCH_UP if waited > PAUSE_PATIENCE:
                return self._give_up_pause(now)
            case Phase.FENCE if self._majority_at is not None:
                if now - self._majority_at >= FENCE_GRACE:
                    return self._promote(now)
            case Phase.PROMOTE if waited > PROMOTE_PATIENCE:
                # It may have become primary without our knowing. Telling a
                # second one at the same term could make two, so this change
                # ends and the next one wins another term.
                return self._end("promotion unanswered", now)
        return self._send_again(now)

    # Probe.

    def _try_leave_probe(self, now: float) -> list[Action]:
        """Go on once the object and a majority have been heard.

        Winning the term stops all writes, so a steward that reaches no
        majority itself must not do it: it could not finish.
        """
        record = self._object.record() if self._object else None
        if record is None or len(self._probes) < self._majority():
            return []
        if not self._is_as_judged(record):
            return self._end("the record has moved on", now)
        if self.plan.cause.planned:
            return self._try_pause(record, now)
        failed = self.plan.failed
        if failed and failed not in self._probes.keys() | self._probe_lost:
            return []
        if self._hears_primary(record) and not self.plan.insist:
            return self._end("the steward hears the primary", now)
        return self._win(now)

    def _is_as_judged(self, record: GroupRecord) -> bool:
        return (
            record.term == self.plan.term
            and record.primary == self.plan.primary
            and set(record.targets) == set(self._targets.values())
        )

    def _hears_primary(self, record: GroupRecord) -> bool:
        probe = self._probes.get(record.primary)
        if probe is None:
            return False
        return probe.role is Role.PRIMARY and probe.term == record.term

    def _try_pause(self, record: GroupRecord, now: float) -> list[Action]:
        primary = self._probes.get(record.primary)
        if primary is None or self._first_choice() not in self._probes:
            return []
        if not self._is_nearly_caught_up(record, primary):
            return self._end("the chosen target is behind", now)
        self._enter(Phase.PAUSE, now)
        target = self._targets[record.primary]
        return [self._order(OrderKind.PAUSE, target, now, record.term)]

    def _first_choice(self) -> str:
        return self.plan.preferred[0] if self.plan.preferred else ""

    def _is_nearly_caught_up(
        self, record: GroupRecord, primary: Probe
    ) -> bool:
        chosen = self._probes[self._first_choice()]
        works = primary.role is Role.PRIMARY and primary.term == record.term
        follows = chosen.last_term == primary.last_term
        lacking = primary.received - chosen.received
        return works and follows and lacking <= NEARLY_CAUGHT_UP

    # Pause and catch up, for planned changes.

    def _paused(
        self, accepted: bool, probe: Probe, now: float
    ) -> list[Action]:
        if not accepted:
            return self._give_up_pause(now)
        self._pause_end = log_end(probe)
        self._enter(Phase.CATCH_UP, now)
        return [self._probe_chosen(now)]

    def _probe_chosen(self, now: float) -> Order:
        target = self._targets[self._first_choice()]
        return self._order(OrderKind.PROBE, target, now)

    def _check_caught_up(
        self, name: str, probe: Probe, now: float
    ) -> list[Action]:
        if name != self._first_choice():
            return []
        if log_end(probe) < self._pause_end:
            return [self._probe_chosen(now)]
        return self._win(now)

    def _give_up_pause(self, now: float) -> list[Action]:
        assert self._object is not None
        record = self._object.record()
        assert record is not None
        self._end("pause or catching up took too long", now)
        target = self._targets[record.primary]
        return [self._order(OrderKind.RESUME, target, now, record.term)]

    # Win the term.

    def _win(self, now: float) -> list[Action]:
        assert self._object is not None
        known = max(probe.term for probe in self._probes.values())
        term = max(int(self._object.value.get("term", 0)), known) + 1
        self._enter(Phase.WIN, now)
        return self._put({"term": term, "primary": ""})

    def _put(self, fields: dict[str, Any]) -> list[Action]:
        assert self._object is not None
        value = {**self._object.value, **fields, "steward": self.nonce}
        self._update = UpdateGroup(
            if_version=self._object.version, value=value
        )
        self._calling = True
        return [self._update]

    def _resolve(self, found: GroupObject, now: float) -> list[Action]:
        """Find out from the object what became of our update."""
        update = self._update
        assert update is not None
        self._object = found
        if found.version == update.if_version:
            # Not done, but it may still be on its way. The same update again
            # is harmless: only one of the two can meet this version.
            self._calling = True
            return [update]
        if found.value.get("steward") != self.nonce:
            if self.term == 0 and found.value.get("term", 0) < (
                update.value["term"]
            ):
                return self._end("object was edited meanwhile", now)
            return self._end("another steward won a term", now)
        if found.value.get("targets") != update.value.get("targets"):
            return self._end("the group's targets were edited", now)
        wanted = update.value["term"], update.value["primary"]
        if (found.value["term"], found.value["primary"]) != wanted:
            # Ours is the newest term, but somebody edited another field on
            # top of our first update: put the second one on top of that.
            return self._put(
                {
                    "primary": update.value["primary"],
                    "starts": update.value["starts"],
                }
            )
        if self.phase is Phase.WIN:
            return self._won(now)
        self.record = found.record()
        self._enter(Phase.DONE, now)
        return []

    def _won(self, now: float) -> list[Action]:
        assert self._update is not None
        self.term = self._update.value["term"]
        self._enter(Phase.FENCE, now)
        return self._order_all(OrderKind.FENCE, now)

    # Fence.

    def _stopped(
        self, name: str, accepted: bool, probe: Probe, now: float
    ) -> list[Action]:
        if not accepted or probe.term > self.term:
            return self._end("a target knows a later term", now)
        if self.phase is not Phase.FENCE:
            return []
        self._fenced[name] = probe
        if len(self._fenced) < self._majority():
            return []
        awaited = set(self._targets) - set(self._fenced) - {self.plan.failed}
        if not awaited:
            return self._promote(now)
        if self._majority_at is None:
            self._majority_at = now
        return []

    # Promote.

    def _promote(self, now: float) -> list[Action]:
        self.primary = choose_primary(
            self._fenced,
            self._majority(),
            self.plan.preferred,
            planned=self.plan.cause.planned,
            failed=self.plan.failed,
        )
        self._enter(Phase.PROMOTE, now)
        target = self._targets[self.primary]
        return [self._order(OrderKind.PROMOTE, target, now, self.term)]

    def _promoted(
        self, accepted: bool, probe: Probe, now: float
    ) -> list[Action]:
        if self.phase is not Phase.PROMOTE:
            return []
        if not accepted or probe.role is not Role.PRIMARY:
            return self._end("promotion refused", now)
        self._start = probe.start
        self._enter(Phase.RECORD, now)
        return self._put_record() + self._follow_all(now)

    # Record.

    def _put_record(self) -> list[Action]:
        assert self._object is not None
        starts = list(self._object.value.get("starts", []))
        starts.append({"term": self.term, "index": self._start})
        return self._put(
            {"primary": self.primary, "starts": starts[-STARTS_KEPT:]}
        )

    def _follow_all(self, now: float) -> list[Action]:
        address = self._targets[self.primary].address
        return [
            self._order(OrderKind.FOLLOW, target, now, self.term, address)
            for target in self._targets.values()
            if target.name != self.primary
        ]

    # Helpers.

    def _majority(self) -> int:
        return majority_of(len(self._targets))

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._phase_at = now
        self._sent.clear()
        self.marks.append((phase, now))

    def _end(self, reason: str, now: float) -> list[Action]:
        self.reason = reason
        self._enter(Phase.ENDED, now)
        return []

    def _order(
        self,
        kind: OrderKind,
        target: Target,
        now: float,
        term: int = 0,
        primary: str = "",
    ) -> Order:
        order = Order(kind=kind, target=target, term=term, primary=primary)
        self._sent[kind, target.name] = _Sent(order=order, at=now)
        return order

    def _order_all(self, kind: OrderKind, now: float) -> list[Action]:
        return [
            self._order(kind, target, now, self.term)
            for target in self._targets.values()
        ]

    def _send_again(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sent in self._sent.values():
            if now - sent.at >= RESEND:
                sent.at = now
                actions.append(sent.order)
        waits = self.phase in (Phase.PROBE, Phase.WIN, Phase.RECORD)
        has_read = self.phase is Phase.PROBE and self._object is not None
        if waits and not has_read and not self._calling:
            if now >= self._call_again_at:
                self._calling = True
                actions.append(ReadGroup())
        return actions
