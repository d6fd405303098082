"""Cap'n Proto messages between the system's processes, over TCP.

There is one link per address, shared by all exchanges with that peer; answers
are matched by correlation id.
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
from bamboospring import logs
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = [
    "CATALOG_PARTS_PROTOCOL",
    "HELD_TRANSACTIONS_PROTOCOL",
    "PeerLost",
    "Peers",
    "Reply",
    "new_envelope",
    "schema",
]

capnp.remove_import_hook()
schema = capnp.load(str(Path(__file__).with_name("wire.capnp")))

# The accepting side names its protocol in its hello. A VM that does not know a
# kind of message drops the link, and with it all other exchanges on it, so
# messages of a newer protocol are sent only where it is spoken.
# Both kinds of messages were introduced in the same release.
HELD_TRANSACTIONS_PROTOCOL = 2
CATALOG_PARTS_PROTOCOL = 2
PROTOCOL = HELD_TRANSACTIONS_PROTOCOL
MAX_FRAME_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT = 1.0
# A link can stop working permanently while new ones work. If an exchange is
# open and nothing was received for this long, a heartbeat is sent; if nothing
# is received for as long again, the link is dropped and its exchanges fail at
# once, instead of each waiting for its own deadline.
HEARTBEAT_TIMEOUT = 0.5
# Exchanges that end before a heartbeat is sent would leave a silent link in
# use. The link is dropped when an exchange ends without an answer and nothing
# was received for this long, counted from the first unanswered one.
SILENCE_TIMEOUT = 1.5
# The accepting side sends a hello at once, and nothing is sent to it before.
# The kernel of a frozen process, or a proxy whose upstream is dead, also
# accepts connections; the outcome of a statement sent over one would be
# unknown although no process received it.
HELLO_TIMEOUT = 1.0
LENGTH_PREFIX = struct.Struct("<I")
# Cap'n Proto messages consist of whole words of this many bytes.
WORD_BYTES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """No answer arrived. `sent` is false if certainly nothing was sent."""

    sent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Sends the answer to one message; `sender` is the link it came over."""

    sender: _Link
    number: int

    def __call__(self, answer: Any) -> None:
        """Send the answer unless the link has closed."""
        answer.id = self.number
        if not self.sender.is_closed:
            self.sender.write(0, answer.to_bytes())


OnMessage = Callable[[Any, Reply], None]
OnAnswer = Callable[[Any], None]


def new_envelope() -> Any:
    """Return a new, empty Envelope message."""
    return schema.Envelope.new_message()


class Peers:
    """Send messages to peers and dispatch received ones to handlers.

    A message passed to a handler or to `on_answer` is readable only until it
    returns. `on_answer` receives a `PeerLost` if no answer arrives.
    """

    def __init__(self, *, reactor: Reactor, vm: str, listen: str) -> None:
        self.reactor = reactor
        self.vm = vm
        self._handlers: dict[str, OnMessage] = {}
        self._links: dict[str, _Link] = {}
        self._accepted: set[_Link] = set()
        self._ids = itertools.count(1)
        self._close_listeners: list[Callable[[object], None]] = []
        self.listener: Listener = reactor.listen(listen, self._accept)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.add_handler("heartbeat", _answer_heartbeat)

    def add_handler(self, kind: str, callback: OnMessage) -> None:
        """Register the handler of a kind of message.

        It is called with each message and a function that replies.
        """
        self._handlers[kind] = callback

    def add_close_listener(self, listener: Callable[[object], None]) -> None:
        """Call back with each link that has closed, see `Reply.sender`."""
        self._close_listeners.append(listener)

    def protocol_of(self, address: str) -> int:
        """Return the protocol of a peer, 0 if no link to it is ready."""
        link = self._links.get(address)
        return link.protocol if link is not None else 0

    def send(self, address: str, message: Any) -> None:
        """Send without an answer; the message is lost if the peer is away."""
        message.id = 0
        self._link(address).send(message.to_bytes())

    def broadcast(self, message: Any) -> None:
        """Send on every open link, whichever side opened it."""
        message.id = 0
        data = message.to_bytes()
        for link in [*self._links.values(), *self._accepted]:
            link.send(data)

    def send_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send the same message to several addresses, encoded once."""
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
        *,
        min_protocol: int = 0,
    ) -> None:
        """Send and call back with the answer, or PeerLost after `timeout`.

        Nothing is sent to a peer of an earlier protocol than `min_protocol`;
        it counts as lost as soon as its protocol is known.
        """
        message.id = next(self._ids)
        self._link(address).ask(message, timeout, on_answer, min_protocol)

    def ask_anew(
        self,
        address: str,
        message: Any,
        timeout: float,
        on_answer: OnAnswer,
    ) -> None:
        """Ask on a new link, which is closed afterwards.

        For a question without an answer: its link may be silent, but has to
        stay for its other exchanges until that is certain.
        """
        message.id = next(self._ids)
        link = _Link(peers=self, address=address)

        def finish(answer: Any) -> None:
            on_answer(answer)
            link.drop()

        link.ask(message, timeout, finish, 0)
        self.reactor.connect(address, CONNECT_TIMEOUT, link.on_open)

    def unresponsive_for(self, address: str) -> float | None:
        """Return for how many seconds an awaited answer has not arrived.

        0 if no answer is awaited. The time starts again whenever anything is
        received. None if no link is ready; one is then opened for later use.
        """
        link = self._link(address)
        return (
            link.unresponsive_for(self.reactor.now())
            if link.is_ready
            else None
        )

    def close(self) -> None:
        """Stop listening and drop all links."""
        self.listener.close()
        for link in [*self._links.values(), *self._accepted]:
            link.drop()

    def stop_listening(self) -> None:
        """Accept no new links; open ones continue."""
        self.listener.close()

    def dispatch(self, message: Any, reply: Reply) -> None:
        """Pass a message to its handler; unknown kinds are dropped."""
        handler = self._handlers.get(message.which())
        if handler is not None:
            handler(message, reply)

    def forget(self, link: _Link) -> None:
        """Remove a closed link from the tables."""
        self._accepted.discard(link)
        if self._links.get(link.address) is link:
            del self._links[link.address]
        for listener in self._close_listeners:
            listener(link)

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = _Link(peers=self, address=address)
            self._links[address] = link
            self.reactor.connect(address, CONNECT_TIMEOUT, link.on_open)
        return link

    def _accept(self, stream: Stream) -> None:
        link = _Link(peers=self, address="")
        self._accepted.add(link)
        link.on_open(stream)


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """A request whose answer has not arrived."""

    on_answer: OnAnswer
    timer: Timer
    asked_at: float
    min_protocol: int = 0
    sent: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Link:
    """One TCP connection with another VM."""

    peers: Peers
    address: str
    stream: Stream | None = None
    unsent: list[tuple[int, bytes]] = field(default_factory=list)
    exchanges: dict[int, _Exchange] = field(default_factory=dict)
    buffer: bytearray = field(default_factory=bytearray)
    last_received_at: float = 0.0
    heartbeat_at: float = -1e9
    heartbeat_timer: Timer | None = None
    # When the first question was asked of those that were not answered since
    # anything was received.
    silent_since: float | None = None
    protocol: int = 0
    is_ready: bool = False
    is_closed: bool = False

    def send(self, data: bytes) -> None:
        self.write(0, data)

    def ask(
        self,
        message: Any,
        timeout: float,
        on_answer: OnAnswer,
        min_protocol: int,
    ) -> None:
        number = message.id
        timer = self.peers.reactor.call_later(
            timeout, lambda: self._expire_exchange(number)
        )
        self.exchanges[number] = _Exchange(
            on_answer=on_answer,
            timer=timer,
            asked_at=self.peers.reactor.now(),
            min_protocol=min_protocol,
        )
        self.write(number, message.to_bytes())
        if self.heartbeat_timer is None and self.is_ready:
            # Only time after the request counts as unresponsive.
            self.last_received_at = self.peers.reactor.now()
            self._start_heartbeat_timer()

    def unresponsive_for(self, now: float) -> float:
        return now - self.last_received_at if self.exchanges else 0.0

    def on_open(self, stream: Stream | None) -> None:
        if self.is_closed:
            if stream is not None:
                stream.abort()
            return
        if stream is None:
            self._on_close()
            return
        self.stream = stream
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        if self.address:
            self.peers.reactor.call_later(HELLO_TIMEOUT, self._check_hello)
            return
        self._mark_ready()
        message = new_envelope()
        message.init("hello").vm = self.peers.vm
        message.hello.protocol = PROTOCOL
        self.send(message.to_bytes())

    def _check_hello(self) -> None:
        if not self.is_ready:
            self.drop()

    def _mark_ready(self) -> None:
        self.is_ready = True
        self.last_received_at = self.peers.reactor.now()
        unsent, self.unsent = self.unsent, []
        for number, data in unsent:
            # An exchange that timed out meanwhile was reported as not sent, so
            # its message must not be sent any more.
            if number == 0 or number in self.exchanges:
                self.write(number, data)
        if self.exchanges:
            self._start_heartbeat_timer()

    def drop(self) -> None:
        if self.stream is not None:
            self.stream.abort()
        else:
            self._on_close()

    def write(self, number: int, data: bytes) -> None:
        if self.stream is None or not self.is_ready:
            self.unsent.append((number, data))
            return
        exchange = self.exchanges.get(number)
        if exchange is not None:
            if self.protocol < exchange.min_protocol:
                self.peers.reactor.call_later(
                    0, lambda: self._expire_exchange(number)
                )
                return
            exchange.sent = True
        self.peers.sent_bytes += len(data) + LENGTH_PREFIX.size
        self.stream.send(LENGTH_PREFIX.pack(len(data)) + data)

    def _on_data(self, data: bytes) -> None:
        self.last_received_at = self.peers.reactor.now()
        self.silent_since = None
        self.peers.received_bytes += len(data)
        # Whole frames usually arrive in one piece; then nothing is copied to
        # the buffer.
        buffer = self.buffer
        if buffer:
            buffer += data
        source = buffer or data
        start, length = 0, len(source)
        while length - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(source, start)
            if size > MAX_FRAME_BYTES:
                self.drop()
                return
            end = start + LENGTH_PREFIX.size + size
            if length < end:
                break
            self._on_frame(bytes(source[start + LENGTH_PREFIX.size : end]))
            start = end
            if self.is_closed:
                return
        if source is buffer:
            del buffer[:start]
        elif start < length:
            buffer += source[start:]

    def _on_frame(self, frame: bytes) -> None:
        if len(frame) % WORD_BYTES:
            # pycapnp raises ValueError for such frames. Uncaught, it would
            # leave the link open and out of sync, and each exchange on it
            # would wait for its deadline.
            self.drop()
            return
        try:
            with schema.Envelope.from_bytes(frame) as message:
                self._on_message(message)
        except (capnp.KjException, MessageError):
            # The stream may be out of sync.
            self.drop()

    def _on_message(self, message: Any) -> None:
        if not self.is_ready:
            # The hello comes first, and messages that wait for it depend on
            # the protocol.
            if message.which() == "hello":
                self.protocol = message.hello.protocol
            self._mark_ready()
        number = message.id
        exchange = self.exchanges.pop(number, None)
        if exchange is not None:
            exchange.timer.cancel()
            exchange.on_answer(message)
            return

        self.peers.dispatch(message, Reply(sender=self, number=number))

    def _start_heartbeat_timer(self) -> None:
        self.heartbeat_timer = self.peers.reactor.call_later(
            HEARTBEAT_TIMEOUT, self._check_heartbeat
        )

    def _check_heartbeat(self) -> None:
        self.heartbeat_timer = None
        if self.is_closed or not self.exchanges:
            return
        now = self.peers.reactor.now()
        unanswered = self.heartbeat_at > self.last_received_at
        if unanswered and now - self.heartbeat_at >= HEARTBEAT_TIMEOUT:
            self.drop()
            return
        if (
            not unanswered
            and now - self.last_received_at >= HEARTBEAT_TIMEOUT / 2
        ):
            # Only an unanswered request distinguishes an unresponsive peer
            # from one that has nothing to send yet.
            message = new_envelope()
            message.init("heartbeat").vm = self.peers.vm
            message.id = next(self.peers._ids)
            self.heartbeat_at = now
            self.send(message.to_bytes())
        self._start_heartbeat_timer()

    def _expire_exchange(self, number: int) -> None:
        exchange = self.exchanges.pop(number, None)
        if exchange is None:
            return
        if exchange.sent:
            self._check_silence(exchange.asked_at)
        exchange.on_answer(PeerLost(sent=exchange.sent))

    def _check_silence(self, asked_at: float) -> None:
        """Drop the link if it has been silent for long, after a timeout."""
        if self.silent_since is None:
            # Whatever was received meanwhile shows that the link works.
            if self.last_received_at <= asked_at:
                self.silent_since = asked_at
            return
        silence = self.peers.reactor.now() - self.silent_since
        if silence >= SILENCE_TIMEOUT:
            logs.log_event(
                "peer_link_silent",
                level=logs.Level.WARNING,
                address=self.address,
                silent_ms=round(silence * 1000),
            )
            self.drop()

    def _on_close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.peers.forget(self)
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
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
