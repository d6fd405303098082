"""Keep the newest configuration that was ever read.

Configurations are compared by their own version and not by the store's: a
store that was restored from an older copy returns an older configuration at a
newer store version until the operator writes the newest one again.
"""

from __future__ import annotations

from collections.abc import Callable

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_watch import KindWatch
from bamboospring.reactor import Reactor
from bamboospring.sessions.catalog_encoding import CatalogContent
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
# Seconds between checks whether a newer version is still being received.
RECHECK_INTERVAL = 0.1


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
        # Called with a newer version that another VM has. It is read from the
        # store unless something else gets it.
        self.on_newer: Callable[[int], None] = lambda _version: (
            self.read_store()
        )
        # Whether a newer version is being received from another VM.
        self.is_receiving: Callable[[], bool] = lambda: False
        # Called after each change, and after each read by `read_store`.
        self.on_updated: Callable[[], None] = lambda: None
        self._platform = platform
        self._kind = kind
        self._relayed_until = -1e9
        self._relayed_at = -1e9
        self._reactor = reactor
        self._refreshing = False
        self._is_recheck_due = False
        self._refresh_asked_at = -1e9
        self._unreadable_version = 0
        self._ignored_version = 0
        # The newest version that another VM has announced, 0 if none is newer
        # than the current one, and when the first such was announced.
        self._announced_version = 0
        self._announced_at: float | None = None
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

    @property
    def pending_seconds(self) -> float:
        """Return for how long a newer configuration has been announced."""
        if self._announced_at is None:
            return 0.0
        return self._reactor.now() - self._announced_at

    def start(self) -> None:
        """Start to follow the configuration."""
        self._watch.set_watching(True)

    def apply_relayed(
        self,
        version: int,
        checked_at: float,
        confirmed_at: float,
        until: float,
    ) -> None:
        """Handle that the leader has a version of the configuration.

        `version` is the configuration's own. `checked_at` is when the leader
        last checked the store; nothing newer was stored before `confirmed_at`.
        The store is not watched before `until`.
        """
        self._relayed_until = until
        self._watch.set_watching(False)
        if version <= self.version:
            self._relayed_at = max(self._relayed_at, checked_at)
            self._confirm(confirmed_at)
            # A version may be announced and turn out not to be stored.
            self._announced_version = 0
            self._announced_at = None
        else:
            self._record_announcement(version)
            self.on_newer(version)
        self._reactor.call_later(
            max(0.0, until - self._reactor.now()), self._check_relayed
        )

    def read_store(self) -> None:
        """Read the configuration from the store, unless a read is in flight.

        It is large, so VMs read it only if no other VM passes it on.
        """
        if self._refreshing:
            return
        self._refreshing = True
        self._refresh_asked_at = self._reactor.now()
        self._platform.list(self._kind, CATALOG_PURPOSE, self._on_refreshed)

    @property
    def is_reading(self) -> bool:
        """Return whether a read by `read_store` is in flight."""
        return self._refreshing

    def apply_content(self, content: CatalogContent) -> bool:
        """Apply a configuration from another VM; return whether it is newer.

        It confirms no keys: only the store's answers do, directly or relayed.
        """
        if content.catalog.version <= self.version:
            return False
        # Objects that the store assigned an earlier version are older.
        self.stored_version = max(self.stored_version, content.stored_version)
        self._activate(content.catalog, "vm")
        return True

    def read_directly(self) -> None:
        """Resume watching the store when no VM passes the version on."""
        self._relayed_until = -1e9
        self._resume_watch()

    def _record_announcement(self, version: int) -> None:
        if version <= self._announced_version:
            return
        self._announced_version = version
        if self._announced_at is None:
            self._announced_at = self._reactor.now()
        logs.log_event(
            "catalog_announced", version=version, known_version=self.version
        )

    def _check_relayed(self) -> None:
        if self._reactor.now() >= self._relayed_until:
            self._resume_watch()

    def _resume_watch(self) -> None:
        """Watch the store again, from the version that this VM has.

        A watch from where it stopped would return every configuration that
        was stored meanwhile, each of which may have hundreds of kilobytes.
        When a leader is lost while it sends a new one, the VMs that receive it
        do not all read it from the store at the same moment, and none of them
        reads it twice.
        """
        is_expected = self._refreshing or self.is_receiving()
        if self._board.load_control and is_expected and not self.is_leader():
            self._schedule_recheck()
            return
        if self._board.load_control and self.stored_version:
            self._watch.skip_to(self.stored_version)
        self._watch.set_watching(True)

    def _schedule_recheck(self) -> None:
        if not self._is_recheck_due:
            self._is_recheck_due = True
            self._reactor.call_later(RECHECK_INTERVAL, self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_due = False
        self._check_relayed()

    def _on_refreshed(self, result: Changes | Unavailable) -> None:
        self._refreshing = False
        if isinstance(result, Changes):
            self._apply_objects(result.objects, "store_read")
            self._confirm_read(self._refresh_asked_at)
        else:
            wait = max(RECHECK_INTERVAL, result.retry_after)
            self._reactor.call_later(wait, self._retry_read)
        self.on_updated()

    def _retry_read(self) -> None:
        """Read again unless the configuration comes another way by now."""
        is_relayed = self._reactor.now() < self._relayed_until
        is_missing = self._announced_version > self.version
        if is_relayed and is_missing and not self._board.load_control:
            self.read_store()

    def _wait_ms(self) -> int:
        key_lifetime = self._board.key_lifetime
        if key_lifetime is None or not self.is_leader():
            return WATCH_MS
        return min(
            WATCH_MS, round(key_lifetime * LEADER_WATCH_FRACTION * 1000)
        )

    def _on_watched(self, objects: tuple[Found, ...]) -> None:
        self._watch.wait_ms = self._wait_ms()
        self._apply_objects(objects, "store_watch")
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

    def _apply_objects(self, objects: tuple[Found, ...], source: str) -> None:
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
            self._activate(catalog, source)

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

    def _activate(self, catalog: Catalog, source: str) -> None:
        self._board.catalog = catalog
        pending = self.pending_seconds
        if catalog.version >= self._announced_version:
            self._announced_at = None
        for name in catalog.groups:
            self._board.group(name)
        logs.log_event(
            "catalog",
            version=catalog.version,
            stored_as=version_text(self.stored_version),
            routes=len(catalog.routes),
            groups=len(catalog.groups),
            teams=len(catalog.teams or {}),
            source=source,
            pending_ms=round(pending * 1000),
        )
        self._on_changed()
        self.on_updated()
