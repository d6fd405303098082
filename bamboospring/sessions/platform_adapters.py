"""The adapters that connect a VM serving sessions to its platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import Protocol

from bamboospring.blackboard import Target
from bamboospring.object_store import Found
from bamboospring.object_store import ObjectDialect
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.ports import CallerChannel
from bamboospring.sessions.ports import PromotionOrders
from bamboospring.sessions.session import Session
from bamboospring.sessions.session_opening import OpeningCheck
from bamboospring.target_link import Dialer

__all__ = ["CallerListener", "PlatformAdapters", "SessionFactory"]

# Called with the database, the digest of the caller's key, the number of the
# session and the caller's channel.
SessionFactory = Callable[[str, str, int, CallerChannel], Session]


class CallerListener(Protocol):
    """The listener for callers; each connection has one session."""

    listener: Listener

    def sessions(self) -> list[Session]:
        """Return all sessions."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapters:
    """The adapters to one platform.

    The kinds and names are those that operators and targets use in the
    platform's store; the `make_` functions build the adapters of one process.
    `load_control_terms` are the words for rules of the platform under which
    load control is needed.
    """

    dialect: ObjectDialect
    catalog_kind: str
    catalog_name: str
    target_kind: str
    readiness_path: str
    load_control_terms: frozenset[str]
    read_catalog: Callable[[Found], Catalog | None]
    read_target: Callable[[Found], ListedTarget | None]
    make_dialer: Callable[[Reactor, Target, str], Dialer[Any]]
    make_orders: Callable[[Reactor, str], PromotionOrders]
    make_listener: Callable[
        [Reactor, str, OpeningCheck, SessionFactory], CallerListener
    ]
