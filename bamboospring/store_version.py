"""Versions that only grow, also where the store's revisions go back.

A store that comes back from an older copy gives revisions out again, and tells
so by a higher era. A version holds both, the era in its upper bits, so what
was read in a later era is newer whatever its revision. Version 0 stands for no
object, in every era.

    version = version_of(era=2, revision=124)
    era_of(version), revision_of(version)    # 2, 124
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TypeVar

from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Found
from bamboospring.object_store import Page
from bamboospring.object_store import Stored

__all__ = [
    "Dated",
    "VersionedState",
    "UnsettledState",
    "era_of",
    "in_era",
    "revision_of",
    "version_of",
    "version_text",
]

REVISION_BITS = 40

Dated = TypeVar("Dated", Found, Stored, Conflict, Changes, Page)


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionedState:
    """What is stored with the era in which it was, so that a return shows.

    A store that has come back from an older copy shows states of an earlier
    era than its own, and newer ones may be lost.
    """

    version: int
    era: int = 0

    @property
    def is_current(self) -> bool:
        """Tell whether no newer state can have been lost."""
        return self.era == era_of(self.version)

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return what orders states by when they were stored."""
        return self.era, revision_of(self.version)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnsettledState:
    """An object whose newest state the store may have lost.

    In `era` it shows a state at `version`, of an earlier era; 0: none.
    """

    era: int
    version: int


def version_of(*, era: int, revision: int) -> int:
    """Return the version of an object that an era shows at a revision."""
    return era << REVISION_BITS | revision if revision else 0


def era_of(version: int) -> int:
    """Return the era in which a version was read."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision."""
    return version & (1 << REVISION_BITS) - 1


def version_text(version: int) -> str:
    """Return a version as logs show it: `2.124`, or `124` in era 0."""
    era, revision = era_of(version), revision_of(version)
    return f"{era}.{revision}" if era else str(revision)


def in_era(result: Dated, era: int) -> Dated:
    """Return a result whose revisions are versions of an era."""
    match result:
        case Found() | Stored() | Conflict():
            version = version_of(era=era, revision=result.version)
            return dataclasses.replace(result, version=version)
        case Changes():
            return dataclasses.replace(
                result,
                objects=tuple(in_era(each, era) for each in result.objects),
                revision=version_of(era=era, revision=result.revision),
            )
        case Page():
            changes = in_era(result.changes, era)
            return dataclasses.replace(result, changes=changes)
