"""Bring each group's record to the VMs that need it.

Those are the group's holders and the candidates for the lease of its bucket.
The fleet's watchers have all records, as JSON. They send a changed record to
those who need it at once, and answer each VM's regular question about its
groups, which repairs what was lost. A VM that has a newer record than a
watcher gives it back, so an outage of the platform during which watchers
restart loses none.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import random
from typing import Any

import orjson
from xxhash import xxh64_hexdigest

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Vm
from bamboospring.fact_store import FactStore
from bamboospring.group_placer import GroupPlacer
from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.records import decode_group
from bamboospring.records import encode_group
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement

__all__ = ["GroupSync", "digest_names", "digest_versions", "vms_needing_group"]

ASK_TIMEOUT = 1.0
REPAIR_INTERVAL = 4.0
# Questions of the whole fleet to its watchers, each second; in a large fleet
# a VM asks the more seldom, since news comes by itself unless it was lost.
QUESTIONS_PER_SECOND = 48.0
FIRST_RETRY = 0.2


def vms_needing_group(placement: Placement, group: str) -> set[str]:
    """Return the names of the VMs that need a group's record."""
    vms = placement.holders(group)
    vms += placement.candidates(bucket_of(group))
    return {vm.name for vm in vms}


@dataclass(frozen=True, slots=True, kw_only=True)
class _Known:
    """A record as the platform has it."""

    version: int
    value: Any


class GroupSync:
    """Ask for, send and answer for group records.

    `synced` says that this VM has been told of all its groups once; until
    then a group that it does not know may well exist.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        platform: PlatformClient,
        store: FactStore,
        chance: Callable[[], float] = random.random,
    ) -> None:
        self.synced = False
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._platform = platform
        self._store = store
        self._chance = chance
        self._all: dict[str, _Known] = {}
        self._index: dict[str, set[str]] = {}
        self._index_of = (-1, -1)
        self._reading: set[str] = set()
        self._turn = 0
        self._asking = False
        self._placer = GroupPlacer(
            reactor=reactor,
            board=board,
            placement=placement,
            on_placed=lambda: self._store.note_placement(),
        )
        peers.add_handler("groupFact", self._on_group_fact)

    def start(self) -> None:
        """Ask a watcher now, then at each interval."""
        self.ask()
        interval = len(self._board.vms) / QUESTIONS_PER_SECOND
        interval = max(REPAIR_INTERVAL, interval)
        wait = interval if self.synced else FIRST_RETRY
        wait *= 0.75 + self._chance() / 2
        self._reactor.call_later(wait, self.start)

    def take_objects(self, objects: Iterable[Found]) -> None:
        """Take records that the platform has told this watcher of."""
        self._note_synced()
        for item in objects:
            if self._learn(item.name, item.version, item.value):
                self._send_to_needing(item.name)
        self._placer.place()

    def publish(self, record: GroupRecord) -> None:
        """Take and spread a record that this VM has just stored."""
        self._store.apply_group(record)
        self._learn(record.name, record.version, encode_group(record))
        self._placer.place()
        self._send_to_needing(record.name)

    def read(self, name: str) -> None:
        """Read one record at the platform, unless that is under way."""
        if name in self._reading:
            return
        self._reading.add(name)

        def answered(result: Found | Missing | Unavailable) -> None:
            self._reading.discard(name)
            if isinstance(result, Found):
                self._learn(name, result.version, result.value)

        self._platform.get("group", name, "group", answered)

    def follow_placement(self) -> None:
        """Bring records to the VMs that need them since the VMs changed."""
        self.ask()
        self._take_needed()
        before = self._index
        if not before:
            return
        self._needed_by(self._board.local_vm.name)
        for vm, names in self._index.items():
            added = names - before.get(vm, set())
            if added and vm != self._board.local_vm.name:
                self._send(vm, added)

    def ask(self) -> None:
        """Ask a watcher for records that we need and lack."""
        watchers = self._other_watchers()
        if not self._asking and watchers:
            vm = watchers[self._turn % len(watchers)]
            self._ask(vm, whole=not self.synced)

    def _ask(self, vm: Vm, *, whole: bool) -> None:
        self._asking = True

        def answered(answer: Any) -> None:
            self._asking = False
            if isinstance(answer, PeerLost):
                self._turn += 1
                return
            body = orjson.loads(answer.groupFact.record)
            if body.get("same") is False:
                self._ask(vm, whole=True)
            self._take_answer(vm, body)

        message = _message(self._question(whole))
        self._peers.ask(vm.address, message, ASK_TIMEOUT, answered)

    # What is known.

    def _take_needed(self) -> None:
        """Put in force what was told before we knew that we need it.

        News may overtake the list of VMs. Without this the record would be
        known here, so that no question brings it again, and never in force.
        """
        for name, known in self._all.items():
            if self._board.local_vm.name in vms_needing_group(
                self._placement, name
            ):
                self._take(name, known.version, known.value)

    def _learn(self, name: str, version: int, value: Any) -> bool:
        """Keep a record if it is newer; put it in force if we need it."""
        known = self._all.get(name)
        if value is None or (known and version <= known.version):
            return False
        self._all[name] = _Known(version=version, value=value)
        self._board.group_names.add(name)
        if self._board.local_vm.name in vms_needing_group(
            self._placement, name
        ):
            self._take(name, version, value)
        return True

    def _take(self, name: str, version: int, value: Any) -> None:
        record = decode_group(name, version, value)
        if record is not None:
            self._store.apply_group(record)
            return
        logs.log_event(
            "group_malformed",
            level=logs.Level.ERROR,
            group=name,
            version=version,
        )

    def _needed_by(self, vm: str) -> set[str]:
        state = (self._placement.version, len(self._all))
        if state != self._index_of:
            self._index = {}
            for name in self._all:
                for needing in vms_needing_group(self._placement, name):
                    self._index.setdefault(needing, set()).add(name)
            self._index_of = state
        return self._index.get(vm, set())

    # Sending.

    def _send_to_needing(self, name: str) -> None:
        for vm in vms_needing_group(self._placement, name):
            if vm != self._board.local_vm.name:
                self._send(vm, (name,))

    def _send(self, vm: str, names: Iterable[str]) -> None:
        found = self._board.vms.get(vm)
        facts = self._facts(names, {})
        if found is not None and facts:
            self._peers.send(found.address, _message({"facts": facts}))

    def _facts(
        self, names: Iterable[str], have: dict[str, int]
    ) -> list[dict[str, Any]]:
        """Return those of our records that somebody has not or older."""
        return [
            {"name": name, "version": known.version, "value": known.value}
            for name in names
            if (known := self._known(name)) is not None
            and known.version > have.get(name, 0)
        ]

    def _known(self, name: str) -> _Known | None:
        known = self._all.get(name)
        group = self._board.groups.get(name)
        if known is None and group is not None:
            record = group.record
            value = encode_group(record)
            return _Known(version=record.version, value=value)
        return known

    # Questions and answers.

    def _question(self, whole: bool) -> dict[str, Any]:
        """Return a question: by digest, or `whole` with all versions."""
        have = self._have()
        question: dict[str, Any] = {
            "vm": self._board.local_vm.name,
            "names": digest_names(self._board.group_names),
            # A watcher that the platform does not answer copies the others.
            "all": self._is_watcher() and not self.synced,
        }
        if whole:
            question["have"] = have
        else:
            needed = self._needed_here(have)
            question["digest"] = digest_versions(needed)
        return question

    def _note_synced(self) -> None:
        self.synced = True
        self._board.names_complete = True

    def _have(self) -> dict[str, int]:
        groups = self._board.groups.items()
        have = {name: group.record.version for name, group in groups}
        return have | {n: known.version for n, known in self._all.items()}

    def _needed_here(self, have: dict[str, int]) -> dict[str, int]:
        me = self._board.local_vm.name
        return {
            name: version
            for name, version in have.items()
            if me in vms_needing_group(self._placement, name)
        }

    def _answer(self, question: dict[str, Any]) -> dict[str, Any]:
        needed = self._needed_by(question["vm"])
        answer: dict[str, Any] = {"complete": self.synced}
        if question["names"] != digest_names(self._board.group_names):
            answer["names"] = sorted(self._board.group_names)
        if "digest" in question:
            ours = {name: self._version(name) for name in needed}
            answer["same"] = question["digest"] == digest_versions(ours)
            return answer
        have = question["have"]
        names = self._all if question["all"] else needed
        answer["facts"] = self._facts(names, have)
        answer["want"] = [
            name
            for name, version in have.items()
            if version > self._version(name)
        ]
        return answer

    def _version(self, name: str) -> int:
        known = self._known(name)
        return known.version if known is not None else 0

    def _take_answer(self, vm: Vm, body: dict[str, Any]) -> None:
        for item in body.get("facts", ()):
            self._learn(item["name"], item["version"], item["value"])
        self._board.group_names.update(body.get("names", ()))
        if body["complete"]:
            # An answer to a digest says nothing to one that knows nothing.
            if "facts" in body:
                self._note_synced()
        else:
            # One that has just started knows less than another may.
            self._turn += 1
        self._placer.place()
        if body.get("want"):
            facts = self._facts(body["want"], {})
            self._peers.send(vm.address, _message({"facts": facts}))

    def _on_group_fact(self, message: Any, reply: Reply) -> None:
        body = orjson.loads(message.groupFact.record)
        if message.id != 0:
            reply(_message(self._answer(body)))
            return
        for item in body["facts"]:
            self._learn(item["name"], item["version"], item["value"])
        self._placer.place()

    def _is_watcher(self) -> bool:
        watchers = self._placement.platform_watchers()
        return any(vm.name == self._board.local_vm.name for vm in watchers)

    def _other_watchers(self) -> list[Vm]:
        """Return the watchers, those of our own zone first."""
        me = self._board.local_vm
        others = self._placement.platform_watchers()
        zone = me.availability_zone
        return sorted(
            (vm for vm in others if vm.name != me.name),
            key=lambda vm: vm.availability_zone != zone,
        )


def _message(body: dict[str, Any]) -> Any:
    message = new_envelope()
    message.init("groupFact").record = orjson.dumps(body)
    return message


def digest_names(names: Iterable[str]) -> str:
    """Return a short text that is the same for the same names."""
    return xxh64_hexdigest("\n".join(sorted(names)).encode())


def digest_versions(versions: Mapping[str, int]) -> str:
    """Return a short text that is the same for the same versions."""
    return digest_names(f"{name} {versions[name]}" for name in versions)
