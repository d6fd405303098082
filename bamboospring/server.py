"""The main process of a VM."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.blackboard import Target
from bamboospring.connections import ConnectionTiming
from bamboospring.entry_processes import EntryProcesses
from bamboospring.holder import Holder
from bamboospring.http_client import HttpConnection
from bamboospring.http_dialer import HttpDialer
from bamboospring.lease import LeaseTiming
from bamboospring.platform_client import CallTiming
from bamboospring.platform_client import PlatformClient
from bamboospring.pool import DialerFactory
from bamboospring.pool import PoolTiming
from bamboospring.pools import Pools
from bamboospring.process import Process
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.retry_budget import RetryBudget
from bamboospring.server_metrics import add_main_metrics
from bamboospring.server_metrics import add_process_metrics
from bamboospring.settings import Settings
from bamboospring.share_keeper import ShareKeeper
from bamboospring.shared_facts import SharedFacts
from bamboospring.shares import ShareTiming
from bamboospring.statement_server import StatementServer
from bamboospring.status_view import StatusView
from bamboospring.steward import Steward
from bamboospring.suspicion import FailureTiming
from bamboospring.table_editor import TableEditor
from bamboospring.table_pages import make_target_prober
from bamboospring.table_pages import TablePages
from bamboospring.target_watcher import TargetWatcher

__all__ = ["Server"]


class Server(Process):
    """The components of the main process of a VM."""

    def __init__(self, cfg: Settings, path: str = "") -> None:
        super().__init__(cfg, path)
        to_targets = self._secured(cfg.targets.tls, lambda s: s.targets.tls)
        self.platform = PlatformClient(
            reactor=self._secured(cfg.platform.tls, lambda s: s.platform.tls),
            address=cfg.platform.address,
            timing=CallTiming(
                timeout=cfg.timing.platform_timeout_ms / 1000,
                first_backoff=cfg.timing.backoff_ms / 1000,
                max_backoff=cfg.timing.longest_backoff_ms / 1000,
            ),
        )
        self.pools = Pools(
            reactor=to_targets,
            make_dialer=_dial_over_http(cfg, to_targets),
            queue_limit=cfg.limits.queue_length,
            timing=_pool_timing(cfg),
        )
        self.watcher = TargetWatcher(
            reactor=to_targets,
            board=self.board,
            placement=self.placement,
            timing=FailureTiming(
                unresponsive_timeout=cfg.timing.suspect_ms / 1000
            ),
        ).register(self)
        self.holder = Holder(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            pools=self.pools,
            watcher=self.watcher,
            codec=self.codec,
            transaction_idle_timeout=cfg.timing.transaction_idle_ms / 1000,
            budget=RetryBudget(percent=cfg.limits.retry_percent),
        ).register(self)
        StatementServer(
            reactor=self.reactor, peers=self.peers, holder=self.holder
        )
        self.entry = self._make_entry(self.holder)
        self.facts = SharedFacts(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            platform=self.platform,
            membership=self.membership,
            timing=cfg.timing,
            seeds=cfg.peers.seeds,
        ).register(self)
        self.shares = ShareKeeper(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            pools=self.pools,
            timing=ShareTiming(
                grace_period=cfg.timing.share_grace_ms / 1000,
                isolation_timeout=cfg.timing.share_isolation_ms / 1000,
                single_vm=cfg.single_vm,
            ),
        ).register(self)
        self.facts.sync.on_heartbeat.append(self.shares.record_contact)
        self.entry_processes = EntryProcesses(
            board=self.board, peers=self.peers, now=self.reactor.now
        )
        self.facts.sync.extra_recipients = self.entry_processes.live_addresses
        self.steward = Steward(
            reactor=to_targets,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            platform=self.platform,
            timing=LeaseTiming(
                duration=cfg.lease.duration_ms / 1000,
                renew_interval=cfg.lease.renew_ms / 1000,
                safety_margin=cfg.lease.margin_ms / 1000,
            ),
            publish=self.facts.publish,
        ).register(self)
        self.watcher.on_verdict = self.steward.report
        self.watcher.on_hint = self.steward.send_hint
        self.drain = self._make_drain()
        self.drain.wait_for("statements", lambda: self.holder.in_flight_count)
        self.drain.wait_for("leases", self.steward.leases.count_held)
        self.table_pages = TablePages(
            board=self.board,
            platform=self.platform,
            editor=TableEditor(
                reactor=self.reactor,
                platform=self.platform,
                probe_targets=make_target_prober(to_targets),
                on_stored=self.facts.store.apply_shard_value,
            ),
        )
        status = StatusView(
            board=self.board,
            placement=self.placement,
            metrics=self.metrics,
            pools=self.pools,
            now=self.reactor.now,
            processes=self.entry_processes.as_vms,
        )
        self.operators = self._make_operators(
            status=status,
            handle_table=self.table_pages.handle,
            hand_over=self._order_hand_over,
        )
        add_process_metrics(self)
        add_main_metrics(self)

    def _order_hand_over(self, group: str, target: str) -> None:
        """Send the order to all lease candidates; only the steward acts."""
        for vm in self.placement.candidates(bucket_of(group)):
            if vm.name == self.board.local_vm.name:
                self.steward.hand_over(group, target)
                continue
            self._send_hand_over(vm, group, target)


def _dial_over_http(
    cfg: Settings, reactor: Reactor
) -> DialerFactory[HttpConnection]:
    # Later than the timeout after which the holder itself ends a transaction.
    idle = cfg.timing.transaction_idle_ms / 1000 + 5

    def dial(
        target: Target, on_ended: Callable[[list[int]], None]
    ) -> HttpDialer:
        return HttpDialer(
            reactor=reactor,
            target=target,
            vm=cfg.vm,
            idle_transaction=idle,
            on_ended=on_ended,
        )

    return dial


def _pool_timing(cfg: Settings) -> PoolTiming:
    return PoolTiming(
        connect_timeout=cfg.timing.connect_timeout_ms / 1000,
        connections=ConnectionTiming(
            open_interval=cfg.timing.connect_interval_ms / 1000,
            heartbeat_interval=cfg.timing.target_heartbeat_ms / 1000,
            heartbeat_timeout=cfg.timing.target_heartbeat_timeout_ms / 1000,
        ),
    )
