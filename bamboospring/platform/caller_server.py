"""Speak with callers: read their lines, write their answers."""

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
from bamboospring.platform.line_protocol import replace_line_breaks
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

# Seconds in which a connection must have named its database.
OPENING_TIMEOUT = 10.0

STATES = {
    SessionState.IDLE: "I",
    SessionState.OPEN: "T",
    SessionState.FAILED: "E",
}

# The code for each reason. All of a `NotRun` or `Overloaded` promise that
# nothing of the attempt is kept; those of `Unknown` promise nothing.
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
    """Read the text of a query."""
    word, _, rest = text.partition(" ")
    match word:
        case "READ" if rest:
            return TextStatement(writes=False, text=text)
        case "WRITE" if rest:
            return TextStatement(writes=True, text=text)
        case "EXECUTE" if rest:
            name, _, arguments = rest.partition(" ")
            return Execute(name=name, arguments=arguments)
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
            return _prepare(rest)
        case "RELEASE" if rest:
            return Deallocate(name=rest)
        case _:
            return MalformedStatement(
                message=f"unknown statement {word[:32]!r}"
            )


def _prepare(rest: str) -> SessionStatement:
    name, _, shape = rest.partition(" ")
    mode, _, text = shape.partition(" ")
    if not name or not text or mode not in ("READ", "WRITE"):
        return MalformedStatement(
            message="PREPARE needs a name, READ|WRITE, a shape"
        )
    return Prepare(name=name, shape=Shape(writes=mode == "WRITE", text=text))


def encode_answer(answer: SessionAnswer) -> bytes:
    """Return the bytes of an answer."""
    lines = _outcome_lines(answer.outcome)
    state = STATES[answer.state]
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
    return [f"ERROR {code} {_explained(outcome, reason)}"]


def _explained(outcome: SessionOutcome, reason: Reason) -> str:
    """Return the reason, when to come back, and what else there is to say."""
    parts = [reason.value]
    retry_after_ms = getattr(outcome, "retry_after_ms", 0)
    if retry_after_ms:
        parts.append(f"retry_after_ms={retry_after_ms}")
    message = getattr(outcome, "message", "")
    if message:
        parts.append(replace_line_breaks(message)[:200])
    return " ".join(parts)


class CallerServer:
    """Listens for callers and keeps a session for each connection.

    `admit` is asked for each database named, `make_session` makes the
    session.
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
        self.callers: set[_Caller] = set()
        self.numbers = itertools.count(1)
        self.listener: Listener = reactor.listen(address, self._accepted)

    def sessions(self) -> list[Session]:
        """Return all sessions, those used last at the end."""
        return [c.session for c in self.callers if c.session is not None]

    def _accepted(self, stream: Stream) -> None:
        self.callers.add(_Caller(server=self, stream=stream))


class _Caller:
    """One connection of a caller."""

    __slots__ = (
        "_buffer",
        "_held",
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
        self._held: list[str] | None = None
        self.session: Session | None = None
        self._timer = server.reactor.call_later(OPENING_TIMEOUT, self.close)
        stream.on_data = self._data
        stream.on_close = self._closed

    def answer(self, answer: SessionAnswer) -> None:
        """Send the answer to the statement under way."""
        self._stream.send(encode_answer(answer))
        if self._paused and self.session and not self.session.is_backlog_full:
            self._paused = False
            self._stream.resume()

    def begin_refusal(self, refusal: NotRun) -> None:
        """Send the beginning of an answer before anything was asked."""
        lines = _outcome_lines(refusal)
        self._stream.send(f"{lines[0]}\r\n".encode("latin-1", "replace"))

    def finish_refusal(self, state: SessionState) -> None:
        """Send the end of the answer that `dismiss` began."""
        line = f"READY {STATES[state]} {format_position(None)}\r\n"
        self._stream.send(line.encode("latin-1", "replace"))

    def close(self) -> None:
        """Close once all answers have been sent."""
        self._stream.close()

    def _data(self, data: bytes) -> None:
        try:
            lines = self._buffer.feed(data)
        except LineTooLong:
            # Where the next message begins can't be known any more.
            self._refuse("MALFORMED", "the message is too long")
            return
        for line in lines:
            if self._stream.closed or self._stream.closing:
                return
            self._line(line)
        if self.session is not None and self.session.is_backlog_full:
            self._paused = True
            self._stream.pause()

    def _line(self, line: str) -> None:
        if self._held is not None:
            # Sent ahead of the answer to the opening.
            self._held.append(line)
            return
        word, _, rest = line.partition(" ")
        if word == "CLOSE":
            self.close()
        elif word == "OPEN" and self.session is None:
            self._open(rest)
        elif word == "QUERY" and self.session is not None:
            id, _, text = rest.partition(" ")
            if not id:
                self._refuse("MALFORMED", "a query needs an id and a text")
                return
            self.session.submit(id, parse_statement(text))
        else:
            self._refuse("MALFORMED", f"unexpected message {word[:32]!r}")

    def _open(self, rest: str, held_since: float | None = None) -> None:
        # The second word is the caller's key, or any word without one.
        database, _, word = rest.partition(" ")
        credential = key_digest(word.encode("latin-1", "replace"))
        reactor = self._server.reactor
        since = reactor.now() if held_since is None else held_since
        held_for = reactor.now() - since
        refusal = self._server.admit(database, credential, held_for)
        if isinstance(refusal, OpeningPending):
            self._held = self._held or []
            reactor.call_later(
                refusal.recheck, lambda: self._open_again(rest, since)
            )
            return
        if refusal is not None:
            lines = _outcome_lines(refusal)
            self._stream.send(f"{lines[0]}\r\n".encode("latin-1", "replace"))
            self._stream.close()
            logs.log_event(
                "session_refused",
                database=database,
                reason=refusal.reason,
            )
            return
        self._timer.cancel()
        number = next(self._server.numbers)
        self.session = self._server.make_session(
            database, credential, number, self
        )
        self._stream.send(b"READY I -\r\n")
        held, self._held = self._held, None
        for line in held or ():
            self._line(line)

    def _open_again(self, rest: str, since: float) -> None:
        if not self._stream.closed:
            self._open(rest, since)

    def _refuse(self, code: str, message: str) -> None:
        """Answer what can't be read, and close.

        What follows could be anything, so nothing more is read.
        """
        line = f"ERROR {code} {replace_line_breaks(message)}\r\n"
        self._stream.send(line.encode("latin-1", "replace"))
        self._stream.close()
        logs.log_event("caller_cut", level=logs.Level.WARNING, reason=message)

    def _closed(self) -> None:
        self._timer.cancel()
        self._server.callers.discard(self)
        if self.session is not None:
            self.session.handle_disconnect()
