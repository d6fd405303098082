"""Workloads modelled on those of the users, for demo, tests and bench.

A job is a sequence of steps in one database group. Each step has its own
idempotency key and inserts one row into `postings`. That table deliberately
has no unique constraint: a step that ran twice leaves two rows, and a step
that was acknowledged and then lost leaves none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

from bamboospring.testing.topology import CARPATICA
from bamboospring.testing.topology import MALABAR
from bamboospring.testing.topology import Topology

__all__ = [
    "IntegrityCheck",
    "Job",
    "SCENARIOS",
    "Scenario",
    "Sql",
    "Step",
]

ACCOUNT_COUNT = 60
OPENING_BALANCE = 100_000
PROJECT_COUNT = 20
STRING_COUNT = 200
INSERT_POSTING_SQL = "INSERT INTO postings (job, step, key) VALUES (?, ?, ?)"
COUNT_STEPS_SQL = "SELECT count(DISTINCT step) FROM postings WHERE job = ?"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sql:
    """An SQL statement with its parameters."""

    text: str
    params: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A transaction of `statements` with the idempotency key `key`."""

    name: str
    key: str
    statements: tuple[Sql, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A sequence of steps in one group.

    `status` counts the steps done so far. `lookup` is a read that accepts
    data up to the scenario's `staleness_ms`.
    """

    name: str
    group: str
    steps: tuple[Step, ...]
    status: Sql
    lookup: Sql


@dataclass(frozen=True, slots=True, kw_only=True)
class IntegrityCheck:
    """A query that returns one number, with the expected value."""

    name: str
    sql: str
    expected: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A topology with its jobs and the integrity checks of its data."""

    topology: Topology
    job: Callable[[int], Job]
    integrity_checks: tuple[IntegrityCheck, ...]
    lookups_per_step: int
    staleness_ms: int


_POSTINGS_SCHEMA = """
CREATE TABLE postings (
  id INTEGER PRIMARY KEY, job TEXT, step TEXT, key TEXT);
CREATE INDEX postings_job ON postings (job);
"""

_NUMBERS = """
WITH RECURSIVE n(i) AS (SELECT 0 UNION ALL SELECT i + 1 FROM n
  WHERE i + 1 < {count})
"""

_CARPATICA_SCHEMA = (
    _POSTINGS_SCHEMA
    + """
CREATE TABLE accounts (id TEXT PRIMARY KEY, balance INTEGER);
CREATE TABLE standing_orders (
  id INTEGER PRIMARY KEY, account TEXT, payee TEXT);
CREATE TABLE direct_debits (
  id INTEGER PRIMARY KEY, account TEXT, creditor TEXT);
CREATE TABLE transfers (
  id INTEGER PRIMARY KEY, key TEXT, source TEXT, sink TEXT, amount INTEGER);
"""
    + f"""
INSERT INTO accounts {_NUMBERS.format(count=ACCOUNT_COUNT)}
  SELECT 'old-' || i, {OPENING_BALANCE} FROM n;
INSERT INTO accounts {_NUMBERS.format(count=ACCOUNT_COUNT)}
  SELECT 'new-' || i, 0 FROM n;
INSERT INTO standing_orders (account, payee)
  {_NUMBERS.format(count=ACCOUNT_COUNT)} SELECT 'old-' || i, 'landlord' FROM n;
INSERT INTO direct_debits (account, creditor)
  {_NUMBERS.format(count=ACCOUNT_COUNT)} SELECT 'old-' || i, 'utility' FROM n;
"""
)

_MALABAR_SCHEMA = (
    _POSTINGS_SCHEMA
    + """
CREATE TABLE strings (
  id TEXT PRIMARY KEY, approved INTEGER, newest INTEGER);
CREATE TABLE string_versions (
  id INTEGER PRIMARY KEY, key TEXT, string TEXT, language TEXT, body TEXT);
CREATE TABLE projects (id TEXT PRIMARY KEY, budget INTEGER, billed INTEGER);
CREATE TABLE invoices (
  id INTEGER PRIMARY KEY, key TEXT, project TEXT, amount INTEGER);
"""
    + f"""
INSERT INTO strings {_NUMBERS.format(count=STRING_COUNT)}
  SELECT 'string-' || i, 0, 0 FROM n;
INSERT INTO projects {_NUMBERS.format(count=PROJECT_COUNT)}
  SELECT 'project-' || i, {OPENING_BALANCE}, 0 FROM n;
"""
)


def _step(job: str, name: str, *statements: Sql) -> Step:
    key = f"{job}/{name}"
    posting = Sql(text=INSERT_POSTING_SQL, params=(job, name, key))
    return Step(name=name, key=key, statements=(*statements, posting))


def _account_switch_job(number: int) -> Job:
    """Return a job that moves an account: its orders, debits and balance."""
    groups = CARPATICA.groups
    name = f"switch-{number}"
    account_number = (number // len(groups)) % ACCOUNT_COUNT
    old, new = f"old-{account_number}", f"new-{account_number}"
    amount = 1 + number % 50
    orders = Sql(
        text="UPDATE standing_orders SET account = ? WHERE account = ?",
        params=(new, old),
    )
    debits = Sql(
        text="UPDATE direct_debits SET account = ? WHERE account = ?",
        params=(new, old),
    )
    return Job(
        name=name,
        group=groups[number % len(groups)],
        steps=(
            _step(name, "open"),
            _step(name, "standing-order", orders),
            _step(name, "direct-debit", debits),
            _step(
                name, "balance", *_transfer_statements(name, old, new, amount)
            ),
        ),
        status=Sql(text=COUNT_STEPS_SQL, params=(name,)),
        lookup=Sql(
            text="SELECT balance FROM accounts WHERE id = ?", params=(old,)
        ),
    )


def _transfer_statements(
    job: str, old: str, new: str, amount: int
) -> tuple[Sql, ...]:
    return (
        Sql(
            text="UPDATE accounts SET balance = balance - ? WHERE id = ?",
            params=(amount, old),
        ),
        Sql(
            text="UPDATE accounts SET balance = balance + ? WHERE id = ?",
            params=(amount, new),
        ),
        Sql(
            text="INSERT INTO transfers (key, source, sink, amount)"
            " VALUES (?, ?, ?, ?)",
            params=(f"{job}/balance", old, new, amount),
        ),
    )


def _translation_job(number: int) -> Job:
    """Return a job that adds a string version, approves and invoices it."""
    groups = MALABAR.groups
    name = f"batch-{number}"
    string = f"string-{(number // len(groups)) % STRING_COUNT}"
    project = f"project-{number % PROJECT_COUNT}"
    amount = 5 + number % 20
    return Job(
        name=name,
        group=groups[number % len(groups)],
        steps=(
            _step(name, "version", *_version_statements(name, string)),
            _step(name, "approve", *_approval_statements(string)),
            _step(
                name, "invoice", *_invoice_statements(name, project, amount)
            ),
        ),
        status=Sql(text=COUNT_STEPS_SQL, params=(name,)),
        lookup=Sql(
            text="SELECT approved, newest FROM strings WHERE id = ?",
            params=(string,),
        ),
    )


def _version_statements(job: str, string: str) -> tuple[Sql, ...]:
    return (
        Sql(
            text="INSERT INTO string_versions (key, string, language, body)"
            " VALUES (?, ?, 'ml', 'body')",
            params=(f"{job}/version", string),
        ),
        Sql(
            text="UPDATE strings SET newest = newest + 1 WHERE id = ?",
            params=(string,),
        ),
    )


def _approval_statements(string: str) -> tuple[Sql, ...]:
    text = "UPDATE strings SET approved = approved + 1 WHERE id = ?"
    return (Sql(text=text, params=(string,)),)


def _invoice_statements(
    job: str, project: str, amount: int
) -> tuple[Sql, ...]:
    return (
        Sql(
            text="INSERT INTO invoices (key, project, amount)"
            " VALUES (?, ?, ?)",
            params=(f"{job}/invoice", project, amount),
        ),
        Sql(
            text="UPDATE projects SET billed = billed + ? WHERE id = ?",
            params=(amount, project),
        ),
    )


_NO_REPEATED_STEPS = IntegrityCheck(
    name="repeated steps",
    sql="SELECT count(*) - count(DISTINCT key) FROM postings",
    expected=0,
)

_CARPATICA_CHECKS = (
    _NO_REPEATED_STEPS,
    IntegrityCheck(
        name="sum of all balances",
        sql="SELECT sum(balance) FROM accounts",
        expected=ACCOUNT_COUNT * OPENING_BALANCE,
    ),
    IntegrityCheck(
        name="accounts that do not match their transfers",
        sql=f"""
SELECT count(*) FROM accounts AS a WHERE balance <>
  CASE WHEN id LIKE 'old-%' THEN {OPENING_BALANCE} ELSE 0 END
  + (SELECT coalesce(sum(amount), 0) FROM transfers WHERE sink = a.id)
  - (SELECT coalesce(sum(amount), 0) FROM transfers WHERE source = a.id)
""",
        expected=0,
    ),
    IntegrityCheck(
        name="transfers minus balance postings",
        sql="""
SELECT (SELECT count(*) FROM transfers)
  - (SELECT count(*) FROM postings WHERE step = 'balance')
""",
        expected=0,
    ),
)

_MALABAR_CHECKS = (
    _NO_REPEATED_STEPS,
    IntegrityCheck(
        name="billed minus invoices",
        sql="""
SELECT (SELECT coalesce(sum(billed), 0) FROM projects)
  - (SELECT coalesce(sum(amount), 0) FROM invoices)
""",
        expected=0,
    ),
    IntegrityCheck(
        name="newest versions minus posted versions",
        sql="""
SELECT (SELECT sum(newest) FROM strings)
  - (SELECT count(*) FROM string_versions)
""",
        expected=0,
    ),
    IntegrityCheck(
        name="approvals minus their postings",
        sql="""
SELECT (SELECT sum(approved) FROM strings)
  - (SELECT count(*) FROM postings WHERE step = 'approve')
""",
        expected=0,
    ),
)

SCENARIOS: dict[str, Scenario] = {
    "carpatica": Scenario(
        topology=replace(CARPATICA, schema=_CARPATICA_SCHEMA),
        job=_account_switch_job,
        integrity_checks=_CARPATICA_CHECKS,
        lookups_per_step=3,
        staleness_ms=1000,
    ),
    "malabar": Scenario(
        topology=replace(MALABAR, schema=_MALABAR_SCHEMA),
        job=_translation_job,
        integrity_checks=_MALABAR_CHECKS,
        lookups_per_step=8,
        staleness_ms=2000,
    ),
}
