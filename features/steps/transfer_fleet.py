"""VMs that transfer configurations, under a simulated clock and network.

The relays of facts, the transfers, the keepers and the encoder are the real
ones, as are the messages. Links between regions and those of VMs transmit one
message after the other at their rate.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import random
from types import SimpleNamespace
from typing import Any

from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.peers import PeerLost
from bamboospring.peers import schema
from bamboospring.platform.store_objects import read_catalog
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.catalog_relay import CatalogRelay
from bamboospring.sessions.leader_lease import LeaseHolder
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.relay import FactRelay
from bamboospring.sessions.zone_holders import ZoneHolders
from features.steps.unanswered_steps import FakeClock

__all__ = ["FleetShape", "SimVm", "TransferFleet", "make_config"]

HTTP_BYTES = 300
# Packets of a message and how many of them are on their way: more would fill
# the queue before the slowest link, and nothing else would get through.
PACKET_BYTES = 8192
PACKETS_IN_FLIGHT = 4
STORE_SECONDS = 0.004


def make_config(version: int, routes: int, seed: int = 1) -> dict[str, Any]:
    """Return a configuration of about 250 bytes for each route."""
    rng = random.Random(seed)
    letters = "abcdefghijklmnopqrstuvwxyz"

    def route(number: int) -> dict[str, Any]:
        word = "".join(rng.choices(letters, k=10))
        database = f"{word}-{number}"
        return {
            "name": f"route-{database}",
            "database": database,
            "pathPrefix": f"/{word}",
            "kind": rng.choice(
                ("primary", "bounded_staleness", "read_your_writes")
            ),
            "service": f"group{rng.randrange(4)}",
            "timeoutMs": rng.choice((800, 1000, 2000, 3000)),
            "targetLatencyMs": rng.choice((205, 405, 805, 1005)),
            "priority": rng.randrange(3),
            "maxAttempts": 2,
            "description": "route of the load test " + word,
        }

    return {
        "version": version,
        "routes": [route(number) for number in range(routes)],
        "services": [
            {"name": f"group{n}", "maxConnections": 53} for n in range(4)
        ],
        "limits": {"transactionIdleMs": 3000},
    }


@dataclass(slots=True, kw_only=True)
class Pipe:
    """One direction of a link; messages wait for each other."""

    bytes_per_second: float
    free_at: float = 0.0
    sent_bytes: int = 0

    def send(self, size: int, now: float) -> float:
        """Return when the last byte has been sent."""
        self.sent_bytes += size
        self.free_at = max(now, self.free_at) + size / self.bytes_per_second
        return self.free_at


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """Number and kinds of VMs; bandwidths are in Mbit/s.

    The first `large` VMs of each zone have `large_mbps`.
    """

    vms: int = 86
    zones: int = 6
    regions: int = 2
    large: int = 2
    large_mbps: float = 100.0
    small_mbps: float = 5.0
    region_mbps: float = 30.0
    region_latency: float = 0.008
    load_control: bool = True
    # Whether VMs with a large link state a higher weight, by which they become
    # relays.
    weighted: bool = True

    def weight(self, mbps: float) -> int:
        return 4 if self.weighted and mbps == self.large_mbps else 1


class SimPeers:
    """The peers of one VM in the simulated network."""

    def __init__(self, fleet: TransferFleet, vm: str) -> None:
        self.fleet = fleet
        self.vm = vm
        self.handlers: dict[str, Callable[[Any, Any], None]] = {}

    def add_handler(self, kind: str, callback: Any) -> None:
        self.handlers[kind] = callback

    def ask(
        self,
        address: str,
        message: Any,
        timeout: float,
        on_answer: Any,
        *,
        min_protocol: int = 0,
    ) -> None:
        fleet = self.fleet
        answered = False

        def finish(answer: Any) -> None:
            nonlocal answered
            if not answered and fleet.vms[self.vm].is_running:
                answered = True
                on_answer(answer)

        def reply(answer: Any) -> None:
            data = answer.to_bytes()
            fleet.send(address, self.vm, data, lambda: finish(_read(data)))

        def arrived() -> None:
            received = _read(data)
            handler = fleet.vms[address].peers.handlers.get(received.which())
            if handler is not None:
                handler(received, reply)

        data = message.to_bytes()
        kind = message.which()
        fleet.asked[address, kind] += 1
        fleet.send(self.vm, address, data, arrived)
        fleet.clock.call_later(timeout, lambda: finish(PeerLost(sent=True)))


def _read(data: bytes) -> Any:
    with schema.Envelope.from_bytes(data) as message:
        return message.as_builder()


class SimStore:
    """The platform client of one VM: `fault` is busy, silent or empty."""

    era = 0
    restored_at = None

    def __init__(self, fleet: TransferFleet, vm: str) -> None:
        self.fleet = fleet
        self.vm = vm
        self.fault = ""
        self.large_reads = 0

    def may_be_incomplete(self, asked_at: float) -> bool:
        return False

    def list(self, kind: str, purpose: str, on_result: Any) -> None:
        self._call(lambda: self._answer(0, on_result), on_result, 2.5)

    def watch(
        self, kind: str, after: int, wait_ms: int, purpose: str, on: Any
    ) -> None:
        deadline = self.fleet.clock.now() + wait_ms / 1000

        def poll() -> None:
            fleet = self.fleet
            if fleet.stored[-1][0] > after or fleet.clock.now() >= deadline:
                self._answer(after, on)
            else:
                fleet.clock.call_later(0.02, poll)

        self._call(poll, on, wait_ms / 1000 + 0.6)

    def _call(self, act: Any, on_result: Any, timeout: float) -> None:
        fleet = self.fleet
        fleet.calls[self.vm] += 1
        failed = Unavailable(maybe_applied=False, retry_after=0.2)
        match self.fault:
            case "busy":
                fleet.clock.call_later(0.01, lambda: on_result(failed))
            case "silent":
                fleet.clock.call_later(timeout, lambda: on_result(failed))
            case _:
                fleet.clock.call_later(STORE_SECONDS, act)

    def _answer(self, after: int, on_result: Any) -> None:
        """Answer with all versions after a revision, as the store does."""
        fleet = self.fleet
        newer = [each for each in fleet.stored if each[0] > after]
        if not after:
            newer = newer[-1:]
        size = HTTP_BYTES + sum(each[2] for each in newer)
        self.large_reads += bool(newer)
        result = Changes(
            objects=tuple(
                Found(kind="config", name="main", version=each[0], value=value)
                for each in newer
                for value in (each[1],)
            ),
            revision=fleet.stored[-1][0],
        )
        fleet.transmit("", self.vm, size, lambda: on_result(result))


class SimVm:
    """One VM: its board, keeper, transfers and source of facts."""

    def __init__(
        self, fleet: TransferFleet, name: str, zone: str, mbps: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.mbps = mbps
        self.is_running = True
        self.in_force_at: dict[int, float] = {}
        self.versions: list[int] = []
        self.up = Pipe(bytes_per_second=mbps * 1e6 / 8)
        self.down = Pipe(bytes_per_second=mbps * 1e6 / 8)
        self.board = SessionBoard(
            vm=name,
            availability_zone=zone,
            key_lifetime=5.0,
            load_control=fleet.shape.load_control,
        )
        self.peers = SimPeers(fleet, name)
        self.store = SimStore(fleet, name)
        untyped: Any = SimpleNamespace(
            clock=fleet.clock, peers=self.peers, store=self.store
        )
        self.keeper = CatalogKeeper(
            reactor=untyped.clock,
            board=self.board,
            platform=untyped.store,
            kind="config",
            name="main",
            decode_catalog=fleet.decode,
            on_changed=lambda: self._note(fleet),
        )
        self.keeper.is_leader = lambda: fleet.leader == name
        self.transfers = CatalogRelay(
            reactor=untyped.clock,
            board=self.board,
            peers=untyped.peers,
            keeper=self.keeper,
            address=name,
            link_mbps=mbps,
        )
        self.lease = SimLease(fleet, name)
        stubs: Any = SimpleNamespace(
            registry=SimpleNamespace(local_vm=SimpleNamespace(address=name)),
            lease=self.lease,
            records=SimRecords(fleet.clock),
            targets=SimpleNamespace(
                listed=[],
                apply_relayed=lambda *_: None,
                read_directly=lambda: None,
            ),
        )
        self.facts = FactRelay(
            reactor=untyped.clock,
            board=self.board,
            peers=untyped.peers,
            registry=stubs.registry,
            lease=stubs.lease,
            records=stubs.records,
            targets=stubs.targets,
            catalog=self.keeper,
            catalog_relay=self.transfers,
            holders=ZoneHolders(local_vm=name),
            weight=fleet.shape.weight(mbps),
        )

    @property
    def serves_zone(self) -> bool:
        return self.facts._source.serves_zone

    def _note(self, fleet: TransferFleet) -> None:
        version = self.keeper.version
        self.versions.append(version)
        self.in_force_at[version] = fleet.clock.now()


class SimLease:
    """What a VM knows of the lease."""

    def __init__(self, fleet: TransferFleet, vm: str) -> None:
        self.fleet = fleet
        self.vm = vm
        self.known = ""

    @property
    def is_held(self) -> bool:
        return self.fleet.leader == self.vm

    def holder(self) -> str:
        return self.vm if self.is_held else self.known

    def holder_address(self) -> str:
        return self.holder()

    def record_holder(self, holder: LeaseHolder) -> None:
        if holder.version == self.fleet.term:
            self.known = holder.vm

    def last_seen_lease(self) -> Any:
        return SimpleNamespace(version=self.fleet.term, duration=1.6)

    def apply_relayed(self, *_: Any) -> None:
        pass


class SimRecords:
    """The records, which do not change."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock

    @property
    def read_at(self) -> float:
        return self.clock.now()

    def as_bytes(self) -> bytes:
        return b"[]"

    def pass_on_proofs(self) -> list[Any]:
        return []

    def apply_relayed(self, *_: Any) -> None:
        pass

    def read_directly(self) -> None:
        pass


@dataclass(eq=False, kw_only=True)
class TransferFleet:
    """VMs in zones and regions, a store in the first region, a leader."""

    shape: FleetShape = field(default_factory=FleetShape)
    clock: FakeClock = field(default_factory=FakeClock)
    leader: str = ""
    term: int = 1
    asked: Counter[tuple[str, str]] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    stored: list[tuple[int, Any, int]] = field(default_factory=list)
    vms: dict[str, SimVm] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        shape = self.shape
        self.clock.time = 100.0
        self._catalogs: dict[int, Any] = {}
        self._pipes = {
            (a, b): Pipe(bytes_per_second=shape.region_mbps * 1e6 / 8)
            for a in range(shape.regions)
            for b in range(shape.regions)
            if a != b
        }
        for number in range(shape.vms):
            is_large = number // shape.zones < shape.large
            name = f"vm{number}"
            self.vms[name] = SimVm(
                self,
                name,
                f"zone{number % shape.zones}",
                shape.large_mbps if is_large else shape.small_mbps,
            )

    def decode(self, found: Found) -> Any:
        """Decode a configuration; equal ones once, to save time."""
        key = id(found.value)
        if key not in self._catalogs:
            self._catalogs[key] = read_catalog(found)
        return self._catalogs[key]

    def region(self, vm: str) -> int:
        """Return the region of a VM; the store, "", is in region 0."""
        if not vm:
            return 0
        zone = int(self.vms[vm].zone.removeprefix("zone"))
        return zone * self.shape.regions // self.shape.zones

    def start(self, leader: str, *, large_relays: bool = True) -> None:
        """Start all VMs.

        With `large_relays`, the first VMs of a zone that ask have large links.
        Without weights the fourth VM that asks becomes the relay. With them
        the order does not decide; it lets many VMs first hear of a version
        from relays that are still receiving it.
        """
        rng = random.Random(2)
        asked: Counter[str] = Counter()
        for vm in sorted(self.vms.values(), key=lambda vm: -vm.mbps):
            vm.keeper.start()
            turn = asked[vm.zone]
            asked[vm.zone] += 1
            delay = rng.uniform(0.3, 0.6)
            if large_relays:
                delay = (0.15, 0.2, 0.0, 0.05)[turn] if turn < 4 else delay
            self.clock.call_later(delay, vm.facts.start)
        self.lead(leader)

    def lead(self, leader: str) -> None:
        """Let another VM become the leader, and tell the running VMs."""
        self.leader = leader
        self.term += 1
        for vm in self.vms.values():
            vm.lease.known = leader

    def store_config(self, value: Any, size: int) -> int:
        """Store a configuration and return its revision."""
        revision = self.stored[-1][0] + 7 if self.stored else 11
        self.stored.append((revision, value, size))
        return revision

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.now() + seconds)

    def send(
        self, source: str, to: str, data: bytes, arrived: Callable[[], None]
    ) -> None:
        def act() -> None:
            if self._is_up(to):
                arrived()

        if self._is_up(source):
            self.transmit(source, to, len(data) + 4, act)

    def _is_up(self, vm: str) -> bool:
        return self.vms[vm].is_running and vm not in self.unreachable

    def transmit(
        self, source: str, to: str, size: int, arrived: Callable[[], None]
    ) -> None:
        """Transmit bytes over the links between two VMs, "" is the store."""
        pipes = [self.vms[source].up] if source else []
        regions = self.region(source), self.region(to)
        latency = 0.0005
        if regions[0] != regions[1]:
            pipes.append(self._pipes[regions])
            latency = self.shape.region_latency
        pipes.append(self.vms[to].down)

        unsent, unarrived = size, size

        def send_next() -> None:
            """Send a packet; messages at the same time share the links."""
            nonlocal unsent
            packet = min(PACKET_BYTES, unsent)
            unsent -= packet
            if packet:
                forward(pipes, packet)

        def forward(left: list[Pipe], packet: int) -> None:
            if not left:
                self.clock.call_later(latency, lambda: pass_on(packet))
                return
            now = self.clock.now()
            done = left[0].send(packet, now)
            self.clock.call_later(
                done - now, lambda: forward(left[1:], packet)
            )

        def pass_on(packet: int) -> None:
            nonlocal unarrived
            unarrived -= packet
            if not unarrived:
                arrived()
            send_next()

        for _ in range(PACKETS_IN_FLIGHT):
            send_next()

    def crossed_bytes(self) -> int:
        """Return how many bytes were sent between regions."""
        return sum(pipe.sent_bytes for pipe in self._pipes.values())

    def running(self) -> list[SimVm]:
        return [vm for vm in self.vms.values() if vm.is_running]

    def relays(self) -> list[SimVm]:
        return [vm for vm in self.running() if vm.serves_zone]
