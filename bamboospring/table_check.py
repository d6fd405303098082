"""Validate an edited row before it is stored; each error names its cell.

A pydantic model checks types and ranges. The functions after it check what
depends on the group: its sites, its targets and their limits.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import difflib
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring.table import COLUMNS

__all__ = ["CellError", "check_cells", "check_row", "sites_with_weight"]

TOTAL_WEIGHT = 100
MAX_STALENESS_MS = 86_400_000
SUGGESTION_CUTOFF = 0.6

Weight = Annotated[int, Field(ge=0, le=TOTAL_WEIGHT)]
Limit = Annotated[int, Field(ge=0, le=100_000)]


@dataclass(frozen=True, slots=True, kw_only=True)
class CellError:
    """The reason why a cell is refused."""

    group: str
    column: str
    message: str

    def __str__(self) -> str:
        location = f"row {self.group}"
        if self.column:
            location += f", column {self.column}"
        return f"{location}: {self.message}"


class _Cells(BaseModel):
    """The columns of a row with their types and ranges."""

    model_config = ConfigDict(extra="forbid", strict=True)

    read_weights: dict[str, Weight] = Field(default_factory=dict)
    write_weights: dict[str, Weight] = Field(default_factory=dict)
    max_connections: Limit = 0
    max_slots: Limit = 0
    max_staleness_ms: int = Field(default=0, ge=0, le=MAX_STALENESS_MS)
    leaving_targets: list[str] = Field(default_factory=list, max_length=64)


def check_cells(
    group: str, cells: Mapping[str, Any]
) -> TableRow | tuple[CellError, ...]:
    """Return the row made of the cells, or the errors in them."""
    try:
        model = _Cells.model_validate(dict(cells))
    except ValidationError as exc:
        return tuple(
            _cell_error(group, error) for error in _validation_errors(exc)
        )
    return TableRow(
        group=group,
        read_weights=model.read_weights,
        write_weights=model.write_weights,
        max_connections=model.max_connections,
        max_slots=model.max_slots,
        max_staleness_ms=model.max_staleness_ms,
        leaving_targets=tuple(model.leaving_targets),
    )


def check_row(
    row: TableRow,
    record: GroupRecord | None,
    unreachable: Collection[str] = (),
) -> tuple[CellError, ...]:
    """Return the errors of a row with respect to its group.

    `unreachable` names the targets that did not answer a probe. A site is
    refused only if none of its targets answers, so that weights can be edited
    while a single target is down.
    """
    if record is None:
        message = "there is no such group"
        return (CellError(group=row.group, column="group", message=message),)
    return tuple(
        CellError(group=row.group, column=column, message=message)
        for column, message in _row_errors(row, record, unreachable)
    )


def sites_with_weight(row: TableRow) -> set[str]:
    """Return the sites to which a row gives a weight above 0."""
    weights = [*row.read_weights.items(), *row.write_weights.items()]
    return {site for site, weight in weights if weight > 0}


ColumnErrors = Iterator[tuple[str, str]]


def _row_errors(
    row: TableRow, record: GroupRecord, unreachable: Collection[str]
) -> ColumnErrors:
    yield from _leaving_target_errors(row, record)
    serving_targets = [
        target
        for target in record.targets
        if target.name not in row.leaving_targets
    ]
    for column in ("read_weights", "write_weights"):
        weights = getattr(row, column)
        yield from _weight_sum_errors(column, weights)
        yield from _site_errors(column, weights, record, serving_targets)
        yield from _reachability_errors(
            column, weights, serving_targets, unreachable
        )
    yield from _limit_errors(row, record)


def _leaving_target_errors(row: TableRow, record: GroupRecord) -> ColumnErrors:
    column = "leaving_targets"
    known = [target.name for target in record.targets]
    for name in row.leaving_targets:
        if name not in known:
            yield column, f"unknown target {name!r}{_suggestion(name, known)}"
    if known and set(known) <= set(row.leaving_targets):
        yield column, "no target would be left"


def _weight_sum_errors(
    column: str, weights: Mapping[str, int]
) -> ColumnErrors:
    total = sum(weights.values())
    if weights and total != TOTAL_WEIGHT:
        yield column, f"the weights add up to {total}, not to {TOTAL_WEIGHT}"


def _site_errors(
    column: str,
    weights: Mapping[str, int],
    record: GroupRecord,
    serving_targets: Collection[Target],
) -> ColumnErrors:
    known = sorted({target.site for target in record.targets})
    serving_sites = {target.site for target in serving_targets}
    for site, weight in weights.items():
        if site not in known:
            yield column, f"unknown site {site!r}{_suggestion(site, known)}"
        elif weight > 0 and site not in serving_sites:
            yield column, f"all targets at site {site!r} are leaving"


def _reachability_errors(
    column: str,
    weights: Mapping[str, int],
    serving_targets: Collection[Target],
    unreachable: Collection[str],
) -> ColumnErrors:
    for site, weight in weights.items():
        names = [
            target.name for target in serving_targets if target.site == site
        ]
        if weight > 0 and names and set(names) <= set(unreachable):
            listed = ", ".join(names)
            yield column, f"no target at site {site!r} answers ({listed})"


def _limit_errors(row: TableRow, record: GroupRecord) -> ColumnErrors:
    for column, attribute in (
        ("max_connections", "connections"),
        ("max_slots", "slots"),
    ):
        limit = getattr(row, column)
        allowed = max(
            (getattr(t, attribute) for t in record.targets), default=0
        )
        if limit > allowed:
            yield column, f"{limit} is more than any target allows ({allowed})"


def _validation_errors(exc: ValidationError) -> list[Any]:
    return list(exc.errors(include_url=False))


def _cell_error(group: str, error: Any) -> CellError:
    column = ".".join(str(part) for part in error["loc"])
    message = error["msg"]
    message = f"{message[:1].lower()}{message[1:]}"
    if error["type"] == "extra_forbidden":
        message = f"unknown column{_suggestion(column, COLUMNS)}"
    elif "input" in error and not isinstance(error["input"], dict):
        message += f", not {error['input']!r}"
    return CellError(group=group, column=column, message=message)


def _suggestion(name: str, known: Collection[str]) -> str:
    matches = difflib.get_close_matches(
        name, known, n=1, cutoff=SUGGESTION_CUTOFF
    )
    return f"; is {matches[0]!r} meant?" if matches else ""
