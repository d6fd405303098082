"""What a VM that serves sessions needs of the platform it runs on."""

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

__all__ = ["CallerListener", "SessionFactory", "PlatformAdapters"]

# Gets the database, the digest of the caller's key and the session's number.
SessionFactory = Callable[[str, str, int, CallerChannel], Session]


class CallerListener(Protocol):
    """Where callers connect; there is a session for each connection."""

    listener: Listener

    def sessions(self) -> list[Session]:
        """Return all sessions."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapters:
    """The adapters to one platform.

    The kinds and names are those under which operators and targets write to
    its store; the `make_` functions build the adapters for one process.
    """

    dialect: ObjectDialect
    catalog_kind: str
    catalog_name: str
    target_kind: str
    readiness_path: str
    read_catalog: Callable[[Found], Catalog | None]
    read_target: Callable[[Found], ListedTarget | None]
    make_dialer: Callable[[Reactor, Target, str], Dialer[Any]]
    make_orders: Callable[[Reactor, str], PromotionOrders]
    make_listener: Callable[
        [Reactor, str, OpeningCheck, SessionFactory], CallerListener
    ]
