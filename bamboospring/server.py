"""`bamboospring serve`: wire the components of one VM's process together."""

from __future__ import annotations

from collections.abc import Callable
import hmac

from circuits import Component

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.drain import Drain
from bamboospring.entry import Entry
from bamboospring.facts import Facts
from bamboospring.holder import Holder
from bamboospring.http_codec import HttpServer
from bamboospring.http_codec import Request
from bamboospring.http_codec import Response
from bamboospring.lease import LeaseTiming
from bamboospring import logs
from bamboospring.membership import Membership
from bamboospring.peers import Peers
from bamboospring.platform_client import PlatformClient
from bamboospring.pool import Pools
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.settings import Settings
from bamboospring.statement_server import StatementServer
from bamboospring.steward import Steward
from bamboospring.suspicion import WatchTiming
from bamboospring.table_editor import TableEditor
from bamboospring.table_pages import make_reach
from bamboospring.table_pages import TablePages
from bamboospring.tokens import TokenCodec
from bamboospring.tokens import TokenKey
from bamboospring.watcher import Watcher

__all__ = ["Server", "run"]


class Server(Component):
    """All that one process is made of."""

    def __init__(self, cfg: Settings) -> None:
        super().__init__()
        self.cfg = cfg
        self.reactor = Reactor().register(self)
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
            reactor=self.reactor, vm=cfg.vm, listen=cfg.peers.listen
        )
        self.platform = PlatformClient(
            reactor=self.reactor, address=cfg.platform.address
        )
        self.membership = Membership()
        self.pools = Pools(reactor=self.reactor, vm=cfg.vm)
        self.watcher = Watcher(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            timing=WatchTiming(silent=cfg.timing.suspect_ms / 1000),
        ).register(self)
        codec = TokenCodec(
            keys=[
                TokenKey(id=key.id, secret=key.secret.encode())
                for key in cfg.token_keys
            ]
        )
        self.holder = Holder(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            pools=self.pools,
            watcher=self.watcher,
            codec=codec,
        ).register(self)
        StatementServer(
            reactor=self.reactor, peers=self.peers, holder=self.holder
        )
        self.entry = Entry(
            reactor=self.reactor,
            board=self.board,
            placement=self.placement,
            peers=self.peers,
            holder=self.holder,
            codec=codec,
            membership=self.membership,
            listen=cfg.callers.listen,
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
        self.steward = Steward(
            reactor=self.reactor,
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
        self.table_pages = TablePages(
            board=self.board,
            platform=self.platform,
            editor=TableEditor(
                reactor=self.reactor,
                platform=self.platform,
                reach=make_reach(self.reactor),
                on_stored=self.facts.store.take_shard_value,
            ),
        )
        self.operators = HttpServer(
            reactor=self.reactor,
            address=cfg.operators.listen,
            handler=self._on_operator,
        )

    def _on_operator(
        self, req: Request, respond: Callable[[Response], None]
    ) -> None:
        token = f"Bearer {self.cfg.operators.token}"
        given = req.headers.get("authorization", "")
        if not hmac.compare_digest(given.encode(), token.encode()):
            respond(Response(status=401, body=b"{}"))
        elif not self.table_pages.handle(req, respond):
            respond(Response(status=404, body=b"{}"))


def run(cfg: Settings) -> None:
    """Serve until told to stop."""
    logs.configure(level=cfg.logs.level, vm=cfg.vm)
    server = Server(cfg)
    logs.log_event("listening", callers=server.entry.server.address)
    server.run()
