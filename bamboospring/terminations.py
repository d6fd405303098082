"""Have a target end statement connections that this holder gave up.

A connection that goes silent is closed here, but the target sees nothing of
that: it goes on counting the connection, and an open transaction on it keeps
its locks, so that all writes of the group wait for good. The order to end it
goes over a connection of its own, as database servers offer it; a target
that does not get it ends idle transactions after `idle_tx_ms`.
"""

from __future__ import annotations

from collections.abc import Callable

import orjson

from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpLost
from bamboospring.reactor import Reactor

__all__ = ["Terminations"]

TIMEOUT = 1.0
RETRY_DELAY = 0.5
# A target that can't be told for this many tries is down or cut off. When it
# comes back its own limit on idle transactions does the work.
MAX_TRIES = 20


class Terminations:
    """Orders to one target, one call at a time.

    `on_ended` is called with the numbers that the target has confirmed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        on_ended: Callable[[list[int]], None],
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._on_ended = on_ended
        self._numbers: list[int] = []
        self._busy = False
        self._tries = 0

    def end(self, number: int) -> None:
        """Have the connection of this number ended; 0 is none."""
        if number:
            self._numbers.append(number)
            self._tries = 0
            self._next()

    def _next(self) -> None:
        if self._busy or not self._numbers:
            return
        self._busy = True
        numbers, self._numbers = self._numbers, []
        # A new connection each time: the one before may be silent as well.
        client = HttpClient(reactor=self._reactor, address=self._address)

        def answered(answer: HttpAnswer | HttpLost) -> None:
            client.close()
            self._answered(numbers, isinstance(answer, HttpAnswer))

        body = orjson.dumps({"connections": numbers})
        client.request("POST", "/terminate", body, TIMEOUT, answered)

    def _answered(self, numbers: list[int], done: bool) -> None:
        self._busy = False
        if done:
            self._tries = 0
            self._on_ended(numbers)
            self._next()
            return
        self._tries += 1
        if self._tries < MAX_TRIES:
            self._numbers = numbers + self._numbers
            self._reactor.call_later(RETRY_DELAY, self._next)
