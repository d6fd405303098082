"""The client side of the line protocol: connections to targets."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import hashlib

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.platform.line_protocol import format_position
from bamboospring.platform.line_protocol import LineDecoder
from bamboospring.platform.line_protocol import LineTooLong
from bamboospring.platform.line_protocol import MalformedPosition
from bamboospring.platform.line_protocol import name_in_line
from bamboospring.platform.line_protocol import parse_position
from bamboospring.platform.line_protocol import payload_size
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

# The user name of connections without a team: those for the proxy's own
# statements and for callers that need no key.
DEFAULT_USER = "bamboospring"

# A connection attempt that fails within this fraction of its timeout was
# refused; a host that does not respond uses the whole timeout.
REFUSED_TIME_FRACTION = 0.5

STATES_BY_CODE = {
    "I": SessionState.IDLE,
    "T": SessionState.OPEN,
    "E": SessionState.FAILED,
}

REFUSALS_BY_CODE = {
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
    """A connection to a target on which one exchange runs at a time.

    `values`, `shapes` and `state` mirror the state that the target keeps for
    the connection.
    """

    __slots__ = (
        "_buffer",
        "_on_complete",
        "_orders",
        "_reactor",
        "_replies",
        "_reply",
        "_stream",
        "_target_name",
        "_timer",
        "shapes",
        "state",
        "values",
    )

    def __init__(
        self, *, reactor: Reactor, stream: Stream, target_name: str = ""
    ) -> None:
        self._reactor = reactor
        self._stream = stream
        self._target_name = target_name
        self._buffer = LineDecoder()
        self._orders: Sequence[TargetOrder] = ()
        self._replies: list[TargetReply] = []
        self._reply = TargetReply()
        self._timer: Timer | None = None
        self._on_complete: (
            Callable[[list[TargetReply] | LinkLost], None] | None
        )
        self._on_complete = None
        self.values: dict[str, str] = {}
        self.shapes: set[Shape] = set()
        self.state = SessionState.IDLE
        stream.on_data = self._handle_data
        stream.on_close = self._handle_close

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and no exchange is running."""
        return not self._stream.closed and self._on_complete is None

    def close(self) -> None:
        """Close the connection; a running exchange is lost."""
        self._stream.abort()

    def open_session(
        self,
        target: Target,
        service: str,
        team: str,
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        """Open the session and name the target.

        Another target that listens at the address refuses the session.
        """
        self._start_exchange((), timeout, on_complete)
        names = (service, team or DEFAULT_USER, target.name)
        line = f"OPEN {' '.join(map(name_in_line, names))}\r\n"
        self._stream.send(line.encode("latin-1"))

    def send(
        self,
        orders: Sequence[TargetOrder],
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        """Send all orders at once; `on_complete` gets all replies."""
        if not self.usable:
            self._reactor.call_later(0, lambda: on_complete(LinkLost()))
            return
        self._start_exchange(orders, timeout, on_complete)
        data = "".join(map(_encode_order, orders)).encode("latin-1")
        self._stream.send(data)

    def _start_exchange(
        self,
        orders: Sequence[TargetOrder],
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        self._orders = orders
        self._replies = []
        self._reply = TargetReply()
        self._on_complete = on_complete
        self._timer = self._reactor.call_later(timeout, self._handle_timeout)

    def _handle_data(self, data: bytes) -> None:
        try:
            lines = self._buffer.feed(data)
        except LineTooLong:
            self._fail(LinkLost())
            return
        for line in lines:
            if self._on_complete is None:
                # The data is unsolicited. Later replies could not be matched
                # to their orders.
                self._fail(LinkLost())
                return
            self._handle_line(line)

    def _handle_line(self, line: str) -> None:
        keyword, _, rest = line.partition(" ")
        match keyword:
            case "ROW":
                self._reply.rows.append(rest)
            case "COMPLETE":
                self._reply.signature = rest
            case "ERROR":
                code = rest.partition(" ")[0]
                self._reply.refusal = REFUSALS_BY_CODE.get(code, Refusal.OTHER)
                self._reply.message = rest
                if not self._orders:
                    # The target closes the connection after it has refused
                    # the session, without a READY line.
                    self._finish_reply()
            case "READY":
                self._handle_ready(rest)
            case _:
                self._fail_malformed(f"unknown keyword {keyword[:32]!r}")

    def _handle_ready(self, rest: str) -> None:
        state, _, text = rest.partition(" ")
        try:
            position = parse_position(text)
        except MalformedPosition as exc:
            # Without its position, a write would be acknowledged that later
            # reads of the session could miss.
            self._fail_malformed(str(exc))
            return
        self._reply.state = STATES_BY_CODE.get(state, SessionState.FAILED)
        self._reply.position = position
        self._finish_reply()

    def _finish_reply(self) -> None:
        reply, self._reply = self._reply, TargetReply()
        self.state = reply.state
        order_index = len(self._replies)
        self._replies.append(reply)
        if order_index < len(self._orders):
            self._apply_order(self._orders[order_index], reply)
        if len(self._replies) >= len(self._orders):
            self._complete(self._replies)

    def _apply_order(self, order: TargetOrder, reply: TargetReply) -> None:
        """Update the mirrored state after a successful order."""
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
                reply.report = _parse_report(reply.rows)

    def _handle_timeout(self) -> None:
        self._timer = None
        self._fail(LinkLost(unresponsive=True))

    def _handle_close(self) -> None:
        self._complete(LinkLost())

    def _fail(self, lost: LinkLost) -> None:
        # Closed first: whoever is told of the loss must not find the
        # connection usable, as its orders may still take effect.
        on_complete = self._end_exchange()
        self._stream.abort()
        if on_complete is not None:
            on_complete(lost)

    def _fail_malformed(self, reason: str) -> None:
        logs.log_event(
            "target_answer_malformed",
            level=logs.Level.WARNING,
            target=self._target_name,
            reason=reason,
        )
        self._fail(LinkLost())

    def _complete(self, result: list[TargetReply] | LinkLost) -> None:
        on_complete = self._end_exchange()
        if on_complete is not None:
            on_complete(result)

    def _end_exchange(
        self,
    ) -> Callable[[list[TargetReply] | LinkLost], None] | None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_complete, self._on_complete = self._on_complete, None
        return on_complete


def _encode_order(order: TargetOrder) -> str:
    match order:
        case RunText(id=id, text=text, after=after):
            return _encode_statement(id, text, after)
        case RunShape(id=id, shape=shape, arguments=arguments, after=after):
            text = f"EXECUTE {_name_of(shape)} {arguments}"
            return _encode_statement(id, text, after)
        case CommitWork(id=id):
            return f"QUERY {id} COMMIT\r\n"
        case RollbackWork():
            return "QUERY - ROLLBACK\r\n"
        case BeginWork(read_only=read_only, after=after):
            mode = " READ" if read_only else ""
            return f"QUERY - {_after_clause(after)}BEGIN{mode}\r\n"
        case ResetConnection():
            return "QUERY - RESET\r\n"
        case Assign(name=name, value=value):
            return f"QUERY - SET {name} {value}\r\n"
        case PrepareShape(shape=shape):
            mode = "WRITE" if shape.writes else "READ"
            return f"QUERY - PREPARE {_name_of(shape)} {mode} {shape.text}\r\n"
        case AskReport():
            return "QUERY - STATUS\r\n"
        case HoldTerm(term=term):
            return f"QUERY - PAUSE {term}\r\n"
        case ResumeReceiving():
            return "QUERY - RESUME\r\n"
        case StepDown(term=term):
            return f"QUERY - STEPDOWN {term}\r\n"


def _encode_statement(id: str, text: str, after: Position | None) -> str:
    if logs.is_enabled(logs.Level.DEBUG):
        logs.log_event(
            "statement_sent",
            level=logs.Level.DEBUG,
            trace=id,
            payload_bytes=payload_size(text),
        )
    return f"QUERY {id} {_after_clause(after)}{text}\r\n"


def _after_clause(position: Position | None) -> str:
    return "" if position is None else f"AFTER {format_position(position)} "


def _name_of(shape: Shape) -> str:
    """Return the name of a prepared shape, the same on every connection.

    The names that callers choose are not used, because callers share
    connections and their names may collide.
    """
    mode = "w" if shape.writes else "r"
    digest = hashlib.blake2s(shape.text.encode("latin-1"), digest_size=8)
    return f"{mode}{digest.hexdigest()}"


def _parse_report(rows: list[str]) -> TargetReport | None:
    """Parse a target's report; return None if it is malformed.

    The fields are role, term, position received, term held, lag in
    milliseconds, statements in flight and connections.
    """
    if not rows:
        return None
    fields = rows[0].split(" ")
    try:
        (
            role,
            term,
            received_position,
            held_term,
            lag,
            _in_flight,
            connections,
        ) = fields[:7]
        position = parse_position(received_position) or Position()
        return TargetReport(
            is_primary=role == "primary",
            term=int(term),
            received_term=position.term,
            received_index=position.index,
            held_term=int(held_term) if held_term != "-" else 0,
            lag=float(lag) / 1000 if lag != "-" else 0.0,
            connections=int(connections),
        )
    except (ValueError, MalformedPosition):
        return None


class LineDialer:
    """Opens the connections of one pool over the line protocol."""

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
        """Connect and open the session under a team's name."""

        started_at = self._reactor.now()

        def on_connected(stream: Stream | None) -> None:
            if stream is None:
                # A host that does not respond uses the whole timeout.
                elapsed = self._reactor.now() - started_at
                on_complete(
                    OpenFailed(
                        refused=elapsed < timeout * REFUSED_TIME_FRACTION
                    )
                )
                return
            link = LineLink(
                reactor=self._reactor,
                stream=stream,
                target_name=self._target.name,
            )

            def on_opened(result: list[TargetReply] | LinkLost) -> None:
                if isinstance(result, LinkLost):
                    on_complete(OpenFailed())
                elif result[0].refusal is not None:
                    link.close()
                    on_complete(_open_failure(result[0]))
                else:
                    on_complete(Opened(link=link))

            link.open_session(
                self._target, self._service, team, timeout, on_opened
            )

        self._reactor.connect(self._target.address, timeout, on_connected)

    def check(
        self,
        link: LineLink,
        timeout: float,
        on_complete: Callable[[Health], None],
    ) -> None:
        """Reset an idle connection, which uses no slot of the target."""

        def on_reply(result: list[TargetReply] | LinkLost) -> None:
            match result:
                case LinkLost(unresponsive=True):
                    on_complete(Health.SILENT)
                case LinkLost():
                    on_complete(Health.CLOSED)
                case _:
                    on_complete(Health.ALIVE)

        link.send([ResetConnection()], timeout, on_reply)

    def end(self, number: int) -> None:
        """Do nothing: a target drops a connection that its client closed."""


def _open_failure(reply: TargetReply) -> OpenFailed:
    code = reply.message.partition(" ")[0]
    return OpenFailed(full=code == "MAXCONN", wrong_target=code == "WRONGHOST")
