"""Replaces members while VMs are cut off from the store and other VMs.

A VM that is cut off still reaches members and callers. Meanwhile replicas and
primaries are replaced, restart, or are out of reach for everybody but the VMs
that are cut off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager
import random
import time

from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_members import Member
from bamboospring.testing.session_members import MemberGroup

__all__ = ["MemberSeries"]

SERIES_PAUSE = (0.5, 2.0)
CUT_SECONDS = (5.0, 12.0)
# Seconds between the cut and the replacement of the primary.
PRIMARY_DELAY = (0.5, 4.0)
# Seconds for which a member that is replaced goes on.
DRAIN_SECONDS = (1.0, 6.5)
RESTART_SECONDS = (0.05, 1.0)
SEPARATED_SHARE = 0.3
FAILED_PRIMARY_SHARE = 0.3


class MemberSeries:
    """Series of cuts and replacements, in all groups at once.

    `disturbing` is entered with the names of the VMs that are cut off.
    """

    def __init__(
        self,
        *,
        fleet: SessionFleet,
        seed: int,
        record: Callable[[str], None],
        disturbing: Callable[..., AbstractContextManager[None]],
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"{seed}/members")
        self._record = record
        self._disturbing = disturbing

    async def run(self, end: float) -> None:
        """Run series until a monotonic time, and wait for their ends."""
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(*SERIES_PAUSE))
            names = sorted(self._fleet.vms)
            cut = self._rng.sample(names, self._rng.randint(1, len(names) - 1))
            seconds = self._rng.uniform(*CUT_SECONDS)
            self._record(f"cut off {cut} {seconds:.1f}")
            others = [name for name in names if name not in cut]
            with self._disturbing(*cut):
                self._fleet.separate_vms(cut)
                await asyncio.gather(
                    asyncio.sleep(seconds),
                    *(
                        self._replace(group, others)
                        for group in self._fleet.groups.values()
                    ),
                )
                self._fleet.join_vms()
                self._fleet.join_members()

    async def _replace(self, group: MemberGroup, vms: list[str]) -> None:
        """Replace some replicas of a group, and then mostly its primary."""
        primary = self._fleet.primary(group.name)
        replicas = [m for m in group.members.values() if m is not primary]
        count = self._rng.randint(0, len(replicas))
        replaced = [
            asyncio.create_task(self._replace_member(member))
            for member in self._rng.sample(replicas, count)
        ]
        await asyncio.sleep(self._rng.uniform(*PRIMARY_DELAY))
        for member in replicas:
            if self._rng.random() < SEPARATED_SHARE:
                self._separate(member, vms)
        if self._rng.random() < FAILED_PRIMARY_SHARE:
            self._separate(primary, vms)
        else:
            replaced.append(asyncio.create_task(self._replace_member(primary)))
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        if self._rng.random() < 0.5:
            await self._restart(self._rng.choice(replicas))
        await asyncio.gather(*replaced)

    def _separate(self, member: Member, vms: list[str]) -> None:
        self._record(f"cut off {member.id} from {vms}")
        self._fleet.separate_member(member, vms)

    async def _replace_member(self, member: Member) -> None:
        group = member.group
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        added = await self._fleet.add_member(group, member.zone)
        self._record(f"replace {member.id} by {added.id}")
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        member.draining = True
        await asyncio.sleep(self._rng.uniform(*DRAIN_SECONDS))
        if member.id in group.members:
            self._fleet.remove_member(member)

    async def _restart(self, member: Member) -> None:
        """End a replica and start it again, without the term that it held."""
        if not member.is_running or member.id not in member.group.members:
            return
        self._record(f"restart {member.id}")
        member.stop()
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        if member.id in member.group.members and not member.is_running:
            await member.start()
