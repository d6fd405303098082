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

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from bamboospring.statements import Position

__all__ = ["Sample", "SampleLog", "required_position"]

# Samples nearer to each other than this, in seconds, are not both kept: a
# read then asks for at most this much more than its age demands.
SPACING = 0.02
# Older samples serve no route: no accepted age is longer, in seconds.
KEPT = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """A position that held all commits acknowledged before `asked_at`."""

    asked_at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class SampleLog:
    """Samples of one term, oldest first."""

    term: int = 0
    _samples: deque[Sample] = field(default_factory=deque)

    def add(self, asked_at: float, position: Position) -> None:
        """Keep a sample; one of a newer term makes the others void.

        Entries at the end of a term's log may be lost with the primary that
        had them, so that no target would ever reach their position.
        """
        if position.term < self.term:
            return
        if position.term > self.term:
            self._samples.clear()
            self.term = position.term
        self._insert(Sample(asked_at=asked_at, position=position))
        oldest = asked_at - KEPT
        while self._samples[0].asked_at < oldest:
            self._samples.popleft()

    def clear(self) -> None:
        """Forget all samples, since the group has got another primary."""
        self._samples.clear()
        self.term = 0

    def oldest_since(self, instant: float) -> Sample | None:
        """Return the oldest sample that was asked for since an instant."""
        samples = self._samples
        low, high = 0, len(samples)
        while low < high:
            middle = (low + high) // 2
            if samples[middle].asked_at < instant:
                low = middle + 1
            else:
                high = middle
        return samples[low] if low < len(samples) else None

    def newest(self) -> Sample | None:
        """Return the sample asked for last."""
        return self._samples[-1] if self._samples else None

    def _insert(self, sample: Sample) -> None:
        # Answers may come in another order than their questions were sent.
        # Each sample is true by itself, so one that comes late and is older
        # than the newest is left out: it would serve reads for a shorter time.
        last = self.newest()
        if last is None or sample.asked_at >= last.asked_at + SPACING:
            self._samples.append(sample)


def required_position(
    samples: SampleLog, *, since: float, written: Position
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
    if written.term < sample.position.term:
        return sample.position
    return max(sample.position, written)
