"""Encode a configuration for other VMs.

The content is the decoded catalog, with digests of keys and never the keys
themselves, as compressed JSON. Routes with equal properties are listed under
these properties once, so that 2,000 routes take less than a tenth of the bytes
that they take in the store. Equal catalogs have equal encodings, so a digest
identifies the content whichever VM has encoded it.

    encoded = encode_catalog(catalog, stored_version=version)
    decode_catalog(encoded.data)    # CatalogContent, or None if malformed

Decoding 2,000 routes takes several milliseconds, during which a VM would run
no statement. `CatalogDecoder` does the same in short steps.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
import zlib

import orjson
import xxhash

from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import GroupLimits
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import Team

__all__ = [
    "CatalogContent",
    "CatalogDecoder",
    "DecodeState",
    "EncodedCatalog",
    "MAX_ENCODED_BYTES",
    "content_digest",
    "decode_catalog",
    "encode_catalog",
]

# Bounds against malformed messages, far beyond any real configuration:
# 20,000 routes take about 0.3 MB, and 2 MB decompressed.
MAX_ENCODED_BYTES = 4 * 1024 * 1024
MAX_DECODED_BYTES = 32 * 1024 * 1024
# Routes that are decoded without a pause: 250 take about 1 ms of a whole core.
SLICE_ROUTES = 250
# Stands for the database in the pattern of a name.
DATABASE_MARK = "*"
# Format of the content; a VM that does not know it reads the store.
FORMAT = 1
# Raised while decoding JSON whose members are not as expected.
MALFORMED = (ValueError, TypeError, KeyError, AttributeError, zlib.error)


@dataclass(frozen=True, slots=True, kw_only=True)
class EncodedCatalog:
    """The encoding of one version of the configuration."""

    version: int
    data: bytes
    digest: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogContent:
    """A configuration and the version under which the store has it."""

    catalog: Catalog
    stored_version: int


def content_digest(data: bytes) -> int:
    """Return the digest that identifies an encoding."""
    return xxhash.xxh64_intdigest(data)


def encode_catalog(catalog: Catalog, *, stored_version: int) -> EncodedCatalog:
    """Encode a configuration."""
    teams = catalog.teams
    body = {
        "format": FORMAT,
        "version": catalog.version,
        "stored_version": stored_version,
        "routes": _route_rows(catalog.routes),
        "groups": [
            (group.name, group.max_connections, group.sync_replicas)
            for _name, group in sorted(catalog.groups.items())
        ],
        "idle_timeout": catalog.transaction_idle_timeout,
        "teams": None if teams is None else _team_rows(teams),
        "keys": sorted(catalog.keys.items()),
    }
    data = zlib.compress(orjson.dumps(body))
    return EncodedCatalog(
        version=catalog.version, data=data, digest=content_digest(data)
    )


class DecodeState(Enum):
    """The state of a decoder without a result."""

    UNFINISHED = "unfinished"
    MALFORMED = "malformed"


class CatalogDecoder:
    """Decodes a configuration from another VM in short steps."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._body: dict[str, Any] = {}
        self._routes: dict[str, Route] = {}
        self._slices: Iterator[None] | None = None

    def step(self) -> CatalogContent | DecodeState:
        """Decode some routes; return the content once all are decoded."""
        try:
            return self._step()
        except MALFORMED:
            return DecodeState.MALFORMED

    def _step(self) -> CatalogContent | DecodeState:
        if self._slices is None:
            self._body = _decompress(self._data)
            self._slices = self._read_routes(self._body["routes"])
            return DecodeState.UNFINISHED
        for _ in self._slices:
            return DecodeState.UNFINISHED
        return _read_content(self._body, self._routes)

    def _read_routes(self, rows: list[Any]) -> Iterator[None]:
        """Read the routes; yield after each SLICE_ROUTES of them."""
        unread = SLICE_ROUTES
        for *properties, databases, names in rows:
            start = 0
            while start < len(databases):
                end = start + unread
                found = _read_slice(
                    properties, databases[start:end], names[start:end]
                )
                self._routes.update(found)
                start, unread = end, unread - len(found)
                if unread <= 0:
                    yield
                    unread = SLICE_ROUTES


def decode_catalog(data: bytes) -> CatalogContent | None:
    """Decode a configuration at once; None if it is malformed."""
    decoder = CatalogDecoder(data)
    while (state := decoder.step()) is DecodeState.UNFINISHED:
        pass
    return state if isinstance(state, CatalogContent) else None


def _decompress(data: bytes) -> dict[str, Any]:
    unzip = zlib.decompressobj()
    text = unzip.decompress(data, MAX_DECODED_BYTES)
    if not unzip.eof:
        raise ValueError("incomplete or too large")
    body: dict[str, Any] = orjson.loads(text)
    if body["format"] != FORMAT:
        raise ValueError("unknown format")
    return body


def _route_rows(routes: dict[str, Route]) -> list[Any]:
    """Return rows of the properties of routes, their databases and names.

    Most names contain the database; these are a pattern among the properties.
    """
    rows: dict[tuple[Any, ...], tuple[list[str], list[str]]] = {}
    for database, route in sorted(routes.items()):
        pattern = _name_pattern(route)
        properties = (
            route.group,
            route.freshness.value,
            route.time_limit,
            route.objective,
            route.urgency,
            route.max_age,
            route.anonymous,
            pattern,
        )
        databases, names = rows.setdefault(properties, ([], []))
        databases.append(database)
        if not pattern:
            names.append(route.name)
    return [(*properties, *lists) for properties, lists in rows.items()]


def _name_pattern(route: Route) -> str:
    """Return the name with the database replaced, or "" if it can't be."""
    if route.database not in route.name or DATABASE_MARK in route.name:
        return ""
    return route.name.replace(route.database, DATABASE_MARK, 1)


def _team_rows(teams: dict[str, Team]) -> list[Any]:
    return [(t.name, t.rate, t.burst) for _name, t in sorted(teams.items())]


def _read_content(
    body: dict[str, Any], routes: dict[str, Route]
) -> CatalogContent:
    teams = body["teams"]
    catalog = Catalog(
        version=int(body["version"]),
        routes=routes,
        groups={
            name: GroupLimits(
                name=name, max_connections=limit, sync_replicas=replicas
            )
            for name, limit, replicas in body["groups"]
        },
        transaction_idle_timeout=float(body["idle_timeout"]),
        teams=None if teams is None else _read_teams(teams),
        keys=dict(body["keys"]),
    )
    return CatalogContent(
        catalog=catalog, stored_version=int(body["stored_version"])
    )


def _read_teams(rows: list[Any]) -> dict[str, Team]:
    return {
        name: Team(name=name, rate=rate, burst=burst)
        for name, rate, burst in rows
    }


def _read_slice(
    properties: list[Any], databases: list[str], names: list[str]
) -> dict[str, Route]:
    group, freshness, limit, objective, urgency, age, anonymous, pattern = (
        properties
    )
    kind = Freshness(freshness)
    max_age = None if age is None else float(age)
    if pattern:
        names = [pattern.replace(DATABASE_MARK, each, 1) for each in databases]
    return {
        database: Route(
            name=name,
            database=database,
            group=group,
            freshness=kind,
            time_limit=float(limit),
            objective=float(objective),
            urgency=int(urgency),
            max_age=max_age,
            anonymous=anonymous,
        )
        for database, name in zip(databases, names, strict=True)
    }
