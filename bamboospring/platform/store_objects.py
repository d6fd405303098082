"""Decodes the objects that operators and targets write to the store."""

from __future__ import annotations

import re
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.platform.line_protocol import key_digest
from bamboospring.platform.line_protocol import name_in_line
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import GroupLimits
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import Team

__all__ = [
    "CATALOG_KIND",
    "CATALOG_NAME",
    "TARGET_KIND",
    "read_catalog",
    "read_target",
]

CATALOG_KIND = "config"
CATALOG_NAME = "main"
TARGET_KIND = "servers"

FRESHNESS_BY_KIND = {
    "primary": Freshness.PRIMARY,
    "bounded_staleness": Freshness.BOUNDED,
    "read_your_writes": Freshness.OWN_WRITES,
}
STATE_READY = "ready"
STATE_DRAINING = "draining"
ROLES = ("primary", "replica")
DEFAULT_TRANSACTION_IDLE_MS = 3000
# `str.isdigit` also accepts digits that `int` refuses.
_PORT = re.compile(r"[0-9]{1,5}")


class _StoreValue(BaseModel):
    model_config = ConfigDict(strict=True, extra="ignore")


class _Route(_StoreValue):
    name: str
    database: str
    kind: str
    service: str
    # Limits one statement, not the whole operation.
    timeoutMs: float
    # The objective for the duration of a whole operation.
    targetLatencyMs: float = 0
    priority: int = 0
    # Without it, reads of the route accept no staleness.
    maxStalenessMs: float | None = None
    allowAnonymous: bool = False


class _Tenant(_StoreValue):
    # The name of the team, which is sent to the targets.
    name: str
    apiKeys: list[str] = Field(default_factory=list)
    # Operations per second over all VMs; None means no limit.
    ratePerS: float | None = None
    burstSize: float | None = None


class _Service(_StoreValue):
    name: str
    # The limit for each member, over all of its clients.
    maxConnections: int
    syncReplicas: int = 0


class _Limits(_StoreValue):
    # After this time without a statement a transaction may be ended.
    transactionIdleMs: float = DEFAULT_TRANSACTION_IDLE_MS


class _Config(_StoreValue):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = Field(default_factory=_Limits)
    # None if callers need no key.
    tenants: list[_Tenant] | None = None


class _Server(_StoreValue):
    # The name of the group; the object is stored under the target's name.
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    databaseRole: str = ""
    # The start time of the target in milliseconds. A target that restarts
    # under the same name has another value and no state of the earlier run.
    born: int = 0


def read_catalog(found: Found) -> Catalog | None:
    """Decode a configuration; log the error and return None if invalid."""
    try:
        raw = _Config.model_validate(found.value)
    except ValidationError as exc:
        _log_invalid(found, exc)
        return None
    routes = [_route(r) for r in raw.routes if r.kind in FRESHNESS_BY_KIND]
    return Catalog(
        version=raw.version,
        routes={route.database: route for route in routes},
        groups={
            service.name: GroupLimits(
                name=service.name,
                max_connections=service.maxConnections,
                sync_replicas=service.syncReplicas,
            )
            for service in raw.services
        },
        transaction_idle_timeout=raw.limits.transactionIdleMs / 1000,
        teams=_teams(raw.tenants),
        keys=_teams_by_key(raw.tenants or []),
    )


def _teams(tenants: list[_Tenant] | None) -> dict[str, Team] | None:
    if tenants is None:
        return None
    return {
        raw.name: Team(
            name=raw.name, rate=raw.ratePerS, burst=raw.burstSize or 0.0
        )
        for raw in tenants
    }


def _teams_by_key(tenants: list[_Tenant]) -> dict[str, str]:
    """Return the team of each key, by the digest of the key.

    A key that two teams share is not accepted, because the team of its
    callers is ambiguous.
    """
    teams: dict[str, set[str]] = {}
    for raw in tenants:
        for key in raw.apiKeys:
            teams.setdefault(key_digest(key.encode()), set()).add(raw.name)
    for names in teams.values():
        if len(names) > 1:
            logs.log_event(
                "key_ambiguous",
                level=logs.Level.WARNING,
                teams=",".join(sorted(names)),
            )
    return {
        digest: next(iter(names))
        for digest, names in teams.items()
        if len(names) == 1
    }


def _route(raw: _Route) -> Route:
    max_staleness_ms = raw.maxStalenessMs
    return Route(
        name=raw.name,
        # Callers name the database in a line.
        database=name_in_line(raw.database),
        group=raw.service,
        freshness=FRESHNESS_BY_KIND[raw.kind],
        time_limit=raw.timeoutMs / 1000,
        objective=(raw.targetLatencyMs or raw.timeoutMs) / 1000,
        urgency=raw.priority,
        max_age=None if max_staleness_ms is None else max_staleness_ms / 1000,
        anonymous=raw.allowAnonymous,
    )


def read_target(found: Found) -> ListedTarget | None:
    """Decode a target's object; return None if it can't be used.

    Other programs may write such objects too, with missing fields, fields of
    another type or an unknown state.
    """
    try:
        raw = _Server.model_validate(found.value)
    except ValidationError as exc:
        _log_invalid(found, exc)
        return None
    if raw.state not in (STATE_READY, STATE_DRAINING) or not _is_address(
        raw.address
    ):
        return None
    if raw.databaseRole not in ROLES:
        return None
    return ListedTarget(
        target=Target(
            name=found.name,
            address=raw.address,
            availability_zone=raw.zone,
            site=raw.zone,
            slots=raw.slots,
            born=raw.born,
        ),
        group=raw.service,
        leaving=raw.state == STATE_DRAINING,
        is_primary=raw.databaseRole == "primary",
        created=found.created,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return (
        bool(host)
        and _PORT.fullmatch(port) is not None
        and 0 < int(port) < 65536
    )


def _log_invalid(found: Found, exc: ValidationError) -> None:
    first_error: Any = exc.errors()[0]
    logs.log_event(
        "entry_unreadable",
        level=logs.Level.WARNING,
        kind=found.kind,
        name=found.name,
        version=found.version,
        field=".".join(map(str, first_error["loc"])),
        reason=first_error["type"],
    )
