"""Simulated time, store, targets and links around the real controllers.

VMs run the real keepers of records, targets and entries, and the real runner
of changes. The links between VMs, targets and the store can be cut one by one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import heapq
import itertools
import random
from typing import Any

from bamboospring.blackboard import Target
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Deleted
from bamboospring.object_store import Found
from bamboospring.object_store import Missing
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.peers import PeerLost
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.record_settler import RecordSettler
from bamboospring.sessions.takeover_runner import TakeoverRunner
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_keeper import TargetKeeper
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.store_version import in_era
from bamboospring.store_version import version_of

__all__ = [
    "GROUP",
    "SimMember",
    "SimReactor",
    "SimStore",
    "SimVm",
    "Stage",
    "TARGET_KIND",
    "decode_member",
]

GROUP = "g"
TARGET_KIND = "servers"
PROMOTION_SECONDS = 0.6
# A former primary steps down this long after the new one has reached it.
STEP_DOWN_SECONDS = 1.0
MIN_LATENCY, MAX_LATENCY = 0.001, 0.02
LOST_SHARE = 0.02
# Members write their entries again within so many seconds after a restore.
WRITTEN_AGAIN = 2.0


class SimTimer:
    """A callback that runs once unless it is cancelled."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class SimReactor:
    """Runs callbacks in simulated time."""

    def __init__(self) -> None:
        self._now = 0.0
        self._timers: list[tuple[float, int, SimTimer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        return self._now

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> SimTimer:
        timer = SimTimer(callback)
        when = self._now + max(0.0, delay)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def run_until(self, end: float) -> None:
        while self._timers and self._timers[0][0] <= end:
            self._now, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                timer.callback()
        self._now = end


class VmReactor:
    """The reactor of one VM, which runs nothing while the VM is frozen."""

    def __init__(self, reactor: SimReactor) -> None:
        self.reactor = reactor
        self.frozen_until = -1e9

    def now(self) -> float:
        return self.reactor.now()

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> SimTimer:
        timer = SimTimer(callback)

        def run() -> None:
            rest = self.frozen_until - self.reactor.now()
            if rest > 0:
                self.reactor.call_later(rest, run)
            elif timer.callback is not None:
                timer.callback()

        self.reactor.call_later(delay, run)
        return timer


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store."""

    revision: int
    created: int
    value: Any


class SimStore:
    """Objects by kind and name, with one revision counter.

    `era` is the number of restores from an older copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.objects: dict[tuple[str, str], StoredObject] = {}

    @property
    def version(self) -> int:
        """Return the current version."""
        return version_of(era=self.era, revision=self.revision)

    def copy(self) -> SimStore:
        """Return a copy for `restore`."""
        made = SimStore()
        made.era = self.era
        made.revision, made.objects = self.revision, dict(self.objects)
        return made

    def restore(self, copy: SimStore) -> None:
        """Lose all that was written since a copy was made."""
        self.era += 1
        self.revision, self.objects = copy.revision, dict(copy.objects)

    def write(self, kind: str, name: str, value: Any) -> int:
        """Store an object unconditionally."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known.created if known else self.revision
        self.objects[kind, name] = StoredObject(self.revision, created, value)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1

    def state(self, kind: str, name: str) -> tuple[int, Any]:
        """Return an object's version and value, 0 if there is none."""
        if (kind, name) not in self.objects:
            return 0, None
        found = self.found(kind, name)
        return found.version, found.value

    def found(self, kind: str, name: str) -> Found:
        """Return an object as the VMs decode it."""
        stored = self.objects[kind, name]
        found = Found(
            kind=kind,
            name=name,
            version=stored.revision,
            value=stored.value,
            created=stored.created,
        )
        return in_era(found, self.era)


@dataclass(slots=True, kw_only=True, eq=False)
class SimMember:
    """A target, as far as proofs and changes of primary depend on it."""

    name: str
    term: int = 1
    is_primary: bool = False
    is_running: bool = True
    is_leaving: bool = False
    held_term: int = 0
    received_term: int = 1
    received_index: int = 5
    starts: int = 0

    def restart(self) -> None:
        """Start again under the same name; the held term is lost."""
        self.starts += 1
        self.is_running = True
        self.held_term = 0

    def report(self) -> TargetReport:
        return TargetReport(
            is_primary=self.is_primary,
            term=self.term,
            received_term=self.received_term,
            received_index=self.received_index,
            held_term=self.held_term,
        )

    def obey(self, order: Any) -> TargetReport:
        match order:
            case HoldTerm(term=term):
                newest = max(self.term, self.held_term)
                if not self.is_primary and term > newest:
                    self.held_term = term
            case ResumeReceiving():
                self.held_term = 0
            case StepDown(term=term):
                if self.is_primary and term > self.term:
                    self.is_primary = False
            case AskReport():
                pass
        return self.report()


class SimPlatform:
    """A VM's client of the store."""

    def __init__(self, stage: Stage, vm: str, reactor: VmReactor) -> None:
        self.stage = stage
        self.vm = vm
        self.reactor = reactor
        self.era = 0
        self.restored_at: float | None = None
        self.on_restored: list[Callable[[], None]] = []

    def may_be_incomplete(self, asked_at: float) -> bool:
        restored_at = self.restored_at
        return restored_at is not None and asked_at < (
            restored_at + WRITTEN_AGAIN
        )

    def _on_era(self, era: int) -> None:
        if era > self.era:
            self.era = era
            self.restored_at = self.reactor.now()
            for callback in self.on_restored:
                callback()

    def _call(
        self,
        act: Callable[[], Any],
        on_result: Callable[[Any], None],
        timeout: float | None,
    ) -> None:
        """Perform a call after its way; it may be lost on either way."""
        stage = self.stage
        lost = Unavailable(maybe_applied=True, retry_after=0.1)

        def arrive() -> None:
            result, era = act(), stage.store.era

            def answer() -> None:
                self._on_era(era)
                on_result(result)

            if stage.is_lost() or self.vm in stage.vms_without_store:
                give_up()
            else:
                self.reactor.call_later(stage.latency(), answer)

        def give_up() -> None:
            self.reactor.call_later(timeout or 1.0, lambda: on_result(lost))

        if stage.is_lost() or self.vm in stage.vms_without_store:
            give_up()
        else:
            stage.later(arrive)

    def list(
        self,
        kind: str,
        purpose: str,
        on_result: Callable[[Any], None],
        *,
        timeout: float | None = None,
    ) -> None:
        store = self.stage.store

        def act() -> Changes:
            objects = tuple(
                store.found(kind, name)
                for stored_kind, name in store.objects
                if stored_kind == kind
            )
            return Changes(objects=objects, revision=store.version)

        self._call(act, on_result, timeout)

    def get(
        self,
        kind: str,
        name: str,
        purpose: str,
        on_result: Callable[[Any], None],
        *,
        timeout: float | None = None,
    ) -> None:
        store = self.stage.store

        def act() -> Found | Missing:
            if (kind, name) not in store.objects:
                return Missing(kind=kind, name=name)
            return store.found(kind, name)

        self._call(act, on_result, timeout)

    def put(
        self,
        kind: str,
        name: str,
        if_version: int,
        value: Any,
        purpose: str,
        on_result: Callable[[Any], None],
        *,
        timeout: float | None = None,
    ) -> None:
        store = self.stage.store

        def act() -> Stored | Conflict:
            version, current = store.state(kind, name)
            if version != if_version:
                return Conflict(version=version, value=current)
            store.write(kind, name, value)
            return Stored(version=store.version)

        self._call(act, on_result, timeout)

    def delete(
        self,
        kind: str,
        name: str,
        if_version: int,
        purpose: str,
        on_result: Callable[[Any], None],
    ) -> None:
        store = self.stage.store

        def act() -> Deleted | Conflict:
            version, current = store.state(kind, name)
            if version not in (0, if_version):
                return Conflict(version=version, value=current)
            store.remove(kind, name)
            return Deleted()

        self._call(act, on_result, None)


class SimPeers:
    """A VM's links to the other VMs."""

    def __init__(self, stage: Stage, vm: str, reactor: VmReactor) -> None:
        self.stage = stage
        self.vm = vm
        self.reactor = reactor
        self.handlers: dict[str, Any] = {}

    def add_handler(self, kind: str, handler: Any) -> None:
        self.handlers[kind] = handler

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        stage, other = self.stage, self.stage.vms.get(address)
        answered: list[bool] = []

        def once(answer: Any) -> None:
            if not answered:
                answered.append(True)
                on_answer(answer)

        self.reactor.call_later(timeout, lambda: once(PeerLost(sent=True)))

        def arrive() -> None:
            if other is None or not stage.are_linked(self.vm, address):
                return
            handler = other.peers.handlers[message.which()]
            other.reactor.call_later(
                0.0, lambda: handler(message, answer_later)
            )

        def answer_later(answer: Any) -> None:
            if stage.are_linked(self.vm, address) and not stage.is_lost():
                self.reactor.call_later(stage.latency(), lambda: once(answer))

        if not stage.is_lost():
            stage.later(arrive)

    def ask_anew(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        self.ask(address, message, timeout, on_answer)


class SimControl:
    """A VM's control orders to targets."""

    def __init__(self, stage: Stage, vm: str, reactor: VmReactor) -> None:
        self.stage = stage
        self.vm = vm
        self.reactor = reactor

    def ask(
        self,
        group: Any,
        name: str,
        order: Any,
        timeout: float,
        on_report: Callable[[TargetReport | NoReport], None],
    ) -> None:
        stage, member = self.stage, self.stage.members.get(name)
        path = stage.path(self.vm, name)

        def answer(result: TargetReport | NoReport) -> None:
            self.reactor.call_later(stage.latency(), lambda: on_report(result))

        if member is None or not member.is_running or path == "refused":
            answer(NoReport(refused=True))
            return

        def arrive() -> None:
            if path == "silent" or stage.is_lost():
                rest = max(0.0, timeout - MAX_LATENCY)
                self.reactor.call_later(rest, lambda: on_report(NoReport()))
            elif not member.is_running:
                answer(NoReport())
            elif stage.rng.random() < stage.busy_share:
                answer(NoReport(busy=True))
            else:
                answer(member.obey(order))
                if isinstance(order, HoldTerm) and member.held_term:
                    stage.on_term_held(member)

        # A connection may have to be opened first, so some take longer.
        way = stage.latency() if stage.rng.random() < 0.9 else 0.2
        stage.reactor.call_later(way, arrive)


class SimPool:
    """The part of a pool that the keeper of targets uses."""

    share = None

    def set_share(self, share: Any) -> None:
        pass


class SimPools:
    """One pool for all targets."""

    def pool(self, target: Target) -> SimPool:
        return SimPool()


class SimLease:
    """The leader lease, which one VM after the other holds."""

    def __init__(self, stage: Stage, begin: float, end: float) -> None:
        self.stage = stage
        self.begin = begin
        self.end = end
        self.fence = int(begin * 1000) + 1

    @property
    def is_held(self) -> bool:
        return self.begin <= self.stage.reactor.now() < self.end

    def is_held_until(self, instant: float) -> bool:
        return self.is_held and instant < self.end


class SimOrders:
    """The service that promotes targets."""

    def __init__(self, stage: Stage, reactor: VmReactor) -> None:
        self.stage = stage
        self.reactor = reactor

    def promote(
        self, *, target: str, on_complete: Any, **_others: Any
    ) -> None:
        stage = self.stage
        member = stage.members.get(target)

        def arrive() -> None:
            result = PromotionResult.REFUSED
            if member is not None and member.is_running:
                result = PromotionResult.ACCEPTED
                stage.reactor.call_later(
                    PROMOTION_SECONDS, lambda: stage.complete_promotion(member)
                )
            self.reactor.call_later(
                stage.latency(), lambda: on_complete(result)
            )

        stage.reactor.call_later(stage.rng.uniform(0.001, 0.3), arrive)


class SimVm:
    """A VM with its controllers; `lease` is when it may lead changes."""

    def __init__(self, stage: Stage, name: str, lease: SimLease) -> None:
        unused: Any = None
        self.reactor = VmReactor(stage.reactor)
        reactor: Any = self.reactor
        self.name = name
        self.lease: Any = lease
        self.board = SessionBoard(vm=name, availability_zone="z")
        self.group = self.board.group(GROUP)
        platform: Any = SimPlatform(stage, name, reactor)
        self.peers: Any = SimPeers(stage, name, reactor)
        control: Any = SimControl(stage, name, reactor)
        pools: Any = SimPools()
        self.targets = TargetKeeper(
            reactor=reactor,
            board=self.board,
            platform=platform,
            pools=pools,
            kind=TARGET_KIND,
            decode_target=decode_member,
            leaving_timeout=7.0,
            zone_holders=unused,
        )
        self.registry = VmRegistry(
            reactor=reactor,
            board=self.board,
            platform=platform,
            local_vm=ListedVm(
                name=name, address=name, availability_zone="z", nonce=name
            ),
        )
        self.records = RecordKeeper(
            reactor=reactor,
            board=self.board,
            platform=platform,
            questions=control,
            can_take_proofs=self.registry.can_take_proofs,
            on_primary_failed=lambda group, primary: None,
        )
        self.releases = ProofReleases(
            reactor=reactor,
            board=self.board,
            peers=self.peers,
            registry=self.registry,
            records=self.records,
        )
        orders: Any = SimOrders(stage, reactor)
        self.runner = TakeoverRunner(
            reactor=reactor,
            board=self.board,
            platform=platform,
            questions=control,
            records=self.records,
            releases=self.releases,
            orders=orders,
            lease=self.lease,
            on_ended=lambda group: None,
        )
        # Begins a change with the record that is the latest one known.
        self.on_disagreed: Callable[[Any], None] = lambda record: None
        self.settler = RecordSettler(
            reactor=reactor,
            board=self.board,
            platform=platform,
            questions=control,
            records=self.records,
            releases=self.releases,
            is_leader=lambda: self.lease.is_held,
            on_settled=self.runner.reconcile,
            on_disagreed=lambda group, record: self.on_disagreed(record),
        )

    def start(self) -> None:
        self.targets.on_listed = self.on_targets_listed
        self.targets.start()

    def on_targets_listed(self) -> None:
        if self.registry.is_started:
            self.registry.on_targets_listed()
        else:
            self.registry.start(self.records.start)


def decode_member(found: Found) -> ListedTarget:
    """Decode a member's entry, which is whether it leaves and leads."""
    leaving, is_primary = found.value
    return ListedTarget(
        target=Target(
            name=found.name,
            address=f"{found.name}:1",
            availability_zone="z",
            site="z",
        ),
        group=GROUP,
        leaving=leaving,
        is_primary=is_primary,
        created=found.created,
    )


class Stage:
    """One group, its VMs and what connects them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.reactor = SimReactor()
        self.store = SimStore()
        self.members: dict[str, SimMember] = {}
        self.vms: dict[str, SimVm] = {}
        self.vms_without_store: set[str] = set()
        # The VMs that don't reach those with the store, by the name of their
        # island; VMs of one island reach each other.
        self.islands: dict[str, str] = {}
        # Members that don't reach the store, and pairs of a VM or a member
        # and a member that don't reach each other: `silent` or `refused`.
        self.members_without_store: set[str] = set()
        self.cut_paths: dict[tuple[str, str], str] = {}
        self.busy_share = 0.0
        self.lost_share = LOST_SHARE

    def write_record(self, *, term: int, primary: str) -> None:
        """Store the group's record."""
        record = PrimaryRecord(
            group=GROUP, version=0, term=term, primary=primary
        )
        self.store.write(RECORD_KIND, GROUP, encode_record(record))

    def latency(self) -> float:
        return self.rng.uniform(MIN_LATENCY, MAX_LATENCY)

    def later(self, callback: Callable[[], None]) -> None:
        self.reactor.call_later(self.latency(), callback)

    def is_lost(self) -> bool:
        return self.rng.random() < self.lost_share

    def are_linked(self, vm: str, other: str) -> bool:
        return self.islands.get(vm) == self.islands.get(other)

    def path(self, source: str, member: str) -> str:
        """Return ok, silent or refused."""
        return self.cut_paths.get((source, member), "ok")

    def complete_promotion(self, member: SimMember) -> None:
        """Make a member primary of the next term."""
        if not member.is_running or member.is_primary:
            return
        member.term = max(m.term for m in self.members.values()) + 1
        member.received_term = member.term
        member.held_term = 0
        member.is_primary = True
        self.on_promoted(member)

    def on_promoted(self, member: SimMember) -> None:
        """Handle a promotion that has taken effect."""

    def on_term_held(self, member: SimMember) -> None:
        """Handle that a member holds a term."""

    def announce(self, primary: SimMember) -> None:
        """Have the members that a primary reaches follow it."""
        for other in self.members.values():
            reaches = self.path(primary.name, other.name) == "ok"
            if other is primary or not other.is_running or not reaches:
                continue
            if other.is_primary and other.term < primary.term:
                self.reactor.call_later(
                    STEP_DOWN_SECONDS,
                    lambda m=other: step_down(m, primary.term),
                )
            elif not other.is_primary and (
                other.held_term <= primary.term >= other.term
            ):
                other.term = other.received_term = primary.term
                other.received_index = primary.received_index
                other.held_term = 0


def step_down(member: SimMember, term: int) -> None:
    if member.term < term:
        member.is_primary = False
