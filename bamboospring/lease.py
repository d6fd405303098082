"""Leases on buckets of groups, stored as objects at the platform.

A lease is an object that names its holder; each renewal changes its version.
Clocks are never compared. The holder counts the duration from before it sent
the renewal; every other VM counts from when it received the answer that
showed the version, which is later. Another VM can therefore take the lease
only after it has expired at the holder, whatever the clocks show, as long as
they run at nearly the same rate; the safety margin covers the difference.

When the store is restored from an older copy, renewals on which a holder
relies are lost, and the lease in the store may be one that was released
since. Each lease therefore names the era in which it was stored. A lease of
an earlier era has no valid holder in the store: its holder, if it still is
one, keeps it until it expires and stores it again, and all others wait for a
whole duration.

A holder that was paused may resume after its lease has expired. It calls
`holds(now)` before each order; targets refuse orders that were sent before,
by their term.

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
    "ObservedLease",
    "ReadLease",
    "WriteLease",
]

NEVER = -1e9


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Durations in seconds.

    `stagger_delay` is the head start that each candidate has over the next.
    """

    duration: float = 3.0
    renew_interval: float = 1.0
    safety_margin: float = 0.5
    stagger_delay: float = 0.3
    retry_delay: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseValue:
    """The contents of the lease object; an empty `vm` means released.

    `address` is where others reach the holder, if they need to. `era` is the
    store's era when the holder read the value that this one replaces.
    """

    vm: str
    nonce: str
    duration: float
    address: str = ""
    era: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedLease:
    """The object as the platform returned it; version 0 if it is missing.

    `missing_in_era` is the era in which it is missing.
    """

    version: int
    value: LeaseValue
    missing_in_era: int = 0

    @property
    def era(self) -> int:
        """Return the era in which the object was observed."""
        return era_of(self.version) if self.version else self.missing_in_era

    @property
    def is_current(self) -> bool:
        """Return whether it was stored in the era in which it was observed."""
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
    """The lease controller of one VM and one bucket.

    The adapter carries out the action that `step` returns and then calls
    exactly one of `on_read`, `on_stored`, `on_conflict` or `on_no_answer`
    with the time at which the call was sent. `nonce` differs for each process,
    so that a restarted VM does not mistake its previous process's lease for
    its own.
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
        # The object's version when this VM acquired the lease. Versions only
        # grow, so orders under this fence differ from those of any other
        # holder and of an earlier lease of the same VM.
        self.fence = 0
        self._vm = vm
        self._address = address
        self._nonce = nonce
        self._timing = timing
        self._observed = ObservedLease(version=-1, value=_empty())
        self._observed_at = NEVER
        self._next_call_at = NEVER
        self._call_in_flight = False
        # Whether the object existed before and is missing now.
        self._has_vanished = False
        self._unresolved_writes: dict[str, float] = {}
        self._write_count = 0

    def holds(self, now: float) -> bool:
        """Return whether this VM may act as the holder at this instant."""
        return now < self.valid_until - self._timing.safety_margin

    def blocks_others(self, now: float) -> bool:
        """Return whether others still wait for this VM's lease to expire."""
        expires_at = self._observed_at + self._observed.value.duration
        return self._is_own() and now < expires_at

    def as_lease(self) -> Lease:
        """Return the lease for the blackboard."""
        return Lease(
            bucket=self.bucket,
            vm=self._observed.value.vm,
            version=max(self._observed.version, 0),
            duration=self._observed.value.duration,
            version_seen_at=self._observed_at,
            valid_until=self.valid_until,
        )

    def holder_address(self) -> str:
        """Return the holder's address, as last observed."""
        return self._observed.value.address

    def step(self, now: float, rank: int | None) -> LeaseAction | None:
        """Return the call to make now, if any.

        `rank` is this VM's rank among the candidates; None if it is not a
        candidate or is leaving.
        """
        if self._call_in_flight or now < self._next_call_at:
            return None
        if self._unresolved_writes or self._observed.version < 0:
            if rank is None and not self._unresolved_writes:
                return None
            return self._read_now()
        if self._is_renewable(now):
            return self._step_held(now, rank)
        return self._step_other(now, rank)

    def _step_held(self, now: float, rank: int | None) -> LeaseAction:
        if rank is None:
            # Stop acting before the release is sent: the next holder may act
            # as soon as the platform has stored it.
            self.valid_until = NEVER
            return self._write("")
        return self._write(self._vm)

    def _step_other(self, now: float, rank: int | None) -> LeaseAction | None:
        self.valid_until = NEVER
        if rank is None:
            return None
        available_at = self._available_at()
        if now >= available_at + rank * self._timing.stagger_delay:
            return self._write(self._vm)
        # No read is needed during the head start of a better candidate: the
        # conditional update conflicts if that candidate was first.
        return None if now >= available_at else self._read_now()

    def _available_at(self) -> float:
        """Return when the lease may be taken if its version is unchanged."""
        value = self._observed.value
        if self._has_vanished or not self._observed.is_current:
            # A holder may exist that relies on a later state of the object
            # than the store has.
            longest = max(value.duration, self._timing.duration)
            return self._observed_at + longest
        if not value.vm:
            return self._observed_at
        return self._observed_at + value.duration

    def _read_now(self) -> LeaseAction:
        self._call_in_flight = True
        return ReadLease(bucket=self.bucket)

    def _write(self, vm: str) -> LeaseAction:
        self._call_in_flight = True
        self._write_count += 1
        return WriteLease(
            bucket=self.bucket,
            if_version=self._observed.version,
            value=LeaseValue(
                vm=vm,
                nonce=f"{self._nonce}/{self._write_count}",
                duration=self._timing.duration,
                address=self._address,
                era=self._observed.era,
            ),
        )

    # Results of calls.

    def on_read(self, sent_at: float, now: float, seen: ObservedLease) -> None:
        """Handle the object that was read."""
        self._call_in_flight = False
        self._observe(now, seen)

    def on_stored(
        self, sent_at: float, now: float, action: WriteLease, version: int
    ) -> None:
        """Handle the success of an update."""
        self._call_in_flight = False
        self._unresolved_writes[action.value.nonce] = sent_at
        self._observe(now, ObservedLease(version=version, value=action.value))

    def on_observed(self, now: float, seen: ObservedLease) -> None:
        """Handle a newer version observed outside of this keeper's calls.

        The waiting time begins when a version is first observed. Without
        this, a holder that dies right after a renewal would be replaced up to
        a whole read interval later.
        """
        if self._call_in_flight or self._unresolved_writes or self._is_own():
            return
        if seen.version > self._observed.version:
            self._observe(now, seen)

    def on_conflict(
        self, sent_at: float, now: float, seen: ObservedLease
    ) -> None:
        """Handle an update that failed because the version differed.

        The object may contain an earlier update of this keeper whose answer
        was lost.
        """
        self._call_in_flight = False
        self._observe(now, seen)

    def on_no_answer(
        self, sent_at: float, now: float, action: LeaseAction
    ) -> None:
        """Handle a call whose outcome is unknown.

        An update may have taken effect or may still do so, so the object is
        read before the next decision.
        """
        self._call_in_flight = False
        self._next_call_at = now + self._timing.retry_delay
        if isinstance(action, WriteLease):
            self._unresolved_writes[action.value.nonce] = sent_at

    def _observe(self, now: float, seen: ObservedLease) -> None:
        if seen.version != self._observed.version:
            self._has_vanished = (
                not seen.version and self._observed.version > 0
            )
            self._observed = seen
            self._observed_at = now
        sent_at = self._unresolved_writes.get(seen.value.nonce)
        self._unresolved_writes.clear()
        if not self._is_renewable(now):
            self.valid_until = NEVER
            self.fence = 0
            self._next_call_at = self._next_read_at(now)
            return
        if not self.fence or now >= self.valid_until:
            self.fence = seen.version
        if not seen.is_current:
            self._next_call_at = now
        elif sent_at is not None:
            self.valid_until = sent_at + seen.value.duration
            self._next_call_at = sent_at + self._timing.renew_interval

    def _next_read_at(self, now: float) -> float:
        """Return the time of the next read, or of expiry if it is sooner."""
        available_at = self._available_at()
        timing = self._timing
        next_read_at = now + timing.renew_interval
        return min(next_read_at, available_at) if available_at > now else now

    def _is_renewable(self, now: float) -> bool:
        """Return whether this VM has the lease and may renew it."""
        if not self._is_own():
            return False
        return self._observed.is_current or now < self.valid_until

    def _is_own(self) -> bool:
        value = self._observed.value
        return value.vm == self._vm and value.nonce.startswith(
            self._nonce + "/"
        )


def _empty() -> LeaseValue:
    return LeaseValue(vm="", nonce="", duration=0.0)
