"""Explored worlds: changes of primary and reads, with simulated time.

Each world has members with terms, a store with one record, VMs that take
proofs in both ways, and one or two processes that lead a change at the same
time. Questions and orders take time, are lost, and members start again. What
must hold is checked at the moment at which a member begins to lead.
"""

from __future__ import annotations

from collections import Counter
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

import orjson

from bamboospring.blackboard import Target
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.overdue_change import finished_record
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.proofs import others_confirm_term
from bamboospring.sessions.proofs import PROOF_LIFETIME
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.settled_record import latest_known_record
from bamboospring.sessions.settled_record import settled_record
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import ReadRecord
from bamboospring.sessions.takeover import SendToTarget
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover import TakeoverPhase
from bamboospring.sessions.target_choice import choose_target
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.target_choice import TargetRequirements
from bamboospring.statements import Position
from bamboospring.store_version import era_of
from bamboospring.store_version import revision_of
from bamboospring.store_version import version_of

__all__ = ["Seen", "explore_changes", "explore_reads"]

NAMES = ("m0", "m1", "m2")
PROMOTE = 0.6
# What others wait before they take a lease of before the store's return, and
# how long targets may disagree before their primary is replaced.
LEASE = 3.0
SETTLE_PATIENCE = 1.0
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
        return TargetReport(
            is_primary=self.leads,
            term=self.term,
            received_term=self.term,
            received_index=self.received,
            held_term=self.held,
        )


class FakeVm:
    """A VM: what it believes of the primary, and until when."""

    def __init__(self, world):
        self.reaches_store = True
        # When the newest read of the store, its own or passed on, was sent.
        self.read_at = -1e9
        board = SessionBoard(vm="vm", availability_zone="z")
        self.group = board.group("g")
        self.keeper = RecordKeeper(
            reactor=world,
            board=board,
            platform=None,
            questions=None,
            can_take_proofs=lambda now: True,
            on_primary_failed=lambda group, primary: None,
        )

    @property
    def record(self):
        return self.group.record

    @property
    def proof(self):
        return self.group.proof


class Clock:
    """What a record keeper needs of the reactor."""

    def __init__(self, world):
        self.now = lambda: world.now

    def call_later(self, delay, callback):
        pass


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
        restores=False,
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
        self.restores = restores
        self.era = 1
        self.revision = 1
        self.states = []
        self.write(
            PrimaryRecord(group="g", version=0, term=1, primary="m0", era=1)
        )
        self.vms = [FakeVm(Clock(self)) for _ in range(3)]
        for vm in self.vms:
            vm.keeper.apply(self.record)
        self.changes = []
        self.unsettled_at = None
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
        if self.restores:
            self.at(self.random.uniform(1.0, 8.0), self.come_back)
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

    # The store.

    def write(self, record):
        """Take a record at the next revision; others get revisions too."""
        self.revision += self.random.randint(1, 3)
        version = version_of(era=self.era, revision=self.revision)
        self.record = dataclasses.replace(record, version=version)
        self.states.append(self.record)

    def is_at(self, version):
        """Tell whether a conditional update would be done."""
        return revision_of(version) == revision_of(self.record.version)

    def come_back(self):
        """Come back from a copy, at which some later records are lost."""
        kept = self.random.randint(1, len(self.states))
        if kept < len(self.states):
            self.seen.counts["records_lost"] += 1
        self.states = self.states[:kept]
        self.era += 1
        revision = revision_of(self.states[-1].version)
        # Of the copy, or of what others wrote since.
        self.revision = self.random.randint(revision, self.revision)
        version = version_of(era=self.era, revision=revision)
        self.record = dataclasses.replace(self.states[-1], version=version)
        self.unsettled_at = self.now
        self.seen.counts["came_back"] += 1
        if self.lease_end > self.now:
            self.lease_end = min(
                self.lease_end, self.now + self.random.uniform(0.0, 3.0)
            )
            self.at(LEASE, lambda: self.settle(1))
        self.at(self.random.uniform(0.0, 0.5), lambda: self.settle(0))

    def leads(self, number, seconds=0.0):
        """Tell whether one of two VMs has the lease for so many seconds."""
        if number == 0:
            return self.now + seconds < self.lease_end
        came_back = self.unsettled_at
        waited = came_back is None or self.now >= came_back + LEASE
        return self.now >= self.lease_end and (
            waited or self.lease_end < came_back
        )

    def settle(self, number):
        """Settle the record as the VM that leads, until it is settled."""
        self.at(0.2, lambda: self.settle(number))
        vm = self.vms[number]
        if not self.leads(number):
            return
        vm.keeper.apply(self.record)
        if any(self.leads_by(c) and not c.is_over for c in self.changes):
            return
        known, unsettled = vm.group.record, vm.group.unsettled
        if unsettled is None:
            return
        reports = {}

        def ask(name):
            member = self.members[name]
            if not member.up:
                reports[name] = None
            elif self.random.random() < 0.9:
                reports[name] = member.report()

        for name in NAMES:
            self.at(
                self.random.uniform(0.001, 0.15), lambda name=name: ask(name)
            )
        self.at(0.16, lambda: self.judge_settled(number, known, reports))

    def judge_settled(self, number, known, reports):
        group = self.vms[number].group
        unsettled = group.unsettled
        if unsettled is None or group.record is not known:
            return
        if not self.leads(number) or any(
            self.leads_by(c) and not c.is_over for c in self.changes
        ):
            return
        record = settled_record(known, unsettled, NAMES, reports)
        if record is not None:
            if self.is_at(record.version):
                self.write(record)
                self.seen.counts["settled"] += 1
            return
        if self.now < self.unsettled_at + SETTLE_PATIENCE:
            return
        self.seen.counts["replaced_unsettled"] += 1
        self.begin(
            number,
            TakeoverCause.UNSETTLED,
            latest_known_record(known, unsettled, reports),
        )

    def leads_by(self, change):
        return self.leads(int(change.vm[2:]))

    # VMs.

    def prove(self, vm):
        self.at(self.random.uniform(0.2, 0.9), lambda: self.prove(vm))
        asked_at = self.now
        if vm.group.unsettled is not None:
            self.ask_targets(vm, asked_at)
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
        rows = orjson.loads(relay.keeper.as_bytes())
        age = max(0.0, self.now - relay.read_at) if self.ages else 0.0
        back = self.random.uniform(0.001, 0.3)
        self.seen.counts["proof_passed_on"] += 1
        self.at(back, lambda: self.take_rows(vm, rows, asked_at - age))

    def take_rows(self, vm, rows, asked_at):
        vm.read_at = max(vm.read_at, asked_at)
        vm.keeper.apply_relayed(rows, asked_at, self.now)
        self.check_proof(vm)

    def take(self, vm, record, asked_at):
        vm.read_at = max(vm.read_at, asked_at)
        vm.keeper.apply(record, asked_at)
        if record.change is None:
            self.seen.counts["proof_by_store"] += 1
        self.check_proof(vm)

    def check_proof(self, vm):
        """A proof must not be of one beside which a later primary leads."""
        record = vm.record
        if record.change is not None or not vm.proof.covers(self.now):
            return
        for name, member in self.members.items():
            if name == record.primary or not member.leads:
                continue
            if member.term > record.term:
                self.seen.wrong.append(
                    f"{record.primary} of term {record.term} was proven "
                    f"while {name} led term {member.term}"
                )

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
            if others_confirm_term(others, reports, record.term):
                vm.proof.renew(asked_at)
                self.seen.counts["proof_by_targets"] += 1
                self.check_proof(vm)

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
        if self.fence and not self.is_at(finished.version):
            return
        self.seen.counts["finished"] += 1
        self.write(finished)

    # Changes.

    def lead(self, number):
        if not self.leads(number) or not self.record.is_current:
            return
        cause = TakeoverCause.UNREACHED if number else TakeoverCause.GONE
        self.begin(number, cause, self.record)

    def begin(self, number, cause, record):
        """Begin a change; a VM leads one at a time."""
        if any(self.leads_by(c) and not c.is_over for c in self.changes):
            return
        change = Takeover(
            vm=f"vm{number}",
            nonce=f"nonce{len(self.changes)}",
            cause=cause,
            record=record,
            targets=NAMES,
        )
        self.changes.append(change)
        if len(self.changes) == 2:
            self.seen.counts["by_two"] += 1
        self.act(change, change.begin(self.now))
        self.tick(change)

    def tick(self, change):
        if change.is_over:
            return
        self.at(0.1, lambda: self.tick(change))
        if not self.wait and change.phase is TakeoverPhase.WAIT:
            self.act(change, change.on_proofs_released(self.now))
            return
        self.act(change, change.tick(self.now))

    def may_act(self, change, seconds=0.0):
        """Tell whether the lease is the change's for so many seconds."""
        return self.leads(int(change.vm[2:]), seconds)

    def act(self, change, actions):
        if not self.may_act(change):
            return
        for action in actions:
            ordering = isinstance(action, OrderPromotion)
            if ordering and not self.may_act(change, ORDER_TIMEOUT):
                result = PromotionResult.NOT_SENT
                self.act(change, change.on_promotion_result(result, self.now))
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
            case SendToTarget(target=name, order=order):
                self.tell(change, name, order)
            case StoreRecord():
                self.store(change, action, answered=True)
            case ReadRecord():
                self.act(change, change.on_record_read(self.record, self.now))
            case OrderPromotion(target=name):
                self.promote(change, name)

    def tell(self, change, name, order):
        member = self.members[name]
        if not member.up:
            self.act(change, change.on_report(name, None, self.now))
            return
        match order:
            case HoldTerm(term=term):
                newest = max(member.term, member.held)
                if not member.leads and term > newest and self.hold:
                    member.held = term
                report = member.report()
                if not self.hold:
                    report = TargetReport(
                        is_primary=False,
                        term=member.term,
                        received_term=member.term,
                        received_index=member.received,
                        held_term=term,
                    )
            case AskReport():
                report = member.report()
                if not self.hold and name == change.term_holder:
                    report = TargetReport(
                        is_primary=member.leads,
                        term=member.term,
                        received_term=member.term,
                        received_index=member.received,
                        held_term=change.term,
                    )
        back = self.random.uniform(0.001, 0.15)
        self.at(
            back,
            lambda: self.act(change, change.on_report(name, report, self.now)),
        )

    def store(self, change, action, *, answered):
        wanted = action.record
        stored = self.is_at(wanted.version)
        if stored:
            self.write(wanted)
        if not answered or stored and era_of(wanted.version) != self.era:
            self.act(change, change.on_store_unanswered(self.now))
        elif stored:
            version = self.record.version
            self.act(change, change.on_stored(version, self.now))
        else:
            self.act(change, change.on_record_read(self.record, self.now))

    def promote(self, change, name):
        member = self.members[name]
        if not member.up:
            result = PromotionResult.REFUSED
            self.act(change, change.on_promotion_result(result, self.now))
            return
        self.ordered += 1
        self.at(PROMOTE, lambda: self.led(name))
        result = PromotionResult.ACCEPTED
        if self.random.random() < 0.2:
            result = PromotionResult.UNKNOWN
        self.act(change, change.on_promotion_result(result, self.now))

    def led(self, name):
        self.ordered -= 1
        member = self.members[name]
        newest = max(m.term for m in self.members.values())
        if member.leads and member.term == newest:
            return
        self.seen.counts["promoted"] += 1
        for number, vm in enumerate(self.vms):
            uses_other = vm.record.primary != name
            if uses_other and vm.record.change is None:
                if vm.proof.covers(self.now):
                    left = vm.proof.asked_at + PROOF_LIFETIME - self.now
                    self.seen.wrong.append(
                        f"vm{number} uses {vm.record.primary} for "
                        f"{left:.3f} s after {name} leads"
                    )
        member.term = newest + 1
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
    restores=False,
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
            restores=restores,
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
        self.group = SessionGroup(name="g")
        for name in NAMES:
            target = Target(
                name=name,
                address="127.0.0.1:1",
                availability_zone=name,
                site=name,
            )
            self.group.targets[name] = ListedTarget(target=target, group="g")
        self.group.record = PrimaryRecord(
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
        needs = TargetRequirements(
            received_at=self.now,
            at_primary=False,
            last_commit=Position(
                term=1 if self.written else 0, index=self.written
            ),
        )
        choice = choose_target(
            self.group, route, needs, zone="m1", now=self.now
        )
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
