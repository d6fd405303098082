"""Whether a target has fallen silent, seen from one VM.

The load that it answers: a target that this VM alone has lost, by a cut
between the two, or one whose machine is gone. Nothing refuses; connections
hang. Statements that wait for one would wait through their whole time, though
other VMs may well reach the target and their callers could try there.

A target counts as silent once something asked of it, a new connection or a
statement, has gone on for several times what its statements usually take
while nothing at all was heard from it. A busy target answers somebody all the
while, so its queue alone is never taken for silence.

Nothing here does I/O or asks for the time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Silence"]

# So many times the usual time of a statement without a word mean silence.
# Work varies by a factor of five; with less than this, targets under a long
# statement would be passed over.
TIMES_USUAL = 8.0


@dataclass(slots=True, kw_only=True)
class Silence:
    """What was asked of a target and when it was last heard.

    `least` is the shortest silence that counts, in seconds; infinity where
    silence is not judged. `asked_at` is when the oldest question under way
    was asked, `unanswered_since` when the first was since the last word, also
    if all have been given up by now.
    """

    least: float = float("inf")
    asked_at: float | None = None
    unanswered_since: float | None = None

    def asked(self, now: float) -> None:
        """Note that something was asked of the target."""
        if self.asked_at is None:
            self.asked_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now

    def heard(self, now: float, *, asking: bool) -> None:
        """Note a word of it; `asking` tells if more is under way."""
        self.asked_at = now if asking else None
        self.unanswered_since = self.asked_at

    def gave_up(self, *, asking: bool) -> None:
        """Note an end without a word; the next question is a trial again."""
        if not asking:
            self.asked_at = None

    def due_at(self, usual: float) -> float | None:
        """Return from when on the silence counts, None if nothing is asked.

        `usual` is the time that a statement usually takes there, in seconds.
        """
        if self.asked_at is None:
            return None
        return self.asked_at + max(self.least, TIMES_USUAL * usual)

    def holds(self, now: float, usual: float) -> bool:
        """Tell whether the target is silent."""
        due = self.due_at(usual)
        return due is not None and now >= due
