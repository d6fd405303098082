"""Conversion between the platform's objects and the blackboard's types.

Decoding a malformed object returns None, which the caller logs: an object that
was edited by hand must not stop a process, and the last valid version stays in
force.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Liveness
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import TableShard
from bamboospring.blackboard import Target
from bamboospring.blackboard import TermStart
from bamboospring.blackboard import Vm
from bamboospring.commit import majorities_overlap

__all__ = [
    "decode_group",
    "decode_row",
    "decode_shard",
    "decode_vm",
    "encode_group",
    "encode_row",
    "encode_shard",
    "encode_vm",
]

MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


def decode_group(name: str, version: int, value: Any) -> GroupRecord | None:
    """Decode the record in a group's object."""
    try:
        targets = tuple(_decode_target(t) for t in value["targets"])
        settled = tuple(str(name) for name in value.get("settled", ()))
        names = {target.name for target in targets}
        return GroupRecord(
            name=name,
            targets=targets,
            term=int(value.get("term", 0)),
            primary=str(value.get("primary", "")),
            starts=tuple(_decode_start(s) for s in value.get("starts", ())),
            settled=settled,
            majority_overlap_lost=bool(settled)
            and not majorities_overlap(settled, names),
            version=version,
        )
    except MALFORMED:
        return None


def encode_group(record: GroupRecord) -> dict[str, Any]:
    """Encode a record as the value of a group's object."""
    return {
        "targets": [_encode_target(t) for t in record.targets],
        "term": record.term,
        "primary": record.primary,
        "starts": [{"term": s.term, "index": s.index} for s in record.starts],
        "settled": list(record.settled),
    }


def decode_shard(shard: int, version: int, value: Any) -> TableShard | None:
    """Decode the rows in a table shard's object."""
    try:
        rows = {
            group: decode_row(group, row)
            for group, row in value["rows"].items()
        }
    except MALFORMED:
        return None
    return TableShard(shard=shard, version=version, rows=rows)


def encode_shard(shard: TableShard) -> dict[str, Any]:
    """Encode a shard's rows as JSON, without the history."""
    rows = {name: encode_row(row) for name, row in shard.rows.items()}
    return {"rows": rows}


def decode_row(group: str, row: Mapping[str, Any]) -> TableRow:
    """Decode a row; raise one of `MALFORMED` if it is malformed."""
    return TableRow(
        group=group,
        read_weights=_decode_weights(row.get("read_weights", {})),
        write_weights=_decode_weights(row.get("write_weights", {})),
        max_connections=int(row.get("max_connections", 0)),
        max_slots=int(row.get("max_slots", 0)),
        max_staleness_ms=int(row.get("max_staleness_ms", 0)),
        leaving_targets=tuple(str(n) for n in row.get("leaving_targets", ())),
    )


def encode_row(row: TableRow) -> dict[str, Any]:
    """Encode a row as JSON."""
    return {
        "group": row.group,
        "read_weights": dict(row.read_weights),
        "write_weights": dict(row.write_weights),
        "max_connections": row.max_connections,
        "max_slots": row.max_slots,
        "max_staleness_ms": row.max_staleness_ms,
        "leaving_targets": list(row.leaving_targets),
    }


def decode_vm(value: Mapping[str, Any]) -> Vm | None:
    """Decode a VM of the platform's list."""
    try:
        return Vm(
            name=value["name"],
            address=value["address"],
            availability_zone=value.get("availability_zone", ""),
            region=value.get("region", ""),
            liveness=Liveness(value.get("state", "live")),
        )
    except MALFORMED:
        return None


def encode_vm(vm: Vm) -> dict[str, str]:
    """Encode a VM as in the platform's list."""
    return {
        "name": vm.name,
        "address": vm.address,
        "availability_zone": vm.availability_zone,
        "region": vm.region,
        "state": vm.liveness.value,
    }


def _decode_target(value: Mapping[str, Any]) -> Target:
    return Target(
        name=value["name"],
        address=value["address"],
        availability_zone=value.get("availability_zone", ""),
        site=value.get("site", ""),
        slots=int(value.get("slots", 3)),
        connections=int(value.get("connections", 20)),
    )


def _encode_target(target: Target) -> dict[str, Any]:
    return {
        "name": target.name,
        "address": target.address,
        "availability_zone": target.availability_zone,
        "site": target.site,
        "slots": target.slots,
        "connections": target.connections,
    }


def _decode_start(value: Mapping[str, Any]) -> TermStart:
    return TermStart(term=int(value["term"]), index=int(value["index"]))


def _decode_weights(value: Mapping[str, Any]) -> dict[str, int]:
    return {str(site): int(weight) for site, weight in value.items()}
