"""Explored worlds: changes of primary and reads, with simulated time.

Each world has members with terms, a store with one record, VMs that take
proofs in both ways, and one or two processes that lead a change at the same
time. Questions and orders take time, are lost, and members start again. What
must hold is checked at the moment at which a member begins to lead.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from bamboospring.blackboard import Target
from bamboospring.sessions.finish import finished_record
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import GroupView
from bamboospring.sessions.model import Leadership
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import TargetNews
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.proofs import others_agree
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.proofs import PROOF_LIFE
from bamboospring.sessions.proofs import Report
from bamboospring.sessions.takeover import Cause
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import Phase
from bamboospring.sessions.takeover import ReadRecord
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TellTarget
from bamboospring.sessions.target_choice import choose
from bamboospring.sessions.target_choice import Needs
from bamboospring.sessions.target_choice import SendTo
from bamboospring.statements import Position

__all__ = ["Seen", "explore_changes", "explore_reads"]

NAMES = ("m0", "m1", "m2")
PROMOTE = 0.6
# An order to promote arrives within this, or never, in seconds.
ORDER_TIMEOUT = 0.6


@dataclass
class Seen:
    """What an exploration came across."""

    wrong: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)


@dataclass
class FakeMember:
    """A member as far as a change sees it."""

    name: str
    term: int = 1
    held: int = 0
    leads: bool = False
    received: int = 5
    up: bool = True

    def report(self):
        return Report(
            leads=self.leads,
            term=self.term,
            received_term=self.term,
            received=self.received,
            held_term=self.held,
        )


@dataclass
class FakeVm:
    """A VM: what it believes of the primary, and until when."""

    record: Leadership
    proof: Proof = field(default_factory=Proof)
    reaches_store: bool = True
    # When the newest read of the store, its own or passed on, was sent.
    read_at: float = -1e9


class ChangeWorld:
    """One world in which a primary is replaced."""

    def __init__(
        self,
        seed,
        seen,
        *,
        wait,
        hold,
        finish,
        fence=True,
        relays=False,
        ages=True,
    ):
        self.random = random.Random(seed)
        self.seen = seen
        self.relays = relays
        self.ages = ages
        self.wait = wait
        self.hold = hold
        self.finish = finish
        self.fence = fence
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.members = {name: FakeMember(name) for name in NAMES}
        self.members["m0"].leads = True
        self.record = Leadership(group="g", version=1, term=1, primary="m0")
        self.vms = [FakeVm(record=self.record) for _ in range(3)]
        self.changes = []
        self.ordered = 0
        # When the lease passes from the first process that leads to another.
        self.lease_end = 1e9

    def at(self, delay, act):
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def run(self):
        for vm in self.vms:
            self.at(self.random.uniform(0, 0.5), lambda vm=vm: self.prove(vm))
        self.at(self.random.uniform(0.5, 2.0), self.fail)
        self.at(2.0 + self.random.uniform(0, 1), lambda: self.lead(0))
        if self.random.random() < 0.5:
            self.lease_end = 2.0 + self.random.uniform(0.5, 4.0)
            self.at(self.lease_end, lambda: self.lead(1))
        self.at(self.random.uniform(2, 5), self.start_again)
        if self.finish:
            for _ in range(2):
                self.at(self.random.uniform(2.5, 3.5), self.look)
        while self.events and self.now < 14.0:
            self.now, _order, act = heapq.heappop(self.events)
            act()

    def fail(self):
        """The primary goes away, or is only cut from some VMs."""
        draw = self.random.random()
        if draw < 0.5:
            self.members["m0"].up = False
        for vm in self.vms:
            vm.reaches_store = self.random.random() < 0.5

    def start_again(self):
        """A replica starts anew and has forgotten the term that it held."""
        member = self.members[self.random.choice(("m1", "m2"))]
        if not member.leads:
            member.held = 0
            self.seen.counts["started_again"] += 1

    # VMs.

    def prove(self, vm):
        self.at(self.random.uniform(0.2, 0.9), lambda: self.prove(vm))
        asked_at = self.now
        way = self.random.uniform(0.001, 0.3)
        if self.relays and self.random.random() < 0.5:
            self.at(way, lambda: self.read_relay(vm, asked_at))
        elif vm.reaches_store:
            self.at(way, lambda: self.read_store(vm, asked_at))
        else:
            self.ask_targets(vm, asked_at)

    def read_store(self, vm, asked_at):
        record = self.record
        back = self.random.uniform(0.001, 0.3)
        self.at(back, lambda: self.take(vm, record, asked_at))

    def read_relay(self, vm, asked_at):
        """Another VM passes on what it has, with the age of its read."""
        relay = self.random.choice(
            [each for each in self.vms if each is not vm]
        )
        record = relay.record
        age = max(0.0, self.now - relay.read_at) if self.ages else 0.0
        back = self.random.uniform(0.001, 0.3)
        self.seen.counts["proof_passed_on"] += 1
        self.at(back, lambda: self.take(vm, record, asked_at - age))

    def take(self, vm, record, asked_at):
        vm.read_at = max(vm.read_at, asked_at)
        if record.version < vm.record.version:
            return
        if record.version > vm.record.version:
            vm.record = record
            vm.proof.void()
        if record.change is None:
            vm.proof.renew(asked_at)
            self.seen.counts["proof_by_store"] += 1

    def ask_targets(self, vm, asked_at):
        record = vm.record
        others = [name for name in NAMES if name != record.primary]
        reports = {}

        def ask(name):
            member = self.members[name]
            if not member.up:
                reports[name] = None
            elif self.random.random() < 0.9:
                reports[name] = member.report()

        for name in others:
            self.at(
                self.random.uniform(0.001, 0.3), lambda name=name: ask(name)
            )

        def judge():
            if vm.record is not record or record.change is not None:
                return
            if others_agree(others, reports, record.term):
                vm.proof.renew(asked_at)
                self.seen.counts["proof_by_targets"] += 1

        self.at(0.4, judge)

    # VMs that look after a change whose leader may have gone.

    def look(self):
        self.at(self.random.uniform(0.2, 0.6), self.look)
        record = self.record
        if record.change is None:
            return
        reports = {}

        def ask(name):
            member = self.members[name]
            if member.up and self.random.random() < 0.9:
                reports[name] = member.report()

        for name in NAMES:
            if name != record.primary:
                self.at(
                    self.random.uniform(0.001, 0.3),
                    lambda name=name: ask(name),
                )
        self.at(0.4, lambda: self.finish_by(record, reports))

    def finish_by(self, record, reports):
        finished = finished_record(record, reports)
        if finished is None:
            return
        # The update is under way for a while, also longer than others take.
        self.at(
            self.random.uniform(0.001, 1.0), lambda: self.store_end(finished)
        )

    def store_end(self, finished):
        if finished.version != self.record.version and self.fence:
            return
        self.seen.counts["finished"] += 1
        self.record = Leadership(
            group="g",
            version=self.record.version + 1,
            term=finished.term,
            primary=finished.primary,
        )

    # Changes.

    def lead(self, number):
        change = Takeover(
            vm=f"vm{number}",
            nonce=f"nonce{number}",
            cause=Cause.UNREACHED if number else Cause.GONE,
            record=self.record,
            targets=NAMES,
        )
        self.changes.append(change)
        if len(self.changes) == 2:
            self.seen.counts["by_two"] += 1
        self.act(change, change.begin(self.now))
        self.tick(change)

    def tick(self, change):
        if change.over:
            return
        self.at(0.1, lambda: self.tick(change))
        if not self.wait and change.phase is Phase.WAIT:
            self.act(change, change.all_released(self.now))
            return
        self.act(change, change.tick(self.now))

    def may_act(self, change, seconds=0.0):
        """Tell whether the lease is the change's for so many seconds."""
        first = change is self.changes[0]
        return not first or self.now + seconds < self.lease_end

    def act(self, change, actions):
        if not self.may_act(change):
            return
        for action in actions:
            ordering = isinstance(action, OrderPromotion)
            if ordering and not self.may_act(change, ORDER_TIMEOUT):
                result = PromotionResult.NOT_SENT
                self.act(change, change.ordered(result, self.now))
                continue
            if self.random.random() < 0.05:
                self.seen.counts["lost"] += 1
                if isinstance(action, StoreRecord):
                    self.store(change, action, answered=False)
                continue
            way = self.random.uniform(0.001, 0.15)
            if ordering:
                way = self.random.uniform(0.001, ORDER_TIMEOUT)
            self.at(way, lambda a=action: self.carry_out(change, a))

    def carry_out(self, change, action):
        match action:
            case TellTarget(target=name, order=order):
                self.tell(change, name, order)
            case StoreRecord():
                self.store(change, action, answered=True)
            case ReadRecord():
                self.act(change, change.read(self.record, self.now))
            case OrderPromotion(target=name):
                self.promote(change, name)

    def tell(self, change, name, order):
        member = self.members[name]
        if not member.up:
            self.act(change, change.replied(name, None, self.now))
            return
        match order:
            case HoldTerm(term=term):
                newest = max(member.term, member.held)
                if not member.leads and term > newest and self.hold:
                    member.held = term
                report = member.report()
                if not self.hold:
                    report = Report(
                        leads=False,
                        term=member.term,
                        received_term=member.term,
                        received=member.received,
                        held_term=term,
                    )
            case AskReport():
                report = member.report()
                if not self.hold and name == change.holder:
                    report = Report(
                        leads=member.leads,
                        term=member.term,
                        received_term=member.term,
                        received=member.received,
                        held_term=change.term,
                    )
        back = self.random.uniform(0.001, 0.15)
        self.at(
            back,
            lambda: self.act(change, change.replied(name, report, self.now)),
        )

    def store(self, change, action, *, answered):
        wanted = action.record
        stored = wanted.version == self.record.version
        if stored:
            self.record = Leadership(
                group="g",
                version=self.record.version + 1,
                term=wanted.term,
                primary=wanted.primary,
                change=wanted.change,
            )
        if not answered:
            self.act(change, change.store_unsure(self.now))
        elif stored:
            version = self.record.version
            self.act(change, change.stored(version, self.now))
        else:
            self.act(change, change.read(self.record, self.now))

    def promote(self, change, name):
        member = self.members[name]
        if not member.up:
            result = PromotionResult.REFUSED
            self.act(change, change.ordered(result, self.now))
            return
        self.ordered += 1
        self.at(PROMOTE, lambda: self.led(name))
        result = PromotionResult.ACCEPTED
        if self.random.random() < 0.2:
            result = PromotionResult.UNKNOWN
        self.act(change, change.ordered(result, self.now))

    def led(self, name):
        self.ordered -= 1
        member = self.members[name]
        if member.leads:
            return
        self.seen.counts["promoted"] += 1
        for number, vm in enumerate(self.vms):
            uses_other = vm.record.primary != name
            if uses_other and vm.record.change is None:
                if vm.proof.covers(self.now):
                    left = vm.proof.asked_at + PROOF_LIFE - self.now
                    self.seen.wrong.append(
                        f"vm{number} uses {vm.record.primary} for "
                        f"{left:.3f} s after {name} leads"
                    )
        member.term = max(m.term for m in self.members.values()) + 1
        member.leads = True
        for other in self.members.values():
            other.held = 0
            if other is not member and other.name != "m0":
                other.term = member.term
                other.leads = False


def explore_changes(
    count,
    *,
    wait=True,
    hold=True,
    finish=False,
    fence=True,
    relays=False,
    ages=True,
):
    """Run so many worlds, each with a seed of its own."""
    seen = Seen()
    for seed in range(count):
        world = ChangeWorld(
            seed,
            seen,
            wait=wait,
            hold=hold,
            finish=finish,
            fence=fence,
            relays=relays,
            ages=ages,
        )
        world.run()
    return seen


class ReadWorld:
    """One group whose primary commits while replicas apply late."""

    def __init__(self, seed, seen):
        self.random = random.Random(seed)
        self.seen = seen
        self.now = 100.0
        self.applied = {name: 0 for name in NAMES}
        self.commits = []
        self.group = GroupView(name="g")
        for name in NAMES:
            target = Target(
                name=name,
                address="127.0.0.1:1",
                availability_zone=name,
                site=name,
            )
            self.group.targets[name] = TargetNews(target=target, group="g")
        self.group.leadership = Leadership(
            group="g", version=1, term=1, primary="m0"
        )
        self.written = 0

    def run(self):
        for _ in range(60):
            self.now += self.random.uniform(0, 0.2)
            step = self.random.choice(
                (self.commit, self.apply, self.sample, self.read, self.read)
            )
            step()

    def commit(self):
        number = len(self.commits) + 1
        own = self.random.random() < 0.3
        self.commits.append((self.now, own))
        self.applied["m0"] = number
        if own:
            self.written = number

    def apply(self):
        for name in ("m1", "m2"):
            newest = len(self.commits)
            self.applied[name] = self.random.randint(
                self.applied[name], newest
            )

    def sample(self):
        self.group.proof.renew(self.now)
        self.group.samples.add(
            self.now, Position(term=1, index=len(self.commits))
        )

    def read(self):
        age = self.random.choice((0.5, 1.5, 2.5))
        route = Route(
            name="r",
            database="d",
            group="g",
            freshness=Freshness.OWN_WRITES,
            time_limit=1.0,
            objective=0.2,
            max_age=age,
        )
        needs = Needs(
            received_at=self.now,
            at_primary=False,
            written=Position(
                term=1 if self.written else 0, index=self.written
            ),
        )
        choice = choose(self.group, route, needs, zone="m1", now=self.now)
        if isinstance(choice, SendTo):
            self.check(choice, age)

    def check(self, choice, age):
        name = choice.news.target.name
        has = self.applied[name]
        after = choice.after
        if after is not None and has < after.index:
            self.seen.counts["behind"] += 1
            return
        self.seen.counts["replica" if name != "m0" else "primary"] += 1
        for number, (at, own) in enumerate(self.commits, 1):
            if (own or at < self.now - age) and number > has:
                self.seen.wrong.append(
                    f"a read at {name} has {has} and lacks {number}, "
                    f"{self.now - at:.3f} s old, own={own}"
                )
                return


def explore_reads(count):
    """Run so many histories."""
    seen = Seen()
    for seed in range(count):
        ReadWorld(seed, seen).run()
    return seen
