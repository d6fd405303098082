"""Check an edited row before it is stored; each fault names its cell.

Types and ranges are checked by a model at the border; what depends on the
group (its sites, its targets, their limits) by plain rules after it.
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

__all__ = ["CellError", "check_cells", "check_row", "sites_in_use"]

WHOLE = 100
MAX_STALENESS_MS = 86_400_000
NEAR_ENOUGH = 0.6

Weight = Annotated[int, Field(ge=0, le=WHOLE)]
Limit = Annotated[int, Field(ge=0, le=100_000)]


@dataclass(frozen=True, slots=True, kw_only=True)
class CellError:
    """Why a cell cannot be accepted."""

    group: str
    column: str
    message: str

    def __str__(self) -> str:
        where = f"row {self.group}"
        if self.column:
            where += f", column {self.column}"
        return f"{where}: {self.message}"


class _Cells(BaseModel):
    """The columns of a row, with their types and ranges."""

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
    """Return the row that the cells make, or what is wrong with them."""
    try:
        model = _Cells.model_validate(dict(cells))
    except ValidationError as exc:
        return tuple(_cell_error(group, error) for error in _errors(exc))
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
    """Check a row against its group.

    `unreachable` names targets that did not answer just now. A site is
    refused only if none of its targets can serve, so that weights can be
    edited while some target is down.
    """
    if record is None:
        message = "there is no such group"
        return (CellError(group=row.group, column="group", message=message),)
    return tuple(
        CellError(group=row.group, column=column, message=message)
        for column, message in _faults(row, record, unreachable)
    )


def sites_in_use(row: TableRow) -> set[str]:
    """Return the sites that a row gives work to."""
    weights = [*row.read_weights.items(), *row.write_weights.items()]
    return {site for site, weight in weights if weight > 0}


Faults = Iterator[tuple[str, str]]


def _faults(
    row: TableRow, record: GroupRecord, unreachable: Collection[str]
) -> Faults:
    yield from _leaving_faults(row, record)
    serving = [
        target
        for target in record.targets
        if target.name not in row.leaving_targets
    ]
    for column in ("read_weights", "write_weights"):
        weights = getattr(row, column)
        yield from _sum_faults(column, weights)
        yield from _site_faults(column, weights, record, serving)
        yield from _reach_faults(column, weights, serving, unreachable)
    yield from _limit_faults(row, record)


def _leaving_faults(row: TableRow, record: GroupRecord) -> Faults:
    column = "leaving_targets"
    known = [target.name for target in record.targets]
    for name in row.leaving_targets:
        if name not in known:
            yield column, f"unknown target {name!r}{_meant(name, known)}"
    if known and set(known) <= set(row.leaving_targets):
        yield column, "no target would be left"


def _sum_faults(column: str, weights: Mapping[str, int]) -> Faults:
    total = sum(weights.values())
    if weights and total != WHOLE:
        yield column, f"the weights add up to {total}, not to {WHOLE}"


def _site_faults(
    column: str,
    weights: Mapping[str, int],
    record: GroupRecord,
    serving: Collection[Target],
) -> Faults:
    known = sorted({target.site for target in record.targets})
    staying = {target.site for target in serving}
    for site, weight in weights.items():
        if site not in known:
            yield column, f"unknown site {site!r}{_meant(site, known)}"
        elif weight > 0 and site not in staying:
            yield column, f"all targets at site {site!r} are leaving"


def _reach_faults(
    column: str,
    weights: Mapping[str, int],
    serving: Collection[Target],
    unreachable: Collection[str],
) -> Faults:
    for site, weight in weights.items():
        names = [target.name for target in serving if target.site == site]
        if weight > 0 and names and set(names) <= set(unreachable):
            tried = ", ".join(names)
            yield column, f"no target at site {site!r} answers ({tried})"


def _limit_faults(row: TableRow, record: GroupRecord) -> Faults:
    for column, part in (
        ("max_connections", "connections"),
        ("max_slots", "slots"),
    ):
        limit = getattr(row, column)
        allowed = max((getattr(t, part) for t in record.targets), default=0)
        if limit > allowed:
            yield column, f"{limit} is more than any target allows ({allowed})"


def _errors(exc: ValidationError) -> list[Any]:
    return list(exc.errors(include_url=False))


def _cell_error(group: str, error: Any) -> CellError:
    column = ".".join(str(part) for part in error["loc"])
    message = error["msg"]
    message = f"{message[:1].lower()}{message[1:]}"
    if error["type"] == "extra_forbidden":
        message = f"unknown column{_meant(column, COLUMNS)}"
    elif "input" in error and not isinstance(error["input"], dict):
        message += f", not {error['input']!r}"
    return CellError(group=group, column=column, message=message)


def _meant(name: str, known: Collection[str]) -> str:
    near = difflib.get_close_matches(name, known, n=1, cutoff=NEAR_ENOUGH)
    return f"; is {near[0]!r} meant?" if near else ""
