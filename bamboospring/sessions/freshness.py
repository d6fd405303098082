"""Which position of the log a read must have seen.

Each answer of a proven primary shows a position that holds every commit
acknowledged before the question was sent. Such samples, kept with the time of
their question, turn "no older than 1.5 s" into a position that a replica can
be asked to have. Of the samples that are young enough the oldest is taken:
replicas lag, and each commit more that is asked for sends more reads to the
primary.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field

from bamboospring.statements import Position

__all__ = ["Sample", "SampleLog", "required_position"]

# Samples nearer to each other than this, in seconds, are not both kept: a
# read then asks for at most this much more than its age demands.
MIN_SPACING = 0.05
# Older samples serve no route: no accepted age is longer, in seconds.
RETENTION = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """A position that held all commits acknowledged before `asked_at`."""

    asked_at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class SampleLog:
    """Samples of one term, oldest first."""

    term: int = 0
    _times: list[float] = field(default_factory=list)
    _positions: list[Position] = field(default_factory=list)

    def add(self, asked_at: float, position: Position) -> None:
        """Keep a sample; one of a newer term makes the others void.

        Entries at the end of a term's log may be lost with the primary that
        had them, so that no target would ever reach their position.
        """
        if position.term < self.term:
            return
        if position.term > self.term:
            self.clear()
            self.term = position.term
        place = bisect_left(self._times, asked_at)
        if self._is_crowded(place, asked_at):
            return
        # Answers, and samples that others pass on, come in any order.
        self._times.insert(place, asked_at)
        self._positions.insert(place, position)
        self._drop_older(asked_at - RETENTION)

    def clear(self) -> None:
        """Forget all samples, since the group has got another primary."""
        self._times.clear()
        self._positions.clear()
        self.term = 0

    def oldest_since(self, instant: float) -> Sample | None:
        """Return the oldest sample that was asked for since an instant."""
        return self._sample_at(bisect_left(self._times, instant))

    def newest(self) -> Sample | None:
        """Return the sample asked for last."""
        return self._sample_at(len(self._times) - 1) if self._times else None

    def since(self, instant: float) -> list[Sample]:
        """Return the samples that were asked for since an instant."""
        first = bisect_left(self._times, instant)
        found = (self._sample_at(n) for n in range(first, len(self._times)))
        return [sample for sample in found if sample is not None]

    def time_between(self, shown: Position, needed: Position) -> float | None:
        """Return how long after one position the primary had another.

        None if no sample is as old as the first.
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
    """Return the position that a read must see, None if none is known.

    `since` is the instant whose acknowledged commits must be seen. `written`
    is the session's own last commit; one of an ended term is covered by any
    sample of the next, whose log goes on from what survived.

    Example: samples at 10.0 s (term 3, 7) and 10.5 s (term 3, 9); a read at
    11.6 s that accepts 1.5 s has `since` 10.1 and must see (3, 9).
    """
    sample = samples.oldest_since(since)
    if sample is None:
        return None
    if last_commit.term < sample.position.term:
        return sample.position
    return max(sample.position, last_commit)
