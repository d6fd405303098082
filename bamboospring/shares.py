"""Split a target's limits exactly among the holders of its group.

Every holder of a group opens connections to the same targets, so each may use
only a share of a target's `slots` and `connections`. All holders compute the
same split from the same ordered list of holders. The hard part is a change of
that list, because VMs see it at different times: `GroupShares` makes sure
that the sum of what all VMs use never exceeds the limit meanwhile.

The rule: a share shrinks at once and grows only after every VM that may
still use some of the limit has answered, to a question sent after our own
last change of holders, that it follows the same list of holders. An answer
is also a promise to stay within that list's split until its sender moves on,
and the sender can't grow after that without asking us in turn. What a VM
still uses above its new share is taken from the growth of the others until
it has drained.

A VM that has all promises lets those that still need its own have it first,
for a moment: who dies right after it has grown must not leave the others
waiting for a promise until it is off the platform's list.

Nothing here does I/O or asks for the time.

Example: three holders of a target with 20 connections.

    >>> [split(20, 3, rank, 0) for rank in range(3)]
    [7, 7, 6]
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

__all__ = [
    "ShareRequest",
    "GroupShares",
    "VmListMonitor",
    "Reply",
    "ShareTiming",
    "TargetLimit",
    "TargetCapacity",
    "ranks_with_share",
    "split",
]

NEVER = -1e9
# Revisions of the platform's list count from 1: nobody has left that list.
FIRST_REVISION = 1
PROBE_PART = 0.3
# How long, in seconds, a VM that has all promises waits for others to have
# its own. Nothing unsafe comes of not waiting, so a short time will do.
HEAD_START = 1.0
# A question sent less than this many seconds ago is still on its way.
UNDER_WAY = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCapacity:
    """A number of slots and of connections at one target."""

    slots: int = 0
    connections: int = 0

    def at_most(self, other: TargetCapacity) -> TargetCapacity:
        """Return the smaller of the two, each kind by itself."""
        return TargetCapacity(
            slots=min(self.slots, other.slots),
            connections=min(self.connections, other.connections),
        )

    def at_least(self, other: TargetCapacity) -> TargetCapacity:
        """Return the larger of the two, each kind by itself."""
        return TargetCapacity(
            slots=max(self.slots, other.slots),
            connections=max(self.connections, other.connections),
        )

    def minus(self, other: TargetCapacity) -> TargetCapacity:
        """Return what is left, never below zero."""
        return TargetCapacity(
            slots=max(0, self.slots - other.slots),
            connections=max(0, self.connections - other.connections),
        )

    def plus(self, other: TargetCapacity) -> TargetCapacity:
        """Return the sum."""
        return TargetCapacity(
            slots=self.slots + other.slots,
            connections=self.connections + other.connections,
        )


NONE = TargetCapacity()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLimit:
    """What one target allows over all holders together."""

    target: str
    units: TargetCapacity


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareTiming:
    """Times of the protocol, in seconds.

    `grace` is how long a VM that has left the platform's list counts as
    alive. `isolation` is how long a VM keeps its share while it hears from
    nobody. The lag of the platform's list, `isolation` and the time between
    ticks together must be shorter than `grace`, so that a VM that is cut off
    has stopped before the others take its share. With `single_vm` there are
    never any others.
    """

    grace_period: float = 10.0
    isolation_timeout: float = 5.0
    retry: float = 0.25
    single_vm: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareRequest:
    """Ask `vm` whether it follows `holders` and what it still uses."""

    vm: str
    holders: tuple[str, ...]
    revision: int
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The answer to `Ask`: `agrees` is the promise described above.

    `informed` says that the sender would know of any VM that has left the
    list before `revision` and may still use a share. `growing` says that the
    sender still waits for promises.
    """

    vm: str
    agrees: bool
    informed: bool = False
    growing: bool = False
    revision: int = 0
    held: dict[str, TargetCapacity] = field(default_factory=dict)


def split(limit: int, holders: int, rank: int, rotation: int) -> int:
    """Return the part of `limit` that the holder at `rank` may use.

    The parts of all ranks sum to `limit`. The remainder goes to different
    ranks for different `rotation` (the position of the target in its group),
    so with 2 slots and 3 holders every holder has a slot at some target. A
    larger limit never gives any rank less; holders that have not yet seen the
    same limit therefore never exceed the larger one together.
    """
    if holders <= 0 or not 0 <= rank < holders:
        return 0
    part, remainder = divmod(max(0, limit), holders)
    position = (rank - rotation) % holders
    return part + (1 if position < remainder else 0)


def ranks_with_share(limit: int, holders: int, rotation: int) -> list[int]:
    """Return the ranks of holders that may use any of `limit`."""
    return [
        rank
        for rank in range(holders)
        if split(limit, holders, rank, rotation) > 0
    ]


@dataclass(slots=True, kw_only=True)
class VmListMonitor:
    """What this VM knows of the platform's list, and since when.

    One for a VM, shared by the shares of all groups. While `cut_off` is set
    nothing may be used, and busy connections are closed too.
    """

    local_vm_name: str
    timing: ShareTiming = field(default_factory=ShareTiming)
    revision: int = -1
    listed: frozenset[str] = frozenset()
    is_isolated: bool = False
    _gone: dict[str, float] = field(default_factory=dict)
    _informed: bool = False
    _watching_since: float = NEVER
    _heard_at: float = NEVER
    _ticked_at: float = NEVER

    def update(
        self, *, now: float, revision: int, listed: frozenset[str]
    ) -> None:
        """Take a list of VMs that is not older than the last one."""
        if self._watching_since == NEVER:
            self._watching_since = now
            self._informed = revision == FIRST_REVISION
        for vm in self.listed - listed:
            self._gone.setdefault(vm, now)
        for vm in listed:
            self._gone.pop(vm, None)
        self.listed = listed
        self.revision = revision
        self.record_contact(now=now, revision=revision)

    def record_contact(self, *, now: float, revision: int) -> None:
        """Note that the platform or some other VM has been heard.

        One with a newer list doesn't count: that list may be without us,
        and the others' grace time then runs while we go on.
        """
        if revision <= self.revision:
            self._heard_at = max(self._heard_at, now)

    def tick(self, *, now: float) -> None:
        """Look for a pause of this process and for a cut; often enough."""
        self.is_isolated = self._paused(now) or self._isolated(now)
        if self.is_isolated:
            self._informed = False
            self._watching_since = now

    def lingering(self, now: float) -> set[str]:
        """Return the VMs that have left the list but may still run."""
        limit = self.timing.grace_period
        self._gone = {
            vm: since
            for vm, since in self._gone.items()
            if now - since < limit
        }
        return set(self._gone)

    def inform(self, reply: Reply) -> None:
        """Learn from a VM that has watched the list for longer."""
        if reply.informed and reply.revision >= self.revision:
            self._informed = True

    def is_informed(self, now: float) -> bool:
        """Tell whether any VM that may still run would be known here."""
        # A new process has not seen which VMs left the list shortly before.
        # Without this check it would take the share of one that still runs.
        # One VM that watched for long enough, and that agreed, is enough:
        # nobody agrees while such a VM may still be running.
        watched = now - self._watching_since
        if (
            self._watching_since != NEVER
            and watched >= self.timing.grace_period
        ):
            self._informed = True
        return self._informed

    def is_lonely(self, now: float) -> bool:
        """Tell whether it is time to show that others can be heard."""
        return (
            now - self._heard_at > self.timing.isolation_timeout * PROBE_PART
        )

    def _paused(self, now: float) -> bool:
        # A process that was stopped for longer than the others wait for it
        # wakes with a share that may be used elsewhere by now. The symptom
        # would be refused connections at the target. Starting anew, as after
        # a restart, is enough because growth then needs all promises again.
        paused = now - self._ticked_at
        known = self._ticked_at != NEVER
        self._ticked_at = now
        return known and paused > self.timing.isolation_timeout

    def _isolated(self, now: float) -> bool:
        # A VM that is cut off can't see that it has left the list. It stops
        # before `grace` has passed for the others. An outage of the platform
        # alone doesn't come here, because other VMs are still heard.
        # A VM that is alone on its list hears nobody in an outage either. It
        # stops as well: it may have been replaced, and its successor takes
        # the whole limit. A deployment that has no second VM can say so.
        if self._heard_at == NEVER or self.timing.single_vm:
            return False
        return now - self._heard_at > self.timing.isolation_timeout


@dataclass(slots=True, kw_only=True)
class GroupShares:
    """What this VM may use of each target of one group.

    The adapter feeds `see`, `answer`, `reply` and `tick`, sends the `Ask`s
    that come back, and reads `allowed`. It reports what is in use by `use`,
    which keeps connections counted until they are really closed.
    """

    vm_list_monitor: VmListMonitor
    holders: tuple[str, ...] = ()
    limits: tuple[TargetLimit, ...] = ()
    attempt: int = 0
    _allowed: dict[str, TargetCapacity] = field(default_factory=dict)
    _used: dict[str, TargetCapacity] = field(default_factory=dict)
    _peers: frozenset[str] = frozenset()
    _replies: dict[str, Reply] = field(default_factory=dict)
    _promised: set[str] = field(default_factory=set)
    _complete_at: float = NEVER
    _asked_at: float = NEVER

    def allowed(self, target: str) -> TargetCapacity:
        """Return what may be used of a target now."""
        return self._allowed.get(target, NONE)

    def use(self, target: str, units: TargetCapacity) -> None:
        """Record what is in use: running statements, open connections."""
        self._used[target] = units

    def held(self, target: str) -> TargetCapacity:
        """Return what others must count as taken by this VM."""
        used = self._used.get(target, NONE)
        return self.allowed(target).at_least(used)

    @property
    def idle(self) -> bool:
        """Tell whether nothing is held and nothing is to be had."""
        return self.vm_list_monitor.local_vm_name not in self.holders and all(
            self.held(target) == NONE for target in self._used
        )

    def update(
        self,
        *,
        now: float,
        holders: tuple[str, ...],
        peers: frozenset[str],
        limits: tuple[TargetLimit, ...],
    ) -> None:
        """Take newer holders or newer limits.

        `holders` are the group's holders in rank order. `peers` are all VMs
        on the list, or just gone from it, that may be or may have been a
        holder of the group; too many cost messages, too few could exceed a
        limit.
        """
        self._peers = peers - {self.vm_list_monitor.local_vm_name}
        self.limits = limits
        if holders != self.holders:
            self.holders = holders
            self._forget()
        self._shrink()
        self._grow(now)

    def answer(
        self, *, now: float, vm: str, revision: int, holders: tuple[str, ...]
    ) -> Reply:
        """Answer another VM's `Ask`; `revision` is that of its list.

        Nothing is promised while a VM that has just left the list may still
        use a share: the asker may be new and not know of it.
        """
        self.vm_list_monitor.record_contact(now=now, revision=revision)
        gone = self._peers & self.vm_list_monitor.lingering(now)
        targets = {limit.target for limit in self.limits} | set(self._used)
        reply = Reply(
            vm=self.vm_list_monitor.local_vm_name,
            agrees=holders == self.holders and not gone - {vm},
            informed=self.vm_list_monitor.is_informed(now),
            growing=self._wants_growth(),
            revision=self.vm_list_monitor.revision,
            held={target: self.held(target) for target in targets},
        )
        if reply.agrees:
            self._promised.add(vm)
            self._grow(now)
        return reply

    def ask_back(self, *, now: float, vm: str) -> list[ShareRequest]:
        """Return the questions to send when a VM has just asked, if any.

        It is alive and has the newest list; waiting for the next `tick`
        would only leave more time in which it may die.
        """
        if not self._wants_growth() or vm in self._replies:
            return []
        if now - self._asked_at < UNDER_WAY or vm not in self._may_use(now):
            return []
        return self._ask_all(now)

    def reply(self, *, now: float, attempt: int, reply: Reply) -> None:
        """Take the answer to an `Ask`; late answers count for nothing."""
        self.vm_list_monitor.record_contact(now=now, revision=reply.revision)
        if attempt != self.attempt:
            return
        if reply.agrees:
            self._replies[reply.vm] = reply
            self.vm_list_monitor.inform(reply)
        else:
            self._replies.pop(reply.vm, None)
        self._grow(now)

    def tick(self, *, now: float) -> list[ShareRequest]:
        """Return the questions to send now; call it after the watch's."""
        if self.vm_list_monitor.is_isolated:
            self._allowed.clear()
            self._forget()
        self._grow(now)
        if now - self._asked_at < self.vm_list_monitor.timing.retry:
            return []
        return self._ask_all(now)

    def _ask_all(self, now: float) -> list[ShareRequest]:
        asked = self._to_ask(now)
        if asked:
            self._asked_at = now
        return [
            ShareRequest(
                vm=vm,
                holders=self.holders,
                revision=self.vm_list_monitor.revision,
                attempt=self.attempt,
            )
            for vm in sorted(asked)
        ]

    def _to_ask(self, now: float) -> set[str]:
        others = self._may_use(now)
        if self._wants_growth():
            informed = self.vm_list_monitor.is_informed(now)
            return {
                vm for vm in others if not informed or not self._settled(vm)
            }
        # With the platform silent, a question to the other holders shows
        # that this VM isn't cut off from everything.
        if not self.vm_list_monitor.is_lonely(now):
            return set()
        return others & set(self.holders) or others

    def _forget(self) -> None:
        # Answers to questions from before a change promise nothing for the
        # time after it: their sender may have grown since.
        self.attempt += 1
        self._replies.clear()
        self._promised.clear()
        self._complete_at = NEVER
        self._asked_at = NEVER

    def _may_use(self, now: float) -> set[str]:
        running = self.vm_list_monitor.listed | self.vm_list_monitor.lingering(
            now
        )
        return set(self._peers & running)

    def _share(self, vm: str, position: int) -> TargetCapacity:
        if vm not in self.holders:
            return NONE
        rank = self.holders.index(vm)
        count = len(self.holders)
        units = self.limits[position].units
        return TargetCapacity(
            slots=split(units.slots, count, rank, position),
            connections=split(units.connections, count, rank, position),
        )

    def _excess(self, vm: str, position: int) -> TargetCapacity:
        reply = self._replies.get(vm)
        if reply is None:
            return NONE
        held = reply.held.get(self.limits[position].target, NONE)
        return held.minus(self._share(vm, position))

    def _settled(self, vm: str) -> bool:
        return vm in self._replies and all(
            self._excess(vm, position) == NONE
            for position in range(len(self.limits))
        )

    def _wants_growth(self) -> bool:
        return any(
            self.allowed(limit.target)
            != self._share(self.vm_list_monitor.local_vm_name, position)
            for position, limit in enumerate(self.limits)
        )

    def _shrink(self) -> None:
        self._allowed = {
            limit.target: self.allowed(limit.target).at_most(
                self._share(self.vm_list_monitor.local_vm_name, position)
            )
            for position, limit in enumerate(self.limits)
        }

    def _grow(self, now: float) -> None:
        if not self._wants_growth() or not self.vm_list_monitor.is_informed(
            now
        ):
            return
        others = self._may_use(now)
        if not others <= self._replies.keys():
            self._complete_at = NEVER
            return
        if self._lets_others_first(others, now):
            return
        for position, limit in enumerate(self.limits):
            free = self._share(self.vm_list_monitor.local_vm_name, position)
            for vm in others:
                free = free.minus(self._excess(vm, position))
            grown = self.allowed(limit.target).at_least(free)
            self._allowed[limit.target] = grown

    def _lets_others_first(self, others: set[str], now: float) -> bool:
        # A holder that grows and dies before it has promised anything leaves
        # the others without a share until the platform's list drops it and
        # the grace time ends; callers are refused with `not_holder` for that
        # long. Those that need our promise get it before we serve; the limit
        # in time is for those that can't reach us.
        if self._complete_at == NEVER:
            self._complete_at = now
        if now - self._complete_at >= HEAD_START:
            return False
        return any(
            self._replies[vm].growing and vm not in self._promised
            for vm in others & set(self.holders)
        )
