"""Writes and commits under way, and who tells them what concerns them."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.pool import LeasedConnection
from bamboospring.reactor import Reactor
from bamboospring.routing import is_silent

__all__ = ["Flight", "Flights", "SilenceWatch"]

SILENCE_CHECK = 0.5


class Flight:
    """A write or commit that is told when its group's term changes.

    `sent_on` is the connection on which its answer is waited for.
    """

    term = 0
    sent_on: LeasedConnection | None = None
    doubted = False

    def term_ended(self) -> None:
        """Take note that the group is at a newer term than this write."""
        raise NotImplementedError


class Flights:
    """What is under way in each group."""

    def __init__(self) -> None:
        self.on_add: Callable[[], None] = lambda: None
        self._of_group: dict[str, set[Flight]] = {}

    def __len__(self) -> int:
        return sum(len(flights) for flights in self._of_group.values())

    def add(self, group: str, flight: Flight) -> None:
        """Note that something has begun."""
        self._of_group.setdefault(group, set()).add(flight)
        self.on_add()

    def remove(self, group: str, flight: Flight) -> None:
        """Note that it is over."""
        flights = self._of_group.get(group, set())
        flights.discard(flight)
        if not flights:
            self._of_group.pop(group, None)

    def group_changed(self, group: str, term: int) -> None:
        """Tell those that began in an older term."""
        for flight in list(self._of_group.get(group, ())):
            if flight.term < term:
                flight.term_ended()

    def has(self, group: str) -> bool:
        """Tell whether something of a group is under way."""
        return group in self._of_group

    def groups(self) -> list[str]:
        """Return the groups with something under way."""
        return list(self._of_group)

    def sent(self, group: str) -> list[Flight]:
        """Return what waits for a target's answer."""
        flights = self._of_group.get(group, ())
        return [each for each in flights if each.sent_on is not None]


class SilenceWatch:
    """Gives up answers of targets that have fallen silent altogether.

    A write that was sent just before a link went silent would wait for its
    deadline, which may be many seconds away, only to end as unknown. Its
    target is asked for its position all the time on another connection; when
    that is silent too, nothing will come. A target that is merely slow with a
    statement answers there. Two looks, so that a pause of this process itself
    is not taken for the target's.
    """

    def __init__(
        self, *, reactor: Reactor, board: Blackboard, flights: Flights
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._flights = flights
        self._watching = False
        flights.on_add = self.start

    def start(self) -> None:
        """Look from now on, while anything is under way."""
        if not self._watching:
            self._watching = True
            self._reactor.call_later(SILENCE_CHECK, self._check)

    def _check(self) -> None:
        self._watching = False
        for name in self._flights.groups():
            group = self._board.groups.get(name)
            if group is not None:
                self._check_group(group)
        if len(self._flights):
            self.start()

    def _check_group(self, group: Group) -> None:
        now = self._reactor.now()
        for flight in self._flights.sent(group.record.name):
            leased = flight.sent_on
            if leased is None:
                continue
            if not is_silent(group, leased.target.name, now):
                flight.doubted = False
            elif not flight.doubted:
                flight.doubted = True
            else:
                leased.unresponsive = True
                leased.conn.close()
