"""Bring up one user's whole estate, work with it, and check its books.

The demo starts real processes on this machine: platform stand-in, target
stand-ins and one `bamboospring serve` for each VM. Many callers run jobs
and roam from entry to entry; at the end the books are checked directly at
the targets, past the proxy.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import itertools
import json
import threading
import time
from typing import Any

from bamboospring.scenarios import Scenario
from bamboospring.scenarios import SCENARIOS
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.job_runner import JobRunner
from bamboospring.testing.job_runner import RequestStats

__all__ = ["Finding", "check_books", "run", "run_jobs"]

USAGE_ERROR = 2
FINISH_SECONDS = 15.0
CATCH_UP_SECONDS = 15.0
KEYS_IN_ONE_QUERY = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One check of the books at one target."""

    target: str
    name: str
    wanted: int
    found: int

    @property
    def good(self) -> bool:
        """Tell whether the books say what they have to."""
        return self.wanted == self.found


def run(
    *,
    scenario: str = "carpatica",
    seconds: float = 10.0,
    callers: int = 24,
    as_json: bool = False,
    hold: float = 0.0,
) -> int:
    """Run a scenario and return the exit code: 0 if the books balance.

    `seconds` is for how long new jobs are started; begun ones are finished.
    The fleet stays up for `hold` seconds more, to be looked at.
    """
    chosen = SCENARIOS.get(scenario)
    if chosen is None:
        known = ", ".join(SCENARIOS)
        print(f"no scenario {scenario!r}; there are: {known}")
        return USAGE_ERROR
    _say(as_json, f"starting {_sizes(chosen)}")
    with Fleet(topology=chosen.estate) as fleet:
        fleet.wait_serving()
        _say(as_json, f"{callers} callers work for {seconds:g} s")
        tally = run_jobs(fleet, chosen, seconds=seconds, callers=callers)
        findings = check_books(fleet, chosen, tally)
        report = _report(chosen, tally, findings)
        if as_json:
            print(json.dumps(report), flush=True)
        else:
            _print_report(report, findings)
        if hold > 0:
            _hold(fleet, hold)
    return 0 if report["good"] else 1


def _hold(fleet: Fleet, seconds: float) -> None:
    """Keep the fleet up and say how to reach it."""
    vms = list(fleet.vms.values())
    addresses = " ".join(vm.operators_listen for vm in vms[:3])
    print(f"\nThe fleet stays up for {seconds:g} s, or until Ctrl-C. To look")
    print("at it, in another shell:")
    print(f'  export BAMBOOSPRING_VM="{addresses}"')
    print(f"  export BAMBOOSPRING_TOKEN={OPERATOR_TOKEN}")
    print(f"  export BAMBOOSPRING_ENTRY={vms[0].entry}")
    print("  bamboospring status")
    print(f"In a browser: http://{vms[0].operators_listen}/status")
    print("(any name, the token as password)", flush=True)
    try:
        time.sleep(seconds)
    except KeyboardInterrupt:
        print("ending")


def run_jobs(
    fleet: Fleet,
    scenario: Scenario,
    *,
    seconds: float,
    callers: int,
    first_job: int = 0,
) -> RequestStats:
    """Let callers run jobs for `seconds`, and return their joint tally."""
    start = time.monotonic()
    numbers = itertools.count(first_job)
    stop_at = start + seconds + FINISH_SECONDS
    runners = [
        JobRunner(
            caller=Caller(
                entries=fleet.entries(), name=f"branch-{i}", entry_index=i
            ),
            scenario=scenario,
            stop_at=stop_at,
        )
        for i in range(callers)
    ]
    faults: list[BaseException] = []

    def work(runner: JobRunner) -> None:
        try:
            while time.monotonic() < start + seconds:
                runner.run(scenario.job(next(numbers)))
        except BaseException as exc:
            faults.append(exc)

    threads = [
        threading.Thread(target=work, args=(r,), daemon=True) for r in runners
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if faults:
        raise faults[0]
    total = RequestStats()
    for runner in runners:
        total.add(runner.stats)
    return total


def check_books(
    fleet: Fleet, scenario: Scenario, tally: RequestStats
) -> list[Finding]:
    """Check the books at each target, once it has caught up."""
    findings = []
    for group in scenario.estate.groups:
        wait_until(
            lambda g=group: _caught_up(fleet, g),  # type: ignore[misc]
            seconds=CATCH_UP_SECONDS,
            what=f"the replicas of {group} to catch up",
        )
        keys = [key for name, key in tally.acknowledged if name == group]
        for target in fleet.members(group):
            findings += _check_target(fleet, scenario, target.name, keys)
    return findings


def _caught_up(fleet: Fleet, group: str) -> bool:
    probes = [fleet.probe(t.name) for t in fleet.members(group)]
    newest = max(probe["received"] for probe in probes)
    return all(probe["applied"] == newest for probe in probes)


def _check_target(
    fleet: Fleet, scenario: Scenario, target: str, keys: list[str]
) -> list[Finding]:
    findings = []
    for check in scenario.books:
        found = fleet.query(target, check.sql)[0][0]
        findings.append(
            Finding(
                target=target,
                name=check.name,
                wanted=check.wanted,
                found=found,
            )
        )
    findings.append(
        Finding(
            target=target,
            name="acknowledged steps",
            wanted=len(keys),
            found=_count_keys(fleet, target, keys),
        )
    )
    return findings


def _count_keys(fleet: Fleet, target: str, keys: list[str]) -> int:
    found = 0
    for at in range(0, len(keys), KEYS_IN_ONE_QUERY):
        some = keys[at : at + KEYS_IN_ONE_QUERY]
        marks = ", ".join("?" * len(some))
        sql = f"SELECT count(*) FROM postings WHERE key IN ({marks})"
        found += fleet.query(target, sql, some)[0][0]
    return found


def _report(
    scenario: Scenario, tally: RequestStats, findings: list[Finding]
) -> dict[str, Any]:
    good = (
        all(finding.good for finding in findings)
        and tally.stale_reads == 0
        and tally.wrong_answers == 0
        and tally.steps_unfinished == 0
        and tally.steps_acknowledged > 0
    )
    return {
        "scenario": scenario.estate.name,
        "jobs": tally.jobs,
        "steps_acknowledged": tally.steps_acknowledged,
        "steps_open": tally.steps_unfinished,
        "stale_reads": tally.stale_reads,
        "wrong_answers": tally.wrong_answers,
        "replays": tally.replays,
        "reads": tally.reads,
        "replica_share": round(tally.replica_share(), 4),
        "read_ms": _latency(tally.read_us),
        "write_ms": _latency(tally.write_us),
        "outcomes": dict(sorted(tally.outcomes.items())),
        "books_checked": len(findings),
        "books_wrong": sum(not finding.good for finding in findings),
        "good": good,
    }


def _latency(histogram: Any) -> dict[str, float]:
    return {
        f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in (50, 99)
    }


def _sizes(scenario: Scenario) -> str:
    estate = scenario.estate
    return (
        f"{estate.name}: {len(estate.groups)} groups of {estate.members},"
        f" {estate.vms} VMs in {len(estate.zones)} availability zones"
    )


def _say(as_json: bool, text: str) -> None:
    if not as_json:
        print(text, flush=True)


def _print_report(report: dict[str, Any], findings: list[Finding]) -> None:
    reads = report["read_ms"]
    writes = report["write_ms"]
    print(f"jobs finished        {report['jobs']}")
    print(f"steps acknowledged   {report['steps_acknowledged']}")
    print(f"steps left open      {report['steps_open']}")
    print(f"reads                {report['reads']}")
    print(f"  at replicas        {report['replica_share']:.1%}")
    print(f"  older than session {report['stale_reads']}")
    print(f"  of a wrong shape   {report['wrong_answers']}")
    print(f"read latency ms      p50 {reads['p50']}  p99 {reads['p99']}")
    print(f"write latency ms     p50 {writes['p50']}  p99 {writes['p99']}")
    print("answers by kind")
    for name, count in report["outcomes"].items():
        print(f"  {name:<28}{count}")
    _print_books(findings)
    print("the books balance" if report["good"] else "NOT GOOD, see above")


def _print_books(findings: list[Finding]) -> None:
    print("books, checked at each target")
    by_name = Counter(f.name for f in findings if f.good)
    for name, count in by_name.items():
        print(f"  {name}: as wanted at {count} targets")
    for finding in findings:
        if not finding.good:
            print(
                f"  WRONG {finding.name} at {finding.target}:"
                f" wanted {finding.wanted}, found {finding.found}"
            )
