"""Encode and decode the groups' records in the platform's store."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.store_version import version_text

__all__ = ["RECORD_KIND", "encode_record", "decode_record"]

RECORD_KIND = "groups"


class _Change(BaseModel):
    model_config = ConfigDict(strict=True)

    term: int
    vm: str
    nonce: str
    cause: str
    candidate: str = ""


class _Record(BaseModel):
    model_config = ConfigDict(strict=True)

    term: int
    primary: str
    change: _Change | None = None
    era: int = 0


def encode_record(record: PrimaryRecord) -> dict[str, Any]:
    """Return a record as a value to store."""
    change = record.change
    return {
        "term": record.term,
        "primary": record.primary,
        "era": record.era,
        "change": (
            None
            if change is None
            else {
                "term": change.term,
                "vm": change.vm,
                "nonce": change.nonce,
                "cause": change.cause,
                "candidate": change.candidate,
            }
        ),
    }


def decode_record(found: Found) -> PrimaryRecord | None:
    """Decode a stored record; log an error and return None if invalid."""
    try:
        raw = _Record.model_validate(found.value)
    except ValidationError as exc:
        logs.log_event(
            "record_unreadable",
            level=logs.Level.ERROR,
            group=found.name,
            version=version_text(found.version),
            reason=str(exc.errors()[0]["type"]),
        )
        return None
    change = raw.change
    return PrimaryRecord(
        group=found.name,
        version=found.version,
        term=raw.term,
        primary=raw.primary,
        era=raw.era,
        change=(
            None
            if change is None
            else PendingChange(
                term=change.term,
                vm=change.vm,
                nonce=change.nonce,
                cause=change.cause,
                candidate=change.candidate,
            )
        ),
    )
