"""The port through which a pool opens and checks connections to a target.

A pool decides how many connections there are and who gets one. What a
connection is, and how it greets, is its dialer's business: `HttpDialer` for
this project's own targets, another one for each other kind of target.
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
    """A connection to a target, as far as a pool needs it."""

    @property
    def usable(self) -> bool:
        """Tell whether it is open with nothing under way."""

    def close(self) -> None:
        """Close it; what is under way is lost."""


LinkT = TypeVar("LinkT", bound=TargetLink)


@dataclass(frozen=True, slots=True, kw_only=True)
class Opened(Generic[LinkT]):
    """A new connection; `number` is what the target calls it, 0 if nothing."""

    link: LinkT
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenFailed:
    """No connection could be had.

    `full` says that the target is well and has as many as it allows, `gone`
    that another target answered at the address, `refused` that no process
    listens there.
    """

    full: bool = False
    wrong_target: bool = False
    refused: bool = False


class Health(Enum):
    """What the check of an idle connection showed."""

    ALIVE = "alive"
    CLOSED = "closed"
    SILENT = "silent"


class Dialer(Protocol[LinkT]):
    """Opens, checks and ends the connections of one pool."""

    def open(
        self,
        team: str,
        timeout: float,
        on_done: Callable[[Opened[LinkT] | OpenFailed], None],
    ) -> None:
        """Open a connection for a team within `timeout` seconds.

        The `team` is empty for statements of the system itself and where
        callers have none.
        """

    def check(
        self, link: LinkT, timeout: float, on_done: Callable[[Health], None]
    ) -> None:
        """Tell within `timeout` seconds whether an idle one still works."""

    def end(self, number: int) -> None:
        """Have the target end a connection that was given up here."""
