"""Simulated shutdowns of the HTTP side, with requests on open connections."""

from __future__ import annotations

from collections import Counter
import random

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.drain import Drain
from bamboospring.http_server import HttpServer
from bamboospring.http_server import Response
from features.steps.stop_worlds import Clock

__all__ = ["explore_drains"]

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
HANDLER_SECONDS = 0.02


class _Stream:
    """An open connection of a caller that sends one request."""

    closed = closing = False
    on_data = on_close = None

    def __init__(self):
        self.received = b""

    def send(self, data):
        self.received += data

    def close(self):
        self.closed = True

    def pause(self):
        pass

    resume = pause


class _Reactor(Clock):
    """Also the listener, in whose queue connections may wait."""

    def __init__(self):
        super().__init__()
        self.on_closed = None

    def listen(self, address, on_accept, *, reuse_port=False):
        self.on_accept = on_accept
        return self

    def drain(self):
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()

    close = drain


class _Peers:
    def broadcast(self, message):
        pass

    def close(self):
        pass


class DrainWorld:
    """One shutdown, with a request at a random time on each connection."""

    def __init__(self, seed, seen, wrong):
        self.rng = rng = random.Random(f"drain/{seed}")
        self.seed, self.seen, self.wrong = seed, seen, wrong
        self.clock = _Reactor()
        self.has_exited = False
        self.begun_at = {}
        server = HttpServer(
            reactor=self.clock, address="", handler=self.handle
        )
        self.notice = rng.uniform(0.0, 2.0)
        self.idle = rng.uniform(0.0, 2.0)
        self.limit = self.notice + rng.uniform(0.0, 4.0)
        board = Blackboard(
            local_vm=Vm(
                name="v", address="h:1", availability_zone="z", region="r"
            )
        )
        self.drain = Drain(
            reactor=self.clock,
            board=board,
            peers=_Peers(),
            callers=server,
            notice_period=self.notice,
            idle_grace=self.idle,
            max_duration=self.limit,
        )
        self.drain.stop = self.exit
        self.streams = [_Stream() for _ in range(60)]
        for stream in self.streams:
            self.clock.on_accept(stream)
        self.waiting = [_Stream() for _ in range(rng.randrange(3))]
        self.clock.on_closed = self.accept_waiting

    def run(self):
        clock = self.clock
        start = clock.now()
        clock.call_later(0.0, self.drain.begin)
        for stream in self.streams:
            at = start + self.rng.uniform(0.0, self.limit + 0.5)
            clock.at(at, lambda stream=stream: self.request(stream))
        clock.run_until(start + self.limit + 1.0)
        if not self.has_exited:
            self.wrong.append(f"world {self.seed}: it has not exited")

    def accept_waiting(self):
        """Accept the connections in the queue; each has sent a request."""
        for stream in self.waiting:
            self.clock.on_accept(stream)
            self.clock.at(
                self.clock.now(), lambda stream=stream: self.request(stream)
            )

    def request(self, stream):
        if not self.has_exited and not stream.closed:
            stream.received = b""
            self.seen["sent"] += 1
            self.begun_at[stream] = self.clock.now()
            stream.on_data(REQUEST)

    def handle(self, req, respond):
        self.seen["handled"] += 1
        self.clock.call_later(HANDLER_SECONDS, lambda: respond(Response()))

    def exit(self):
        self.has_exited = True
        now = self.clock.now()
        for stream, at in self.begun_at.items():
            if b"HTTP/1.1 503" in stream.received:
                self.seen["refused"] += 1
                if stream in self.waiting:
                    self.wrong.append(
                        f"world {self.seed}: a request that waited in the "
                        "listener's queue was refused"
                    )
            elif not stream.received:
                self.wrong.append(
                    f"world {self.seed}: a request of {now - at:.3f} s before "
                    "the exit got no response"
                )


def explore_drains(count):
    """Run `count` simulations; return what was seen, and what was wrong."""
    seen, wrong = Counter(), []
    for seed in range(count):
        DrainWorld(seed, seen, wrong).run()
    return seen, wrong
