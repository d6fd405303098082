"""Accept statements that entries on other VMs forward to this holder."""

from __future__ import annotations

from typing import Any

from bamboospring.holder import Holder
from bamboospring.outcomes import Outcome
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.wire import decode_statement
from bamboospring.wire import encode_outcome

__all__ = ["StatementServer"]


class StatementServer:
    """Run each forwarded statement and reply with its outcome."""

    def __init__(
        self, *, reactor: Reactor, peers: Peers, holder: Holder
    ) -> None:
        self._reactor = reactor
        self._holder = holder
        peers.add_handler("statement", self._on_statement)

    def _on_statement(self, message: Any, reply: Reply) -> None:
        stmt = decode_statement(message, self._reactor.now())

        def on_complete(outcome: Outcome) -> None:
            reply(encode_outcome(outcome))

        self._holder.run(stmt, on_complete)
