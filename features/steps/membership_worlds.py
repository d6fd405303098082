"""Explore proofs and changes of primary while targets join and leave.

VMs are cut off from the store and from each other, so their lists of targets
are of any age. Targets join, leave, crash, start again without the term that
they held, and lose their entries; links between VMs and targets are silent or
refuse connections. No VM may use a primary after another one was promoted.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.change_finisher import ChangeFinisher
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.takeover import TakeoverCause
from features.steps.membership_stage import SimLease
from features.steps.membership_stage import SimMember
from features.steps.membership_stage import SimStore
from features.steps.membership_stage import SimVm
from features.steps.membership_stage import Stage
from features.steps.membership_stage import TARGET_KIND

__all__ = ["MembershipSeen", "explore_membership"]

SECONDS = 26.0
VM_NAMES = ("vm0", "vm1", "vm2", "vm3")
HEARTBEAT_INTERVAL = 0.4
# An entry is removed after this many heartbeats without one.
MAX_MISSED = 3
JUDGE_INTERVAL = 0.02
LEADER_INTERVAL = 0.1
RETRY_DELAY = 0.5
ASK_PROOFS_INTERVAL = 0.6
FAILED_AFTER = 0.7


@dataclass
class MembershipSeen:
    """Violations by seed, counts of events, and the durations of changes."""

    wrong: dict[int, str] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    durations: list[float] = field(default_factory=list)


class MembershipWorld(Stage):
    """One simulation; its seed draws all faults and their moments."""

    def __init__(self, seed: int, seen: MembershipSeen) -> None:
        super().__init__(seed)
        self.seed = seed
        self.seen = seen
        self.missed: Counter[str] = Counter()
        self.promoted_term = 1
        self.change_begun_at: float | None = None
        self.unreached_since: dict[tuple[str, str], float] = {}
        self.retry_at: Counter[str] = Counter()
        self.busy_share = self.rng.choice((0.0, 0.0, 0.1))
        # The members that the cut off VMs of a series know.
        self.known: list[str] = []
        self.isolated_share = 0.0
        self.restarts_holder = False
        lease_end = self.rng.choice((1e9, self.rng.uniform(4.0, 16.0)))
        for name in ("m0", "m1", "m2"):
            self.members[name] = SimMember(name=name)
        self.members["m0"].is_primary = True
        self.joined = len(self.members)
        self.write_record(term=1, primary="m0")
        for name in VM_NAMES:
            lease = SimLease(self, 1e9, 1e9)
            if name == "vm0":
                lease = SimLease(self, 0.0, lease_end)
            elif name == "vm1":
                lease = SimLease(self, lease_end + 0.5, 1e9)
            self.vms[name] = SimVm(self, name, lease)

    def at(self, low: float, high: float, act) -> None:
        """Do something at a random time."""
        self.reactor.call_later(self.rng.uniform(low, high), act)

    def run(self) -> None:
        self.heartbeat()
        for vm in self.vms.values():
            self.at(0.0, 0.5, vm.start)
            vm.reactor.call_later(0.55, lambda vm=vm: self.lead(vm))
            vm.reactor.call_later(0.6, lambda vm=vm: self.ask_for_proofs(vm))
        self.judge()
        self.copy_logs()
        self.draw_faults()
        self.reactor.run_until(SECONDS)

    # Faults.

    def draw_faults(self) -> None:
        """Draw faults at any time, or a series that follows from a cut."""
        if self.rng.random() < 0.4:
            self.draw_series()
            return
        rng = self.rng
        for _ in range(rng.randint(1, 2)):
            self.at(1.0, 9.0, self.cut_vms)
        for _ in range(rng.randint(1, 6)):
            self.at(1.0, 14.0, self.replace_member)
        for _ in range(rng.randint(0, 4)):
            self.at(1.0, 16.0, self.crash_replica)
        for _ in range(rng.randint(0, 2)):
            self.at(1.0, 14.0, self.cut_member)
        for _ in range(rng.randint(0, 2)):
            self.at(3.0, 16.0, self.fail_primary)
        for _ in range(rng.randint(0, 3)):
            self.at(2.0, 16.0, self.freeze_vm)

    def draw_series(self) -> None:
        """Cut VMs off, replace members, and then have the primary replaced.

        The VMs reach all members that they know. Some of these may be out of
        reach for everybody else, and start again.
        """
        rng = self.rng
        self.busy_share = 0.0
        self.known = list(self.members)
        self.isolated_share = rng.choice((0.0, 0.5, 1.0))
        self.restarts_holder = rng.random() < 0.4
        cut_at = rng.uniform(3.0, 5.0)
        self.reactor.call_later(cut_at, self.cut_series_vms)
        replicas = [m for m in self.members.values() if not m.is_primary]
        for member in rng.sample(replicas, rng.randint(0, 2)):
            at = cut_at + rng.uniform(0.1, 2.0)
            self.reactor.call_later(at, lambda m=member: self.replace(m))
        primary = self.members["m0"]
        at = cut_at + rng.uniform(0.5, 4.0)
        if rng.random() < 0.5:
            self.reactor.call_later(at, lambda: self.replace(primary))
        else:
            self.reactor.call_later(at, lambda: self.isolate(primary))
        if rng.random() < self.isolated_share:
            at = cut_at + rng.uniform(0.1, 4.0)
            member = rng.choice(replicas)
            self.reactor.call_later(at, lambda: self.isolate(member))

    def cut_series_vms(self) -> None:
        names = self.rng.sample(VM_NAMES[1:], self.rng.randint(1, 3))
        self.seen.counts["vms_cut"] += len(names)
        self.vms_without_store |= set(names)
        self.add_island(names)

    def on_term_held(self, member: SimMember) -> None:
        """In a series, the holder may start again, out of reach for most."""
        if not self.known or not member.is_running:
            return
        self.seen.counts["held"] += 1
        if not self.restarts_holder:
            return
        if self.rng.random() < 0.5:
            # Within the wait.
            self.at(0.0, 1.0, lambda: self.restart_soon(member))
            return
        # After the wait, when no other member tells of the new term.
        for name in self.known:
            if self.rng.random() < 0.8:
                known = self.members[name]
                self.at(2.2, 2.7, lambda known=known: self.isolate(known))
        self.at(2.3, 3.2, lambda: self.restart_soon(member))

    def restart_soon(self, member: SimMember) -> None:
        member.is_running = False
        self.at(0.01, 0.2, lambda: self.start_again(member))

    def cut_vms(self) -> None:
        """Cut VMs off from the store, and mostly from each other too."""
        names = self.rng.sample(VM_NAMES[1:], self.rng.randint(1, 2))
        self.seen.counts["vms_cut"] += len(names)
        added = set(names) - self.vms_without_store
        self.vms_without_store |= added
        from_peers = []
        if self.rng.random() < 0.8:
            from_peers = self.add_island(added)

        def heal() -> None:
            self.vms_without_store -= added
            for name in from_peers:
                del self.islands[name]

        self.at(2.0, 14.0, heal)
        for name in names:
            for member in self.members:
                if self.rng.random() < 0.15:
                    self.cut_path(name, member)

    def freeze_vm(self) -> None:
        """A VM stands still, also while it leads, and wakes later."""
        vm = self.rng.choice(list(self.vms.values()))
        self.seen.counts["frozen"] += 1
        seconds = self.rng.uniform(0.3, 6.0)
        vm.reactor.frozen_until = self.reactor.now() + seconds

    def add_island(self, vms: Iterable[str]) -> list[str]:
        """Cut VMs off from the others, and maybe from each other."""
        alone = self.rng.random() < 0.5
        names = sorted(set(vms) - self.islands.keys())
        for name in names:
            self.islands[name] = name if alone else names[0]
        return names

    def cut_path(self, source: str, member: str) -> None:
        mode = self.rng.choice(("silent", "refused"))
        self.cut_paths[source, member] = mode
        self.at(1.0, 8.0, lambda: self.cut_paths.pop((source, member), None))

    def primary(self) -> SimMember | None:
        found = [m for m in self.members.values() if m.is_primary]
        return max(found, key=lambda m: m.term, default=None)

    def replace_member(self) -> None:
        """Start a new member, then have an old one leave and end."""
        staying = [m for m in self.members.values() if not m.is_leaving]
        if staying:
            self.replace(self.rng.choice(staying))

    def replace(self, old: SimMember) -> None:
        primary = self.primary()
        if primary is None:
            return
        name = f"m{self.joined}"
        self.joined += 1
        self.seen.counts["joined"] += 1
        self.members[name] = SimMember(
            name=name,
            term=primary.term,
            received_term=primary.received_term,
            received_index=primary.received_index,
        )
        self.beat(name)
        for source, member in list(self.cut_paths):
            # It starts on the side of the leader.
            if member == primary.name and source in self.members:
                self.cut_paths.setdefault((source, name), "silent")
        self.at(0.0, 1.5, lambda: self.leave(old))

    def leave(self, member: SimMember) -> None:
        member.is_leaving = True
        self.beat(member.name)
        self.at(0.5, 8.0, lambda: self.end(member))

    def end(self, member: SimMember) -> None:
        member.is_running = member.is_primary = False
        self.store.remove(TARGET_KIND, member.name)
        self.seen.counts["left"] += 1

    def crash_replica(self) -> None:
        """A replica ends, and mostly starts again without its held term."""
        replicas = [m for m in self.members.values() if not m.is_primary]
        if replicas:
            self.crash(self.rng.choice(replicas))

    def crash(self, member: SimMember) -> None:
        member.is_running = False
        self.seen.counts["crashed"] += 1
        if self.rng.random() < 0.85 and not member.is_leaving:
            self.at(0.05, 3.0, lambda: self.start_again(member))

    def start_again(self, member: SimMember) -> None:
        if member.is_leaving or member.is_running:
            return
        member.restart()
        newest = max(m.term for m in self.members.values())
        if member.is_primary and member.term < newest:
            member.is_primary = False

    def cut_member(self) -> None:
        """Cut a member off from the store and from VMs with the store."""
        member = self.rng.choice(list(self.members.values()))
        self.isolate(member)

    def isolate(self, member: SimMember) -> None:
        self.seen.counts["members_cut"] += 1
        name, mode = member.name, self.rng.choice(("silent", "refused"))
        self.members_without_store.add(name)
        paths = [
            (vm, name)
            for vm in VM_NAMES
            if vm not in self.islands or self.rng.random() < 0.3
        ]
        for other in self.members:
            if other != name and self.rng.random() < 0.8:
                paths += [(other, name), (name, other)]
        for path in paths:
            self.cut_paths[path] = mode

        def heal() -> None:
            self.members_without_store.discard(name)
            for path in paths:
                self.cut_paths.pop(path, None)

        self.at(1.0, 10.0, heal)
        if self.rng.random() < 0.3 and not member.is_primary:
            self.at(0.2, 6.0, lambda: self.crash(member))

    def fail_primary(self) -> None:
        """The primary ends for a while, or is cut off but for some VMs."""
        primary = self.primary()
        if primary is None or not primary.is_running:
            return
        self.seen.counts["primaries_failed"] += 1
        if self.rng.random() < 0.5:
            self.crash(primary)
        else:
            self.isolate(primary)

    # The platform and the members.

    def heartbeat(self) -> None:
        self.reactor.call_later(HEARTBEAT_INTERVAL, self.heartbeat)
        for name, member in self.members.items():
            if member.is_running and name not in self.members_without_store:
                self.beat(name)
                continue
            self.missed[name] += 1
            if self.missed[name] >= MAX_MISSED:
                self.store.remove(TARGET_KIND, name)

    def beat(self, name: str) -> None:
        self.missed[name] = 0
        member = self.members[name]
        value = [member.is_leaving, member.is_primary]
        known = self.store.objects.get((TARGET_KIND, name))
        if known is None or known.value != value:
            self.store.write(TARGET_KIND, name, value)

    def copy_logs(self) -> None:
        """Primaries commit, and replicas that reach them receive it."""
        self.reactor.call_later(0.05, self.copy_logs)
        for primary in list(self.members.values()):
            if not primary.is_primary or not primary.is_running:
                continue
            primary.received_index += 1
            for member in self.members.values():
                follows = member.term == primary.term and not member.held_term
                reached = self.path(primary.name, member.name) == "ok"
                if member is not primary and follows and reached:
                    if member.is_running:
                        member.received_index = primary.received_index
            if primary.term > 1:
                self.announce(primary)

    def on_promoted(self, member: SimMember) -> None:
        self.promoted_term = max(self.promoted_term, member.term)
        self.seen.counts["promoted"] += 1
        if self.change_begun_at is not None:
            elapsed = self.reactor.now() - self.change_begun_at
            self.seen.durations.append(elapsed)
            self.change_begun_at = None
        self.announce(member)

    # Proofs that VMs pass on.

    def ask_for_proofs(self, vm: SimVm) -> None:
        """Ask another VM for its proofs by targets, any one."""
        vm.reactor.call_later(
            ASK_PROOFS_INTERVAL, lambda: self.ask_for_proofs(vm)
        )
        name = self.rng.choice([name for name in VM_NAMES if name != vm.name])
        other, asked_at = self.vms[name], self.reactor.now()

        def answer() -> None:
            rows = other.records.pass_on_proofs()
            self.seen.counts["passed_on"] += len(rows)
            vm.reactor.call_later(
                self.latency(),
                lambda: vm.records.apply_passed_on(rows, asked_at),
            )

        if self.are_linked(vm.name, name) and not self.is_lost():
            other.reactor.call_later(self.latency(), answer)

    # The leader.

    def lead(self, vm: SimVm) -> None:
        """Begin the changes that the VM would begin as the leader."""
        vm.reactor.call_later(LEADER_INTERVAL, lambda: self.lead(vm))
        if not vm.lease.is_held:
            vm.runner.drop_all()
            return
        group, record = vm.group, vm.group.record
        if not group.targets or record is None or vm.runner.tick(group):
            return
        if group.unsettled is not None:
            vm.settler.tick(group)
            return
        cause = self.cause(vm, record)
        now = self.reactor.now()
        if cause is None or now < self.retry_at[vm.name]:
            return
        self.retry_at[vm.name] = now + RETRY_DELAY
        if self.change_begun_at is None:
            self.change_begun_at = now
        vm.runner.begin(group, record, cause, now)

    def cause(self, vm: SimVm, record: PrimaryRecord) -> TakeoverCause | None:
        if record.change is not None:
            return TakeoverCause.UNFINISHED
        listed = vm.group.targets.get(record.primary)
        if listed is None:
            return TakeoverCause.GONE
        primary = self.members[record.primary]
        key = (vm.name, primary.name)
        if primary.is_running and self.path(*key) == "ok":
            self.unreached_since.pop(key, None)
            if not primary.is_primary:
                return TakeoverCause.ROLE_LOST
        else:
            now = self.reactor.now()
            since = self.unreached_since.setdefault(key, now)
            if now - since >= FAILED_AFTER:
                return TakeoverCause.FAILED
        if listed.leaving and any(
            not other.leaving
            for name, other in vm.group.targets.items()
            if name != record.primary
        ):
            return TakeoverCause.LEAVING
        return None

    # The judge.

    def judge(self) -> None:
        """Check that no VM uses a primary of an earlier term."""
        self.reactor.call_later(JUDGE_INTERVAL, self.judge)
        now = self.reactor.now()
        for vm in self.vms.values():
            group, record = vm.group, vm.group.record
            if record is None or record.term >= self.promoted_term:
                continue
            proofs = [group.proof] if group.primary() is not None else []
            if group.outgoing_primary is not None:
                proofs.append(group.outgoing_primary.proof)
            if any(proof.covers(now) for proof in proofs):
                self.seen.wrong.setdefault(
                    self.seed,
                    f"at {now:.2f} {vm.name} uses {record.primary} of term "
                    f"{record.term}, term {self.promoted_term} has begun",
                )


class RestoringWorld(MembershipWorld):
    """The store is restored from an older copy, once or twice."""

    def run(self) -> None:
        for vm in self.vms.values():
            vm.on_disagreed = lambda record, vm=vm: self.replace_unsettled(
                vm, record
            )
        for _ in range(self.rng.randint(1, 2)):
            self.at(2.0, 12.0, self.copy_store)
        super().run()

    def copy_store(self) -> None:
        copy = self.store.copy()
        self.at(0.3, 5.0, lambda: self.restore(copy))

    def restore(self, copy: SimStore) -> None:
        if copy.era == self.store.era:
            self.seen.counts["restored"] += 1
            self.store.restore(copy)

    def replace_unsettled(self, vm: SimVm, record: PrimaryRecord) -> None:
        now = self.reactor.now()
        if now >= self.retry_at[vm.name]:
            self.retry_at[vm.name] = now + RETRY_DELAY
            self.seen.counts["replaced_unsettled"] += 1
            vm.runner.begin(vm.group, record, TakeoverCause.UNSETTLED, now)


class FinishingWorld(MembershipWorld):
    """VMs without the lease also end changes that their leader has left."""

    def run(self) -> None:
        for vm in self.vms.values():
            vm.board.vm_count = len(VM_NAMES)
            finisher = ChangeFinisher(
                reactor=vm.records._reactor,
                board=vm.board,
                platform=vm.records._platform,
                questions=vm.records._questions,
                records=vm.records,
                releases=vm.releases,
                nonce_hash=0,
            )
            self.at(0.0, 1.0, lambda f=finisher, v=vm: self.finish(f, v))
        super().run()

    def finish(self, finisher: ChangeFinisher, vm: SimVm) -> None:
        self.reactor.call_later(
            LEADER_INTERVAL, lambda: self.finish(finisher, vm)
        )
        if not vm.lease.is_held:
            finisher.tick()


def explore_membership(
    seeds: Iterable[int], *, until_wrong: bool = False, restores: bool = False
) -> MembershipSeen:
    """Run a simulation for each seed.

    With `until_wrong` the first violation ends the exploration. With
    `restores` the store is restored from older copies.
    """
    seen = MembershipSeen()
    for seed in seeds:
        world = FinishingWorld if seed % 2 else MembershipWorld
        if restores:
            world = RestoringWorld
        world(seed, seen).run()
        if until_wrong and seen.wrong:
            break
    return seen
