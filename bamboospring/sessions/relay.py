"""Get facts from the leader instead of from the platform.

Each VM on its own would read the records, the targets and the configuration
about three times a second. The leader reads them anyway, so other VMs ask it,
or the VM that it has named as the relay of their zone. They read the store
only if neither answers or the facts are too old.

A relayed proof keeps its age: the receiver counts from before it asked, and
subtracts the age that the answer states. Time in transit therefore makes a
proof older, never younger, over any number of hops.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson
import xxhash

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.catalog_relay import CatalogRelay
from bamboospring.sessions.catalog_relay import CatalogSource
from bamboospring.sessions.freshness import Sample
from bamboospring.sessions.leader_lease import LeaderLease
from bamboospring.sessions.leader_lease import LeaseHolder
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.target_keeper import TargetKeeper
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.sessions.vm_weight import MIN_WEIGHT
from bamboospring.sessions.vm_weight import received_weight
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.sessions.zone_relays import AskLeader
from bamboospring.sessions.zone_relays import AskRelay
from bamboospring.sessions.zone_relays import Assignment
from bamboospring.sessions.zone_relays import FactRequester
from bamboospring.sessions.zone_relays import FactSource
from bamboospring.sessions.zone_relays import ServeZone
from bamboospring.sessions.zone_relays import ZoneMembers
from bamboospring.sessions.zone_relays import ZoneRelays
from bamboospring.statements import Position

__all__ = [
    "FactRelay",
    "decode_targets",
    "decode_vms",
    "digest",
    "encode_targets",
    "encode_vms",
    "spread_samples",
]

# Seconds between two requests to the leader, and the timeout of each.
REQUEST_INTERVAL = 0.6
REQUEST_TIMEOUT = 0.4
# Seconds between two requests of a relay; the facts that it passes on are
# older by at most this.
RELAY_REQUEST_INTERVAL = 0.2
# Maximum ages of facts in seconds; a VM reads older ones from the store
# itself. A change of configuration must be in force within 3 s.
MAX_PROOF_AGE = 1.0
MAX_TARGETS_AGE = 3.0
MAX_CATALOG_AGE = 1.5
# Samples of this many seconds are passed on, at most this many of each group,
# so that a VM that misses one answer can still serve its reads.
SAMPLE_SPAN = 2 * REQUEST_INTERVAL
MAX_SAMPLES = 4
# Seconds for which relayed facts replace a VM's own reads of the store.
RELAYED_LIFETIME = REQUEST_INTERVAL + REQUEST_TIMEOUT + 0.1


def encode_targets(targets: list[ListedTarget]) -> bytes:
    """Encode targets for other VMs."""
    rows = [
        (
            listed.target.name,
            listed.target.address,
            listed.target.availability_zone,
            listed.target.slots,
            listed.target.born,
            listed.group,
            listed.leaving,
            listed.is_primary,
        )
        for listed in sorted(targets, key=lambda listed: listed.target.name)
    ]
    return orjson.dumps(rows)


def decode_targets(data: bytes) -> list[ListedTarget]:
    """Decode targets from another VM."""
    return [
        ListedTarget(
            target=Target(
                name=name,
                address=address,
                availability_zone=zone,
                site=zone,
                slots=slots,
                born=born,
            ),
            group=group,
            leaving=leaving,
            is_primary=is_primary,
        )
        for name, address, zone, slots, born, group, leaving, is_primary in (
            orjson.loads(data)
        )
    ]


def encode_vms(vms: Iterable[ZoneVm], *, with_weights: bool) -> bytes:
    """Encode the VMs of a zone for another VM.

    VMs of older releases accept rows of two only; such a row means weight 1.
    """
    return orjson.dumps(
        [
            (
                (vm.name, vm.address, vm.weight)
                if with_weights and vm.weight != MIN_WEIGHT
                else (vm.name, vm.address)
            )
            for vm in vms
        ]
    )


def decode_vms(data: bytes) -> tuple[ZoneVm, ...]:
    """Decode the VMs of a zone, with or without their weights."""
    return tuple(
        ZoneVm(
            name=name,
            address=address,
            weight=received_weight(weight[0]) if weight else MIN_WEIGHT,
        )
        for name, address, *weight in orjson.loads(data)
    )


def spread_samples(samples: list[Sample]) -> list[Sample]:
    """Return at most MAX_SAMPLES of the samples, evenly spread."""
    step = -(-len(samples) // MAX_SAMPLES) or 1
    return samples[::step]


def digest(data: bytes) -> int:
    """Return a digest by which two states of the facts are compared."""
    return int(xxhash.xxh3_64_intdigest(data))


class FactRelay:
    """Answers other VMs while this VM is the leader, or asks the leader.

    Without load control, no VM's weight is stated or used.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        registry: VmRegistry,
        lease: LeaderLease,
        records: RecordKeeper,
        targets: TargetKeeper,
        catalog: CatalogKeeper,
        catalog_relay: CatalogRelay,
        holders: ZoneHolders,
        weight: int = MIN_WEIGHT,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._registry = registry
        self._lease = lease
        self._records = records
        self._targets = targets
        self._catalog = catalog
        self._catalog_relay = catalog_relay
        self._uses_relayed_facts = False
        self._informed_until = -1e9
        self._source = FactSource()
        self._uses_weights = board.load_control
        self._weight = weight
        self._zone_relays = ZoneRelays(weighted=self._uses_weights)
        self._zone_members = ZoneMembers()
        self._holders = holders
        catalog_relay.is_source = self._is_source
        catalog_relay.on_source_lost = self._on_source_lost
        peers.add_handler("factsAsk", self._on_request)
        peers.add_handler("leading", self._on_leading)

    def start(self) -> None:
        """Start to request facts at regular intervals."""
        self._request_facts()

    # Requests to other VMs.

    def _request_facts(self) -> None:
        serves = self._source.serves_zone
        interval = RELAY_REQUEST_INTERVAL if serves else REQUEST_INTERVAL
        self._reactor.call_later(interval, self._request_facts)
        leader = self._lease.holder()
        if self._lease.is_held or leader in ("", self._board.vm):
            self._set_relayed(False, "this VM is the leader, or there is none")
            return
        address = self._lease.holder_address()
        if not address:
            self._set_relayed(False, "the leader's address is unknown")
            return
        self._send_request(self._source.address(address), address)

    def _send_request(self, address: str, leader: str) -> None:
        """Ask a VM for facts; if it is a relay without any, ask the leader."""
        asked_at = self._reactor.now()
        message = new_envelope()
        ask = message.init("factsAsk")
        ask.vm = self._board.vm
        ask.address = self._registry.local_vm.address
        ask.availabilityZone = self._board.availability_zone
        ask.records = digest(self._records.as_bytes())
        ask.targets = digest(encode_targets(self._targets.listed))
        ask.weight = self._weight if self._uses_weights else 0
        ask.zoneVms = digest(
            encode_vms(self._holders.members, with_weights=self._uses_weights)
        )

        def on_answer(answer: Any) -> None:
            lost = isinstance(answer, PeerLost)
            if not lost and answer.facts.targetProofs:
                rows = orjson.loads(answer.facts.targetProofs)
                self._records.apply_passed_on(rows, asked_at)
            if not lost and answer.facts.informed:
                self._apply_facts(answer.facts, asked_at)
            elif address not in (leader, self._source.address(leader)):
                # Another source has been asked since.
                return
            elif address != leader:
                self._relay_failed("silent" if lost else "not informed")
                self._send_request(leader, leader)
            else:
                self._set_relayed(False, "the leader does not answer")

        self._peers.ask(address, message, REQUEST_TIMEOUT, on_answer)

    def _is_source(self) -> bool:
        """Return whether other VMs may ask this one for facts now."""
        return self._lease.is_held or (
            self._source.serves_zone
            and self._reactor.now() < self._informed_until
        )

    def _on_source_lost(self, address: str) -> None:
        """Ask for facts at once: a VM does not send the configuration.

        If it is the relay, the leader is asked for another one.
        """
        leader = self._lease.holder_address()
        if self._lease.is_held or not leader:
            return
        if address != leader and address == self._source.address(leader):
            self._relay_failed("sends no configuration")
        self._send_request(self._source.address(leader), leader)

    def _relay_failed(self, reason: str) -> None:
        self._source.record_relay_failure(self._reactor.now())
        logs.log_event("facts_relay_failed", reason=reason)

    def _apply_facts(self, facts: Any, asked_at: float) -> None:
        now = self._reactor.now()
        until = now + RELAYED_LIFETIME
        self._set_relayed(True, "")
        is_from_relay = bool(facts.leader)
        if is_from_relay:
            # The sender is a relay and has its facts from the leader.
            self._lease.record_holder(
                LeaseHolder(
                    vm=facts.leader,
                    address=facts.leaderAddress,
                    version=facts.leaseVersion,
                )
            )
            if facts.zoneVmsKnown:
                self._apply_zone_members(facts.zoneVms, now)
        else:
            self._informed_until = until
            self._apply_assignment(facts, now)
        proof_age = facts.proofAgeUs / 1e6
        self._board.vm_count = max(1, facts.vms)
        if facts.samples:
            self._apply_samples(orjson.loads(facts.samples), asked_at)
        if proof_age <= MAX_PROOF_AGE:
            self._records.apply_relayed(
                orjson.loads(facts.records) if facts.records else None,
                asked_at - proof_age,
                until,
            )
        self._lease.apply_relayed(
            facts.leaseVersion, facts.leaseMs / 1000, asked_at
        )
        targets_age = facts.targetsAgeMs / 1000
        if targets_age <= MAX_TARGETS_AGE:
            listed = decode_targets(facts.targets) if facts.targets else None
            self._targets.apply_relayed(
                listed, facts.targetsVersion, asked_at - targets_age, until
            )
        self._apply_catalog_version(facts, asked_at, until, is_from_relay)

    def _apply_catalog_version(
        self, facts: Any, asked_at: float, until: float, is_from_relay: bool
    ) -> None:
        leader = self._lease.holder_address()
        address = self._source.address(leader)
        self._catalog_relay.set_source(
            CatalogSource(
                address=address,
                is_relay=address != leader,
                serves_zone=self._source.serves_zone,
            ),
            facts.catalog,
        )
        catalog_age = facts.catalogAgeMs / 1000
        max_catalog_age = MAX_CATALOG_AGE + (
            RELAY_REQUEST_INTERVAL if is_from_relay else 0.0
        )
        # The age limits for how long nothing newer is assumed. A relay that
        # receives a newer version has that news without having its content,
        # so its age grows meanwhile; the news itself does not age.
        is_newer = (
            self._board.load_control and facts.catalog > self._catalog.version
        )
        if is_newer or catalog_age <= max_catalog_age:
            self._catalog.apply_relayed(
                facts.catalog,
                asked_at - catalog_age,
                asked_at - facts.catalogConfirmedMs / 1000,
                until,
            )

    def _apply_zone_members(self, data: bytes, now: float) -> None:
        listed = self._holders.members
        if data:
            listed = decode_vms(data)
        self._holders.update_members(listed, now)

    def _apply_assignment(self, facts: Any, now: float) -> None:
        assignment: Assignment = AskLeader()
        if facts.servesZone:
            assignment = ServeZone()
        elif facts.relay:
            assignment = AskRelay(address=facts.relay)
        before = self._source.assignment
        self._source.update_assignment(assignment, now)
        if self._source.assignment != before:
            logs.log_event(
                "facts_source",
                serves_zone=self._source.serves_zone,
                relay=facts.relay,
                weight=self._weight if self._uses_weights else None,
                leader=self._lease.holder(),
            )

    def _apply_samples(
        self,
        rows: list[tuple[str, int, list[tuple[int, int, int]]]],
        asked_at: float,
    ) -> None:
        """Add relayed samples of primaries whose records this VM has as well.

        One VM of many sees few answers of a primary. With only a recent sample
        of its own, it would ask replicas for positions that they can't have
        yet, and send all of its reads to the primary.
        """
        for name, version, samples in rows:
            group = self._board.group(name)
            record = group.record
            if record is None or record.version != version:
                continue
            for age_us, term, index in samples:
                position = Position(term=term, index=index)
                group.samples.add(asked_at - age_us / 1e6, position)

    def _encode_samples(self, now: float) -> bytes:
        """Encode the newest samples of all groups, with their ages."""
        rows = []
        for name, group in self._board.groups.items():
            record = group.record
            if record is None or record.change is not None:
                continue
            samples = [
                (
                    int((now - s.asked_at) * 1e6) + 1,
                    s.position.term,
                    s.position.index,
                )
                for s in spread_samples(group.samples.since(now - SAMPLE_SPAN))
            ]
            if samples:
                rows.append((name, record.version, samples))
        return orjson.dumps(rows)

    def _set_relayed(self, relayed: bool, reason: str) -> None:
        if relayed == self._uses_relayed_facts:
            return
        self._uses_relayed_facts = relayed
        logs.log_event(
            "facts_from",
            source="leader" if relayed else "platform",
            leader=self._lease.holder(),
            reason=reason,
        )
        if not relayed:
            self._records.read_directly()
            self._targets.read_directly()
            self._catalog.read_directly()

    def _on_leading(self, message: Any, _reply: Reply) -> None:
        leading = message.leading
        self._lease.record_holder(
            LeaseHolder(
                vm=leading.vm,
                address=leading.address,
                version=leading.version,
            )
        )

    # Requests from other VMs.

    def _on_request(self, message: Any, reply: Reply) -> None:
        request = message.factsAsk
        now = self._reactor.now()
        answer = new_envelope()
        facts = answer.init("facts")
        if self._lease.is_held:
            facts.informed = True
            self._fill_facts(facts, request)
            self._fill_assignment(facts, request, now)
        elif self._is_source():
            facts.informed = True
            self._fill_facts(facts, request)
            facts.leader = self._lease.holder()
            facts.leaderAddress = self._lease.holder_address()
            self._fill_zone_members(facts, request, now)
        proofs = self._records.pass_on_proofs()
        if proofs:
            facts.targetProofs = orjson.dumps(proofs)
        reply(answer)

    def _fill_zone_members(self, facts: Any, request: Any, now: float) -> None:
        """Record the requesting VM, and tell it the other VMs of the zone."""
        self._zone_members.record_contact(
            ZoneVm(
                name=request.vm,
                address=request.address,
                weight=self._weight_of(request),
            ),
            now,
        )
        local_vm = ZoneVm(
            name=self._board.vm,
            address=self._registry.local_vm.address,
            weight=self._weight if self._uses_weights else MIN_WEIGHT,
        )
        vms = self._zone_members.vms(local_vm, now)
        if vms is None:
            return
        self._holders.update_members(vms, now)
        facts.zoneVmsKnown = True
        data = encode_vms(
            self._holders.members, with_weights=request.weight > 0
        )
        if digest(data) != request.zoneVms:
            facts.zoneVms = data

    def _fill_assignment(self, facts: Any, request: Any, now: float) -> None:
        requester = FactRequester(
            vm=request.vm,
            address=request.address,
            availability_zone=request.availabilityZone,
            weight=self._weight_of(request),
        )
        match self._zone_relays.assign(requester, now):
            case ServeZone():
                facts.servesZone = True
            case AskRelay(address=address):
                facts.relay = address
            case AskLeader():
                pass

    def _weight_of(self, request: Any) -> int:
        return (
            received_weight(request.weight)
            if self._uses_weights
            else MIN_WEIGHT
        )

    def _fill_facts(self, facts: Any, request: Any) -> None:
        now = self._reactor.now()
        age = max(0.0, now - self._records.read_at)
        facts.proofAgeUs = min(int(age * 1e6) + 1, 2**62)
        records = self._records.as_bytes()
        if digest(records) != request.records:
            facts.records = records
        lease = self._lease.last_seen_lease()
        facts.leaseVersion = lease.version
        facts.leaseMs = _milliseconds(lease.duration)
        targets = encode_targets(self._targets.listed)
        if digest(targets) != request.targets:
            facts.targets = targets
        facts.targetsVersion = self._board.targets_version
        facts.targetsAgeMs = _milliseconds(now - self._board.targets_seen_at)
        facts.catalog = self._catalog_relay.known_version
        facts.catalogAgeMs = _milliseconds(now - self._catalog.checked_at)
        # Rounded up, so that a key never appears to be confirmed later than it
        # was.
        confirmed_ago = now - self._board.catalog_confirmed_at
        facts.catalogConfirmedMs = _milliseconds(confirmed_ago) + 1
        facts.samples = self._encode_samples(now)
        facts.vms = self._board.vm_count


def _milliseconds(seconds: float) -> int:
    return min(max(0, round(seconds * 1000)), 2**31)
