"""Deterministic exploration of primary changes.

The real controllers (`choose_plan`, `Change`, the rule of majority) run
against small fakes of targets and platform. The machine decides the order in
which messages arrive, which are lost, which updates land after their sender
has given up, who is paused and which target is down. Both stewards lead all
the time: that is worse than any lapse of a lease, so what holds here does not
rest on leases. Those are explored in `lease_machine`. Checked:

- at most one target was ever promoted at a term;
- every acknowledged write is in the log of each later primary, whichever of
  the two came first;
- no write is acknowledged by a holder that knows of a later term.

`MUTATIONS` lists the faults that it must catch; features/exploration.feature
runs each. Long runs by hand, from the root of the repository:

    BAMBOOSPRING_EXAMPLES=5000 behave features/exploration.feature
    BAMBOOSPRING_EXAMPLES=5000 behave features/exploration.feature \
        -n "skip_fence"
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from unittest import mock

from hypothesis import HealthCheck
from hypothesis import Phase as RunPhase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st

from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring import commit
from bamboospring.primary_policy import choose_plan
from bamboospring.primary_policy import GroupView
from bamboospring import promotion
from bamboospring.promotion import Change
from bamboospring.promotion import GroupObject
from bamboospring.promotion import Order
from bamboospring.promotion import OrderKind
from bamboospring.promotion import Phase
from bamboospring.promotion import ReadGroup
from bamboospring.promotion import UpdateGroup
from bamboospring.records import decode_group
from bamboospring.statements import Position
from bamboospring.target_api import Probe

__all__ = ["MUTATIONS", "explore"]

NAMES = ("m1", "m2", "m3")
TARGETS = tuple(
    Target(name=n, address=n, availability_zone=n, site="s") for n in NAMES
)
PICK = st.integers(0, 1000)


class World:
    """Time, the platform's objects, and what is on its way."""

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

    def note_promotion(self, target: FakeTarget) -> None:
        other = self.promoted.setdefault(target.term, target.name)
        assert other == target.name, f"two primaries at {target.term}"
        self.logs_at_promotion[target.term] = list(target.log)
        for position, value in self.acked:
            self.check_kept(position, value, target.term)

    def ack(self, position: Position, value: str) -> None:
        self.acked.append((position, value))
        for term in self.promoted:
            self.check_kept(position, value, term)

    def check_kept(self, position: Position, value: str, term: int) -> None:
        if term <= position.term:
            return
        log = self.logs_at_promotion[term]
        entry = (position.term, value)
        assert log[position.index - 1 : position.index] == [
            entry
        ], f"acknowledged {value} of term {position.term} is lost at {term}"


@dataclass(slots=True, kw_only=True, eq=False)
class Message:
    """One leg of an exchange; `give_up` tells the sender of its loss."""

    deliver: Callable[[], None]
    give_up: Callable[[], None]
    to: SimSteward | None = None
    lost: bool = False


class FakeTarget:
    """The rules of a target, without any I/O."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.term = 0
        self.role = Role.REPLICA
        self.primary = ""
        self.log: list[tuple[int, str]] = []
        self.up = True

    def probe(self) -> Probe:
        return Probe(
            target=self.name,
            term=self.term,
            role=self.role,
            received=len(self.log),
            applied=len(self.log),
            last_term=self.log[-1][0] if self.log else 0,
            start=self._start(),
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
                return self._follow(order.term, order.primary)
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
            self.world.note_promotion(self)
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
        """Take up to `count` entries from the primary that is followed."""
        source = self.world.targets.get(self.primary)
        if self.role is not Role.REPLICA or source is None:
            return
        if source.role is not Role.PRIMARY or source.term != self.term:
            return
        if not (self.up and source.up):
            return
        same = 0
        for mine, theirs in zip(self.log, source.log, strict=False):
            if mine != theirs:
                break
            same += 1
        fresh = source.log[same : same + count]
        if fresh:
            self.log = self.log[:same] + fresh


class SimSteward:
    """One VM that leads: at most one change at a time."""

    def __init__(self, world: World, vm: str) -> None:
        self.world = world
        self.vm = vm
        self.paused = False
        self.runs = 0
        self.counter = 0
        self.change: Change | None = None

    def restart(self) -> None:
        """Forget everything, as a process that was started anew."""
        self.runs += 1
        self.change = None

    def now(self) -> float:
        return self.world.now

    def tick(self) -> None:
        if not self.paused and self.change is not None:
            self._apply(self.change, self.change.tick(self.now()))

    def judge(self, condemned: bool) -> None:
        """Begin a change if the policy asks for one."""
        if self.paused or self.change is not None:
            return
        version, value = self.world.objects["group"]
        record = decode_group("g", version, value)
        assert record is not None
        view = GroupView(
            record=record,
            row=TableRow(group="g"),
            probes={},
            condemned=condemned,
            insist=True,
        )
        plan = choose_plan(view)
        if plan is None:
            return
        self.counter += 1
        nonce = f"{self.vm}-{self.runs}/{self.counter}"
        self.change = Change(
            group="g", targets=TARGETS, plan=plan, nonce=nonce
        )
        self._apply(self.change, self.change.begin(self.now()))

    def _apply(self, change: Change, actions: list[Any]) -> None:
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
        if change.over and self.change is change:
            self.change = None

    def _exchange(
        self,
        effect: Callable[[], Any],
        answer: Callable[[Any], None],
        lost: Callable[[], None],
    ) -> None:
        """Send a request whose effect and whose answer arrive on their own."""
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

    def _send_order(self, change: Change, order: Order) -> None:
        target = self.world.targets[order.target.name]

        def effect() -> tuple[bool, Probe] | None:
            if not target.up:
                return None
            return target.obey(order), target.probe()

        def answer(result: tuple[bool, Probe] | None) -> None:
            if result is None:
                self._apply(change, change.lost(order, self.now()))
                return
            done, probe = result
            found = change.answered(order, done, probe, self.now())
            self._apply(change, found)

        self._exchange(effect, answer, lambda: answer(None))

    def _call_group(self, change: Change, update: UpdateGroup | None) -> None:
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
                self._apply(change, change.updated(version, now))
            elif update is not None:
                self._apply(change, change.conflicted(found, now))
            else:
                self._apply(change, change.read(found, now))

        def lost() -> None:
            now = self.now()
            if update is not None:
                self._apply(change, change.unanswered(now))
            else:
                self._apply(change, change.read(None, now))

        self._exchange(effect, answer, lost)


@dataclass(slots=True, kw_only=True)
class SimHolder:
    """A holder: its own late view of the group, and writes that wait."""

    group: Group
    waiting: list[tuple[Position, str]] = field(default_factory=list)


class PromotionMachine(RuleBasedStateMachine):
    """Interleave everything that can happen to one group."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.stewards = [
            SimSteward(self.world, name) for name in ("vm-1", "vm-2")
        ]
        self.holders = [SimHolder(group=self._fresh_group()) for _ in "ab"]
        self.writes = 0

    def _fresh_group(self) -> Group:
        record = decode_group("g", *self.world.objects["group"])
        assert record is not None
        return Group(record=record)

    def _deliverable(self) -> list[Message]:
        return [
            message
            for message in self.world.messages
            if message.to is None or not message.to.paused
        ]

    def _take(self, pick: int) -> Message | None:
        found = self._deliverable()
        if not found:
            return None
        message = found[pick % len(found)]
        self.world.messages.remove(message)
        return message

    # The network.

    @rule(count=st.integers(1, 30))
    def deliver_in_order(self, count: int) -> None:
        for _ in range(count):
            message = self._take(0)
            if message is None:
                return
            message.deliver()

    @rule(pick=PICK)
    def deliver_any(self, pick: int) -> None:
        message = self._take(pick)
        if message is not None:
            message.deliver()

    @rule(pick=PICK)
    def lose(self, pick: int) -> None:
        message = self._take(pick)
        if message is not None:
            message.give_up()

    @rule(pick=PICK)
    def give_up_early(self, pick: int) -> None:
        """The sender gives up; the message still arrives some time."""
        found = self._deliverable()
        if found:
            found[pick % len(found)].give_up()

    @rule(seconds=st.sampled_from([0.02, 0.06, 0.3, 1.0, 2.6, 3.2]))
    def wait(self, seconds: float) -> None:
        self.world.now += seconds
        for steward in self.stewards:
            steward.tick()

    @rule(rounds=st.integers(1, 6))
    def run_smoothly(self, rounds: int) -> None:
        for _ in range(rounds):
            self.wait(0.1)
            self.deliver_in_order(30)

    @initialize(behind=st.sampled_from(NAMES))
    def set_up(self, behind: str) -> None:
        """Have a primary and an acknowledged write that one may lack."""
        self.run_smoothly(8)
        self.judge(0, False)
        self.judge(1, False)
        self.run_smoothly(6)
        for name in NAMES:
            self.world.targets[name].pull(5)
        self.learn_record(0)
        self.learn_record(1)
        self.write(0)
        for name in NAMES:
            if name != behind:
                self.world.targets[name].pull(5)
            self.poll(0, name)

    @rule(chances=st.randoms(use_true_random=False))
    def run_in_disorder(self, chances: Random) -> None:
        """Let much happen in any order, with losses now and then."""
        for _ in range(40):
            self._disorder(chances)

    def _disorder(self, chances: Random) -> None:
        pick = chances.randrange(1000)
        which = chances.randrange(2)
        name = chances.choice(NAMES)
        match chances.randrange(20):
            case 0 | 1 | 2:
                self.wait(chances.choice([0.02, 0.06, 0.3]))
            case 3:
                self.lose(pick)
            case 4:
                self.give_up_early(pick)
            case 5:
                self.judge(which, chances.random() < 0.5)
            case 6 | 7:
                self.replicate(name, 2)
            case 8 | 9:
                self.poll(which, name)
            case 10:
                self.write(which)
            case 11:
                self.learn_record(which)
            case _:
                self.deliver_any(pick)

    @rule(chances=st.randoms(use_true_random=False))
    def change_under_load(self, chances: Random) -> None:
        """Take a working primary for failed while it is written to."""
        for name in NAMES:
            self.world.targets[name].up = True
        self.judge(0, True)
        self.judge(1, True)
        for _ in range(60):
            pick = chances.randrange(1000)
            name = chances.choice(NAMES)
            match chances.randrange(12):
                case 0:
                    self.write(0)
                case 6:
                    self.lose(pick)
                case 1 | 2:
                    self.replicate(name, 1)
                case 3 | 4:
                    self.poll(0, name)
                case 5:
                    self.wait(0.02)
                case _:
                    self.deliver_any(pick)

    @rule(chances=st.randoms(use_true_random=False))
    def pause_leader_halfway(self, chances: Random) -> None:
        """Let one steward lead, hold up what it sent, and run the other.

        The first one wakes and its messages arrive while the second leads.
        """
        first, second = self.stewards
        if chances.random() < 0.5:
            first, second = second, first
        first.paused = second.paused = False
        first.judge(True)
        self._deliver_some(chances, 12)
        delayed, self.world.messages = self.world.messages, []
        first.paused = chances.random() < 0.5
        second.judge(True)
        self._deliver_some(chances, 20)
        self.world.messages += delayed
        first.paused = False
        self._deliver_some(chances, 60)

    @rule(chances=st.randoms(use_true_random=False))
    def race_for_a_term(self, chances: Random) -> None:
        """Let both stewards ask for the same term, and answer neither.

        Each goes on while another target is away, so that the two would
        choose differently; what they asked for arrives at the end.
        """
        self.world.messages.clear()
        held = []
        for steward in self.stewards:
            self._all_up_but("")
            steward.restart()
            steward.paused = False
            steward.judge(True)
            self.deliver_in_order(12)
            self.world.now += 0.06
            steward.tick()
            held.append(self.world.messages[:])
            self.world.messages.clear()
        late = []
        for asked in held:
            self._all_up_but(chances.choice(NAMES))
            for message in asked:
                message.give_up()
            self._deliver_some(chances, 40)
            late += [*asked, *self.world.messages]
            self.world.messages.clear()
        self._all_up_but("")
        self.world.messages += late
        self._deliver_some(chances, 60)

    def _all_up_but(self, away: str) -> None:
        for name in NAMES:
            self.world.targets[name].up = name != away

    def _deliver_some(self, chances: Random, most: int) -> None:
        for _ in range(chances.randrange(most)):
            pick = chances.randrange(1000)
            match chances.randrange(12):
                case 0:
                    self.lose(pick)
                case 1:
                    self.give_up_early(pick)
                case 2:
                    self.wait(0.3)
                case _:
                    self.deliver_any(pick)

    @rule(chances=st.randoms(use_true_random=False))
    def return_with_tail(self, chances: Random) -> None:
        """Let an old primary come back with entries that nobody else has."""
        for name in NAMES:
            self.world.targets[name].up = True
        self.learn_record(0)
        for _ in range(chances.randrange(4)):
            self.write(0)
        leader = self.stewards[0]
        leader.paused = False
        leader.judge(True)
        self.run_smoothly(4)
        self.learn_record(0)
        self.write(0)
        for _ in range(chances.randrange(8)):
            name = chances.choice(NAMES)
            self.poll(0, name)
            if chances.random() < 0.3:
                self.replicate(name, 1)
        self.fail_primary(self.holders[0].group.record.primary, chances)

    @rule(
        which=st.sampled_from(NAMES), chances=st.randoms(use_true_random=False)
    )
    def fail_primary(self, which: str, chances: Random) -> None:
        """Stop one target and let the stewards find out."""
        for name in NAMES:
            self.world.targets[name].up = name != which
        leader = chances.choice(self.stewards)
        leader.paused = False
        leader.judge(True)
        for _ in range(30):
            self.wait(0.02)
            self.deliver_any(chances.randrange(1000))
            self.deliver_any(chances.randrange(1000))
        self.learn_record(0)

    # Stewards.

    @rule(which=st.integers(0, 1), condemned=st.booleans())
    def judge(self, which: int, condemned: bool) -> None:
        self.stewards[which].judge(condemned)

    @rule(which=st.integers(0, 1))
    def pause_or_wake(self, which: int) -> None:
        steward = self.stewards[which]
        steward.paused = not steward.paused

    @rule(which=st.integers(0, 1))
    def restart_steward(self, which: int) -> None:
        self.stewards[which].restart()

    # Targets.

    @rule(which=st.sampled_from(NAMES))
    def stop_or_start(self, which: str) -> None:
        target = self.world.targets[which]
        target.up = not target.up

    @rule(which=st.sampled_from(NAMES), count=st.integers(1, 3))
    def replicate(self, which: str, count: int) -> None:
        self.world.targets[which].pull(count)

    # Holders.

    @rule(which=st.integers(0, 1))
    def learn_record(self, which: int) -> None:
        holder = self.holders[which]
        holder.group.record = self._fresh_group().record
        term = holder.group.record.term
        holder.waiting = [w for w in holder.waiting if w[0].term >= term]

    @precondition(lambda self: len(self.world.acked) < 12)
    @rule(which=st.integers(0, 1))
    def write(self, which: int) -> None:
        holder = self.holders[which]
        record = holder.group.record
        target = self.world.targets.get(record.primary)
        if target is None or not target.up or target.term != record.term:
            return
        if target.role is not Role.PRIMARY:
            return
        self.writes += 1
        value = f"w{self.writes}"
        target.log.append((target.term, value))
        position = Position(term=target.term, index=len(target.log))
        holder.waiting.append((position, value))
        self._look(holder, target)

    @rule(which=st.integers(0, 1), name=st.sampled_from(NAMES))
    def poll(self, which: int, name: str) -> None:
        target = self.world.targets[name]
        if target.up:
            self._look(self.holders[which], target)

    @rule(which=st.integers(0, 1))
    def write_and_hold(self, which: int) -> None:
        self.learn_record(which)
        self.write(which)
        for name in NAMES:
            self.world.targets[name].pull(5)
            self.poll(which, name)

    def _look(self, holder: SimHolder, target: FakeTarget) -> None:
        probe = target.probe()
        state = holder.group.state(target.name)
        if probe.term >= state.term:
            state.term = probe.term
            state.role = probe.role
            state.received = probe.received
            state.last_term = probe.last_term
        waiting, holder.waiting = holder.waiting, []
        for position, value in waiting:
            if commit.held_by_majority(holder.group, position):
                assert holder.group.record.term <= position.term
                self.world.ack(position, value)
            else:
                holder.waiting.append((position, value))


# Seeded faults.


def _skip_fence(change: Change, now: float) -> list[Any]:
    """Promote by what was probed; stop only the one that is promoted."""
    assert change._update is not None
    change.term = change._update.value["term"]
    change._enter(Phase.FENCE, now)
    best = max(
        change._probes, key=lambda n: promotion.log_end(change._probes[n])
    )
    change._majority = lambda: 1  # type: ignore[method-assign]
    target = change._targets[best]
    return [change._order(OrderKind.FENCE, target, now, change.term)]


def _stopped_minority(
    change: Change, name: str, accepted: bool, probe: Probe, now: float
) -> list[Any]:
    if not accepted or change.phase is not Phase.FENCE:
        return []
    change._fenced[name] = probe
    with mock.patch.object(Change, "_majority", lambda change: 1):
        return change._promote(now)


def _choose_first(fenced: dict[str, Probe], *rest: Any, **more: Any) -> str:
    return next(iter(fenced))


def _trust_update(change: Change, now: float) -> list[Any]:
    assert change._update is not None
    return change.updated(change._update.if_version + 1, now)


def _promote_another(change: Change, now: float) -> list[Any]:
    if change.phase is Phase.PROMOTE and now - change._phase_at > 0.25:
        others = [n for n in change._fenced if n != change.primary]
        if others:
            change.primary = others[0]
            change._enter(Phase.PROMOTE, now)
            target = change._targets[others[0]]
            return [change._order(OrderKind.PROMOTE, target, now, change.term)]
    return _TICK(change, now)


def _ignore_nonce(change: Change, found: GroupObject, now: float) -> list[Any]:
    value = {**found.value, "steward": change.nonce}
    same = GroupObject(name=found.name, version=found.version, value=value)
    return _RESOLVE(change, same, now)


def _count_unmatched(group: Group, position: Position) -> int:
    return sum(
        state.term == position.term and state.received >= position.index
        for state in group.states.values()
    )


_TICK = Change.tick
_RESOLVE = Change._resolve

MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "skip_fence": (Change, "_won", _skip_fence),
    "promote_with_minority_fenced": (Change, "_stopped", _stopped_minority),
    "promote_first_that_answers": (
        promotion,
        "choose_primary",
        _choose_first,
    ),
    "trust_unanswered_update": (Change, "unanswered", _trust_update),
    "promote_another_at_same_term": (Change, "tick", _promote_another),
    "take_other_stewards_term_for_own": (Change, "_resolve", _ignore_nonce),
    "acknowledge_without_majority": (
        commit,
        "held_by_majority",
        lambda group, position: True,
    ),
    "count_unmatched_replica": (commit, "count_holding", _count_unmatched),
}


@contextlib.contextmanager
def _mutated(name: str) -> Iterator[None]:
    if not name:
        yield
        return
    owner, attribute, replacement = MUTATIONS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield


def explore(mutation: str = "", *, examples: int, steps: int = 60) -> None:
    """Run the machine; raises AssertionError when an invariant breaks."""
    found = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[RunPhase.generate],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    with _mutated(mutation):
        run_state_machine_as_test(PromotionMachine, settings=found)
