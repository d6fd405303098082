"""Generated runs of the real components with a fake platform and fake peers.

Five processes and a platform exchange messages and answers. Any of these may
be delivered, duplicated or dropped at any time; processes restart and the
platform fails. The checks are:

* At a live process no version decreases.
* A process that is ready with the platform's own table has at least the
  versions that it had before its restart.
* When all faults are over, every process has every edit.

Only two processes watch the platform, and none polls it, so that all changes
must spread through peers. With the default values the platform would deliver
them too, and faults of the exchange between peers would not be seen.

The runs fail with each of these faults seeded (by hand, in a scratch copy):

1.  spread.take_shard accepts older versions          a version decreases
2.  spread.take_shard accepts only the next version   an edit never arrives
3.  a fetch without an answer never ends              an edit never arrives
4.  a watch skips revisions of the platform           an edit never arrives
5.  facts are ready before the table is read          older than before
6.  facts are ready with the first neighbour's copy   older than before
7.  a VM asks no watcher for its groups               a record never arrives
8.  a watch stays busy after a failure                an edit never arrives
9.  peers compare versions only at the start          an edit never arrives
10. records received before the list of VMs are lost  a record never arrives
11. the digest of versions is constant                an edit never arrives
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import heapq
import itertools
from typing import Any
from unittest import mock

from circuits import Component
from circuits import Event
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.group_sync import vms_needing_group
from bamboospring.membership import Membership
from bamboospring.peers import PeerLost
from bamboospring.peers import schema
from bamboospring.platform_client import Changes
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import Unavailable
from bamboospring.platform_client import VmsFound
from bamboospring import platform_watch
from bamboospring import rendezvous
from bamboospring.rendezvous import Placement
from bamboospring.settings import Timing
from bamboospring.shared_facts import SharedFacts

__all__ = ["check_spread", "converged_runs"]

NAMES = ("vm-a", "vm-b", "vm-c", "vm-d", "vm-e")
GROUPS = ("g1",)
SHARDS = (0, 1)
WATCHER_COUNT = 2
DISABLED_CHECK_INTERVAL = 1e6
STEPS = 80
HEAL_SECONDS = 20
# Index of an undelivered message: mostly one of the oldest or the newest.
MESSAGE_INDEXES = (0, 0, 0, 1, 2, 3, 5, 8, -1, -1, -1, -2, -3, -5)
converged_runs = 0


class started(Event):
    """Event that the manager fires when it starts."""


@dataclass(slots=True, kw_only=True, eq=False)
class FakeTimer:
    """A timer of the fake reactor."""

    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Drop the callback."""
        self.callback = None


class Clock:
    """Simulated time of all processes, and their timers."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._timers: list[tuple[float, int, FakeTimer]] = []
        self._order = itertools.count()

    def call_at(self, when: float, callback: Callable[[], None]) -> FakeTimer:
        """Call back at a time."""
        timer = FakeTimer(callback=callback)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Advance the time and run the timers that are due."""
        end = self.now + seconds
        while self._timers and self._timers[0][0] <= end:
            when, _, timer = heapq.heappop(self._timers)
            self.now = max(self.now, when)
            if timer.callback is not None:
                timer.callback()
        self.now = end


class FakeReactor:
    """Reactor of one process; it calls nothing after the process ends."""

    def __init__(self, clock: Clock) -> None:
        self.alive = True
        self._clock = clock

    def now(self) -> float:
        """Return the simulated time."""
        return self._clock.now

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> FakeTimer:
        """Call back after a delay, unless the process has ended."""
        when = self._clock.now + delay
        return self._clock.call_at(when, self.guard(callback))

    def guard(self, callback: Callable[..., None]) -> Callable[..., None]:
        """Return a callback that does nothing after the process ends."""

        def call(*args: Any) -> None:
            if self.alive:
                callback(*args)

        return call


class FakePeers:
    """Sends messages to other processes through `World.undelivered`."""

    def __init__(self, world: World, name: str, reactor: FakeReactor) -> None:
        self.handlers: dict[str, Callable[[Any, Any], None]] = {}
        self.reactor = reactor
        self._world = world
        self._name = name
        self._ids = itertools.count(1)

    def add_handler(
        self, which: str, callback: Callable[[Any, Any], None]
    ) -> None:
        """Call back with messages of a kind."""
        self.handlers[which] = callback

    def send(self, address: str, message: Any) -> None:
        """Add a message to the undelivered ones."""
        message.id = 0
        data = message.to_bytes()
        self._put(lambda: self._deliver(address, data, None))

    def ask(
        self,
        address: str,
        message: Any,
        timeout: float,
        on_answer: Callable[[Any], None],
    ) -> None:
        """Add a request to the undelivered messages, and later its answer."""
        message.id = next(self._ids)
        data = message.to_bytes()
        open_ = [True]

        def answered(answer: Any) -> None:
            if open_[0]:
                open_[0] = False
                on_answer(answer)

        def reply(answer: bytes) -> None:
            def deliver() -> None:
                if self.reactor.alive:
                    with schema.Envelope.from_bytes(answer) as back:
                        answered(back)

            self._put(deliver)

        self.reactor.call_later(timeout, lambda: answered(PeerLost(sent=True)))
        self._put(lambda: self._deliver(address, data, reply))

    def _put(self, deliver: Callable[[], None]) -> None:
        if not self._world.blackout:
            self._world.undelivered.append(deliver)

    def _deliver(
        self, address: str, data: bytes, reply: Callable[[bytes], None] | None
    ) -> None:
        process = self._world.processes.get(address)
        if process is None:
            return

        def answer(message: Any) -> None:
            if reply is not None:
                reply(message.to_bytes())

        with schema.Envelope.from_bytes(data) as message:
            handler = process.peers.handlers.get(message.which())
            if handler is not None:
                handler(message, answer)


class FakePlatform:
    """Platform client of one process.

    An answer has the state at the time of the call, and may be delivered much
    later.
    """

    def __init__(self, world: World, reactor: FakeReactor) -> None:
        self._world = world
        self._reactor = reactor

    def get(self, kind: str, name: str, purpose: str, on_result: Any) -> None:
        """Read an object."""
        version, value = self._world.objects.get((kind, name), (0, None))
        result: Found | Missing = Missing(kind=kind, name=name)
        if version:
            result = Found(kind=kind, name=name, version=version, value=value)
        self._answer(result, on_result)

    def list(self, kind: str, purpose: str, on_result: Any) -> None:
        """Read all objects of a kind."""
        self._answer(self._changes(kind, 0), on_result)

    def watch(
        self, kind: str, after: int, wait_ms: int, purpose: str, on_result: Any
    ) -> None:
        """Read what has changed; a waiting watch is answered at its end."""
        if self._changes(kind, after).objects or wait_ms == 0:
            self._answer(self._changes(kind, after), on_result)
            return

        def look() -> None:
            self._answer(self._changes(kind, after), on_result)

        self._reactor.call_later(0.5, look)

    def vms(
        self, on_result: Any, *, purpose: str = "vms", after: int = 0
    ) -> None:
        """Read the list of VMs; it is omitted if the caller has it."""
        vms = None if after >= 1 else self._world.vms
        self._answer(VmsFound(revision=1, vms=vms), on_result)

    def _changes(self, kind: str, after: int) -> Changes:
        world = self._world
        objects = tuple(
            Found(kind=kind, name=name, version=version, value=value)
            for (its_kind, name), (version, value) in world.objects.items()
            if its_kind == kind and world.revisions[its_kind, name] > after
        )
        return Changes(objects=objects, revision=world.revision)

    def _answer(self, result: Any, on_result: Any) -> None:
        lost = Unavailable(maybe_applied=False, retry_after=0.3)
        answer = self._reactor.guard(on_result)
        open_ = [True]

        def deliver(what: Any) -> None:
            if open_[0]:
                open_[0] = False
                answer(what)

        if self._world.outage:
            self._reactor.call_later(0.05, lambda: deliver(lost))
            return
        self._world.undelivered.append(lambda: deliver(result))
        # A dropped answer ends as a timeout.
        self._reactor.call_later(2.0, lambda: deliver(lost))


class Process:
    """A process until its restart: the real component over fakes."""

    def __init__(self, world: World, name: str) -> None:
        self.reactor = FakeReactor(world.clock)
        self.board = Blackboard(local_vm=world.vm(name))
        self.peers = FakePeers(world, name, self.reactor)
        self.highest: dict[str, int] = {}
        self._root = Component()
        self.placement = Placement()
        self.facts = SharedFacts(
            reactor=self.reactor,  # type: ignore[arg-type]
            board=self.board,
            placement=self.placement,
            peers=self.peers,  # type: ignore[arg-type]
            platform=FakePlatform(world, self.reactor),  # type: ignore
            membership=Membership(),
            timing=Timing(),
            seeds=[other for other in NAMES if other != name],
            chance=lambda: 0.5,
        ).register(self._root)
        self._root.fire(started())
        self.settle()

    def settle(self) -> None:
        """Dispatch all events that were fired."""
        while len(self._root):
            self._root.flush()

    def versions(self) -> dict[str, int]:
        """Return the versions in force by object name."""
        found = {
            f"table/{number}": shard.version
            for number, shard in self.board.table.items()
        }
        for name, group in self.board.groups.items():
            found[f"group/{name}"] = group.record.version
        return found


class World:
    """All processes, the platform and the undelivered messages."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.undelivered: list[Callable[[], None]] = []
        self.outage = False
        self.blackout = False
        self.revision = 0
        self.objects: dict[tuple[str, str], tuple[int, Any]] = {}
        self.revisions: dict[tuple[str, str], int] = {}
        self.processes: dict[str, Process] = {}
        self.versions_before_restart: dict[str, dict[str, int]] = {}
        self.min_versions: dict[str, dict[str, int]] = {}
        self.vms = tuple(
            {
                "name": name,
                "address": name,
                "availability_zone": f"zone-{number % 3}",
                "region": "",
                "state": "live",
            }
            for number, name in enumerate(NAMES)
        )
        for group in GROUPS:
            self.edit("group", group)
        for name in NAMES:
            self.processes[name] = Process(self, name)

    def vm(self, name: str) -> Vm:
        """Return a VM of the list."""
        number = NAMES.index(name)
        zone = f"zone-{number % 3}"
        return Vm(name=name, address=name, availability_zone=zone)

    def edit(self, kind: str, name: str) -> None:
        """Accept an update of an object."""
        version = self.objects.get((kind, name), (0, None))[0] + 1
        value: dict[str, Any] = {"rows": {"g1": {"max_slots": version}}}
        if kind == "group":
            value = {"targets": [], "term": version}
        self.revision += 1
        self.objects[kind, name] = (version, value)
        self.revisions[kind, name] = self.revision

    def restart(self, name: str) -> None:
        """Stop a process and start it again."""
        old = self.processes[name]
        old.reactor.alive = False
        self.versions_before_restart[name] = old.highest
        # Drops minimums of other processes: the restarted one may have been
        # the only peer that had those versions.
        self.min_versions = {name: self._min_versions_without(name)}
        self.processes[name] = Process(self, name)

    def _min_versions_without(self, name: str) -> dict[str, int]:
        """Return the minimum table versions of all other processes."""
        others = [
            process.versions()
            for other, process in self.processes.items()
            if other != name
        ]
        return {
            f"table/{shard}": min(
                versions.get(f"table/{shard}", 0) for versions in others
            )
            for shard in SHARDS
        }

    def settle(self) -> None:
        """Dispatch all events, then check the invariants."""
        for name, process in self.processes.items():
            process.settle()
            self._check_versions(name, process)

    def run_without_loss(self, tenths: int) -> None:
        """Run for tenths of a second without losing a message."""
        for _ in range(tenths):
            self.clock.advance(0.1)
            self.settle()
            while self.undelivered:
                self.undelivered.pop(0)()
                self.settle()

    def heal(self) -> None:
        """Run for some time without any fault."""
        self.outage = False
        self.blackout = False
        self.run_without_loss(HEAL_SECONDS * 10)

    def check_all_equal(self) -> None:
        """Check that every process has every edit that it needs."""
        for name, process in self.processes.items():
            assert not process.board.starting, name
            found = process.versions()
            for (kind, item), (version, _) in self.objects.items():
                label = f"{kind}/{item}"
                needing = vms_needing_group(process.placement, item)
                if kind == "table" or name in needing:
                    assert found.get(label) == version, (name, label, found)
            assert process.board.group_names == set(GROUPS), name

    def _check_versions(self, name: str, process: Process) -> None:
        for label, version in process.versions().items():
            known = process.highest.get(label, 0)
            assert version >= known, f"{name} {label} {known} to {version}"
            process.highest[label] = version
        if process.board.starting:
            return
        pasts = [self.min_versions.pop(name, {})]
        if process.facts.table_from_platform:
            pasts.append(self.versions_before_restart.pop(name, {}))
        for past in pasts:
            for label, version in past.items():
                now = process.versions().get(label, 0)
                behind = label.startswith("table/") and now < version
                assert not behind, f"{name} {label} older than before"


MESSAGE_INDEX = strategies.sampled_from(MESSAGE_INDEXES)
DELIVER = strategies.tuples(strategies.just("deliver"), MESSAGE_INDEX)
SOME = strategies.tuples(strategies.just("some"), strategies.integers(1, 12))
EDIT = strategies.tuples(strategies.just("table"), strategies.just(0))
STEP = strategies.one_of(
    DELIVER,
    DELIVER,
    SOME,
    SOME,
    EDIT,
    EDIT,
    strategies.tuples(strategies.just("drop"), MESSAGE_INDEX),
    strategies.tuples(strategies.just("twice"), MESSAGE_INDEX),
    strategies.tuples(
        strategies.just("table"), strategies.sampled_from(SHARDS)
    ),
    strategies.tuples(
        strategies.just("group"), strategies.sampled_from(GROUPS)
    ),
    strategies.tuples(strategies.just("pass"), strategies.integers(1, 20)),
    strategies.tuples(strategies.just("calm"), strategies.integers(1, 6)),
    strategies.tuples(strategies.just("blackout"), strategies.booleans()),
    strategies.tuples(
        strategies.just("restart"), strategies.sampled_from(NAMES)
    ),
    strategies.tuples(strategies.just("outage"), strategies.booleans()),
)


def run_step(world: World, what: str, value: Any) -> None:
    """Run one generated step."""
    match what:
        case "table" | "group":
            world.edit(what, str(value))
        case "pass":
            world.clock.advance(value / 10)
        case "restart":
            world.restart(value)
        case "outage":
            world.outage = value
        case "calm":
            world.run_without_loss(value)
        case "blackout":
            world.blackout = value
        case "some":
            for _ in range(min(value, len(world.undelivered))):
                world.undelivered.pop(0)()
                world.settle()
        case _ if world.undelivered:
            index = min(value, len(world.undelivered) - 1)
            index = max(index, -len(world.undelivered))
            message = world.undelivered[index]
            if what != "twice":
                del world.undelivered[index]
            if what != "drop":
                message()
    world.settle()


def check_spread(runs: int) -> None:
    """Run `runs` generated runs; raise AssertionError on a fault."""

    @settings(
        max_examples=runs,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=strategies.lists(STEP, min_size=30, max_size=STEPS))
    def run(steps: list[tuple[str, Any]]) -> None:
        global converged_runs
        world = World()
        for what, value in steps:
            run_step(world, what, value)
        world.heal()
        world.check_all_equal()
        converged_runs += 1

    with (
        mock.patch.object(rendezvous, "PLATFORM_WATCHER_COUNT", WATCHER_COUNT),
        mock.patch.object(
            platform_watch, "SHORTEST_CHECK", DISABLED_CHECK_INTERVAL
        ),
    ):
        run()
