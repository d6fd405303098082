"""TLS over the reactor's streams, with the standard library's `ssl`.

`with_tls` returns an object with the interface of the reactor whose streams
are encrypted, so that the HTTP and peer protocols need no code for TLS. Only
TLS 1.3 is supported: it has no renegotiation, so a write never has to wait
for a read.
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

__all__ = ["TlsCredentials", "with_tls"]

# The maximum plaintext size of a TLS record; each read allocates as much.
MAX_RECORD_BYTES = 16384
# Seconds. A connection that never starts a handshake would otherwise keep its
# memory forever.
HANDSHAKE_TIMEOUT = 5.0

OnStream = Callable[[Stream | None], None]


class TlsCredentials:
    """The TLS keys and certificates of one side; they can be reloaded.

    With `verify_address`, the server's certificate must contain the IP address
    that the client connects to. Connections between VMs of the system only
    check the certificate authority: VMs are replaced daily, and the authority
    signs only certificates of the system.
    """

    def __init__(self, *, tls: Tls, verify_address: bool) -> None:
        self._check_name = verify_address
        self.server = _make_server_context(tls)
        self.client = _make_client_context(tls, verify_address)

    def reload(self, tls: Tls) -> None:
        """Reload the key files for new connections.

        Raise `SettingsError` and change nothing if the files are invalid.
        """
        server = _make_server_context(tls)
        client = _make_client_context(tls, self._check_name)
        self.server = server
        self.client = client


def with_tls(reactor: Reactor, keys: TlsCredentials | None) -> Reactor:
    """Return a reactor that uses TLS, or `reactor` itself without keys."""
    if keys is None:
        return reactor
    # _TlsReactor implements the methods that servers and clients call.
    return cast(Reactor, _TlsReactor(reactor=reactor, credentials=keys))


class _TlsReactor:
    """Listen and connect with TLS; timers are those of the reactor."""

    def __init__(
        self, *, reactor: Reactor, credentials: TlsCredentials
    ) -> None:
        self._reactor = reactor
        self._credentials = credentials
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
            tls = self._credentials.server.wrap_bio(
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
            tls = self._credentials.client.wrap_bio(
                incoming := ssl.MemoryBIO(),
                outgoing := ssl.MemoryBIO(),
                server_hostname=split_address(address)[0].strip("[]"),
            )
            _TlsStream(self._reactor, stream, tls, incoming, outgoing, on_open)

        self._reactor.connect(address, timeout, connected)


class _TlsStream:
    """An encrypted stream with the interface of `Stream`."""

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
        stream.on_data = self._on_encrypted_data
        stream.on_close = self._on_stream_closed
        self._do_handshake()

    @property
    def closed(self) -> bool:
        """Return whether the stream is closed."""
        return self._stream.closed

    @property
    def closing(self) -> bool:
        """Return whether the stream closes once all output has been sent."""
        return self._stream.closing

    def send(self, data: bytes) -> None:
        """Encrypt and send the data; discard it if the stream is closed."""
        if data and not self.closed and not self.closing:
            self._tls.write(data)
            self._flush()

    def close(self) -> None:
        """Send a TLS close_notify, and close once all output has been sent."""
        if not self.closed and not self.closing:
            try:
                self._tls.unwrap()
            except ssl.SSLError:
                # The peer's close_notify has not arrived; it is not required.
                pass
            self._flush()
        self._stream.close()

    def abort(self) -> None:
        """Close the stream at once and discard buffered output."""
        self._stream.abort()

    def pause(self) -> None:
        """Stop reading."""
        self._stream.pause()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        self._stream.resume()

    def peer_address(self) -> str:
        """Return the peer's `"ip:port"`, or "" if it is disconnected."""
        return self._stream.peer_address()

    def _on_encrypted_data(self, data: bytes) -> None:
        self._incoming.write(data)
        if self._on_open is not None:
            self._do_handshake()
        if self._on_open is None:
            self._read_decrypted()

    def _do_handshake(self) -> None:
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
            # Send the TLS alert, which tells the peer the reason.
            self._flush()
            self._stream.close()
            return
        self._flush()
        self._finish_opening(self)

    def _read_decrypted(self) -> None:
        while not self.closed:
            try:
                data = self._tls.read(MAX_RECORD_BYTES)
            except ssl.SSLWantReadError:
                self._flush()
                return
            except ssl.SSLError:
                # Invalid records, or the peer's close_notify.
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

    def _finish_opening(self, stream: _TlsStream | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_open, self._on_open = self._on_open, None
        if on_open is not None:
            on_open(cast("Stream | None", stream))

    def _on_stream_closed(self) -> None:
        # If the handshake did not finish, `on_open` has not been called yet.
        self._finish_opening(None)
        on_close, self.on_close, self.on_data = self.on_close, None, None
        if on_close is not None:
            on_close()


def _make_server_context(tls: Tls) -> ssl.SSLContext:
    context = _make_context(ssl.PROTOCOL_TLS_SERVER, tls)
    # Session resumption would keep state of closed connections.
    context.num_tickets = 0
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _make_client_context(tls: Tls, check_name: bool) -> ssl.SSLContext:
    context = _make_context(ssl.PROTOCOL_TLS_CLIENT, tls)
    context.check_hostname = check_name
    return context


def _make_context(protocol: int, tls: Tls) -> ssl.SSLContext:
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
