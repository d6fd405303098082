"""Steps on limits, overload and unresponsive connections, with processes."""

from __future__ import annotations

import dataclasses
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import SCHEMA
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st


from bamboospring.connections import ConnectionTiming
from bamboospring.connections import ConnectionTracker
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.topology import SMALL

READ = "SELECT COUNT(*) FROM entries"
WRITE = "INSERT INTO entries (body) VALUES (?)"
GRACE_MS = 2500
TIMING = {"share_grace_ms": GRACE_MS, "share_isolation_ms": 1500}


class Load:
    """Threads that send statements until `stop` is called."""

    def __init__(
        self,
        fleet: Fleet,
        threads: int,
        *,
        transactions: bool = True,
        **options: Any,
    ) -> None:
        self._transactions = transactions
        self.answers: list[tuple[float, Any]] = []
        self._stop = threading.Event()
        names = list(fleet.vms)
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(caller_at(fleet, names[n % len(names)], **options), n),
                daemon=True,
            )
            for n in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, caller: Any, number: int) -> None:
        while not self._stop.is_set():
            answer = self._send(caller, number)
            self.answers.append((time.monotonic(), answer))
            if not answer.done:
                caller.roam()
                time.sleep(min(answer.retry_after_ms, 200) / 1000)

    def _send(self, caller: Any, number: int) -> Any:
        try:
            if number % 4 == 0 and self._transactions:
                return self._transaction(caller)
            if number % 4 <= 1:
                return caller.write(GROUP, WRITE, ["x"])
            return caller.read(GROUP, READ)
        except OSError:
            # A VM that is down opened no session.
            caller.roam()
            time.sleep(0.05)
            return self._send(caller, number)

    def _transaction(self, caller: Any) -> Any:
        begun = caller.begin(GROUP)
        if not begun.done:
            return begun
        wrote = caller.statement(GROUP, begun.transaction, WRITE, ["y"])
        if not wrote.done:
            return wrote
        return caller.commit(GROUP, wrote.transaction)

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(timeout=10)

    def done_since(self, instant: float) -> int:
        return sum(at >= instant and a.done for at, a in self.answers)


def begin_fleet(context: Any, vms: int, **options: Any) -> Fleet:
    changes = options.pop("estate", {})
    estate = dataclasses.replace(SMALL, schema=SCHEMA, **changes)
    fleet = Fleet(topology=estate, vms=vms, **options)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    fleet.wait_serving()
    return fleet


def begin_load(context: Any, threads: int, **options: Any) -> None:
    context.load = Load(context.fleet, threads, **options)
    context.add_cleanup(context.load.stop)


@given(
    "a limits fleet of {vms:d} VMs with {slots:d} slots "
    "and {count:d} connections"
)
def given_fleet(context: Any, vms: int, slots: int, count: int) -> None:
    begin_fleet(
        context,
        vms,
        links=True,
        settings={"timing": TIMING},
        estate={"slots": slots, "connections": count, "statement_ms": 3},
    )


@given(
    "a limits fleet whose row allows {slots:d} slot and {count:d} connections"
)
def given_row(context: Any, slots: int, count: int) -> None:
    row = {"max_slots": slots, "max_connections": count}
    begin_fleet(
        context, 3, table_rows={GROUP: row}, estate={"statement_ms": 3}
    )


@when("there is load while holders leave, die and come back")
def when_changes(context: Any) -> None:
    fleet = context.fleet
    first, second, _third = fleet.holders(GROUP)
    begin_load(context, 12)
    time.sleep(1.0)
    fleet.publish_vms(without=[first])
    time.sleep(1.0)
    fleet.kill(second)
    fleet.publish_vms(without=[first, second])
    time.sleep(GRACE_MS / 1000 + 2.0)
    fleet.restart(second)
    fleet.publish_vms()
    time.sleep(2.0)
    context.changed_at = time.monotonic()
    time.sleep(2.0)
    context.load.stop()


@when("there is load for {seconds:d} seconds")
def when_load(context: Any, seconds: int) -> None:
    begin_load(context, 8)
    time.sleep(seconds)
    context.load.stop()
    assert context.load.done_since(0.0) > 0


@then("no target has refused a slot or a connection")
def then_none_refused(context: Any) -> None:
    for name in context.fleet.targets:
        found = context.fleet.counters(name)
        for key in ("refused_slots", "refused_connections"):
            assert found.get(key, 0) == 0, (name, found)


@then(
    "no target has had more than {slots:d} slots "
    "or {count:d} connections in use"
)
def then_peaks(context: Any, slots: int, count: int) -> None:
    for name in context.fleet.targets:
        found = context.fleet.counters(name)
        assert found.get("peak_slots", 0) <= slots, (name, found)
        assert found.get("peak_connections", 0) <= count, (name, found)


@then("statements were done after the last change")
def then_done(context: Any) -> None:
    done = context.load.done_since(context.changed_at)
    assert done > 10, f"{done} of {len(context.load.answers)}"


# Overload.


@given("an overload fleet whose statements take {milliseconds:d} ms")
def given_overload(context: Any, milliseconds: int) -> None:
    begin_fleet(context, 3, estate={"statement_ms": milliseconds})


@when("caller flood sends {rate:d} reads a second for {seconds:d} seconds")
def when_flood(context: Any, rate: int, seconds: int) -> None:
    # Imported here, because only this step needs the load tool.
    from bamboospring import load

    plan = load.LoadPlan(
        entries=tuple(context.fleet.entries()),
        group=GROUP,
        rate=rate,
        seconds=seconds,
        callers=300,
        caller="flood",
        read_sql=READ,
        deadline_ms=500,
    )
    context.flood = None

    def run() -> None:
        context.flood = load.run(plan)

    context.flooder = threading.Thread(target=run, daemon=True)
    context.flooder.start()
    time.sleep(1.0)


@when("caller quiet sends one read after the other meanwhile")
def when_quiet(context: Any) -> None:
    quiet = caller_at(
        context.fleet, next(iter(context.fleet.vms)), name="quiet"
    )
    prober = caller_at(
        context.fleet, next(iter(context.fleet.vms)), name="flood"
    )
    context.quiet, context.probes = [], []
    while context.flooder.is_alive():
        context.quiet.append(quiet.read(GROUP, READ))
        prober.deadline_ms = 100
        context.probes.append(prober.read(GROUP, READ))
        time.sleep(0.02)
    context.flooder.join(timeout=30)


@then("at least {percent:d} percent of the reads of quiet are done")
def then_quiet_done(context: Any, percent: int) -> None:
    done = sum(answer.done for answer in context.quiet)
    count = len(context.quiet)
    assert count >= 10, count
    assert done >= count * percent / 100, f"{done} of {count}"


@then("at least half of the refusals of flood came within {limit:d} ms")
def then_refusals_fast(context: Any, limit: int) -> None:
    result = context.flood
    assert result.outcomes["overloaded"] > 100, result.outcomes
    assert result.percentile("overloaded", 50) <= limit, result.summary()


@then("each refusal that quiet or a prober saw says when to retry")
def then_retry_after(context: Any) -> None:
    refused = [
        answer
        for answer in context.quiet + context.probes
        if answer.outcome == "overloaded"
    ]
    assert refused
    assert all(answer.retry_after_ms > 0 for answer in refused), refused


# Unresponsive connections.


@given("a silent fleet under a light load")
def given_silent(context: Any) -> None:
    fleet = begin_fleet(context, 3, links=True)
    context.primary = fleet.primary(GROUP)
    context.term = fleet.probe(context.primary)["term"]
    begin_load(context, 6, transactions=False, deadline_ms=1000)
    time.sleep(2.0)


@when("all connections to {which} go silent")
def when_silent(context: Any, which: str) -> None:
    fleet = context.fleet
    name = fleet.replicas(GROUP)[0]
    if which == "the primary":
        name = context.primary
    context.silenced = name
    context.opened = fleet.counters(name)["opened_connections"]
    context.silent_at = time.monotonic()
    fleet.set_link_mode(f"target:{name}", "silent")


@when("the load stops and all connections to the primary go silent")
def when_idle_silent(context: Any) -> None:
    context.load.stop()
    when_silent(context, "the primary")


@then("{seconds:d} seconds later the first write through each VM is done")
def then_first_writes(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    for name in context.fleet.vms:
        caller = caller_at(context.fleet, name, deadline_ms=1000)
        answer = caller.write(GROUP, WRITE, ["z"])
        assert answer.done, (name, answer)


@then("that replica serves reads again within {seconds:d} seconds")
def then_serves_again(context: Any, seconds: int) -> None:
    def served() -> bool:
        # Reads in flight when the link stopped passing data do not count.
        since = context.silent_at + 1.5
        return any(
            at >= since and a.done and a.target == context.silenced
            for at, a in list(context.load.answers)
        )

    wait_until(served, seconds=seconds, what="reads at the replica")
    time.sleep(2.0)
    context.load.stop()


@then("writes are done again within {seconds:d} seconds")
def then_writes_again(context: Any, seconds: int) -> None:
    caller = caller_at(context.fleet, next(iter(context.fleet.vms)))

    def done() -> bool:
        return bool(caller.write(GROUP, WRITE, ["z"]).done)

    wait_until(done, seconds=seconds, what="a write")
    time.sleep(2.0)
    context.load.stop()


@then("it got at most {count:d} new connections for it")
def then_no_storm(context: Any, count: int) -> None:
    found = context.fleet.counters(context.silenced)
    opened = found["opened_connections"] - context.opened
    assert opened <= count, f"{opened} new connections"


@then("the group's term is still the same")
def then_same_term(context: Any) -> None:
    now = context.fleet.object("group", GROUP)["value"]["term"]
    assert now == context.term, f"term {now}, was {context.term}"


# Decisions about opening connections.


@dataclasses.dataclass
class Conn:
    last_response_at: float


def lose_and_reopen(events: list[tuple[str, float]]) -> None:
    """Simulate losses and openings; check the share and the interval."""
    timing = ConnectionTiming(open_interval=0.02)
    connections = ConnectionTracker[Conn](timing=timing, limit=6)
    now, opened_at = 0.0, []
    for kind, draw in [("wait", 0.5)] * 30 + events:
        now += 0.004
        while connections.open_delay(now, 20) == 0.0:
            connections.record_opening(now, draw=draw)
            opened_at.append(now)
        if kind == "opened" and connections.opening:
            connections.add_opened(Conn(now))
        elif kind == "failed" and connections.opening:
            connections.record_open_failed()
        elif kind == "lost":
            connections.take_all_idle()
        elif kind == "smaller":
            connections.set_limit(2)
        elif kind == "larger":
            connections.set_limit(6)
        limit = max(connections.limit, connections.opening)
        assert connections.total <= limit, connections
    for first, second in zip(opened_at, opened_at[1:]):
        assert second - first >= 0.01 - 1e-9, (first, second)


@then("no explored loss opens connections faster than the pace or the share")
def then_paced(context: Any) -> None:
    kinds = ["opened", "opened", "failed", "lost", "wait", "smaller", "larger"]
    event = st.tuples(st.sampled_from(kinds), st.floats(0.0, 1.0))

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @for_all(st.lists(event, min_size=20, max_size=120))
    def check(events: list[tuple[str, float]]) -> None:
        lose_and_reopen(events)

    check()
