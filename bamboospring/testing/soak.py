"""A soak test: callers and random faults on a fleet, then a consistency check.

    python -m bamboospring.testing.soak --seconds 40 --seed 1

Callers write, read back, transfer between accounts and retry unknown outcomes
with the same key, switching between entries. Meanwhile targets and VMs are
killed, suspended and disconnected and the platform fails, with one or two
faults at a time. Finally every answer is compared with the data of its group.
The seed determines the schedule of faults, not the interleaving of processes.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import random
import sys
import threading
import time
from typing import Any

from bamboospring.testing.caller import Caller
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.planned_work import PlannedWork
from bamboospring.testing.topology import CARPATICA

__all__ = ["AnswerLog", "check_answers", "run_soak"]

ACCOUNTS = 8
OPENING_BALANCE = 1000
MAX_KEYED_ATTEMPTS = 40
DEADLINE_MS = 1500
FAULT_SECONDS = (0.5, 3.5)
PAUSE_SECONDS = (1.0, 2.5)
SETTLE_TIMEOUT = 20.0

SCHEMA = (
    "CREATE TABLE soak_entry (id TEXT NOT NULL)",
    "CREATE TABLE soak_account (id INTEGER PRIMARY KEY, balance INTEGER)",
)


@dataclass(slots=True, kw_only=True)
class AnswerLog:
    """The answers that callers received, by group and id of the entry.

    `attempted`, `acknowledged` and `not_run` hold pairs of a group and the id
    of an entry.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    acknowledged: set[tuple[str, str]] = field(default_factory=set)
    not_run: set[tuple[str, str]] = field(default_factory=set)
    attempted: set[tuple[str, str]] = field(default_factory=set)
    missing_own_writes: list[str] = field(default_factory=list)
    isolation_violations: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)

    def record(self, group: str, entry: str, answer: CallerAnswer) -> None:
        """Record the answer to the only attempt to write an entry."""
        with self.lock:
            self.attempted.add((group, entry))
            self.answers[f"{answer.outcome}:{answer.reason}"] += 1
            if answer.done:
                self.acknowledged.add((group, entry))
            elif answer.outcome in ("not_run", "overloaded"):
                self.not_run.add((group, entry))

    def count_answer(self, operation: str, answer: CallerAnswer) -> None:
        """Count an answer that does not decide whether an entry exists."""
        with self.lock:
            self.answers[f"{operation}:{answer.outcome}:{answer.reason}"] += 1


class _Worker(threading.Thread):
    """One caller with one session."""

    def __init__(
        self, *, number: int, fleet: Fleet, answer_log: AnswerLog, seed: int
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.answer_log = answer_log
        self.stop_requested = threading.Event()
        self.rng = random.Random(f"{seed}/{number}")
        self.groups = fleet.topology.groups
        self.caller = Caller(
            entries=fleet.entries(),
            name=f"soak-{number}",
            deadline_ms=DEADLINE_MS,
            entry_index=number,
        )

    def run(self) -> None:
        serial = 0
        while not self.stop_requested.is_set():
            serial += 1
            group = self.rng.choice(self.groups)
            entry = f"{self.number}-{serial}"
            step = self.rng.choice(
                (
                    self.write_without_key,
                    self.write_with_key,
                    self.transfer_money,
                )
            )
            try:
                step(group, entry)
            except OSError:
                # No session could be opened because the entry is down.
                time.sleep(0.05)
            self.caller.roam()

    def write_without_key(self, group: str, entry: str) -> None:
        """Write once without a key and read the entry back."""
        answer = self.caller.write(
            group, "INSERT INTO soak_entry VALUES (?)", [entry]
        )
        self.answer_log.record(group, entry, answer)
        self.back_off(answer)
        if answer.done:
            self.read_back(group, entry)

    def write_with_key(self, group: str, entry: str) -> None:
        """Write with a key until it is acknowledged, then read it back."""
        for _ in range(MAX_KEYED_ATTEMPTS):
            answer = self.caller.write(
                group, "INSERT INTO soak_entry VALUES (?)", [entry], key=entry
            )
            self.answer_log.count_answer("keyed", answer)
            if answer.done:
                break
            self.back_off(answer)
            self.caller.roam()
        with self.answer_log.lock:
            self.answer_log.attempted.add((group, entry))
            if answer.done:
                self.answer_log.acknowledged.add((group, entry))
        if answer.done:
            self.read_back(group, entry)

    def read_back(self, group: str, entry: str) -> None:
        """Check that another VM returns an acknowledged entry."""
        self.caller.roam()
        answer = self.caller.read(
            group, "SELECT count(*) FROM soak_entry WHERE id = ?", [entry]
        )
        self.answer_log.count_answer("read", answer)
        if answer.done and answer.rows != ((1,),):
            with self.answer_log.lock:
                self.answer_log.missing_own_writes.append(
                    f"{group} {entry}: {answer}"
                )

    def transfer_money(self, group: str, entry: str) -> None:
        """Transfer between two accounts and write an entry."""
        answer = self.caller.begin(group)
        self.answer_log.count_answer("begin", answer)
        if not answer.done:
            self.back_off(answer)
            return
        handle = answer.transaction
        for sql, params in self.transfer_steps(entry):
            answer = self.caller.statement(group, handle, sql, params)
            self.answer_log.count_answer("statement", answer)
            if not answer.done:
                self.caller.rollback(group, handle)
                self.answer_log.record(group, entry, answer)
                return
            self.check_isolation(group, answer)
            handle = answer.transaction or handle
        answer = self.caller.commit(group, handle)
        self.answer_log.record(group, entry, answer)
        if answer.done:
            self.read_back(group, entry)

    def transfer_steps(self, entry: str) -> list[tuple[str, list[Any]]]:
        """Return the statements of one transfer."""
        source, destination = self.rng.sample(range(ACCOUNTS), 2)
        update = "UPDATE soak_account SET balance = balance + ? WHERE id = ?"
        return [
            (update, [-1, source]),
            ("INSERT INTO soak_entry VALUES (?)", [entry]),
            (update, [1, destination]),
            ("SELECT sum(balance) FROM soak_account", []),
        ]

    def check_isolation(self, group: str, answer: CallerAnswer) -> None:
        """Check that the transaction sees the constant sum of all accounts."""
        expected = ((ACCOUNTS * OPENING_BALANCE,),)
        if answer.columns and answer.rows != expected:
            with self.answer_log.lock:
                self.answer_log.isolation_violations.append(
                    f"{group}: {answer.rows}"
                )

    def back_off(self, answer: CallerAnswer) -> None:
        """Wait for the retry delay of an unsuccessful answer."""
        if not answer.done:
            time.sleep(min(0.3, answer.retry_after_ms / 1000) + 0.02)


class _Faults:
    """Injects faults from a seeded schedule and reverts each of them."""

    def __init__(self, *, fleet: Fleet, seed: int, end: float) -> None:
        self.fleet = fleet
        self.rng = random.Random(f"faults/{seed}")
        self.end = end
        self.history: list[str] = []
        self.restart_lock = threading.Lock()

    def run(self) -> None:
        """Inject faults until the end time, with all of them reverted."""
        while time.monotonic() < self.end:
            count = self.rng.choice((1, 1, 2))
            undo_functions = [self.start_fault() for _ in range(count)]
            time.sleep(self.rng.uniform(*FAULT_SECONDS))
            for undo in undo_functions:
                undo()
            time.sleep(self.rng.uniform(*PAUSE_SECONDS))

    def start_fault(self) -> Any:
        """Inject one random fault and return the function that reverts it."""
        kind = self.rng.choice(
            (
                "kill-primary",
                "freeze-primary",
                "cut-primary",
                "kill-replica",
                "kill-vm",
                "freeze-vm",
                "cut-vm",
                "silent-target",
                "platform-down",
                "platform-loses",
                "lag",
                "lose-unsent",
            )
        )
        group = self.rng.choice(self.fleet.topology.groups)
        vm = self.rng.choice(sorted(self.fleet.vms))
        if kind.endswith("primary"):
            name = self.find_primary(group) or f"{group}-m1"
        elif kind.endswith(("replica", "target", "lag", "unsent")):
            members = [t.name for t in self.fleet.members(group)]
            name = self.rng.choice(members)
        else:
            name = vm
        self.history.append(f"{kind} {name}")
        return self.apply_fault(kind, name)

    def apply_fault(self, kind: str, name: str) -> Any:
        fleet = self.fleet
        match kind:
            case "kill-primary" | "kill-replica" | "kill-vm":
                fleet.kill(name)
                return lambda: self.restart(name)
            case "freeze-primary" | "freeze-vm":
                fleet.freeze(name)
                return lambda: fleet.thaw(name)
            case "cut-primary":
                fleet.set_link_mode(f"target:{name}", "cut")
                return lambda: fleet.set_link_mode(f"target:{name}", "pass")
            case "cut-vm":
                fleet.set_link_mode(f"peers:{name}", "cut")
                return lambda: fleet.set_link_mode(f"peers:{name}", "pass")
            case "silent-target":
                fleet.set_link_mode(f"target:{name}", "silent")
                return lambda: fleet.set_link_mode(f"target:{name}", "pass")
            case "platform-down":
                fleet.set_platform_faults(outage="refuse")
                return lambda: fleet.set_platform_faults(outage="none")
            case "platform-loses":
                fleet.set_platform_faults(lose_answers=3)
                return lambda: fleet.set_platform_faults(lose_answers=0)
            case "lose-unsent":
                return self.lose_unreplicated_entries(name)
            case _:
                return self.delay_apply(name)

    def restart(self, name: str) -> None:
        """Restart a killed process; planned work may do so concurrently."""
        with self.restart_lock:
            self.fleet.restart(name)

    def lose_unreplicated_entries(self, name: str) -> Any:
        """Kill a primary whose newest entries no replica has received.

        The proxy must not have forwarded the answers to these entries.
        """
        fleet = self.fleet
        group = name.rsplit("-m", 1)[0]
        primary = self.find_primary(group)
        for other in fleet.members(group):
            self.try_set_target(other.name, receive_lag_ms=400)
        time.sleep(0.3)
        if primary:
            fleet.kill(primary)

        def undo() -> None:
            if primary:
                self.restart(primary)
            for other in fleet.members(group):
                self.try_set_target(other.name, receive_lag_ms=0)

        return undo

    def find_primary(self, group: str) -> str:
        """Return a group's primary, empty if the platform is unavailable."""
        try:
            return self.fleet.primary(group)
        except OSError:
            return ""

    def try_set_target(self, name: str, **settings: Any) -> None:
        """Change a target's settings if it can be reached."""
        try:
            self.fleet.set_target(name, **settings)
        except OSError:
            pass

    def delay_apply(self, name: str) -> Any:
        self.try_set_target(name, apply_lag_ms=800)
        return lambda: self.try_set_target(name, apply_lag_ms=0)


def check_answers(fleet: Fleet, answer_log: AnswerLog) -> list[str]:
    """Return the violations, comparing answers with the groups' data."""
    violations = [
        f"own write not visible: {each}"
        for each in answer_log.missing_own_writes
    ]
    violations += [
        f"transactions not isolated: {each}"
        for each in answer_log.isolation_violations
    ]
    for group in fleet.topology.groups:
        primary = fleet.primary(group)
        counts = Counter(
            row[0] for row in fleet.query(primary, "SELECT id FROM soak_entry")
        )
        ((total,),) = fleet.query(
            primary, "SELECT sum(balance) FROM soak_account"
        )
        if total != ACCOUNTS * OPENING_BALANCE:
            violations.append(f"{group}: the accounts add up to {total}")
        violations += _compare_group(group, counts, answer_log)
    return violations


def _compare_group(
    group: str, counts: Counter[str], answer_log: AnswerLog
) -> list[str]:
    violations = []
    for entry, count in counts.items():
        if count > 1:
            violations.append(f"{group} {entry}: present {count} times")
        if (group, entry) in answer_log.not_run:
            violations.append(
                f"{group} {entry}: reported as not run, but it ran"
            )
        if (group, entry) not in answer_log.attempted:
            violations.append(f"{group} {entry}: no caller attempted it")
    for other, entry in answer_log.acknowledged:
        if other == group and entry not in counts:
            violations.append(f"{group} {entry}: acknowledged, but missing")
    return violations


def _create_tables(fleet: Fleet) -> None:
    fleet.wait_serving()
    caller = Caller(entries=fleet.entries(), name="setup", deadline_ms=5000)
    for group in fleet.topology.groups:
        rows = ", ".join(
            f"({number}, {OPENING_BALANCE})" for number in range(ACCOUNTS)
        )
        for sql in (*SCHEMA, f"INSERT INTO soak_account VALUES {rows}"):
            answer = caller.write(group, sql)
            if not answer.done:
                raise RuntimeError(f"{sql}: {answer}")


def _is_settled(fleet: Fleet) -> bool:
    caller = Caller(entries=fleet.entries(), name="settle")
    for group in fleet.topology.groups:
        if not fleet.primary(group):
            raise ValueError(f"{group} has no primary")
        answer = caller.write(group, "UPDATE soak_account SET id = id")
        if not answer.done:
            raise ValueError(f"{group}: {answer}")
    return True


def run_soak(
    *,
    seconds: float,
    seed: int,
    workers: int = 8,
    with_operators: bool = False,
) -> tuple[AnswerLog, list[str], list[str]]:
    """Run the soak; return the answers, the faults and the violations.

    With `with_operators`, operators edit the table and restart VMs meanwhile.
    """
    answer_log = AnswerLog()
    with Fleet(topology=CARPATICA, links=True, bootstrap=False) as fleet:
        _create_tables(fleet)
        threads = [
            _Worker(
                number=number, fleet=fleet, answer_log=answer_log, seed=seed
            )
            for number in range(workers)
        ]
        for thread in threads:
            thread.start()
        faults = _Faults(
            fleet=fleet, seed=seed, end=time.monotonic() + seconds
        )
        planned_work: PlannedWork | None = None
        if with_operators:
            planned_work = PlannedWork(
                fleet=fleet, seed=seed, restart_lock=faults.restart_lock
            )
            planned_work.start()
        faults.run()
        if planned_work is not None:
            planned_work.finish()
        for thread in threads:
            thread.stop_requested.set()
        for thread in threads:
            thread.join(MAX_KEYED_ATTEMPTS * (DEADLINE_MS / 1000 + 1.5))
        try:
            wait_until(
                lambda: _is_settled(fleet),
                seconds=SETTLE_TIMEOUT,
                what="all groups to take writes again",
            )
            violations = check_answers(fleet, answer_log)
            if planned_work is not None:
                answer_log.answers.update(planned_work.verdicts)
                violations += planned_work.check()
        except Exception as exc:
            violations = [f"{exc!r}", fleet.tail(30)]
    return answer_log, faults.history, violations


def main() -> None:
    """Run the soak from the command line."""
    import argparse

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--planned", action="store_true", help="with edits and restarts"
    )
    args = parser.parse_args()
    answer_log, history, violations = run_soak(
        seconds=args.seconds, seed=args.seed, with_operators=args.planned
    )
    print("faults:", "; ".join(history))
    for name, count in sorted(answer_log.answers.items()):
        print(f"{count:8d} {name}")
    print(
        f"{len(answer_log.acknowledged)} acknowledged, "
        f"{len(answer_log.not_run)} not run"
    )
    for each in violations[:20]:
        print("WRONG", each)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
