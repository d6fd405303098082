"""Callers and random faults against a whole estate, then the books.

    python -m bamboospring.testing.soak --seconds 40 --seed 1

Callers write, read back, transfer between accounts and repeat what is unknown
under the same key, roaming between entries; meanwhile targets and VMs are
killed, frozen and cut off and the platform fails, one or two faults at once.
Afterwards every answer is held against what the group really has. The seed
fixes the schedule of faults, not how the processes interleave.
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
KEYED_TRIES = 40
DEADLINE_MS = 1500
FAULT_SECONDS = (0.5, 3.5)
PAUSE_SECONDS = (1.0, 2.5)
SETTLE_SECONDS = 20.0

SCHEMA = (
    "CREATE TABLE soak_entry (id TEXT NOT NULL)",
    "CREATE TABLE soak_account (id INTEGER PRIMARY KEY, balance INTEGER)",
)


@dataclass(slots=True, kw_only=True)
class AnswerLog:
    """What the callers were told, by group and id of the entry written."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    acknowledged: set[tuple[str, str]] = field(default_factory=set)
    not_run: set[tuple[str, str]] = field(default_factory=set)
    attempted: set[tuple[str, str]] = field(default_factory=set)
    unseen: list[str] = field(default_factory=list)
    mixed: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)

    def note(self, group: str, entry: str, answer: CallerAnswer) -> None:
        """Keep what was said of an entry that was asked for once."""
        with self.lock:
            self.attempted.add((group, entry))
            self.answers[f"{answer.outcome}:{answer.reason}"] += 1
            if answer.done:
                self.acknowledged.add((group, entry))
            elif answer.outcome in ("not_run", "overloaded"):
                self.not_run.add((group, entry))

    def count(self, what: str, answer: CallerAnswer) -> None:
        """Count an answer that says nothing about an entry."""
        with self.lock:
            self.answers[f"{what}:{answer.outcome}:{answer.reason}"] += 1


class _Worker(threading.Thread):
    """One caller with one session."""

    def __init__(
        self, *, number: int, fleet: Fleet, books: AnswerLog, seed: int
    ) -> None:
        super().__init__(daemon=True)
        self.number = number
        self.books = books
        self.stop = threading.Event()
        self.random = random.Random(f"{seed}/{number}")
        self.groups = fleet.topology.groups
        self.caller = Caller(
            entries=fleet.entries(),
            name=f"soak-{number}",
            deadline_ms=DEADLINE_MS,
            entry_index=number,
        )

    def run(self) -> None:
        serial = 0
        while not self.stop.is_set():
            serial += 1
            group = self.random.choice(self.groups)
            entry = f"{self.number}-{serial}"
            step = self.random.choice((self.once, self.keyed, self.transfer))
            try:
                step(group, entry)
            except OSError:
                # The entry is away: no session could be opened.
                time.sleep(0.05)
            self.caller.roam()

    def once(self, group: str, entry: str) -> None:
        """Write without a key, a single time, and read it back."""
        answer = self.caller.write(
            group, "INSERT INTO soak_entry VALUES (?)", [entry]
        )
        self.books.note(group, entry, answer)
        self.back_off(answer)
        if answer.done:
            self.read_back(group, entry)

    def keyed(self, group: str, entry: str) -> None:
        """Write with a key, again until it is done, and read it back."""
        for _ in range(KEYED_TRIES):
            answer = self.caller.write(
                group, "INSERT INTO soak_entry VALUES (?)", [entry], key=entry
            )
            self.books.count("keyed", answer)
            if answer.done:
                break
            self.back_off(answer)
            self.caller.roam()
        with self.books.lock:
            self.books.attempted.add((group, entry))
            if answer.done:
                self.books.acknowledged.add((group, entry))
        if answer.done:
            self.read_back(group, entry)

    def read_back(self, group: str, entry: str) -> None:
        """Read an acknowledged entry through another VM."""
        self.caller.roam()
        answer = self.caller.read(
            group, "SELECT count(*) FROM soak_entry WHERE id = ?", [entry]
        )
        self.books.count("read", answer)
        if answer.done and answer.rows != ((1,),):
            with self.books.lock:
                self.books.unseen.append(f"{group} {entry}: {answer}")

    def transfer(self, group: str, entry: str) -> None:
        """Move money between two accounts and leave an entry."""
        answer = self.caller.begin(group)
        self.books.count("begin", answer)
        if not answer.done:
            self.back_off(answer)
            return
        handle = answer.transaction
        for sql, params in self.transfer_steps(entry):
            answer = self.caller.statement(group, handle, sql, params)
            self.books.count("statement", answer)
            if not answer.done:
                self.caller.rollback(group, handle)
                self.books.note(group, entry, answer)
                return
            self.check_unmixed(group, answer)
            handle = answer.transaction or handle
        answer = self.caller.commit(group, handle)
        self.books.note(group, entry, answer)
        if answer.done:
            self.read_back(group, entry)

    def transfer_steps(self, entry: str) -> list[tuple[str, list[Any]]]:
        """Return the statements of one transfer."""
        source, sink = self.random.sample(range(ACCOUNTS), 2)
        update = "UPDATE soak_account SET balance = balance + ? WHERE id = ?"
        return [
            (update, [-1, source]),
            ("INSERT INTO soak_entry VALUES (?)", [entry]),
            (update, [1, sink]),
            ("SELECT sum(balance) FROM soak_account", []),
        ]

    def check_unmixed(self, group: str, answer: CallerAnswer) -> None:
        """The sum seen inside, after both halves, is what it always is."""
        expected = ((ACCOUNTS * OPENING_BALANCE,),)
        if answer.columns and answer.rows != expected:
            with self.books.lock:
                self.books.mixed.append(f"{group}: {answer.rows}")

    def back_off(self, answer: CallerAnswer) -> None:
        """Come back when told."""
        if not answer.done:
            time.sleep(min(0.3, answer.retry_after_ms / 1000) + 0.02)


class _Faults:
    """Brings about faults from a seeded schedule and undoes each."""

    def __init__(self, *, fleet: Fleet, seed: int, end: float) -> None:
        self.fleet = fleet
        self.random = random.Random(f"faults/{seed}")
        self.end = end
        self.history: list[str] = []
        self.restarting = threading.Lock()

    def run(self) -> None:
        """Go on until the end, then leave everything whole."""
        while time.monotonic() < self.end:
            count = self.random.choice((1, 1, 2))
            undo = [self.one() for _ in range(count)]
            time.sleep(self.random.uniform(*FAULT_SECONDS))
            for each in undo:
                each()
            time.sleep(self.random.uniform(*PAUSE_SECONDS))

    def one(self) -> Any:
        """Bring about one fault; return what undoes it."""
        kind = self.random.choice(
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
        group = self.random.choice(self.fleet.topology.groups)
        vm = self.random.choice(sorted(self.fleet.vms))
        if kind.endswith("primary"):
            name = self.primary(group) or f"{group}-m1"
        elif kind.endswith(("replica", "target", "lag", "unsent")):
            members = [t.name for t in self.fleet.members(group)]
            name = self.random.choice(members)
        else:
            name = vm
        self.history.append(f"{kind} {name}")
        return self.apply(kind, name)

    def apply(self, kind: str, name: str) -> Any:
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
                return self.lose_unsent(name)
            case _:
                return self.lag(name)

    def restart(self, name: str) -> None:
        """Start a killed process again; planned work may do so too."""
        with self.restarting:
            self.fleet.restart(name)

    def lose_unsent(self, name: str) -> Any:
        """Kill a primary whose newest entries no replica has.

        Its answers to these must not have been passed on.
        """
        fleet = self.fleet
        group = name.rsplit("-m", 1)[0]
        primary = self.primary(group)
        for other in fleet.members(group):
            self.quietly(other.name, receive_lag_ms=400)
        time.sleep(0.3)
        if primary:
            fleet.kill(primary)

        def undo() -> None:
            if primary:
                self.restart(primary)
            for other in fleet.members(group):
                self.quietly(other.name, receive_lag_ms=0)

        return undo

    def primary(self, group: str) -> str:
        """Return a group's primary; empty if the platform fails just now."""
        try:
            return self.fleet.primary(group)
        except OSError:
            return ""

    def quietly(self, name: str, **knobs: Any) -> None:
        """Set a target's knobs if it can be reached."""
        try:
            self.fleet.set_target(name, **knobs)
        except OSError:
            pass

    def lag(self, name: str) -> Any:
        self.quietly(name, apply_lag_ms=800)
        return lambda: self.quietly(name, apply_lag_ms=0)


def check_answers(fleet: Fleet, books: AnswerLog) -> list[str]:
    """Return what is wrong, comparing answers with each group's primary."""
    wrong = [f"own write not seen: {each}" for each in books.unseen]
    wrong += [f"transactions mixed: {each}" for each in books.mixed]
    for group in fleet.topology.groups:
        primary = fleet.primary(group)
        found = Counter(
            row[0] for row in fleet.query(primary, "SELECT id FROM soak_entry")
        )
        ((total,),) = fleet.query(
            primary, "SELECT sum(balance) FROM soak_account"
        )
        if total != ACCOUNTS * OPENING_BALANCE:
            wrong.append(f"{group}: the accounts add up to {total}")
        wrong += _compare(group, found, books)
    return wrong


def _compare(group: str, found: Counter[str], books: AnswerLog) -> list[str]:
    wrong = []
    for entry, count in found.items():
        if count > 1:
            wrong.append(f"{group} {entry}: there {count} times")
        if (group, entry) in books.not_run:
            wrong.append(f"{group} {entry}: said not run, but it ran")
        if (group, entry) not in books.attempted:
            wrong.append(f"{group} {entry}: nobody asked for it")
    for other, entry in books.acknowledged:
        if other == group and entry not in found:
            wrong.append(f"{group} {entry}: acknowledged, but not there")
    return wrong


def _prepare(fleet: Fleet) -> None:
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


def _settled(fleet: Fleet) -> bool:
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
    """Run it; return what was told, the faults, and what is wrong.

    With `planned`, operators edit the table and restart VMs meanwhile.
    """
    books = AnswerLog()
    with Fleet(topology=CARPATICA, links=True, bootstrap=False) as fleet:
        _prepare(fleet)
        threads = [
            _Worker(number=number, fleet=fleet, books=books, seed=seed)
            for number in range(workers)
        ]
        for thread in threads:
            thread.start()
        faults = _Faults(
            fleet=fleet, seed=seed, end=time.monotonic() + seconds
        )
        work: PlannedWork | None = None
        if with_operators:
            work = PlannedWork(
                fleet=fleet, seed=seed, restarting=faults.restarting
            )
            work.start()
        faults.run()
        if work is not None:
            work.finish()
        for thread in threads:
            thread.stop.set()
        for thread in threads:
            thread.join(KEYED_TRIES * (DEADLINE_MS / 1000 + 1.5))
        try:
            wait_until(
                lambda: _settled(fleet),
                seconds=SETTLE_SECONDS,
                what="all groups to take writes again",
            )
            wrong = check_answers(fleet, books)
            if work is not None:
                books.answers.update(work.verdicts)
                wrong += work.check()
        except Exception as exc:
            wrong = [f"{exc!r}", fleet.tail(30)]
    return books, faults.history, wrong


def main() -> None:
    """Run from the command line."""
    import argparse

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--planned", action="store_true", help="with edits and restarts"
    )
    args = parser.parse_args()
    books, history, wrong = run_soak(
        seconds=args.seconds, seed=args.seed, with_operators=args.planned
    )
    print("faults:", "; ".join(history))
    for name, count in sorted(books.answers.items()):
        print(f"{count:8d} {name}")
    print(
        f"{len(books.acknowledged)} acknowledged, {len(books.not_run)} not run"
    )
    for each in wrong[:20]:
        print("WRONG", each)
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
