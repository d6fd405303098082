"""Cap'n Proto messages between the system's own processes, over TCP.

One link to each address that is in use, shared by all exchanges with that
peer; answers are matched by correlation id.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import itertools
from pathlib import Path
import struct
from typing import Any

import capnp

from bamboospring.errors import MessageError
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = ["PeerLost", "Peers", "Reply", "new_envelope", "schema"]

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("wire.capnp")))

PROTOCOL = 1
MAX_FRAME = 4 * 1024 * 1024
CONNECT_TIMEOUT = 1.0
# A link can go silent for good while new ones work. With an exchange open and
# nothing heard for this long a heartbeat is sent; with nothing heard for as
# long again the link is dropped and its exchanges are lost at once, instead
# of each waiting for its own deadline.
SILENCE = 0.5
# The side that accepts says hello at once. Until it has, nothing is sent: a
# connection is also accepted by the kernel of a process that is frozen, or by
# a proxy whose other side is dead, and a statement written into it would have
# to be given up as unknown although nobody ever saw it.
HELLO_TIMEOUT = 1.0
LENGTH = struct.Struct("<I")
# Cap'n Proto messages are whole words of so many bytes.
WORD = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """No answer came. `sent` is false if surely nothing was sent."""

    sent: bool


Reply = Callable[[Any], None]
OnMessage = Callable[[Any, Reply], None]
OnAnswer = Callable[[Any], None]


def new_envelope() -> Any:
    """Return a new, empty Envelope to fill in."""
    return schema.Envelope.new_message()


class Peers:
    """Send messages to other VMs and hand theirs to handlers.

    Messages given to a handler or to `on_answer` are readable only until it
    returns. `on_answer` gets a `PeerLost` when no answer came.
    """

    def __init__(self, *, reactor: Reactor, vm: str, listen: str) -> None:
        self.reactor = reactor
        self.vm = vm
        self._handlers: dict[str, OnMessage] = {}
        self._links: dict[str, _Link] = {}
        self._accepted: set[_Link] = set()
        self._ids = itertools.count(1)
        self.listener: Listener = reactor.listen(listen, self._accept)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.add_handler("heartbeat", _answer_heartbeat)

    def add_handler(self, which: str, callback: OnMessage) -> None:
        """Call back with each message of a kind and a way to reply."""
        self._handlers[which] = callback

    def send(self, address: str, message: Any) -> None:
        """Send without waiting for an answer; lost if the peer is away."""
        message.id = 0
        self._link(address).send(message.to_bytes())

    def broadcast(self, message: Any) -> None:
        """Send on each link that stands, whoever opened it."""
        message.id = 0
        data = message.to_bytes()
        for link in [*self._links.values(), *self._accepted]:
            link.send(data)

    def send_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send the same to several; it is encoded once."""
        message.id = 0
        data = message.to_bytes()
        for address in addresses:
            self._link(address).send(data)

    def ask(
        self,
        address: str,
        message: Any,
        timeout: float,
        on_answer: OnAnswer,
    ) -> None:
        """Send and call back with the answer, or PeerLost after `timeout`."""
        message.id = next(self._ids)
        self._link(address).ask(message, timeout, on_answer)

    def unresponsive_for(self, address: str) -> float | None:
        """Return for how many seconds a peer has owed an answer.

        0 if it owes none or has said something since; None if no link stands
        that a question could be sent on. Then one is opened, for later.
        """
        link = self._link(address)
        return link.silence(self.reactor.now()) if link.ready else None

    def close(self) -> None:
        """Stop listening and drop all links."""
        self.listener.close()
        for link in [*self._links.values(), *self._accepted]:
            link.drop()

    def stop_listening(self) -> None:
        """Take no new links; those that stand go on."""
        self.listener.close()

    def dispatch(self, message: Any, reply: Reply) -> None:
        """Hand a message to its handler; unknown kinds are dropped."""
        handler = self._handlers.get(message.which())
        if handler is not None:
            handler(message, reply)

    def forget(self, link: _Link) -> None:
        """Drop a link that has ended from the tables."""
        self._accepted.discard(link)
        if self._links.get(link.address) is link:
            del self._links[link.address]

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link(peers=self, address=address)
            self._links[address] = link
            self.reactor.connect(address, CONNECT_TIMEOUT, link.opened)
        return link

    def _accept(self, stream: Stream) -> None:
        link = _Link(peers=self, address="")
        self._accepted.add(link)
        link.opened(stream)


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """A question whose answer has not come."""

    on_answer: OnAnswer
    timer: Timer
    sent: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Link:
    """One TCP connection with another VM."""

    peers: Peers
    address: str
    stream: Stream | None = None
    waiting: list[tuple[int, bytes]] = field(default_factory=list)
    exchanges: dict[int, _Exchange] = field(default_factory=dict)
    buffer: bytearray = field(default_factory=bytearray)
    heard_at: float = 0.0
    heartbeat_at: float = -1e9
    watch: Timer | None = None
    ready: bool = False
    ended: bool = False

    def send(self, data: bytes) -> None:
        self._write(0, data)

    def ask(self, message: Any, timeout: float, on_answer: OnAnswer) -> None:
        number = message.id
        timer = self.peers.reactor.call_later(
            timeout, lambda: self._give_up(number)
        )
        self.exchanges[number] = _Exchange(on_answer=on_answer, timer=timer)
        self._write(number, message.to_bytes())
        if self.watch is None and self.ready:
            # Silence before the question is nobody's fault.
            self.heard_at = self.peers.reactor.now()
            self._watch_silence()

    def silence(self, now: float) -> float:
        return now - self.heard_at if self.exchanges else 0.0

    def opened(self, stream: Stream | None) -> None:
        if self.ended:
            if stream is not None:
                stream.abort()
            return
        if stream is None:
            self._end()
            return
        self.stream = stream
        stream.on_data = self._data
        stream.on_close = self._end
        if self.address:
            self.peers.reactor.call_later(HELLO_TIMEOUT, self._check_hello)
            return
        self._get_ready()
        message = new_envelope()
        message.init("hello").vm = self.peers.vm
        message.hello.protocol = PROTOCOL
        self.send(message.to_bytes())

    def _check_hello(self) -> None:
        if not self.ready:
            self.drop()

    def _get_ready(self) -> None:
        self.ready = True
        self.heard_at = self.peers.reactor.now()
        waiting, self.waiting = self.waiting, []
        for number, data in waiting:
            # An exchange that was given up meanwhile got the answer "not
            # sent"; sending it now would make that answer a lie.
            if number == 0 or number in self.exchanges:
                self._write(number, data)
        if self.exchanges:
            self._watch_silence()

    def drop(self) -> None:
        if self.stream is not None:
            self.stream.abort()
        else:
            self._end()

    def _write(self, number: int, data: bytes) -> None:
        if self.stream is None or not self.ready:
            self.waiting.append((number, data))
            return
        exchange = self.exchanges.get(number)
        if exchange is not None:
            exchange.sent = True
        self.peers.sent_bytes += len(data) + LENGTH.size
        self.stream.send(LENGTH.pack(len(data)) + data)

    def _data(self, data: bytes) -> None:
        self.heard_at = self.peers.reactor.now()
        self.peers.received_bytes += len(data)
        # Most often whole frames come in one piece: then nothing is copied
        # to the buffer.
        rest = self.buffer
        if rest:
            rest += data
        source = rest or data
        start, length = 0, len(source)
        while length - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(source, start)
            if size > MAX_FRAME:
                self.drop()
                return
            end = start + LENGTH.size + size
            if length < end:
                break
            self._frame(bytes(source[start + LENGTH.size : end]))
            start = end
            if self.ended:
                return
        if source is rest:
            del rest[:start]
        elif start < length:
            rest += source[start:]

    def _frame(self, frame: bytes) -> None:
        if len(frame) % WORD:
            # pycapnp raises ValueError for these. Uncaught, it leaves the
            # link open and out of step, and whoever waits on it waits for
            # its deadline.
            self.drop()
            return
        try:
            with schema.Envelope.from_bytes(frame) as message:
                self._message(message)
        except (capnp.KjException, MessageError):
            # The stream can't be trusted to be in step any more.
            self.drop()

    def _message(self, message: Any) -> None:
        if not self.ready:
            self._get_ready()
        number = message.id
        exchange = self.exchanges.pop(number, None)
        if exchange is not None:
            exchange.timer.cancel()
            exchange.on_answer(message)
            return

        def reply(answer: Any) -> None:
            answer.id = number
            if not self.ended:
                self._write(0, answer.to_bytes())

        self.peers.dispatch(message, reply)

    def _watch_silence(self) -> None:
        self.watch = self.peers.reactor.call_later(
            SILENCE, self._check_silence
        )

    def _check_silence(self) -> None:
        self.watch = None
        if self.ended or not self.exchanges:
            return
        now = self.peers.reactor.now()
        unanswered = self.heartbeat_at > self.heard_at
        if unanswered and now - self.heartbeat_at >= SILENCE:
            self.drop()
            return
        if not unanswered and now - self.heard_at >= SILENCE / 2:
            # Only a question that stays open tells silence from a peer that
            # has nothing to say yet.
            message = new_envelope()
            message.init("heartbeat").vm = self.peers.vm
            message.id = next(self.peers._ids)
            self.heartbeat_at = now
            self.send(message.to_bytes())
        self._watch_silence()

    def _give_up(self, number: int) -> None:
        exchange = self.exchanges.pop(number, None)
        if exchange is not None:
            exchange.on_answer(PeerLost(sent=exchange.sent))

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.peers.forget(self)
        if self.watch is not None:
            self.watch.cancel()
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            exchange.timer.cancel()
            exchange.on_answer(PeerLost(sent=exchange.sent))


def _answer_heartbeat(message: Any, reply: Reply) -> None:
    if message.id == 0:
        return
    answer = new_envelope()
    answer.init("heartbeatAck").vm = message.heartbeat.vm
    reply(answer)
