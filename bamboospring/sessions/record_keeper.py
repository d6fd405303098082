"""Keep the groups' records and the proofs of their primaries.

Each read of the records is a proof of every primary in them for a limited
time. If the store does not answer, or was restored from an older copy so that
its records may not be the newest, each group's targets are asked instead.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import decode_record
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import OutgoingPrimary
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.proofs import PROOF_LIFETIME
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.proofs import targets_confirm_primary
from bamboospring.sessions.quota_holders import QuotaHolders
from bamboospring.sessions.quota_keeper import decode_holders
from bamboospring.sessions.quota_keeper import encode_holders
from bamboospring.sessions.quota_keeper import HOLDERS_NAME
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.store_version import era_of
from bamboospring.store_version import UnsettledState
from bamboospring.store_version import version_text

__all__ = ["RecordKeeper"]

# Seconds between two reads of the records, short enough that a proof survives
# one lost read.
READ_INTERVAL = PROOF_LIFETIME * 0.45
# Shorter for the leader, because its proofs age by about as much again before
# they reach the other VMs.
LEADER_READ_INTERVAL = PROOF_LIFETIME * 0.25
READ_TIMEOUT = PROOF_LIFETIME * 0.35
# Minimum seconds between two reads that `request_read` asked for.
REQUESTED_READ_INTERVAL = 0.15
# Age in seconds at which a proof is renewed by asking the targets.
ASK_TARGETS_AGE = PROOF_LIFETIME * 0.68
# The same while the store is away and other VMs ask for these proofs, which
# age by up to one interval of their questions before they have the next.
PASSED_ON_AGE = PROOF_LIFETIME * 0.2
PASS_ON_PERIOD = PROOF_LIFETIME * 0.75
REPORT_TIMEOUT = PROOF_LIFETIME * 0.28
CHECK_INTERVAL = 0.2

# Smoothing factor of the estimated duration of a change, and the maximum
# duration that counts, in seconds. Longer changes wait for something else.
CHANGE_SMOOTHING = 0.5
MAX_CHANGE_DURATION = 3.0
# Changes for these causes mean that the old primary no longer answers.
FAILED_CAUSES = frozenset(
    {TakeoverCause.FAILED.value, TakeoverCause.GONE.value}
)

# A proof by targets as it is passed on: the group, the version of its record
# and the proof's age in microseconds.
ProofRow = tuple[str, int, int]
# A record as it is passed on: its name, version and value, and the era in
# which the store no longer has it, or 0 if the store has it.
RecordRow = tuple[str, int, Any, int]
# Called with any other object of the records' kind, and with the time at which
# the read was sent.
OnOtherObject = Callable[[Found, float], None]


class RecordKeeper:
    """Reads the records of all groups at an interval."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        questions: TargetControl,
        can_take_proofs: Callable[[float], bool],
        on_primary_failed: Callable[[str, str], None],
    ) -> None:
        self._on_primary_failed = on_primary_failed
        self._can_take_proofs = can_take_proofs
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._surveyed_groups: set[str] = set()
        self._is_reading = False
        self._read_requested = False
        self._asked_at = -1e9
        self._next_read_at = 0.0
        self.read_at = -1e9
        self._passes_on_until = -1e9
        # When the quota holders were last confirmed to be the newest.
        self.quota_holders_confirmed_at = -1e9
        self.is_platform_reachable = True
        self._relayed_until = -1e9
        self._relay_bytes: bytes | None = None
        self.is_leader: Callable[[], bool] = lambda: False
        self.on_other_object: OnOtherObject | None = None
        # Handlers of further objects that are stored with the records.
        self.object_handlers: dict[str, OnOtherObject] = {}
        # Called with the time at which the read was sent, and the store's era.
        self.on_records_read: Callable[[float, int], None] | None = None

    def start(self) -> None:
        """Start to read the records periodically."""
        self._tick()

    def request_read(self, group: str) -> None:
        """Read the records soon: a group's record may be out of date."""
        self._read_requested = True
        due_at = max(
            self._reactor.now(), self._asked_at + REQUESTED_READ_INTERVAL
        )
        if due_at < self._next_read_at:
            self._next_read_at = due_at
            self._reactor.call_later(
                max(0.0, due_at - self._reactor.now()), self._read_if_due
            )

    def as_bytes(self) -> bytes:
        """Return all records, encoded for other VMs."""
        if self._relay_bytes is None:
            records = [
                group.record
                for _name, group in sorted(self._board.groups.items())
                if group.record is not None
            ]
            rows: list[RecordRow] = [
                (r.group, r.version, encode_record(r), self._unsettled_era(r))
                for r in records
            ]
            holders = self._board.quota_holders
            if holders is not None:
                value = encode_holders(holders)
                unsettled = self._board.quota_unsettled
                era = unsettled.era if unsettled is not None else 0
                rows.append((HOLDERS_NAME, holders.version, value, era))
            self._relay_bytes = orjson.dumps(rows)
        return self._relay_bytes

    def apply_relayed(
        self,
        rows: list[RecordRow] | None,
        asked_at: float,
        until: float,
    ) -> None:
        """Apply the records that the leader has read.

        `rows` is None if they are the same as here. `asked_at` is no later
        than the time at which the leader's read was sent. Periodic reads of
        the store pause until `until`.
        """
        self._relayed_until = until
        self.read_at = max(self.read_at, asked_at)
        if rows is not None:
            for name, version, value, era in rows:
                found = Found(
                    kind=RECORD_KIND, name=name, version=version, value=value
                )
                self._apply_object(found, None if era else asked_at)
                if era:
                    self._mark_unsettled(name, era)
            return
        if self._board.quota_unsettled is None:
            self._confirm_holders(asked_at)
        for group in self._board.groups.values():
            if group.record is not None and group.unsettled is None:
                self.apply(group.record, asked_at)

    def pass_on_proofs(self) -> list[ProofRow]:
        """Return the valid proofs by targets, for another VM.

        They are renewed more often as long as VMs ask for them.
        """
        now = self._reactor.now()
        self._passes_on_until = now + PASS_ON_PERIOD
        return [
            (
                group.name,
                group.record.version,
                int((now - group.proof.asked_at) * 1e6) + 1,
            )
            for group in self._board.groups.values()
            if group.record is not None
            and group.record.change is None
            and group.proof.asked_at > self.read_at
            and group.proof.covers(now)
        ]

    def apply_passed_on(self, rows: list[ProofRow], asked_at: float) -> None:
        """Apply another VM's proofs by targets, asked for at `asked_at`.

        Unlike an own answer of targets, such a proof may replace one that has
        expired: the other VM's had not.
        """
        if not self._can_take_proofs(asked_at):
            return
        for name, version, age_us in rows:
            group = self._board.groups.get(name)
            record = group.record if group is not None else None
            if group is None or record is None or record.change is not None:
                continue
            if record.version == version:
                group.proof.renew(asked_at - age_us / 1e6)

    def read_directly(self) -> None:
        """Resume reading the store when no VM passes the records on."""
        self._relayed_until = -1e9
        self._next_read_at = min(self._next_read_at, self._reactor.now())
        self._read_if_due()

    def apply(
        self, record: PrimaryRecord, asked_at: float | None = None
    ) -> None:
        """Apply a record; with `asked_at` it is also a proof.

        A record that may not be the newest proves nothing. It is still used,
        with proofs from the targets, unless a later one is known.
        """
        group = self._board.group(record.group)
        known = group.record
        if known is not None and record.sort_key < known.sort_key:
            if not record.is_current:
                self._mark_group_unsettled(
                    group, era_of(record.version), record.version
                )
            # Otherwise a newer record arrived before this one.
            return
        if known is None or record.sort_key > known.sort_key:
            self._replace(group, record)
        if not record.is_current:
            self._mark_group_unsettled(
                group, era_of(record.version), record.version
            )
            return
        self._mark_group_settled(group, record)
        if asked_at is None or record.change is not None:
            return
        if self._can_take_proofs(self._reactor.now()):
            group.proof.renew(asked_at)

    def _mark_unsettled(self, name: str, era: int) -> None:
        if name == HOLDERS_NAME:
            self._mark_holders_unsettled(era, 0)
        else:
            self._mark_group_unsettled(self._board.group(name), era, 0)

    def _mark_group_unsettled(
        self, group: SessionGroup, era: int, version: int
    ) -> None:
        """Record that the store has no record of `era` for this group."""
        known = group.record
        if known is not None and known.era >= era:
            return
        before = group.unsettled
        unsettled = UnsettledState(era=era, version=version)
        if before is not None and (before.era, before.version) >= (
            era,
            version,
        ):
            return
        group.unsettled = unsettled
        self._relay_bytes = None
        if before is None:
            logs.log_event(
                "record_unsettled",
                level=logs.Level.WARNING,
                group=group.name,
                era=era,
                version=version_text(version),
                known_version=version_text(known.version if known else 0),
            )

    def _mark_group_settled(
        self, group: SessionGroup, record: PrimaryRecord
    ) -> None:
        unsettled = group.unsettled
        if unsettled is not None and record.era >= unsettled.era:
            group.unsettled = None
            self._relay_bytes = None

    def _unsettled_era(self, record: PrimaryRecord) -> int:
        """Return the era in which the store lacks this record, 0 if none."""
        unsettled = self._board.group(record.group).unsettled
        return unsettled.era if unsettled is not None else 0

    def _replace(self, group: SessionGroup, record: PrimaryRecord) -> None:
        known = group.record
        same_primary = (
            known is not None
            and known.primary == record.primary
            and known.term == record.term
        )
        self._relay_bytes = None
        group.record = record
        if record.change is not None:
            self._begin_change(group, known, record)
        else:
            self._use_primary(group, record)
        if not same_primary:
            group.proof.invalidate()
            group.samples.clear()
        logs.log_event(
            "record",
            group=group.name,
            version=version_text(record.version),
            term=record.term,
            primary=record.primary,
            changing=record.change is not None,
            by=record.change.vm if record.change else "",
        )

    def _begin_change(
        self,
        group: SessionGroup,
        known: PrimaryRecord | None,
        record: PrimaryRecord,
    ) -> None:
        """Stop using the primary, but accept answers to requests in flight.

        No other target is promoted before this VM's proof has expired or this
        VM has reported that it released the proof.
        """
        if not group.is_changing:
            group.change_seen_at = self._reactor.now()
        group.is_changing = True
        if known is not None and known.change is None:
            group.outgoing_primary = OutgoingPrimary(
                target=known.primary,
                proof=Proof(asked_at=group.proof.asked_at),
            )
        group.proof.invalidate()

        change = record.change
        if change is not None and change.cause in FAILED_CAUSES:
            # In a later turn of the event loop, because statements that fail
            # here read the board again.
            self._reactor.call_later(
                0, lambda: self._on_primary_failed(group.name, record.primary)
            )

    def _use_primary(self, group: SessionGroup, record: PrimaryRecord) -> None:
        """Use the primary of a record without a change."""
        group.outgoing_primary = None
        group.primary_set_at = self._reactor.now()
        if group.is_changing:
            duration = self._reactor.now() - group.change_seen_at
            self._board.change_duration += CHANGE_SMOOTHING * (
                min(duration, MAX_CHANGE_DURATION)
                - self._board.change_duration
            )
        group.is_changing = False

    def _tick(self) -> None:
        # Scheduled first: an exception must not stop all later rounds.
        self._reactor.call_later(CHECK_INTERVAL, self._tick)
        self._read_if_due()
        self._renew_proofs_by_targets()

    def _read_if_due(self) -> None:
        now = self._reactor.now()
        if self._is_reading or now < self._next_read_at:
            return
        if now < self._relayed_until and not self._read_requested:
            return
        self._read_requested = False
        self._is_reading = True
        self._asked_at = now
        self._next_read_at = now + (
            LEADER_READ_INTERVAL if self.is_leader() else READ_INTERVAL
        )
        self._platform.list(
            RECORD_KIND, "records", self._on_read, timeout=READ_TIMEOUT
        )

    def _on_read(self, result: Changes | Unavailable) -> None:
        self._is_reading = False
        asked_at = self._asked_at
        match result:
            case Changes(objects=objects, revision=revision):
                self._set_reachable(True)
                self.read_at = asked_at
                for found in objects:
                    self._apply_object(found, asked_at)
                self._mark_missing(objects, era_of(revision))
                if self.on_records_read is not None:
                    self.on_records_read(asked_at, era_of(revision))
            case Unavailable(retry_after=retry_after, reason=reason):
                self._set_reachable(False, reason)
                now = self._reactor.now()
                self._next_read_at = min(
                    self._next_read_at, now + max(retry_after, 0.05)
                )

    def _mark_missing(self, objects: tuple[Found, ...], era: int) -> None:
        """Mark records that the store lost since an earlier era."""
        listed = {found.name for found in objects}
        for name, group in self._board.groups.items():
            if group.record is not None and name not in listed:
                self._mark_group_unsettled(group, era, 0)
        if HOLDERS_NAME not in listed:
            self._mark_holders_unsettled(era, 0)

    def _apply_object(self, found: Found, asked_at: float | None) -> None:
        if isinstance(found.value, dict) and "primary" in found.value:
            record = decode_record(found)
            if record is not None:
                self.apply(record, asked_at)
        elif found.name == HOLDERS_NAME:
            self._apply_holders(found, asked_at)
        elif asked_at is None:
            return
        elif (handler := self.object_handlers.get(found.name)) is not None:
            handler(found, asked_at)
        elif self.on_other_object is not None:
            self.on_other_object(found, asked_at)

    def _apply_holders(self, found: Found, asked_at: float | None) -> None:
        """Apply the quota holders; confirm only the newest ones."""
        known = self._board.quota_holders
        if known is None or found.version != known.version:
            holders = decode_holders(found)
            if holders is None:
                return
            if known is None or holders.sort_key > known.sort_key:
                self._replace_holders(holders)
            if not holders.is_current:
                self._mark_holders_unsettled(
                    era_of(found.version), found.version
                )
                return
        self._mark_holders_settled()
        board = self._board
        known_version = board.quota_holders and board.quota_holders.version
        if board.quota_unsettled is None and found.version == known_version:
            self._confirm_holders(asked_at)

    def _confirm_holders(self, asked_at: float | None) -> None:
        if asked_at is not None:
            self.quota_holders_confirmed_at = max(
                self.quota_holders_confirmed_at, asked_at
            )

    def _mark_holders_unsettled(self, era: int, version: int) -> None:
        known, unsettled = (
            self._board.quota_holders,
            self._board.quota_unsettled,
        )
        if known is None or known.era >= era:
            return
        if unsettled is None or (unsettled.era, unsettled.version) < (
            era,
            version,
        ):
            self._relay_bytes = None
            self._board.quota_unsettled = UnsettledState(
                era=era, version=version
            )

    def _mark_holders_settled(self) -> None:
        known, unsettled = (
            self._board.quota_holders,
            self._board.quota_unsettled,
        )
        if (
            known is not None
            and unsettled is not None
            and known.era >= unsettled.era
        ):
            self._relay_bytes = None
            self._board.quota_unsettled = None

    def _replace_holders(self, holders: QuotaHolders) -> None:
        self._relay_bytes = None
        self._board.quota_holders = holders
        logs.log_event(
            "quota_holders",
            version=version_text(holders.version),
            vms=len(holders.vms),
            handing_over=holders.previous is not None,
        )

    def _set_reachable(self, is_reachable: bool, reason: str = "") -> None:
        if is_reachable == self.is_platform_reachable:
            return
        self.is_platform_reachable = is_reachable
        age = self._reactor.now() - self.read_at
        logs.log_event(
            "platform_regained" if is_reachable else "platform_lost",
            level=logs.Level.INFO if is_reachable else logs.Level.WARNING,
            reason=reason,
            records_age_ms=round(min(age, 1e6) * 1000),
        )

    # Proofs from the targets.

    def _renew_proofs_by_targets(self) -> None:
        now = self._reactor.now()
        passes_on = (
            now < self._passes_on_until and not self.is_platform_reachable
        )
        max_age = PASSED_ON_AGE if passes_on else ASK_TARGETS_AGE
        for group in self._board.groups.values():
            if now - group.proof.asked_at < max_age:
                continue
            if group.unsettled is None and now - self.read_at <= 0.5:
                continue
            if group.primary() is not None and group.proof.covers(now):
                self._ask_targets(group, now)

    def _ask_targets(self, group: SessionGroup, now: float) -> None:
        record = group.record
        if record is None or group.name in self._surveyed_groups:
            return
        asked = tuple(group.targets)
        leaving = {n for n, listed in group.targets.items() if listed.leaving}
        self._surveyed_groups.add(group.name)
        results: dict[str, TargetReport | NoReport] = {}

        def handle(name: str, result: TargetReport | NoReport) -> None:
            results[name] = result
            if len(results) == len(asked):
                self._surveyed_groups.discard(group.name)
                self._extend_if_confirmed(group, record, leaving, results, now)

        for name in asked:
            self._questions.ask(
                group,
                name,
                AskReport(),
                REPORT_TIMEOUT,
                lambda result, name=name: handle(name, result),  # type: ignore
            )

    def _extend_if_confirmed(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        leaving: set[str],
        results: dict[str, TargetReport | NoReport],
        asked_at: float,
    ) -> None:
        reports = {
            name: result
            for name, result in results.items()
            if isinstance(result, TargetReport)
        }
        others = [
            name
            for name, result in results.items()
            if name != record.primary
            and not (name in leaving and result == NoReport(refused=True))
        ]
        is_confirmed = targets_confirm_primary(
            record.primary, others, reports, record.term
        )
        is_current = group.record is record and record.change is None
        if is_confirmed and is_current and self._can_take_proofs(asked_at):
            group.proof.extend(asked_at, self._reactor.now())
        logs.log_event(
            "asked_targets",
            group=group.name,
            agree=is_confirmed,
            heard=len(reports),
            asked=len(results),
            primary=record.primary,
            term=record.term,
            targets=",".join(
                f"{name}={_result_text(result)}"
                for name, result in results.items()
            ),
            list_age_ms=round((asked_at - self._board.targets_seen_at) * 1000),
            list_version=version_text(self._board.targets_version),
            proof_age_ms=round((asked_at - group.proof.asked_at) * 1000),
        )


def _result_text(result: TargetReport | NoReport) -> str:
    """Return the newest term that a target knows, or why it is unknown."""
    match result:
        case TargetReport(is_primary=is_primary):
            role = "primary/" if is_primary else ""
            return f"{role}{result.newest_term}"
        case NoReport(refused=True):
            return "refused"
        case NoReport(busy=True):
            return "busy"
    return "unanswered"
