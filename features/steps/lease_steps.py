"""Steps of lease.feature, with real processes."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import GROUP
from fleet_support import start_fleet

from bamboospring.rendezvous import bucket_of
from bamboospring.testing.fleet import wait_until

BUCKET = str(bucket_of(GROUP))
DURATION = 3.0


def lease(context: Any) -> dict[str, Any]:
    """Return the group's lease object from the platform."""
    return context.fleet.object("lease", BUCKET)


def holder(context: Any) -> str:
    """Return the VM that the lease names."""
    return str(lease(context)["value"]["vm"])


@given("a lease fleet")
def lease_fleet(context: Any) -> None:
    start_fleet(context)
    wait_until(lambda: holder(context), seconds=20, what="a lease")
    wait_until(
        lambda: lease(context)["version"] >= 3, seconds=20, what="renewals"
    )
    context.holder = holder(context)


def wait_renewal(context: Any) -> None:
    """Wait until just after a renewal."""
    version = lease(context)["version"]
    wait_until(
        lambda: lease(context)["version"] > version,
        seconds=5,
        what="a renewal",
    )


@when("the lease's holder is killed")
def kill_holder(context: Any) -> None:
    wait_renewal(context)
    context.fleet.kill(context.holder)
    context.stopped_at = time.monotonic()


@when("the lease's holder is frozen")
def freeze_holder(context: Any) -> None:
    wait_renewal(context)
    context.fleet.freeze(context.holder)
    context.stopped_at = time.monotonic()


@when("the lease's holder is told to leave")
def leave_holder(context: Any) -> None:
    wait_renewal(context)
    context.fleet.terminate(context.holder)


@then("another VM takes the lease within 2.8 seconds")
def taken_soon(context: Any) -> None:
    wait_until(
        lambda: holder(context) not in ("", context.holder),
        seconds=2.8,
        what="another holder",
    )


@then("another VM takes the lease, not before it expired")
def another_takes(context: Any) -> None:
    wait_until(
        lambda: holder(context) != context.holder,
        seconds=15,
        what="another holder",
    )
    # The last renewal was up to one poll before the fault.
    elapsed = time.monotonic() - context.stopped_at
    assert elapsed >= DURATION - 0.2, elapsed
    context.new_holder = holder(context)


@when("the frozen lease holder resumes")
def resume_holder(context: Any) -> None:
    context.fleet.thaw(context.holder)


@then("the lease stays with the VM that took it")
def lease_stays(context: Any) -> None:
    end = time.monotonic() + 4
    while time.monotonic() < end:
        assert holder(context) == context.new_holder
        time.sleep(0.1)


@when("the platform is down for {seconds:d} second under the lease")
@when("the platform is down for {seconds:d} seconds under the lease")
def platform_away(context: Any, seconds: int) -> None:
    context.before = lease(context)
    context.fleet.set_platform_faults(outage="refuse")
    time.sleep(seconds)
    context.fleet.set_platform_faults(outage="none")


@then("the lease is renewed by the same VM")
def renewed_by_same(context: Any) -> None:
    version = lease(context)["version"]
    wait_until(
        lambda: lease(context)["version"] >= version + 3,
        seconds=10,
        what="renewals",
    )
    assert holder(context) == context.before["value"]["vm"]


@then("exactly one VM renews the lease afterwards")
def one_renews(context: Any) -> None:
    version = lease(context)["version"]
    wait_until(
        lambda: lease(context)["version"] >= version + 2,
        seconds=15,
        what="renewals",
    )
    new_holder = holder(context)
    for _ in range(30):
        assert holder(context) == new_holder
        time.sleep(0.1)


@then(
    "in 5 seconds the leases cost at most {writes:d} writes and {reads:d} "
    "reads a second"
)
def lease_calls(context: Any, writes: int, reads: int) -> None:
    time.sleep(2)
    first = context.fleet.counters("platform")
    time.sleep(5)
    last = context.fleet.counters("platform")

    def rate(kind: str) -> float:
        before = first[kind].get("lease", 0)
        return float(last[kind]["lease"] - before) / 5

    assert rate("writes") <= writes, rate("writes")
    assert rate("reads") <= reads, rate("reads")
