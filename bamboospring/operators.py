"""The operators' HTTP listener.

    GET  /healthz              is the process alive (no token)
    GET  /readyz               may callers be sent here (no token)
    GET  /metrics              metrics for Prometheus
    GET  /status.json          this VM
    GET  /fleet.json           all VMs, asked now
    GET  /status               the fleet as a page to look at
    POST /groups/NAME/primary  hand the primary over: {"target": "name or ''"}
    /table...                  the operators' table

All but the first two need the operators' token: as `Authorization: Bearer`,
or as the password of HTTP basic authentication, which is what browsers offer.
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
from bamboospring.status_view import StatusView
from bamboospring.status_view import unreadiness

__all__ = ["Operators"]

OPEN_PATHS = frozenset({"/healthz", "/readyz"})
JSON_TYPE = "application/json"
HTML_TYPE = "text/html; charset=utf-8"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
COMPRESS_FROM = 1024
COMPRESS_LEVEL = 1

Respond = Callable[[Response], None]
HandleTable = Callable[[Request, Respond], bool]
HandOver = Callable[[str, str], None]


class Operators:
    """Serve operators and the metrics' scraper.

    `token` is asked for at each request, so that it can change while the
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
        me = board.local_vm
        self._exporter = Exporter(
            vm=me.name, availability_zone=me.availability_zone
        )
        self.server = HttpServer(
            reactor=reactor, address=address, handler=self._handle
        )

    @property
    def address(self) -> str:
        """Return the address listened on, with the port really in use."""
        return self.server.address

    def _handle(self, req: Request, respond: Respond) -> None:
        path = urlsplit(req.path).path
        if path not in OPEN_PATHS and not self._may(req):
            respond(_challenge())
        elif req.method == "POST" and not _says_json(req):
            # A page of another site can make a signed-in browser send a
            # form here, but not one of this type.
            respond(_problem(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, JSON_TYPE))
        elif not self._handle_table(req, respond):
            self._route(req, path, respond)

    def _route(self, req: Request, path: str, respond: Respond) -> None:
        match req.method, path.split("/")[1:]:
            case "GET", ["healthz"]:
                respond(_json({"alive": True}))
            case "GET", ["readyz"]:
                respond(self._readiness())
            case "GET", ["metrics"]:
                respond(_compressed(req, self._metrics_text(), METRICS_TYPE))
            case "GET", ["status.json"]:
                body = orjson.dumps(self._status.describe())
                respond(_compressed(req, body, JSON_TYPE))
            case "GET", ["fleet.json"]:
                self._fleet.gather(
                    lambda found: respond(
                        _compressed(req, orjson.dumps(found), JSON_TYPE)
                    )
                )
            case "GET", ["status"]:
                self._fleet.gather(lambda found: respond(_page(found)))
            case "POST", ["groups", name, "primary"]:
                respond(self._change_primary(unquote(name), req.body))
            case _:
                respond(_problem(HTTPStatus.NOT_FOUND, "no such page"))

    def _may(self, req: Request) -> bool:
        given = _credential(req.headers.get("authorization", ""))
        return hmac.compare_digest(given.encode(), self._token().encode())

    def _readiness(self) -> Response:
        reasons = unreadiness(self._board)
        return _json(
            {"ready": not reasons, "reasons": reasons},
            HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK,
        )

    def _metrics_text(self) -> bytes:
        return self._exporter.text(self._metrics.series())

    def _change_primary(self, group: str, body: bytes) -> Response:
        if not self._board.knows_group(group):
            return _problem(HTTPStatus.NOT_FOUND, f"no group {group}")
        try:
            target = orjson.loads(body)["target"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            target = None
        if not isinstance(target, str):
            return _problem(
                HTTPStatus.BAD_REQUEST, '{"target": "name or empty"} is needed'
            )
        self._hand_over(group, target)
        return _json({"ordered": True}, HTTPStatus.ACCEPTED)


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


def _says_json(req: Request) -> bool:
    kind = req.headers.get("content-type", "").partition(";")[0]
    return kind.strip().lower() == JSON_TYPE


def _challenge() -> Response:
    return Response(
        status=HTTPStatus.UNAUTHORIZED,
        body=orjson.dumps({"error": "the operators' token is needed"}),
        headers={"WWW-Authenticate": 'Basic realm="bamboospring"'},
    )


def _problem(status: HTTPStatus, text: str) -> Response:
    return _json({"error": text}, status)


def _json(body: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(status=status, body=orjson.dumps(body))


def _page(found: dict[str, Any]) -> Response:
    from bamboospring.status_html import page

    return Response(body=page(found).encode(), content_type=HTML_TYPE)


def _compressed(req: Request, body: bytes, content_type: str) -> Response:
    """Compress for whoever takes it: a scrape of 530 groups is large."""
    accepts = "gzip" in req.headers.get("accept-encoding", "")
    if not accepts or len(body) < COMPRESS_FROM:
        return Response(body=body, content_type=content_type)
    return Response(
        body=gzip.compress(body, COMPRESS_LEVEL),
        content_type=content_type,
        headers={"Content-Encoding": "gzip"},
    )
