"""Create and connect the components of a VM that serves sessions."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import secrets
import threading

from bamboospring.components import Component

from bamboospring.blackboard import Target
from bamboospring.breaker import BreakerTiming
from bamboospring.connections import ConnectionTiming
from bamboospring.http_server import HttpServer
from bamboospring.http_server import Request
from bamboospring.http_server import Response
from bamboospring.lease import LeaseTiming
from bamboospring import logs
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.peers import Peers
from bamboospring.platform_client import CallTiming
from bamboospring.platform_client import PlatformClient
from bamboospring.pool import PoolTiming
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reloader import SettingsReloader
from bamboospring.retry_budget import RetryBudget
from bamboospring.sessions.access import identify
from bamboospring.sessions.catalog_keeper import CATALOG_PURPOSE
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.catalog_relay import CatalogRelay
from bamboospring.sessions.held_transactions import HeldTransactions
from bamboospring.sessions.holder_links import HolderLinks
from bamboospring.sessions.holder_server import HolderServer
from bamboospring.sessions.leader import Leader
from bamboospring.sessions.load_control import is_load_control_on
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.platform_adapters import PlatformAdapters
from bamboospring.sessions.ports import CallerChannel
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.quota_client import QuotaClient
from bamboospring.sessions.quota_counter import QuotaCounter
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.readiness import unready_reason
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.relay import FactRelay
from bamboospring.sessions.runner import StatementRunner
from bamboospring.sessions.session import Session
from bamboospring.sessions.session_metrics import SessionMetrics
from bamboospring.sessions.session_opening import judge_opening
from bamboospring.sessions.session_opening import OpeningPending
from bamboospring.sessions.session_shutdown import SessionShutdown
from bamboospring.sessions.settings import load
from bamboospring.sessions.settings import SessionSettings
from bamboospring.sessions.statement_trace import StatementLogger
from bamboospring.sessions.target_control import TargetControl
from bamboospring.sessions.target_keeper import TargetKeeper
from bamboospring.sessions.team_quota import QuotaTolerance
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.sessions.vm_weight import vm_weight
from bamboospring.sessions.zone_directory_keeper import DIRECTORY_NAME
from bamboospring.sessions.zone_directory_keeper import ZoneDirectoryKeeper
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.target_link import Dialer

__all__ = ["LINK_BREAKER", "SessionNode"]

# Seconds that the answer to a watch may take beyond the watch's wait time;
# after that, the connection is considered unresponsive.
WATCH_MARGIN = 0.6
# Minimum timeout of calls to the store in seconds: long compared to the usual
# response time, short compared to the duration of a lease.
MIN_STORE_TIMEOUT = 0.25
# Seconds that connections to targets stay idle before they are checked or
# closed: a new connection takes a slot of the target, a check only a short
# exchange.
LINK_TIMING = ConnectionTiming(
    open_interval=0.005,
    heartbeat_interval=2.5,
    heartbeat_timeout=0.5,
    idle_timeout=1.5,
    scarce_idle_timeout=0.3,
    spare_idle_timeout=0.1,
)
# A target that has recovered is tried within half a second. Trials are made
# only for statements, so there are few of them where many VMs share few
# statements.
LINK_BREAKER = BreakerTiming(max_open_duration=0.3)
# Seconds by which each VM in the order of candidates for a free lease waits
# longer than the one before. Two that try at once cost one refused call; a
# larger delay prolongs the time without a leader for every group.
LEASE_STAGGER = 0.04
# Sessions are named in logs by their team or, where there are no teams, by the
# first characters of the caller's key digest.
ANONYMOUS = "anonymous"
CALLER_NAME_LENGTH = 8
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRICS_RECHECK_INTERVAL = 0.05


class SessionNode(Component):
    """The components of a process that serves sessions."""

    def __init__(
        self, cfg: SessionSettings, adapters: PlatformAdapters, path: str = ""
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.adapters = adapters
        self.reactor = Reactor().register(self)
        self.settings_reloader = SettingsReloader(
            reactor=self.reactor, path=path, load=load
        )
        self.settings_reloader.add_listener(self._apply_settings)
        self._started_at = self.reactor.now()
        self.board = SessionBoard(
            vm=cfg.vm,
            availability_zone=cfg.availability_zone,
            key_lifetime=_key_lifetime(cfg),
            load_control=is_load_control_on(cfg, adapters.load_control_terms),
        )
        # Decided once, as load control is: a changed weight moves targets.
        self.weight = vm_weight(cfg.resources)
        self.metrics = SessionMetrics(board=self.board)
        self.platform = PlatformClient(
            reactor=self.reactor,
            address=cfg.platform,
            timing=CallTiming(
                timeout=cfg.timing.platform_timeout_ms / 1000,
                max_backoff=cfg.timing.longest_backoff_ms / 1000,
                min_timeout=MIN_STORE_TIMEOUT,
                watch_margin=WATCH_MARGIN,
                large_purposes=frozenset(
                    {CATALOG_PURPOSE, adapters.catalog_kind}
                ),
            ),
            dialect=adapters.dialect,
        )
        self.pools: Pools[SessionLink] = Pools(
            reactor=self.reactor,
            make_dialer=self._dial,
            queue_limit=cfg.limits.queue_length,
            timing=PoolTiming(
                connect_timeout=cfg.timing.connect_timeout_ms / 1000,
                connections=LINK_TIMING,
                breaker=LINK_BREAKER,
            ),
        )
        self._create_keepers()
        self._create_service()
        self.metrics.watch_node(
            pools=self.pools,
            platform=self.platform,
            lease=self.leader.lease,
            listener=self.callers,
            holder_server=self.holder_server,
            runner=self.runner,
            held_transactions=self.held_transactions,
            now=self.reactor.now,
        )
        self.metrics.watch_catalog(
            catalog=self.catalog, counts=self.catalog_relay.counts
        )
        self.metrics.watch_weight(
            weight=self.weight, holders=self.holders, now=self.reactor.now
        )

    def start_work(self) -> None:
        """Start the components."""
        logs.log_event("load_control", on=self.board.load_control)
        logs.log_event(
            "vm_weight",
            weight=self.weight,
            used=self.board.load_control,
            processor_share=self.cfg.resources.processor_share,
            processor_speed=self.cfg.resources.processor_speed,
            link_mbps=self.cfg.resources.link_mbps,
        )
        self.catalog.start()
        self.targets.on_listed = self._on_targets_listed
        self.targets.start()
        self.pools.start()
        self.settings_reloader.poll_file()

    def _on_targets_listed(self) -> None:
        """Register with the first list of targets, whose version is stored."""
        if self.registry.is_started:
            self.registry.on_targets_listed()
        else:
            self.registry.start(self._on_registered)

    def _on_registered(self) -> None:
        """Start the other components once this VM is listed.

        A VM that is not on the list of VMs may not take proofs.
        """
        self.records.start()
        self.leader.start()
        self.relay.start()
        self.holder_links.start()

    def _on_zone_members(self) -> None:
        """Prepare for the holders that a new list of VMs gives."""
        self.targets.apply_connection_limits()
        self.holder_links.open_missing()

    def _create_keepers(self) -> None:
        adapters = self.adapters
        self.peers = Peers(
            reactor=self.reactor,
            vm=self.cfg.vm,
            listen=self.cfg.peers_listen or self.cfg.peers,
        )
        self.registry = VmRegistry(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            local_vm=ListedVm(
                name=self.cfg.vm,
                address=self.cfg.peers,
                availability_zone=self.cfg.availability_zone,
                nonce=secrets.token_hex(8),
            ),
        )
        self.holders = ZoneHolders(local_vm=self.cfg.vm)
        self.targets = TargetKeeper(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            pools=self.pools,
            kind=adapters.target_kind,
            decode_target=adapters.read_target,
            leaving_timeout=self.cfg.timing.target_leaving_ms / 1000,
            zone_holders=self.holders,
        )
        self.catalog = CatalogKeeper(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            kind=adapters.catalog_kind,
            name=adapters.catalog_name,
            decode_catalog=adapters.read_catalog,
            on_changed=self.targets.apply_connection_limits,
        )
        self.target_control = TargetControl(
            reactor=self.reactor, pools=self.pools
        )
        self.records = RecordKeeper(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            questions=self.target_control,
            can_take_proofs=self.registry.can_take_proofs,
            on_primary_failed=self._on_primary_failed,
        )
        self.releases = ProofReleases(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            registry=self.registry,
            records=self.records,
        )
        self.holder_links = HolderLinks(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            holders=self.holders,
        )
        self.zone_directory = ZoneDirectoryKeeper(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            holders=self.holders,
            on_members=self._on_zone_members,
        )
        self.records.object_handlers[DIRECTORY_NAME] = (
            self.zone_directory.apply
        )
        self.leader = Leader(
            reactor=self.reactor,
            board=self.board,
            platform=self.platform,
            questions=self.target_control,
            records=self.records,
            orders=adapters.make_orders(self.reactor, self.cfg.orders),
            missing_since=self.targets.missing_since,
            read_targets=self.targets.read_directly,
            registry=self.registry,
            releases=self.releases,
            zone_directory=self.zone_directory,
            timing=LeaseTiming(
                duration=self.cfg.lease.duration_ms / 1000,
                renew_interval=self.cfg.lease.renew_ms / 1000,
                safety_margin=self.cfg.lease.margin_ms / 1000,
                stagger_delay=LEASE_STAGGER,
            ),
        )

        self.catalog.is_leader = lambda: self.leader.lease.is_held
        self.quota_counter = QuotaCounter(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            local_vm=QuotaVm(
                name=self.cfg.vm,
                address=self.cfg.peers,
                availability_zone=self.cfg.availability_zone,
            ),
            confirmed_at=lambda: self.records.quota_holders_confirmed_at,
            tolerance=QuotaTolerance(
                window=self.cfg.limits.team_window_ms / 1000,
                overage=self.cfg.limits.team_overage,
                slack=self.cfg.limits.team_slack,
            ),
        )
        self.catalog_relay = CatalogRelay(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            keeper=self.catalog,
            address=self.cfg.peers,
            link_mbps=self.cfg.resources.link_mbps,
        )
        self.relay = FactRelay(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            registry=self.registry,
            lease=self.leader.lease,
            records=self.records,
            targets=self.targets,
            catalog=self.catalog,
            catalog_relay=self.catalog_relay,
            holders=self.holders,
            weight=self.weight,
        )
        self.holder_server = HolderServer(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            pools=self.pools,
        )
        self.held_transactions = HeldTransactions(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            pools=self.pools,
        )

    def _create_service(self) -> None:
        cfg = self.cfg
        self.runner = StatementRunner(
            reactor=self.reactor,
            board=self.board,
            pools=self.pools,
            budget=RetryBudget(percent=cfg.limits.retry_percent),
            statement_logger=StatementLogger(
                on_outcome=self.metrics.record_statement
            ),
            request_record_read=self.records.request_read,
            peers=self.peers,
            holders=self.holders,
            quotas=QuotaClient(
                reactor=self.reactor,
                board=self.board,
                peers=self.peers,
                counter=self.quota_counter,
            ),
        )
        self.callers = self.adapters.make_listener(
            self.reactor, cfg.callers, self._check_opening, self._make_session
        )
        self.readiness = HttpServer(
            reactor=self.reactor,
            address=cfg.readiness,
            handler=self._answer_readiness,
        )
        if cfg.operators is not None:
            self.operators = HttpServer(
                reactor=self.reactor,
                address=cfg.operators,
                handler=self._answer_metrics,
            )
        self.session_shutdown = SessionShutdown(
            reactor=self.reactor,
            board=self.board,
            callers=self.callers,
            grace=cfg.timing.grace_ms / 1000,
            blocking_count=self._count_blocking_exit,
            end_held_transactions=self.held_transactions.end_all,
        ).register(self)

    def _count_blocking_exit(self) -> int:
        """Return how much of this VM's work others depend on."""
        return (
            self.leader.lease.blocks_others()
            + self.held_transactions.open_count
            + self.holder_server.pending_count
        )

    def _on_primary_failed(self, group: str, primary: str) -> None:
        """Close all connections to a failed primary.

        None of its answers counts any more, and each caller with a statement
        there would otherwise wait for its time limit. Reads and transactions
        can be run again as soon as there is another primary.
        """
        listed = self.board.group(group).targets.get(primary)
        if listed is not None:
            self.pools.pool(listed.target).close_all()

    def _dial(
        self, target: Target, on_ended: Callable[[list[int]], None]
    ) -> Dialer[SessionLink]:
        return self.adapters.make_dialer(
            self.reactor, target, self._group_name(target)
        )

    def _group_name(self, target: Target) -> str:
        for group in self.board.groups.values():
            listed = group.targets.get(target.name)
            if listed is not None and listed.target == target:
                return group.name
        return ""

    def _check_opening(
        self, database: str, credential: str, held: float
    ) -> NotRun | Overloaded | OpeningPending | None:
        now = self.reactor.now()
        return judge_opening(
            self.board,
            database,
            credential,
            now=now,
            running=now - self._started_at,
            held=held,
        )

    def _make_session(
        self,
        database: str,
        credential: str,
        number: int,
        channel: CallerChannel,
    ) -> Session:
        catalog = self.board.catalog
        assert catalog is not None
        identity = identify(catalog, credential)
        name = credential[:CALLER_NAME_LENGTH]
        if catalog.teams is not None:
            name = identity.team or ANONYMOUS
        return Session(
            caller=f"{name}/{number}",
            identity=identity,
            database=database,
            reactor=self.reactor,
            board=self.board,
            executor=self.runner,
            channel=channel,
        )

    def _answer_readiness(
        self, request: Request, respond: Callable[[Response], None]
    ) -> None:
        if request.path.partition("?")[0] != self.adapters.readiness_path:
            respond(Response(status=HTTPStatus.NOT_FOUND))
            return
        reason = unready_reason(self.board, self.reactor.now())
        self.metrics.record_readiness(reason)
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        respond(Response(status=status))

    def _answer_metrics(
        self, request: Request, respond: Callable[[Response], None]
    ) -> None:
        if request.path.partition("?")[0] != "/metrics":
            respond(Response(status=HTTPStatus.NOT_FOUND))
            return
        text = self.metrics.text()
        if text is not None:
            respond(Response(body=text, content_type=METRICS_TYPE))
            return
        # Loaded in a thread, since it would block statements for as long.
        thread = threading.Thread(target=self.metrics.load_exporter)
        thread.daemon = True
        thread.start()
        self.reactor.call_later(
            METRICS_RECHECK_INTERVAL,
            lambda: self._answer_when_loaded(thread, respond),
        )

    def _answer_when_loaded(
        self, thread: threading.Thread, respond: Callable[[Response], None]
    ) -> None:
        if thread.is_alive():
            self.reactor.call_later(
                METRICS_RECHECK_INTERVAL,
                lambda: self._answer_when_loaded(thread, respond),
            )
            return
        text = self.metrics.text() or b""
        respond(Response(body=text, content_type=METRICS_TYPE))

    def _apply_settings(self, cfg: SessionSettings) -> None:
        self.cfg = cfg
        self.board.key_lifetime = _key_lifetime(cfg)
        logs.configure_node(level=cfg.logs.level, vm=cfg.vm)


def _key_lifetime(cfg: SessionSettings) -> float | None:
    lifetime_ms = cfg.timing.key_life_ms
    return None if lifetime_ms is None else lifetime_ms / 1000
