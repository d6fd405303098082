"""Metrics of a process's components, in addition to those of statements."""

from __future__ import annotations

import resource
import time
from typing import TYPE_CHECKING

from bamboospring.metrics import Kind
from bamboospring.status_view import resident_bytes

if TYPE_CHECKING:
    from bamboospring.process import Process
    from bamboospring.server import Server

__all__ = ["add_main_metrics", "add_process_metrics"]


def add_process_metrics(server: Process) -> None:
    """Add the metrics of every process of a VM."""
    metrics = server.metrics
    metrics.register(
        "process.cpu.time",
        time.process_time,
        kind=Kind.COUNTER,
        unit="s",
        description="Processor time used.",
    )
    metrics.register(
        "process.memory.usage",
        resident_bytes,
        unit="By",
        description="Resident memory.",
    )
    metrics.register(
        "process.context_switches",
        lambda: resource.getrusage(resource.RUSAGE_SELF).ru_nivcsw,
        kind=Kind.COUNTER,
        description="Times the processor was taken away.",
    )
    metrics.register(
        "bamboospring.caller.connections",
        lambda: len(server.entry.server.connections),
        description="Connections from callers.",
    )
    metrics.register(
        "bamboospring.peer.io",
        lambda: {
            "transmit": server.peers.sent_bytes,
            "receive": server.peers.received_bytes,
        },
        kind=Kind.COUNTER,
        unit="By",
        label="network.io.direction",
        description="Bytes exchanged with other VMs.",
    )
    _watch_facts(server)


def add_main_metrics(server: Server) -> None:
    """Add the metrics of a VM's main process."""
    metrics = server.metrics
    metrics.register(
        "bamboospring.statements.running",
        lambda: server.holder.in_flight_count,
        description="Statements running here as a holder.",
    )
    metrics.register(
        "bamboospring.processes",
        lambda: len(server.entry_processes.live_addresses()),
        description="Entry-only processes beside this one.",
    )
    _watch_pools(server)
    _watch_control(server)


def _watch_pools(server: Server) -> None:
    metrics = server.metrics
    metrics.register(
        "bamboospring.target.connections",
        lambda: {
            "used": sum(p.used.connections for p in server.pools.all()),
            "share": sum(p.share.connections for p in server.pools.all()),
        },
        label="state",
        description="Connections to targets in use, and this VM's share.",
    )
    metrics.register(
        "bamboospring.target.slots",
        lambda: {
            "used": sum(p.used.slots for p in server.pools.all()),
            "share": sum(p.share.slots for p in server.pools.all()),
        },
        label="state",
        description="Statements running at targets, and this VM's share.",
    )
    metrics.register(
        "bamboospring.statements.waiting",
        lambda: sum(pool.waiting for pool in server.pools.all()),
        description="Statements that wait for a slot at a target.",
    )


def _watch_control(server: Server) -> None:
    metrics = server.metrics
    board = server.board
    metrics.register(
        "bamboospring.platform.calls",
        lambda: {
            purpose: counts.calls
            for purpose, counts in server.platform.counts.items()
        },
        kind=Kind.COUNTER,
        label="purpose",
        description="Calls to the platform, by purpose.",
    )
    metrics.register(
        "bamboospring.platform.failures",
        lambda: {
            purpose: counts.failed
            for purpose, counts in server.platform.counts.items()
        },
        kind=Kind.COUNTER,
        label="purpose",
        description="Calls to the platform without a usable answer.",
    )
    metrics.register(
        "bamboospring.leases",
        lambda: sum(
            lease.valid_until > server.reactor.now()
            for lease in board.leases.values()
        ),
        description="Buckets of groups that this VM leads.",
    )


def _watch_facts(server: Process) -> None:
    metrics = server.metrics
    board = server.board
    metrics.register(
        "bamboospring.vms",
        lambda: len(board.vms),
        description="VMs in the list in force.",
    )
    metrics.register(
        "bamboospring.table.version",
        lambda: {
            str(shard): each.version for shard, each in board.table.items()
        },
        label="shard",
        description="Version of the table in force, by shard.",
    )
