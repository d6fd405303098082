"""Spread the groups evenly over the VMs once the names of all are known."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.blackboard import Blackboard
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement

__all__ = ["GroupPlacer"]

# To rank the VMs for all groups at once would stop the process at its start,
# and callers would wait for it.
PLACED_AT_ONCE = 20
PLACE_PAUSE = 0.01


class GroupPlacer:
    """Gives a placement the names of groups, a few at a time.

    With some names only, other VMs would be passed over than elsewhere; so
    nothing is placed before the names are complete. `on_placed` is called
    when holders may have changed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        on_placed: Callable[[], None] = lambda: None,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._on_placed = on_placed
        self._placing = False

    def place(self) -> None:
        """Place the groups that are known now, unless that is under way."""
        if self._placing or not self._board.names_complete:
            return
        version = self._placement.version
        self._placement.set_groups(self._board.group_names)
        self._placing = not self._placement.prepare(PLACED_AT_ONCE)
        if self._placing:
            self._reactor.call_later(PLACE_PAUSE, self._place_more)
        elif version != self._placement.version:
            self._on_placed()

    def _place_more(self) -> None:
        self._placing = False
        self.place()
