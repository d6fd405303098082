"""Exploration of shares, with holders that depend on the names of groups.

The VMs are in one zone, where all five may hold a group. With each seeded
fault, the exploration must find an order of events that exceeds the limit.
"""

from __future__ import annotations

from contextlib import ExitStack
import dataclasses
import functools
import random
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st
import shares_steps

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_possible_holders
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import rank_vms
from bamboospring.shares import GroupShares
from bamboospring.shares import VmListMonitor

GROUP = "journal-6"
NAMES = shares_steps.NAMES
VMS = {
    name: Vm(name=name, address="", availability_zone="zone-a")
    for name in NAMES
}


# As more of these groups become known, other VMs are skipped.
OTHERS = random.Random(0).sample([f"group-{n}" for n in range(60)], 40)
KNOWN = (0, 9, 13, 20, 30)


@functools.cache
def holders_of(listed: frozenset[str], step: int) -> tuple[str, ...]:
    vms = [VMS[name] for name in sorted(listed)]
    names = [GROUP, *OTHERS[: KNOWN[step]]] if step else []
    placement = Placement(vms, names)
    return tuple(vm.name for vm in placement.holders(GROUP))


def all_asked(listed: frozenset[str]) -> frozenset[str]:
    return choose_possible_holders(GROUP, VMS.values(), listed)


def best_three(listed: frozenset[str]) -> frozenset[str]:
    return frozenset(vm.name for vm in rank_vms(GROUP, VMS.values())[:3])


class NamesFleet(shares_steps.Fleet):
    """VMs that learn the names of groups at different times."""

    asked = staticmethod(all_asked)

    def publish(self, listed: frozenset[str]) -> None:
        super().publish(listed or self.lists[-1])

    @precondition(lambda self: len(self.lists[-1]) > 1)
    @rule(name=st.sampled_from(NAMES))
    def leave(self, name: str) -> None:
        if name in self.lists[-1]:
            self.join_or_leave(name=name)

    @rule(name=st.sampled_from(NAMES))
    def learn(self, name: str) -> None:
        process = self.running(name)
        if process is not None and process.seen >= 0:
            step = getattr(process, "step", 0)
            process.step = min(step + 1, len(KNOWN) - 1)
            self.choose(process)

    @rule(name=st.sampled_from(NAMES), skip=st.integers(0, 1))
    def see_list(self, name: str, skip: int) -> None:
        process = self.running(name)
        if process is None or name in self.cut:
            return
        newest = len(self.lists) - 1
        if skip and self.now - self.listed_at[newest] < shares_steps.LAG:
            newest -= 1
        process.seen = max(process.seen, newest)
        process.watch.update(
            now=self.now,
            revision=process.seen + 1,
            listed=self.lists[process.seen],
        )
        self.choose(process)

    def choose(self, process: Any) -> None:
        listed = self.lists[process.seen]
        process.shares.update(
            now=self.now,
            holders=holders_of(listed, getattr(process, "step", 0)),
            peers=self.asked(listed),
            limits=shares_steps.limits_of(shares_steps.LIMIT),
        )


class AskingTooFew(NamesFleet):
    """A fault: only the three highest-ranked VMs are asked for shares."""

    asked = staticmethod(best_three)


FAULTS: dict[str, tuple[type[NamesFleet], dict[str, Any]]] = {
    "only the best three VMs of a zone are asked": (AskingTooFew, {}),
    "any holders are agreed to": (
        NamesFleet,
        {"answer": shares_steps.agree_to_all},
    ),
    "a share is kept when names change": (
        NamesFleet,
        shares_steps.FAULTS["a share is kept after a change"],
    ),
}


def explore(machine: type[NamesFleet], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            print_blob=False,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("no explored order of names and lists exceeds the limit")
def then_within_limit(context: Any) -> None:
    listed = frozenset(NAMES)
    chosen = {holders_of(listed, step) for step in range(len(KNOWN))}
    assert len(chosen) > 2, chosen
    explore(NamesFleet, 400)


@then("the exploration of names fails when {fault}")
def then_caught(context: Any, fault: str) -> None:
    machine, broken = FAULTS[fault]
    with ExitStack() as stack:
        for name, replacement in broken.items():
            patch = mock.patch.object(GroupShares, name, replacement)
            stack.enter_context(patch)
        try:
            explore(machine, 3000)
        except AssertionError as exc:
            assert "connections in use" in str(exc), exc
            return
    raise AssertionError(f"not caught: {fault}")


@given("a VM that has seen a list which leaves it out")
def given_left(context: Any) -> None:
    context.watch = VmListMonitor(
        local_vm_name="a", timing=shares_steps.TIMING
    )
    context.watch.update(now=0.0, revision=1, listed=frozenset("ab"))
    context.watch.update(now=0.5, revision=2, listed=frozenset("b"))


@when("it hears nobody for longer than the isolation time")
def when_silent(context: Any) -> None:
    for step in range(1, 6):
        context.watch.tick(now=0.5 + step * 0.5)


@given("a VM that is alone on its list, and one that is always alone")
def given_alone(context: Any) -> None:
    timing = shares_steps.TIMING
    context.watch = VmListMonitor(local_vm_name="a", timing=timing)
    single = dataclasses.replace(timing, single_vm=True)
    context.single = VmListMonitor(local_vm_name="a", timing=single)
    for watch in (context.watch, context.single):
        watch.update(now=0.0, revision=1, listed=frozenset("a"))


@when("they hear nobody for longer than the isolation time")
def when_both_silent(context: Any) -> None:
    for watch in (context.watch, context.single):
        for step in range(1, 6):
            watch.tick(now=step * 0.5)


@then("the one alone by chance gives up its shares and the other goes on")
def then_one_goes_on(context: Any) -> None:
    assert context.watch.is_isolated
    assert not context.single.is_isolated


@then("it gives up its shares")
def then_gives_up(context: Any) -> None:
    assert context.watch.is_isolated
