"""Keep the groups' records and the proofs of their primaries.

Each read of the records proves, for a while, every primary that they show.
Where the store does not answer, or shows records that may not be the newest
since it came back from an older copy, each group's other targets are asked
instead.
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
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import read_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import Outgoing
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.proofs import others_agree
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.proofs import PROOF_LIFETIME
from bamboospring.sessions.proofs import TargetReport
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

# Seconds between two reads of the records: a proof then outlives one read
# that is lost, and is renewed by the next.
INTERVAL = PROOF_LIFETIME * 0.45
# The leader passes its proofs on, which takes them as long again to age.
LEADER_INTERVAL = PROOF_LIFETIME * 0.25
TIMEOUT = PROOF_LIFETIME * 0.35
# Reads made because something spoke against a record are this far apart.
DOUBT_INTERVAL = 0.15
# A proof of this age, in seconds, is renewed by asking the targets.
RENEW_BY_TARGETS = PROOF_LIFETIME * 0.68
TARGETS_TIMEOUT = PROOF_LIFETIME * 0.28
CHECK_INTERVAL = 0.2

# The estimate of how long a change takes follows each one by this part, and
# takes none for longer than this, in seconds: those wait for something else.
CHANGE_SMOOTHING = 0.5
LONGEST_CHANGE = 3.0
# Changes for these causes mean that the old primary answers nothing more.
FAILED_CAUSES = frozenset(
    {TakeoverCause.FAILED.value, TakeoverCause.GONE.value}
)

# A record as it is passed on: its name, version and value, and the era in
# which the store does not show it; 0: it does.
RecordRow = tuple[str, int, Any, int]
# Called with what else is stored with the records, when it was asked for.
OnOther = Callable[[Found, float], None]


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
        self._on_failed = on_primary_failed
        self._may_take_proofs = can_take_proofs
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._questions = questions
        self._asking: set[str] = set()
        self._busy = False
        self._doubted = False
        self._asked_at = -1e9
        self._due = 0.0
        self.read_at = -1e9
        # When the choice of who counts was last surely the newest.
        self.quota_holders_confirmed_at = -1e9
        self.reachable = True
        self._relayed_until = -1e9
        self._bytes: bytes | None = None
        self.is_leader: Callable[[], bool] = lambda: False
        self.on_other: OnOther | None = None
        # Called with when the store was asked, and its era.
        self.on_read: Callable[[float, int], None] | None = None

    def start(self) -> None:
        """Read now and from then on."""
        self._tick()

    def request_read(self, group: str) -> None:
        """Read soon: something speaks against the record of a group."""
        self._doubted = True
        soon = max(self._reactor.now(), self._asked_at + DOUBT_INTERVAL)
        if soon < self._due:
            self._due = soon
            self._reactor.call_later(
                max(0.0, soon - self._reactor.now()), self._ask_if_due
            )

    def as_bytes(self) -> bytes:
        """Return all records as they are passed on to other VMs."""
        if self._bytes is None:
            agreed = [
                group.record
                for _name, group in sorted(self._board.groups.items())
                if group.record is not None
            ]
            rows: list[RecordRow] = [
                (r.group, r.version, encode_record(r), self._era_without(r))
                for r in agreed
            ]
            holders = self._board.quota_holders
            if holders is not None:
                value = encode_holders(holders)
                lost = self._board.quota_unsettled
                era = lost.era if lost is not None else 0
                rows.append((HOLDERS_NAME, holders.version, value, era))
            self._bytes = orjson.dumps(rows)
        return self._bytes

    def apply_relayed(
        self,
        rows: list[RecordRow] | None,
        asked_at: float,
        until: float,
    ) -> None:
        """Take what the leader has read; None: as we have it.

        `asked_at` is the latest instant at which its question to the store
        can't have been sent yet.
        """
        self._relayed_until = until
        self.read_at = max(self.read_at, asked_at)
        if rows is not None:
            for name, version, value, era in rows:
                found = Found(
                    kind=RECORD_KIND, name=name, version=version, value=value
                )
                self._take_object(found, None if era else asked_at)
                if era:
                    self._note_unsettled(name, era)
            return
        if self._board.quota_unsettled is None:
            self._confirm_holders(asked_at)
        for group in self._board.groups.values():
            if group.record is not None and group.unsettled is None:
                self.apply(group.record, asked_at)

    def read_directly(self) -> None:
        """Read the store again: nobody passes records on."""
        self._relayed_until = -1e9
        self._due = min(self._due, self._reactor.now())
        self._ask_if_due()

    def apply(
        self, record: PrimaryRecord, asked_at: float | None = None
    ) -> None:
        """Take a record in; with `asked_at` it also is a proof.

        One that may not be the newest proves nothing, but is used, by the word
        of the targets, where none is known that was stored later.
        """
        group = self._board.group(record.group)
        known = group.record
        if known is not None and record.sort_key < known.sort_key:
            if not record.is_current:
                self._unsettle(group, era_of(record.version), record.version)
            # Otherwise it was overtaken on the way by a newer one.
            return
        if known is None or record.sort_key > known.sort_key:
            self._replace(group, record)
        if not record.is_current:
            self._unsettle(group, era_of(record.version), record.version)
            return
        self._settle(group, record)
        if asked_at is None or record.change is not None:
            return
        if self._may_take_proofs(self._reactor.now()):
            group.proof.renew(asked_at)

    def _note_unsettled(self, name: str, era: int) -> None:
        if name == HOLDERS_NAME:
            self._unsettle_holders(era, 0)
        else:
            self._unsettle(self._board.group(name), era, 0)

    def _unsettle(self, group: SessionGroup, era: int, version: int) -> None:
        """Note that in an era the store shows no record of that era."""
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
        self._bytes = None
        if before is None:
            logs.log_event(
                "record_unsettled",
                level=logs.Level.WARNING,
                group=group.name,
                era=era,
                version=version_text(version),
                known_version=version_text(known.version if known else 0),
            )

    def _settle(self, group: SessionGroup, record: PrimaryRecord) -> None:
        unsettled = group.unsettled
        if unsettled is not None and record.era >= unsettled.era:
            group.unsettled = None
            self._bytes = None

    def _era_without(self, record: PrimaryRecord) -> int:
        """Return the era in which the store has not this record; 0: it has."""
        unsettled = self._board.group(record.group).unsettled
        return unsettled.era if unsettled is not None else 0

    def _replace(self, group: SessionGroup, record: PrimaryRecord) -> None:
        known = group.record
        same = (
            known is not None
            and known.primary == record.primary
            and known.term == record.term
        )
        self._bytes = None
        group.record = record
        if record.change is not None:
            self._close(group, known, record)
        else:
            self._open(group, record)
        if not same:
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

    def _close(
        self,
        group: SessionGroup,
        known: PrimaryRecord | None,
        record: PrimaryRecord,
    ) -> None:
        """Use the primary no more; what is under way may still be answered.

        Nobody promotes another one before our proof has lapsed, or before we
        have said that we let go of it.
        """
        if not group.is_changing:
            group.change_seen_at = self._reactor.now()
        group.is_changing = True
        if known is not None and known.change is None:
            group.outgoing_primary = Outgoing(
                target=known.primary,
                proof=Proof(asked_at=group.proof.asked_at),
            )
        group.proof.invalidate()

        change = record.change
        if change is not None and change.cause in FAILED_CAUSES:
            # In a later turn: what is given up asks the board anew.
            self._reactor.call_later(
                0, lambda: self._on_failed(group.name, record.primary)
            )

    def _open(self, group: SessionGroup, record: PrimaryRecord) -> None:
        """Go on with the primary of a record without a change."""
        group.outgoing_primary = None
        group.settled_at = self._reactor.now()
        if group.is_changing:
            took = self._reactor.now() - group.change_seen_at
            self._board.change_duration += CHANGE_SMOOTHING * (
                min(took, LONGEST_CHANGE) - self._board.change_duration
            )
        group.is_changing = False

    def _tick(self) -> None:
        # Armed first: a fault in one round must not end all that follow.
        self._reactor.call_later(CHECK_INTERVAL, self._tick)
        self._ask_if_due()
        self._renew_by_targets()

    def _ask_if_due(self) -> None:
        now = self._reactor.now()
        if self._busy or now < self._due:
            return
        if now < self._relayed_until and not self._doubted:
            return
        self._doubted = False
        self._busy = True
        self._asked_at = now
        self._due = now + (LEADER_INTERVAL if self.is_leader() else INTERVAL)
        self._platform.list(
            RECORD_KIND, "records", self._answered, timeout=TIMEOUT
        )

    def _answered(self, result: Changes | Unavailable) -> None:
        self._busy = False
        asked_at = self._asked_at
        match result:
            case Changes(objects=objects, revision=revision):
                self._reached(True)
                self.read_at = asked_at
                for found in objects:
                    self._take_object(found, asked_at)
                self._note_missing(objects, era_of(revision))
                if self.on_read is not None:
                    self.on_read(asked_at, era_of(revision))
            case Unavailable(retry_after=retry_after, reason=reason):
                self._reached(False, reason)
                now = self._reactor.now()
                self._due = min(self._due, now + max(retry_after, 0.05))

    def _note_missing(self, objects: tuple[Found, ...], era: int) -> None:
        """Note records that the store had in an earlier era and lost."""
        shown = {found.name for found in objects}
        for name, group in self._board.groups.items():
            if group.record is not None and name not in shown:
                self._unsettle(group, era, 0)
        if HOLDERS_NAME not in shown:
            self._unsettle_holders(era, 0)

    def _take_object(self, found: Found, asked_at: float | None) -> None:
        if isinstance(found.value, dict) and "primary" in found.value:
            record = read_record(found)
            if record is not None:
                self.apply(record, asked_at)
        elif found.name == HOLDERS_NAME:
            self._take_holders(found, asked_at)
        elif self.on_other is not None and asked_at is not None:
            self.on_other(found, asked_at)

    def _take_holders(self, found: Found, asked_at: float | None) -> None:
        """Take who counts; what may not be the newest confirms nothing."""
        known = self._board.quota_holders
        if known is None or found.version != known.version:
            holders = decode_holders(found)
            if holders is None:
                return
            if known is None or holders.sort_key > known.sort_key:
                self._replace_holders(holders)
            if not holders.is_current:
                self._unsettle_holders(era_of(found.version), found.version)
                return
        self._settle_holders()
        board = self._board
        same = board.quota_holders and board.quota_holders.version
        if board.quota_unsettled is None and found.version == same:
            self._confirm_holders(asked_at)

    def _confirm_holders(self, asked_at: float | None) -> None:
        if asked_at is not None:
            self.quota_holders_confirmed_at = max(
                self.quota_holders_confirmed_at, asked_at
            )

    def _unsettle_holders(self, era: int, version: int) -> None:
        known, lost = self._board.quota_holders, self._board.quota_unsettled
        if known is None or known.era >= era:
            return
        if lost is None or (lost.era, lost.version) < (era, version):
            self._bytes = None
            self._board.quota_unsettled = UnsettledState(
                era=era, version=version
            )

    def _settle_holders(self) -> None:
        known, lost = self._board.quota_holders, self._board.quota_unsettled
        if known is not None and lost is not None and known.era >= lost.era:
            self._bytes = None
            self._board.quota_unsettled = None

    def _replace_holders(self, holders: QuotaHolders) -> None:
        self._bytes = None
        self._board.quota_holders = holders
        logs.log_event(
            "quota_holders",
            version=version_text(holders.version),
            vms=len(holders.vms),
            handing_over=holders.previous is not None,
        )

    def _reached(self, reachable: bool, reason: str = "") -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        age = self._reactor.now() - self.read_at
        logs.log_event(
            "platform_regained" if reachable else "platform_lost",
            level=logs.Level.INFO if reachable else logs.Level.WARNING,
            reason=reason,
            records_age_ms=round(min(age, 1e6) * 1000),
        )

    # Proofs without the store.

    def _renew_by_targets(self) -> None:
        now = self._reactor.now()
        for group in self._board.groups.values():
            if now - group.proof.asked_at < RENEW_BY_TARGETS:
                continue
            if group.unsettled is None and now - self.read_at <= 0.5:
                continue
            # A first proof always comes from the store: what a process that
            # has just started knows of targets may be far too old.
            if group.primary() is not None and self.read_at > 0:
                self._ask_others(group, now)

    def _ask_others(self, group: SessionGroup, now: float) -> None:
        record = group.record
        if record is None or group.name in self._asking:
            return
        others = [name for name in group.targets if name != record.primary]
        if not others:
            return
        self._asking.add(group.name)
        reports: dict[str, TargetReport | None] = {}
        left = len(others)

        def heard(name: str, result: TargetReport | NoReport) -> None:
            nonlocal left
            left -= 1
            if isinstance(result, TargetReport):
                reports[name] = result
            elif result.refused:
                reports[name] = None
            if left == 0:
                self._asking.discard(group.name)
                self._judge_others(group, record, others, reports, now)

        for name in others:
            self._questions.ask(
                group,
                name,
                AskReport(),
                TARGETS_TIMEOUT,
                lambda result, name=name: heard(name, result),  # type: ignore
            )

    def _judge_others(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        others: list[str],
        reports: dict[str, TargetReport | None],
        asked_at: float,
    ) -> None:
        agree = others_agree(others, reports, record.term)
        same = group.record is record and record.change is None
        if agree and same and self._may_take_proofs(asked_at):
            group.proof.renew(asked_at)
        logs.log_event(
            "asked_targets",
            group=group.name,
            agree=agree,
            heard=sum(r is not None for r in reports.values()),
            asked=len(others),
            term=record.term,
        )
