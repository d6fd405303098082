"""The circuits component that waits for sockets and timers.

It stands where the base library's own poller would: that one keeps its
readers in a list and scans it at each change, which does not hold with
thousands of connections, and it fires one event (about 11 us) for each
readable socket. Here a ready socket leads to a direct call.
"""

from __future__ import annotations

from collections.abc import Callable
import errno
from functools import partial
import heapq
import itertools
import os
import select
import socket
import time
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

__all__ = ["Listener", "Reactor", "Stream", "Timer", "split_address"]

EPOLLIN = select.EPOLLIN
READ_SIZE = 65536
ACCEPT_BATCH = 64
BACKLOG = 1024
MAX_EVENTS = 512
# A peer that does not read makes the output grow without end; beyond this
# the stream is dropped, since its other end has stopped long before.
MAX_UNSENT = 8 * 1024 * 1024
# When the process is out of descriptors, accept() fails at once and the
# listening socket stays readable: without a pause the loop would spin.
ACCEPT_PAUSE = 0.1
MIN_CANCELLED = 1000


def split_address(address: str) -> tuple[str, int]:
    """Split `"ip:port"` into its two parts; ValueError if it is not one."""
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"not an ip:port address: {address!r}")
    return host, int(port)


class Timer:
    """A callback that is due once; `cancel` makes it do nothing."""

    __slots__ = ("_reactor", "callback", "when")

    def __init__(
        self, *, reactor: Reactor, when: float, callback: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the callback."""
        if self.callback is not None:
            self.callback = None
            self._reactor.timer_cancelled()


class Stream:
    """A connected TCP socket with buffered, never blocking output.

    Set `on_data` and `on_close` before the next turn of the loop. `on_close`
    is called once, whoever closes.
    """

    __slots__ = (
        "_fd",
        "_mask",
        "_out",
        "_reactor",
        "_sock",
        "closed",
        "closing",
        "on_close",
        "on_data",
    )

    def __init__(self, *, reactor: Reactor, sock: socket.socket) -> None:
        self._reactor = reactor
        self._sock = sock
        self._fd = sock.fileno()
        self._out: bytearray | None = None
        self._mask = select.EPOLLIN
        self.closed = False
        self.closing = False
        self.on_data: Callable[[bytes], None] | None = None
        self.on_close: Callable[[], None] | None = None
        reactor.watch(self._fd, self._mask, self._ready)

    def send(self, data: bytes) -> None:
        """Send or queue; what a closed stream is given is dropped."""
        if self.closed or self.closing:
            return
        if self._out is None:
            data = self._send_now(data)
            if not data or self.closed:
                return
            self._out = bytearray()
            self._set_mask(self._mask | select.EPOLLOUT)
        self._out += data
        if len(self._out) > MAX_UNSENT:
            self.abort()

    def close(self) -> None:
        """Close once all that is queued has been sent."""
        if self._out is None:
            self.abort()
        else:
            self.closing = True

    def abort(self) -> None:
        """Close now; queued output is lost."""
        if self.closed:
            return
        self.closed = True
        self._out = None
        self._reactor.unwatch(self._fd)
        self._sock.close()
        on_close, self.on_close, self.on_data = self.on_close, None, None
        if on_close is not None:
            on_close()

    def pause(self) -> None:
        """Stop reading; the other end then sees its sends held back."""
        self._set_mask(self._mask & ~select.EPOLLIN)

    def resume(self) -> None:
        """Read again after `pause`."""
        self._set_mask(self._mask | select.EPOLLIN)

    def peer_address(self) -> str:
        """Return the other end as `"ip:port"`, empty when it is gone."""
        try:
            host, port = self._sock.getpeername()[:2]
        except OSError:
            return ""
        return f"{host}:{port}"

    def _set_mask(self, mask: int) -> None:
        if mask != self._mask and not self.closed:
            self._mask = mask
            self._reactor.change(self._fd, mask)

    def _send_now(self, data: bytes) -> bytes:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return data
        except OSError:
            self.abort()
            return b""
        return data[sent:]

    def _ready(self, mask: int) -> None:
        if mask == EPOLLIN:
            self._receive()
            return
        if mask & select.EPOLLOUT:
            self._flush()
        if mask & EPOLLIN and not self.closed:
            self._receive()
        elif mask & (select.EPOLLHUP | select.EPOLLERR):
            self.abort()

    def _flush(self) -> None:
        if self._out is None:
            return
        rest = self._send_now(bytes(self._out))
        if self.closed:
            return
        if rest:
            self._out = bytearray(rest)
            return
        self._out = None
        self._set_mask(self._mask & ~select.EPOLLOUT)
        if self.closing:
            self.abort()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.abort()
        elif self.on_data is not None:
            self.on_data(data)


class Listener:
    """A bound socket that takes connections from `open` until `close`."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        sock: socket.socket,
        on_accept: Callable[[Stream], None],
    ) -> None:
        self._reactor = reactor
        self._sock = sock
        self._fd = sock.fileno()
        self._on_accept = on_accept
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._opened = False

    def open(self) -> None:
        """Take connections from now on."""
        if self._opened or self._fd < 0:
            return
        self._opened = True
        self._sock.listen(BACKLOG)
        self._reactor.watch(self._fd, select.EPOLLIN, self._ready)

    def close(self) -> None:
        """Stop listening; accepted streams stay."""
        if self._fd < 0:
            return
        if self._opened:
            self._reactor.unwatch(self._fd)
        self._sock.close()
        self._fd = -1

    def drain(self) -> None:
        """Take what waits in the queue, then close.

        The kernel resets the connections that wait in the queue of a socket
        that is closed. Their callers hold them for open and may have sent a
        request, which would be cut. What arrives between the last look and
        the close is still reset, unless the kernel moves it to another
        process at the address (net.ipv4.tcp_migrate_req).
        """
        while self._opened and self._accept_one():
            pass
        self.close()

    def _ready(self, mask: int) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Take a connection; say whether there may be another."""
        if self._fd < 0:
            return False
        try:
            sock, _address = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as exc:
            self._accept_failed(exc)
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accept(Stream(reactor=self._reactor, sock=sock))
        return True

    def _accept_failed(self, exc: OSError) -> None:
        if exc.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
            return
        self._reactor.change(self._fd, 0)
        self._reactor.call_later(ACCEPT_PAUSE, self._accept_again)

    def _accept_again(self) -> None:
        if self._fd >= 0:
            self._reactor.change(self._fd, select.EPOLLIN)


class Reactor(BaseComponent):
    """Wait for sockets and timers on behalf of all other components.

    Times are seconds of `CLOCK_BOOTTIME`. Register it on the manager before
    any other component, so that the base library brings no poller of its own.
    """

    channel = "reactor"

    def __init__(self) -> None:
        super().__init__(channel=self.channel)
        self._epoll = select.epoll()
        self._ready: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._cancelled = 0
        self._sequence = itertools.count()
        self._wake_in, self._wake_out = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._waiting = False
        self.watch(self._wake_in, select.EPOLLIN, self._drain_wake)

    # Seconds since the machine started, also those in which it was suspended.
    # The monotonic clock leaves these out: a process that slept through the
    # end of a lease, or of a proof, would go on by it for as long as it
    # slept. A statement asks some thirty times, so nothing of ours is called.
    now = staticmethod(partial(time.clock_gettime, time.CLOCK_BOOTTIME))

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call back once after `delay` seconds."""
        when = self.now() + delay
        timer = Timer(reactor=self, when=when, callback=callback)
        entry = (timer.when, next(self._sequence), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def timer_cancelled(self) -> None:
        """Drop cancelled timers from the heap once they are most of it.

        Nearly every timer is a statement's deadline and is cancelled long
        before it is due. Kept until then they were 60 MB for a second's
        2,000 statements with a deadline of a minute.
        """
        self._cancelled += 1
        timers = self._timers
        if self._cancelled > MIN_CANCELLED and (
            self._cancelled > len(timers) // 2
        ):
            self._cancelled = 0
            # In place: the loop may be looking at this very list.
            timers[:] = [item for item in timers if item[2].callback]
            heapq.heapify(timers)

    def listen(
        self,
        address: str,
        on_accept: Callable[[Stream], None],
        *,
        reuse_port: bool = False,
    ) -> Listener:
        """Listen on `"ip:port"`; OSError if the address can't be had.

        With `reuse_port` other processes of the same user may listen there
        too, and the kernel gives each new connection to one of them. The
        socket is then only bound, until `open` is called: a process that is
        not ready would refuse callers whom the others can serve.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, reuse_port)
        sock.setblocking(False)
        try:
            sock.bind(split_address(address))
            listener = Listener(reactor=self, sock=sock, on_accept=on_accept)
            if not reuse_port:
                listener.open()
        except OSError:
            sock.close()
            raise
        return listener

    def connect(
        self,
        address: str,
        timeout: float,
        on_open: Callable[[Stream | None], None],
    ) -> None:
        """Connect within `timeout` seconds; calls back with None if not."""
        _Connecting(
            reactor=self, address=address, timeout=timeout, on_open=on_open
        ).start()

    def watch(
        self, fd: int, mask: int, callback: Callable[[int], None]
    ) -> None:
        """Call back with the epoll mask whenever the descriptor is ready."""
        self._ready[fd] = callback
        self._epoll.register(fd, mask)

    def change(self, fd: int, mask: int) -> None:
        """Change what a watched descriptor waits for."""
        self._epoll.modify(fd, mask)

    def unwatch(self, fd: int) -> None:
        """Forget a descriptor; must come before it is closed."""
        if self._ready.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def resume(self) -> None:
        """End the wait early; the base library calls this on a signal."""
        if self._waiting:
            os.write(self._wake_out, b"\0")

    @handler("generate_events", priority=-9)
    def _generate(self, event: Any) -> None:
        event.stop()
        self._turn(event.time_left)
        root = self.root
        # Going back to the base library after each turn costs the dispatch
        # of an event, which nobody needs while no event has been fired.
        while not len(root) and event.time_left < 0 and root.running:
            self._turn(-1)

    def _turn(self, time_left: float) -> None:
        timeout = self._wait_time(time_left)
        find = self._ready.get
        self._waiting = True
        ready = self._epoll.poll(timeout, MAX_EVENTS)
        self._waiting = False
        for fd, mask in ready:
            callback = find(fd)
            if callback is not None:
                callback(mask)
        if self._timers:
            self._run_due()

    def _wait_time(self, time_left: float) -> float:
        if not self._timers:
            return time_left
        due = max(0.0, self._timers[0][0] - self.now())
        return due if time_left < 0 else min(due, time_left)

    def _run_due(self) -> None:
        now = self.now()
        timers = self._timers
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()

    def _drain_wake(self, mask: int) -> None:
        os.read(self._wake_in, 4096)


class _Connecting:
    """One attempt to connect."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        timeout: float,
        on_open: Callable[[Stream | None], None],
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._timeout = timeout
        self._on_open = on_open
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._timer: Timer | None = None

    def start(self) -> None:
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._timer = self._reactor.call_later(self._timeout, self._failed)
        try:
            code = self._sock.connect_ex(split_address(self._address))
        except (OSError, ValueError):
            code = errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            # The caller gets its answer in a later turn in every case, so
            # that it never has to cope with a call back from within.
            self._timer.cancel()
            self._timer = self._reactor.call_later(0, self._failed)
            return
        self._reactor.watch(
            self._sock.fileno(), select.EPOLLOUT, self._finished
        )

    def _finished(self, mask: int) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code != 0:
            self._failed()
            return
        self._end()
        self._on_open(Stream(reactor=self._reactor, sock=self._sock))

    def _failed(self) -> None:
        self._end()
        self._sock.close()
        self._on_open(None)

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._reactor.unwatch(self._sock.fileno())
