"""When all proofs of a primary that is being replaced have ended.

A change of primary may order a promotion only once no VM holds a proof of the
old primary, nor can extend one. Proofs by the store end with the change's
intent in the record. A proof by targets ends for one of these reasons:

- The VM has released its proof, has started anew, or has not renewed its entry
  for so long that it takes no proofs any more. Until then it may have passed
  its proof on to others, so unless all VMs have released theirs, it counts as
  blocked from then on.
- A target that the VM asks holds the change's term. The VM's list of targets
  is at least as new as its entry tells, and a list only gets newer. So the VM
  asks every target that has been listed since before that version.
- The primary has stepped down: a proof needs its report too.

In the last two cases the VM may have extended its proof just before, so the
proof lasts until PROMOTION_WAIT later. After that the VM can't prove the
primary by targets again, whatever these forget.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.proofs import PROMOTION_WAIT
from bamboospring.store_version import era_of

__all__ = ["OutstandingProofs"]


@dataclass(slots=True, kw_only=True)
class OutstandingProofs:
    """The VMs that may hold a proof, and what keeps them from extending it.

    `lists` has the version of each such VM's list of targets (0: unknown), by
    the VM's name; None until the list of VMs has been read. With `incomplete`
    there may be VMs that it lacks. `released` has the lists of those that have
    released their proofs, and when. `held_since` has the targets that hold the
    term and since when; `stepped_down_since` is since when the primary has not
    been one.
    """

    lists: dict[str, int] | None = None
    incomplete: bool = False
    released: dict[str, tuple[int, float]] = field(default_factory=dict)
    held_since: dict[str, float] = field(default_factory=dict)
    stepped_down_since: float | None = None

    @property
    def all_released(self) -> bool:
        """Return whether no VM can hold a proof."""
        return self.lists == {} and not self.incomplete

    def release(self, vm: str, now: float) -> None:
        """Handle that a VM holds no proof any more."""
        if self.lists is not None and vm in self.lists:
            self.released[vm] = (self.lists.pop(vm), now)

    def update_lists(self, lists: Mapping[str, int], now: float) -> None:
        """Handle another list of the VMs that may hold a proof.

        One that is missing holds none any more; one that is new never had any,
        since it has joined after the intent was stored.
        """
        if self.lists is None:
            self.lists = dict(lists)
            return
        for vm in self.lists.keys() - lists.keys():
            self.release(vm, now)
        for vm, version in self.lists.items():
            self.lists[vm] = max(version, lists[vm])

    def ended_at(self, created: Mapping[str, int]) -> float | None:
        """Return when all proofs will have ended, None if that is unknown.

        `created` has the version of the list since which each target has been
        in it.

        Example: vm1 and vm2 have lists of version 20. m1, listed since
        version 8, has held the term since 5.0 s. All proofs have ended at
        7.1 s. If m1 has only been listed since version 30, they may go on.
        """
        if self.lists is None:
            return None
        ended_at = -1e9
        if not self.all_released:
            for version, released_at in self.released.values():
                since = self._blocked_since(version, created)
                if since is None or since > released_at:
                    since = released_at
                ended_at = max(ended_at, since + PROMOTION_WAIT)
        for version in self.lists.values():
            since = self._blocked_since(version, created)
            if since is None:
                return None
            ended_at = max(ended_at, since + PROMOTION_WAIT)
        if self.incomplete:
            # Nothing is known of the lists of VMs that were not listed.
            times = list(self.held_since.values())
            if self.stepped_down_since is not None:
                times.append(self.stepped_down_since)
            if not times:
                return None
            ended_at = max(ended_at, min(times) + PROMOTION_WAIT)
        return ended_at

    def are_blocked(self, created: Mapping[str, int]) -> bool:
        """Return whether no VM can extend its proof any more."""
        return self.ended_at(created) is not None

    def unblocked(
        self, created: Mapping[str, int], holding: Collection[str]
    ) -> list[str]:
        """Return the VMs that may ask none of the targets in `holding`."""
        return [
            vm
            for vm, version in (self.lists or {}).items()
            if not any(
                _is_in_list(created.get(target, 0), version)
                for target in holding
            )
        ]

    def would_block(self, vms: Collection[str], created: int) -> bool:
        """Return whether any of the VMs asks a target listed since then."""
        lists = self.lists or {}
        return any(_is_in_list(created, lists[vm]) for vm in vms)

    def _blocked_since(
        self, version: int, created: Mapping[str, int]
    ) -> float | None:
        times = [
            since
            for target, since in self.held_since.items()
            if _is_in_list(created.get(target, 0), version)
        ]
        # A VM whose list is unknown may be of a release that does not ask the
        # primary.
        if version and self.stepped_down_since is not None:
            times.append(self.stepped_down_since)
        return min(times, default=None)


def _is_in_list(created: int, version: int) -> bool:
    """Return whether a list of a version has an entry of a certain age.

    Versions of different eras of the store can't be compared.
    """
    return 0 < created <= version and era_of(created) == era_of(version)
