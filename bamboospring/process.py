"""The base class of a VM's main process and its entry-only processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboospring.components import Component
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.drain import Drain
from bamboospring.entry import Entry
from bamboospring.fleet_view import FleetView
from bamboospring.forwarding import LocalHolder
from bamboospring.http_server import RequestLimits
from bamboospring import logs
from bamboospring.membership import Membership
from bamboospring.metrics import Metrics
from bamboospring.operators import HandleTable
from bamboospring.operators import HandOver
from bamboospring.operators import OperatorListener
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.reloader import SettingsReloader
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.settings import load
from bamboospring.settings import Settings
from bamboospring.settings import Tls
from bamboospring.status_view import not_ready_reasons
from bamboospring.status_view import StatusView
from bamboospring.tls import TlsCredentials
from bamboospring.tls import with_tls
from bamboospring.tokens import SigningKey
from bamboospring.tokens import TokenCodec

__all__ = ["Process"]

READY_CHECK_INTERVAL = 0.05


class Process(Component):
    """A process that listens for callers, peers and operators."""

    entry: Entry
    operators: OperatorListener

    def __init__(self, cfg: Settings, path: str = "") -> None:
        super().__init__()
        self.cfg = cfg
        self.reactor = Reactor().register(self)
        self.settings_reloader = SettingsReloader(
            reactor=self.reactor, path=path, load=load
        )
        self.settings_reloader.add_listener(self._apply_settings)
        self.board = Blackboard(
            local_vm=Vm(
                name=cfg.vm,
                address=cfg.peers.listen,
                availability_zone=cfg.availability_zone,
                region=cfg.region,
            )
        )
        self.placement = Placement()
        self.peers = Peers(
            reactor=self._secured(
                cfg.peers.tls, lambda s: s.peers.tls, verify_address=False
            ),
            vm=cfg.vm,
            listen=cfg.peers.listen,
        )
        self.membership = Membership()
        self.metrics = Metrics(
            is_known_group=self.board.knows_group,
            slow_threshold=self._slow_after,
        )
        self.codec = TokenCodec(keys=_token_keys(cfg))

    def _make_entry(self, holder: LocalHolder) -> Entry:
        cfg = self.cfg
        return Entry(
            reactor=self._secured(cfg.callers.tls, lambda s: s.callers.tls),
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            holder=holder,
            codec=self.codec,
            membership=self.membership,
            listen=cfg.callers.listen,
            reuse_port=cfg.callers.reuse_port,
            request_limits=RequestLimits(
                max_head_bytes=cfg.limits.request_head_bytes,
                max_body_bytes=cfg.limits.request_body_bytes,
                read_timeout=cfg.timing.request_timeout_ms / 1000,
            ),
            budget=RetryBudget(percent=cfg.limits.retry_percent),
            on_answered=self.metrics.record_answer,
        ).register(self)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._open_when_ready()

    def _open_when_ready(self) -> None:
        """Listen on the callers' address once this process can serve them."""
        if self.board.draining:
            return
        if not_ready_reasons(self.board):
            self.reactor.call_later(
                READY_CHECK_INTERVAL, self._open_when_ready
            )
            return
        self.entry.server.listener.open()

    def _make_drain(self) -> Drain:
        timing = self.cfg.timing
        return Drain(
            reactor=self.reactor,
            board=self.board,
            peers=self.peers,
            callers=self.entry.server,
            notice_period=timing.drain_notice_ms / 1000,
            idle_grace=timing.drain_idle_ms / 1000,
            max_duration=timing.drain_ms / 1000,
        ).register(self)

    def _make_operators(
        self,
        *,
        status: StatusView,
        handle_table: HandleTable,
        hand_over: HandOver,
    ) -> OperatorListener:
        tls = self.cfg.operators.tls
        return OperatorListener(
            reactor=self._secured(tls, lambda s: s.operators.tls),
            address=self.cfg.operators.listen,
            token=lambda: self.cfg.operators.token,
            board=self.board,
            metrics=self.metrics,
            status=status,
            fleet=FleetView(
                board=self.board, peers=self.peers, describe=status.describe
            ),
            handle_table=handle_table,
            hand_over=hand_over,
        )

    def _secured(
        self,
        tls: Tls | None,
        find: Callable[[Settings], Tls | None],
        *,
        verify_address: bool = True,
    ) -> Reactor:
        if tls is None:
            return self.reactor
        keys = TlsCredentials(tls=tls, verify_address=verify_address)
        self.settings_reloader.add_credentials(keys, find)
        return with_tls(self.reactor, keys)

    def _slow_after(self, group: str) -> float:
        objectives = self.cfg.objectives
        found = objectives.groups.get(group, objectives.default)
        return found.latency_ms / 1000

    def _apply_settings(self, cfg: Settings) -> None:
        self.cfg = cfg
        self.codec.set_keys(_token_keys(cfg))
        logs.configure(level=cfg.logs.level, vm=cfg.vm)

    def _send_hand_over(self, vm: Vm, group: str, target: str) -> None:
        message = new_envelope()
        order = message.init("handOver")
        order.group = group
        order.target = target
        self.peers.send(vm.address, message)


def _token_keys(cfg: Settings) -> list[SigningKey]:
    return [
        SigningKey(id=key.id, secret=key.secret.encode())
        for key in cfg.token_keys
    ]
