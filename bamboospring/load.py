"""Open-loop load generator: `bamboospring load`.

Statements arrive as a Poisson process that does not depend on earlier
answers, so a slow proxy gets the same load as a fast one. Latency is measured
from the arrival time of a statement, not from the time when it is sent;
otherwise measurements would omit stalls. The seed determines arrivals and mix.

The tool is for test fleets. Its duration, rate and connections are limited,
and it connects only to addresses on this machine.

Example::

    plan = LoadPlan(entries=("127.0.0.1:8001",), group="ledger", rate=200)
    result = run(plan)
    print(result.summary()["done"])
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from collections import deque
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from functools import partial
import gc
import random
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import Component
from bamboospring.components import handler
from hdrh.histogram import HdrHistogram
import orjson

from bamboospring.errors import BamboospringError
from bamboospring.http_client import HttpConnection
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor

__all__ = ["Fault", "LoadError", "LoadPlan", "LoadResult", "plot", "run"]

MAX_SECONDS = 600.0
MAX_RATE = 50_000.0
MAX_CALLERS = 2_000
LOOPBACK_PREFIX = "127."
CONNECT_TIMEOUT = 2.0
# How long answers are awaited after the deadline, in seconds.
ANSWER_GRACE_SECONDS = 1.0
MAX_LATENCY_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LOST = "lost"
UNSENT = "unsent"


class LoadError(BamboospringError):
    """The plan exceeds a limit or can't be started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A request to a stand-in, `at` seconds after the start."""

    at: float
    address: str
    path: str
    body: dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The load to send.

    Shares are in percent, `rate` is in statements per second.
    """

    entries: tuple[str, ...]
    group: str
    rate: float
    seconds: float = 10.0
    callers: int = 32
    write_percent: float = 0.0
    transaction_percent: float = 0.0
    read_sql: str = "SELECT 1"
    write_sql: str = ""
    staleness_ms: int | None = None
    deadline_ms: int = 1000
    caller: str = "load"
    sessions_per_caller: int = 0
    seed: int = 1
    faults: tuple[Fault, ...] = ()

    def check(self) -> None:
        """Raise LoadError if a value is out of bounds."""
        addresses = [*self.entries, *(fault.address for fault in self.faults)]
        if not self.entries:
            raise LoadError("no entry to send to")
        if not all(
            address.startswith(LOOPBACK_PREFIX) for address in addresses
        ):
            raise LoadError("only addresses on this machine are allowed")
        if not 0 < self.seconds <= MAX_SECONDS:
            raise LoadError(f"seconds must be above 0, up to {MAX_SECONDS}")
        if not 0 < self.rate <= MAX_RATE:
            raise LoadError(f"rate must be above 0, up to {MAX_RATE}")
        if not 0 < self.callers <= MAX_CALLERS:
            raise LoadError(f"callers must be 1 to {MAX_CALLERS}")
        if self.write_percent + self.transaction_percent > 0:
            if not self.write_sql:
                raise LoadError("writes need the SQL of a write")


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """Counts and latencies of the answers."""

    plan: LoadPlan
    outcomes: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    targets: Counter[str] = field(default_factory=Counter)
    at_replica: int = 0
    elapsed: float = 0.0
    seconds: list[Counter[str]] = field(default_factory=list)
    latencies: dict[str, HdrHistogram] = field(default_factory=dict)

    def record(
        self, outcome: str, latency: float, at: float, reason: str
    ) -> None:
        """Record one answer."""
        self.outcomes[outcome] += 1
        if reason:
            self.reasons[f"{outcome}/{reason}"] += 1
        if outcome not in self.latencies:
            self.latencies[outcome] = HdrHistogram(
                1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        self.latencies[outcome].record_value(max(1, int(latency * 1e6)))
        while len(self.seconds) <= int(at):
            self.seconds.append(Counter())
        self.seconds[int(at)][outcome] += 1

    def percentile(self, outcome: str, percent: float) -> float:
        """Return a latency in milliseconds, 0 without such an answer."""
        histogram = self.latencies.get(outcome)
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(percent)) / 1000

    def summary(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return {
            "plan": asdict(self.plan),
            "elapsed_s": round(self.elapsed, 3),
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "targets": dict(self.targets),
            "done_per_s": round(
                self.outcomes["done"] / max(self.elapsed, 1e-9), 1
            ),
            "at_replica": self.at_replica,
            "latency_ms": {
                outcome: {
                    f"p{percent:g}": round(
                        self.percentile(outcome, percent), 3
                    )
                    for percent in PERCENTILES
                }
                for outcome in sorted(self.latencies)
            },
            "by_second": [dict(counter) for counter in self.seconds],
        }


@dataclass(slots=True, kw_only=True, eq=False)
class _Session:
    """A caller's session on one connection."""

    entry: str
    caller: str
    conn: HttpConnection | None = None
    token: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Arrival:
    """A statement to send, with its arrival time."""

    at: float
    kind: str


class _LoadGenerator(BaseComponent):
    """Sends the plan's load and then stops the root component."""

    channel = "*"

    def __init__(self, *, reactor: Reactor, plan: LoadPlan) -> None:
        super().__init__()
        self.result = LoadResult(plan=plan)
        self._reactor = reactor
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._idle: deque[_Session] = deque()
        self._due_requests: deque[_Arrival] = deque()
        self._opening = 0
        self._in_flight = 0
        self._started_at = 0.0
        self._next_arrival_at = 0.0
        self._arrivals_ended = False

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        plan = self._plan
        self._opening = plan.callers
        for number in range(plan.callers):
            name = plan.caller
            if plan.sessions_per_caller:
                name = f"{name}-{number // plan.sessions_per_caller}"
            session = _Session(
                entry=plan.entries[number % len(plan.entries)], caller=name
            )
            self._open_session(session, self._on_session_opened)

    def _open_session(
        self, session: _Session, on_complete: Callable[[_Session], None]
    ) -> None:
        conn = HttpConnection(reactor=self._reactor, address=session.entry)

        def connected(ok: bool) -> None:
            if not ok:
                on_complete(session)
                return
            body = orjson.dumps({"caller": session.caller})
            conn.request(
                "POST", "/v1/sessions", body, CONNECT_TIMEOUT, answered
            )

        def answered(answer: HttpResponse | HttpFailure) -> None:
            if isinstance(answer, HttpResponse) and answer.status < 300:
                session.conn = conn
                token = orjson.loads(answer.body)["token"]
                session.token = session.token or token
            on_complete(session)

        conn.connect(CONNECT_TIMEOUT, connected)

    def _on_session_opened(self, session: _Session) -> None:
        self._opening -= 1
        self._idle.append(session)
        if self._opening == 0:
            self._start_arrivals()

    def _start_arrivals(self) -> None:
        # Objects created so far live until the end. Excluding them from
        # garbage collection keeps its pauses out of the latencies.
        gc.freeze()
        now = self._started_at = self._reactor.now()
        for fault in self._plan.faults:
            self._reactor.call_later(
                fault.at, partial(self._inject_fault, fault)
            )
        self._next_arrival_at = now + self._next_interval()
        self._add_arrivals()

    def _next_interval(self) -> float:
        return self._random.expovariate(self._plan.rate)

    def _add_arrivals(self) -> None:
        now = self._reactor.now()
        end = self._started_at + self._plan.seconds
        while self._next_arrival_at <= now and self._next_arrival_at < end:
            self._due_requests.append(
                _Arrival(at=self._next_arrival_at, kind=self._draw_kind())
            )
            self._next_arrival_at += self._next_interval()
        self._send_queued()
        if self._next_arrival_at < end:
            self._reactor.call_later(
                max(0.0, self._next_arrival_at - now), self._add_arrivals
            )
        else:
            wait = self._plan.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
            self._reactor.call_later(wait, self._finish)
            self._arrivals_ended = True

    def _draw_kind(self) -> str:
        draw = self._random.random() * 100
        if draw < self._plan.write_percent:
            return "write"
        if draw < self._plan.write_percent + self._plan.transaction_percent:
            return "transaction"
        return "read"

    def _send_queued(self) -> None:
        while self._due_requests and self._idle:
            arrival = self._due_requests.popleft()
            session = self._idle.popleft()
            self._in_flight += 1
            if arrival.kind == "transaction":
                _Transaction(
                    load=self, session=session, arrival=arrival
                ).begin()
            else:
                self._send_statement(session, arrival)

    def _send_statement(self, session: _Session, arrival: _Arrival) -> None:
        plan = self._plan
        is_write = arrival.kind == "write"
        body: dict[str, Any] = {
            "token": session.token,
            "group": plan.group,
            "kind": arrival.kind,
            "sql": plan.write_sql if is_write else plan.read_sql,
            "params": [],
            "staleness_ms": None if is_write else plan.staleness_ms,
            "deadline_ms": plan.deadline_ms,
        }
        self.send_request(
            session,
            "/v1/statements",
            body,
            lambda data: self.record_answer(session, arrival, data),
        )

    def send_request(
        self,
        session: _Session,
        path: str,
        body: dict[str, Any],
        on_data: Callable[[dict[str, Any]], None],
    ) -> None:
        """Send a request; one without an answer has the outcome `lost`."""

        def answered(answer: HttpResponse | HttpFailure) -> None:
            if isinstance(answer, HttpFailure):
                session.conn = None
                on_data({"outcome": LOST, "reason": answer.reason})
                return
            data = orjson.loads(answer.body)
            session.token = data.get("token") or session.token
            on_data(data)

        if session.conn is None or not session.conn.usable:
            self._open_session(
                session,
                lambda _s: self._send_after_reconnect(
                    session, path, body, answered
                ),
            )
            return
        timeout = self._plan.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
        session.conn.request(
            "POST", path, orjson.dumps(body), timeout, answered
        )

    def _send_after_reconnect(
        self,
        session: _Session,
        path: str,
        body: dict[str, Any],
        answered: Callable[[HttpResponse | HttpFailure], None],
    ) -> None:
        if session.conn is None:
            answered(HttpFailure(sent=False, reason="connect"))
            return
        body = {**body, "token": session.token}
        timeout = self._plan.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
        session.conn.request(
            "POST", path, orjson.dumps(body), timeout, answered
        )

    def record_answer(
        self, session: _Session, arrival: _Arrival, data: dict[str, Any]
    ) -> None:
        """Record an answer and make its session available again."""
        now = self._reactor.now()
        result = self.result
        result.record(
            data.get("outcome") or LOST,
            now - arrival.at,
            now - self._started_at,
            data.get("reason") or "",
        )
        if data.get("target"):
            result.targets[data["target"]] += 1
        result.at_replica += bool(data.get("at_replica"))
        self._in_flight -= 1
        self._idle.append(session)
        self._send_queued()
        if (
            self._arrivals_ended
            and self._in_flight == 0
            and not self._due_requests
        ):
            self._finish()

    def _finish(self) -> None:
        if self.result.elapsed:
            return
        now = self._reactor.now()
        self.result.elapsed = min(now - self._started_at, self._plan.seconds)
        unsent = len(self._due_requests) + self._in_flight
        if unsent:
            self.result.outcomes[UNSENT] = unsent
        self.root.stop()

    def _inject_fault(self, fault: Fault) -> None:
        conn = HttpConnection(reactor=self._reactor, address=fault.address)

        def connected(ok: bool) -> None:
            if ok:
                body = orjson.dumps(fault.body)
                conn.request(
                    "POST",
                    fault.path,
                    body,
                    CONNECT_TIMEOUT,
                    lambda _answer: conn.close(),
                )

        conn.connect(CONNECT_TIMEOUT, connected)


class _Transaction:
    """A transaction of one write; the first step that fails ends it."""

    def __init__(
        self, *, load: _LoadGenerator, session: _Session, arrival: _Arrival
    ) -> None:
        self._load = load
        self._session = session
        self._arrival = arrival
        self._steps = deque(["begin", "statement", "commit"])

    def begin(self) -> None:
        """Send the first step."""
        self._send_step("")

    def _send_step(self, transaction: str) -> None:
        plan = self._load.result.plan
        step = self._steps.popleft()
        body: dict[str, Any] = {
            "token": self._session.token,
            "group": plan.group,
            "step": step,
            "transaction": transaction,
            "kind": "write",
            "sql": plan.write_sql if step == "statement" else None,
            "params": [],
            "deadline_ms": plan.deadline_ms,
        }
        self._load.send_request(
            self._session, "/v1/transactions", body, self._on_answer
        )

    def _on_answer(self, data: dict[str, Any]) -> None:
        if data.get("outcome") == "done" and self._steps:
            self._send_step(data["transaction"])
        else:
            self._load.record_answer(self._session, self._arrival, data)


def run(plan: LoadPlan) -> LoadResult:
    """Send the plan's load and return the result.

    Raise LoadError if the plan is out of bounds.
    """
    plan.check()
    root = Component()
    reactor = Reactor().register(root)
    load = _LoadGenerator(reactor=reactor, plan=plan).register(root)
    root.run()
    return load.result


def plot(result: LoadResult, path: str) -> None:
    """Plot answers per second and latencies into an image file."""
    # Imported here because it takes 60 MB and half a second to load.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, figsize=(8, 7))
    for outcome in sorted(result.outcomes):
        counts = [counter[outcome] for counter in result.seconds]
        above.plot(counts, label=outcome)
    above.set_xlabel("second")
    above.set_ylabel("answers")
    above.legend()
    percents = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9]
    for outcome in sorted(result.latencies):
        values = [result.percentile(outcome, p) for p in percents]
        below.plot([str(p) for p in percents], values, "o-", label=outcome)
    below.set_yscale("log")
    below.set_xlabel("percentile")
    below.set_ylabel("latency, ms")
    below.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
