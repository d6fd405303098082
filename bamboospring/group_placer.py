"""Incremental placement of all groups once their names are known."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.blackboard import Blackboard
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement

__all__ = ["GroupPlacer"]

# Ranking the VMs for all groups at once would block the process at its start
# and delay callers.
GROUPS_PER_STEP = 20
STEP_DELAY = 0.01


class GroupPlacer:
    """Places groups in small steps.

    With incomplete names, this VM would skip other VMs than its peers do, so
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
        """Place the known groups, unless a placement is in progress."""
        if self._placing or not self._board.names_complete:
            return
        version = self._placement.version
        self._placement.set_groups(self._board.group_names)
        self._placing = not self._placement.prepare(GROUPS_PER_STEP)
        if self._placing:
            self._reactor.call_later(STEP_DELAY, self._place_more)
        elif version != self._placement.version:
            self._on_placed()

    def _place_more(self) -> None:
        self._placing = False
        self.place()
