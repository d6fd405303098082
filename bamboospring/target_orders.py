"""Sends a steward's orders to targets over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import orjson

from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.reactor import Reactor
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["OnOrderAnswer", "send_order"]

ORDER_TIMEOUT = 1.0
# How long a target waits for writes in flight, and how long it then holds new
# writes.
MAX_PAUSE_WAIT_MS = 300
PAUSE_DURATION_MS = 1000

# Receives whether the target carried the order out, and its report or None if
# there is none.
OnOrderAnswer = Callable[[bool, ProbeResult | None], None]


def send_order(
    reactor: Reactor, order: Order, on_complete: OnOrderAnswer
) -> None:
    """Send an order on a new connection.

    Orders are rare, and an order must never wait behind a hanging call.
    """
    client = HttpClient(reactor=reactor, address=order.target.address)

    def on_answer(answer: HttpResponse | HttpFailure) -> None:
        client.close()
        if isinstance(answer, HttpFailure):
            on_complete(False, None)
            return
        if answer.status == HTTPStatus.NO_CONTENT and order.known_probe:
            on_complete(True, order.known_probe)
            return
        is_done = answer.status == HTTPStatus.OK
        has_report = is_done or answer.status == HTTPStatus.CONFLICT
        on_complete(is_done, decode_probe(answer.body) if has_report else None)

    method, path, body = _request(order)
    data = orjson.dumps(body) if body is not None else b""
    client.request(method, path, data, ORDER_TIMEOUT, on_answer)


def _request(order: Order) -> tuple[str, str, dict[str, Any] | None]:
    term = {"term": order.term}
    match order.kind:
        case OrderKind.PROBE if (
            order.known_probe and order.known_probe.state_tag
        ):
            seen = order.known_probe.state_tag
            return "GET", f"/positions?seen={seen}&wait_ms=0", None
        case OrderKind.PROBE:
            return "GET", "/probe", None
        case OrderKind.PAUSE:
            times = {"wait_ms": MAX_PAUSE_WAIT_MS, "for_ms": PAUSE_DURATION_MS}
            return "POST", "/pause", term | times
        case OrderKind.FOLLOW:
            return (
                "POST",
                "/follow",
                {**term, "primary": order.primary_address},
            )
        case _:
            return "POST", f"/{order.kind.value}", term
