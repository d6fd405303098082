"""The simulated environment of the exploration of primary changes.

It consists of fakes without I/O: targets, the platform's object, messages in
flight, stewards that run the real `choose_plan` and `PrimaryChange`, and
holders with their delayed view of the group.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring.primary_change import ChangePhase
from bamboospring.primary_change import GroupObject
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.primary_change import PrimaryChange
from bamboospring.primary_change import ReadGroup
from bamboospring.primary_change import UpdateGroup
from bamboospring.primary_policy import choose_plan
from bamboospring.primary_policy import PolicyInput
from bamboospring.records import decode_group
from bamboospring.statements import Position
from bamboospring.target_api import ProbeResult

__all__ = [
    "FakeTarget",
    "Message",
    "NAMES",
    "SimHolder",
    "SimSteward",
    "World",
]

NAMES = ("m1", "m2", "m3")
TARGETS = tuple(
    Target(name=n, address=n, availability_zone=n, site="s") for n in NAMES
)


class World:
    """Time, the platform's objects and the messages in flight."""

    def __init__(self) -> None:
        self.now = 0.0
        self.messages: list[Message] = []
        self.targets = {name: FakeTarget(self, name) for name in NAMES}
        value = {"term": 0, "primary": "", "starts": []}
        value["targets"] = [
            {
                "name": t.name,
                "address": t.address,
                "availability_zone": t.availability_zone,
                "site": t.site,
            }
            for t in TARGETS
        ]
        self.objects: dict[str, tuple[int, Any]] = {
            "group": (1, value),
        }
        self.promoted: dict[int, str] = {}
        self.logs_at_promotion: dict[int, list[tuple[int, str]]] = {}
        self.acked: list[tuple[Position, str]] = []

    def put(self, kind: str, if_version: int, value: Any) -> bool:
        version, _ = self.objects[kind]
        if version != if_version:
            return False
        self.objects[kind] = (version + 1, value)
        return True

    def record_promotion(self, target: FakeTarget) -> None:
        other = self.promoted.setdefault(target.term, target.name)
        assert other == target.name, f"two primaries at {target.term}"
        self.logs_at_promotion[target.term] = list(target.log)
        for position, value in self.acked:
            self.check_retained(position, value, target.term)

    def ack(self, position: Position, value: str) -> None:
        self.acked.append((position, value))
        for term in self.promoted:
            self.check_retained(position, value, term)

    def check_retained(
        self, position: Position, value: str, term: int
    ) -> None:
        if term <= position.term:
            return
        log = self.logs_at_promotion[term]
        entry = (position.term, value)
        assert log[position.index - 1 : position.index] == [
            entry
        ], f"acknowledged {value} of term {position.term} is lost at {term}"


@dataclass(slots=True, kw_only=True, eq=False)
class Message:
    """A request or an answer; `give_up` reports its loss to the sender."""

    deliver: Callable[[], None]
    give_up: Callable[[], None]
    to: SimSteward | None = None
    lost: bool = False


class FakeTarget:
    """A target without I/O."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.term = 0
        self.role = Role.REPLICA
        self.primary = ""
        self.log: list[tuple[int, str]] = []
        self.up = True

    def probe(self) -> ProbeResult:
        return ProbeResult(
            target=self.name,
            term=self.term,
            role=self.role,
            received=len(self.log),
            applied=len(self.log),
            last_term=self.log[-1][0] if self.log else 0,
            term_start=self._start(),
            leaving=False,
            primary=self.primary,
        )

    def _start(self) -> int:
        terms = [term for term, _ in self.log]
        return terms.index(self.term) + 1 if self.term in terms else 0

    def obey(self, order: Order) -> bool:
        match order.kind:
            case OrderKind.FENCE:
                return self._fence(order.term)
            case OrderKind.PROMOTE:
                return self._promote(order.term)
            case OrderKind.FOLLOW:
                return self._follow(order.term, order.primary_address)
            case OrderKind.PAUSE | OrderKind.RESUME:
                return self.role is Role.PRIMARY and self.term == order.term
        return True

    def _fence(self, term: int) -> bool:
        if term > self.term:
            self.term, self.role, self.primary = term, Role.FENCED, ""
        return term == self.term

    def _promote(self, term: int) -> bool:
        if term != self.term or self.role is Role.REPLICA:
            return False
        if self.role is Role.FENCED:
            self.role = Role.PRIMARY
            self.world.record_promotion(self)
            self.log.append((term, "open"))
        return True

    def _follow(self, term: int, primary: str) -> bool:
        if term < self.term:
            return False
        if term == self.term and self.role is Role.PRIMARY:
            return False
        self.term, self.role, self.primary = term, Role.REPLICA, primary
        return True

    def pull(self, count: int) -> None:
        """Receive up to `count` entries from the followed primary."""
        source = self.world.targets.get(self.primary)
        if self.role is not Role.REPLICA or source is None:
            return
        if source.role is not Role.PRIMARY or source.term != self.term:
            return
        if not (self.up and source.up):
            return
        common = 0
        for mine, theirs in zip(self.log, source.log, strict=False):
            if mine != theirs:
                break
            common += 1
        fresh = source.log[common : common + count]
        if fresh:
            self.log = self.log[:common] + fresh


class SimSteward:
    """One VM that leads, with at most one change at a time."""

    def __init__(self, world: World, vm: str) -> None:
        self.world = world
        self.vm = vm
        self.paused = False
        self.runs = 0
        self.counter = 0
        self.change: PrimaryChange | None = None

    def restart(self) -> None:
        """Drop all state, as after a restart of the process."""
        self.runs += 1
        self.change = None

    def now(self) -> float:
        return self.world.now

    def is_probing(self) -> bool:
        """Return whether a change has begun and not yet requested a term."""
        change = self.change
        return change is not None and change.phase is ChangePhase.PROBE

    def tick(self) -> None:
        if not self.paused and self.change is not None:
            self._apply(self.change, self.change.tick(self.now()))

    def judge(self, primary_failed: bool) -> None:
        """Start a change if the policy returns a plan."""
        if self.paused or self.change is not None:
            return
        version, value = self.world.objects["group"]
        record = decode_group("g", version, value)
        assert record is not None
        view = PolicyInput(
            record=record,
            row=TableRow(group="g"),
            probes={},
            primary_failed=primary_failed,
            ignore_primary_answer=True,
        )
        plan = choose_plan(view)
        if plan is None:
            return
        self.counter += 1
        nonce = f"{self.vm}-{self.runs}/{self.counter}"
        self.change = PrimaryChange(
            group="g", targets=TARGETS, plan=plan, nonce=nonce
        )
        self._apply(self.change, self.change.begin(self.now()))

    def _apply(self, change: PrimaryChange, actions: list[Any]) -> None:
        if self.change is not change:
            return
        for action in actions:
            match action:
                case Order():
                    self._send_order(change, action)
                case ReadGroup():
                    self._call_group(change, None)
                case UpdateGroup():
                    self._call_group(change, action)
        if change.is_over and self.change is change:
            self.change = None

    def _exchange(
        self,
        effect: Callable[[], Any],
        answer: Callable[[Any], None],
        lost: Callable[[], None],
    ) -> None:
        """Send a request whose effect and answer occur independently."""
        run = self.runs
        done: list[bool] = []

        def once(call: Callable[[], None]) -> None:
            if not done and run == self.runs:
                done.append(True)
                call()

        def give_up() -> None:
            message = Message(
                deliver=lambda: once(lost), give_up=lambda: None, to=self
            )
            self.world.messages.append(message)

        def arrive() -> None:
            result = effect()
            message = Message(
                deliver=lambda: once(lambda: answer(result)),
                give_up=give_up,
                to=self,
            )
            self.world.messages.append(message)

        self.world.messages.append(Message(deliver=arrive, give_up=give_up))

    def _send_order(self, change: PrimaryChange, order: Order) -> None:
        target = self.world.targets[order.target.name]

        def effect() -> tuple[bool, ProbeResult] | None:
            if not target.up:
                return None
            return target.obey(order), target.probe()

        def answer(result: tuple[bool, ProbeResult] | None) -> None:
            if result is None:
                self._apply(change, change.on_no_answer(order, self.now()))
                return
            done, probe = result
            found = change.on_answer(order, done, probe, self.now())
            self._apply(change, found)

        self._exchange(effect, answer, lambda: answer(None))

    def _call_group(
        self, change: PrimaryChange, update: UpdateGroup | None
    ) -> None:
        def effect() -> tuple[bool, int, Any]:
            done = update is not None and self.world.put(
                "group", update.if_version, update.value
            )
            return done, *self.world.objects["group"]

        def answer(result: tuple[bool, int, Any]) -> None:
            done, version, value = result
            now = self.now()
            found = GroupObject(name="g", version=version, value=value)
            if done:
                self._apply(change, change.on_updated(version, now))
            elif update is not None:
                self._apply(change, change.on_conflict(found, now))
            else:
                self._apply(change, change.on_object_read(found, now))

        def lost() -> None:
            now = self.now()
            if update is not None:
                self._apply(change, change.on_update_unanswered(now))
            else:
                self._apply(change, change.on_object_read(None, now))

        self._exchange(effect, answer, lost)


@dataclass(slots=True, kw_only=True)
class SimHolder:
    """A holder: its delayed view of the group, and its pending writes."""

    group: Group
    waiting: list[tuple[Position, str]] = field(default_factory=list)
