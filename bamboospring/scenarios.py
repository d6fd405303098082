"""Work that looks like the users' own, for the demo, tests and bench.

A job is a line of steps in one database group. Each step carries its own
idempotency key and leaves one row in `postings`, which has no unique
constraint on purpose: a step that ran twice shows as two rows, and one that
was acknowledged and lost as none.
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
    "BookCheck",
    "Job",
    "SCENARIOS",
    "Scenario",
    "Sql",
    "Step",
]

ACCOUNTS = 60
OPENING_BALANCE = 100_000
PROJECTS = 20
STRINGS = 200
POST = "INSERT INTO postings (job, step, key) VALUES (?, ?, ?)"
STATUS = "SELECT count(DISTINCT step) FROM postings WHERE job = ?"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sql:
    """One statement with its parameters."""

    text: str
    params: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step: all of `statements` in one transaction under `key`."""

    name: str
    key: str
    statements: tuple[Sql, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A line of steps in one group.

    `status` counts the steps done so far, `lookup` is a read that accepts
    data of a stated age.
    """

    name: str
    group: str
    steps: tuple[Step, ...]
    status: Sql
    lookup: Sql


@dataclass(frozen=True, slots=True, kw_only=True)
class BookCheck:
    """A query that returns one number, and what that has to be."""

    name: str
    sql: str
    wanted: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """An estate with its jobs and the checks of its books."""

    estate: Topology
    job: Callable[[int], Job]
    books: tuple[BookCheck, ...]
    lookups_per_step: int
    staleness_ms: int


_POSTINGS_SCHEMA = """
CREATE TABLE postings (
  id INTEGER PRIMARY KEY, job TEXT, step TEXT, key TEXT);
CREATE INDEX postings_job ON postings (job);
"""

_COUNTER = """
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
INSERT INTO accounts {_COUNTER.format(count=ACCOUNTS)}
  SELECT 'old-' || i, {OPENING_BALANCE} FROM n;
INSERT INTO accounts {_COUNTER.format(count=ACCOUNTS)}
  SELECT 'new-' || i, 0 FROM n;
INSERT INTO standing_orders (account, payee)
  {_COUNTER.format(count=ACCOUNTS)} SELECT 'old-' || i, 'landlord' FROM n;
INSERT INTO direct_debits (account, creditor)
  {_COUNTER.format(count=ACCOUNTS)} SELECT 'old-' || i, 'utility' FROM n;
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
INSERT INTO strings {_COUNTER.format(count=STRINGS)}
  SELECT 'string-' || i, 0, 0 FROM n;
INSERT INTO projects {_COUNTER.format(count=PROJECTS)}
  SELECT 'project-' || i, {OPENING_BALANCE}, 0 FROM n;
"""
)


def _step(job: str, name: str, *statements: Sql) -> Step:
    key = f"{job}/{name}"
    posting = Sql(text=POST, params=(job, name, key))
    return Step(name=name, key=key, statements=(*statements, posting))


def _switch(number: int) -> Job:
    """Move an account: standing orders, direct debits, part of a balance."""
    groups = CARPATICA.groups
    name = f"switch-{number}"
    pair = (number // len(groups)) % ACCOUNTS
    old, new = f"old-{pair}", f"new-{pair}"
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
            _step(name, "balance", *_transfer(name, old, new, amount)),
        ),
        status=Sql(text=STATUS, params=(name,)),
        lookup=Sql(
            text="SELECT balance FROM accounts WHERE id = ?", params=(old,)
        ),
    )


def _transfer(job: str, old: str, new: str, amount: int) -> tuple[Sql, ...]:
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


def _translation(number: int) -> Job:
    """Post a string version, approve it, bill the vendor's work."""
    groups = MALABAR.groups
    name = f"batch-{number}"
    string = f"string-{(number // len(groups)) % STRINGS}"
    project = f"project-{number % PROJECTS}"
    amount = 5 + number % 20
    return Job(
        name=name,
        group=groups[number % len(groups)],
        steps=(
            _step(name, "version", *_version(name, string)),
            _step(name, "approve", *_approval(string)),
            _step(name, "invoice", *_invoice(name, project, amount)),
        ),
        status=Sql(text=STATUS, params=(name,)),
        lookup=Sql(
            text="SELECT approved, newest FROM strings WHERE id = ?",
            params=(string,),
        ),
    )


def _version(job: str, string: str) -> tuple[Sql, ...]:
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


def _approval(string: str) -> tuple[Sql, ...]:
    text = "UPDATE strings SET approved = approved + 1 WHERE id = ?"
    return (Sql(text=text, params=(string,)),)


def _invoice(job: str, project: str, amount: int) -> tuple[Sql, ...]:
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


_DOUBLED = BookCheck(
    name="steps that ran twice",
    sql="SELECT count(*) - count(DISTINCT key) FROM postings",
    wanted=0,
)

_CARPATICA_BOOKS = (
    _DOUBLED,
    BookCheck(
        name="sum of all balances",
        sql="SELECT sum(balance) FROM accounts",
        wanted=ACCOUNTS * OPENING_BALANCE,
    ),
    BookCheck(
        name="accounts that differ from their transfers",
        sql=f"""
SELECT count(*) FROM accounts AS a WHERE balance <>
  CASE WHEN id LIKE 'old-%' THEN {OPENING_BALANCE} ELSE 0 END
  + (SELECT coalesce(sum(amount), 0) FROM transfers WHERE sink = a.id)
  - (SELECT coalesce(sum(amount), 0) FROM transfers WHERE source = a.id)
""",
        wanted=0,
    ),
    BookCheck(
        name="transfers without their posting, or the other way round",
        sql="""
SELECT (SELECT count(*) FROM transfers)
  - (SELECT count(*) FROM postings WHERE step = 'balance')
""",
        wanted=0,
    ),
)

_MALABAR_BOOKS = (
    _DOUBLED,
    BookCheck(
        name="billed minus invoices",
        sql="""
SELECT (SELECT coalesce(sum(billed), 0) FROM projects)
  - (SELECT coalesce(sum(amount), 0) FROM invoices)
""",
        wanted=0,
    ),
    BookCheck(
        name="newest versions minus posted versions",
        sql="""
SELECT (SELECT sum(newest) FROM strings)
  - (SELECT count(*) FROM string_versions)
""",
        wanted=0,
    ),
    BookCheck(
        name="approvals minus their postings",
        sql="""
SELECT (SELECT sum(approved) FROM strings)
  - (SELECT count(*) FROM postings WHERE step = 'approve')
""",
        wanted=0,
    ),
)

SCENARIOS: dict[str, Scenario] = {
    "carpatica": Scenario(
        estate=replace(CARPATICA, schema=_CARPATICA_SCHEMA),
        job=_switch,
        books=_CARPATICA_BOOKS,
        lookups_per_step=3,
        staleness_ms=1000,
    ),
    "malabar": Scenario(
        estate=replace(MALABAR, schema=_MALABAR_SCHEMA),
        job=_translation,
        books=_MALABAR_BOOKS,
        lookups_per_step=8,
        staleness_ms=2000,
    ),
}
