"""Read VMs, groups and table from the platform into the blackboard."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from circuits import BaseComponent
from circuits import handler
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Liveness
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import TableShard
from bamboospring.blackboard import Target
from bamboospring.blackboard import TermStart
from bamboospring.blackboard import Vm
from bamboospring.events import group_changed
from bamboospring.events import table_changed
from bamboospring.events import vms_changed
from bamboospring.http_codec import HttpAnswer
from bamboospring.http_codec import HttpClient
from bamboospring.http_codec import HttpLost
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement

__all__ = ["Facts", "decode_group", "decode_shard", "decode_vm"]

POLL_INTERVAL = 0.5
TIMEOUT = 2.0


class Facts(BaseComponent):
    """Poll the platform's lists."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        platform: str,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._client = HttpClient(reactor=reactor, address=platform)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._poll("/vms", "vms", self._take_vms)
        self._poll("/objects/group", "group", self._take_groups)
        self._poll("/objects/table", "table", self._take_table)

    @handler("group_doubted")
    def _on_group_doubted(self, name: str) -> None:
        self._get("/objects/group", "group", self._take_groups)

    def _poll(
        self, path: str, purpose: str, take: Callable[[Any], None]
    ) -> None:
        self._get(path, purpose, take)
        self._reactor.call_later(
            POLL_INTERVAL, lambda: self._poll(path, purpose, take)
        )

    def _get(
        self, path: str, purpose: str, take: Callable[[Any], None]
    ) -> None:
        def answered(answer: HttpAnswer | HttpLost) -> None:
            if isinstance(answer, HttpAnswer) and answer.status == 200:
                take(orjson.loads(answer.body))

        headers = f"X-Purpose: {purpose}\r\n"
        self._client.request("GET", path, b"", TIMEOUT, answered, headers)

    def _take_vms(self, body: Any) -> None:
        if body["revision"] <= self._board.vms_revision:
            return
        vms = [decode_vm(raw) for raw in body["vms"]]
        self._board.vms_revision = body["revision"]
        self._board.vms_seen_at = self._reactor.now()
        self._board.vms = {vm.name: vm for vm in vms}
        self._placement.set_vms(vms)
        self.fire(vms_changed())

    def _take_groups(self, body: Any) -> None:
        for raw in body["objects"]:
            record = decode_group(raw)
            group = self._board.groups.get(record.name)
            if group is None:
                self._board.groups[record.name] = Group(record=record)
            elif record.version > group.record.version:
                group.record = record
            else:
                continue
            self.fire(group_changed(record.name))

    def _take_table(self, body: Any) -> None:
        for raw in body["objects"]:
            shard = decode_shard(raw)
            known = self._board.table.get(shard.shard)
            if known is None or shard.version > known.version:
                self._board.table[shard.shard] = shard
                self.fire(table_changed(shard.shard))


def decode_vm(raw: Any) -> Vm:
    """Read a VM as the platform lists it."""
    return Vm(
        name=raw["name"],
        address=raw["address"],
        availability_zone=raw["availability_zone"],
        region=raw.get("region", ""),
        liveness=Liveness(raw.get("state", "live")),
    )


def decode_group(raw: Any) -> GroupRecord:
    """Read a group's object."""
    value = raw["value"]
    return GroupRecord(
        name=raw["name"],
        targets=tuple(Target(**item) for item in value["targets"]),
        term=value.get("term", 0),
        primary=value.get("primary") or "",
        starts=tuple(TermStart(**item) for item in value.get("starts", [])),
        version=raw["version"],
    )


def decode_shard(raw: Any) -> TableShard:
    """Read a shard of the table."""
    rows = {
        name: TableRow(
            **{
                "group": name,
                **row,
                "leaving_targets": tuple(row.get("leaving_targets", ())),
            }
        )
        for name, row in raw["value"].get("rows", {}).items()
    }
    return TableShard(
        shard=int(raw["name"]), version=raw["version"], rows=rows
    )
