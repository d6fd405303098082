"""Steps for TLS connections to the platform and the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
from functools import partial
import http.client
from pathlib import Path
import ssl
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import GROUP
from fleet_support import SCHEMA

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.topology import SMALL

KEYS = Path(__file__).resolve().parents[1] / "data" / "tls"
REQUEST_TIMEOUT = 5.0


class TlsRelays:
    """TLS proxies in front of simulators that only support plain text."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self._tls = _server_tls("vm")
        self._writers: list[asyncio.StreamWriter] = []
        self._loop = asyncio.new_event_loop()
        self._loop.set_exception_handler(lambda *_: None)
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def add_upstream(self, upstream: str) -> str:
        """Return the address of the TLS proxy for `upstream`."""
        if upstream not in self.addresses:
            self.addresses[upstream] = self._run(self._listen(upstream))
        return self.addresses[upstream]

    def use_certificate(self, name: str) -> None:
        """Use another certificate and abort all open connections."""
        # All listeners share this context, so new connections use the new
        # certificate.
        self._tls.load_cert_chain(KEYS / f"{name}.pem", KEYS / f"{name}.key")
        self._run(self._close_connections())

    def stop(self) -> None:
        """Close all connections and stop the event loop."""
        self._run(self._close_connections())
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            10
        )

    async def _listen(self, upstream: str) -> str:
        accepted = partial(self._on_connection, upstream)
        server = await asyncio.start_server(
            accepted, "127.0.0.1", 0, ssl=self._tls
        )
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _on_connection(
        self,
        upstream: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, port = upstream.rsplit(":", 1)
        there = await asyncio.open_connection(host, int(port))
        self._writers += [writer, there[1]]
        await asyncio.gather(
            _pump(reader, there[1]),
            _pump(there[0], writer),
            return_exceptions=True,
        )

    async def _close_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65536):
        writer.write(data)
    writer.close()


def _server_tls(name: str) -> ssl.SSLContext:
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls.load_cert_chain(KEYS / f"{name}.pem", KEYS / f"{name}.key")
    tls.load_verify_locations(KEYS / "authority.pem")
    tls.verify_mode = ssl.CERT_REQUIRED
    return tls


@given("a small fleet whose platform and targets use TLS")
def given_fleet(context: Any) -> None:
    context.relays = TlsRelays()
    context.add_cleanup(context.relays.stop)
    tls = {
        "certificate": str(KEYS / "vm.pem"),
        "private_key": str(KEYS / "vm.key"),
        "authority": str(KEYS / "authority.pem"),
    }
    fleet = Fleet(
        topology=dataclasses.replace(SMALL, schema=SCHEMA),
        vms=3,
        settings={"platform": {"tls": tls}, "targets": {"tls": tls}},
        map_address=context.relays.add_upstream,
    )
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    fleet.wait_serving()


@then("a caller gets {count:d} reads done through every entry")
def then_reads(context: Any, count: int) -> None:
    for entry in context.fleet.entries():
        caller = Caller(entries=[entry])
        for _ in range(count):
            answer = caller.read(GROUP, "SELECT 1")
            assert answer.done, answer


@then("nobody without the fleet's authority is let through to them")
def then_strangers(context: Any) -> None:
    for upstream, address in context.relays.addresses.items():
        path = "/probe" if _is_target(context, upstream) else "/vms"
        plain: Callable[[], Any] = partial(call_json, address, "GET", path)
        for attempt in (plain, partial(_get, address, path, "foreign")):
            try:
                found = attempt()
            except (OSError, http.client.HTTPException):
                continue
            raise AssertionError(f"{address} was reached: {found}")
        assert _get(address, path, "vm") == 200


def _is_target(context: Any, address: str) -> bool:
    return any(t.listen == address for t in context.fleet.targets.values())


def _get(address: str, path: str, name: str) -> int:
    tls = ssl.create_default_context(cafile=str(KEYS / "authority.pem"))
    tls.load_cert_chain(KEYS / f"{name}.pem", KEYS / f"{name}.key")
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPSConnection(
        host, int(port), timeout=REQUEST_TIMEOUT, context=tls
    )
    try:
        conn.request("GET", path)
        return conn.getresponse().status
    finally:
        conn.close()


@when("they show a certificate of another authority and cut connections")
def when_foreign(context: Any) -> None:
    context.relays.use_certificate("foreign")


@then("no VM gets through to them, and none is ready after a restart")
def then_nothing(context: Any) -> None:
    for entry in context.fleet.entries():
        answer = Caller(entries=[entry]).read(GROUP, "SELECT 1")
        assert answer.outcome in ("not_run", "overloaded"), answer
    before = _executed_statements(context)
    context.fleet.restart("vm-1")
    time.sleep(2)
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    address = context.fleet.vms["vm-1"].operators_listen
    status = call_json(address, "GET", "/status.json", headers=headers)
    assert status["ready"] is False and status["vms_seen"] == 0, status
    assert _executed_statements(context) == before


def _executed_statements(context: Any) -> int:
    fleet = context.fleet
    return sum(
        fleet.counters(name).get("executed", 0) for name in fleet.targets
    )
