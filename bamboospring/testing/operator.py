"""Operators of a fleet, and an observer of the table versions in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import threading
from typing import Any
import uuid

from bamboospring.operator_client import OperatorClient
from bamboospring.operator_client import Unreachable
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.fleet import wait_until

__all__ = ["Operator", "TableVersionObserver"]

POLL_SECONDS = 0.05


@dataclass(slots=True, kw_only=True)
class Operator:
    """One operator, whose requests go to one VM."""

    fleet: Fleet
    vm: str
    name: str = "ana"

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request to the VM and return the body of the answer."""
        return self._client().call(method, path, body).body

    def row(self, group: str) -> dict[str, Any]:
        """Return the accepted row of a group, with its version."""
        table = self.call("GET", "/table")
        for row in table["rows"]:
            if row["group"] == group:
                return dict(row)
        raise KeyError(group)

    def edit(
        self,
        group: str,
        cells: dict[str, Any],
        *,
        if_version: int | None,
        edit_id: str = "",
    ) -> dict[str, Any]:
        """Edit one row and return the report; `edit_id` is its id if set."""
        edit: dict[str, Any] = {"group": group, "cells": cells}
        if if_version is not None:
            edit["if_version"] = if_version
        body = {
            "id": edit_id or uuid.uuid4().hex,
            "author": self.name,
            "comment": "",
            "edits": [edit],
        }
        report: dict[str, Any] = self.call("POST", "/table/edits", body)
        return report

    def edit_accepted(self, group: str, **cells: Any) -> dict[str, Any]:
        """Edit one row at its current version; the edit must be accepted."""
        report = self.edit(group, cells, if_version=None)
        assert report["verdict"] == "accepted", report
        return report

    def in_force(self) -> dict[str, Any]:
        """Return the table that is in force at the VM."""
        table: dict[str, Any] = self.call("GET", "/table/in-force")
        return table

    def _client(self) -> OperatorClient:
        address = self.fleet.vms[self.vm].operators_listen
        return OperatorClient(vms=(address,), token=OPERATOR_TOKEN)


class TableVersionObserver:
    """Continuously polls the table versions in force at each VM.

    `regressions` lists every version that was lower than an earlier one at
    the same VM, also across a restart of its process.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.regressions: list[str] = []
        self.samples = 0
        self._fleet = fleet
        self._highest: dict[tuple[str, str], int] = {}
        self._since: dict[tuple[str, str, int], float] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll, args=(vm,), daemon=True)
            for vm in fleet.vms
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()
        for thread in self._threads:
            thread.join(5)

    def has_reached(self, vm: str, shard: int, version: int) -> bool:
        """Return whether a VM has had this version or a later one in force."""
        return self._highest.get((vm, str(shard)), 0) >= version

    def wait_in_force(
        self, shard: int, version: int, vms: Iterable[str], seconds: float
    ) -> None:
        """Wait until a version has been in force at all given VMs."""
        wait_until(
            lambda: all(self.has_reached(vm, shard, version) for vm in vms),
            seconds=seconds,
            what=f"shard {shard} version {version} in force",
        )

    def _poll(self, vm: str) -> None:
        operator = Operator(fleet=self._fleet, vm=vm)
        while not self._stop.wait(POLL_SECONDS):
            try:
                shards = operator.in_force()["shards"]
            except (Unreachable, KeyError, TypeError):
                continue
            self.samples += 1
            for shard, version in shards.items():
                self._record_version(vm, shard, version)

    def _record_version(self, vm: str, shard: str, version: int) -> None:
        highest = self._highest.get((vm, shard), 0)
        if version < highest:
            self.regressions.append(
                f"{vm} shard {shard}: {highest} to {version}"
            )
        self._highest[vm, shard] = max(highest, version)
