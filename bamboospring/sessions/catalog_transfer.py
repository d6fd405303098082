"""Decide how a VM gets a newer configuration: from another VM or the store.

A VM learns that there is a newer version from its source of facts, the leader
or the relay of its zone, and asks that VM for one part after the other. Dozens
of VMs behind one link between regions can't all read the store in time, so a
VM waits as long as its source shows that it is alive and will have the
version. It reads the store itself if

- the source does not answer for 0.4 s, and no other source has announced the
  version by then,
- the source does not have the version, or sends something else, or
- the version is not in force by a time limit that is shorter for a relay,
  since the VMs of its zone wait for it.

A source that has many others to serve may refer a VM to one of these, which
continues where the source stopped. If that VM is lost or has another version,
the source of facts is asked again. Otherwise a transfer begins anew if the
source changes, or if there is a newer version.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.catalog_encoding import content_digest
from bamboospring.sessions.catalog_encoding import MAX_ENCODED_BYTES
from bamboospring.sessions.catalog_sending import CatalogCopy

__all__ = [
    "AskPart",
    "CatalogPart",
    "CatalogTransfer",
    "Complete",
    "FindSource",
    "ReadStore",
    "TransferAction",
]

# Seconds without an answer after which the source counts as lost, and seconds
# in which another source must have announced the version.
SOURCE_TIMEOUT = 0.4
# Seconds from the first news of a version until the store is read after all. A
# change must be in force 5 s after its acknowledgement: 1 s until the VM has
# heard of it, and 1 s for the store's answer. The limits of the VMs of a zone
# are spread, so that they do not read the store at the same moment.
RELAY_TIME_LIMIT = 1.2
TIME_LIMIT = 2.0
TIME_LIMIT_SPREAD = 0.8
# Pause in seconds before a source that has nothing yet is asked again. It
# usually holds the request for longer than this.
ASK_AGAIN_DELAY = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogPart:
    """An answer to a request for a part.

    `version` is what the sender has or is receiving. `total` is 0 if the
    sender does not have the requested version. Without `data` the part is
    not available yet, and the sender has `available` bytes. `source` is
    another VM that has the version.
    """

    version: int
    total: int = 0
    offset: int = 0
    data: bytes = b""
    digest: int = 0
    available: int = 0
    receiving: bool = False
    source: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskPart:
    """Ask the source for a part, after `delay` seconds.

    `is_direct` is whether this VM does not accept a referral.
    """

    source: str
    version: int
    offset: int
    delay: float = 0.0
    is_direct: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FindSource:
    """Ask for facts again, because a source is lost."""

    source: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStore:
    """Read the configuration from the store."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Complete:
    """All parts of a version have arrived."""

    source: str
    version: int
    data: bytes
    digest: int


TransferAction = AskPart | FindSource | ReadStore | Complete


@dataclass(slots=True, kw_only=True)
class CatalogTransfer:
    """The transfer of the newest known configuration to this VM.

    `spread` is a number from 0 to 1 that differs between VMs.
    """

    spread: float
    version: int = 0
    source: str = ""
    _total: int = 0
    _digest: int = 0
    _data: bytearray = field(default_factory=bytearray)
    _began_at: float = -1e9
    _limit_at: float | None = None
    _source_wanted_until: float | None = None
    _is_referred: bool = False
    _refuses_referral: bool = False

    @property
    def is_active(self) -> bool:
        """Return whether parts are being requested."""
        return bool(self.source)

    @property
    def is_pending(self) -> bool:
        """Return whether a newer version is expected from another VM."""
        return self._limit_at is not None

    @property
    def copy(self) -> CatalogCopy:
        """Return what has been received, for other VMs."""
        return CatalogCopy(
            version=self.version,
            total=self._total,
            digest=self._digest,
            data=bytes(self._data),
        )

    def seconds(self, now: float) -> float:
        """Return for how long this VM has known of a newer version."""
        return now - self._began_at

    def announce(
        self, version: int, source: str, *, serves_zone: bool, now: float
    ) -> TransferAction | None:
        """Handle the news that a source has a newer version than this VM.

        A relay that lags behind may announce an earlier one, which is ignored.
        """
        if version < self.version:
            return None
        self._limit(now, serves_zone)
        if version == self.version and self.is_active:
            # The source may have been replaced; it is kept once it has sent
            # something, since it may well answer.
            if self._data or self._is_referred or source == self.source:
                return None
        self._begin(version, source)
        return self._ask()

    def is_wanted(self, ask: AskPart) -> bool:
        """Return whether a request is the next one of this transfer."""
        return (ask.source, ask.version, ask.offset) == (
            self.source,
            self.version,
            len(self._data),
        )

    def record_part(
        self, part: CatalogPart, ask: AskPart, *, now: float
    ) -> TransferAction | None:
        """Handle the source's answer to a request for a part."""
        if not self.is_wanted(ask):
            return None
        if part.version > self.version:
            self._begin(part.version, self.source)
            return self._ask()
        if part.version != self.version or not (part.total or part.receiving):
            if self._is_referred:
                return self._find_source(now)
            return self._give_up("no such version at the source")
        if not part.data:
            return self._wait_or_follow(part)
        if not self._fits(part):
            return self._give_up("an unexpected part")
        self._total, self._digest = part.total, part.digest
        self._data += part.data
        if len(self._data) < self._total:
            return self._ask()
        data = bytes(self._data)
        if content_digest(data) != self._digest:
            return self._give_up("another digest than announced")
        return Complete(
            source=self.source,
            version=self.version,
            data=data,
            digest=self._digest,
        )

    def record_loss(
        self, ask: AskPart, *, is_relay: bool, now: float
    ) -> TransferAction | None:
        """Handle that a source has not answered."""
        if not self.is_wanted(ask):
            return None
        if is_relay or self._is_referred:
            return self._find_source(now)
        return self._give_up("the leader does not answer")

    def check(self, now: float) -> TransferAction | None:
        """Return what to do if a time limit has passed."""
        wanted_until = self._source_wanted_until
        if wanted_until is not None and now >= wanted_until:
            return self._give_up("no other source")
        if self._limit_at is not None and now >= self._limit_at:
            return self._give_up("not in time")
        return None

    def next_check_at(self) -> float | None:
        """Return when to call `check`; None if there is no transfer."""
        limits = (self._limit_at, self._source_wanted_until)
        return min((at for at in limits if at is not None), default=None)

    def announce_none(self) -> None:
        """Handle the news that the source has nothing newer than this VM.

        It may lag behind the VM that parts are being requested from.
        """
        if not self.is_pending:
            self.finish()

    def finish(self) -> None:
        """End the transfer: the version is in force, or is nowhere.

        The time limit of the next version starts anew.
        """
        self.version = 0
        self._stop()

    def fail(self, reason: str) -> ReadStore:
        """Handle that the received content can't be used."""
        return self._give_up(reason)

    def _limit(self, now: float, serves_zone: bool) -> None:
        """Set the time limit; that of a VM that becomes a relay is earlier."""
        limit_at = now + TIME_LIMIT + TIME_LIMIT_SPREAD * self.spread
        if serves_zone:
            limit_at = now + RELAY_TIME_LIMIT
        if self._limit_at is None:
            self._began_at = now
            self._limit_at = limit_at
        self._limit_at = min(self._limit_at, limit_at)

    def _begin(self, version: int, source: str) -> None:
        self.version = version
        self.source = source
        self._source_wanted_until = None
        self._clear()

    def _clear(self) -> None:
        self._total = self._digest = 0
        self._data.clear()
        self._is_referred = False

    def _wait_or_follow(self, part: CatalogPart) -> AskPart:
        """Ask again later, or ask the VM to which the source refers."""
        if not part.source or self._refuses_referral:
            return self._ask(delay=ASK_AGAIN_DELAY)
        self.source = part.source
        self._is_referred = True
        return self._ask()

    def _find_source(self, now: float) -> FindSource:
        """Begin anew with the next announcement."""
        lost = self.source
        self._refuses_referral = self._refuses_referral or self._is_referred
        self.source = ""
        self._clear()
        self._source_wanted_until = now + SOURCE_TIMEOUT
        return FindSource(source=lost)

    def _ask(self, delay: float = 0.0) -> AskPart:
        return AskPart(
            source=self.source,
            version=self.version,
            offset=len(self._data),
            delay=delay,
            is_direct=self._refuses_referral,
        )

    def _fits(self, part: CatalogPart) -> bool:
        """Return whether a part continues what was received."""
        end = len(self._data) + len(part.data)
        if part.offset != len(self._data) or end > part.total:
            return False
        if self._data:
            return (part.total, part.digest) == (self._total, self._digest)
        return part.total <= MAX_ENCODED_BYTES

    def _give_up(self, reason: str) -> ReadStore:
        """Read the store; the next announcement begins anew.

        If the store does not answer, another VM is the only source.
        """
        self._stop()
        return ReadStore(reason=reason)

    def _stop(self) -> None:
        self.source = ""
        self._limit_at = None
        self._source_wanted_until = None
        self._refuses_referral = False
        self._clear()
