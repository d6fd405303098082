"""Tell holders that queue statements from holders that do not respond.

Under overload a holder owes an answer for as long as a statement waits in its
queue. If that counted as unresponsive, this VM would send its statements over
connections of its own, whose openings take slots of the target, and hedge
reads that are only queued. So a holder from which nothing has been received
for a while gets a heartbeat, which it answers at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor

__all__ = ["HolderProbes", "PROBE_INTERVAL"]

# Seconds without anything received, while an answer is awaited, after which a
# holder gets a heartbeat, and within which it must answer it. Together they
# are the runner's HOLDER_RESPONSE_TIMEOUT.
PROBE_INTERVAL = 0.1


@dataclass(slots=True, kw_only=True)
class _Probe:
    """The heartbeats to one holder; `sent_at` is that of the unanswered."""

    sent_at: float | None = None
    is_awaited: bool = False


class HolderProbes:
    """Sends heartbeats to holders while they owe answers."""

    def __init__(self, *, reactor: Reactor, peers: Peers, vm: str) -> None:
        self._reactor = reactor
        self._peers = peers
        self._vm = vm
        self._probes: dict[str, _Probe] = {}

    def watch(self, address: str) -> None:
        """Watch a holder until it owes no answer any more."""
        if address not in self._probes:
            self._probes[address] = _Probe()
            self._schedule_check(address)

    def is_silent(self, address: str) -> bool:
        """Return whether a holder has not answered a heartbeat in time."""
        probe = self._probes.get(address)
        if probe is None or probe.sent_at is None:
            return False
        return self._reactor.now() - probe.sent_at >= PROBE_INTERVAL

    def _schedule_check(self, address: str) -> None:
        self._reactor.call_later(PROBE_INTERVAL, lambda: self._check(address))

    def _check(self, address: str) -> None:
        unresponsive_for = self._peers.unresponsive_for(address)
        if not unresponsive_for:
            # Nothing is awaited, or the link was closed.
            del self._probes[address]
            return
        probe = self._probes[address]
        if unresponsive_for < PROBE_INTERVAL:
            probe.sent_at = None
        elif not probe.is_awaited:
            self._send(address, probe)
        self._schedule_check(address)

    def _send(self, address: str, probe: _Probe) -> None:
        if probe.sent_at is None:
            probe.sent_at = self._reactor.now()
        probe.is_awaited = True

        def on_answer(answer: Any) -> None:
            probe.is_awaited = False
            if not isinstance(answer, PeerLost):
                probe.sent_at = None

        message = new_envelope()
        message.init("heartbeat").vm = self._vm
        self._peers.ask(address, message, 2 * PROBE_INTERVAL, on_answer)
