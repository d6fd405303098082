"""Keep links to the zone's holders open.

A statement that finds no link to its holder uses an own connection to the
target, which takes a slot of the target for longer than a link takes to open.
After a restart all VMs would do so for each holder at the same moment.
"""

from __future__ import annotations

from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.zone_holders import ZoneHolders

__all__ = ["HolderLinks"]

# Seconds between two checks; a holder may change with each list of VMs.
CHECK_INTERVAL = 0.5


class HolderLinks:
    """Opens links to the holders of all known targets."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        holders: ZoneHolders,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._holders = holders

    def start(self) -> None:
        """Open missing links now and at an interval."""
        self._reactor.call_later(CHECK_INTERVAL, self.start)
        if self._board.load_control:
            self.open_missing()

    def open_missing(self) -> None:
        """Open a link to each holder that has none."""
        for address in self._addresses():
            # The question opens a link if there is none.
            self._peers.unresponsive_for(address)

    def _addresses(self) -> set[str]:
        catalog, now = self._board.catalog, self._reactor.now()
        addresses = set()
        for group in self._board.groups.values():
            limits = catalog.groups.get(group.name) if catalog else None
            if limits is None:
                continue
            for name in group.targets:
                holder = self._holders.holder(
                    name,
                    max_connections=limits.max_connections,
                    vm_count=self._board.vm_count,
                    now=now,
                )
                if holder is not None:
                    addresses.add(holder.address)
        return addresses
