"""The interface through which a pool opens and checks target connections.

A pool decides how many connections there are and which statement gets one. A
dialer implements the protocol of the connection and its handshake:
`HttpDialer` for this project's own targets, another dialer for each other kind
of target.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic
from typing import Protocol
from typing import TypeVar

__all__ = [
    "Dialer",
    "Health",
    "LinkT",
    "Opened",
    "OpenFailed",
    "TargetLink",
]


class TargetLink(Protocol):
    """A connection to a target, with the methods that a pool uses."""

    @property
    def usable(self) -> bool:
        """Return whether it is open and no request is in flight on it."""

    def close(self) -> None:
        """Close it; a request in flight is lost."""


LinkT = TypeVar("LinkT", bound=TargetLink)


@dataclass(frozen=True, slots=True, kw_only=True)
class Opened(Generic[LinkT]):
    """A new connection; `connection_id` is its id at the target, or 0."""

    link: LinkT
    connection_id: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenFailed:
    """No connection could be opened.

    With `full` the target is healthy but at its connection limit. With
    `wrong_target` another target answered at the address. With `refused` no
    process listens there.
    """

    full: bool = False
    wrong_target: bool = False
    refused: bool = False


class Health(Enum):
    """The result of the check of an idle connection."""

    ALIVE = "alive"
    CLOSED = "closed"
    SILENT = "silent"


class Dialer(Protocol[LinkT]):
    """Open, check and terminate the connections of one pool."""

    def open(
        self,
        team: str,
        timeout: float,
        on_complete: Callable[[Opened[LinkT] | OpenFailed], None],
    ) -> None:
        """Open a connection for a team within `timeout` seconds.

        `team` is empty for statements of the system itself and where callers
        have no teams.
        """

    def check(
        self,
        link: LinkT,
        timeout: float,
        on_complete: Callable[[Health], None],
    ) -> None:
        """Check within `timeout` seconds whether an idle one still works."""

    def end(self, connection_id: int) -> None:
        """Have the target end a connection that this side has closed."""
