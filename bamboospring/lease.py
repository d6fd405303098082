"""Who leads a bucket of groups: leases kept in the platform's objects.

A lease is an object that names its holder and changes version with each
renewal. No clocks are compared. The holder counts the life of its lease from
before the renewal was sent; anybody else counts from when the answer that
showed the version came in, which is later. So another VM can take the lease
only after the holder has stopped, whatever their clocks say, as long as they
run at nearly the same rate; the margin is for that difference.

Where the store comes back from an older copy, renewals are lost that their
holder counts on, and the lease that is shown may be one that was given up
since. So each lease names the era in which it was stored. One of an earlier
era is nobody's: its holder, if that is still so, keeps it for the rest of its
life and stores it anew, and all others wait for a whole duration.

A holder that was paused may wake after its lease has lapsed. It asks
`holds(now)` before each order; what was already sent is stopped by the terms
that targets refuse.

    keeper = LeaseKeeper(bucket=3, vm="vm-1", nonce="a7f0", timing=timing)
    action = keeper.step(now, rank=0)
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.blackboard import Lease
from bamboospring.store_version import era_of

__all__ = [
    "LeaseAction",
    "LeaseKeeper",
    "LeaseTiming",
    "LeaseValue",
    "ReadLease",
    "ObservedLease",
    "WriteLease",
]

NEVER = -1e9


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Seconds. `stagger` is the head start of each better candidate."""

    duration: float = 3.0
    renew_interval: float = 1.0
    safety_margin: float = 0.5
    stagger_delay: float = 0.3
    retry_delay: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseValue:
    """What the object says; an empty `vm` means that it was given up.

    `address` is where others reach the holder, if they should, `era` the
    store's when the holder read what this replaces.
    """

    vm: str
    nonce: str
    duration: float
    address: str = ""
    era: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLease:
    """The object as the platform showed it; version 0: there is none.

    `missing_in` is then the era in which there is none.
    """

    version: int
    value: LeaseValue
    missing_in_era: int = 0

    @property
    def era(self) -> int:
        """Return the era in which this was seen."""
        return era_of(self.version) if self.version else self.missing_in_era

    @property
    def is_current(self) -> bool:
        """Tell whether it was stored in the era in which it was seen."""
        return not self.version or self.value.era == self.era


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadLease:
    """Read the lease's object."""

    bucket: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLease:
    """Store the value if the object still has version `if_version`."""

    bucket: int
    if_version: int
    value: LeaseValue


LeaseAction = ReadLease | WriteLease


class LeaseKeeper:
    """One VM's part in the lease of one bucket.

    The adapter carries out the action that `step` returns and reports back
    by exactly one of `read`, `stored`, `conflicted` or `unanswered`, with
    the time at which the call was sent. `nonce` is new with each process, so
    that a restarted VM doesn't take its predecessor's lease for its own.
    """

    def __init__(
        self,
        *,
        bucket: int,
        vm: str,
        nonce: str,
        timing: LeaseTiming,
        address: str = "",
    ) -> None:
        self.bucket = bucket
        self.valid_until = NEVER
        # The version of the object with which this holding began. Versions
        # only grow, so orders under it are told from those of any other
        # holding, also one by the same VM.
        self.fence = 0
        self._vm = vm
        self._address = address
        self._nonce = nonce
        self._timing = timing
        self._seen = ObservedLease(version=-1, value=_empty())
        self._seen_at = NEVER
        self._next_at = NEVER
        self._busy = False
        # Whether the object was there before and is gone now.
        self._vanished = False
        self._unsure: dict[str, float] = {}
        self._count = 0

    def holds(self, now: float) -> bool:
        """Tell whether this VM may act as the holder at this instant."""
        return now < self.valid_until - self._timing.safety_margin

    def blocks_others(self, now: float) -> bool:
        """Tell whether others still wait for the end of our lease."""
        lapsed_at = self._seen_at + self._seen.value.duration
        return self._is_mine() and now < lapsed_at

    def as_lease(self) -> Lease:
        """Return what the blackboard shows."""
        return Lease(
            bucket=self.bucket,
            vm=self._seen.value.vm,
            version=max(self._seen.version, 0),
            duration=self._seen.value.duration,
            version_seen_at=self._seen_at,
            valid_until=self.valid_until,
        )

    def holder_address(self) -> str:
        """Return where the holder is reached, as last seen."""
        return self._seen.value.address

    def step(self, now: float, rank: int | None) -> LeaseAction | None:
        """Return the call to make now, if any.

        `rank` is this VM's place among the candidates; None if it is none,
        or is leaving.
        """
        if self._busy or now < self._next_at:
            return None
        if self._unsure or self._seen.version < 0:
            if rank is None and not self._unsure:
                return None
            return self._read_now()
        if self._keeps(now):
            return self._step_mine(now, rank)
        return self._step_other(now, rank)

    def _step_mine(self, now: float, rank: int | None) -> LeaseAction:
        if rank is None:
            # Stopped before the message goes out: the next holder may act
            # the moment the platform has it.
            self.valid_until = NEVER
            return self._write("")
        return self._write(self._vm)

    def _step_other(self, now: float, rank: int | None) -> LeaseAction | None:
        self.valid_until = NEVER
        if rank is None:
            return None
        free_at = self._free_at()
        if now >= free_at + rank * self._timing.stagger_delay:
            return self._write(self._vm)
        # While a better candidate has its head start there is nothing to
        # read: the conditional update tells whether it came first.
        return None if now >= free_at else self._read_now()

    def _free_at(self) -> float:
        """Return when the lease may be taken, if its version stays."""
        value = self._seen.value
        if self._vanished or not self._seen.is_current:
            # Whoever holds it knows of a later state than the store shows.
            longest = max(value.duration, self._timing.duration)
            return self._seen_at + longest
        if not value.vm:
            return self._seen_at
        return self._seen_at + value.duration

    def _read_now(self) -> LeaseAction:
        self._busy = True
        return ReadLease(bucket=self.bucket)

    def _write(self, vm: str) -> LeaseAction:
        self._busy = True
        self._count += 1
        return WriteLease(
            bucket=self.bucket,
            if_version=self._seen.version,
            value=LeaseValue(
                vm=vm,
                nonce=f"{self._nonce}/{self._count}",
                duration=self._timing.duration,
                address=self._address,
                era=self._seen.era,
            ),
        )

    # What became of the call.

    def on_read(self, sent_at: float, now: float, seen: ObservedLease) -> None:
        """Take in the object as it was read."""
        self._busy = False
        self._take(now, seen)

    def on_stored(
        self, sent_at: float, now: float, action: WriteLease, version: int
    ) -> None:
        """Take in that our update was done."""
        self._busy = False
        self._unsure[action.value.nonce] = sent_at
        self._take(now, ObservedLease(version=version, value=action.value))

    def on_observed(self, now: float, seen: ObservedLease) -> None:
        """Take in a newer version that was seen by the way.

        A lease that is noticed late is waited out late: without this a holder
        that dies right after a renewal is followed up to a whole interval of
        looks later.
        """
        if self._busy or self._unsure or self._is_mine():
            return
        if seen.version > self._seen.version:
            self._take(now, seen)

    def on_conflict(
        self, sent_at: float, now: float, seen: ObservedLease
    ) -> None:
        """Take in that the object was at another version.

        It may be our own earlier update whose answer was lost.
        """
        self._busy = False
        self._take(now, seen)

    def on_no_answer(
        self, sent_at: float, now: float, action: LeaseAction
    ) -> None:
        """Take in that nothing is known of the call.

        An update may have been done, or be done yet, so the object is read
        before anything else is concluded from it.
        """
        self._busy = False
        self._next_at = now + self._timing.retry_delay
        if isinstance(action, WriteLease):
            self._unsure[action.value.nonce] = sent_at

    def _take(self, now: float, seen: ObservedLease) -> None:
        if seen.version != self._seen.version:
            self._vanished = not seen.version and self._seen.version > 0
            self._seen = seen
            self._seen_at = now
        sent_at = self._unsure.get(seen.value.nonce)
        self._unsure.clear()
        if not self._keeps(now):
            self.valid_until = NEVER
            self.fence = 0
            self._next_at = self._next_look(now)
            return
        if not self.fence or now >= self.valid_until:
            self.fence = seen.version
        if not seen.is_current:
            self._next_at = now
        elif sent_at is not None:
            self.valid_until = sent_at + seen.value.duration
            self._next_at = sent_at + self._timing.renew_interval

    def _next_look(self, now: float) -> float:
        """Look again at the next interval, or when the lease gets free."""
        free_at = self._free_at()
        timing = self._timing
        look = now + timing.renew_interval
        return min(look, free_at) if free_at > now else now

    def _keeps(self, now: float) -> bool:
        """Tell whether the lease is ours to renew."""
        if not self._is_mine():
            return False
        return self._seen.is_current or now < self.valid_until

    def _is_mine(self) -> bool:
        value = self._seen.value
        return value.vm == self._vm and value.nonce.startswith(
            self._nonce + "/"
        )


def _empty() -> LeaseValue:
    return LeaseValue(vm="", nonce="", duration=0.0)
