"""The operators' HTTP listener.

    GET  /healthz              liveness of the process (no token)
    GET  /readyz               whether the VM accepts callers (no token)
    GET  /metrics              metrics for Prometheus
    GET  /status.json          status of this VM
    GET  /fleet.json           status of all VMs, queried for this request
    GET  /status               HTML page with the status of the fleet
    POST /groups/NAME/primary  change the primary: {"target": "name or ''"}
    /table...                  the operators' table

All but the first two require the operators' token: as `Authorization: Bearer`,
or as the password of HTTP basic authentication, which browsers support.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
import gzip
import hmac
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote
from urllib.parse import urlsplit

import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.fleet_view import FleetView
from bamboospring.http_server import HttpServer
from bamboospring.http_server import Request
from bamboospring.http_server import Response
from bamboospring.metrics import Metrics
from bamboospring.metrics_export import Exporter
from bamboospring.reactor import Reactor
from bamboospring.status_view import not_ready_reasons
from bamboospring.status_view import StatusView

__all__ = ["OperatorListener"]

PUBLIC_PATHS = frozenset({"/healthz", "/readyz"})
JSON_TYPE = "application/json"
HTML_TYPE = "text/html; charset=utf-8"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MIN_COMPRESSED_BYTES = 1024
COMPRESSION_LEVEL = 1

Respond = Callable[[Response], None]
HandleTable = Callable[[Request, Respond], bool]
HandOver = Callable[[str, str], None]


class OperatorListener:
    """HTTP listener for operators and the metrics scraper.

    `token` is called for each request, so that the token can change while the
    process runs.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        token: Callable[[], str],
        board: Blackboard,
        metrics: Metrics,
        status: StatusView,
        fleet: FleetView,
        handle_table: HandleTable,
        hand_over: HandOver,
    ) -> None:
        self._token = token
        self._board = board
        self._metrics = metrics
        self._status = status
        self._fleet = fleet
        self._handle_table = handle_table
        self._hand_over = hand_over
        local_vm = board.local_vm
        self._exporter = Exporter(
            vm=local_vm.name, availability_zone=local_vm.availability_zone
        )
        self.server = HttpServer(
            reactor=reactor, address=address, handler=self._handle
        )

    @property
    def address(self) -> str:
        """Return the address listened on, with the actual port."""
        return self.server.address

    def _handle(self, req: Request, respond: Respond) -> None:
        path = urlsplit(req.path).path
        if path not in PUBLIC_PATHS and not self._is_authorized(req):
            respond(_unauthorized_response())
        elif req.method == "POST" and not _has_json_body(req):
            # Protects against cross-site request forgery: a page of another
            # site can make a signed-in browser send a form, but not JSON.
            respond(
                _error_response(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, JSON_TYPE)
            )
        elif not self._handle_table(req, respond):
            self._route(req, path, respond)

    def _route(self, req: Request, path: str, respond: Respond) -> None:
        match req.method, path.split("/")[1:]:
            case "GET", ["healthz"]:
                respond(_json_response({"alive": True}))
            case "GET", ["readyz"]:
                respond(self._readiness())
            case "GET", ["metrics"]:
                respond(
                    _compressed_response(
                        req, self._metrics_text(), METRICS_TYPE
                    )
                )
            case "GET", ["status.json"]:
                body = orjson.dumps(self._status.describe())
                respond(_compressed_response(req, body, JSON_TYPE))
            case "GET", ["fleet.json"]:
                self._fleet.gather(
                    lambda found: respond(
                        _compressed_response(
                            req, orjson.dumps(found), JSON_TYPE
                        )
                    )
                )
            case "GET", ["status"]:
                self._fleet.gather(
                    lambda found: respond(_page_response(found))
                )
            case "POST", ["groups", name, "primary"]:
                respond(self._change_primary(unquote(name), req.body))
            case _:
                respond(_error_response(HTTPStatus.NOT_FOUND, "no such page"))

    def _is_authorized(self, req: Request) -> bool:
        token = _credential(req.headers.get("authorization", ""))
        return hmac.compare_digest(token.encode(), self._token().encode())

    def _readiness(self) -> Response:
        reasons = not_ready_reasons(self._board)
        return _json_response(
            {"ready": not reasons, "reasons": reasons},
            HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK,
        )

    def _metrics_text(self) -> bytes:
        return self._exporter.text(self._metrics.series())

    def _change_primary(self, group: str, body: bytes) -> Response:
        if not self._board.knows_group(group):
            return _error_response(HTTPStatus.NOT_FOUND, f"no group {group}")
        try:
            target = orjson.loads(body)["target"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            target = None
        if not isinstance(target, str):
            return _error_response(
                HTTPStatus.BAD_REQUEST, 'expected {"target": "name or empty"}'
            )
        self._hand_over(group, target)
        return _json_response({"ordered": True}, HTTPStatus.ACCEPTED)


def _credential(header: str) -> str:
    scheme, _, rest = header.partition(" ")
    match scheme.lower():
        case "bearer":
            return rest.strip()
        case "basic":
            try:
                pair = base64.b64decode(rest, validate=True).decode()
            except (binascii.Error, UnicodeDecodeError):
                return ""
            return pair.partition(":")[2]
        case _:
            return ""


def _has_json_body(req: Request) -> bool:
    media_type = req.headers.get("content-type", "").partition(";")[0]
    return media_type.strip().lower() == JSON_TYPE


def _unauthorized_response() -> Response:
    return Response(
        status=HTTPStatus.UNAUTHORIZED,
        body=orjson.dumps({"error": "the operators' token is required"}),
        headers={"WWW-Authenticate": 'Basic realm="bamboospring"'},
    )


def _error_response(status: HTTPStatus, text: str) -> Response:
    return _json_response({"error": text}, status)


def _json_response(body: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(status=status, body=orjson.dumps(body))


def _page_response(fleet: dict[str, Any]) -> Response:
    from bamboospring.status_html import render_page

    return Response(body=render_page(fleet).encode(), content_type=HTML_TYPE)


def _compressed_response(
    req: Request, body: bytes, content_type: str
) -> Response:
    """Return a response, compressed if the client accepts gzip.

    The metrics of 530 groups are large.
    """
    accepts_gzip = "gzip" in req.headers.get("accept-encoding", "")
    if not accepts_gzip or len(body) < MIN_COMPRESSED_BYTES:
        return Response(body=body, content_type=content_type)
    return Response(
        body=gzip.compress(body, COMPRESSION_LEVEL),
        content_type=content_type,
        headers={"Content-Encoding": "gzip"},
    )
