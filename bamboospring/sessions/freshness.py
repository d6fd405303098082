"""Decide which position of the log a read must have seen.

Each answer of a proven primary shows a position that includes every commit
acknowledged before the question was sent. Such samples, kept with the times of
their questions, turn "no older than 1.5 s" into a position that a replica can
be asked to have. Of the samples that are recent enough the oldest is used:
replicas lag, and every further commit that is required sends more reads to the
primary.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field

from bamboospring.statements import Position

__all__ = ["Sample", "SampleLog", "required_position"]

# Seconds between two samples that are both kept. A read requires a position
# that is newer than its accepted age demands by at most this much.
MIN_SPACING = 0.05
# Seconds for which samples are kept. No route accepts a greater age.
RETENTION = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """A position that includes all commits acknowledged before `asked_at`."""

    asked_at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class SampleLog:
    """The samples of one term, oldest first."""

    term: int = 0
    _times: list[float] = field(default_factory=list)
    _positions: list[Position] = field(default_factory=list)

    def add(self, asked_at: float, position: Position) -> None:
        """Add a sample; one of a newer term discards all others.

        Entries at the end of a term's log may be lost with the primary that
        had them, and then no target would ever reach their position.
        """
        if position.term < self.term:
            return
        if position.term > self.term:
            self.clear()
            self.term = position.term
        place = bisect_left(self._times, asked_at)
        if self._is_crowded(place, asked_at):
            return
        # Answers, and samples forwarded by other VMs, arrive in any order.
        self._times.insert(place, asked_at)
        self._positions.insert(place, position)
        self._drop_older(asked_at - RETENTION)

    def clear(self) -> None:
        """Discard all samples, because the group has another primary."""
        self._times.clear()
        self._positions.clear()
        self.term = 0

    def oldest_since(self, instant: float) -> Sample | None:
        """Return the oldest sample asked for at or after an instant."""
        return self._sample_at(bisect_left(self._times, instant))

    def newest(self) -> Sample | None:
        """Return the sample asked for last."""
        return self._sample_at(len(self._times) - 1) if self._times else None

    def since(self, instant: float) -> list[Sample]:
        """Return the samples asked for at or after an instant."""
        first = bisect_left(self._times, instant)
        found = (self._sample_at(n) for n in range(first, len(self._times)))
        return [sample for sample in found if sample is not None]

    def time_between(self, shown: Position, needed: Position) -> float | None:
        """Return the time between the primary's reaching two positions.

        None if no sample is as old as the first position.
        """
        pairs = list(zip(self._times, self._positions))
        before = [at for at, position in pairs if position <= shown]
        after = [at for at, position in pairs if position >= needed]
        if not before:
            return None
        if not after:
            return self._times[-1] - before[-1]
        return max(0.0, after[0] - before[-1])

    def _sample_at(self, place: int) -> Sample | None:
        if place >= len(self._times):
            return None
        return Sample(
            asked_at=self._times[place], position=self._positions[place]
        )

    def _is_crowded(self, place: int, asked_at: float) -> bool:
        times = self._times
        if place < len(times) and times[place] - asked_at < MIN_SPACING:
            return True
        return place > 0 and asked_at - times[place - 1] < MIN_SPACING

    def _drop_older(self, oldest: float) -> None:
        stale = bisect_left(self._times, oldest)
        if stale:
            del self._times[:stale]
            del self._positions[:stale]


def required_position(
    samples: SampleLog, *, since: float, last_commit: Position
) -> Position | None:
    """Return the position that a read must see; None if it is unknown.

    `since` is the instant whose acknowledged commits must be seen.
    `last_commit` is the position of the session's own last commit; if its term
    has ended, any sample of the next term covers it, because the log of that
    term continues from the surviving entries.

    Example: there are samples at 10.0 s (term 3, index 7) and 10.5 s (term 3,
    index 9). A read at 11.6 s that accepts an age of 1.5 s has `since` 10.1
    and must see (3, 9).
    """
    sample = samples.oldest_since(since)
    if sample is None:
        return None
    if last_commit.term < sample.position.term:
        return sample.position
    return max(sample.position, last_commit)
