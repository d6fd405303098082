"""Carry an operators' edit to the platform and say what became of it.

An edit is read, checked and stored by conditional updates, one for each shard
that it touches. An update that got no answer may have taken effect, or may
still do so. It is therefore read back before anything is reported: found in
the history it is accepted; not found with the version unchanged, the same
update is sent again, which is harmless because only one of the two can
succeed; not found with the version changed, it can no longer succeed and the
edit starts anew on what is stored now.
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
from bamboospring.table import edited_cells
from bamboospring.table import encode_stored
from bamboospring.table import find_change
from bamboospring.table import find_conflicts
from bamboospring.table import RowConflict
from bamboospring.table import RowEdit
from bamboospring.table import StoredShard
from bamboospring.table_check import CellError
from bamboospring.table_check import check_cells
from bamboospring.table_check import check_row
from bamboospring.table_check import sites_in_use

__all__ = ["EditReport", "EditRequest", "TableEditor", "Verdict"]

# For how long the platform is asked again, in seconds. An update in doubt is
# worth a longer wait: its author would have to find out by hand.
PATIENCE = 5.0
PATIENCE_IN_DOUBT = 20.0
RETRY_DELAY = 0.05
PURPOSE = "edit"
OVERTAKEN = Unavailable(
    maybe_applied=False, retry_after=0.0, reason="too many other updates"
)

Reach = Callable[[Sequence[str], Callable[[set[str]], None]], None]
OnStored = Callable[[str, int, object], None]
OnReport = Callable[["EditReport"], None]


class Verdict(str, Enum):
    """What became of an edit.

    `CHECKED`: it could be accepted, and was not to be stored. `PARTLY`: the
    edit touches several shards, some of which were accepted before another
    was found changed by somebody else. `UNKNOWN`: an update got no answer
    and could not be read back in time.
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
    """An operator's edit. The same `id` sent again is the same edit."""

    id: str
    author: str
    at: str
    comment: str = ""
    edits: tuple[RowEdit, ...] = ()
    check_only: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EditReport:
    """What became of an edit, with all that its author needs to see.

    `versions` has the accepted shards with their new versions, `cells` what
    the edit changes.
    """

    id: str
    verdict: Verdict
    versions: dict[int, int] = field(default_factory=dict)
    cells: tuple[CellDiff, ...] = ()
    errors: tuple[CellError, ...] = ()
    conflicts: tuple[RowConflict, ...] = ()
    message: str = ""


class TableEditor:
    """Run edits, any number at a time, each to its report.

    `reach` gets addresses and calls back with those that do not answer;
    `on_stored` gets each accepted shard's name, version and value.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        platform: PlatformClient,
        reach: Reach,
        on_stored: OnStored,
    ) -> None:
        self.reactor = reactor
        self.platform = platform
        self.reach = reach
        self.on_stored = on_stored

    def submit(self, request: EditRequest, on_report: OnReport) -> None:
        """Run an edit and call back once with its report."""
        _Edit(editor=self, request=request, on_report=on_report).start()


@dataclass(slots=True, kw_only=True)
class _Part:
    """The part of an edit that falls on one shard.

    `doubt` is the version that an update was made on which got no answer.
    While the shard is still at that version the update may yet succeed.
    """

    shard: int
    edits: list[RowEdit] = field(default_factory=list)
    stored: StoredShard = field(default_factory=StoredShard)
    planned: StoredShard | None = None
    accepted: int = 0
    doubt: int | None = None
    malformed: bool = False

    @property
    def name(self) -> str:
        """Return the shard's name at the platform."""
        return str(self.shard)

    @property
    def in_doubt(self) -> bool:
        """Say whether an unanswered update may still succeed."""
        return self.doubt is not None and self.accepted == 0

    def take(self, version: int, stored: StoredShard | None) -> None:
        """Take what was read; `stored` is None if it is malformed."""
        self.malformed = stored is None
        if stored is None:
            return
        self.stored = stored
        if self.doubt is not None and version > self.doubt:
            self.doubt = None


class _Edit:
    """One edit under way: read, check, reach, store each part."""

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
        self._begun_at = self._reactor.now()
        self._parts: dict[int, _Part] = {}
        self._records: dict[str, GroupRecord | None] = {}
        self._cells: dict[tuple[str, str], CellDiff] = {}
        self._rows: dict[str, TableRow | None] = {}
        self._unreachable: set[str] = set()

    def start(self) -> None:
        """Read the shards and groups that the edit touches."""
        for edit in self._request.edits:
            shard = shard_of(edit.group)
            part = self._parts.setdefault(shard, _Part(shard=shard))
            part.edits.append(edit)
        if not self._parts:
            self._report(Verdict.REFUSED, message="the edit names no row")
            return
        self._read()

    # Reading.

    def _read(self) -> None:
        waiting = {f"table/{part.name}" for part in self._open_parts()}
        waiting |= {f"group/{edit.group}" for edit in self._request.edits}
        failed: list[Unavailable] = []

        def answered(what: str, result: Found | Missing | Unavailable) -> None:
            waiting.discard(what)
            if isinstance(result, Unavailable):
                failed.append(result)
            else:
                self._take(what, result)
            if not waiting:
                self._after_read(failed)

        for what in sorted(waiting):
            kind, _, name = what.partition("/")
            self._platform.get(
                kind,
                name,
                f"{PURPOSE}/{kind}",
                partial(answered, what),
            )

    def _take(self, what: str, result: Found | Missing) -> None:
        kind, _, name = what.partition("/")
        version, value = 0, None
        if isinstance(result, Found):
            version, value = result.version, result.value
        if kind == "group":
            record = decode_group(name, version, value) if value else None
            self._records[name] = record
            return
        part = self._parts[int(name)]
        part.take(version, decode_stored(version, value))
        # At once: if another read fails, what this one has settled must not
        # be reported as unavailable.
        self._note_accepted(part)

    def _after_read(self, failed: list[Unavailable]) -> None:
        if not self._open_parts():
            # Read back as stored. What else was asked for is only needed to
            # store more, so the operator need not wait until it is answered.
            self._report(Verdict.ACCEPTED)
            return
        if failed:
            self._again(failed[0], self._read)
            return
        self._settle_doubt()

    def _settle_doubt(self) -> None:
        """Send an update in doubt again before anything else is judged.

        Until it is settled the edit can't be called refused, because its
        first try could still succeed after that was said.
        """
        for part in self._open_parts():
            if part.in_doubt and part.planned is not None:
                self._store(part, part.planned)
                return
        self._plan()

    def _note_accepted(self, part: _Part) -> None:
        """Recognize a part that an earlier try has stored."""
        change = find_change(part.stored, self._request.id)
        if change is not None:
            part.accepted = change.base + 1
            self._note_cells(diff_rows(change.rows))

    # Checking.

    def _plan(self) -> None:
        parts = self._open_parts()
        conflicts = tuple(
            conflict
            for part in parts
            for conflict in find_conflicts(part.stored, part.edits)
        )
        if conflicts:
            self._overtaken(conflicts)
            return
        errors = [
            error
            for part in parts
            for edit in part.edits
            for error in self._check(part, edit)
        ]
        errors += [_malformed(part) for part in parts if part.malformed]
        if errors:
            self._refused(errors)
            return
        self._try_reaching()

    def _check(self, part: _Part, edit: RowEdit) -> tuple[CellError, ...]:
        """Check an edit; its row is kept for storing."""
        before = part.stored.rows.get(edit.group)
        if edit.remove:
            self._rows[edit.group] = None
            return ()
        row = check_cells(edit.group, edited_cells(edit, before))
        if not isinstance(row, TableRow):
            return row
        self._rows[edit.group] = row
        record = self._records.get(edit.group)
        return check_row(row, record, self._unreachable)

    def _try_reaching(self) -> None:
        """Ask the targets that the edit would give work to."""
        addresses = {
            target.address: target.name
            for row in self._rows.values()
            if row is not None and (record := self._records.get(row.group))
            for target in record.targets
            if target.site in sites_in_use(row)
            and target.name not in row.leaving_targets
        }

        def tried(silent: set[str]) -> None:
            self._unreachable = {addresses[address] for address in silent}
            self._after_reaching()

        self._editor.reach(sorted(addresses), tried)

    def _after_reaching(self) -> None:
        errors = [
            error
            for row in self._rows.values()
            if row is not None
            for error in check_row(
                row, self._records.get(row.group), self._unreachable
            )
        ]
        if errors:
            self._refused(errors)
            return
        for part in self._open_parts():
            self._plan_part(part)
        if self._request.check_only:
            self._report(Verdict.CHECKED)
            return
        self._store_next()

    def _plan_part(self, part: _Part) -> None:
        part.planned = apply_change(
            part.stored,
            {edit.group: self._rows[edit.group] for edit in part.edits},
            change_id=self._request.id,
            at=self._request.at,
            author=self._request.author,
            comment=self._request.comment,
        )
        self._note_cells(diff_rows(part.planned.history[-1].rows))

    # Storing.

    def _store_next(self) -> None:
        parts = self._open_parts()
        if not parts:
            self._report(Verdict.ACCEPTED)
            return
        part = parts[0]
        assert part.planned is not None
        if not part.planned.history[-1].rows:
            # The rows are already as the edit wants them.
            part.accepted = part.stored.version
            self._store_next()
            return
        self._store(part, part.planned)

    def _store(self, part: _Part, planned: StoredShard) -> None:
        value = encode_stored(planned)

        def answered(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            match result:
                case Stored():
                    part.accepted = result.version
                    self._editor.on_stored(part.name, result.version, value)
                    self._store_next()
                case Conflict():
                    # Either somebody else's update, or our own earlier one
                    # whose answer was lost. Reading tells.
                    self._again(OVERTAKEN, self._read)
                case Unavailable():
                    if result.maybe_applied:
                        part.doubt = part.stored.version
                    self._again(result, self._read)
                case Rejected():
                    message = f"the platform refused: status {result.status}"
                    self._report(self._unfinished(), message=message)

        self._platform.put(
            "table", part.name, part.stored.version, value, PURPOSE, answered
        )

    # Ends.

    def _again(self, failure: Unavailable, step: Callable[[], None]) -> None:
        wait = max(RETRY_DELAY, failure.retry_after)
        doubt = any(part.in_doubt for part in self._open_parts())
        patience = PATIENCE_IN_DOUBT if doubt else PATIENCE
        if self._reactor.now() + wait < self._begun_at + patience:
            self._reactor.call_later(wait, step)
            return
        message = f"the platform does not answer: {failure.reason}"
        self._report(self._unfinished(), message=message)

    def _overtaken(self, conflicts: tuple[RowConflict, ...]) -> None:
        verdict = Verdict.OVERTAKEN
        if self._accepted_versions():
            verdict = Verdict.PARTLY
        self._report(verdict, conflicts=conflicts)

    def _refused(self, errors: list[CellError]) -> None:
        verdict = Verdict.REFUSED
        if self._accepted_versions():
            verdict = Verdict.PARTLY
        self._report(verdict, errors=tuple(dict.fromkeys(errors)))

    def _unfinished(self) -> Verdict:
        if any(part.in_doubt for part in self._open_parts()):
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
                cells=tuple(self._cells.values()),
                errors=errors,
                conflicts=conflicts,
                message=message,
            )
        )

    def _open_parts(self) -> list[_Part]:
        parts = self._parts.values()
        return [part for part in parts if part.accepted == 0]

    def _accepted_versions(self) -> dict[int, int]:
        return {
            part.shard: part.accepted
            for part in self._parts.values()
            if part.accepted > 0
        }

    def _note_cells(self, cells: Sequence[CellDiff]) -> None:
        for cell in cells:
            self._cells[cell.group, cell.column] = cell


def _malformed(part: _Part) -> CellError:
    message = f"shard {part.shard} at the platform is malformed"
    return CellError(group=part.edits[0].group, column="", message=message)
