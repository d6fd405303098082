"""Carry out a steward's orders to targets over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import orjson

from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpLost
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.reactor import Reactor
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["OnOrdered", "send_order"]

ORDER_TIMEOUT = 1.0
# How long a target waits for the writes under way, and then holds new ones.
PAUSE_WAIT_MS = 300
PAUSE_FOR_MS = 1000

# Gets whether the target did it and what it says of itself; None: no answer.
OnOrdered = Callable[[bool, ProbeResult | None], None]


def send_order(reactor: Reactor, order: Order, on_done: OnOrdered) -> None:
    """Send an order on a connection of its own.

    Orders are few, and one must never wait behind a call that hangs.
    """
    client = HttpClient(reactor=reactor, address=order.target.address)

    def answered(answer: HttpAnswer | HttpLost) -> None:
        client.close()
        if isinstance(answer, HttpLost):
            on_done(False, None)
            return
        if answer.status == HTTPStatus.NO_CONTENT and order.known:
            on_done(True, order.known)
            return
        done = answer.status == HTTPStatus.OK
        known = done or answer.status == HTTPStatus.CONFLICT
        on_done(done, decode_probe(answer.body) if known else None)

    method, path, body = _request(order)
    data = orjson.dumps(body) if body is not None else b""
    client.request(method, path, data, ORDER_TIMEOUT, answered)


def _request(order: Order) -> tuple[str, str, dict[str, Any] | None]:
    term = {"term": order.term}
    match order.kind:
        case OrderKind.PROBE if order.known and order.known.state_tag:
            seen = order.known.state_tag
            return "GET", f"/positions?seen={seen}&wait_ms=0", None
        case OrderKind.PROBE:
            return "GET", "/probe", None
        case OrderKind.PAUSE:
            times = {"wait_ms": PAUSE_WAIT_MS, "for_ms": PAUSE_FOR_MS}
            return "POST", "/pause", term | times
        case OrderKind.FOLLOW:
            return "POST", "/follow", {**term, "primary": order.primary}
        case _:
            return "POST", f"/{order.kind.value}", term
