"""`bamboospring serve`: wire the components of one VM's process together."""

from __future__ import annotations

from collections.abc import Callable

from circuits import Component

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.connections import ConnectionTiming
from bamboospring.drain import Drain
from bamboospring.entry import Entry
from bamboospring.errors import ListenError
from bamboospring.facts import Facts
from bamboospring.fleet_view import FleetView
from bamboospring.holder import Holder
from bamboospring.lease import LeaseTiming
from bamboospring import logs
from bamboospring.membership import Membership
from bamboospring.metrics import Metrics
from bamboospring.operators import Operators
from bamboospring.peers import envelope
from bamboospring.peers import Peers
from bamboospring.platform_client import CallTiming
from bamboospring.platform_client import PlatformClient
from bamboospring.pool import Pools
from bamboospring.pool import PoolTiming
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.rotation import Rotation
from bamboospring.server_metrics import watch_process
from bamboospring.settings import Settings
from bamboospring.settings import Tls
from bamboospring.share_keeper import ShareKeeper
from bamboospring.shares import ShareTiming
from bamboospring.statement_server import StatementServer
from bamboospring.status_view import StatusView
from bamboospring.steward import Steward
from bamboospring.suspicion import WatchTiming
from bamboospring.table_editor import TableEditor
from bamboospring.table_pages import make_reach
from bamboospring.table_pages import TablePages
from bamboospring.tls import Keys
from bamboospring.tls import secured
from bamboospring.tokens import TokenCodec
from bamboospring.tokens import TokenKey
from bamboospring.watcher import Watcher

__all__ = ["Server", "run"]


class Server(Component):
    """All that one process is made of."""

    def __init__(self, cfg: Settings, path: str = "") -> None:
        super().__init__()
        self.cfg = cfg
        self.reactor = Reactor().register(self)
        self.rotation = Rotation(reactor=self.reactor, path=path)
        self.rotation.add(self._take_settings)
        to_targets = self._secured(cfg.targets.tls, lambda s: s.targets.tls)
        self.board = Blackboard(
            me=Vm(
                name=cfg.vm,
                address=cfg.peers.listen,
                availability_zone=cfg.availability_zone,
                region=cfg.region,
            )
        )
        self.placement = Placement()
        self.peers = Peers(
            reactor=self._secured(
                cfg.peers.tls, lambda s: s.peers.tls, check_name=False
            ),
            vm=cfg.vm,
            listen=cfg.peers.listen,
        )
        self.platform = PlatformClient(
            reactor=self._secured(cfg.platform.tls, lambda s: s.platform.tls),
            address=cfg.platform.address,
            timing=CallTiming(
                timeout=cfg.timing.platform_timeout_ms / 1000,
                first_backoff=cfg.timing.backoff_ms / 1000,
                longest_backoff=cfg.timing.longest_backoff_ms / 1000,
            ),
        )
        self.membership = Membership()
        self.metrics = Metrics(
            knows=self.board.knows_group, slow_after=self._slow_after
        )
        self.pools = Pools(
            reactor=to_targets,
            vm=cfg.vm,
            queue_limit=cfg.limits.queue_length,
            timing=_pool_timing(cfg),
        )
        self.watcher = Watcher(
            reactor=to_targets,
            board=self.board,
            placement=self.placement,
            timing=WatchTiming(silent=cfg.timing.suspect_ms / 1000),
        ).register(self)
        self.codec = TokenCodec(keys=_token_keys(cfg))
        self.holder = Holder(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            pools=self.pools,
            watcher=self.watcher,
            codec=self.codec,
            transaction_idle=cfg.timing.transaction_idle_ms / 1000,
            budget=RetryBudget(percent=cfg.limits.retry_percent),
        ).register(self)
        StatementServer(
            reactor=self.reactor, peers=self.peers, holder=self.holder
        )
        self.entry = Entry(
            reactor=self._secured(cfg.callers.tls, lambda s: s.callers.tls),
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            holder=self.holder,
            codec=self.codec,
            membership=self.membership,
            listen=cfg.callers.listen,
            budget=RetryBudget(percent=cfg.limits.retry_percent),
            on_answered=self.metrics.answered,
        ).register(self)
        self.facts = Facts(
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
                grace=cfg.timing.share_grace_ms / 1000,
                isolation=cfg.timing.share_isolation_ms / 1000,
            ),
        ).register(self)
        self.facts.sync.on_heard.append(self.shares.heard)
        self.steward = Steward(
            reactor=to_targets,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            platform=self.platform,
            timing=LeaseTiming(
                duration=cfg.lease.duration_ms / 1000,
                renew=cfg.lease.renew_ms / 1000,
                margin=cfg.lease.margin_ms / 1000,
            ),
            publish=self.facts.publish,
        ).register(self)
        self.watcher.on_verdict = self.steward.report
        self.watcher.on_hint = self.steward.hint
        self.drain = Drain(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            callers=self.entry.server,
            notice=cfg.timing.drain_notice_ms / 1000,
            patience=cfg.timing.drain_idle_ms / 1000,
            limit=cfg.timing.drain_ms / 1000,
        ).register(self)
        self.drain.wait_for("statements", lambda: self.holder.busy)
        self.drain.wait_for("leases", self.steward.leases.count_held)
        self.table_pages = TablePages(
            board=self.board,
            platform=self.platform,
            editor=TableEditor(
                reactor=self.reactor,
                platform=self.platform,
                reach=make_reach(to_targets),
                on_stored=self.facts.store.take_shard_value,
            ),
        )
        status = StatusView(
            board=self.board,
            placement=self.placement,
            metrics=self.metrics,
            pools=self.pools,
            now=self.reactor.now,
        )
        self.operators = Operators(
            reactor=self._secured(
                cfg.operators.tls, lambda s: s.operators.tls
            ),
            address=cfg.operators.listen,
            token=lambda: self.cfg.operators.token,
            board=self.board,
            metrics=self.metrics,
            status=status,
            fleet=FleetView(
                board=self.board, peers=self.peers, describe=status.describe
            ),
            handle_table=self.table_pages.handle,
            hand_over=self._order_hand_over,
        )
        watch_process(self)

    def _secured(
        self,
        tls: Tls | None,
        find: Callable[[Settings], Tls | None],
        *,
        check_name: bool = True,
    ) -> Reactor:
        if tls is None:
            return self.reactor
        keys = Keys(tls=tls, check_name=check_name)
        self.rotation.add_keys(keys, find)
        return secured(self.reactor, keys)

    def _slow_after(self, group: str) -> float:
        objectives = self.cfg.objectives
        found = objectives.groups.get(group, objectives.default)
        return found.latency_ms / 1000

    def _take_settings(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.codec.use(_token_keys(cfg))
        logs.configure(level=cfg.logs.level, vm=cfg.vm)

    def _order_hand_over(self, group: str, target: str) -> None:
        """Tell all who may lead the group; only the one who does acts."""
        for vm in self.placement.candidates(bucket_of(group)):
            if vm.name == self.board.me.name:
                self.steward.hand_over(group, target)
                continue
            message = envelope()
            order = message.init("handOver")
            order.group = group
            order.target = target
            self.peers.send(vm.address, message)


def _pool_timing(cfg: Settings) -> PoolTiming:
    return PoolTiming(
        connect_timeout=cfg.timing.connect_timeout_ms / 1000,
        # After the holder itself has given the transaction up.
        idle_transaction=cfg.timing.transaction_idle_ms / 1000 + 5,
        connections=ConnectionTiming(
            pace=cfg.timing.connect_interval_ms / 1000,
            heartbeat=cfg.timing.target_heartbeat_ms / 1000,
            heartbeat_timeout=cfg.timing.target_heartbeat_timeout_ms / 1000,
        ),
    )


def _token_keys(cfg: Settings) -> list[TokenKey]:
    return [
        TokenKey(id=key.id, secret=key.secret.encode())
        for key in cfg.token_keys
    ]


def run(cfg: Settings, path: str = "") -> None:
    """Serve until told to stop; `path` is where SIGHUP reads again."""
    logs.configure(level=cfg.logs.level, vm=cfg.vm)
    try:
        server = Server(cfg, path)
    except OSError as exc:
        raise ListenError(f"cannot listen: {exc}") from exc
    if path:
        server.rotation.install()
    logs.log_event(
        "listening",
        callers=server.entry.server.address,
        peers=server.peers.listener.address,
        operators=server.operators.address,
    )
    server.run()
