"""The server side of the line protocol: parses requests, sends answers."""

from __future__ import annotations

import itertools

from bamboospring import logs
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.platform.line_protocol import format_position
from bamboospring.platform.line_protocol import key_digest
from bamboospring.platform.line_protocol import LineDecoder
from bamboospring.platform.line_protocol import LineTooLong
from bamboospring.platform.line_protocol import payload_size
from bamboospring.platform.line_protocol import replace_line_breaks
from bamboospring.platform.line_protocol import truncate_text
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.sessions.platform_adapters import SessionFactory
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Begin
from bamboospring.sessions.ports import Commit
from bamboospring.sessions.ports import Deallocate
from bamboospring.sessions.ports import Execute
from bamboospring.sessions.ports import MalformedStatement
from bamboospring.sessions.ports import Prepare
from bamboospring.sessions.ports import Rollback
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionAnswer
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import SessionStatement
from bamboospring.sessions.ports import SetValue
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TextStatement
from bamboospring.sessions.session import Session
from bamboospring.sessions.session_opening import OpeningCheck
from bamboospring.sessions.session_opening import OpeningPending

__all__ = ["CallerServer", "parse_statement"]

# Seconds within which a new connection must have opened a session.
OPEN_TIMEOUT = 10.0

# The part of an error's message that callers are sent, in bytes.
MAX_MESSAGE_BYTES = 200

STATE_CODES = {
    SessionState.IDLE: "I",
    SessionState.OPEN: "T",
    SessionState.FAILED: "E",
}

# The error code for each reason. The codes of `NotRun` and `Overloaded`
# guarantee that no effect of the attempt is kept; those of `Unknown`
# guarantee nothing.
NOT_RUN_CODES = {
    Reason.UNKNOWN_GROUP: "NODATABASE",
    Reason.UNKNOWN_KEY: "AUTHFAIL",
    Reason.STALE: "LAGGING",
    Reason.NO_PRIMARY: "READONLY",
    Reason.PRIMARY_CHANGED: "READONLY",
    Reason.DRAINING: "BUSY",
    Reason.DEADLINE: "BUSY",
    Reason.QUEUE_FULL: "BUSY",
}
FAILED_CODES = {
    Reason.BAD_REQUEST: "MALFORMED",
    Reason.NO_STATEMENT: "NOSUCHSTMT",
}
UNKNOWN_CODES = {Reason.DEADLINE: "TIMEOUT"}


def parse_statement(text: str) -> SessionStatement:
    """Parse the text of a query."""
    keyword, _, rest = text.partition(" ")
    match keyword:
        case "READ" if rest:
            return TextStatement(writes=False, text=text)
        case "WRITE" if rest:
            return TextStatement(writes=True, text=text)
        case "EXECUTE":
            return _parse_execute(rest)
        case "BEGIN" if rest in ("", "READ"):
            return Begin(read_only=rest == "READ")
        case "COMMIT" if not rest:
            return Commit()
        case "ROLLBACK" if not rest:
            return Rollback()
        case "SET" if rest:
            name, _, value = rest.partition(" ")
            return SetValue(name=name, value=value)
        case "PREPARE":
            return _parse_prepare(rest)
        case "RELEASE" if rest:
            return Deallocate(name=rest)
        case _:
            return MalformedStatement(
                message=f"unknown statement {keyword[:32]!r}"
            )


def _parse_prepare(rest: str) -> SessionStatement:
    name, _, shape = rest.partition(" ")
    mode, _, text = shape.partition(" ")
    if not name or not text or mode not in ("READ", "WRITE"):
        return MalformedStatement(
            message="PREPARE requires a name, READ|WRITE, a shape"
        )
    return Prepare(name=name, shape=Shape(writes=mode == "WRITE", text=text))


def _parse_execute(rest: str) -> SessionStatement:
    name, _, arguments = rest.partition(" ")
    if not name or not arguments:
        return MalformedStatement(message="EXECUTE requires a name, an item")
    return Execute(name=name, arguments=arguments)


def encode_answer(answer: SessionAnswer) -> bytes:
    """Return an answer in the wire format."""
    lines = _outcome_lines(answer.outcome)
    state = STATE_CODES[answer.state]
    lines.append(f"READY {state} {format_position(answer.position)}\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def _outcome_lines(outcome: SessionOutcome) -> list[str]:
    match outcome:
        case Served(rows=rows, signature=signature):
            lines = [f"ROW {row}" for row in rows]
            lines.append(f"COMPLETE {signature}")
            return lines
        case AcknowledgedLocally():
            return ["COMPLETE -"]
        case NotRun(reason=reason):
            code = NOT_RUN_CODES.get(reason, "ABORTED")
        case Overloaded(reason=reason):
            code = "BUSY"
        case Failed(reason=reason):
            code = FAILED_CODES.get(reason, "FAILED")
        case Unknown(reason=reason):
            code = UNKNOWN_CODES.get(reason, "INDOUBT")
    return [f"ERROR {code} {_error_text(outcome, reason)}"]


def _error_text(outcome: SessionOutcome, reason: Reason) -> str:
    """Return the reason, the delay before a retry, and the message."""
    parts = [reason.value]
    retry_after_ms = getattr(outcome, "retry_after_ms", 0)
    if retry_after_ms:
        parts.append(f"retry_after_ms={retry_after_ms}")
    message = getattr(outcome, "message", "")
    if message:
        message = replace_line_breaks(message)
        parts.append(truncate_text(message, MAX_MESSAGE_BYTES))
    return " ".join(parts)


class CallerServer:
    """Accepts callers and keeps a session for each connection.

    `admit` decides whether a session on a database may be opened, and
    `make_session` creates it.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        admit: OpeningCheck,
        make_session: SessionFactory,
    ) -> None:
        self.reactor = reactor
        self.admit = admit
        self.make_session = make_session
        self.connections: set[_CallerConnection] = set()
        self.session_numbers = itertools.count(1)
        self.listener: Listener = reactor.listen(address, self._handle_accept)

    def sessions(self) -> list[Session]:
        """Return the sessions of all connections, in no particular order."""
        return [c.session for c in self.connections if c.session is not None]

    def _handle_accept(self, stream: Stream) -> None:
        self.connections.add(_CallerConnection(server=self, stream=stream))


class _CallerConnection:
    """The connection of one caller.

    `_early_lines` holds the lines that arrived before the opening of the
    session was decided; it is None while no opening is pending.
    """

    __slots__ = (
        "_buffer",
        "_early_lines",
        "_paused",
        "_server",
        "_stream",
        "_timer",
        "session",
    )

    def __init__(self, *, server: CallerServer, stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._buffer = LineDecoder()
        self._paused = False
        self._early_lines: list[str] | None = None
        self.session: Session | None = None
        self._timer = server.reactor.call_later(OPEN_TIMEOUT, self.close)
        stream.on_data = self._handle_data
        stream.on_close = self._handle_close

    def answer(self, answer: SessionAnswer) -> None:
        """Send the answer to the current statement."""
        self._stream.send(encode_answer(answer))
        if self._paused and self.session and not self.session.is_backlog_full:
            self._paused = False
            self._stream.resume()

    def begin_refusal(self, refusal: NotRun) -> None:
        """Send the error line of an answer to no statement."""
        lines = _outcome_lines(refusal)
        self._stream.send(f"{lines[0]}\r\n".encode("latin-1", "replace"))

    def finish_refusal(self, state: SessionState) -> None:
        """Complete the answer that `begin_refusal` started."""
        line = f"READY {STATE_CODES[state]} {format_position(None)}\r\n"
        self._stream.send(line.encode("latin-1", "replace"))

    def close(self) -> None:
        """Close the connection once all answers have been sent."""
        self._stream.close()

    def _handle_data(self, data: bytes) -> None:
        try:
            lines = self._buffer.feed(data)
        except LineTooLong:
            # The start of the next message can no longer be determined.
            self._reject("MALFORMED", "message exceeds the maximum size")
            return
        for line in lines:
            if self._stream.closed or self._stream.closing:
                return
            self._handle_line(line)
        if self.session is not None and self.session.is_backlog_full:
            self._paused = True
            self._stream.pause()

    def _handle_line(self, line: str) -> None:
        if self._early_lines is not None:
            # The caller did not wait for the answer to OPEN.
            self._early_lines.append(line)
            return
        keyword, _, rest = line.partition(" ")
        if keyword == "CLOSE":
            self.close()
        elif keyword == "OPEN" and self.session is None:
            self._open(rest)
        elif keyword == "QUERY" and self.session is not None:
            id, _, text = rest.partition(" ")
            if not id:
                self._reject("MALFORMED", "QUERY requires an id and a text")
                return
            if logs.is_enabled(logs.Level.DEBUG):
                logs.log_event(
                    "statement_received",
                    level=logs.Level.DEBUG,
                    trace=id,
                    payload_bytes=payload_size(text),
                )
            self.session.submit(id, parse_statement(text))
        else:
            self._reject("MALFORMED", f"unexpected message {keyword[:32]!r}")

    def _open(self, rest: str, pending_since: float | None = None) -> None:
        # The second field is the caller's key. Where callers need no key it
        # may be any word.
        database, _, key = rest.partition(" ")
        credential = key_digest(key.encode("latin-1", "replace"))
        reactor = self._server.reactor
        started_at = reactor.now() if pending_since is None else pending_since
        pending_for = reactor.now() - started_at
        decision = self._server.admit(database, credential, pending_for)
        if isinstance(decision, OpeningPending):
            self._early_lines = self._early_lines or []
            reactor.call_later(
                decision.recheck, lambda: self._retry_open(rest, started_at)
            )
            return
        if decision is not None:
            lines = _outcome_lines(decision)
            self._stream.send(f"{lines[0]}\r\n".encode("latin-1", "replace"))
            self._stream.close()
            logs.log_event(
                "session_refused",
                database=database,
                reason=decision.reason,
            )
            return
        self._timer.cancel()
        number = next(self._server.session_numbers)
        self.session = self._server.make_session(
            database, credential, number, self
        )
        self._stream.send(b"READY I -\r\n")
        early_lines, self._early_lines = self._early_lines, None
        for line in early_lines or ():
            self._handle_line(line)

    def _retry_open(self, rest: str, pending_since: float) -> None:
        if not self._stream.closed:
            self._open(rest, pending_since)

    def _reject(self, code: str, message: str) -> None:
        """Answer a malformed message with an error and close the connection.

        The data after a malformed message can't be interpreted, so nothing
        more is read.
        """
        line = f"ERROR {code} {replace_line_breaks(message)}\r\n"
        self._stream.send(line.encode("latin-1", "replace"))
        self._stream.close()
        logs.log_event("caller_cut", level=logs.Level.WARNING, reason=message)

    def _handle_close(self) -> None:
        self._timer.cancel()
        self._server.connections.discard(self)
        if self.session is not None:
            self.session.handle_disconnect()
