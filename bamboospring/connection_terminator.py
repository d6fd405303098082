"""Have a target end statement connections that this holder has closed.

When this side closes an unresponsive connection, the target does not see the
close. It still counts the connection, and an open transaction on it keeps its
locks, so that all writes of the group wait forever. The request to end it is
sent over a separate connection, as database servers support it. A target that
does not get the request ends idle transactions after `idle_tx_ms`.
"""

from __future__ import annotations

from collections.abc import Callable

import orjson

from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor

__all__ = ["ConnectionTerminator"]

REQUEST_TIMEOUT = 1.0
RETRY_DELAY = 0.5
# A target that does not answer this many tries is down or isolated. When it
# recovers, its own limit on idle transactions ends them.
MAX_TRIES = 20


class ConnectionTerminator:
    """Send termination requests to one target, one at a time.

    `on_terminated` is called with the ids that the target has confirmed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        on_terminated: Callable[[list[int]], None],
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._on_terminated = on_terminated
        self._pending: list[int] = []
        self._in_flight = False
        self._tries = 0

    def terminate(self, connection_id: int) -> None:
        """Have the connection with this id ended; ignore the id 0."""
        if connection_id:
            self._pending.append(connection_id)
            self._tries = 0
            self._send_next()

    def _send_next(self) -> None:
        if self._in_flight or not self._pending:
            return
        self._in_flight = True
        connection_ids, self._pending = self._pending, []
        # Each request uses a new connection, because the previous one may be
        # unresponsive as well.
        client = HttpClient(reactor=self._reactor, address=self._address)

        def on_answer(answer: HttpResponse | HttpFailure) -> None:
            client.close()
            self._on_answer(connection_ids, isinstance(answer, HttpResponse))

        body = orjson.dumps({"connections": connection_ids})
        client.request("POST", "/terminate", body, REQUEST_TIMEOUT, on_answer)

    def _on_answer(
        self, connection_ids: list[int], is_confirmed: bool
    ) -> None:
        self._in_flight = False
        if is_confirmed:
            self._tries = 0
            self._on_terminated(connection_ids)
            self._send_next()
            return
        self._tries += 1
        if self._tries < MAX_TRIES:
            self._pending = connection_ids + self._pending
            self._reactor.call_later(RETRY_DELAY, self._send_next)
