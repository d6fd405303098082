"""Distributes the table and the list of VMs from peer to peer.

Each VM compares versions with a few neighbours: at once when it has applied a
newer fact (an announcement), and every few seconds in any case (the repair).
A VM that learns of a higher version asks for it. An edit thus crosses the
fleet in a few hops, each VM receives it about once, and a lost message delays
it by one repair interval.

A comparison contains a digest of all versions. The versions themselves are
sent only if the digests differ: first the peer's, in its answer, then this
VM's, if the peer lacks any.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
from typing import Any

import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.fact_store import FactStore
from bamboospring.fact_versions import fact_versions
from bamboospring.fact_versions import FactVersions
from bamboospring.fact_versions import newer_facts
from bamboospring.fact_versions import versions_digest
from bamboospring.membership import Membership
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.records import encode_shard
from bamboospring.records import encode_vm
from bamboospring.rendezvous import choose_neighbours

__all__ = ["PeerSync"]

ASK_TIMEOUT = 1.0
# Several shards are often edited together; one announcement covers them all.
ANNOUNCE_DELAY = 0.01
# A VM that compares versions with this one receives announcements too, until
# it has sent nothing for this many intervals.
EXPIRY_INTERVALS = 3
VMS = "vms"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Offer:
    """A version of a fact that another VM has."""

    address: str
    version: int


@dataclass(slots=True, kw_only=True)
class _Fetch:
    """A fact that is being fetched, and further offers of it."""

    offers: dict[str, _Offer] = field(default_factory=dict)


class PeerSync:
    """Compare versions with neighbours and fetch newer facts from them."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        peers: Peers,
        store: FactStore,
        membership: Membership,
        interval: float,
        random_float: Callable[[], float] = random.random,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._store = store
        self._membership = membership
        self._interval = interval
        self._random_float = random_float
        self._neighbours: tuple[Vm, ...] = ()
        self._neighbours_revision = -1
        self._compared_at: dict[str, float] = {}
        self._fetches: dict[int | str, _Fetch] = {}
        self._announce_timer: Timer | None = None
        self.on_heartbeat: list[Callable[[int], None]] = []
        # Returns names and addresses of further processes to announce to.
        self.extra_recipients: Callable[[], dict[str, str]] = dict
        store.on_change.append(self.announce)
        peers.add_handler("heartbeat", self._on_heartbeat)
        peers.add_handler("tableWant", self._on_table_want)
        peers.add_handler("vmList", self._on_vm_list)

    @property
    def is_idle(self) -> bool:
        """Return whether no newer fact is being fetched."""
        return not self._fetches

    def start(self) -> None:
        """Compare now and then periodically."""
        self.compare()
        wait = self._interval * (0.75 + self._random_float() / 2)
        self._reactor.call_later(wait, self._tick)

    def compare(self) -> None:
        """Ask each neighbour for its versions."""
        for vm in self.neighbours():
            self.compare_with(vm.address, vm.name)

    def compare_with(
        self,
        address: str,
        name: str = "",
        on_complete: Callable[[bool], None] | None = None,
    ) -> None:
        """Ask one address for its versions; report whether it answered."""

        def on_answer(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                self._record_failure(name)
            else:
                self._record_heartbeat(answer.heartbeatAck, address)
                self._send_missing_versions(answer.heartbeatAck, address)
            if on_complete is not None:
                on_complete(not isinstance(answer, PeerLost))

        message = self._heartbeat(full=False)
        self._peers.ask(address, message, ASK_TIMEOUT, on_answer)

    def announce(self) -> None:
        """Schedule an announcement of new facts to the neighbours."""
        if self._announce_timer is None:
            self._announce_timer = self._reactor.call_later(
                ANNOUNCE_DELAY, self._announce_now
            )

    def neighbours(self) -> tuple[Vm, ...]:
        """Return the VMs with which this one compares versions."""
        if self._neighbours_revision != self._board.vms_revision:
            vms = list(self._board.vms.values())
            self._neighbours = choose_neighbours(
                self._board.local_vm.name, vms
            )
            self._neighbours_revision = self._board.vms_revision
            self._membership.retain_vms(self._board.vms)
        return self._neighbours

    def _tick(self) -> None:
        self._expire_compared()
        self.start()

    def _announce_now(self) -> None:
        self._announce_timer = None
        vms = {vm.name: vm.address for vm in self.neighbours()}
        vms.update(self.extra_recipients())
        for name in self._compared_at:
            vm = self._board.vms.get(name)
            if vm is not None:
                vms[name] = vm.address
        for address in vms.values():
            self._peers.send(address, self._heartbeat(full=True))

    def _expire_compared(self) -> None:
        oldest = self._reactor.now() - EXPIRY_INTERVALS * self._interval
        for name, heard_at in list(self._compared_at.items()):
            if heard_at < oldest:
                del self._compared_at[name]

    # Messages.

    def _heartbeat(self, *, full: bool) -> Any:
        message = new_envelope()
        self._fill(message.init("heartbeat"), full)
        return message

    def _fill(self, out: Any, full: bool) -> None:
        versions = fact_versions(self._board)
        out.vm = self._board.local_vm.name
        out.vmsRevision = versions.vms_revision
        out.draining = self._board.draining
        out.digest = versions_digest(versions)
        if full:
            out.shards = list(versions.shards)

    def _send_missing_versions(self, ack: Any, address: str) -> None:
        """Send this VM's versions to a VM that lacks some of them.

        That VM has received only the digest. If this VM is its neighbour but
        not the other way round, it would otherwise learn of the newer versions
        only from another VM.
        """
        if not ack.shards:
            return
        if newer_facts(_versions_in(ack), fact_versions(self._board)):
            self._peers.send(address, self._heartbeat(full=True))

    def _differs(self, heartbeat: Any) -> bool:
        """Return whether the sender may have other versions than this VM.

        The heartbeats that check a link contain neither digest nor versions.
        """
        if heartbeat.digest:
            mine = versions_digest(fact_versions(self._board))
            return bool(heartbeat.digest != mine)
        return bool(heartbeat.shards)

    def _on_heartbeat(self, message: Any, reply: Reply) -> None:
        heartbeat = message.heartbeat
        name = heartbeat.vm
        if heartbeat.draining:
            self._membership.set_draining(name, self._reactor.now())
        vm = self._board.vms.get(name)
        if vm is not None and name != self._board.local_vm.name:
            self._compared_at[name] = self._reactor.now()
            self._record_heartbeat(heartbeat, vm.address)
        if message.id != 0:
            answer = new_envelope()
            whole = self._differs(heartbeat)
            self._fill(answer.init("heartbeatAck"), whole)
            reply(answer)

    def _record_heartbeat(self, heartbeat: Any, address: str) -> None:
        name = heartbeat.vm
        now = self._reactor.now()
        self._membership.record_contact(name, now)
        for callback in self.on_heartbeat:
            callback(heartbeat.vmsRevision)
        self._membership.set_draining(name, now, heartbeat.draining)
        theirs = _versions_in(heartbeat)
        newer = newer_facts(fact_versions(self._board), theirs)
        if newer.vms:
            offer = _Offer(address=address, version=theirs.vms_revision)
            self._fetch(VMS, name, offer)
        for shard in newer.shards:
            offer = _Offer(address=address, version=theirs.shards[shard])
            self._fetch(shard, name, offer)

    def _record_failure(self, name: str) -> None:
        if name:
            self._membership.record_failure(name, self._reactor.now())

    # Fetching.

    def _fetch(self, fact: int | str, name: str, offer: _Offer) -> None:
        """Ask one VM at a time for a fact; keep further offers."""
        running = self._fetches.get(fact)
        if running is not None:
            running.offers[name] = offer
            return
        self._fetches[fact] = _Fetch()
        self._ask_for(fact, offer.address)

    def _ask_for(self, fact: int | str, address: str) -> None:
        def on_answer(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                self._apply_answer(answer)
            self._fetch_next(fact)

        message = self._fetch_message(fact)
        self._peers.ask(address, message, ASK_TIMEOUT, on_answer)

    def _fetch_next(self, fact: int | str) -> None:
        """Use another offer if it is still newer than this VM's version.

        The VM that was asked first may be gone or may have an older version.
        """
        fetch = self._fetches.pop(fact)
        mine = self._version(fact)
        while fetch.offers:
            name = next(iter(fetch.offers))
            offer = fetch.offers.pop(name)
            if offer.version > mine:
                self._fetches[fact] = fetch
                self._ask_for(fact, offer.address)
                return

    def _version(self, fact: int | str) -> int:
        versions = fact_versions(self._board)
        if isinstance(fact, int):
            return versions.shards[fact]
        return versions.vms_revision

    def _fetch_message(self, fact: int | str) -> Any:
        message = new_envelope()
        if isinstance(fact, int):
            want = message.init("tableWant")
            want.shard = fact
            want.version = self._version(fact)
        else:
            message.init("vmList").revision = self._version(fact)
        return message

    def _apply_answer(self, answer: Any) -> None:
        match answer.which():
            case "tableDelta" if answer.tableDelta.rows:
                delta = answer.tableDelta
                value = orjson.loads(delta.rows)
                self._store.apply_shard_value(
                    str(delta.shard), delta.version, value
                )
            case "vmList" if answer.vmList.vms:
                vms = orjson.loads(answer.vmList.vms)
                self._store.apply_vms(answer.vmList.revision, vms)

    def _on_table_want(self, message: Any, reply: Reply) -> None:
        want = message.tableWant
        answer = new_envelope()
        delta = answer.init("tableDelta")
        delta.shard = want.shard
        shard = self._board.table.get(want.shard)
        if shard is not None and shard.version > want.version:
            delta.version = shard.version
            delta.rows = orjson.dumps(encode_shard(shard))
        reply(answer)

    def _on_vm_list(self, message: Any, reply: Reply) -> None:
        answer = new_envelope()
        out = answer.init("vmList")
        if self._board.vms_revision > message.vmList.revision:
            out.revision = self._board.vms_revision
            vms = [encode_vm(vm) for vm in self._board.vms.values()]
            out.vms = orjson.dumps(vms)
        reply(answer)


def _versions_in(heartbeat: Any) -> FactVersions:
    return FactVersions(
        vms_revision=heartbeat.vmsRevision, shards=tuple(heartbeat.shards)
    )
