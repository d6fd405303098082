"""Versions that only increase, even if the store's revisions go back.

A store that is restored from an older copy assigns revisions again and reports
a higher era. A version has the era in its upper bits and the revision in the
lower ones, so an object read in a later era is newer whatever its revision.
Version 0 means that there is no object, in every era.

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
    """A state that is stored together with the era in which it was stored.

    A store that was restored from an older copy returns states of an earlier
    era than its own, and newer states may be lost.
    """

    version: int
    era: int = 0

    @property
    def is_current(self) -> bool:
        """Return whether the store cannot have lost a newer state."""
        return self.era == era_of(self.version)

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return a key that sorts states by when they were stored."""
        return self.era, revision_of(self.version)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnsettledState:
    """An object whose newest state the store may have lost.

    In `era` the store returns a state of an earlier era at `version`, or no
    object if `version` is 0.
    """

    era: int
    version: int


def version_of(*, era: int, revision: int) -> int:
    """Return the version of an object read at a revision in an era."""
    return era << REVISION_BITS | revision if revision else 0


def era_of(version: int) -> int:
    """Return the era in which a version was read."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision."""
    return version & (1 << REVISION_BITS) - 1


def version_text(version: int) -> str:
    """Return a version as text for logs: `2.124`, or `124` in era 0."""
    era, revision = era_of(version), revision_of(version)
    return f"{era}.{revision}" if era else str(revision)


def in_era(result: Dated, era: int) -> Dated:
    """Return a result with its revisions replaced by versions of an era."""
    match result:
        case Found():
            return dataclasses.replace(
                result,
                version=version_of(era=era, revision=result.version),
                created=version_of(era=era, revision=result.created),
            )
        case Stored() | Conflict():
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
