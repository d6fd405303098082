"""Read what operators and targets write to the platform's store."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.platform.line_protocol import key_digest
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

FRESHNESS = {
    "primary": Freshness.PRIMARY,
    "bounded_staleness": Freshness.BOUNDED,
    "read_your_writes": Freshness.OWN_WRITES,
}
READY = "ready"
LEAVING = "draining"
ROLES = ("primary", "replica")
# Where a route names no age, reads of it accept none.
DEFAULT_IDLE_MS = 3000


class _Entry(BaseModel):
    model_config = ConfigDict(strict=True, extra="ignore")


class _Route(_Entry):
    name: str
    database: str
    kind: str
    service: str
    # Bounds one statement, not the whole operation.
    timeoutMs: float
    # The time in which the whole operation is to be done.
    targetLatencyMs: float = 0
    priority: int = 0
    maxStalenessMs: float | None = None
    allowAnonymous: bool = False


class _Tenant(_Entry):
    # The team's name, which its targets are told.
    name: str
    apiKeys: list[str] = Field(default_factory=list)
    # Operations, over all VMs; none: without a limit.
    ratePerS: float | None = None
    burstSize: float | None = None


class _Service(_Entry):
    name: str
    # Of each member, over all who connect.
    maxConnections: int
    syncReplicas: int = 0


class _Limits(_Entry):
    # How long a transaction may rest before it may be ended.
    transactionIdleMs: float = DEFAULT_IDLE_MS


class _Config(_Entry):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = Field(default_factory=_Limits)
    # None where callers need no key.
    tenants: list[_Tenant] | None = None


class _Server(_Entry):
    # The group's name; an entry is filed under the target's own.
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    databaseRole: str = ""
    # The millisecond of the target's start: with the same name it is another
    # life, which knows nothing of the one before.
    born: int = 0


def read_catalog(found: Found) -> Catalog | None:
    """Read a configuration; None, with a log line, if it can't be used."""
    try:
        raw = _Config.model_validate(found.value)
    except ValidationError as exc:
        _log_unreadable(found, exc)
        return None
    routes = {}
    for route in raw.routes:
        if route.kind in FRESHNESS:
            routes[route.database] = _route(route)
    return Catalog(
        version=raw.version,
        routes=routes,
        groups={
            each.name: GroupLimits(
                name=each.name,
                max_connections=each.maxConnections,
                sync_replicas=each.syncReplicas,
            )
            for each in raw.services
        },
        transaction_idle_timeout=raw.limits.transactionIdleMs / 1000,
        teams=_teams(raw.tenants),
        keys=_keys(raw.tenants or []),
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


def _keys(tenants: list[_Tenant]) -> dict[str, str]:
    """Return the team of each key.

    A key of two teams opens nothing: whose work it is can't be known.
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
    age = raw.maxStalenessMs
    return Route(
        name=raw.name,
        database=raw.database,
        group=raw.service,
        freshness=FRESHNESS[raw.kind],
        time_limit=raw.timeoutMs / 1000,
        objective=(raw.targetLatencyMs or raw.timeoutMs) / 1000,
        urgency=raw.priority,
        max_age=None if age is None else age / 1000,
        anonymous=raw.allowAnonymous,
    )


def read_target(found: Found) -> ListedTarget | None:
    """Read a target's entry; None if it names nothing to use.

    Entries may come from other writers: fields missing or of another type,
    or a state that nobody knows.
    """
    try:
        raw = _Server.model_validate(found.value)
    except ValidationError as exc:
        _log_unreadable(found, exc)
        return None
    if raw.state not in (READY, LEAVING) or not _is_address(raw.address):
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
        leaving=raw.state == LEAVING,
        is_primary=raw.databaseRole == "primary",
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _log_unreadable(found: Found, exc: ValidationError) -> None:
    first: Any = exc.errors()[0]
    logs.log_event(
        "entry_unreadable",
        level=logs.Level.WARNING,
        kind=found.kind,
        name=found.name,
        version=found.version,
        field=".".join(map(str, first["loc"])),
        reason=first["type"],
    )
