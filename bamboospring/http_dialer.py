"""Open and check HTTP connections to this project's own targets."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from bamboospring.blackboard import Target
from bamboospring.connection_terminator import ConnectionTerminator
from bamboospring.http_client import HttpConnection
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor
from bamboospring.target_link import Health
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed

__all__ = ["HttpDialer"]


class HttpDialer:
    """The dialer of one pool.

    `idle_transaction` is the time in seconds after which the target has to
    end an idle open transaction. `on_ended` is called with the ids of the
    connections whose end the target has confirmed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        target: Target,
        vm: str,
        idle_transaction: float,
        on_ended: Callable[[list[int]], None],
    ) -> None:
        self._reactor = reactor
        self._address = target.address
        idle_ms = int(idle_transaction * 1000)
        self._connect_body = orjson.dumps(
            {"id": 0, "holder": vm, "idle_tx_ms": idle_ms}
        )
        self._terminator = ConnectionTerminator(
            reactor=reactor, address=target.address, on_terminated=on_ended
        )

    def open(
        self,
        team: str,
        timeout: float,
        on_complete: Callable[[Opened[HttpConnection] | OpenFailed], None],
    ) -> None:
        """Open a statement connection; these targets have no teams."""
        conn = HttpConnection(reactor=self._reactor, address=self._address)

        def on_connected(ok: bool) -> None:
            if not ok:
                on_complete(OpenFailed())
                return
            conn.request(
                "POST", "/connect", self._connect_body, timeout, on_answer
            )

        def on_answer(answer: HttpResponse | HttpFailure) -> None:
            if isinstance(answer, HttpFailure) or answer.status != 200:
                conn.close()
                on_complete(OpenFailed())
                return
            on_complete(
                Opened(link=conn, connection_id=_connection_id(answer))
            )

        conn.connect(timeout, on_connected)

    def check(
        self,
        link: HttpConnection,
        timeout: float,
        on_complete: Callable[[Health], None],
    ) -> None:
        """Request the target's report on an idle connection."""

        def on_answer(answer: HttpResponse | HttpFailure) -> None:
            if not isinstance(answer, HttpFailure):
                on_complete(Health.ALIVE)
            elif answer.reason == "timeout":
                on_complete(Health.SILENT)
            else:
                on_complete(Health.CLOSED)

        link.request("GET", "/probe", b"", timeout, on_answer)

    def end(self, connection_id: int) -> None:
        """Have the target end a connection that this side has closed."""
        self._terminator.terminate(connection_id)


def _connection_id(answer: HttpResponse) -> int:
    """Return the connection's id at the target, 0 if it sent none."""
    try:
        return int(orjson.loads(answer.body).get("connection", 0))
    except (ValueError, TypeError, AttributeError):
        return 0
