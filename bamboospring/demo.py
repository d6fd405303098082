"""Start the fleet of one scenario, run its jobs and check the stored data.

The demo starts real processes on this machine: simulators of the platform and
of the targets, and one `bamboospring serve` for each VM. Many callers run jobs
and switch between entries. At the end the integrity checks query the targets
directly, without the proxy.
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

__all__ = ["CheckResult", "check_integrity", "run", "run_jobs"]

USAGE_ERROR = 2
FINISH_TIMEOUT = 15.0
CATCH_UP_TIMEOUT = 15.0
MAX_KEYS_PER_QUERY = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """The result of one integrity check at one target."""

    target: str
    name: str
    expected: int
    found: int

    @property
    def passed(self) -> bool:
        """Return whether the check found the expected value."""
        return self.expected == self.found


def run(
    *,
    scenario: str = "carpatica",
    seconds: float = 10.0,
    callers: int = 24,
    as_json: bool = False,
    hold: float = 0.0,
) -> int:
    """Run a scenario and return the exit code: 0 if all checks pass.

    New jobs start for `seconds`; jobs that have started are finished. The
    fleet then keeps running for `hold` seconds, so that it can be inspected.
    """
    selected = SCENARIOS.get(scenario)
    if selected is None:
        known = ", ".join(SCENARIOS)
        print(f"unknown scenario {scenario!r}; choose from: {known}")
        return USAGE_ERROR
    _print_progress(as_json, f"starting {_describe_fleet(selected)}")
    with Fleet(topology=selected.topology) as fleet:
        fleet.wait_serving()
        _print_progress(
            as_json, f"running jobs of {callers} callers for {seconds:g} s"
        )
        stats = run_jobs(fleet, selected, seconds=seconds, callers=callers)
        results = check_integrity(fleet, selected, stats)
        report = _report(selected, stats, results)
        if as_json:
            print(json.dumps(report), flush=True)
        else:
            _print_report(report, results)
        if hold > 0:
            _keep_running(fleet, hold)
    return 0 if report["good"] else 1


def _keep_running(fleet: Fleet, seconds: float) -> None:
    """Keep the fleet running and print how to connect to it."""
    vms = list(fleet.vms.values())
    addresses = " ".join(vm.operators_listen for vm in vms[:3])
    print(f"\nThe fleet runs for another {seconds:g} s, or until Ctrl-C.")
    print("To inspect it, run in another shell:")
    print(f'  export BAMBOOSPRING_VM="{addresses}"')
    print(f"  export BAMBOOSPRING_TOKEN={OPERATOR_TOKEN}")
    print(f"  export BAMBOOSPRING_ENTRY={vms[0].entry}")
    print("  bamboospring status")
    print(f"Or open http://{vms[0].operators_listen}/status in a browser")
    print("(any user name, the token as password).", flush=True)
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
    """Run jobs of all callers for `seconds` and return their total stats."""
    start = time.monotonic()
    job_numbers = itertools.count(first_job)
    stop_at = start + seconds + FINISH_TIMEOUT
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
    errors: list[BaseException] = []

    def work(runner: JobRunner) -> None:
        try:
            while time.monotonic() < start + seconds:
                runner.run(scenario.job(next(job_numbers)))
        except BaseException as exc:
            errors.append(exc)

    threads = [
        threading.Thread(target=work, args=(r,), daemon=True) for r in runners
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    total = RequestStats()
    for runner in runners:
        total.add(runner.stats)
    return total


def check_integrity(
    fleet: Fleet, scenario: Scenario, stats: RequestStats
) -> list[CheckResult]:
    """Check the data of each target once the replicas have caught up."""
    results = []
    for group in scenario.topology.groups:
        wait_until(
            lambda g=group: _caught_up(fleet, g),  # type: ignore[misc]
            seconds=CATCH_UP_TIMEOUT,
            what=f"the replicas of {group} to catch up",
        )
        keys = [key for name, key in stats.acknowledged if name == group]
        for target in fleet.members(group):
            results += _check_one_target(fleet, scenario, target.name, keys)
    return results


def _caught_up(fleet: Fleet, group: str) -> bool:
    probes = [fleet.probe(t.name) for t in fleet.members(group)]
    newest = max(probe["received"] for probe in probes)
    return all(probe["applied"] == newest for probe in probes)


def _check_one_target(
    fleet: Fleet, scenario: Scenario, target: str, keys: list[str]
) -> list[CheckResult]:
    results = []
    for check in scenario.integrity_checks:
        found = fleet.query(target, check.sql)[0][0]
        results.append(
            CheckResult(
                target=target,
                name=check.name,
                expected=check.expected,
                found=found,
            )
        )
    results.append(
        CheckResult(
            target=target,
            name="acknowledged steps",
            expected=len(keys),
            found=_count_keys(fleet, target, keys),
        )
    )
    return results


def _count_keys(fleet: Fleet, target: str, keys: list[str]) -> int:
    found = 0
    for start in range(0, len(keys), MAX_KEYS_PER_QUERY):
        batch = keys[start : start + MAX_KEYS_PER_QUERY]
        placeholders = ", ".join("?" * len(batch))
        sql = f"SELECT count(*) FROM postings WHERE key IN ({placeholders})"
        found += fleet.query(target, sql, batch)[0][0]
    return found


def _report(
    scenario: Scenario, stats: RequestStats, results: list[CheckResult]
) -> dict[str, Any]:
    passed = (
        all(result.passed for result in results)
        and stats.stale_reads == 0
        and stats.wrong_answers == 0
        and stats.steps_unfinished == 0
        and stats.steps_acknowledged > 0
    )
    return {
        "scenario": scenario.topology.name,
        "jobs": stats.jobs,
        "steps_acknowledged": stats.steps_acknowledged,
        "steps_open": stats.steps_unfinished,
        "stale_reads": stats.stale_reads,
        "wrong_answers": stats.wrong_answers,
        "replays": stats.replays,
        "reads": stats.reads,
        "replica_share": round(stats.replica_share(), 4),
        "read_ms": _latency(stats.read_us),
        "write_ms": _latency(stats.write_us),
        "outcomes": dict(sorted(stats.outcomes.items())),
        "books_checked": len(results),
        "books_wrong": sum(not result.passed for result in results),
        "good": passed,
    }


def _latency(histogram: Any) -> dict[str, float]:
    return {
        f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in (50, 99)
    }


def _describe_fleet(scenario: Scenario) -> str:
    topology = scenario.topology
    return (
        f"{topology.name}: {len(topology.groups)} groups of"
        f" {topology.members}, {topology.vms} VMs in"
        f" {len(topology.zones)} availability zones"
    )


def _print_progress(as_json: bool, text: str) -> None:
    if not as_json:
        print(text, flush=True)


def _print_report(report: dict[str, Any], results: list[CheckResult]) -> None:
    reads = report["read_ms"]
    writes = report["write_ms"]
    print(f"jobs finished        {report['jobs']}")
    print(f"steps acknowledged   {report['steps_acknowledged']}")
    print(f"steps unfinished     {report['steps_open']}")
    print(f"reads                {report['reads']}")
    print(f"  at replicas        {report['replica_share']:.1%}")
    print(f"  stale              {report['stale_reads']}")
    print(f"  wrong answers      {report['wrong_answers']}")
    print(f"read latency ms      p50 {reads['p50']}  p99 {reads['p99']}")
    print(f"write latency ms     p50 {writes['p50']}  p99 {writes['p99']}")
    print("answers by outcome")
    for name, count in report["outcomes"].items():
        print(f"  {name:<28}{count}")
    _print_check_results(results)
    print(
        "all checks passed" if report["good"] else "CHECKS FAILED, see above"
    )


def _print_check_results(results: list[CheckResult]) -> None:
    print("integrity checks at each target")
    by_name = Counter(r.name for r in results if r.passed)
    for name, count in by_name.items():
        print(f"  {name}: passed at {count} targets")
    for result in results:
        if not result.passed:
            print(
                f"  FAILED {result.name} at {result.target}:"
                f" expected {result.expected}, found {result.found}"
            )
