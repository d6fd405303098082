"""Monitor all primaries, on the VM that holds the leader lease."""

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
from bamboospring.sessions.primary_health import initial_record
from bamboospring.sessions.primary_health import PrimaryHealth
from bamboospring.sessions.primary_health import replacement_cause
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.quota_keeper import QuotaKeeper
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.record_settler import RecordSettler
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover_runner import TakeoverRunner
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.sessions.zone_directory_keeper import ZoneDirectoryKeeper

__all__ = ["Leader"]

TICK_INTERVAL = 0.1
# Seconds between two checks of a primary, and the timeout of each.
CHECK_INTERVAL = 0.35
CHECK_TIMEOUT = 0.8
# Interval of the checks while answers to statements show that it works.
ROLE_CHECK_INTERVAL = 2.0
# A primary that has not answered statements for this many seconds is checked:
# a refused connection shows at once that it has failed.
UNANSWERED_CHECK_DELAY = 0.15
STORE_TIMEOUT = 1.0
# Seconds between two reads of the list of VMs. The interval starts at
# FIRST_VM_LIST_INTERVAL and doubles each time: the list of a fleet that has
# just started is still growing, and the number of VMs decides how they share
# the connections to targets.
VM_LIST_INTERVAL = 10.0
FIRST_VM_LIST_INTERVAL = 1.0
# Seconds after the end of a change before the next one for the same group.
RETRY_DELAY = 0.5


class Leader:
    """Monitors all primaries and replaces those that fail.

    It acts only while this VM holds the leader lease. Without the lease it
    finishes changes that another leader left unfinished.
    """

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
        read_targets: Callable[[], None],
        registry: VmRegistry,
        releases: ProofReleases,
        zone_directory: ZoneDirectoryKeeper,
        timing: LeaseTiming,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._records = records
        self._missing_since = missing_since
        self._read_targets = read_targets
        self._registry = registry
        self._releases = releases
        self._zone_directory = zone_directory
        self._vms_listed_at = -1e9
        self._vm_list_interval = FIRST_VM_LIST_INTERVAL
        self._health_by_group: dict[str, tuple[str, PrimaryHealth]] = {}
        self._checked_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
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
            nonce_hash=zlib.crc32(registry.local_vm.nonce.encode()),
        )
        self._takeovers = TakeoverRunner(
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
        self._settler = RecordSettler(
            reactor=reactor,
            board=board,
            platform=platform,
            questions=questions,
            records=records,
            releases=releases,
            is_leader=lambda: self.lease.is_held,
            on_settled=self._takeovers.reconcile,
            on_disagreed=self._replace_unsettled,
        )

    def start(self) -> None:
        """Start the periodic checks."""
        self._tick()

    def _tick(self) -> None:
        # Scheduled first: an exception must not stop all later rounds.
        self._reactor.call_later(TICK_INTERVAL, self._tick)
        self.lease.step()
        if self.lease.is_held:
            self._check_groups()
            self._quotas.restore()
            self._refresh_vms()
        else:
            self._finisher.tick()

    def _lease_changed(self, is_held: bool) -> None:
        if is_held:
            # Due at once, so that the other VMs learn of the new leader.
            self._vms_listed_at = -1e9
            self._vm_list_interval = FIRST_VM_LIST_INTERVAL / 2
            # A relayed list does not tell since when targets are in it.
            self._read_targets()
            self._takeovers.reconcile_all()
        else:
            self._takeovers.drop_all()

    def _change_ended(self, group: SessionGroup) -> None:
        self._health_by_group.pop(group.name, None)
        self._retry_at[group.name] = self._reactor.now() + RETRY_DELAY

    def _refresh_vms(self) -> None:
        """Refresh the list of VMs if due, and remove expired entries."""
        now = self._reactor.now()
        if now - self._vms_listed_at < self._vm_list_interval:
            return
        self._vms_listed_at = now
        self._vm_list_interval = min(
            VM_LIST_INTERVAL, self._vm_list_interval * 2
        )

        def on_listed(vms: dict[str, ListedVm] | None) -> None:
            if vms is not None:
                self._releases.announce_leader(
                    self.lease.last_seen_lease().version
                )
                self._board.vm_count = max(1, len(vms))
                self._registry.remove_expired(now)
                self._quotas.update(map(_as_quota_vm, vms.values()))
                self._zone_directory.update(vms.values())

        self._registry.refresh(on_listed)

    def _check_groups(self) -> None:
        now = self._reactor.now()
        for group in list(self._board.groups.values()):
            if not group.targets or self._takeovers.tick(group):
                continue
            if group.record is None:
                self._create_record(group)
            elif group.unsettled is not None:
                self._settler.tick(group)
            else:
                self._watch(group, group.record, now)

    def _replace_unsettled(
        self, group: SessionGroup, record: PrimaryRecord
    ) -> None:
        now = self._reactor.now()
        if now >= self._retry_at.get(group.name, -1e9):
            self._takeovers.begin(group, record, TakeoverCause.UNSETTLED, now)

    def _watch(
        self, group: SessionGroup, record: PrimaryRecord, now: float
    ) -> None:
        health = self._health(group, record)
        health.missing_since = self._missing_since(record.primary)
        if (
            record.primary not in group.targets
            and health.missing_since is None
        ):
            # The entry was removed before this process started.
            health.missing_since = -1e9
        self._update_from_connections(group, record, health)
        if self._should_check(group, record, health, now):
            self._checked_at[group.name] = now
            self._check_primary(group, record, health, now)
        cause = replacement_cause(group, health, now)
        if cause is None or now < self._retry_at.get(group.name, -1e9):
            return
        self._takeovers.begin(group, record, cause, now)

    def _update_from_connections(
        self, group: SessionGroup, record: PrimaryRecord, health: PrimaryHealth
    ) -> None:
        """Update a primary's health from what its connections have shown."""
        last_response_at = group.observed_target(
            record.primary
        ).last_response_at
        if (
            health.oldest_question_at is not None
            and last_response_at > health.oldest_question_at
        ):
            health.record_response()
        listed_target = group.targets.get(record.primary)
        if listed_target is None:
            health.unanswered_since = health.connections_refused_since = None
            return
        health.unanswered_since = self._questions.unanswered_since(
            listed_target.target
        )
        health.connections_refused_since = self._questions.refused_since(
            listed_target.target
        )

    def _should_check(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        health: PrimaryHealth,
        now: float,
    ) -> bool:
        """Return whether to ask a primary for its report now.

        A report takes a slot of the primary. Answers to statements also show
        that it works, and give the samples that the leader passes on, but
        only a report shows that it has lost its role.
        """
        since_check = now - self._checked_at.get(group.name, -1e9)
        unanswered_since = health.unanswered_since
        if (
            unanswered_since is not None
            and now - unanswered_since >= UNANSWERED_CHECK_DELAY
        ):
            return since_check >= CHECK_INTERVAL
        sample = group.samples.newest()
        sample_age = (
            now - sample.asked_at if sample is not None else CHECK_INTERVAL
        )
        since_response = (
            now - group.observed_target(record.primary).last_response_at
        )
        if max(since_response, sample_age) < CHECK_INTERVAL:
            return since_check >= ROLE_CHECK_INTERVAL
        return since_check >= CHECK_INTERVAL

    def _health(
        self, group: SessionGroup, record: PrimaryRecord
    ) -> PrimaryHealth:
        found = self._health_by_group.get(group.name)
        if found is None or found[0] != record.primary:
            found = (record.primary, PrimaryHealth())
            self._health_by_group[group.name] = found
        return found[1]

    def _check_primary(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        health: PrimaryHealth,
        now: float,
    ) -> None:
        def on_report(result: TargetReport | NoReport) -> None:
            if isinstance(result, TargetReport):
                health.record_response()
                health.lost_role = not result.is_primary
                return
            last_response_at = group.observed_target(
                record.primary
            ).last_response_at
            if result.busy or last_response_at >= now:
                health.record_response()
                return
            if health.oldest_question_at is None:
                health.oldest_question_at = max(now, last_response_at)
            if result.refused and health.question_refused_at is None:
                health.question_refused_at = now
            elif not result.refused:
                health.question_refused_at = None

        self._questions.ask(
            group, record.primary, AskReport(), CHECK_TIMEOUT, on_report
        )

    def _create_record(self, group: SessionGroup) -> None:
        """Store the first record of a group.

        This requires a recent read of the records: an existing record must
        not be replaced.
        """
        now = self._reactor.now()
        is_recent = self._records.read_at > now - 1.0
        if self._platform.may_be_incomplete(self._board.targets_seen_at):
            # The entry of the newest primary may be lost.
            return
        if not is_recent or now < self._retry_at.get(group.name, -1e9):
            return
        era = self._platform.era
        draft = initial_record(group, term=0, era=era)
        if draft is None:
            return
        self._retry_at[group.name] = now + RETRY_DELAY

        def on_report(result: TargetReport | NoReport) -> None:
            if (
                isinstance(result, TargetReport)
                and result.is_primary
                and self.lease.is_held
            ):
                record = initial_record(group, term=result.term, era=era)
                if record is not None:
                    self._store_new_record(record)

        self._questions.ask(
            group, draft.primary, AskReport(), CHECK_TIMEOUT, on_report
        )

    def _store_new_record(self, record: PrimaryRecord) -> None:
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
