"""Collect counters and latency histograms of a VM that serves sessions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections import Counter
import time
from typing import TYPE_CHECKING

from bamboospring import logs
from bamboospring.metrics import Distribution
from bamboospring.metrics import Kind
from bamboospring.metrics import Metrics
from bamboospring.metrics import Point
from bamboospring.metrics import Series
from bamboospring.outcomes import Reason
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.overdue import OverdueStatistics
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.statement_trace import job_kind
from bamboospring.sessions.statement_trace import outcome_name
from bamboospring.sessions.statement_trace import StatementTrace
from bamboospring.status_view import resident_bytes

if TYPE_CHECKING:
    from bamboospring.metrics_export import Exporter
    from bamboospring.platform_client import PlatformClient
    from bamboospring.pools import Pools
    from bamboospring.sessions.catalog_keeper import CatalogKeeper
    from bamboospring.sessions.catalog_relay import TransferCounts
    from bamboospring.sessions.held_transactions import HeldTransactions
    from bamboospring.sessions.holder_server import HolderServer
    from bamboospring.sessions.leader_lease import LeaderLease
    from bamboospring.sessions.platform_adapters import CallerListener
    from bamboospring.sessions.ports import SessionLink
    from bamboospring.sessions.runner import StatementRunner
    from bamboospring.sessions.zone_holders import ZoneHolders

__all__ = ["SessionMetrics", "largest_teams"]

# Operators choose the names of routes, so their number is bounded: further
# routes are counted together.
MAX_ROUTES = 64
OTHER_ROUTES = "_other"
# The number of teams shown by name, those that send most; others are counted
# together.
MAX_TEAMS = 32
OTHER_TEAMS = "_other"


class SessionMetrics:
    """Counts the outcomes of statements and exports the state of the node."""

    def __init__(self, *, board: SessionBoard) -> None:
        self._board = board
        self._metrics = Metrics(
            is_known_group=lambda group: True, slow_threshold=lambda group: 1.0
        )
        self._exporter: Exporter | None = None
        self._durations: dict[str, Distribution] = {}
        self._waits: dict[str, Distribution] = {}
        self._outcomes: dict[tuple[str, str, str], int] = {}
        self._routes: set[str] = set()
        self._teams: dict[str, Counter[str]] = {}
        self._replica_reads = 0
        self._hedged = 0
        self._forwarded = 0
        self._forwarded_steps = 0
        self._unready_reason = ""

    def record_statement(
        self, trace: StatementTrace, outcome: SessionOutcome, elapsed: float
    ) -> None:
        """Count a finished statement."""
        kind = job_kind(trace.job)
        self._record(self._durations, kind, elapsed)
        if trace.first_sent_at:
            waited = trace.first_sent_at - trace.job.received_at
            self._record(self._waits, kind, waited)
        outcome_key = outcome_name(outcome)
        reason = getattr(outcome, "reason", None)
        if reason is not None:
            outcome_key = f"{outcome_key}.{reason.value}"
        key = (self._route(trace.job.route.name), kind, outcome_key)
        self._outcomes[key] = self._outcomes.get(key, 0) + 1
        team = trace.session.identity.team
        if team:
            counts = self._teams.setdefault(team, Counter())
            counts[_team_outcome(outcome)] += 1
        self._hedged += trace.hedged
        if trace.through and trace.transaction:
            self._forwarded_steps += 1
        elif trace.through:
            self._forwarded += 1
        if isinstance(outcome, Served) and outcome.at_replica:
            self._replica_reads += 1

    def record_readiness(self, reason: str) -> None:
        """Record the readiness told to the platform; log its changes."""
        if reason != self._unready_reason:
            self._unready_reason = reason
            logs.log_event("readiness", ready=not reason, reason=reason)

    def watch_node(
        self,
        *,
        pools: Pools[SessionLink],
        platform: PlatformClient,
        lease: LeaderLease,
        listener: CallerListener,
        holder_server: HolderServer,
        runner: StatementRunner,
        held_transactions: HeldTransactions,
        now: Callable[[], float],
    ) -> None:
        """Add metrics of the node's components."""
        watch = self._metrics.register
        watch(
            "process.cpu.time",
            time.process_time,
            kind=Kind.COUNTER,
            unit="s",
            description="Processor time used.",
        )
        watch(
            "process.memory.usage",
            resident_bytes,
            unit="By",
            description="Resident memory.",
        )
        watch(
            "bamboospring.sessions",
            lambda: len(listener.sessions()),
            description="Sessions of callers.",
        )
        watch(
            "bamboospring.target.connections",
            lambda: {p.target.name: p.used.connections for p in pools.all()},
            label="target",
            description="Connections to each target.",
        )
        watch(
            "bamboospring.statements.waiting",
            lambda: {p.target.name: p.waiting for p in pools.all()},
            label="target",
            description="Statements that wait for each target.",
        )
        watch(
            "bamboospring.target.connections.full",
            lambda: {p.target.name: p.counters.full for p in pools.all()},
            kind=Kind.COUNTER,
            label="target",
            description="Connections that the target's limit forbade.",
        )
        watch(
            "bamboospring.responses.overdue",
            lambda: self._overdue_counts(lambda counts: counts.overdue),
            kind=Kind.COUNTER,
            label="target",
            description="Statements whose responses were overdue.",
        )
        watch(
            "bamboospring.responses.abandoned",
            lambda: self._overdue_counts(lambda counts: counts.abandoned),
            kind=Kind.COUNTER,
            label="target",
            description="Overdue statements whose connections were closed.",
        )
        watch(
            "bamboospring.statements.held",
            lambda: holder_server.received_count,
            kind=Kind.COUNTER,
            description="Reads that other VMs have passed on to this one.",
        )
        watch(
            "bamboospring.statements.kept_back",
            lambda: {
                "waited": runner.waited_for_holder_count,
                "refused": runner.backpressure_refusal_count,
            },
            kind=Kind.COUNTER,
            label="outcome",
            description="Statements not sent to a holder that was full.",
        )
        watch(
            "bamboospring.transactions.held",
            lambda: held_transactions.open_count,
            description="Transactions of other VMs that are open here.",
        )
        watch(
            "bamboospring.transactions.held.opened",
            lambda: held_transactions.opened_count,
            kind=Kind.COUNTER,
            description="Transactions that other VMs have sent to this one.",
        )
        watch(
            "bamboospring.transactions.held.refused",
            lambda: held_transactions.refused_count,
            kind=Kind.COUNTER,
            description="Those of them that were refused.",
        )
        watch(
            "bamboospring.platform.calls",
            lambda: {k: c.calls for k, c in platform.counts.items()},
            kind=Kind.COUNTER,
            label="purpose",
            description="Calls to the platform's store.",
        )
        watch(
            "bamboospring.platform.calls.failed",
            lambda: {k: c.failed for k, c in platform.counts.items()},
            kind=Kind.COUNTER,
            label="purpose",
            description="Calls to the store that told nothing.",
        )
        watch(
            "bamboospring.platform.calls.timed_out",
            lambda: {k: c.timed_out for k, c in platform.counts.items()},
            kind=Kind.COUNTER,
            label="purpose",
            description="Calls to the store without an answer in time.",
        )
        watch(
            "bamboospring.platform.era",
            lambda: platform.era,
            description="Era of the store, by its newest answer.",
        )
        watch(
            "bamboospring.leads",
            lambda: int(lease.is_held),
            description="1 where changes of primary are led.",
        )
        watch(
            "bamboospring.load_control",
            lambda: int(self._board.load_control),
            description="1 where load control is on.",
        )
        watch(
            "bamboospring.proof.age",
            lambda: {
                name: min(1e6, now() - group.proof.asked_at)
                for name, group in self._board.groups.items()
            },
            unit="s",
            label="group",
            description="Age of the proof of each primary.",
        )
        watch(
            "bamboospring.logs.left_out",
            logs.dropped_lines,
            kind=Kind.COUNTER,
            description="Log lines left out to keep within bounds.",
        )

    def watch_catalog(
        self, *, catalog: CatalogKeeper, counts: TransferCounts
    ) -> None:
        """Add metrics of the configuration and its transfer between VMs."""
        watch = self._metrics.register
        watch(
            "bamboospring.catalog.pending",
            lambda: catalog.pending_seconds,
            unit="s",
            description="Time since a newer configuration was announced.",
        )
        watch(
            "bamboospring.catalog.received",
            lambda: counts.received,
            kind=Kind.COUNTER,
            description="Configurations received from other VMs.",
        )
        watch(
            "bamboospring.catalog.store_reads",
            lambda: counts.given_up,
            kind=Kind.COUNTER,
            description="Configurations read from the store instead.",
        )
        watch(
            "bamboospring.catalog.sent",
            lambda: counts.sent_bytes,
            kind=Kind.COUNTER,
            unit="By",
            description="Bytes of configurations sent to other VMs.",
        )

    def _overdue_counts(
        self, count_of: Callable[[OverdueStatistics], int]
    ) -> dict[str, int]:
        return {
            name: count_of(observed.overdue)
            for group in self._board.groups.values()
            for name, observed in group.observed_targets.items()
        }

    def watch_weight(
        self, *, weight: int, holders: ZoneHolders, now: Callable[[], float]
    ) -> None:
        """Add metrics of this VM's weight and of the targets it holds."""
        watch = self._metrics.register
        watch(
            "bamboospring.vm.weight",
            lambda: weight,
            description="Weight of this VM, by processor and link.",
        )
        watch(
            "bamboospring.targets.held",
            lambda: holders.held_targets(
                (
                    target
                    for group in self._board.groups.values()
                    for target in group.targets
                ),
                now(),
            ),
            description="Targets that this VM holds for its zone.",
        )

    def load_exporter(self) -> None:
        """Import the exporter; may run in a thread.

        The import takes 0.1 s and 9 MB, which a VM whose metrics nobody reads
        should not spend, least of all at its start.
        """
        if self._exporter is None:
            from bamboospring.metrics_export import Exporter

            self._exporter = Exporter(
                vm=self._board.vm,
                availability_zone=self._board.availability_zone,
            )

    def text(self) -> bytes | None:
        """Return the metrics as Prometheus text; None without an exporter."""
        if self._exporter is None:
            return None
        return self._exporter.text(self._series())

    def _series(self) -> Iterator[Series]:
        yield from self._metrics.registered_series()
        yield _histogram(
            "db.client.operation.duration",
            "Time from a caller's request to its answer.",
            self._durations,
        )
        yield _histogram(
            "bamboospring.statement.wait",
            "Time from a caller's request until it was sent to a target.",
            self._waits,
        )
        yield Series(
            name="bamboospring.statements",
            kind=Kind.COUNTER,
            unit="1",
            description="Statements by route, kind and outcome.",
            points=[
                Point(
                    attributes={
                        "route": route,
                        "db.operation.name": kind,
                        "outcome": cause,
                    },
                    value=count,
                )
                for (route, kind, cause), count in self._outcomes.items()
            ],
        )
        yield Series(
            name="bamboospring.team.statements",
            kind=Kind.COUNTER,
            unit="1",
            description="Statements by team and what became of them.",
            points=[
                Point(
                    attributes={"team": team, "outcome": outcome},
                    value=count,
                )
                for team, counts in largest_teams(self._teams).items()
                for outcome, count in counts.items()
            ],
        )
        for name, value, text in (
            ("reads.replica", self._replica_reads, "Reads at replicas."),
            ("reads.hedged", self._hedged, "Reads also sent elsewhere."),
            ("reads.passed_on", self._forwarded, "Reads at holders."),
            (
                "transactions.passed_on",
                self._forwarded_steps,
                "Statements of transactions at holders.",
            ),
        ):
            yield Series(
                name=f"bamboospring.{name}",
                kind=Kind.COUNTER,
                unit="1",
                description=text,
                points=[Point(attributes={}, value=value)],
            )

    def _route(self, name: str) -> str:
        if name not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._routes.add(name)
        return name

    def _record(
        self, distributions: dict[str, Distribution], kind: str, seconds: float
    ) -> None:
        distributions.setdefault(kind, Distribution()).record(seconds)


def largest_teams(
    teams: dict[str, Counter[str]], max_teams: int = MAX_TEAMS
) -> dict[str, Counter[str]]:
    """Return the counts of the teams that sent most and of the others.

    All others are counted together, which bounds the size of a scrape, however
    many teams there are.
    """
    ranked = sorted(teams, key=lambda team: (-teams[team].total(), team))
    shown = {team: teams[team] for team in ranked[:max_teams]}
    others: Counter[str] = Counter()
    for team in ranked[max_teams:]:
        others.update(teams[team])
    if others:
        shown[OTHER_TEAMS] = others
    return shown


def _team_outcome(outcome: SessionOutcome) -> str:
    """Return served, limited or other."""
    if isinstance(outcome, Served):
        return "served"
    limited = getattr(outcome, "reason", None) is Reason.TEAM_LIMIT
    return "limited" if limited else "other"


def _histogram(
    name: str, description: str, by_kind: dict[str, Distribution]
) -> Series:
    return Series(
        name=name,
        kind=Kind.HISTOGRAM,
        unit="s",
        description=description,
        points=[
            Point(attributes={"db.operation.name": kind}, value=value)
            for kind, value in by_kind.items()
        ],
    )
