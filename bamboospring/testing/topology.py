"""The estates that tests, the demo and the bench bring up, as plain data."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CARPATICA", "Topology", "MALABAR", "SMALL"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """Sizes and places of one estate.

    `slots` and `connections` hold for each target, `connect_ms` is what a
    new statement connection costs, `schema` is SQL run at every target
    before the first start. `far` names the VMs and targets that stand in
    another region.
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
