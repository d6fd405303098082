"""Generated races of edits over a platform that delays and loses answers.

At the end every report must be true: an accepted edit is in the history, a
refused, overtaken or unavailable edit never was, and no edit has overwritten a
version that its author had not read.

The runs fail with each of these faults seeded (by hand, in a scratch copy):

1. an unsettled update is not settled before checks   refused, and stored
2. an unanswered update is reported immediately       unavailable, and stored
3. the version that the author read is ignored        accepted, not stored
4. the edit itself is not recognized when read back   overtaken, and stored
5. an unanswered update is not recorded               unavailable, and stored
6. a conflict is attributed to another author         overtaken, and stored
7. any read settles an unanswered update              unavailable, and stored
8. the edit is marked as stored only after all reads  overtaken, and stored

The last fault was in the code and was found by these runs. They do not find
another one: an edit read back as stored was reported as partly accepted if
another read failed at the same time. `report_when_read_back` replays that
order.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from configuration_properties import Clock
from configuration_properties import FakeReactor
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies

from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.table import decode_stored
from bamboospring.table import RowEdit
from bamboospring.table_editor import EditReport
from bamboospring.table_editor import EditRequest
from bamboospring.table_editor import TableEditor
from bamboospring.table_editor import Verdict

__all__ = ["check_edits", "report_when_read_back"]

GROUP = "ledger"
STEPS = 50
END_SECONDS = 60
NOT_STORED = (Verdict.REFUSED, Verdict.OVERTAKEN, Verdict.UNAVAILABLE)
RECORD = {
    "targets": [
        {"name": f"m{n}", "address": f"address-{n}", "site": "old"}
        for n in (1, 2)
    ]
}


class DelayingPlatform:
    """A platform that applies updates in any order and may lose answers."""

    def __init__(self, clock: Clock) -> None:
        self.undelivered: list[Callable[[bool], None]] = []
        self.updates: set[Callable[[bool], None]] = set()
        self.version = 0
        self.value: Any = None
        self.ids: list[str] = []
        self._reactor = FakeReactor(clock)

    def get(self, kind: str, name: str, purpose: str, on_result: Any) -> None:
        """Read an object as it is when the call arrives."""
        once = self._once(on_result, maybe_applied=False)

        def arrive(answered: bool) -> None:
            result: Found | Missing = Missing(kind=kind, name=name)
            if kind == "group":
                result = Found(kind=kind, name=name, version=1, value=RECORD)
            elif self.version:
                result = Found(
                    kind=kind,
                    name=name,
                    version=self.version,
                    value=self.value,
                )
            if answered:
                once(result)

        self.undelivered.append(arrive)

    def put(
        self,
        kind: str,
        name: str,
        if_version: int,
        value: Any,
        purpose: str,
        on_result: Any,
    ) -> None:
        """Store conditionally when the call arrives, which may be late."""
        once = self._once(on_result, maybe_applied=True)

        def arrive(answered: bool) -> None:
            result: Stored | Conflict
            if if_version == self.version:
                self.version += 1
                self.value = value
                self.ids.append(value["history"][-1]["id"])
                result = Stored(version=self.version)
            else:
                result = Conflict(version=self.version, value=self.value)
            if answered:
                once(result)

        self.undelivered.append(arrive)
        self.updates.add(arrive)

    def _once(
        self, on_result: Any, *, maybe_applied: bool
    ) -> Callable[[Any], None]:
        done = [False]

        def call(result: Any) -> None:
            if not done[0]:
                done[0] = True
                on_result(result)

        lost = Unavailable(maybe_applied=maybe_applied, retry_after=0.1)
        self._reactor.call_later(2.0, lambda: call(lost))
        return call


class Desk:
    """Operators who edit one row, and the reports that they got."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.platform = DelayingPlatform(self.clock)
        self.unresponsive: set[str] = set()
        self.reports: dict[str, EditReport] = {}
        self.read_versions: dict[str, int] = {}
        self._reactor = FakeReactor(self.clock)

    def edit(self, slots: int) -> None:
        """Edit the row as stored, through a separate editor."""
        stored = decode_stored(self.platform.version, self.platform.value)
        assert stored is not None
        name = f"edit-{len(self.read_versions)}"
        self.read_versions[name] = stored.row_version(GROUP)
        editor = TableEditor(
            reactor=self._reactor,  # type: ignore[arg-type]
            platform=self.platform,  # type: ignore[arg-type]
            probe_targets=self._probe_targets,
            on_stored=lambda shard, version, value: None,
        )
        cells = {"max_slots": slots, "read_weights": {"old": 100}}
        request = EditRequest(
            id=name,
            author=name,
            at="2026-01-01",
            edits=(
                RowEdit(
                    group=GROUP,
                    cells=cells,
                    if_version=self.read_versions[name],
                ),
            ),
        )
        editor.submit(
            request, lambda report: self._record_report(name, report)
        )

    def _record_report(self, name: str, report: EditReport) -> None:
        assert name not in self.reports, f"{name} was reported twice"
        self.reports[name] = report

    def _probe_targets(
        self, addresses: Sequence[str], on_done: Callable[[set[str]], None]
    ) -> None:
        on_done({each for each in addresses if each in self.unresponsive})

    def deliver(self, index: int, answered: bool) -> None:
        """Deliver a call; its answer is lost unless `answered`."""
        bag = self.platform.undelivered
        if bag:
            bag.pop(index % len(bag))(answered)

    def deliver_reads(self) -> None:
        """Deliver all pending reads, but no updates."""
        updates = self.platform.updates
        for call in [c for c in self.platform.undelivered if c not in updates]:
            self.platform.undelivered.remove(call)
            call(True)

    def end(self) -> None:
        """Deliver all calls, the oldest first."""
        for _ in range(END_SECONDS * 2):
            while self.platform.undelivered:
                self.deliver(0, True)
            self.clock.advance(0.5)

    def check(self) -> None:
        """Check that every report is true."""
        ids = self.platform.ids
        assert set(self.reports) == set(
            self.read_versions
        ), "an edit was not reported"
        assert len(ids) == len(set(ids)), f"an edit was stored twice: {ids}"
        for name, report in self.reports.items():
            if report.verdict is Verdict.ACCEPTED and report.cells:
                assert name in ids, f"{name} accepted, not stored"
            if report.verdict in NOT_STORED:
                assert name not in ids, f"{name} {report.verdict}, stored"
        stored = decode_stored(self.platform.version, self.platform.value)
        assert stored is not None
        version = 0
        for change in stored.history:
            assert (
                self.read_versions[change.id] == version
            ), f"{change.id} overwrote"
            version = change.base + 1


def report_when_read_back() -> EditReport:
    """Return the report of an edit that is read back as stored.

    The group, which is read at the same time, is not answered.
    """
    desk = Desk()
    bag = desk.platform.undelivered
    desk.edit(2)
    desk.deliver_reads()
    desk.deliver(0, False)
    while not bag:
        desk.clock.advance(0.1)
    group, shard = bag
    bag.clear()
    shard(True)
    for _ in range(END_SECONDS * 10):
        if desk.reports:
            break
        desk.clock.advance(0.1)
        bag.clear()
    (report,) = desk.reports.values()
    return report


STEP = strategies.one_of(
    strategies.tuples(strategies.just("edit"), strategies.integers(1, 3)),
    strategies.tuples(strategies.just("arrive"), strategies.integers(0, 5)),
    strategies.tuples(strategies.just("arrive"), strategies.integers(0, 5)),
    strategies.tuples(strategies.just("arrive"), strategies.integers(0, 5)),
    strategies.tuples(
        strategies.just("unanswered"), strategies.integers(0, 5)
    ),
    strategies.tuples(strategies.just("pass"), strategies.integers(1, 30)),
    strategies.tuples(strategies.just("pass"), strategies.just(30)),
    strategies.tuples(strategies.just("reads"), strategies.just(0)),
    strategies.tuples(strategies.just("reads"), strategies.just(0)),
    strategies.tuples(strategies.just("silent"), strategies.booleans()),
)


def run_step(desk: Desk, what: str, value: Any) -> None:
    """Run one generated step."""
    match what:
        case "edit":
            desk.edit(value)
        case "arrive":
            desk.deliver(value, True)
        case "unanswered":
            desk.deliver(value, False)
        case "pass":
            desk.clock.advance(value / 10)
        case "reads":
            desk.deliver_reads()
        case "silent":
            desk.unresponsive = {"address-1", "address-2"} if value else set()


def check_edits(runs: int) -> None:
    """Run `runs` generated races; raise AssertionError on a fault."""

    @settings(
        max_examples=runs,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=strategies.lists(STEP, min_size=15, max_size=STEPS))
    def run(steps: list[tuple[str, Any]]) -> None:
        desk = Desk()
        for what, value in steps:
            run_step(desk, what, value)
        desk.end()
        desk.check()

    run()
