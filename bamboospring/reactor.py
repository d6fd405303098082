"""The circuits component that polls sockets and runs timers.

It replaces the poller of the circuits library. That poller scans a list of
all its readers at each change, which is too slow with thousands of
connections, and fires one event (about 11 us) for each readable socket. The
reactor calls the handler of a ready socket directly.
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
# The send buffer of a peer that does not read would grow without bound. At
# this size the peer has stopped reading long before, and the stream is closed.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Seconds. If the process has no free file descriptors, accept() fails at once
# and the listening socket stays readable, so the loop would spin at full CPU.
ACCEPT_RETRY_DELAY = 0.1
MIN_CANCELLED_TIMERS = 1000


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `"ip:port"`; raise ValueError if invalid."""
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"not an ip:port address: {address!r}")
    return host, int(port)


class Timer:
    """A callback that runs once at a set time unless it is cancelled."""

    __slots__ = ("_reactor", "callback", "when")

    def __init__(
        self, *, reactor: Reactor, when: float, callback: Callable[[], None]
    ) -> None:
        self._reactor = reactor
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Discard the callback; has no effect once it has run."""
        if self.callback is not None:
            self.callback = None
            self._reactor.record_cancelled_timer()


class Stream:
    """A connected TCP socket with buffered, non-blocking output.

    Set `on_data` and `on_close` before the next iteration of the event loop.
    `on_close` is called once, whichever side closes the connection.
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
        reactor.watch(self._fd, self._mask, self._handle_events)

    def send(self, data: bytes) -> None:
        """Send or buffer the data; discard it if the stream is closed."""
        if self.closed or self.closing:
            return
        if self._out is None:
            data = self._send_now(data)
            if not data or self.closed:
                return
            self._out = bytearray()
            self._set_mask(self._mask | select.EPOLLOUT)
        self._out += data
        if len(self._out) > MAX_UNSENT_BYTES:
            self.abort()

    def close(self) -> None:
        """Close the stream once all buffered output has been sent."""
        if self._out is None:
            self.abort()
        else:
            self.closing = True

    def abort(self) -> None:
        """Close the stream at once and discard buffered output."""
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
        """Stop reading, so that TCP flow control slows down the peer."""
        self._set_mask(self._mask & ~select.EPOLLIN)

    def resume(self) -> None:
        """Resume reading after `pause`."""
        self._set_mask(self._mask | select.EPOLLIN)

    def peer_address(self) -> str:
        """Return the peer's `"ip:port"`, or "" if it is disconnected."""
        try:
            host, port = self._sock.getpeername()[:2]
        except OSError:
            return ""
        return f"{host}:{port}"

    def _set_mask(self, mask: int) -> None:
        if mask != self._mask and not self.closed:
            self._mask = mask
            self._reactor.modify(self._fd, mask)

    def _send_now(self, data: bytes) -> bytes:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return data
        except OSError:
            self.abort()
            return b""
        return data[sent:]

    def _handle_events(self, mask: int) -> None:
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
    """A bound socket that accepts connections from `open` until `close`."""

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
        self._is_open = False

    def open(self) -> None:
        """Start accepting connections."""
        if self._is_open or self._fd < 0:
            return
        self._is_open = True
        self._sock.listen(BACKLOG)
        self._reactor.watch(self._fd, select.EPOLLIN, self._handle_events)

    def close(self) -> None:
        """Stop listening; accepted streams stay open."""
        if self._fd < 0:
            return
        if self._is_open:
            self._reactor.unwatch(self._fd)
        self._sock.close()
        self._fd = -1

    def drain(self) -> None:
        """Accept the connections in the listen queue, then close.

        When a listening socket is closed, the kernel resets the connections
        in its queue. To the callers these connections are open, and a request
        already sent on one would be lost. A connection that arrives between
        the last accept() and close() is still reset, unless the kernel passes
        it to another process that listens on the address
        (net.ipv4.tcp_migrate_req).
        """
        while self._is_open and self._accept_one():
            pass
        self.close()

    def _handle_events(self, mask: int) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; return whether more may be queued."""
        if self._fd < 0:
            return False
        try:
            sock, _address = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as exc:
            self._handle_accept_error(exc)
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accept(Stream(reactor=self._reactor, sock=sock))
        return True

    def _handle_accept_error(self, exc: OSError) -> None:
        if exc.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
            return
        self._reactor.modify(self._fd, 0)
        self._reactor.call_later(ACCEPT_RETRY_DELAY, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._fd >= 0:
            self._reactor.modify(self._fd, select.EPOLLIN)


class Reactor(BaseComponent):
    """Poll sockets and run timers for all other components.

    Times are in seconds of `CLOCK_BOOTTIME`. Register the reactor on the
    manager before any other component; otherwise circuits starts its own
    poller.
    """

    channel = "reactor"

    def __init__(self) -> None:
        super().__init__(channel=self.channel)
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._cancelled_count = 0
        self._sequence = itertools.count()
        self._wake_read_fd, self._wake_write_fd = os.pipe2(
            os.O_NONBLOCK | os.O_CLOEXEC
        )
        self._polling = False
        self.watch(self._wake_read_fd, select.EPOLLIN, self._drain_wake)

    # Seconds since boot, including the time when the machine was suspended.
    # CLOCK_MONOTONIC excludes that time: a process suspended past the end of a
    # lease or a proof would go on using it for the length of the suspension.
    # Each statement reads the clock about thirty times, so the clock is a
    # partial, which avoids the call of a Python function.
    now = staticmethod(partial(time.clock_gettime, time.CLOCK_BOOTTIME))

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once after `delay` seconds."""
        when = self.now() + delay
        timer = Timer(reactor=self, when=when, callback=callback)
        entry = (timer.when, next(self._sequence), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def record_cancelled_timer(self) -> None:
        """Remove cancelled timers from the heap once they are the majority.

        Almost every timer is the deadline of a statement and is cancelled
        long before it is due. Kept until then, at 2,000 statements a second
        with a deadline of one minute, they took 60 MB.
        """
        self._cancelled_count += 1
        timers = self._timers
        if self._cancelled_count > MIN_CANCELLED_TIMERS and (
            self._cancelled_count > len(timers) // 2
        ):
            self._cancelled_count = 0
            # Modify in place: `_run_due_timers` may hold this list.
            timers[:] = [item for item in timers if item[2].callback]
            heapq.heapify(timers)

    def listen(
        self,
        address: str,
        on_accept: Callable[[Stream], None],
        *,
        reuse_port: bool = False,
    ) -> Listener:
        """Listen on `"ip:port"`; raise OSError if it cannot be bound.

        With `reuse_port`, other processes of the same user can listen on the
        same address, and the kernel assigns each new connection to one of
        them. The socket is then only bound, and accepts connections after
        `open` is called: a process that is not ready would otherwise refuse
        callers that the other processes can serve.
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
        """Connect and call `on_open` with the stream, or with None on failure.

        The attempt fails after `timeout` seconds.
        """
        _ConnectAttempt(
            reactor=self, address=address, timeout=timeout, on_open=on_open
        ).start()

    def watch(
        self, fd: int, mask: int, callback: Callable[[int], None]
    ) -> None:
        """Call `callback` with the epoll mask when the descriptor is ready."""
        self._callbacks[fd] = callback
        self._epoll.register(fd, mask)

    def modify(self, fd: int, mask: int) -> None:
        """Change the epoll mask of a watched descriptor."""
        self._epoll.modify(fd, mask)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; call this before closing it."""
        if self._callbacks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def resume(self) -> None:
        """Interrupt the poll; circuits calls this on a signal."""
        if self._polling:
            os.write(self._wake_write_fd, b"\0")

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event: Any) -> None:
        event.stop()
        self._poll_once(event.time_left)
        root = self.root
        # Returning to circuits after each poll costs the dispatch of an event.
        # Poll again directly as long as no event is queued.
        while not len(root) and event.time_left < 0 and root.running:
            self._poll_once(-1)

    def _poll_once(self, time_left: float) -> None:
        timeout = self._poll_timeout(time_left)
        get_callback = self._callbacks.get
        self._polling = True
        ready = self._epoll.poll(timeout, MAX_EVENTS)
        self._polling = False
        for fd, mask in ready:
            callback = get_callback(fd)
            if callback is not None:
                callback(mask)
        if self._timers:
            self._run_due_timers()

    def _poll_timeout(self, time_left: float) -> float:
        if not self._timers:
            return time_left
        due = max(0.0, self._timers[0][0] - self.now())
        return due if time_left < 0 else min(due, time_left)

    def _run_due_timers(self) -> None:
        now = self.now()
        timers = self._timers
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()

    def _drain_wake(self, mask: int) -> None:
        os.read(self._wake_read_fd, 4096)


class _ConnectAttempt:
    """A pending outgoing connection."""

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
        self._timer = self._reactor.call_later(self._timeout, self._fail)
        try:
            code = self._sock.connect_ex(split_address(self._address))
        except (OSError, ValueError):
            code = errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            # Report the failure in a later iteration, so that `on_open` is
            # never called from within `connect`.
            self._timer.cancel()
            self._timer = self._reactor.call_later(0, self._fail)
            return
        self._reactor.watch(
            self._sock.fileno(), select.EPOLLOUT, self._on_writable
        )

    def _on_writable(self, mask: int) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code != 0:
            self._fail()
            return
        self._release()
        self._on_open(Stream(reactor=self._reactor, sock=self._sock))

    def _fail(self) -> None:
        self._release()
        self._sock.close()
        self._on_open(None)

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._reactor.unwatch(self._sock.fileno())
