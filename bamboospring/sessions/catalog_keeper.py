"""Keep the configuration in force: the newest that was ever seen.

Which is the newest its own version tells, not the store's: a store that has
come back from an older copy shows an older configuration, newly, until the
operator has written the newest one again.
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

# What a version that others have told of is read for; it may be large.
CATALOG_PURPOSE = "catalog"

# A watch is asked anew after this many milliseconds. A connection that has
# gone silent shows only by then; with the margin of the client's watches a
# change is in force within two seconds also where that happens.
WATCH_MS = 1200
# Where keys must be confirmed a watch of the leader takes this part of a key's
# life at most: an answer confirms them from when it was asked for, and grows
# older on its way to all the others.
LEADER_WATCH_PART = 0.1


class CatalogKeeper:
    """Follows the configuration's object.

    `read` turns it into a catalog, None if it can't be used; `on_changed` is
    called after each change.
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
        self._read = decode_catalog
        self._on_changed = on_changed
        self.stored_as = 0
        # Whether a newer version is known that the store would not show. It
        # may be large, so that it is passed on by others only then.
        self.refresh_failed = False
        self._platform = platform
        self._kind = kind
        self._relayed_until = -1e9
        self._relayed_at = -1e9
        self._reactor = reactor
        self._refreshing = False
        self._refresh_asked_at = -1e9
        self._unreadable = 0
        self._older = 0
        self._value: Any = None
        self._bytes: bytes | None = None
        self.is_leader: Callable[[], bool] = lambda: False
        self._watch = KindWatch(
            reactor=reactor,
            platform=platform,
            kind=kind,
            wait_ms=WATCH_MS,
            on_objects=self._watched,
        )

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0: none is."""
        catalog = self._board.catalog
        return catalog.version if catalog is not None else 0

    @property
    def checked_at(self) -> float:
        """Return when the store last answered that nothing newer is there.

        The answer may have been another VM's, which has passed it on.
        """
        return max(self._watch.last_response_at, self._relayed_at)

    def start(self) -> None:
        """Follow from now on."""
        self._watch.set_watching(True)

    def apply_relayed(
        self,
        version: int,
        checked_at: float,
        confirmed_at: float,
        until: float,
        data: bytes = b"",
    ) -> None:
        """Take the version that the leader has, if it is newer.

        It is the configuration's own. `checked_at` is when the leader had it
        from the store; nothing newer was stored before `confirmed_at`. Without
        the version's `data` it is read from the store.
        """
        self._relayed_until = until
        self._watch.set_watching(False)
        if data and version > self.version:
            self._take_data(data)
            self.refresh_failed = False
        if version <= self.version:
            self._relayed_at = max(self._relayed_at, checked_at)
            self._confirm(confirmed_at)
        elif not self._refreshing:
            self._refreshing = True
            self._refresh_asked_at = self._reactor.now()
            self._platform.list(self._kind, CATALOG_PURPOSE, self._refreshed)
        self._reactor.call_later(
            max(0.0, until - self._reactor.now()), self._check_relayed
        )

    def _take_data(self, data: bytes) -> None:
        found = Found(
            kind=self._kind,
            name=self._name,
            version=self.stored_as,
            value=orjson.loads(data),
        )
        catalog = self._read(found)
        if catalog is not None and catalog.version > self.version:
            self._value, self._bytes = found.value, data
            self._put_in_force(catalog)

    def as_bytes(self) -> bytes:
        """Return the version in force as it is passed on to other VMs."""
        if self._bytes is None:
            self._bytes = orjson.dumps(self._value)
        return self._bytes

    def read_directly(self) -> None:
        """Watch the store again: nobody passes its version on."""
        self._relayed_until = -1e9
        self._watch.set_watching(True)

    def _check_relayed(self) -> None:
        if self._reactor.now() >= self._relayed_until:
            self._watch.set_watching(True)

    def _refreshed(self, result: Changes | Unavailable) -> None:
        self._refreshing = False
        self.refresh_failed = isinstance(result, Unavailable)
        if isinstance(result, Changes):
            self._take(result.objects)
            self._confirm_read(self._refresh_asked_at)

    def _wait_ms(self) -> int:
        key_life = self._board.key_lifetime
        if key_life is None or not self.is_leader():
            return WATCH_MS
        return min(WATCH_MS, round(key_life * LEADER_WATCH_PART * 1000))

    def _watched(self, objects: tuple[Found, ...]) -> None:
        self._watch.wait_ms = self._wait_ms()
        self._take(objects)
        self._confirm_read(self._watch.confirmed_at)

    def _confirm_read(self, instant: float) -> None:
        """Confirm by what the store answered to a question of an instant."""
        if not self._platform.may_be_incomplete(instant):
            self._confirm(instant)

    def _confirm(self, instant: float) -> None:
        """Note that nothing newer was stored before an instant.

        A version that can't be read may have taken keys away, and where the
        store shows an older one it has lost what it had acknowledged.
        """
        doubtful = max(self._unreadable, self._older)
        if self.version and doubtful <= self.stored_as:
            board = self._board
            board.catalog_confirmed_at = max(
                board.catalog_confirmed_at, instant
            )

    def _take(self, objects: tuple[Found, ...]) -> None:
        for found in objects:
            # The store's versions only grow. One that comes late, from a
            # lagging copy or an answer overtaken by another, must not undo
            # what callers have already seen in force.
            if found.name != self._name:
                continue
            if found.version <= self.stored_as:
                continue
            catalog = self._read(found)
            if catalog is None:
                self._unreadable = found.version
                continue
            if self._is_older(catalog, found):
                continue
            self.stored_as = found.version
            self._value, self._bytes = found.value, None
            self._put_in_force(catalog)

    def _is_older(self, catalog: Catalog, found: Found) -> bool:
        """Tell whether the store shows less than is in force; log it once.

        The version in force stays as it was stored, so nothing confirms it
        until the store shows it again.
        """
        if catalog.version >= self.version:
            return False
        if found.version > self._older:
            logs.log_event(
                "catalog_ignored",
                level=logs.Level.WARNING,
                version=catalog.version,
                stored_as=version_text(found.version),
                known_version=self.version,
                known_as=version_text(self.stored_as),
            )
        self._older = max(self._older, found.version)
        return True

    def _put_in_force(self, catalog: Catalog) -> None:
        self._board.catalog = catalog
        for name in catalog.groups:
            self._board.group(name)
        logs.log_event(
            "catalog",
            version=catalog.version,
            stored_as=version_text(self.stored_as),
            routes=len(catalog.routes),
            groups=len(catalog.groups),
            teams=len(catalog.teams or {}),
        )
        self._on_changed()
