"""Requests to the platform to promote a target."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import orjson

from bamboospring.http_client import HttpConnection
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor
from bamboospring.sessions.ports import PromotionResult

__all__ = ["PromotionClient", "promotion_result"]


class PromotionClient:
    """Sends promotion requests, each on a connection of its own.

    A connection whose request got no answer is reset. This discards data
    that is still in transit, so the request can't arrive after the lease
    under which it was sent has passed to another process. A request is not
    sent if its time is over once it is connected, as after a suspension.
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
        """Request a promotion under the fencing number of the holder's lease.

        `timeout` is in seconds and applies to the connection and the answer
        together.
        """
        deadline = self._reactor.now() + timeout
        conn = HttpConnection(reactor=self._reactor, address=self._address)
        body = orjson.dumps({"service": group, "id": target})
        headers = (
            "Content-Type: application/json\r\n"
            f"Duty-Holder: {holder}\r\nFencing-Token: {fence}\r\n"
        )

        def on_connected(ok: bool) -> None:
            remaining = deadline - self._reactor.now()
            if not ok or remaining <= 0:
                conn.close()
                on_complete(PromotionResult.NOT_SENT)
                return
            conn.request(
                "POST", "/promotion", body, remaining, on_answer, headers
            )

        def on_answer(answer: HttpResponse | HttpFailure) -> None:
            conn.close()
            on_complete(promotion_result(answer))

        conn.connect(timeout, on_connected)


def promotion_result(answer: HttpResponse | HttpFailure) -> PromotionResult:
    """Return what an answer to an order says about its target."""
    match answer:
        case HttpFailure():
            return PromotionResult.UNKNOWN
        case HttpResponse(status=status) if (
            status < HTTPStatus.MULTIPLE_CHOICES
        ):
            return PromotionResult.ACCEPTED
        case HttpResponse(status=status) if (
            status == HTTPStatus.TOO_MANY_REQUESTS
            or status >= HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            # Nothing was done, and another target would fare no better.
            return PromotionResult.NOT_SENT
        case _:
            return PromotionResult.REFUSED
