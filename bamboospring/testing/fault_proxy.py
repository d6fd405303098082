"""A TCP proxy that cuts, freezes, silences or delays its links on order.

Run it as `python -m bamboospring.testing.fault_proxy --listen 127.0.0.1:0`.
The orders are in docs/PROTOCOLS.md; a link whose `listen` has port 0 gets a
port chosen, and the answer names it.
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
from bamboospring.testing.loop_monitor import watch_loop

__all__ = ["FaultProxy", "Link", "main"]

READ_SIZE = 65536
MODES = ("pass", "cut", "freeze", "silent", "delay")
DIRECTIONS = ("both", "to_upstream", "to_client")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True, eq=False)
class Pair:
    """One connection through a link: the two sockets' writers."""

    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    source: str
    silent: set[str] = field(default_factory=set)

    def reset(self) -> None:
        """Close both sides with a TCP reset."""
        reset(self.client)
        reset(self.upstream)


class Link:
    """One listening port forwarded to one upstream, under one mode."""

    def __init__(self, *, name: str, listen: str, upstream: str) -> None:
        self.name = name
        self.listen = listen
        self.upstream = upstream
        self.mode = "pass"
        self.direction = "both"
        self.delay_ms = 0
        self.source = ""
        self._pairs: set[Pair] = set()
        self._thawed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; `listen` then names the port that was given."""
        host, port = parse_address(self.listen)
        self._server = await asyncio.start_server(
            self._accepted, host, port, backlog=1024
        )
        self.listen = listening_address(self._server)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for pair in self._pairs:
            pair.reset()

    def set_mode(
        self, *, mode: str, direction: str, delay_ms: int, source: str = ""
    ) -> None:
        """Change what happens to the link's connections from now on.

        With `source` only to those from this IP address: a region reaches a
        place that another one does not.
        """
        if mode not in MODES or direction not in DIRECTIONS:
            raise ValueError(f"unknown mode {mode} or direction {direction}")
        self.mode = mode
        self.direction = direction
        self.delay_ms = delay_ms
        self.source = source
        if mode == "cut":
            self._cut()
        if mode == "silent":
            self._silence()
        self._thawed.set()
        self._thawed = asyncio.Event()

    def as_json(self) -> dict[str, Any]:
        """Return the link as the API shows it."""
        return {
            "name": self.name,
            "listen": self.listen,
            "upstream": self.upstream,
            "mode": self.mode,
            "direction": self.direction,
            "delay_ms": self.delay_ms,
            "source": self.source,
            "connections": len(self._pairs),
        }

    def _cut(self) -> None:
        for pair in self._pairs:
            if self._concerns(pair.source):
                pair.reset()

    def _silence(self) -> None:
        silent = {"to_upstream", "to_client"}
        if self.direction != "both":
            silent = {self.direction}
        for pair in self._pairs:
            if self._concerns(pair.source):
                pair.silent |= silent

    def _concerns(self, source: str) -> bool:
        return self.source in ("", source)

    def _applies(self, pair: Pair, mode: str, direction: str) -> bool:
        here = self.direction in ("both", direction)
        return self.mode == mode and here and self._concerns(pair.source)

    async def _accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if self.mode == "cut" and self._concerns(source):
            reset(writer)
            return
        host, port = parse_address(self.upstream)
        try:
            there = await asyncio.open_connection(host, port)
        except OSError:
            reset(writer)
            return
        pair = Pair(client=writer, upstream=there[1], source=source)
        set_nodelay(writer)
        set_nodelay(there[1])
        await self._run(pair, reader, there[0])

    async def _run(
        self,
        pair: Pair,
        client: asyncio.StreamReader,
        upstream: asyncio.StreamReader,
    ) -> None:
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, client, pair.upstream, "to_upstream"),
                self._pump(pair, upstream, pair.client, "to_client"),
            )
        except OSError:
            # Also "not connected", which is no ConnectionError: the end of
            # a stream came for a side that had been reset meanwhile.
            pair.reset()
        finally:
            self._pairs.discard(pair)
            pair.client.close()
            pair.upstream.close()

    async def _pump(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Forward one direction until its end.

        Chunks pass through a queue so that a delay shifts each one without
        adding up. The end of a stream is queued too: a close overtakes no
        data, and none gets through a frozen or silent link.
        """
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)
        sender = asyncio.create_task(
            self._send(pair, queue, writer, direction)
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
        pair: Pair,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while True:
            read_at, data = await queue.get()
            if self._applies(pair, "delay", direction):
                due = read_at + self.delay_ms / 1000
                await asyncio.sleep(due - time.monotonic())
            while self._applies(pair, "freeze", direction):
                await self._thawed.wait()
            if direction in pair.silent:
                await asyncio.Event().wait()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def set_nodelay(writer: asyncio.StreamWriter) -> None:
    """Send small chunks at once."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class FaultProxy:
    """The links and the HTTP orders over them."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    async def handle(self, conn: Connection, request: Request) -> Reply:
        """Answer one order."""
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
    """Listen for orders until the process ends."""
    proxy = FaultProxy()
    server = await serve_http(listen, proxy.handle)
    print(f"listening {listening_address(server)}", flush=True)
    await asyncio.gather(server.serve_forever(), watch_loop())


def main() -> None:
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    asyncio.run(serve(parser.parse_args().listen))


if __name__ == "__main__":
    main()
