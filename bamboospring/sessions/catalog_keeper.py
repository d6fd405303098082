"""Keep the newest configuration that was ever read.

Configurations are compared by their own version and not by the store's: a
store that was restored from an older copy returns an older configuration at a
newer store version until the operator writes the newest one again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_watch import KindWatch
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import SessionBoard
from bamboospring.store_version import version_text

__all__ = ["CATALOG_PURPOSE", "CatalogKeeper"]

# Purpose of a read of a version that other VMs have; it may be large.
CATALOG_PURPOSE = "catalog"

# A watch is renewed after this many milliseconds. An unresponsive connection
# is detected only then; together with the margin of the client's watches a
# change still takes effect within two seconds.
WATCH_MS = 1200
# If keys must be confirmed, a watch of the leader takes at most this fraction
# of a key's lifetime: an answer confirms keys as of the time of the request,
# and it ages further on its way to the other VMs.
LEADER_WATCH_FRACTION = 0.1


class CatalogKeeper:
    """Follows the configuration object.

    `decode_catalog` returns None if the object can't be used. `on_changed` is
    called after each change of the catalog.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        kind: str,
        name: str,
        decode_catalog: Callable[[Found], Catalog | None],
        on_changed: Callable[[], None],
    ) -> None:
        self._board = board
        self._name = name
        self._decode_catalog = decode_catalog
        self._on_changed = on_changed
        self.stored_version = 0
        # Whether a newer version is known and reading it from the store
        # failed. Other VMs pass its data on only then, because it may be
        # large.
        self.refresh_failed = False
        self._platform = platform
        self._kind = kind
        self._relayed_until = -1e9
        self._relayed_at = -1e9
        self._reactor = reactor
        self._refreshing = False
        self._refresh_asked_at = -1e9
        self._unreadable_version = 0
        self._ignored_version = 0
        self._value: Any = None
        self._bytes: bytes | None = None
        self.is_leader: Callable[[], bool] = lambda: False
        self._watch = KindWatch(
            reactor=reactor,
            platform=platform,
            kind=kind,
            wait_ms=WATCH_MS,
            on_objects=self._on_watched,
        )

    @property
    def version(self) -> int:
        """Return the version of the current configuration, 0 if none."""
        catalog = self._board.catalog
        return catalog.version if catalog is not None else 0

    @property
    def checked_at(self) -> float:
        """Return when the store last answered that it has nothing newer.

        The answer may have come to another VM that passed it on.
        """
        return max(self._watch.last_response_at, self._relayed_at)

    def start(self) -> None:
        """Start to follow the configuration."""
        self._watch.set_watching(True)

    def apply_relayed(
        self,
        version: int,
        checked_at: float,
        confirmed_at: float,
        until: float,
        data: bytes = b"",
    ) -> None:
        """Apply the configuration that the leader has, if it is newer.

        `version` is the configuration's own. `checked_at` is when the leader
        last checked the store; nothing newer was stored before `confirmed_at`.
        Without `data` the configuration is read from the store. The store is
        not watched before `until`.
        """
        self._relayed_until = until
        self._watch.set_watching(False)
        if data and version > self.version:
            self._apply_data(data)
            self.refresh_failed = False
        if version <= self.version:
            self._relayed_at = max(self._relayed_at, checked_at)
            self._confirm(confirmed_at)
        elif not self._refreshing:
            self._refreshing = True
            self._refresh_asked_at = self._reactor.now()
            self._platform.list(
                self._kind, CATALOG_PURPOSE, self._on_refreshed
            )
        self._reactor.call_later(
            max(0.0, until - self._reactor.now()), self._check_relayed
        )

    def _apply_data(self, data: bytes) -> None:
        found = Found(
            kind=self._kind,
            name=self._name,
            version=self.stored_version,
            value=orjson.loads(data),
        )
        catalog = self._decode_catalog(found)
        if catalog is not None and catalog.version > self.version:
            self._value, self._bytes = found.value, data
            self._activate(catalog)

    def as_bytes(self) -> bytes:
        """Return the current configuration, encoded for other VMs."""
        if self._bytes is None:
            self._bytes = orjson.dumps(self._value)
        return self._bytes

    def read_directly(self) -> None:
        """Resume watching the store when no VM passes the version on."""
        self._relayed_until = -1e9
        self._watch.set_watching(True)

    def _check_relayed(self) -> None:
        if self._reactor.now() >= self._relayed_until:
            self._watch.set_watching(True)

    def _on_refreshed(self, result: Changes | Unavailable) -> None:
        self._refreshing = False
        self.refresh_failed = isinstance(result, Unavailable)
        if isinstance(result, Changes):
            self._apply_objects(result.objects)
            self._confirm_read(self._refresh_asked_at)

    def _wait_ms(self) -> int:
        key_lifetime = self._board.key_lifetime
        if key_lifetime is None or not self.is_leader():
            return WATCH_MS
        return min(
            WATCH_MS, round(key_lifetime * LEADER_WATCH_FRACTION * 1000)
        )

    def _on_watched(self, objects: tuple[Found, ...]) -> None:
        self._watch.wait_ms = self._wait_ms()
        self._apply_objects(objects)
        self._confirm_read(self._watch.confirmed_at)

    def _confirm_read(self, instant: float) -> None:
        """Confirm by an answer of the store to a request sent at `instant`."""
        if not self._platform.may_be_incomplete(instant):
            self._confirm(instant)

    def _confirm(self, instant: float) -> None:
        """Record that nothing newer was stored before `instant`.

        This does not hold after a version that can't be read, which may have
        removed keys, or an older version, which shows that the store has lost
        an acknowledged one.
        """
        doubtful_version = max(self._unreadable_version, self._ignored_version)
        if self.version and doubtful_version <= self.stored_version:
            board = self._board
            board.catalog_confirmed_at = max(
                board.catalog_confirmed_at, instant
            )

    def _apply_objects(self, objects: tuple[Found, ...]) -> None:
        for found in objects:
            # The store's versions only increase. One that arrives late, from
            # a lagging copy or an answer out of order, must not undo a
            # configuration that callers have already seen in effect.
            if found.name != self._name:
                continue
            if found.version <= self.stored_version:
                continue
            catalog = self._decode_catalog(found)
            if catalog is None:
                self._unreadable_version = found.version
                continue
            if self._ignore_older(catalog, found):
                continue
            self.stored_version = found.version
            self._value, self._bytes = found.value, None
            self._activate(catalog)

    def _ignore_older(self, catalog: Catalog, found: Found) -> bool:
        """Return whether the object is an older configuration; log it once.

        The current configuration keeps its stored version, so it is not
        confirmed until the store returns it again.
        """
        if catalog.version >= self.version:
            return False
        if found.version > self._ignored_version:
            logs.log_event(
                "catalog_ignored",
                level=logs.Level.WARNING,
                version=catalog.version,
                stored_as=version_text(found.version),
                known_version=self.version,
                known_as=version_text(self.stored_version),
            )
        self._ignored_version = max(self._ignored_version, found.version)
        return True

    def _activate(self, catalog: Catalog) -> None:
        self._board.catalog = catalog
        for name in catalog.groups:
            self._board.group(name)
        logs.log_event(
            "catalog",
            version=catalog.version,
            stored_as=version_text(self.stored_version),
            routes=len(catalog.routes),
            groups=len(catalog.groups),
            teams=len(catalog.teams or {}),
        )
        self._on_changed()
