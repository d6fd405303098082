"""A TCP proxy that cuts, freezes, silences or delays its links on request.

Run it as `python -m bamboospring.testing.fault_proxy --listen 127.0.0.1:0`.
The requests are described in docs/PROTOCOLS.md. A link whose `listen` has port
0 listens on a free port, which the answer contains.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import dataclass
from dataclasses import field
import socket
import struct
import time
from typing import Any

from bamboospring.testing.http_server import Connection
from bamboospring.testing.http_server import listening_address
from bamboospring.testing.http_server import parse_address
from bamboospring.testing.http_server import Reply
from bamboospring.testing.http_server import Request
from bamboospring.testing.http_server import serve_http
from bamboospring.testing.loop_monitor import report_loop_delays

__all__ = ["FaultProxy", "Link", "main"]

READ_SIZE = 65536
MODES = ("pass", "cut", "freeze", "silent", "delay")
DIRECTIONS = ("both", "to_upstream", "to_client")
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True, eq=False)
class ProxiedConnection:
    """One connection through a link.

    Data in `dropped_directions` is never forwarded.
    """

    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    source: str
    dropped_directions: set[str] = field(default_factory=set)

    def reset_both(self) -> None:
        """Close both sides with a TCP reset."""
        reset_connection(self.client)
        reset_connection(self.upstream)


class Link:
    """A listening port that is forwarded to one upstream in some mode.

    An upstream never learns that the client of a silent connection has closed
    it, or with `keepalive` so many seconds later. All data of connections from
    an IP address in `silenced_sources` is dropped, whatever the mode.
    """

    def __init__(
        self,
        *,
        name: str,
        listen: str,
        upstream: str,
        keepalive: float | None = None,
    ) -> None:
        self.name = name
        self.listen = listen
        self.upstream = upstream
        self.keepalive = keepalive
        self.mode = "pass"
        self.direction = "both"
        self.delay_ms = 0
        self.source = ""
        self.silenced_sources: set[str] = set()
        self._connections: set[ProxiedConnection] = set()
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; `listen` then contains the actual port."""
        host, port = parse_address(self.listen)
        self._server = await asyncio.start_server(
            self._handle_accept, host, port, backlog=1024
        )
        self.listen = listening_address(self._server)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for conn in self._connections:
            conn.reset_both()

    def set_mode(
        self, *, mode: str, direction: str, delay_ms: int, source: str = ""
    ) -> None:
        """Change the mode of the link.

        With `source` the mode applies only to connections from this IP
        address, so that a host can be reachable from one region but not from
        another.
        """
        if mode not in MODES or direction not in DIRECTIONS:
            raise ValueError(f"unknown mode {mode} or direction {direction}")
        self.mode = mode
        self.direction = direction
        self.delay_ms = delay_ms
        self.source = source
        if mode == "cut":
            self._reset_connections()
        if mode == "silent":
            self._drop_directions()
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def silence_open_connections(self) -> None:
        """Drop all data of the open connections, whatever the mode."""
        for conn in self._connections:
            conn.dropped_directions |= {"to_upstream", "to_client"}

    def silence_source(self, source: str) -> None:
        """Drop all data of open and new connections from an address."""
        self.silenced_sources.add(source)
        for conn in self._connections:
            if conn.source == source:
                conn.dropped_directions |= {"to_upstream", "to_client"}

    def as_json(self) -> dict[str, Any]:
        """Return the link as it is in the API."""
        return {
            "name": self.name,
            "listen": self.listen,
            "upstream": self.upstream,
            "mode": self.mode,
            "direction": self.direction,
            "delay_ms": self.delay_ms,
            "source": self.source,
            "connections": len(self._connections),
        }

    def _reset_connections(self) -> None:
        for conn in self._connections:
            if self._matches_source(conn.source):
                conn.reset_both()

    def _drop_directions(self) -> None:
        dropped = {"to_upstream", "to_client"}
        if self.direction != "both":
            dropped = {self.direction}
        for conn in self._connections:
            if self._matches_source(conn.source):
                conn.dropped_directions |= dropped

    def _matches_source(self, source: str) -> bool:
        return self.source in ("", source)

    def _is_mode_active(
        self, conn: ProxiedConnection, mode: str, direction: str
    ) -> bool:
        direction_matches = self.direction in ("both", direction)
        return (
            self.mode == mode
            and direction_matches
            and self._matches_source(conn.source)
        )

    async def _handle_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if self.mode == "cut" and self._matches_source(source):
            reset_connection(writer)
            return
        host, port = parse_address(self.upstream)
        try:
            upstream_streams = await asyncio.open_connection(host, port)
        except OSError:
            reset_connection(writer)
            return
        conn = ProxiedConnection(
            client=writer, upstream=upstream_streams[1], source=source
        )
        if source in self.silenced_sources:
            conn.dropped_directions |= {"to_upstream", "to_client"}
        set_nodelay(writer)
        set_nodelay(upstream_streams[1])
        await self._forward_both(conn, reader, upstream_streams[0])

    async def _forward_both(
        self,
        conn: ProxiedConnection,
        client: asyncio.StreamReader,
        upstream: asyncio.StreamReader,
    ) -> None:
        self._connections.add(conn)
        try:
            await asyncio.gather(
                self._forward(conn, client, conn.upstream, "to_upstream"),
                self._forward(conn, upstream, conn.client, "to_client"),
            )
        except OSError:
            # Not only ConnectionError: the end of a stream that arrives
            # after the other side was reset raises ENOTCONN, which is a
            # plain OSError.
            conn.reset_both()
        finally:
            self._connections.discard(conn)
            conn.client.close()
            conn.upstream.close()

    async def _forward(
        self,
        conn: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Forward one direction until its end.

        Chunks pass through a queue, so that a delay applies to each chunk
        once and does not accumulate. The end of the stream is queued too: a
        close never overtakes data, and it does not pass a frozen or silent
        link.
        """
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)
        sender = asyncio.create_task(
            self._send(conn, queue, writer, direction)
        )
        try:
            while True:
                data = await reader.read(READ_SIZE)
                await queue.put((time.monotonic(), data))
                if not data:
                    break
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        conn: ProxiedConnection,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while True:
            read_at, data = await queue.get()
            if self._is_mode_active(conn, "delay", direction):
                send_at = read_at + self.delay_ms / 1000
                await asyncio.sleep(send_at - time.monotonic())
            while self._is_mode_active(conn, "freeze", direction):
                await self._mode_changed.wait()
            if direction in conn.dropped_directions:
                await self._drop(conn, queue, data)
                return
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def _drop(
        self,
        conn: ProxiedConnection,
        queue: asyncio.Queue[tuple[float, bytes]],
        data: bytes,
    ) -> None:
        """Drop everything until the end of the stream, and that too."""
        if self.keepalive is None:
            await asyncio.Event().wait()
            return
        while data:
            _read_at, data = await queue.get()
        await asyncio.sleep(self.keepalive)
        conn.reset_both()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def set_nodelay(writer: asyncio.StreamWriter) -> None:
    """Send small chunks without delay (TCP_NODELAY)."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class FaultProxy:
    """The links and the HTTP API that controls them."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    async def handle(self, conn: Connection, request: Request) -> Reply:
        """Answer one request."""
        try:
            return await self._route(request)
        except (KeyError, ValueError, OSError) as exc:
            return Reply(status=400, body={"error": str(exc)})

    async def _route(self, request: Request) -> Reply:
        match request.method, request.path:
            case "GET", ["links"]:
                links = [link.as_json() for link in self._links.values()]
                return Reply(body={"links": links})
            case "POST", ["links"]:
                return await self._add(request.json())
            case "POST", ["links", name]:
                return self._set_mode(self._links[name], request.json())
        return Reply(status=404, body={"error": "no such resource"})

    async def _add(self, body: dict[str, Any]) -> Reply:
        link = Link(
            name=body["name"],
            listen=body["listen"],
            upstream=body["upstream"],
        )
        if link.name in self._links:
            raise ValueError(f"link {link.name} exists")
        await link.start()
        self._links[link.name] = link
        return Reply(body=link.as_json())

    def _set_mode(self, link: Link, body: dict[str, Any]) -> Reply:
        link.set_mode(
            mode=body["mode"],
            direction=body.get("direction", "both"),
            delay_ms=int(body.get("delay_ms", 0)),
            source=body.get("source", ""),
        )
        return Reply(body=link.as_json())


async def serve(listen: str) -> None:
    """Serve the HTTP API until the process ends."""
    proxy = FaultProxy()
    server = await serve_http(listen, proxy.handle)
    print(f"listening {listening_address(server)}", flush=True)
    await asyncio.gather(server.serve_forever(), report_loop_delays())


def main() -> None:
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    asyncio.run(serve(parser.parse_args().listen))


if __name__ == "__main__":
    main()
