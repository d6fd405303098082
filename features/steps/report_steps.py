"""Steps for the report on service-level objectives."""

from __future__ import annotations

import json
from pathlib import Path
import tempfile
import threading
from typing import Any

from behave import given
from behave import then
from behave import when
from command_line_steps import run_command
from fleet_support import GROUP
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from operators_steps import WRITE
from settings_steps import TEXT

from bamboospring import burn
from bamboospring import report
from bamboospring.settings import Objectives
from bamboospring.testing.caller import Caller

TIME_COLUMNS = {"at", "started_at"}
RECORD_SECONDS = 8
KILL_AFTER_SECONDS = 3.0


def _sample_line(at: float, started_at: float, counts: dict[str, Any]) -> str:
    vms = {"vm-1": {"started_at": started_at, "counts": {GROUP: counts}}}
    return json.dumps({"at": at, "vms": vms, "silent": []})


def _write_series(context: Any, lines: list[str]) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.series = context.folder / "series.jsonl"
    context.lines = lines
    context.series.write_text("\n".join(lines) + "\n")


@given("a series of one VM and one group")
def step_series(context: Any) -> None:
    lines = []
    for row in context.table:
        cells = row.as_dict()
        counts: dict[str, Any] = {
            name: int(text)
            for name, text in cells.items()
            if name not in TIME_COLUMNS and "." not in name
        }
        counts["failures"] = {
            name: int(text) for name, text in cells.items() if "." in name
        }
        started = float(cells.get("started_at", 1))
        lines.append(_sample_line(float(cells["at"]), started, counts))
    _write_series(context, lines)


@given(
    "a series of {number:d} samples every {seconds:d} s that grows by "
    "{reads:d} reads and {failed:d} failures"
)
def step_steady(
    context: Any, number: int, seconds: int, reads: int, failed: int
) -> None:
    lines = [
        _sample_line(
            at * seconds,
            1,
            {"reads": at * reads, "failures": {"not_run.x": at * failed}},
        )
        for at in range(number)
    ]
    context.every = seconds
    _write_series(context, lines)


@when(
    "{number:d} more sample grows by {reads:d} reads and "
    "{failed:d} failures"
)
def step_more(context: Any, number: int, reads: int, failed: int) -> None:
    lines = list(context.lines)
    for _ in range(number):
        last = json.loads(lines[-1])
        counts = last["vms"]["vm-1"]["counts"][GROUP]
        counts["reads"] += reads
        counts["failures"]["not_run.x"] += failed
        lines.append(_sample_line(last["at"] + context.every, 1, counts))
    _write_series(context, lines)


def _group_report(context: Any) -> dict[str, Any]:
    samples = report.read_series(context.series)
    reports = burn.evaluate_objectives(samples, Objectives())
    data: dict[str, Any] = report.as_json(samples, reports)["groups"][0]
    return data


@then("the report has for the group")
def step_figures(context: Any) -> None:
    found = _group_report(context)
    for row in context.table:
        section, _, name = row["figure"].partition(".")
        value = found[section][name]
        assert value == float(row["value"]), (row["figure"], value)


@then("the group misses just latency")
def step_missed_objectives(context: Any) -> None:
    assert _group_report(context)["misses"] == ["latency"], _group_report(
        context
    )


@then("the report pages for availability over 60 minutes")
def step_pages(context: Any) -> None:
    alerts = [
        (each["severity"], each["objective"], each["long_minutes"])
        for each in _group_report(context)["alerts"]
    ]
    assert ("page", "availability", 60) in alerts, alerts


@then("the report does not page")
def step_no_page(context: Any) -> None:
    alerts = _group_report(context)["alerts"]
    pages = [
        each
        for each in alerts
        if each["severity"] == "page" and each["long_minutes"] == 60
    ]
    assert not pages, alerts


@then("the tallies of any split of a series add up to the whole")
def step_split(context: Any) -> None:
    growth = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 50),
            strategies.integers(0, 5),
            strategies.booleans(),
        ),
        min_size=2,
        max_size=20,
    )

    @hypothesis_settings(derandomize=True, deadline=None)
    @for_all(growth, strategies.integers(0, 20))
    def holds(steps: list[tuple[int, int, bool]], cut: int) -> None:
        samples = _samples(steps)
        end = samples[-1].at
        cut_at = float(min(cut, len(steps)))
        parts = [
            burn.tally_between(samples, 0, cut_at),
            burn.tally_between(samples, cut_at, end),
        ]
        total = burn.Tally()
        for part in parts:
            total.add(part.get(GROUP, burn.Tally()))
        assert total.reads == sum(reads for reads, _, _ in steps)
        assert total.failed == sum(failed for _, failed, _ in steps)

    holds()


def _samples(steps: list[tuple[int, int, bool]]) -> list[burn.Sample]:
    """Return samples that grow by each step, some after a restart."""
    reads = failed = 0
    started = 0.0
    samples = [_new_sample(0.0, started, 0, 0)]
    for at, (added_reads, added_failures, restarted) in enumerate(
        steps, start=1
    ):
        if restarted:
            started, reads, failed = float(at), 0, 0
        reads += added_reads
        failed += added_failures
        samples.append(_new_sample(float(at), started, reads, failed))
    return samples


def _new_sample(
    at: float, started: float, reads: int, failed: int
) -> burn.Sample:
    tally = burn.Tally(reads=reads, failures={"not_run.x": failed})
    counts = burn.VmCounts(started_at=started, groups={GROUP: tally})
    return burn.Sample(at=at, vms={"vm-1": counts})


@given("a settings file whose objective for the gap is 1 ms")
def step_objective(context: Any) -> None:
    _write_series(context, [])
    context.settings = context.folder / "vm.json"
    objectives = {"default": {"failover_gap_ms": 1}}
    context.settings.write_text(
        TEXT.replace(
            '"logs": {"level": "info"}',
            f'"objectives": {json.dumps(objectives)}',
        )
    )


@when("the primary is killed while a caller writes and the fleet is recorded")
def step_failover(context: Any) -> None:
    fleet = context.fleet
    context.series.unlink()
    stop = threading.Event()

    def work() -> None:
        caller = Caller(entries=fleet.entries())
        while not stop.wait(0.01):
            caller.write(GROUP, WRITE)

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    kill = threading.Timer(
        KILL_AFTER_SECONDS, fleet.kill, [fleet.primary(GROUP)]
    )
    kill.start()
    done = run_command(
        f"record {context.series} --seconds {RECORD_SECONDS} --every 0.5",
        BAMBOOSPRING_VM=context.vm.operators_listen,
        BAMBOOSPRING_TOKEN=context.token,
    )
    stop.set()
    thread.join()
    assert done.returncode == 0, done


@then('"bamboospring report" ends with 1 and shows a gap as missed')
def step_gap(context: Any) -> None:
    context.page = context.folder / "report.html"
    done = run_command(
        f"report {context.series} --json --html {context.page} "
        f"--settings {context.settings}"
    )
    assert done.returncode == 1, done
    (group,) = json.loads(done.stdout)["groups"]
    assert "failover_gap" in group["misses"], group
    assert group["failover_gap"]["gaps"] >= 1, group


@then("its page has a plot of the group")
def step_plot(context: Any) -> None:
    page = context.page.read_text()
    assert "data:image/png;base64," in page
    assert GROUP in page


@given("a series whose line 2 is broken")
def step_broken(context: Any) -> None:
    _write_series(
        context, [_sample_line(0, 1, {"reads": 0, "failures": {}}), "{broken"]
    )


@then('"bamboospring report" ends with 2 and names line 2')
def step_broken_named(context: Any) -> None:
    done = run_command(f"report {context.series}")
    assert done.returncode == 2, done
    assert f"{context.series}:2:1: " in done.stderr, done
