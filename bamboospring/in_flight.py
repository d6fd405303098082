"""Track writes and commits in flight and notify them of changes."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.pool import LeasedConnection
from bamboospring.reactor import Reactor
from bamboospring.routing import is_unresponsive

__all__ = ["InFlightWrite", "InFlightWrites", "UnresponsiveTargetMonitor"]

CHECK_INTERVAL = 0.5


class InFlightWrite:
    """A write or commit that is notified when its group's term changes.

    `term` is the group's term at its start. `sent_on` is the connection on
    which its answer is expected.
    `target_suspected` is set if the target was unresponsive at the last check.
    """

    term = 0
    sent_on: LeasedConnection | None = None
    target_suspected = False

    def on_term_ended(self) -> None:
        """Handle that the group is at a newer term than this write."""
        raise NotImplementedError


class InFlightWrites:
    """The writes and commits in flight, by group."""

    def __init__(self) -> None:
        self.on_add: Callable[[], None] = lambda: None
        self._by_group: dict[str, set[InFlightWrite]] = {}

    def __len__(self) -> int:
        return sum(len(writes) for writes in self._by_group.values())

    def add(self, group: str, write: InFlightWrite) -> None:
        """Add a write that has started."""
        self._by_group.setdefault(group, set()).add(write)
        self.on_add()

    def remove(self, group: str, write: InFlightWrite) -> None:
        """Remove a write that has finished."""
        writes = self._by_group.get(group, set())
        writes.discard(write)
        if not writes:
            self._by_group.pop(group, None)

    def notify_term_changed(self, group: str, term: int) -> None:
        """Notify the writes that started in an older term."""
        for write in list(self._by_group.get(group, ())):
            if write.term < term:
                write.on_term_ended()

    def has_group(self, group: str) -> bool:
        """Return whether a write of a group is in flight."""
        return group in self._by_group

    def groups(self) -> list[str]:
        """Return the groups with writes in flight."""
        return list(self._by_group)

    def awaiting_answer(self, group: str) -> list[InFlightWrite]:
        """Return the writes that wait for a target's answer."""
        writes = self._by_group.get(group, ())
        return [each for each in writes if each.sent_on is not None]


class UnresponsiveTargetMonitor:
    """Close connections of writes whose target has stopped responding.

    A write that was sent just before its link stopped passing data would wait
    for its deadline, many seconds away, only to end as unknown. The target is
    polled for its position on another connection. If that gets no answers
    either, none will come for the write; a target that is only slow with a
    statement answers there. Two checks in a row must fail, so that a pause of
    this process is not mistaken for an unresponsive target.
    """

    def __init__(
        self, *, reactor: Reactor, board: Blackboard, in_flight: InFlightWrites
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._in_flight = in_flight
        self._check_scheduled = False
        in_flight.on_add = self.start

    def start(self) -> None:
        """Start to check at an interval while writes are in flight."""
        if not self._check_scheduled:
            self._check_scheduled = True
            self._reactor.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._check_scheduled = False
        for name in self._in_flight.groups():
            group = self._board.groups.get(name)
            if group is not None:
                self._check_group(group)
        if len(self._in_flight):
            self.start()

    def _check_group(self, group: Group) -> None:
        now = self._reactor.now()
        for write in self._in_flight.awaiting_answer(group.record.name):
            leased = write.sent_on
            if leased is None:
                continue
            if not is_unresponsive(group, leased.target.name, now):
                write.target_suspected = False
            elif not write.target_suspected:
                write.target_suspected = True
            else:
                leased.unresponsive = True
                leased.conn.close()
