"""Simulated changes of primary beside commits that a replica must receive.

The primary commits all the while. With a synchronous replica a commit is
acknowledged once one replica has received it. Replicas receive nothing for a
while, replicas leave, and reports come late or not at all, as from a target
without a free slot. The target that is promoted must have all acknowledged
commits.
"""

from __future__ import annotations

from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover import TakeoverPhase
from features.steps.session_worlds import ChangeWorld
from features.steps.session_worlds import Seen

__all__ = ["explore_sync_commits"]

REPLICAS = ("m1", "m2")
COMMIT_INTERVAL = 0.03
RETRY_DELAY = 0.5


class SyncCommitWorld(ChangeWorld):
    """One simulation with `sync_replicas` 0 or 1.

    With `late` a replica reports late, with `leaving` one or both leave.
    """

    def __init__(self, seed, seen, *, sync_replicas, late, leaving):
        super().__init__(seed, seen, wait=True, hold=True, finish=False)
        self.sync_replicas = sync_replicas
        self.late = late
        self.leaving = ()
        if leaving:
            self.leaving = self.random.choice((("m1",), ("m2",), REPLICAS))
        self.last_acknowledged = 0
        self.deaf = set()
        self.reporting_late = set()

    def run(self):
        deaf = self.random.choice(REPLICAS)
        late = self.random.choice(REPLICAS)
        self.schedule(
            self.random.uniform(0.2, 4.0), lambda: self.silence(deaf)
        )
        if self.late:
            self.schedule(
                self.random.uniform(1.5, 3.0), lambda: self.delay(late)
            )
        self.schedule(0.1, self.commit)
        super().run()

    def silence(self, name):
        """A replica receives nothing for a while."""
        self.deaf.add(name)
        self.seen.counts["deaf"] += 1
        self.schedule(
            self.random.uniform(0.5, 6.0), lambda: self.deaf.discard(name)
        )

    def delay(self, name):
        """A replica reports late, or not at all, for a while."""
        self.reporting_late.add(name)
        self.schedule(
            self.random.uniform(0.5, 3.0),
            lambda: self.reporting_late.discard(name),
        )

    # Commits.

    def commit(self):
        primary = self.members["m0"]
        if not primary.is_running:
            return
        primary.received_index += 1
        index = primary.received_index
        if self.sync_replicas == 0:
            self.acknowledge(index)
        for name in REPLICAS:
            self.schedule(
                self.random.uniform(0.001, 0.02),
                lambda name=name: self.receive(name, index),
            )
        self.schedule(COMMIT_INTERVAL, self.commit)

    def receive(self, name, index):
        replica, primary = self.members[name], self.members["m0"]
        follows = replica.term == primary.term and not replica.held_term
        if name in self.deaf or not follows:
            return
        # What it has missed comes first.
        replica.received_index = max(replica.received_index, index)
        if primary.is_running:
            self.acknowledge(index)

    def acknowledge(self, index):
        """A VM tells a caller that a commit is kept, if it still may."""
        is_usable = any(
            vm.record.primary == "m0" and vm.proof.covers(self.now)
            for vm in self.vms
        )
        if is_usable and index > self.last_acknowledged:
            self.last_acknowledged = index
            self.seen.counts["acknowledged"] += 1

    # Changes.

    def group_state(self):
        return {"leaving": self.leaving, "sync_replicas": self.sync_replicas}

    def tick(self, change):
        """Begin a change that was given up again, as the leader does."""
        super().tick(change)
        if change.phase is TakeoverPhase.GIVEN_UP:
            number = int(change.vm[2:])
            self.schedule(RETRY_DELAY, lambda: self.begin_again(number))

    def begin_again(self, number):
        if not self.holds_lease(number) or not self.record.is_current:
            return
        cause = TakeoverCause.UNREACHED if number else TakeoverCause.GONE
        if self.record.change is not None:
            cause = TakeoverCause.UNFINISHED
        if self.record.primary == "m0":
            self.seen.counts["begun_again"] += 1
            self.begin(number, cause, self.record)

    def send_order(self, change, name, order):
        if name not in self.reporting_late:
            super().send_order(change, name, order)
            return
        self.seen.counts["late_report"] += 1
        if self.random.random() < 0.5:
            self.report_nothing(change, name)
            return
        self.schedule(
            self.random.uniform(0.05, 0.6),
            lambda: super(SyncCommitWorld, self).send_order(
                change, name, order
            ),
        )

    def promote(self, change, name):
        """The platform may refuse a target that is running."""
        draw = self.random.random()
        if not self.members[name].is_running or draw > 0.2:
            super().promote(change, name)
            return
        result = PromotionResult.REFUSED
        if draw < 0.1:
            result = PromotionResult.NOT_SENT
        self.seen.counts["order_refused"] += 1
        self.execute(change, change.on_promotion_result(result, self.now))

    def complete_promotion(self, name):
        promoted_before = self.seen.counts["promoted"]
        # Only commits of the first primary are simulated.
        is_first = all(m.term == 1 for m in self.members.values())
        received = self.members[name].received_index
        super().complete_promotion(name)
        promoted = self.seen.counts["promoted"] > promoted_before
        lost = self.last_acknowledged - received
        if promoted and name in self.leaving:
            self.seen.counts["leaving_promoted"] += 1
        if is_first and promoted and lost > 0:
            self.seen.counts["changes_with_loss"] += 1
            if self.sync_replicas:
                self.seen.wrong.append(
                    f"{name} was promoted without the last {lost} of "
                    f"{self.last_acknowledged} acknowledged commits"
                )


def explore_sync_commits(count, *, sync_replicas, late=True, leaving=False):
    """Run `count` simulations, each with its own seed."""
    seen = Seen()
    for seed in range(count):
        SyncCommitWorld(
            seed,
            seen,
            sync_replicas=sync_replicas,
            late=late,
            leaving=leaving,
        ).run()
    return seen
