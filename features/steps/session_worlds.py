"""Simulated changes of primary and reads, with simulated time.

Each world has members with terms, a store with one record, VMs that take
proofs from the store and from targets, and one or two processes that lead a
change at the same time. Requests take time or are lost, and members restart.
The invariants are checked when a VM takes a proof and when a member becomes
primary.
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
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proofs import PROOF_LIFETIME
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.proofs import targets_confirm_primary
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
PROMOTION_DURATION = 0.6
# Seconds that other VMs wait before they take a lease that is older than the
# restore, and seconds that targets may disagree before their primary is
# replaced.
LEASE_WAIT = 3.0
DISAGREEMENT_TIMEOUT = 1.0
# An order to promote arrives within this many seconds or never.
ORDER_TIMEOUT = 0.6
REPORT_TIMEOUT = 0.5


@dataclass
class Seen:
    """What an exploration has found: violations and counts of events."""

    wrong: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)


@dataclass
class FakeMember:
    """A target, as far as a change of primary depends on it."""

    name: str
    term: int = 1
    held_term: int = 0
    is_primary: bool = False
    received_index: int = 5
    is_running: bool = True

    def report(self):
        return TargetReport(
            is_primary=self.is_primary,
            term=self.term,
            received_term=self.term,
            received_index=self.received_index,
            held_term=self.held_term,
        )


class FakeVm:
    """A VM: its record and its proof of the primary."""

    def __init__(self, world):
        self.reaches_store = True
        # When the newest read of the store, own or relayed, was sent.
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
    """The part of the reactor that a record keeper needs."""

    def __init__(self, world):
        self.now = lambda: world.now

    def call_later(self, delay, callback):
        pass


class ChangeWorld:
    """One simulation in which a primary is replaced.

    `wait` and `hold` are whether a change waits for proofs to expire and has a
    term held. `finish` is whether other VMs finish changes, and `fence`
    whether they check the version of the record when they do. With `relays`
    VMs pass records on, with their age if `ages` is set. With `restores` the
    store is restored from an older copy.
    """

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
        self.members["m0"].is_primary = True
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
        self.store_restored_at = None
        self.ordered = 0
        # When the lease passes from the first leader to the second one.
        self.lease_end = 1e9

    def schedule(self, delay, act):
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def run(self):
        for vm in self.vms:
            self.schedule(
                self.random.uniform(0, 0.5), lambda vm=vm: self.take_proof(vm)
            )
        self.schedule(self.random.uniform(0.5, 2.0), self.fail_primary)
        self.schedule(
            2.0 + self.random.uniform(0, 1), lambda: self.begin_as_leader(0)
        )
        if self.random.random() < 0.5:
            self.lease_end = 2.0 + self.random.uniform(0.5, 4.0)
            self.schedule(self.lease_end, lambda: self.begin_as_leader(1))
        self.schedule(self.random.uniform(2, 5), self.restart_replica)
        if self.restores:
            self.schedule(self.random.uniform(1.0, 8.0), self.restore_store)
        if self.finish:
            for _ in range(2):
                self.schedule(
                    self.random.uniform(2.5, 3.5), self.check_overdue
                )
        while self.events and self.now < 14.0:
            self.now, _order, act = heapq.heappop(self.events)
            act()

    def fail_primary(self):
        """The primary may fail, and some VMs lose access to the store."""
        draw = self.random.random()
        if draw < 0.5:
            self.members["m0"].is_running = False
        for vm in self.vms:
            vm.reaches_store = self.random.random() < 0.5

    def restart_replica(self):
        """A replica restarts and loses the term that it held."""
        member = self.members[self.random.choice(("m1", "m2"))]
        if not member.is_primary:
            member.held_term = 0
            self.seen.counts["started_again"] += 1

    # The store.

    def write(self, record):
        """Store a record; other objects take revisions in between."""
        self.revision += self.random.randint(1, 3)
        version = version_of(era=self.era, revision=self.revision)
        self.record = dataclasses.replace(record, version=version)
        self.states.append(self.record)

    def is_stored_version(self, version):
        """Return whether an update at this version would succeed."""
        return revision_of(version) == revision_of(self.record.version)

    def restore_store(self):
        """Restore the store from a copy that lacks some later records."""
        kept = self.random.randint(1, len(self.states))
        if kept < len(self.states):
            self.seen.counts["records_lost"] += 1
        self.states = self.states[:kept]
        self.era += 1
        revision = revision_of(self.states[-1].version)
        # The copy's revision, or one that writes of others have reached since.
        self.revision = self.random.randint(revision, self.revision)
        version = version_of(era=self.era, revision=revision)
        self.record = dataclasses.replace(self.states[-1], version=version)
        self.store_restored_at = self.now
        self.seen.counts["came_back"] += 1
        if self.lease_end > self.now:
            self.lease_end = min(
                self.lease_end, self.now + self.random.uniform(0.0, 3.0)
            )
            self.schedule(LEASE_WAIT, lambda: self.settle(1))
        self.schedule(self.random.uniform(0.0, 0.5), lambda: self.settle(0))

    def holds_lease(self, number, seconds=0.0):
        """Return whether a leader has the lease for so many more seconds."""
        if number == 0:
            return self.now + seconds < self.lease_end
        restored_at = self.store_restored_at
        waited = restored_at is None or self.now >= restored_at + LEASE_WAIT
        return self.now >= self.lease_end and (
            waited or self.lease_end < restored_at
        )

    def settle(self, number):
        """Settle the record periodically, as the leader."""
        self.schedule(0.2, lambda: self.settle(number))
        vm = self.vms[number]
        if not self.holds_lease(number):
            return
        vm.keeper.apply(self.record)
        if any(
            self.is_led_by_leader(c) and not c.is_over for c in self.changes
        ):
            return
        known, unsettled = vm.group.record, vm.group.unsettled
        if unsettled is None:
            return
        reports = {}

        def ask(name):
            member = self.members[name]
            if member.is_running and self.random.random() < 0.9:
                reports[name] = member.report()

        for name in NAMES:
            self.schedule(
                self.random.uniform(0.001, 0.15), lambda name=name: ask(name)
            )
        self.schedule(
            0.16, lambda: self.settle_or_replace(number, known, reports)
        )

    def settle_or_replace(self, number, known, reports):
        group = self.vms[number].group
        unsettled = group.unsettled
        if unsettled is None or group.record is not known:
            return
        if not self.holds_lease(number) or any(
            self.is_led_by_leader(c) and not c.is_over for c in self.changes
        ):
            return
        record = settled_record(known, unsettled, NAMES, reports)
        if record is not None:
            if self.is_stored_version(record.version):
                self.write(record)
                self.seen.counts["settled"] += 1
            return
        if self.now < self.store_restored_at + DISAGREEMENT_TIMEOUT:
            return
        self.seen.counts["replaced_unsettled"] += 1
        self.begin(
            number,
            TakeoverCause.UNSETTLED,
            latest_known_record(known, unsettled, reports),
        )

    def is_led_by_leader(self, change):
        return self.holds_lease(int(change.vm[2:]))

    # VMs.

    def take_proof(self, vm):
        self.schedule(
            self.random.uniform(0.2, 0.9), lambda: self.take_proof(vm)
        )
        asked_at = self.now
        if vm.group.unsettled is not None:
            self.ask_targets(vm, asked_at)
        way = self.random.uniform(0.001, 0.3)
        if self.relays and self.random.random() < 0.5:
            self.schedule(way, lambda: self.read_relay(vm, asked_at))
        elif vm.reaches_store:
            self.schedule(way, lambda: self.read_store(vm, asked_at))
        else:
            self.ask_targets(vm, asked_at)

    def read_store(self, vm, asked_at):
        record = self.record
        back = self.random.uniform(0.001, 0.3)
        self.schedule(back, lambda: self.apply_record(vm, record, asked_at))

    def read_relay(self, vm, asked_at):
        """Another VM passes its records on, with the age of its read."""
        relay = self.random.choice(
            [each for each in self.vms if each is not vm]
        )
        rows = orjson.loads(relay.keeper.as_bytes())
        age = max(0.0, self.now - relay.read_at) if self.ages else 0.0
        back = self.random.uniform(0.001, 0.3)
        self.seen.counts["proof_passed_on"] += 1
        self.schedule(back, lambda: self.apply_rows(vm, rows, asked_at - age))

    def apply_rows(self, vm, rows, asked_at):
        vm.read_at = max(vm.read_at, asked_at)
        vm.keeper.apply_relayed(rows, asked_at, self.now)
        self.check_proof(vm)

    def apply_record(self, vm, record, asked_at):
        vm.read_at = max(vm.read_at, asked_at)
        vm.keeper.apply(record, asked_at)
        if record.change is None:
            self.seen.counts["proof_by_store"] += 1
        self.check_proof(vm)

    def check_proof(self, vm):
        """Check that no primary of a later term exists beside a proven one."""
        record = vm.record
        if record.change is not None or not vm.proof.covers(self.now):
            return
        for name, member in self.members.items():
            if name == record.primary or not member.is_primary:
                continue
            if member.term > record.term:
                self.seen.wrong.append(
                    f"{record.primary} of term {record.term} was proven "
                    f"while {name} was primary of term {member.term}"
                )

    def ask_targets(self, vm, asked_at):
        record = vm.record
        others = [name for name in NAMES if name != record.primary]
        reports = {}

        def ask(name):
            member = self.members[name]
            if member.is_running and self.random.random() < 0.95:
                reports[name] = member.report()

        for name in NAMES:
            self.schedule(
                self.random.uniform(0.001, 0.3), lambda name=name: ask(name)
            )

        def judge():
            if vm.record is not record or record.change is not None:
                return
            if targets_confirm_primary(
                record.primary, others, reports, record.term
            ):
                self.seen.counts["proof_by_targets"] += vm.proof.covers(
                    self.now
                )
                vm.proof.extend(asked_at, self.now)
                self.check_proof(vm)

        self.schedule(0.4, judge)

    # VMs that finish a change whose leader may have failed.

    def check_overdue(self):
        self.schedule(self.random.uniform(0.2, 0.6), self.check_overdue)
        record = self.record
        if record.change is None:
            return
        reports = {}

        def ask(name):
            member = self.members[name]
            if member.is_running and self.random.random() < 0.9:
                reports[name] = member.report()

        for name in NAMES:
            if name != record.primary:
                self.schedule(
                    self.random.uniform(0.001, 0.3),
                    lambda name=name: ask(name),
                )
        self.schedule(0.4, lambda: self.finish_change(record, reports))

    def finish_change(self, record, reports):
        finished = finished_record(record, reports)
        if finished is None:
            return
        # The update may be in flight for longer than those of other VMs.
        self.schedule(
            self.random.uniform(0.001, 1.0),
            lambda: self.store_finished(finished),
        )

    def store_finished(self, finished):
        if self.fence and not self.is_stored_version(finished.version):
            return
        self.seen.counts["finished"] += 1
        self.write(finished)

    # Changes.

    def begin_as_leader(self, number):
        if not self.holds_lease(number) or not self.record.is_current:
            return
        cause = TakeoverCause.UNREACHED if number else TakeoverCause.GONE
        self.begin(number, cause, self.record)

    def begin(self, number, cause, record):
        """Begin a change; a VM leads at most one at a time."""
        if any(
            self.is_led_by_leader(c) and not c.is_over for c in self.changes
        ):
            return
        change = Takeover(
            vm=f"vm{number}",
            nonce=f"nonce{len(self.changes)}",
            cause=cause,
            record=record,
            targets=NAMES,
            created=dict.fromkeys(NAMES, 1),
            **self.group_state(),
        )
        self.changes.append(change)
        if len(self.changes) == 2:
            self.seen.counts["by_two"] += 1
        self.execute(change, change.begin(self.now))
        self.tick(change)

    def group_state(self):
        """Return what else a leader knows of the group."""
        return {}

    def tick(self, change):
        if change.is_over:
            return
        self.schedule(0.1, lambda: self.tick(change))
        if not self.wait and change.phase is TakeoverPhase.WAIT:
            self.execute(change, change.on_proofs_released(self.now))
            return
        self.execute(change, change.tick(self.now))

    def may_lead(self, change, seconds=0.0):
        """Return whether the change's leader has the lease for that long."""
        return self.holds_lease(int(change.vm[2:]), seconds)

    def execute(self, change, actions):
        if not self.may_lead(change):
            return
        for action in actions:
            ordering = isinstance(action, OrderPromotion)
            if ordering and not self.may_lead(change, ORDER_TIMEOUT):
                result = PromotionResult.NOT_SENT
                self.execute(
                    change, change.on_promotion_result(result, self.now)
                )
                continue
            if self.random.random() < 0.05:
                self.seen.counts["lost"] += 1
                if isinstance(action, StoreRecord):
                    self.store(change, action, answered=False)
                elif isinstance(action, SendToTarget):
                    self.report_nothing(change, action.target)
                continue
            way = self.random.uniform(0.001, 0.15)
            if ordering:
                way = self.random.uniform(0.001, ORDER_TIMEOUT)
            self.schedule(way, lambda a=action: self.handle_action(change, a))

    def report_nothing(self, change, name):
        """The leader gives up waiting for a target's report."""
        self.schedule(
            REPORT_TIMEOUT,
            lambda: change.on_no_report(name),
        )

    def handle_action(self, change, action):
        match action:
            case SendToTarget(target=name, order=order):
                self.send_order(change, name, order)
            case StoreRecord():
                self.store(change, action, answered=True)
            case ReadRecord():
                self.execute(
                    change, change.on_record_read(self.record, self.now)
                )
            case OrderPromotion(target=name):
                self.promote(change, name)

    def send_order(self, change, name, order):
        member = self.members[name]
        if not member.is_running:
            self.execute(change, change.on_report(name, None, self.now))
            return
        match order:
            case HoldTerm(term=term):
                newest = max(member.term, member.held_term)
                if not member.is_primary and term > newest and self.hold:
                    member.held_term = term
                report = member.report()
                if not self.hold:
                    report = TargetReport(
                        is_primary=False,
                        term=member.term,
                        received_term=member.term,
                        received_index=member.received_index,
                        held_term=term,
                    )
            case StepDown(term=term):
                if member.is_primary and member.term < term:
                    member.is_primary = False
                report = member.report()
            case AskReport():
                report = member.report()
                if not self.hold and name in change.outstanding.held_since:
                    report = TargetReport(
                        is_primary=member.is_primary,
                        term=member.term,
                        received_term=member.term,
                        received_index=member.received_index,
                        held_term=change.term,
                    )
        back = self.random.uniform(0.001, 0.15)
        self.schedule(
            back,
            lambda: self.execute(
                change, change.on_report(name, report, self.now)
            ),
        )

    def store(self, change, action, *, answered):
        wanted = action.record
        stored = self.is_stored_version(wanted.version)
        if stored:
            self.write(wanted)
        if not answered or stored and era_of(wanted.version) != self.era:
            self.execute(change, change.on_store_unanswered(self.now))
        elif stored:
            version = self.record.version
            self.execute(change, change.on_stored(version, self.now))
        else:
            self.execute(change, change.on_record_read(self.record, self.now))
        if change.is_waiting:
            way = self.random.uniform(0.001, 0.15)
            self.schedule(way, lambda: self.list_vms(change))

    def list_vms(self, change):
        """The leader reads the list of VMs; none of them releases a proof."""
        lists = {f"vm{number}": 1 for number in range(len(self.vms))}
        self.execute(change, change.on_vms_listed(lists, self.now))

    def promote(self, change, name):
        member = self.members[name]
        if not member.is_running:
            result = PromotionResult.REFUSED
            self.execute(change, change.on_promotion_result(result, self.now))
            return
        self.ordered += 1
        self.schedule(
            PROMOTION_DURATION, lambda: self.complete_promotion(name)
        )
        result = PromotionResult.ACCEPTED
        if self.random.random() < 0.2:
            result = PromotionResult.UNKNOWN
        self.execute(change, change.on_promotion_result(result, self.now))

    def complete_promotion(self, name):
        self.ordered -= 1
        member = self.members[name]
        newest = max(m.term for m in self.members.values())
        if member.is_primary and member.term == newest:
            return
        self.seen.counts["promoted"] += 1
        for number, vm in enumerate(self.vms):
            uses_other = vm.record.primary != name
            if uses_other and vm.record.change is None:
                if vm.proof.covers(self.now):
                    remaining = vm.proof.asked_at + PROOF_LIFETIME - self.now
                    self.seen.wrong.append(
                        f"vm{number} uses {vm.record.primary} for "
                        f"{remaining:.3f} s after {name} is primary"
                    )
        member.term = newest + 1
        member.is_primary = True
        for other in self.members.values():
            other.held_term = 0
            if other is not member and other.name != "m0":
                other.term = member.term
                other.is_primary = False


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
    """Run `count` simulations of changes, each with its own seed."""
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
    """One group whose primary commits while its replicas lag."""

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
    """Run `count` simulations of reads, each with its own seed."""
    seen = Seen()
    for seed in range(count):
        ReadWorld(seed, seen).run()
    return seen
