"""Deterministic exploration of one lease and three candidates.

The real `LeaseKeeper` runs on clocks of different rates. Calls are lost or
take effect late, or their answers are late; a VM is paused, restarted or told
to leave; the platform is restored from an older copy.
Checked: at most one VM considers itself the holder at any instant, and a VM
gets the lease once calls succeed again.

`MUTATIONS` lists the faults that the exploration must find;
features/exploration.feature runs each.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st

from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ObservedLease
from bamboospring.lease import ReadLease
from bamboospring.lease import WriteLease
from bamboospring.store_version import era_of
from bamboospring.store_version import revision_of
from bamboospring.store_version import version_of

__all__ = ["MUTATIONS", "explore_leases"]

TIMING = LeaseTiming()
# The safety margin must cover this difference of clock rates. The slowest
# clock is last in rank, so that the stagger delay of its successors gives it
# no more time.
RATES = (1.05, 1.0, 0.95)
EMPTY = LeaseValue(vm="", nonce="", duration=0.0)
WHICH = st.integers(0, len(RATES) - 1)


class SimPlatform:
    """One object with conditional updates and the history of its values."""

    def __init__(self) -> None:
        self.era = 1
        self.states = [EMPTY]

    @property
    def revision(self) -> int:
        return len(self.states) - 1

    def put(self, action: WriteLease) -> bool:
        if self.revision != revision_of(action.if_version):
            return False
        self.states.append(action.value)
        return True

    def seen(self) -> ObservedLease:
        version = version_of(era=self.era, revision=self.revision)
        return ObservedLease(
            version=version, value=self.states[-1], missing_in_era=self.era
        )

    def restore(self, writes: int) -> None:
        """Lose the newest updates, except the one that created the object."""
        self.era += 1
        self.states = self.states[: max(2, len(self.states) - writes)]


@dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """A call in flight; its effect and its answer occur independently."""

    vm: SimVm
    action: ReadLease | WriteLease
    sent_at: float
    took_effect: bool = False
    answered: bool = False
    era: int = 0
    done: bool = False
    seen: ObservedLease | None = None


class SimVm:
    """One candidate with its own clock."""

    def __init__(self, name: str, rank: int, rate: float) -> None:
        self.name = name
        self.rank: int | None = rank
        self.rate = rate
        self.runs = 0
        self.paused = False
        self.keeper = self._keeper()

    def _keeper(self) -> LeaseKeeper:
        nonce = f"{self.name}-{self.runs}"
        return LeaseKeeper(bucket=0, vm=self.name, nonce=nonce, timing=TIMING)

    def restart(self) -> None:
        self.runs += 1
        self.paused = False
        self.keeper = self._keeper()


class LeaseMachine(RuleBasedStateMachine):
    """Interleave the events of calls and VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.platform = SimPlatform()
        self.calls: list[Call] = []
        self.vms = [
            SimVm(f"vm-{rank}", rank, rate) for rank, rate in enumerate(RATES)
        ]

    def _step(self, vm: SimVm) -> None:
        if vm.paused:
            return
        now = self.now * vm.rate
        action = vm.keeper.step(now, vm.rank)
        if action is not None:
            self.calls.append(Call(vm=vm, action=action, sent_at=now))

    def _effect(self, call: Call) -> None:
        if call.took_effect:
            return
        call.took_effect = True
        call.era = self.platform.era
        if isinstance(call.action, WriteLease):
            call.done = self.platform.put(call.action)
        call.seen = self.platform.seen()

    def _answer(self, call: Call) -> None:
        """Deliver the answer, or a missing one if the call had no effect."""
        if call.answered or call.vm.paused:
            return
        call.answered = True
        keeper, now = call.vm.keeper, self.now * call.vm.rate
        seen, action = call.seen, call.action
        if seen is None or call.done and self._of_another_era(call):
            keeper.on_no_answer(call.sent_at, now, action)
        elif call.done and isinstance(action, WriteLease):
            keeper.on_stored(call.sent_at, now, action, seen.version)
        elif isinstance(action, WriteLease):
            keeper.on_conflict(call.sent_at, now, seen)
        else:
            keeper.on_read(call.sent_at, now, seen)

    def _of_another_era(self, call: Call) -> bool:
        """Return whether the update was conditional on an earlier era.

        The platform client then reports that the outcome is unknown.
        """
        action = call.action
        if not isinstance(action, WriteLease) or not action.if_version:
            return False
        return era_of(action.if_version) != call.era

    def _finish(self, call: Call, *, effect: bool, answer: bool) -> None:
        if effect:
            self._effect(call)
        if answer:
            self._answer(call)
        if call.answered and call.took_effect and call in self.calls:
            self.calls.remove(call)

    @rule(rounds=st.integers(1, 30))
    def run_without_faults(self, rounds: int) -> None:
        for _ in range(rounds):
            self._advance(0.1)
            for call in list(self.calls):
                self._finish(call, effect=True, answer=True)

    @rule(chances=st.randoms(use_true_random=False))
    def run_in_disorder(self, chances: Random) -> None:
        """Lose calls, delay their effects and delay their answers."""
        for _ in range(60):
            self._advance(0.1)
            for call in list(self.calls):
                self._finish(
                    call,
                    effect=chances.random() < 0.3,
                    answer=chances.random() < 0.2,
                )

    @rule(rounds=st.integers(0, 30))
    def stop_last_in_rank(self, rounds: int) -> None:
        """Let the VM with the slowest clock lead, then pause it."""
        first, second, last = self.vms
        first.paused = second.paused = True
        last.paused = False
        last.rank = 2
        self.run_without_faults(45)
        first.paused = second.paused = False
        self.run_without_faults(rounds)
        last.paused = True
        self.run_without_faults(45)

    @rule(rounds=st.integers(20, 34))
    def resume_to_late_answer(self, rounds: int) -> None:
        """Pause the holder between a renewal's effect and its answer."""
        self.run_without_faults(10)
        for _ in range(12):
            self._advance(0.1)
            for call in list(self.calls):
                if not isinstance(call.action, WriteLease):
                    self._finish(call, effect=True, answer=True)
                    continue
                self._effect(call)
                call.vm.paused = True
        self.run_without_faults(rounds)
        for vm in self.vms:
            vm.paused = False
        self.run_without_faults(10)

    @rule(writes=st.integers(0, 12), rounds=st.integers(0, 20))
    def restore_older_copy(self, writes: int, rounds: int) -> None:
        """Lose the newest updates while VMs rely on them."""
        self.platform.restore(writes)
        self.run_without_faults(rounds)

    @rule(pause=st.integers(0, 30), writes=st.integers(1, 30))
    def restore_while_holder_paused(self, pause: int, writes: int) -> None:
        """Change the holder, and lose the update that changed it."""
        self.run_without_faults(45)
        for vm in self.vms:
            vm.paused = vm.keeper.holds(self.now * vm.rate)
        self.run_without_faults(40 + pause)
        self.platform.restore(writes)
        for vm in self.vms:
            vm.paused = False
        self.run_without_faults(45)

    def _advance(self, seconds: float) -> None:
        self.now += seconds
        for vm in self.vms:
            self._step(vm)
        self._check()

    @rule(which=WHICH)
    def pause_or_resume(self, which: int) -> None:
        self.vms[which].paused = not self.vms[which].paused

    @rule(which=WHICH)
    def restart(self, which: int) -> None:
        vm = self.vms[which]
        self.calls = [call for call in self.calls if call.vm is not vm]
        vm.restart()

    @rule(which=WHICH)
    def leave_or_return(self, which: int) -> None:
        vm = self.vms[which]
        vm.rank = which if vm.rank is None else None

    def _check(self) -> None:
        leaders = [
            vm.name for vm in self.vms if vm.keeper.holds(self.now * vm.rate)
        ]
        assert len(leaders) <= 1, f"two hold the lease: {leaders}"

    def teardown(self) -> None:
        """Check that a VM gets the lease once all faults have ended."""
        for rank, vm in enumerate(self.vms):
            vm.paused = False
            vm.rank = rank
        self.run_without_faults(30)
        self.run_without_faults(30)
        holds = [vm.keeper.holds(self.now * vm.rate) for vm in self.vms]
        assert any(holds), "no VM gets the lease"


def _stored_from_answer(
    keeper: LeaseKeeper,
    sent_at: float,
    now: float,
    action: WriteLease,
    version: int,
) -> None:
    _STORED(keeper, now, now, action, version)


def _forget_unanswered(
    keeper: LeaseKeeper, sent_at: float, now: float, action: Any
) -> None:
    """Treat an unanswered renewal as successful."""
    if isinstance(action, WriteLease) and action.value.vm:
        _STORED(keeper, sent_at, now, action, action.if_version + 1)
    else:
        _UNANSWERED(keeper, sent_at, now, action)


def _available_as_stored(keeper: LeaseKeeper) -> float:
    """Ignore that the store may show an older state."""
    value = keeper._observed.value
    return keeper._observed_at + (value.duration if value.vm else 0.0)


_STORED = LeaseKeeper.on_stored
_UNANSWERED = LeaseKeeper.on_no_answer

MUTATIONS: dict[str, tuple[str, Callable[..., Any]]] = {
    "ignore_lease_margin": (
        "holds",
        lambda keeper, now: now < keeper.valid_until,
    ),
    "count_lease_from_answer": ("on_stored", _stored_from_answer),
    "take_lease_too_early": (
        "_available_at",
        lambda keeper: keeper._observed_at + 1.0,
    ),
    "trust_unanswered_renewal": ("on_no_answer", _forget_unanswered),
    "renew_lease_of_earlier_era": (
        "_is_renewable",
        lambda keeper, now: keeper._is_own(),
    ),
    "take_lease_of_earlier_era": ("_available_at", _available_as_stored),
}


def explore_leases(
    mutation: str = "",
    *,
    examples: int,
    steps: int = 20,
    seed: int | None = None,
) -> None:
    """Run the machine; raises AssertionError when an invariant breaks."""
    found = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    if not mutation:
        run_state_machine_as_test(LeaseMachine, settings=found)
        return
    name, replacement = MUTATIONS[mutation]
    machine = hypothesis.seed(seed)(type("SeededMachine", (LeaseMachine,), {}))
    with mock.patch.object(LeaseKeeper, name, replacement):
        run_state_machine_as_test(machine, settings=found)
