"""Builds the platform adapters for a VM that serves sessions."""

from __future__ import annotations

from bamboospring.blackboard import Target
from bamboospring.platform.caller_server import CallerServer
from bamboospring.platform.promotion_client import PromotionClient
from bamboospring.platform.store_dialect import StoreDialect
from bamboospring.platform.store_objects import CATALOG_KIND
from bamboospring.platform.store_objects import CATALOG_NAME
from bamboospring.platform.store_objects import read_catalog
from bamboospring.platform.store_objects import read_target
from bamboospring.platform.store_objects import TARGET_KIND
from bamboospring.platform.target_dialer import LineDialer
from bamboospring.reactor import Reactor
from bamboospring.sessions.platform_adapters import OpeningCheck
from bamboospring.sessions.platform_adapters import PlatformAdapters
from bamboospring.sessions.platform_adapters import SessionFactory

__all__ = ["make_adapters"]

READINESS_PATH = "/api/readiness"
# Routes and teams compete for more than the targets can run.
LOAD_CONTROL_TERMS = frozenset({"pressure"})


def make_adapters() -> PlatformAdapters:
    """Return the adapters for the users' platform."""
    return PlatformAdapters(
        dialect=StoreDialect(),
        catalog_kind=CATALOG_KIND,
        catalog_name=CATALOG_NAME,
        target_kind=TARGET_KIND,
        readiness_path=READINESS_PATH,
        load_control_terms=LOAD_CONTROL_TERMS,
        read_catalog=read_catalog,
        read_target=read_target,
        make_dialer=_make_dialer,
        make_orders=_make_promotion_client,
        make_listener=_make_listener,
    )


def _make_dialer(reactor: Reactor, target: Target, group: str) -> LineDialer:
    return LineDialer(reactor=reactor, target=target, service=group)


def _make_promotion_client(reactor: Reactor, address: str) -> PromotionClient:
    return PromotionClient(reactor=reactor, address=address)


def _make_listener(
    reactor: Reactor,
    address: str,
    admit: OpeningCheck,
    make_session: SessionFactory,
) -> CallerServer:
    return CallerServer(
        reactor=reactor,
        address=address,
        admit=admit,
        make_session=make_session,
    )
