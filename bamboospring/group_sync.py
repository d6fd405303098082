"""Distributes group records to the VMs that need them.

These are the group's holders and the candidates for the lease of its bucket.
The platform watchers have all records, as JSON. They send a changed record at
once to the VMs that need it, and answer the periodic requests of each VM for
its groups, which make up for lost messages. A VM with a newer record than a
watcher sends it to the watcher, so that no record is lost if watchers restart
during an outage of the platform.
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
# Maximum requests per second of the whole fleet to its watchers. In a large
# fleet each VM asks less often, because changed records are sent without a
# request unless a message is lost.
QUESTIONS_PER_SECOND = 48.0
UNSYNCED_INTERVAL = 0.2


def vms_needing_group(placement: Placement, group: str) -> set[str]:
    """Return the names of the VMs that need a group's record."""
    vms = placement.holders(group)
    vms += placement.candidates(bucket_of(group))
    return {vm.name for vm in vms}


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoredRecord:
    """A group's object as stored by the platform."""

    version: int
    value: Any


class GroupSync:
    """Request, send and serve group records.

    `is_synced` is true once this VM has been told of all its groups; until
    then a group that it does not know may exist.
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
        random_float: Callable[[], float] = random.random,
    ) -> None:
        self.is_synced = False
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._platform = platform
        self._store = store
        self._random_float = random_float
        self._records: dict[str, _StoredRecord] = {}
        self._groups_by_vm: dict[str, set[str]] = {}
        self._index_version = (-1, -1)
        self._reading: set[str] = set()
        self._watcher_index = 0
        self._asking = False
        self._placer = GroupPlacer(
            reactor=reactor,
            board=board,
            placement=placement,
            on_placed=lambda: self._store.announce_placement(),
        )
        peers.add_handler("groupFact", self._on_group_fact)

    def start(self) -> None:
        """Ask a watcher now and then periodically."""
        self.ask()
        interval = len(self._board.vms) / QUESTIONS_PER_SECOND
        interval = max(REPAIR_INTERVAL, interval)
        wait = interval if self.is_synced else UNSYNCED_INTERVAL
        wait *= 0.75 + self._random_float() / 2
        self._reactor.call_later(wait, self.start)

    def apply_objects(self, objects: Iterable[Found]) -> None:
        """Apply records that this watcher received from the platform."""
        self._mark_synced()
        for item in objects:
            if self._store_if_newer(item.name, item.version, item.value):
                self._send_to_needing(item.name)
        self._placer.place()

    def publish(self, record: GroupRecord) -> None:
        """Apply and distribute a record that this VM has just stored."""
        self._store.apply_group(record)
        self._store_if_newer(record.name, record.version, encode_group(record))
        self._placer.place()
        self._send_to_needing(record.name)

    def read(self, name: str) -> None:
        """Read one record from the platform, unless a read is in progress."""
        if name in self._reading:
            return
        self._reading.add(name)

        def on_result(result: Found | Missing | Unavailable) -> None:
            self._reading.discard(name)
            if isinstance(result, Found):
                self._store_if_newer(name, result.version, result.value)

        self._platform.get("group", name, "group", on_result)

    def follow_placement(self) -> None:
        """Send records to VMs that need them after a change of placement."""
        self.ask()
        self._apply_needed()
        before = self._groups_by_vm
        if not before:
            return
        self._groups_needed_by(self._board.local_vm.name)
        for vm, names in self._groups_by_vm.items():
            added = names - before.get(vm, set())
            if added and vm != self._board.local_vm.name:
                self._send(vm, added)

    def ask(self) -> None:
        """Ask a watcher for records that this VM needs and lacks."""
        watchers = self._other_watchers()
        if not self._asking and watchers:
            vm = watchers[self._watcher_index % len(watchers)]
            self._ask_vm(vm, full=not self.is_synced)

    def _ask_vm(self, vm: Vm, *, full: bool) -> None:
        self._asking = True

        def on_answer(answer: Any) -> None:
            self._asking = False
            if isinstance(answer, PeerLost):
                self._watcher_index += 1
                return
            body = orjson.loads(answer.groupFact.record)
            if body.get("same") is False:
                self._ask_vm(vm, full=True)
            self._apply_answer(vm, body)

        message = _message(self._request_body(full))
        self._peers.ask(vm.address, message, ASK_TIMEOUT, on_answer)

    # Known records.

    def _apply_needed(self) -> None:
        """Apply stored records that this VM has come to need.

        A record may arrive before the list of VMs by which it is needed.
        Without this the record would be stored here, so that no request
        fetches it again, but never put in force.
        """
        for name, known in self._records.items():
            if self._board.local_vm.name in vms_needing_group(
                self._placement, name
            ):
                self._apply_record(name, known.version, known.value)

    def _store_if_newer(self, name: str, version: int, value: Any) -> bool:
        """Store a record if it is newer; apply it if this VM needs it."""
        known = self._records.get(name)
        if value is None or (known and version <= known.version):
            return False
        self._records[name] = _StoredRecord(version=version, value=value)
        self._board.group_names.add(name)
        if self._board.local_vm.name in vms_needing_group(
            self._placement, name
        ):
            self._apply_record(name, version, value)
        return True

    def _apply_record(self, name: str, version: int, value: Any) -> None:
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

    def _groups_needed_by(self, vm: str) -> set[str]:
        state = (self._placement.version, len(self._records))
        if state != self._index_version:
            self._groups_by_vm = {}
            for name in self._records:
                for needing in vms_needing_group(self._placement, name):
                    self._groups_by_vm.setdefault(needing, set()).add(name)
            self._index_version = state
        return self._groups_by_vm.get(vm, set())

    # Sending.

    def _send_to_needing(self, name: str) -> None:
        for vm in vms_needing_group(self._placement, name):
            if vm != self._board.local_vm.name:
                self._send(vm, (name,))

    def _send(self, vm: str, names: Iterable[str]) -> None:
        found = self._board.vms.get(vm)
        facts = self._newer_records(names, {})
        if found is not None and facts:
            self._peers.send(found.address, _message({"facts": facts}))

    def _newer_records(
        self, names: Iterable[str], known_versions: dict[str, int]
    ) -> list[dict[str, Any]]:
        """Return the records that are newer than the known versions."""
        return [
            {"name": name, "version": known.version, "value": known.value}
            for name in names
            if (known := self._stored_record(name)) is not None
            and known.version > known_versions.get(name, 0)
        ]

    def _stored_record(self, name: str) -> _StoredRecord | None:
        known = self._records.get(name)
        group = self._board.groups.get(name)
        if known is None and group is not None:
            record = group.record
            value = encode_group(record)
            return _StoredRecord(version=record.version, value=value)
        return known

    # Requests and answers.

    def _request_body(self, full: bool) -> dict[str, Any]:
        """Return a request with a digest or, if `full`, with all versions."""
        known_versions = self._known_versions()
        request: dict[str, Any] = {
            "vm": self._board.local_vm.name,
            "names": digest_names(self._board.group_names),
            # A watcher that gets no answer from the platform copies the
            # records of the other watchers.
            "all": self._is_watcher() and not self.is_synced,
        }
        if full:
            request["have"] = known_versions
        else:
            needed = self._needed_versions(known_versions)
            request["digest"] = digest_versions(needed)
        return request

    def _mark_synced(self) -> None:
        self.is_synced = True
        self._board.names_complete = True

    def _known_versions(self) -> dict[str, int]:
        groups = self._board.groups.items()
        versions = {name: group.record.version for name, group in groups}
        return versions | {
            n: known.version for n, known in self._records.items()
        }

    def _needed_versions(
        self, known_versions: dict[str, int]
    ) -> dict[str, int]:
        local_name = self._board.local_vm.name
        return {
            name: version
            for name, version in known_versions.items()
            if local_name in vms_needing_group(self._placement, name)
        }

    def _answer_body(self, request: dict[str, Any]) -> dict[str, Any]:
        needed = self._groups_needed_by(request["vm"])
        answer: dict[str, Any] = {"complete": self.is_synced}
        if request["names"] != digest_names(self._board.group_names):
            answer["names"] = sorted(self._board.group_names)
        if "digest" in request:
            versions = {name: self._version(name) for name in needed}
            answer["same"] = request["digest"] == digest_versions(versions)
            return answer
        known_versions = request["have"]
        names = self._records if request["all"] else needed
        answer["facts"] = self._newer_records(names, known_versions)
        answer["want"] = [
            name
            for name, version in known_versions.items()
            if version > self._version(name)
        ]
        return answer

    def _version(self, name: str) -> int:
        known = self._stored_record(name)
        return known.version if known is not None else 0

    def _apply_answer(self, vm: Vm, body: dict[str, Any]) -> None:
        for item in body.get("facts", ()):
            self._store_if_newer(item["name"], item["version"], item["value"])
        self._board.group_names.update(body.get("names", ()))
        if body["complete"]:
            # An answer to a digest has no records, so it does not show that
            # this VM has all of them.
            if "facts" in body:
                self._mark_synced()
        else:
            # A watcher that has just started may know less than another.
            self._watcher_index += 1
        self._placer.place()
        if body.get("want"):
            facts = self._newer_records(body["want"], {})
            self._peers.send(vm.address, _message({"facts": facts}))

    def _on_group_fact(self, message: Any, reply: Reply) -> None:
        body = orjson.loads(message.groupFact.record)
        if message.id != 0:
            reply(_message(self._answer_body(body)))
            return
        for item in body["facts"]:
            self._store_if_newer(item["name"], item["version"], item["value"])
        self._placer.place()

    def _is_watcher(self) -> bool:
        watchers = self._placement.platform_watchers()
        return any(vm.name == self._board.local_vm.name for vm in watchers)

    def _other_watchers(self) -> list[Vm]:
        """Return the other watchers, those of this VM's zone first."""
        local_vm = self._board.local_vm
        others = self._placement.platform_watchers()
        zone = local_vm.availability_zone
        return sorted(
            (vm for vm in others if vm.name != local_vm.name),
            key=lambda vm: vm.availability_zone != zone,
        )


def _message(body: dict[str, Any]) -> Any:
    message = new_envelope()
    message.init("groupFact").record = orjson.dumps(body)
    return message


def digest_names(names: Iterable[str]) -> str:
    """Return a digest of a set of names."""
    return xxh64_hexdigest("\n".join(sorted(names)).encode())


def digest_versions(versions: Mapping[str, int]) -> str:
    """Return a digest of names and versions."""
    return digest_names(f"{name} {versions[name]}" for name in versions)
