"""Speak with targets: one connection, its orders and their answers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import hashlib

from bamboospring.blackboard import Target
from bamboospring.platform.line_protocol import format_position
from bamboospring.platform.line_protocol import LineDecoder
from bamboospring.platform.line_protocol import LineTooLong
from bamboospring.platform.line_protocol import parse_position
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import Assign
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import CommitWork
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import PrepareShape
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import ResetConnection
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.ports import RollbackWork
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.ports import TargetOrder
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.proofs import TargetReport
from bamboospring.statements import Position
from bamboospring.target_link import Health
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed

__all__ = ["LineDialer", "LineLink"]

# Who connects where no team is known: for the system's own statements, and
# for callers that need no key.
WHO = "bamboospring"

# A connection that fails within this part of its time was refused.
REFUSED_PART = 0.5

STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.OPEN,
    "E": SessionState.FAILED,
}

REFUSALS = {
    "BUSY": Refusal.BUSY,
    "LAGGING": Refusal.BEHIND,
    "READONLY": Refusal.NOT_PRIMARY,
    "NOSUCHSTMT": Refusal.UNKNOWN_SHAPE,
    "ABORTED": Refusal.NOT_DONE,
    "WRONGHOST": Refusal.NOT_DONE,
    "MAXCONN": Refusal.NOT_DONE,
    "FAILED": Refusal.FAILED,
    "TIMEOUT": Refusal.TIMED_OUT,
    "INDOUBT": Refusal.TIMED_OUT,
}


class LineLink:
    """A connection to a target, greeted and in step."""

    __slots__ = (
        "_buffer",
        "_done",
        "_orders",
        "_reactor",
        "_replies",
        "_reply",
        "_stream",
        "_timer",
        "shapes",
        "state",
        "values",
    )

    def __init__(self, *, reactor: Reactor, stream: Stream) -> None:
        self._reactor = reactor
        self._stream = stream
        self._buffer = LineDecoder()
        self._orders: Sequence[TargetOrder] = ()
        self._replies: list[TargetReply] = []
        self._reply = TargetReply()
        self._timer: Timer | None = None
        self._done: Callable[[list[TargetReply] | LinkLost], None] | None
        self._done = None
        self.values: dict[str, str] = {}
        self.shapes: set[Shape] = set()
        self.state = SessionState.IDLE
        stream.on_data = self._data
        stream.on_close = self._closed

    @property
    def usable(self) -> bool:
        """Tell whether it is open with nothing under way."""
        return not self._stream.closed and self._done is None

    def close(self) -> None:
        """Close it; what is under way is lost."""
        self._stream.abort()

    def open_session(
        self,
        target: Target,
        service: str,
        team: str,
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        """Say which target is meant; another one at the address refuses."""
        self._begin((), timeout, on_complete)
        line = f"OPEN {service} {team or WHO} {target.name}\r\n"
        self._stream.send(line.encode("latin-1"))

    def send(
        self,
        orders: Sequence[TargetOrder],
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        """Send all orders at once and call back with all the answers."""
        if not self.usable:
            self._reactor.call_later(0, lambda: on_complete(LinkLost()))
            return
        self._begin(orders, timeout, on_complete)
        data = "".join(map(_line, orders)).encode("latin-1")
        self._stream.send(data)

    def _begin(
        self,
        orders: Sequence[TargetOrder],
        timeout: float,
        on_done: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        self._orders = orders
        self._replies = []
        self._reply = TargetReply()
        self._done = on_done
        self._timer = self._reactor.call_later(timeout, self._timed_out)

    def _data(self, data: bytes) -> None:
        try:
            lines = self._buffer.feed(data)
        except LineTooLong:
            self._lose(LinkLost())
            return
        for line in lines:
            if self._done is None:
                # Nobody asked for this, so what the next answer would
                # belong to can't be known.
                self._lose(LinkLost())
                return
            self._line(line)

    def _line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        match word:
            case "ROW":
                self._reply.rows.append(rest)
            case "COMPLETE":
                self._reply.signature = rest
            case "ERROR":
                code, _, message = rest.partition(" ")
                self._reply.refusal = REFUSALS.get(code, Refusal.OTHER)
                self._reply.message = f"{code} {message}".strip()
                if not self._orders:
                    # A refused greeting is followed by a close.
                    self._finish_reply()
            case "READY":
                state, _, position = rest.partition(" ")
                self._reply.state = STATES.get(state, SessionState.FAILED)
                self._reply.position = parse_position(position)
                self._finish_reply()
            case _:
                self._lose(LinkLost())

    def _finish_reply(self) -> None:
        reply, self._reply = self._reply, TargetReply()
        self.state = reply.state
        number = len(self._replies)
        self._replies.append(reply)
        if number < len(self._orders):
            self._take(self._orders[number], reply)
        if len(self._replies) >= len(self._orders):
            self._finish(self._replies)

    def _take(self, order: TargetOrder, reply: TargetReply) -> None:
        """Mirror what the target has done with an order."""
        if reply.refusal is not None:
            return
        match order:
            case ResetConnection():
                self.values = {}
                self.shapes = set()
            case Assign(name=name, value=value):
                self.values[name] = value
            case PrepareShape(shape=shape):
                self.shapes.add(shape)
            case AskReport() | HoldTerm() | ResumeReceiving() | StepDown():
                reply.report = _read_report(reply.rows)

    def _timed_out(self) -> None:
        self._timer = None
        self._lose(LinkLost(unresponsive=True))

    def _closed(self) -> None:
        self._finish(LinkLost())

    def _lose(self, lost: LinkLost) -> None:
        self._finish(lost)
        self._stream.abort()

    def _finish(self, result: list[TargetReply] | LinkLost) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        done, self._done = self._done, None
        if done is not None:
            done(result)


def _line(order: TargetOrder) -> str:
    match order:
        case RunText(id=id, text=text, after=after):
            return f"QUERY {id} {_after(after)}{text}\r\n"
        case RunShape(id=id, shape=shape, arguments=arguments, after=after):
            text = f"EXECUTE {_name(shape)} {arguments}".rstrip()
            return f"QUERY {id} {_after(after)}{text}\r\n"
        case CommitWork(id=id):
            return f"QUERY {id} COMMIT\r\n"
        case RollbackWork():
            return "QUERY - ROLLBACK\r\n"
        case BeginWork(read_only=read_only, after=after):
            mode = " READ" if read_only else ""
            return f"QUERY - {_after(after)}BEGIN{mode}\r\n"
        case ResetConnection():
            return "QUERY - RESET\r\n"
        case Assign(name=name, value=value):
            return f"QUERY - SET {name} {value}\r\n"
        case PrepareShape(shape=shape):
            mode = "WRITE" if shape.writes else "READ"
            return f"QUERY - PREPARE {_name(shape)} {mode} {shape.text}\r\n"
        case AskReport():
            return "QUERY - STATUS\r\n"
        case HoldTerm(term=term):
            return f"QUERY - PAUSE {term}\r\n"
        case ResumeReceiving():
            return "QUERY - RESUME\r\n"
        case StepDown(term=term):
            return f"QUERY - STEPDOWN {term}\r\n"


def _after(position: Position | None) -> str:
    return "" if position is None else f"AFTER {format_position(position)} "


def _name(shape: Shape) -> str:
    """Return the name of a shape, the same on every connection.

    Callers' own names collide between callers, who share connections.
    """
    mode = "w" if shape.writes else "r"
    digest = hashlib.blake2s(shape.text.encode("latin-1"), digest_size=8)
    return f"{mode}{digest.hexdigest()}"


def _read_report(rows: list[str]) -> TargetReport | None:
    """Read a target's place in its group; None if it can't be read.

    The fields are role, term, position received, term held, lag in
    milliseconds, statements under way and connections.
    """
    if not rows:
        return None
    fields = rows[0].split(" ")
    try:
        role, term, received, held, lag, _busy, connections = fields[:7]
        position = parse_position(received) or Position()
        return TargetReport(
            is_primary=role == "primary",
            term=int(term),
            received_term=position.term,
            received_index=position.index,
            held_term=int(held) if held != "-" else 0,
            lag=float(lag) / 1000 if lag != "-" else 0.0,
            connections=int(connections),
        )
    except ValueError:
        return None


class LineDialer:
    """The dialer of one pool."""

    def __init__(
        self, *, reactor: Reactor, target: Target, service: str
    ) -> None:
        self._reactor = reactor
        self._target = target
        self._service = service

    def open(
        self,
        team: str,
        timeout: float,
        on_complete: Callable[[Opened[LineLink] | OpenFailed], None],
    ) -> None:
        """Open a connection and greet the target in a team's name."""

        began = self._reactor.now()

        def connected(stream: Stream | None) -> None:
            if stream is None:
                # A machine that is silent uses the whole time up.
                took = self._reactor.now() - began
                on_complete(OpenFailed(refused=took < timeout * REFUSED_PART))
                return
            link = LineLink(reactor=self._reactor, stream=stream)

            def greeted(result: list[TargetReply] | LinkLost) -> None:
                if isinstance(result, LinkLost):
                    on_complete(OpenFailed())
                elif result[0].refusal is not None:
                    link.close()
                    on_complete(_open_failed(result[0]))
                else:
                    on_complete(Opened(link=link))

            link.open_session(
                self._target, self._service, team, timeout, greeted
            )

        self._reactor.connect(self._target.address, timeout, connected)

    def check(
        self,
        link: LineLink,
        timeout: float,
        on_complete: Callable[[Health], None],
    ) -> None:
        """Clear an idle connection, which takes no slot of the target."""

        def answered(result: list[TargetReply] | LinkLost) -> None:
            match result:
                case LinkLost(unresponsive=True):
                    on_complete(Health.SILENT)
                case LinkLost():
                    on_complete(Health.CLOSED)
                case _:
                    on_complete(Health.ALIVE)

        link.send([ResetConnection()], timeout, answered)

    def end(self, number: int) -> None:
        """Do nothing: a target drops a connection whose end is gone."""


def _open_failed(reply: TargetReply) -> OpenFailed:
    code = reply.message.partition(" ")[0]
    return OpenFailed(full=code == "MAXCONN", wrong_target=code == "WRONGHOST")
