"""Have the platform promote a target."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import orjson

from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpConnection
from bamboospring.http_client import HttpLost
from bamboospring.reactor import Reactor
from bamboospring.sessions.ports import PromotionResult

__all__ = ["PromotionClient"]


class PromotionClient:
    """Orders of promotion, each on a connection of its own.

    A connection on which an order has no answer is reset: what is still on
    its way is then lost, and can't arrive after the lease under which it was
    sent has passed to another process.
    """

    def __init__(self, *, reactor: Reactor, address: str) -> None:
        self._reactor = reactor
        self._address = address

    def promote(
        self,
        *,
        group: str,
        target: str,
        holder: str,
        fence: int,
        timeout: float,
        on_complete: Callable[[PromotionResult], None],
    ) -> None:
        """Order it under the fencing number of the holder's lease."""
        conn = HttpConnection(reactor=self._reactor, address=self._address)
        body = orjson.dumps({"service": group, "id": target})
        headers = (
            "Content-Type: application/json\r\n"
            f"Duty-Holder: {holder}\r\nFencing-Token: {fence}\r\n"
        )

        def connected(ok: bool) -> None:
            if not ok:
                on_complete(PromotionResult.NOT_SENT)
                return
            conn.request(
                "POST", "/promotion", body, timeout, answered, headers
            )

        def answered(answer: HttpAnswer | HttpLost) -> None:
            conn.close()
            on_complete(_result(answer))

        conn.connect(timeout, connected)


def _result(answer: HttpAnswer | HttpLost) -> PromotionResult:
    match answer:
        case HttpLost():
            return PromotionResult.UNKNOWN
        case HttpAnswer(status=status) if status < HTTPStatus.MULTIPLE_CHOICES:
            return PromotionResult.ACCEPTED
        case HttpAnswer(status=HTTPStatus.TOO_MANY_REQUESTS):
            return PromotionResult.NOT_SENT
        case _:
            return PromotionResult.REFUSED
