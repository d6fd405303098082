"""Store operators' edits at the platform and report their outcome.

An edit is stored by conditional updates, one for each shard that it changes.
An update without an answer may have taken effect, or may still do so. The
shard is therefore read back before the edit is reported:

* If the history contains the edit, it is accepted.
* If not, and the shard's version is unchanged, the same update is sent again.
  Only one of the two updates can succeed.
* If not, and the version has changed, the update can no longer succeed, and
  the edit starts again from the shard as stored.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from functools import partial

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import TableRow
from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Rejected
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.records import decode_group
from bamboospring.rendezvous import shard_of
from bamboospring.table import apply_change
from bamboospring.table import CellDiff
from bamboospring.table import decode_stored
from bamboospring.table import diff_rows
from bamboospring.table import edited_columns
from bamboospring.table import encode_stored
from bamboospring.table import find_change
from bamboospring.table import find_conflicts
from bamboospring.table import RowConflict
from bamboospring.table import RowEdit
from bamboospring.table import StoredShard
from bamboospring.table_check import CellError
from bamboospring.table_check import check_cells
from bamboospring.table_check import check_row
from bamboospring.table_check import sites_with_weight

__all__ = ["EditReport", "EditRequest", "TableEditor", "Verdict"]

# How long requests to the platform are repeated, in seconds. The time is
# longer for an unanswered update, because otherwise its author has to find out
# by hand whether it was stored.
RETRY_TIMEOUT = 5.0
UNSETTLED_RETRY_TIMEOUT = 20.0
RETRY_DELAY = 0.05
PURPOSE = "edit"
RETRY_AFTER_CONFLICT = Unavailable(
    maybe_applied=False, retry_after=0.0, reason="too many other updates"
)

ProbeTargets = Callable[[Sequence[str], Callable[[set[str]], None]], None]
OnStored = Callable[[str, int, object], None]
OnReport = Callable[["EditReport"], None]


class Verdict(str, Enum):
    """The outcome of an edit.

    `CHECKED`: the edit is valid, and only a check was requested. `PARTLY`:
    the edit changes several shards, and some were stored before another
    turned out to have been changed by another author. `UNKNOWN`: an update
    got no answer and could not be read back in time.
    """

    ACCEPTED = "accepted"
    CHECKED = "checked"
    REFUSED = "refused"
    OVERTAKEN = "overtaken"
    PARTLY = "partly"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class EditRequest:
    """An operator's edit. A request with the same `id` is the same edit."""

    id: str
    author: str
    at: str
    comment: str = ""
    edits: tuple[RowEdit, ...] = ()
    check_only: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EditReport:
    """The outcome of an edit with its details for the author.

    `versions` maps each accepted shard to its new version. `cells` lists the
    cells that the edit changes.
    """

    id: str
    verdict: Verdict
    versions: dict[int, int] = field(default_factory=dict)
    cells: tuple[CellDiff, ...] = ()
    errors: tuple[CellError, ...] = ()
    conflicts: tuple[RowConflict, ...] = ()
    message: str = ""


class TableEditor:
    """Run any number of edits concurrently and report each.

    `probe_targets` takes addresses of targets and calls back with those that
    do not answer. `on_stored` is called with the name, version and value of
    each accepted shard.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        platform: PlatformClient,
        probe_targets: ProbeTargets,
        on_stored: OnStored,
    ) -> None:
        self.reactor = reactor
        self.platform = platform
        self.probe_targets = probe_targets
        self.on_stored = on_stored

    def submit(self, request: EditRequest, on_report: OnReport) -> None:
        """Run an edit and call `on_report` once with its report."""
        _EditRunner(editor=self, request=request, on_report=on_report).start()


@dataclass(slots=True, kw_only=True)
class _ShardEdit:
    """The part of an edit that changes one shard.

    `unanswered_base` is the shard version that an unanswered update was
    applied to. While the shard is still at that version, the update may still
    succeed.
    """

    shard: int
    edits: list[RowEdit] = field(default_factory=list)
    stored_shard: StoredShard = field(default_factory=StoredShard)
    planned_shard: StoredShard | None = None
    accepted_version: int = 0
    unanswered_base: int | None = None
    is_malformed: bool = False

    @property
    def name(self) -> str:
        """Return the shard's name at the platform."""
        return str(self.shard)

    @property
    def is_unsettled(self) -> bool:
        """Return whether an unanswered update may still succeed."""
        return self.unanswered_base is not None and self.accepted_version == 0

    def record_read(self, version: int, stored: StoredShard | None) -> None:
        """Record the shard as read; `stored` is None if it is malformed."""
        self.is_malformed = stored is None
        if stored is None:
            return
        self.stored_shard = stored
        if self.unanswered_base is not None and version > self.unanswered_base:
            self.unanswered_base = None


class _EditRunner:
    """Runs one edit: reads, checks, probes targets, stores each shard."""

    def __init__(
        self,
        *,
        editor: TableEditor,
        request: EditRequest,
        on_report: OnReport,
    ) -> None:
        self._editor = editor
        self._reactor = editor.reactor
        self._platform = editor.platform
        self._request = request
        self._on_report = on_report
        self._started_at = self._reactor.now()
        self._shard_edits: dict[int, _ShardEdit] = {}
        self._group_records: dict[str, GroupRecord | None] = {}
        self._cell_diffs: dict[tuple[str, str], CellDiff] = {}
        self._new_rows: dict[str, TableRow | None] = {}
        self._unreachable: set[str] = set()

    def start(self) -> None:
        """Read the shards and groups that the edit names."""
        for edit in self._request.edits:
            shard = shard_of(edit.group)
            part = self._shard_edits.setdefault(shard, _ShardEdit(shard=shard))
            part.edits.append(edit)
        if not self._shard_edits:
            self._report(Verdict.REFUSED, message="the edit names no rows")
            return
        self._read()

    # Reading.

    def _read(self) -> None:
        pending = {
            f"table/{part.name}" for part in self._pending_shard_edits()
        }
        pending |= {f"group/{edit.group}" for edit in self._request.edits}
        failed: list[Unavailable] = []

        def answered(
            object_path: str, result: Found | Missing | Unavailable
        ) -> None:
            pending.discard(object_path)
            if isinstance(result, Unavailable):
                failed.append(result)
            else:
                self._handle_read(object_path, result)
            if not pending:
                self._after_read(failed)

        for object_path in sorted(pending):
            kind, _, name = object_path.partition("/")
            self._platform.get(
                kind,
                name,
                f"{PURPOSE}/{kind}",
                partial(answered, object_path),
            )

    def _handle_read(self, object_path: str, result: Found | Missing) -> None:
        kind, _, name = object_path.partition("/")
        version, value = 0, None
        if isinstance(result, Found):
            version, value = result.version, result.value
        if kind == "group":
            record = decode_group(name, version, value) if value else None
            self._group_records[name] = record
            return
        part = self._shard_edits[int(name)]
        part.record_read(version, decode_stored(version, value))
        # Done here rather than after all reads: if another read fails, an edit
        # that this read shows as stored must not be reported as unavailable.
        self._update_accepted(part)

    def _after_read(self, failed: list[Unavailable]) -> None:
        if not self._pending_shard_edits():
            # All shards are read back as stored. The other reads are needed
            # only to store more, so the report does not wait for them.
            self._report(Verdict.ACCEPTED)
            return
        if failed:
            self._retry(failed[0], self._read)
            return
        self._settle_unanswered()

    def _settle_unanswered(self) -> None:
        """Send an unanswered update again before checking the edit.

        Until it is settled the edit can't be reported as refused, because
        the first update could still succeed after that report.
        """
        for part in self._pending_shard_edits():
            if part.is_unsettled and part.planned_shard is not None:
                self._store(part, part.planned_shard)
                return
        self._check_edits()

    def _update_accepted(self, part: _ShardEdit) -> None:
        """Mark a shard as accepted if an earlier update stored the edit."""
        change = find_change(part.stored_shard, self._request.id)
        if change is not None:
            part.accepted_version = change.base + 1
            self._record_cell_diffs(diff_rows(change.rows))

    # Checking.

    def _check_edits(self) -> None:
        parts = self._pending_shard_edits()
        conflicts = tuple(
            conflict
            for part in parts
            for conflict in find_conflicts(part.stored_shard, part.edits)
        )
        if conflicts:
            self._report_conflicts(conflicts)
            return
        errors = [
            error
            for part in parts
            for edit in part.edits
            for error in self._check_edit(part, edit)
        ]
        errors += [
            _malformed_error(part) for part in parts if part.is_malformed
        ]
        if errors:
            self._report_errors(errors)
            return
        self._probe_targets()

    def _check_edit(
        self, part: _ShardEdit, edit: RowEdit
    ) -> tuple[CellError, ...]:
        """Return the errors of an edit, and keep its new row for storing."""
        before = part.stored_shard.rows.get(edit.group)
        if edit.remove:
            self._new_rows[edit.group] = None
            return ()
        row = check_cells(edit.group, edited_columns(edit, before))
        if not isinstance(row, TableRow):
            return row
        self._new_rows[edit.group] = row
        record = self._group_records.get(edit.group)
        return check_row(row, record, self._unreachable)

    def _probe_targets(self) -> None:
        """Probe the targets at the sites that the edit gives a weight."""
        addresses = {
            target.address: target.name
            for row in self._new_rows.values()
            if row is not None
            and (record := self._group_records.get(row.group))
            for target in record.targets
            if target.site in sites_with_weight(row)
            and target.name not in row.leaving_targets
        }

        def on_probed(silent: set[str]) -> None:
            self._unreachable = {addresses[address] for address in silent}
            self._after_probe()

        self._editor.probe_targets(sorted(addresses), on_probed)

    def _after_probe(self) -> None:
        errors = [
            error
            for row in self._new_rows.values()
            if row is not None
            for error in check_row(
                row, self._group_records.get(row.group), self._unreachable
            )
        ]
        if errors:
            self._report_errors(errors)
            return
        for part in self._pending_shard_edits():
            self._plan_shard(part)
        if self._request.check_only:
            self._report(Verdict.CHECKED)
            return
        self._store_next()

    def _plan_shard(self, part: _ShardEdit) -> None:
        part.planned_shard = apply_change(
            part.stored_shard,
            {edit.group: self._new_rows[edit.group] for edit in part.edits},
            change_id=self._request.id,
            at=self._request.at,
            author=self._request.author,
            comment=self._request.comment,
        )
        self._record_cell_diffs(diff_rows(part.planned_shard.history[-1].rows))

    # Storing.

    def _store_next(self) -> None:
        parts = self._pending_shard_edits()
        if not parts:
            self._report(Verdict.ACCEPTED)
            return
        part = parts[0]
        assert part.planned_shard is not None
        if not part.planned_shard.history[-1].rows:
            # The rows already have the values that the edit sets.
            part.accepted_version = part.stored_shard.version
            self._store_next()
            return
        self._store(part, part.planned_shard)

    def _store(self, part: _ShardEdit, planned: StoredShard) -> None:
        value = encode_stored(planned)

        def answered(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            match result:
                case Stored():
                    part.accepted_version = result.version
                    self._editor.on_stored(part.name, result.version, value)
                    self._store_next()
                case Conflict():
                    # Caused by another author's update, or by an earlier one
                    # of this edit whose answer was lost. The next read shows
                    # which.
                    self._retry(RETRY_AFTER_CONFLICT, self._read)
                case Unavailable():
                    if result.maybe_applied:
                        part.unanswered_base = part.stored_shard.version
                    self._retry(result, self._read)
                case Rejected():
                    message = (
                        f"platform refused the update: status {result.status}"
                    )
                    self._report(self._unfinished_verdict(), message=message)

        self._platform.put(
            "table",
            part.name,
            part.stored_shard.version,
            value,
            PURPOSE,
            answered,
        )

    # Retries and reports.

    def _retry(self, failure: Unavailable, step: Callable[[], None]) -> None:
        delay = max(RETRY_DELAY, failure.retry_after)
        is_unsettled = any(
            part.is_unsettled for part in self._pending_shard_edits()
        )
        timeout = UNSETTLED_RETRY_TIMEOUT if is_unsettled else RETRY_TIMEOUT
        if self._reactor.now() + delay < self._started_at + timeout:
            self._reactor.call_later(delay, step)
            return
        message = f"the platform does not answer: {failure.reason}"
        self._report(self._unfinished_verdict(), message=message)

    def _report_conflicts(self, conflicts: tuple[RowConflict, ...]) -> None:
        verdict = Verdict.OVERTAKEN
        if self._accepted_versions():
            verdict = Verdict.PARTLY
        self._report(verdict, conflicts=conflicts)

    def _report_errors(self, errors: list[CellError]) -> None:
        verdict = Verdict.REFUSED
        if self._accepted_versions():
            verdict = Verdict.PARTLY
        self._report(verdict, errors=tuple(dict.fromkeys(errors)))

    def _unfinished_verdict(self) -> Verdict:
        if any(part.is_unsettled for part in self._pending_shard_edits()):
            return Verdict.UNKNOWN
        if self._accepted_versions():
            return Verdict.PARTLY
        return Verdict.UNAVAILABLE

    def _report(
        self,
        verdict: Verdict,
        *,
        errors: tuple[CellError, ...] = (),
        conflicts: tuple[RowConflict, ...] = (),
        message: str = "",
    ) -> None:
        self._on_report(
            EditReport(
                id=self._request.id,
                verdict=verdict,
                versions=self._accepted_versions(),
                cells=tuple(self._cell_diffs.values()),
                errors=errors,
                conflicts=conflicts,
                message=message,
            )
        )

    def _pending_shard_edits(self) -> list[_ShardEdit]:
        parts = self._shard_edits.values()
        return [part for part in parts if part.accepted_version == 0]

    def _accepted_versions(self) -> dict[int, int]:
        return {
            part.shard: part.accepted_version
            for part in self._shard_edits.values()
            if part.accepted_version > 0
        }

    def _record_cell_diffs(self, diffs: Sequence[CellDiff]) -> None:
        for cell in diffs:
            self._cell_diffs[cell.group, cell.column] = cell


def _malformed_error(part: _ShardEdit) -> CellError:
    message = f"shard {part.shard} at the platform is malformed"
    return CellError(group=part.edits[0].group, column="", message=message)
