"""Keep the list of targets, and this VM's bounds on connections to them."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.zone_holders import MIN_CONNECTIONS
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.shares import TargetCapacity

__all__ = ["TargetKeeper", "idle_time"]

# Seconds between two looks at the list. A leaving target may get work for 7 s
# and is not chosen after this much of them.
INTERVAL = 1.5
TIMEOUT = 1.0
# A leaving primary is used for this part of its time: the word that it
# leaves is up to two looks old when it is read.
LEAVING_PART = 0.55
# An entry that is missing is kept this long, in seconds: after an outage of
# the platform entries of live targets are back within two.
GONE_AFTER = 2.2
# One VM may use so many times its fair part of a target's connections. They
# are opened when they are needed and closed when they rest; the target itself
# refuses what goes beyond its limit.
SHARE_TIMES = 2.0
# A connection may rest for so many seconds for each that a VM has by fair
# parts, within these bounds: where VMs are more than connections, those that
# rest are the ones that others wait for.
IDLE_FOR_EACH = 0.4
SHORTEST_IDLE = 0.25
LONGEST_IDLE = 1.5
# Of a VM's fair part of the connections this part may rest for as long, one
# at least. A target counts those of VMs that have lost power for seconds: were
# all places taken by what rests, VMs that come back would find none.
KEPT_PART = 0.5
# The holder of a zone's reads may use this part of a target's connections.
# Each is a team's own, and one that rests saves its team's next read the
# opening. Where a target has no place left its holders use fewer.
HOLDER_PART = 0.3
HOLDER_IDLE = 6.0


def idle_time(fair: float) -> float:
    """Return how long a connection may rest, by a VM's fair part of them."""
    return min(LONGEST_IDLE, max(SHORTEST_IDLE, IDLE_FOR_EACH * fair))


class TargetKeeper:
    """Reads the list of targets at an interval.

    `read` turns an entry into news, None if it names nothing to use.
    `leaving_limit` is the time after which a leaving target may get no work.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        pools: Pools[SessionLink],
        kind: str,
        decode_target: Callable[[Found], ListedTarget | None],
        leaving_timeout: float,
        zone_holders: ZoneHolders,
    ) -> None:
        self._holders = zone_holders
        self._leaving_limit = leaving_timeout * LEAVING_PART
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._pools = pools
        self._kind = kind
        self._read = decode_target
        self._missing: dict[str, float] = {}
        self._asked_at = 0.0
        self._relayed_until = -1e9
        self._busy = False
        self._timer: Timer | None = None
        self.listed: list[ListedTarget] = []

    def start(self) -> None:
        """Look at the list now and from then on."""
        self._ask()

    def apply_connection_limits(self) -> None:
        """Give each target its bound by the catalog in force."""
        for group in self._board.groups.values():
            for news in group.targets.values():
                self._bound(news)

    def missing_since(self, name: str) -> float | None:
        """Return since when a target's entry is missing, None if it is not."""
        return self._missing.get(name)

    def apply_relayed(
        self, listed: list[ListedTarget] | None, asked_at: float, until: float
    ) -> None:
        """Take the list that the leader has read; None: as we have it."""
        self._relayed_until = until
        if listed is not None:
            self.listed = listed
        self._take(self.listed, asked_at)

    def read_directly(self) -> None:
        """Read the list again: nobody passes it on."""
        self._relayed_until = -1e9
        if not self._busy:
            self._ask()

    def _later(self, wait: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.call_later(wait, self._ask)

    def _ask(self) -> None:
        if self._busy:
            return
        if self._reactor.now() < self._relayed_until:
            self._later(INTERVAL)
            return
        self._busy = True
        self._asked_at = self._reactor.now()
        self._platform.list(
            self._kind, "targets", self._answered, timeout=TIMEOUT
        )

    def _answered(self, result: Changes | Unavailable) -> None:
        self._busy = False
        # Armed first: a fault in one round must not end all that follow.
        self._later(INTERVAL)
        match result:
            case Changes(objects=objects):
                read = [self._read(found) for found in objects]
                self.listed = [
                    self._still_leaving(news)
                    for news in read
                    if news is not None
                ]
                self._take(self.listed, self._asked_at)
            case Unavailable(retry_after=retry_after):
                self._later(min(INTERVAL, max(retry_after, 0.1)))

    def _still_leaving(self, news: ListedTarget) -> ListedTarget:
        """Keep in mind that a target leaves, though the store has lost it."""
        if news.leaving or not self._platform.may_be_incomplete(
            self._asked_at
        ):
            return news
        old = self._board.group(news.group).targets.get(news.target.name)
        leaving = old is not None and old.leaving and old.target == news.target
        return dataclasses.replace(news, leaving=leaving)

    def _take(self, all_news: list[ListedTarget], asked_at: float) -> None:
        self._board.targets_seen_at = max(
            self._board.targets_seen_at, asked_at
        )
        now = self._reactor.now()
        listed = {news.target.name: news for news in all_news}
        for news in listed.values():
            self._take_one(news, now)
        self.apply_connection_limits()
        for group in self._board.groups.values():
            for name in list(group.targets):
                if name not in listed:
                    self._take_missing(group, name, now)

    def _take_one(self, news: ListedTarget, now: float) -> None:
        name = news.target.name
        self._missing.pop(name, None)
        group = self._board.group(news.group)
        old = group.targets.get(name)
        if news.leaving:
            until = now + self._leaving_limit
            if old is not None and old.leaving:
                until = old.usable_until
            news = dataclasses.replace(news, usable_until=until)
        if old == news:
            return
        if old is not None and old.target != news.target:
            # Another life, or another address: nothing seen before holds.
            self._drop(group, old)
            old = None
        group.targets[name] = news
        self._bound(news)
        logs.log_event(
            "target",
            group=news.group,
            target=name,
            address=news.target.address,
            born=news.target.born,
            zone=news.target.availability_zone,
            leaving=news.leaving,
            leads=news.is_primary,
            known=old is not None,
        )

    def _take_missing(
        self, group: SessionGroup, name: str, now: float
    ) -> None:
        since = self._missing.setdefault(name, now)
        if now - since < GONE_AFTER:
            return
        news = group.targets[name]
        self._drop(group, news)
        logs.log_event(
            "target_gone",
            group=group.name,
            target=name,
            missing_ms=round((now - since) * 1000),
        )

    def _drop(self, group: SessionGroup, news: ListedTarget) -> None:
        group.targets.pop(news.target.name, None)
        group.observed_targets.pop(news.target.name, None)
        self._pools.pool(news.target).set_share(TargetCapacity())

    def _bound(self, news: ListedTarget) -> None:
        catalog = self._board.catalog
        limits = catalog.groups.get(news.group) if catalog else None
        if limits is None:
            return
        fair = limits.max_connections / self._board.vm_count
        bound = max(MIN_CONNECTIONS, int(fair * SHARE_TIMES))
        connections = bound
        idle, kept = idle_time(fair), max(1, int(fair * KEPT_PART))
        if self._holders.holds(news.target.name, self._reactor.now()):
            # Its zone's reads come here: as many as the target runs at once
            # may, over connections that stay for each team's next ones.
            bound = max(bound, news.target.slots)
            connections = max(bound, int(limits.max_connections * HOLDER_PART))
            idle, kept = HOLDER_IDLE, connections
        share = TargetCapacity(slots=bound, connections=connections)
        pool = self._pools.pool(news.target)
        if pool.share != share:
            pool.set_share(share)
        pool.set_idle_limits(idle, max_kept=kept)
