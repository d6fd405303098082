"""Steps of platform.feature."""

from __future__ import annotations

import asyncio
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from configuration_steps import add_seeds
from configuration_support import BackgroundLoad
from configuration_support import GROUP
from configuration_support import Operator
from configuration_support import start_fleet
from configuration_support import TableVersionObserver
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.fact_store import FactStore
from bamboospring.operator_client import OperatorClient
from bamboospring.platform_client import Backoff
from bamboospring.platform_client import FIRST_BACKOFF
from bamboospring.platform_client import VmsFound
from bamboospring.platform_watch import PlatformWatch
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.http_server import Request
from bamboospring.testing.platform import Platform

SHARD = shard_of(GROUP)
# Seconds to wait so that the load of the callers' start does not make the
# outage seem shorter.
SETTLE_SECONDS = 2.0


@given("a fleet of {count:d} VMs for the platform")
def given_fleet(context: Any, count: int) -> None:
    start_fleet(context, vms=count)
    time.sleep(SETTLE_SECONDS)


@given("a fleet of {count:d} VMs under load for the platform")
def given_load(context: Any, count: int) -> None:
    given_fleet(context, count)
    context.load = BackgroundLoad(fleet=context.fleet).start()
    context.add_cleanup(context.load.stop)


def calls(context: Any) -> int:
    """Return the number of calls by VMs, without those of the test."""
    counters = context.fleet.counters("platform")
    return sum(
        number
        for kind in ("reads", "writes")
        for purpose, number in counters[kind].items()
        if purpose != "none"
    )


def fail_for(context: Any, outage: str, seconds: int) -> None:
    before = calls(context)
    context.fleet.set_platform_faults(outage=outage)
    time.sleep(seconds)
    context.calls_a_second = (calls(context) - before) / seconds
    context.fleet.set_platform_faults(outage="none")


@when("the platform refuses every call for {seconds:d} s")
def when_refuses(context: Any, seconds: int) -> None:
    fail_for(context, "refuse", seconds)


@when("the platform answers no call for {seconds:d} s")
def when_hangs(context: Any, seconds: int) -> None:
    fail_for(context, "hang", seconds)


@when("the platform takes {delay:d} ms for each call")
def when_slow(context: Any, delay: int) -> None:
    context.fleet.set_platform_faults(slow_ms=delay)
    time.sleep(5)


@then("no request of the platform load was cut")
def then_not_cut(context: Any) -> None:
    time.sleep(SETTLE_SECONDS)
    context.load.stop()
    assert context.load.failures == [], context.load.failures[:10]
    assert context.load.done > 100 and context.load.transactions > 10


@then("an edit is accepted and in force on all VMs within {seconds:d} s")
def then_edit(context: Any, seconds: int) -> None:
    observer = TableVersionObserver(context.fleet)
    context.add_cleanup(observer.stop)
    operator = Operator(fleet=context.fleet, vm="vm-2")
    end = time.monotonic() + seconds
    report = operator.edit_accepted(GROUP, max_staleness_ms=777)
    remaining = end - time.monotonic()
    (version,) = report["versions"].values()
    observer.wait_in_force(SHARD, version, context.fleet.vms, remaining)
    observer.stop()


@then("in the outage all VMs together made at most {most:d} calls a second")
def then_few_calls(context: Any, most: int) -> None:
    assert context.calls_a_second <= most, context.calls_a_second


@then("in the {seconds:d} s after it no second saw more than {most:d} calls")
def then_few_calls_after_outage(context: Any, seconds: int, most: int) -> None:
    numbers = [calls(context)]
    for _ in range(seconds):
        time.sleep(1)
        numbers.append(calls(context))
    rates = [after - before for before, after in zip(numbers, numbers[1:])]
    assert max(rates) <= most, rates


@when("an edit is in force everywhere and the platform goes down for good")
def when_edit_and_down(context: Any) -> None:
    then_edit(context, 8)
    context.fleet.set_platform_faults(outage="refuse")


@when("a VM is killed and started with the addresses of its peers")
def when_restarted(context: Any) -> None:
    fleet = context.fleet
    context.vm = "vm-4"
    fleet.kill(context.vm)
    add_seeds(fleet, context.vm)
    fleet.restart(context.vm)


@then("the VM has the edit in force and serves within {seconds:d} s")
def then_serves(context: Any, seconds: int) -> None:
    fleet = context.fleet
    operator = Operator(fleet=fleet, vm=context.vm)

    def in_force() -> bool:
        rows = operator.in_force()["rows"]
        return any(row["max_staleness_ms"] == 777 for row in rows)

    wait_until(in_force, seconds=seconds, what="the edit in force")
    caller = Caller(entries=[fleet.vms[context.vm].entry])
    for _ in range(10):
        assert caller.read(GROUP, "SELECT 1").done
        sql = "INSERT INTO entries (body) VALUES ('x')"
        answer = caller.write(GROUP, sql)
        assert answer.done, answer


class _EmptyAnswers(BaseHTTPRequestHandler):
    """Answers each GET request with an empty JSON object."""

    def do_GET(self) -> None:
        self.send_response(200)
        self.end_headers()
        self.wfile.write(b"{}")

    def log_message(self, *_args: Any) -> None:
        """Write no line for each request."""


@given("an operators' listener that opens after {delay:d} ms")
def given_late_listener(context: Any, delay: int) -> None:
    server = HTTPServer(
        ("127.0.0.1", 0), _EmptyAnswers, bind_and_activate=False
    )
    server.server_bind()
    context.operators_listen = f"127.0.0.1:{server.server_port}"

    def serve() -> None:
        time.sleep(delay / 1000)
        server.server_activate()
        server.serve_forever()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)


@then("waiting for its answer succeeds within {seconds:d} s")
def then_answers(context: Any, seconds: int) -> None:
    client = OperatorClient(vms=(context.operators_listen,), token="")
    answer = wait_until(
        lambda: client.call("GET", "/table/in-force"),
        seconds=seconds,
        what="the operators' listener to answer",
    )
    assert answer.status == 200, answer


@then(
    "in {count:d} generated runs waits grow, stay within their limit and "
    "differ"
)
def then_backoff(context: Any, count: int) -> None:
    @settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @generated(
        strategies.lists(strategies.floats(0, 1), min_size=2, max_size=40),
        strategies.floats(0.2, 10),
    )
    def check(random_floats: list[float], max_delay: float) -> None:
        backoff = Backoff(max_delay=max_delay)
        waits = [backoff.record_failure(100.0, each) for each in random_floats]
        for number, (wait, each) in enumerate(zip(waits, random_floats)):
            full = min(max_delay, FIRST_BACKOFF * 2.0 ** min(number, 16))
            assert full / 2 <= wait <= full
            assert abs(wait - full * (0.5 + each / 2)) < 1e-9
        assert backoff.blocked_until == 100.0 + waits[-1]
        backoff.reset()
        assert backoff.record_failure(100.0, 1.0) == min(
            max_delay, FIRST_BACKOFF
        )

    check()


# The list of VMs, with fake interfaces


def listed(count: int) -> tuple[dict[str, str], ...]:
    """Return a list of VMs as the platform returns it."""
    return tuple(
        {"name": f"vm-{number}", "address": f"127.0.0.1:{number}"}
        for number in range(1, count + 1)
    )


@given("a VM that watches the platform, with the list of VMs at revision 7")
def given_watcher(context: Any) -> None:
    context.now = 10.0
    context.asked = []
    local_vm = Vm(
        name="vm-1", address="127.0.0.1:1", availability_zone="zone-a"
    )
    context.board = Blackboard(local_vm=local_vm)
    store = FactStore(
        board=context.board,
        placement=Placement(),
        fire=lambda event: None,
        now=lambda: context.now,
    )

    def vms(on_result: Any, *, purpose: str, after: int) -> None:
        context.asked.append(after)
        context.answer = on_result

    context.watch = PlatformWatch(
        reactor=SimpleNamespace(),
        board=context.board,
        placement=store.placement,
        platform=SimpleNamespace(vms=vms),
        store=store,
        on_groups=lambda found: None,
        vm_list_interval=1.0,
        wait_ms=1000,
    )
    store.apply_vms(7, listed(3))


def answer_vms(context: Any, revision: int, vms: Any) -> None:
    context.watch.read_vms("vms")
    context.now += 1.0
    context.answer(VmsFound(revision=revision, vms=vms))


@when("the platform answers revision {revision:d} and leaves the list out")
def when_left_out(context: Any, revision: int) -> None:
    answer_vms(context, revision, None)


@when(
    "the platform answers revision {revision:d} with a list of {count:d} VMs"
)
def when_whole(context: Any, revision: int, count: int) -> None:
    answer_vms(context, revision, listed(count))


@then("the platform was asked for a list after {revision:d}")
def then_asked(context: Any, revision: int) -> None:
    assert context.asked[-1] == revision, context.asked


@then("the VM has its {count:d} VMs, and the platform counts as read")
def then_read(context: Any, count: int) -> None:
    assert len(context.board.vms) == count, context.board.vms
    assert context.board.vms_confirmed_at == context.now


@then("the VM has its {count:d} VMs, and the platform does not count as read")
def then_not_read(context: Any, count: int) -> None:
    assert len(context.board.vms) == count, context.board.vms
    assert context.board.vms_confirmed_at < context.now


@given("a platform stand-in with its list of VMs at revision 3")
def given_stand_in(context: Any) -> None:
    context.platform = Platform()
    for count in (1, 2, 3):
        context.platform.vms.set(list(listed(count)), 0.0)


def ask_vms(context: Any, query: dict[str, str]) -> Any:
    request = Request(
        method="GET", path=["vms"], query=query, headers={}, body=b""
    )
    return asyncio.run(context.platform.handle(None, request)).body


@then("an asker that has revision 3 is told the revision only")
def then_left_out(context: Any) -> None:
    assert ask_vms(context, {"after": "3"}) == {"revision": 3}


@then("an asker that has revision 1 gets the list")
def then_list(context: Any) -> None:
    assert len(ask_vms(context, {"after": "1"})["vms"]) == 3


@then("an asker that has none gets the list")
def then_first_list(context: Any) -> None:
    assert len(ask_vms(context, {})["vms"]) == 3
