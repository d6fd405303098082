"""Runs the jobs of a scenario with retries and collects statistics.

A refusal which states that nothing ran is retried after `retry_after_ms`; an
unknown or lost answer is retried with the same key through another entry.
Each step is therefore acknowledged in the end, or counted as unfinished when
the time is over.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import time

from hdrh.histogram import HdrHistogram

from bamboospring.scenarios import Job
from bamboospring.scenarios import Scenario
from bamboospring.scenarios import Sql
from bamboospring.scenarios import Step
from bamboospring.testing.caller import Caller
from bamboospring.testing.caller import CallerAnswer

__all__ = ["JobRunner", "RequestStats"]

MAX_MICROSECONDS = 60_000_000
MAX_BACKOFF_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.01


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, 3)


@dataclass(slots=True, kw_only=True)
class RequestStats:
    """Statistics of the requests of one or more callers."""

    outcomes: Counter[str] = field(default_factory=Counter)
    reads: int = 0
    reads_at_replicas: int = 0
    stale_reads: int = 0
    replays: int = 0
    wrong_answers: int = 0
    steps_acknowledged: int = 0
    steps_unfinished: int = 0
    jobs: int = 0
    acknowledged: list[tuple[str, str]] = field(default_factory=list)
    read_us: HdrHistogram = field(default_factory=_histogram)
    write_us: HdrHistogram = field(default_factory=_histogram)

    def add(self, other: RequestStats) -> None:
        """Add the statistics of `other`."""
        self.outcomes += other.outcomes
        self.reads += other.reads
        self.reads_at_replicas += other.reads_at_replicas
        self.stale_reads += other.stale_reads
        self.replays += other.replays
        self.wrong_answers += other.wrong_answers
        self.steps_acknowledged += other.steps_acknowledged
        self.steps_unfinished += other.steps_unfinished
        self.jobs += other.jobs
        self.acknowledged += other.acknowledged
        self.read_us.add(other.read_us)
        self.write_us.add(other.write_us)

    def replica_share(self) -> float:
        """Return the share of successful reads that replicas served."""
        return self.reads_at_replicas / self.reads if self.reads else 0.0


class JobRunner:
    """Runs jobs with one caller until the monotonic time `stop_at`."""

    def __init__(
        self, *, caller: Caller, scenario: Scenario, stop_at: float
    ) -> None:
        self.stats = RequestStats()
        self._caller = caller
        self._scenario = scenario
        self._stop_at = stop_at

    def run(self, job: Job) -> None:
        """Run all steps of a job and check its status after each."""
        for number, step in enumerate(job.steps, start=1):
            if not self._run_step_until_done(job, step):
                self.stats.steps_unfinished += 1
                return
            self.stats.steps_acknowledged += 1
            self.stats.acknowledged.append((job.group, step.key))
            self._caller.roam()
            self._check_status(job, number)
            self._run_lookups(job)
        self.stats.jobs += 1

    def _run_step_until_done(self, job: Job, step: Step) -> bool:
        while time.monotonic() < self._stop_at:
            answer = self._try_step(job, step)
            if answer.done:
                self.stats.replays += answer.replayed
                return True
            if answer.outcome == "failed" and answer.reason == "sql":
                raise RuntimeError(f"{step.key}: {answer}")
            self._back_off(answer)
        return False

    def _try_step(self, job: Job, step: Step) -> CallerAnswer:
        if len(step.statements) == 1:
            only = step.statements[0]
            return self._count_write(
                self._caller.write(
                    job.group, only.text, only.params, key=step.key
                )
            )
        return self._try_transaction(job, step)

    def _try_transaction(self, job: Job, step: Step) -> CallerAnswer:
        begun = self._count_write(self._caller.begin(job.group))
        if not begun.done:
            return begun
        handle = begun.transaction
        for sql in step.statements:
            self._caller.roam()
            answer = self._count_write(
                self._caller.statement(job.group, handle, sql.text, sql.params)
            )
            if not answer.done:
                return answer
            handle = answer.transaction
        return self._count_write(
            self._caller.commit(job.group, handle, key=step.key)
        )

    def _check_status(self, job: Job, min_status: int) -> None:
        answer = self._read(job, job.status, None)
        if answer is None:
            return
        if not answer.rows or len(answer.rows[0]) != 1:
            self.stats.wrong_answers += 1
        elif answer.rows[0][0] < min_status:
            self.stats.stale_reads += 1

    def _run_lookups(self, job: Job) -> None:
        for _ in range(self._scenario.lookups_per_step):
            self._read(job, job.lookup, self._scenario.staleness_ms)

    def _read(
        self, job: Job, sql: Sql, staleness_ms: int | None
    ) -> CallerAnswer | None:
        while time.monotonic() < self._stop_at:
            answer = self._caller.read(
                job.group, sql.text, sql.params, staleness_ms=staleness_ms
            )
            self._count(answer)
            if answer.done:
                self.stats.reads += 1
                self.stats.reads_at_replicas += answer.at_replica
                self.stats.read_us.record_value(_microseconds(answer))
                return answer
            self._back_off(answer)
        return None

    def _back_off(self, answer: CallerAnswer) -> None:
        self._caller.roam()
        seconds = answer.retry_after_ms / 1000
        time.sleep(min(MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, seconds)))

    def _count_write(self, answer: CallerAnswer) -> CallerAnswer:
        self._count(answer)
        if answer.done:
            self.stats.write_us.record_value(_microseconds(answer))
        return answer

    def _count(self, answer: CallerAnswer) -> None:
        name = answer.outcome
        if answer.reason:
            name = f"{name}:{answer.reason}"
        self.stats.outcomes[name] += 1


def _microseconds(answer: CallerAnswer) -> int:
    return max(1, min(MAX_MICROSECONDS, int(answer.elapsed * 1e6)))
