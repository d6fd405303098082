"""Watch all primaries, on the one VM that holds the lease for it."""

from __future__ import annotations

from collections.abc import Callable
import zlib

from bamboospring.lease import LeaseTiming
from bamboospring.object_store import Conflict
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.change_finisher import ChangeFinisher
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.leader_lease import LeaderLease
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import PromotionOrders
from bamboospring.sessions.primary_health import first_record
from bamboospring.sessions.primary_health import PrimarySight
from bamboospring.sessions.primary_health import replacement_cause
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.quota_keeper import QuotaKeeper
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.record_settler import Settler
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover_runner import TakeoverRunner
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry

__all__ = ["Leader"]

TICK = 0.1
# Seconds between questions to a primary, and the time for each.
LOOK_INTERVAL = 0.35
LOOK_TIMEOUT = 0.8
ROLE_INTERVAL = 2.0
# A primary that has left statements without a word for so many seconds is
# asked how it is: a refused port shows at once that it has failed.
LOOK_AFTER = 0.15
STORE_TIMEOUT = 1.0
# Seconds between two looks at the list of VMs, and the first of them, each
# twice the one before: a fleet that has just started is listed while it still
# grows, and how many VMs there are decides how they share connections.
TIDY_INTERVAL = 10.0
FIRST_TIDY_INTERVAL = 1.0
# A change that ended without a new primary is begun again after this.
TRY_AGAIN = 0.5


class Leader:
    """What the VM that holds the lease does: it watches all primaries."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        questions: TargetControl,
        records: RecordKeeper,
        orders: PromotionOrders,
        missing_since: Callable[[str], float | None],
        registry: VmRegistry,
        releases: ProofReleases,
        timing: LeaseTiming,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._missing_since = missing_since
        self._registry = registry
        self._releases = releases
        self._tidied_at = -1e9
        self._tidy_interval = FIRST_TIDY_INTERVAL
        self._sights: dict[str, tuple[str, PrimarySight]] = {}
        self._looked_at: dict[str, float] = {}
        self._begin_after: dict[str, float] = {}
        self._quotas = QuotaKeeper(
            reactor=reactor,
            board=board,
            platform=platform,
            confirmed_at=lambda: records.quota_holders_confirmed_at,
        )
        self.lease = LeaderLease(
            reactor=reactor,
            board=board,
            platform=platform,
            records=records,
            address=registry.local_vm.address,
            timing=timing,
            on_changed=self._lease_changed,
        )
        self._finisher = ChangeFinisher(
            reactor=reactor,
            board=board,
            platform=platform,
            questions=questions,
            records=records,
            releases=releases,
            draw=zlib.crc32(registry.local_vm.nonce.encode()),
        )
        self._changes = TakeoverRunner(
            reactor=reactor,
            board=board,
            platform=platform,
            questions=questions,
            records=records,
            releases=releases,
            orders=orders,
            lease=self.lease,
            on_ended=self._change_ended,
        )
        self._settler = Settler(
            reactor=reactor,
            platform=platform,
            questions=questions,
            records=records,
            releases=releases,
            leads=lambda: self.lease.is_held,
            on_settled=self._changes.put_right,
            on_disagreed=self._replace_unsettled,
        )

    def start(self) -> None:
        """Take part from now on."""
        self._tick()

    def _tick(self) -> None:
        # Armed first: a fault in one round must not end all that follow.
        self._reactor.call_later(TICK, self._tick)
        self.lease.step()
        if self.lease.is_held:
            self._lead()
            self._quotas.restore()
            self._tidy()
        else:
            self._finisher.tick()

    def _lease_changed(self, leads: bool) -> None:
        if leads:
            # The others are told at once.
            self._tidied_at = -1e9
            self._tidy_interval = FIRST_TIDY_INTERVAL / 2
            self._changes.put_all_right()
        else:
            self._changes.drop_all()

    def _change_ended(self, group: SessionGroup) -> None:
        self._sights.pop(group.name, None)
        self._begin_after[group.name] = self._reactor.now() + TRY_AGAIN

    def _tidy(self) -> None:
        """Keep the list of VMs, and remove those that have long gone."""
        now = self._reactor.now()
        if now - self._tidied_at < self._tidy_interval:
            return
        self._tidied_at = now
        self._tidy_interval = min(TIDY_INTERVAL, self._tidy_interval * 2)

        def listed(vms: dict[str, ListedVm] | None) -> None:
            if vms is not None:
                self._releases.tell_leading(
                    self.lease.last_seen_lease().version
                )
                self._board.vm_count = max(1, len(vms))
                self._registry.remove_lapsed(now)
                self._quotas.update(map(_as_quota_vm, vms.values()))

        self._registry.refresh(listed)

    def _lead(self) -> None:
        now = self._reactor.now()
        for group in list(self._board.groups.values()):
            if not group.targets or self._changes.tick(group):
                continue
            if group.record is None:
                self._record_first(group)
            elif group.unsettled is not None:
                self._settler.tick(group)
            else:
                self._watch(group, group.record, now)

    def _replace_unsettled(
        self, group: SessionGroup, record: PrimaryRecord
    ) -> None:
        now = self._reactor.now()
        if now >= self._begin_after.get(group.name, -1e9):
            self._changes.begin(group, record, TakeoverCause.UNSETTLED, now)

    def _watch(
        self, group: SessionGroup, record: PrimaryRecord, now: float
    ) -> None:
        sight = self._sight(group, record)
        sight.missing_at = self._missing_since(record.primary)
        if record.primary not in group.targets and sight.missing_at is None:
            # Gone before this process began to look.
            sight.missing_at = -1e9
        self._take_connections(group, record, sight)
        if self._should_look(group, record, sight, now):
            self._looked_at[group.name] = now
            self._look(group, record, sight, now)
        cause = replacement_cause(group, sight, now)
        if cause is None or now < self._begin_after.get(group.name, -1e9):
            return
        self._changes.begin(group, record, cause, now)

    def _take_connections(
        self, group: SessionGroup, record: PrimaryRecord, sight: PrimarySight
    ) -> None:
        """Take what connections have shown: a word, none, or refusals."""
        heard_at = group.observed_target(record.primary).last_response_at
        if sight.asked_at is not None and heard_at > sight.asked_at:
            sight.heard()
        news = group.targets.get(record.primary)
        if news is None:
            sight.unanswered_since = sight.refused_since = None
            return
        sight.unanswered_since = self._questions.unanswered_since(news.target)
        sight.refused_since = self._questions.refused_since(news.target)

    def _should_look(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        sight: PrimarySight,
        now: float,
    ) -> bool:
        """Tell whether to ask a primary how it is.

        Answers to statements show as well that it lives, and give samples
        that the leader passes on; a question takes a slot of the primary.
        But only a question shows that it has lost its role.
        """
        looked = now - self._looked_at.get(group.name, -1e9)
        since = sight.unanswered_since
        if since is not None and now - since >= LOOK_AFTER:
            return looked >= LOOK_INTERVAL
        sample = group.samples.newest()
        age = now - sample.asked_at if sample is not None else LOOK_INTERVAL
        heard = now - group.observed_target(record.primary).last_response_at
        if max(heard, age) < LOOK_INTERVAL:
            return looked >= ROLE_INTERVAL
        return looked >= LOOK_INTERVAL

    def _sight(
        self, group: SessionGroup, record: PrimaryRecord
    ) -> PrimarySight:
        found = self._sights.get(group.name)
        if found is None or found[0] != record.primary:
            found = (record.primary, PrimarySight())
            self._sights[group.name] = found
        return found[1]

    def _look(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        sight: PrimarySight,
        now: float,
    ) -> None:
        def heard(result: TargetReport | NoReport) -> None:
            if isinstance(result, TargetReport):
                sight.heard()
                sight.lost_role = not result.is_primary
                return
            last = group.observed_target(record.primary).last_response_at
            if result.busy or last >= now:
                sight.heard()
                return
            if sight.asked_at is None:
                sight.asked_at = max(now, last)
            if result.refused and sight.refused_at is None:
                sight.refused_at = now
            elif not result.refused:
                sight.refused_at = None

        self._questions.ask(
            group, record.primary, AskReport(), LOOK_TIMEOUT, heard
        )

    def _record_first(self, group: SessionGroup) -> None:
        """Record the primary of a group that has no record yet.

        Not before the records were read: a group that has one must keep it.
        """
        now = self._reactor.now()
        fresh = self._records.read_at > now - 1.0
        if not fresh or now < self._begin_after.get(group.name, -1e9):
            return
        era = self._platform.era
        draft = first_record(group, term=0, era=era)
        if draft is None:
            return
        self._begin_after[group.name] = now + TRY_AGAIN

        def heard(result: TargetReport | NoReport) -> None:
            if (
                isinstance(result, TargetReport)
                and result.is_primary
                and self.lease.is_held
            ):
                record = first_record(group, term=result.term, era=era)
                if record is not None:
                    self._store_first(record)

        self._questions.ask(
            group, draft.primary, AskReport(), LOOK_TIMEOUT, heard
        )

    def _store_first(self, record: PrimaryRecord) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            self._records.request_read(record.group)

        self._platform.put(
            RECORD_KIND,
            record.group,
            0,
            encode_record(record),
            "change",
            on_result,
            timeout=STORE_TIMEOUT,
        )


def _as_quota_vm(vm: ListedVm) -> QuotaVm:
    return QuotaVm(
        name=vm.name,
        address=vm.address,
        availability_zone=vm.availability_zone,
    )
