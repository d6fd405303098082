"""Deterministic exploration of primary changes.

The real controllers (`choose_plan`, `PrimaryChange`, the rule of majority) run
against fakes of targets and platform. The machine decides the order in which
messages arrive, which are lost, which updates take effect after their sender
has timed out, which steward is paused and which target is down. Both stewards
lead all the time, which is worse than any failure of leases, so the checked
properties do not depend on leases. Leases are explored in `lease_machine`.
Checked:

- at most one target was ever promoted at a term;
- every acknowledged write is in the log of each later primary, whether it was
  acknowledged before or after the promotion;
- no write is acknowledged by a holder that knows a later term.

`promotion_faults` lists the faults that the exploration must find;
features/exploration.feature runs each. Commands for longer runs, from the root
of the repository:

    BAMBOOSPRING_EXAMPLES=5000 behave features/exploration.feature
    BAMBOOSPRING_EXAMPLES=5000 behave features/exploration.feature \
        -n "skip_fence"
"""

from __future__ import annotations

from random import Random

import hypothesis
from hypothesis import HealthCheck
from hypothesis import Phase as RunPhase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st
from promotion_faults import mutated
from promotion_world import FakeTarget
from promotion_world import Message
from promotion_world import NAMES
from promotion_world import SimHolder
from promotion_world import SimSteward
from promotion_world import World

from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring import commit
from bamboospring.records import decode_group
from bamboospring.statements import Position

__all__ = ["PromotionMachine", "explore"]

PICK = st.integers(0, 1000)


class PromotionMachine(RuleBasedStateMachine):
    """Interleave the events of one group."""

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

    # Network.

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
        """Time out at the sender; the message still arrives later."""
        found = self._deliverable()
        if found:
            found[pick % len(found)].give_up()

    @rule(seconds=st.sampled_from([0.02, 0.06, 0.3, 1.0, 2.6, 3.2]))
    def wait(self, seconds: float) -> None:
        self.world.now += seconds
        for steward in self.stewards:
            steward.tick()

    @rule(rounds=st.integers(1, 6))
    def run_without_faults(self, rounds: int) -> None:
        for _ in range(rounds):
            self.wait(0.1)
            self.deliver_in_order(30)

    @initialize(behind=st.sampled_from(NAMES))
    def set_up(self, behind: str) -> None:
        """Create a primary and an acknowledged write that one may lack."""
        self.run_without_faults(8)
        self.judge(0, False)
        self.judge(1, False)
        self.run_without_faults(6)
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
        """Run many events in any order, with occasional losses."""
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
        """Treat a working primary as failed while it receives writes."""
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
        """Delay the messages of one steward and run the other.

        The first one resumes and its messages arrive while the second leads.
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
        """Let both stewards request the same term; answer both or none.

        Each continues while a different target is down, so that the two would
        choose differently; unanswered requests arrive at the end.
        """
        self.world.messages.clear()
        held = []
        for steward in self.stewards:
            self._all_up_except("")
            steward.restart()
            steward.paused = False
            steward.judge(True)
            while steward.is_probing() and self.world.messages:
                self.deliver_in_order(1)
            held.append(self.world.messages[:])
            self.world.messages.clear()
        late = []
        answered = chances.random() < 0.5
        for asked in held:
            self._all_up_except(chances.choice(NAMES))
            for message in asked:
                if answered:
                    message.deliver()
                else:
                    message.give_up()
                    late.append(message)
            self._deliver_until_promoted(chances)
            late += self.world.messages
            self.world.messages.clear()
        self._all_up_except("")
        self.world.messages += late
        self._deliver_some(chances, 60)

    def _deliver_until_promoted(self, chances: Random) -> None:
        """Stop at the promotion: later messages must not hide a second one."""
        known = len(self.world.promoted)
        for _ in range(40):
            if len(self.world.promoted) > known:
                return
            self.deliver_any(chances.randrange(1000))
            if chances.random() < 0.2:
                self.wait(0.06)

    def _all_up_except(self, down: str) -> None:
        for name in NAMES:
            self.world.targets[name].up = name != down

    def _deliver_some(self, chances: Random, limit: int) -> None:
        for _ in range(chances.randrange(limit)):
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
        """Let an old primary return with entries that no other target has."""
        for name in NAMES:
            self.world.targets[name].up = True
        self.learn_record(0)
        for _ in range(chances.randrange(4)):
            self.write(0)
        leader = self.stewards[0]
        leader.paused = False
        leader.judge(True)
        self.run_without_faults(4)
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
        """Stop one target and let the stewards detect it."""
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

    @rule(which=st.integers(0, 1), primary_failed=st.booleans())
    def judge(self, which: int, primary_failed: bool) -> None:
        self.stewards[which].judge(primary_failed)

    @rule(which=st.integers(0, 1))
    def pause_or_resume(self, which: int) -> None:
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


def explore(
    mutation: str = "",
    *,
    examples: int,
    steps: int = 60,
    seed: int | None = None,
) -> None:
    """Run the machine; raise AssertionError if an invariant is violated."""
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
    machine = type("SeededMachine", (PromotionMachine,), {})
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    with mutated(mutation):
        run_state_machine_as_test(machine, settings=found)
