"""Spread the table and the list of VMs from peer to peer.

Each VM compares versions with a few neighbours: at once when it has taken a
newer fact (an announcement), and every few seconds in any case (the repair).
Whoever learns of a higher version asks for it. An edit so crosses the fleet
in a few hops, each VM receives it about once, and a lost message costs one
repair interval, not the edit.

A comparison names a digest of all versions. Versions follow only if the other
side's digest differs: first its own in the answer, then ours, if it lacks any.
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
# Several shards are often edited together; one announcement then tells all.
ANNOUNCE_DELAY = 0.01
# A VM that compares versions with us is told of news too, until it has been
# quiet for this many intervals.
FORGET_AFTER = 3
VMS = "vms"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Offer:
    """A version of a fact that some VM has."""

    address: str
    version: int


@dataclass(slots=True, kw_only=True)
class _Fetch:
    """A fact being asked for, and who else has offered it."""

    offers: dict[str, _Offer] = field(default_factory=dict)


class PeerSync:
    """Compare versions with neighbours and fetch what they have newer."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        peers: Peers,
        store: FactStore,
        membership: Membership,
        interval: float,
        chance: Callable[[], float] = random.random,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._store = store
        self._membership = membership
        self._interval = interval
        self._chance = chance
        self._neighbours: tuple[Vm, ...] = ()
        self._neighbours_of = -1
        self._callers: dict[str, float] = {}
        self._fetches: dict[int | str, _Fetch] = {}
        self._announcing: Timer | None = None
        self.on_heartbeat: list[Callable[[int], None]] = []
        # Names and addresses of processes that are told of news besides.
        self.extra_recipients: Callable[[], dict[str, str]] = dict
        store.on_change.append(self.announce)
        peers.add_handler("heartbeat", self._on_heartbeat)
        peers.add_handler("tableWant", self._on_table_want)
        peers.add_handler("vmList", self._on_vm_list)

    @property
    def is_idle(self) -> bool:
        """Say whether nothing newer is being fetched."""
        return not self._fetches

    def start(self) -> None:
        """Compare now, then at each interval."""
        self.compare()
        wait = self._interval * (0.75 + self._chance() / 2)
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
        """Ask one address for its versions; say whether it answered."""

        def answered(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                self._lost(name)
            else:
                self._heard(answer.heartbeatAck, address)
                self._tell_lacking(answer.heartbeatAck, address)
            if on_complete is not None:
                on_complete(not isinstance(answer, PeerLost))

        message = self._heartbeat(whole=False)
        self._peers.ask(address, message, ASK_TIMEOUT, answered)

    def announce(self) -> None:
        """Tell neighbours soon that there is something new here."""
        if self._announcing is None:
            self._announcing = self._reactor.call_later(
                ANNOUNCE_DELAY, self._announce_now
            )

    def neighbours(self) -> tuple[Vm, ...]:
        """Return the VMs that this one compares versions with."""
        if self._neighbours_of != self._board.vms_revision:
            vms = list(self._board.vms.values())
            self._neighbours = choose_neighbours(
                self._board.local_vm.name, vms
            )
            self._neighbours_of = self._board.vms_revision
            self._membership.retain_vms(self._board.vms)
        return self._neighbours

    def _tick(self) -> None:
        self._forget_quiet()
        self.start()

    def _announce_now(self) -> None:
        self._announcing = None
        vms = {vm.name: vm.address for vm in self.neighbours()}
        vms.update(self.extra_recipients())
        for name in self._callers:
            vm = self._board.vms.get(name)
            if vm is not None:
                vms[name] = vm.address
        for address in vms.values():
            self._peers.send(address, self._heartbeat(whole=True))

    def _forget_quiet(self) -> None:
        oldest = self._reactor.now() - FORGET_AFTER * self._interval
        for name, heard_at in list(self._callers.items()):
            if heard_at < oldest:
                del self._callers[name]

    # Messages.

    def _heartbeat(self, *, whole: bool) -> Any:
        message = new_envelope()
        self._fill(message.init("heartbeat"), whole)
        return message

    def _fill(self, out: Any, whole: bool) -> None:
        versions = fact_versions(self._board)
        out.vm = self._board.local_vm.name
        out.vmsRevision = versions.vms_revision
        out.draining = self._board.draining
        out.digest = versions_digest(versions)
        if whole:
            out.shards = list(versions.shards)

    def _tell_lacking(self, ack: Any, address: str) -> None:
        """Tell our versions to a VM that lacks some of them.

        It got the digest only. Without this a VM that has us for a neighbour
        but is not ours would wait for somebody else to bring the news.
        """
        if not ack.shards:
            return
        if newer_facts(_versions_in(ack), fact_versions(self._board)):
            self._peers.send(address, self._heartbeat(whole=True))

    def _differs(self, heartbeat: Any) -> bool:
        """Say whether the sender may have other versions than we.

        One of a link's own heartbeats tells nothing and needs nothing.
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
            self._callers[name] = self._reactor.now()
            self._heard(heartbeat, vm.address)
        if message.id != 0:
            answer = new_envelope()
            whole = self._differs(heartbeat)
            self._fill(answer.init("heartbeatAck"), whole)
            reply(answer)

    def _heard(self, heartbeat: Any, address: str) -> None:
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

    def _lost(self, name: str) -> None:
        if name:
            self._membership.record_failure(name, self._reactor.now())

    # Fetching.

    def _fetch(self, what: int | str, name: str, offer: _Offer) -> None:
        """Ask for a fact, one VM at a time; others who have it wait."""
        running = self._fetches.get(what)
        if running is not None:
            running.offers[name] = offer
            return
        self._fetches[what] = _Fetch()
        self._ask_for(what, offer.address)

    def _ask_for(self, what: int | str, address: str) -> None:
        def answered(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                self._take(answer)
            self._fetch_next(what)

        message = self._want(what)
        self._peers.ask(address, message, ASK_TIMEOUT, answered)

    def _fetch_next(self, what: int | str) -> None:
        """Turn to another offer if it is still newer than what we have.

        The VM asked first may have gone, or have had an older version.
        """
        fetch = self._fetches.pop(what)
        mine = self._version(what)
        while fetch.offers:
            name = next(iter(fetch.offers))
            offer = fetch.offers.pop(name)
            if offer.version > mine:
                self._fetches[what] = fetch
                self._ask_for(what, offer.address)
                return

    def _version(self, what: int | str) -> int:
        versions = fact_versions(self._board)
        if isinstance(what, int):
            return versions.shards[what]
        return versions.vms_revision

    def _want(self, what: int | str) -> Any:
        message = new_envelope()
        if isinstance(what, int):
            want = message.init("tableWant")
            want.shard = what
            want.version = self._version(what)
        else:
            message.init("vmList").revision = self._version(what)
        return message

    def _take(self, answer: Any) -> None:
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
