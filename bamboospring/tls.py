"""TLS over the reactor's streams, by the standard library.

`secured` returns something that listens and connects like the reactor but
whose streams are encrypted, so that neither the HTTP nor the peer protocol
knows of TLS. Only TLS 1.3 is spoken: it has no renegotiation, so a write never
has to wait for a read.
"""

from __future__ import annotations

from collections.abc import Callable
import ssl
from typing import cast

from bamboospring.errors import SettingsError
from bamboospring import logs
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import split_address
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer
from bamboospring.settings_base import Tls

__all__ = ["Keys", "secured"]

# The most that one record holds; each read sets aside so much.
READ_SIZE = 16384
# A connection that begins no handshake would hold its memory for ever.
HANDSHAKE_TIMEOUT = 5.0

OnStream = Callable[[Stream | None], None]


class Keys:
    """The keys of one side, read from files and replaceable at any time.

    With `check_name` the other side's certificate must name the IP number
    that we connect to. Between the system's own processes the authority alone
    tells: VMs are replaced daily, and it signs for nobody else.
    """

    def __init__(self, *, tls: Tls, check_name: bool) -> None:
        self._check_name = check_name
        self.server = _server_context(tls)
        self.client = _client_context(tls, check_name)

    def read_again(self, tls: Tls) -> None:
        """Take the keys that are in the files now, for new connections.

        Raise `SettingsError` and change nothing if they cannot be used.
        """
        server = _server_context(tls)
        client = _client_context(tls, self._check_name)
        self.server = server
        self.client = client


def secured(reactor: Reactor, keys: Keys | None) -> Reactor:
    """Return the reactor itself without keys, else one that speaks TLS."""
    if keys is None:
        return reactor
    # It has those of the reactor's methods that servers and clients call.
    return cast(Reactor, _SecuredReactor(reactor=reactor, keys=keys))


class _SecuredReactor:
    """Listens and connects through TLS; time is the reactor's."""

    def __init__(self, *, reactor: Reactor, keys: Keys) -> None:
        self._reactor = reactor
        self._keys = keys
        self.now = reactor.now
        self.call_later = reactor.call_later

    def listen(
        self,
        address: str,
        on_accept: Callable[[Stream], None],
        *,
        reuse_port: bool = False,
    ) -> Listener:
        def opened(stream: Stream | None) -> None:
            if stream is not None:
                on_accept(stream)

        def accepted(stream: Stream) -> None:
            tls = self._keys.server.wrap_bio(
                incoming := ssl.MemoryBIO(),
                outgoing := ssl.MemoryBIO(),
                server_side=True,
            )
            _TlsStream(self._reactor, stream, tls, incoming, outgoing, opened)

        return self._reactor.listen(address, accepted, reuse_port=reuse_port)

    def connect(self, address: str, timeout: float, on_open: OnStream) -> None:
        def connected(stream: Stream | None) -> None:
            if stream is None:
                on_open(None)
                return
            tls = self._keys.client.wrap_bio(
                incoming := ssl.MemoryBIO(),
                outgoing := ssl.MemoryBIO(),
                server_hostname=split_address(address)[0].strip("[]"),
            )
            _TlsStream(self._reactor, stream, tls, incoming, outgoing, on_open)

        self._reactor.connect(address, timeout, connected)


class _TlsStream:
    """A stream that encrypts what it is given; used like `Stream`."""

    __slots__ = (
        "_incoming",
        "_on_open",
        "_outgoing",
        "_stream",
        "_timer",
        "_tls",
        "on_close",
        "on_data",
    )

    def __init__(
        self,
        reactor: Reactor,
        stream: Stream,
        tls: ssl.SSLObject,
        incoming: ssl.MemoryBIO,
        outgoing: ssl.MemoryBIO,
        on_open: OnStream,
    ) -> None:
        self._stream = stream
        self._tls = tls
        self._incoming = incoming
        self._outgoing = outgoing
        self._on_open: OnStream | None = on_open
        self.on_data: Callable[[bytes], None] | None = None
        self.on_close: Callable[[], None] | None = None
        self._timer: Timer | None = reactor.call_later(
            HANDSHAKE_TIMEOUT, stream.abort
        )
        stream.on_data = self._received
        stream.on_close = self._closed
        self._shake_hands()

    @property
    def closed(self) -> bool:
        """Tell whether nothing can be sent any more."""
        return self._stream.closed

    @property
    def closing(self) -> bool:
        """Tell whether it closes once all has been sent."""
        return self._stream.closing

    def send(self, data: bytes) -> None:
        """Encrypt and send; what a closed stream is given is dropped."""
        if data and not self.closed and not self.closing:
            self._tls.write(data)
            self._flush()

    def close(self) -> None:
        """Say that nothing follows, and close once all has been sent."""
        if not self.closed and not self.closing:
            try:
                self._tls.unwrap()
            except ssl.SSLError:
                # The other side's farewell has not come; it need not.
                pass
            self._flush()
        self._stream.close()

    def abort(self) -> None:
        """Close now; queued output is lost."""
        self._stream.abort()

    def pause(self) -> None:
        """Stop reading."""
        self._stream.pause()

    def resume(self) -> None:
        """Read again after `pause`."""
        self._stream.resume()

    def peer_address(self) -> str:
        """Return the other end as `"ip:port"`."""
        return self._stream.peer_address()

    def _received(self, data: bytes) -> None:
        self._incoming.write(data)
        if self._on_open is not None:
            self._shake_hands()
        if self._on_open is None:
            self._read()

    def _shake_hands(self) -> None:
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            self._flush()
            return
        except ssl.SSLError as exc:
            logs.log_event(
                "tls_refused",
                level=logs.Level.WARNING,
                peer=self.peer_address(),
                reason=exc.reason or type(exc).__name__,
            )
            # The alert tells the other side why.
            self._flush()
            self._stream.close()
            return
        self._flush()
        self._opened(self)

    def _read(self) -> None:
        while not self.closed:
            try:
                data = self._tls.read(READ_SIZE)
            except ssl.SSLWantReadError:
                self._flush()
                return
            except ssl.SSLError:
                # Broken records, or the other side's farewell.
                self._stream.close()
                return
            if not data:
                self._stream.close()
                return
            if self.on_data is not None:
                self.on_data(data)

    def _flush(self) -> None:
        if self._outgoing.pending:
            self._stream.send(self._outgoing.read())

    def _opened(self, stream: _TlsStream | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_open, self._on_open = self._on_open, None
        if on_open is not None:
            on_open(cast("Stream | None", stream))

    def _closed(self) -> None:
        # Without a finished handshake nobody knows of this stream yet.
        self._opened(None)
        on_close, self.on_close, self.on_data = self.on_close, None, None
        if on_close is not None:
            on_close()


def _server_context(tls: Tls) -> ssl.SSLContext:
    context = _context(ssl.PROTOCOL_TLS_SERVER, tls)
    # Resumption would keep state for connections that have ended.
    context.num_tickets = 0
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_context(tls: Tls, check_name: bool) -> ssl.SSLContext:
    context = _context(ssl.PROTOCOL_TLS_CLIENT, tls)
    context.check_hostname = check_name
    return context


def _context(protocol: int, tls: Tls) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    path = tls.certificate
    try:
        context.load_cert_chain(tls.certificate, tls.private_key)
        if tls.authority:
            path = tls.authority
            context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(f"cannot be used for TLS: {exc}", name=path) from (
            exc
        )
    return context
