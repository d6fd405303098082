"""The fleet topologies that tests, the demo and the benchmarks start."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CARPATICA", "MALABAR", "SMALL", "Topology"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """The sizes and locations of one fleet.

    `slots` and `connections` are limits of each target, `connect_ms` is the
    duration of opening a statement connection, and `schema` is SQL that each
    target runs before its first start. `remote_names` are the VMs and targets
    in the remote region.
    """

    name: str
    groups: tuple[str, ...]
    zones: tuple[str, ...]
    members: int = 3
    vms: int = 9
    slots: int = 3
    connections: int = 20
    connect_ms: int = 10
    statement_ms: int = 0
    apply_lag_ms: int = 0
    receive_lag_ms: int = 0
    sites: tuple[str, ...] = ("old", "new")
    region: str = "region-1"
    remote_region: str = "region-2"
    remote_names: tuple[str, ...] = ()
    schema: str = ""

    def zone(self, number: int) -> str:
        """Return the availability zone of the numbered VM or member."""
        return self.zones[number % len(self.zones)]

    def region_of(self, name: str) -> str:
        """Return the region of a VM or target."""
        return self.remote_region if name in self.remote_names else self.region


CARPATICA = Topology(
    name="carpatica",
    groups=("baze-comutare-1", "baze-comutare-2", "baze-comutare-3"),
    zones=("hala-pipera", "hala-militari", "hala-berceni", "hala-otopeni"),
)

MALABAR = Topology(
    name="malabar",
    groups=("loc-core-1", "loc-core-2", "loc-core-3"),
    zones=("kochi", "tvm", "kozhikode"),
    slots=2,
    connections=35,
)

SMALL = Topology(
    name="small",
    groups=("ledger",),
    zones=("zone-a", "zone-b", "zone-c"),
    vms=3,
)
