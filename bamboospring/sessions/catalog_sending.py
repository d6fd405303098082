"""Decide which part of a configuration a VM sends next, and when.

A VM of a zone of 15 sends the configuration to all others of the zone. Over a
link of 5 Mbit/s that carries callers' statements as well, it therefore sends
only a fifth of what the link can carry. Requests that it can't serve yet are
held, those of relays first and then that of the VM that has most of the
configuration: VMs then finish one after the other, instead of all of them at
the end.

A request is held for a short time only. Its VM is then told to ask again,
which shows it that its source is alive and is still receiving the
configuration itself, or is sending it to others. Once some VMs have received
all of it, a fair part of the waiting ones is referred to these. With n VMs, a
configuration so takes about log2(n) times as long as for one, however slow the
link of the relay is.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

__all__ = [
    "AskAgain",
    "CatalogCopy",
    "HeldRequest",
    "PART_BYTES",
    "PartAnswer",
    "PartQueue",
    "Refer",
    "Refuse",
    "SendPart",
    "send_rate",
]

PART_BYTES = 16 * 1024
# Bandwidth in Mbit/s that is assumed of an unknown link, and the fraction of
# a link that configurations may take.
UNKNOWN_LINK_MBPS = 10.0
LINK_FRACTION = 0.2
# Seconds for which a request is held. The sender's answer must arrive within
# the 0.4 s after which the receiver gives up.
HOLD_TIME = 0.2
# Requests held at once; each VM has one. More are told to ask again at once.
MAX_HELD = 512


def send_rate(link_mbps: float | None) -> float:
    """Return how many bytes per second of configurations a VM may send."""
    return (link_mbps or UNKNOWN_LINK_MBPS) * LINK_FRACTION * 1e6 / 8


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogCopy:
    """What a VM has of a version of the configuration.

    `data` has the first bytes of `total`, or all of them. `total` is 0 while
    a version is known but none of it was received.
    """

    version: int = 0
    total: int = 0
    digest: int = 0
    data: bytes = b""

    def part(self, offset: int) -> bytes:
        """Return the part that begins at `offset`; empty if incomplete."""
        end = min(offset + PART_BYTES, self.total)
        return self.data[offset:end] if end <= len(self.data) else b""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldRequest:
    """A request of another VM; `number` identifies it.

    `is_direct` is whether the VM is not to be referred to another one.
    """

    number: int
    version: int
    offset: int
    received_at: float
    address: str = ""
    serves_zone: bool = False
    is_direct: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPart:
    """Send the part of the copy that the request asks for."""

    request: HeldRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class AskAgain:
    """Tell the requester that the part is not available yet."""

    request: HeldRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Tell the requester that this VM does not have the version."""

    request: HeldRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Refer:
    """Tell the requester which other VM has the version."""

    request: HeldRequest
    source: str


PartAnswer = SendPart | AskAgain | Refer | Refuse


@dataclass(slots=True, kw_only=True)
class PartQueue:
    """The requests of other VMs that are not answered."""

    bytes_per_second: float
    _next_send_at: float = -1e9
    _held: list[HeldRequest] = field(default_factory=list)
    _served_version: int = 0
    _served: list[str] = field(default_factory=list)
    _expired_count: int = 0

    def add(self, request: HeldRequest) -> PartAnswer | None:
        """Hold a request; return an answer if there are too many."""
        if len(self._held) >= MAX_HELD:
            return AskAgain(request=request)
        self._held.append(request)
        return None

    def take(
        self, copy: CatalogCopy, *, is_source: bool, now: float
    ) -> list[PartAnswer]:
        """Return the answers to send now, and forget their requests.

        `is_source` is whether this VM is a leader or relay, and so will have
        a version that it does not know yet.
        """
        answers: list[PartAnswer] = []
        held, self._held = self._held, []
        ready: list[HeldRequest] = []
        for request in held:
            if not _can_serve(request, copy, is_source):
                answers.append(Refuse(request=request))
            elif request.version == copy.version and copy.part(request.offset):
                ready.append(request)
            else:
                self._held.append(request)
        ready.sort(key=_send_order)
        while ready and self._next_send_at <= now:
            request = ready.pop(0)
            answers.append(SendPart(request=request))
            size = len(copy.part(request.offset))
            self._next_send_at = (
                max(self._next_send_at, now) + size / self.bytes_per_second
            )
            if request.offset + size == copy.total:
                self._record_served(request)
        self._held.extend(ready)
        answers.extend(self._take_expired(now))
        return answers

    def next_check_at(self, now: float) -> float | None:
        """Return when to call `take` again; None if nothing is held.

        It is also called when a request or a part arrives.
        """
        if not self._held:
            return None
        expires_at = min(r.received_at for r in self._held) + HOLD_TIME
        if self._next_send_at > now:
            return min(expires_at, self._next_send_at)
        return expires_at

    def _record_served(self, request: HeldRequest) -> None:
        """Record that a VM has been sent the last part of a version."""
        if request.version != self._served_version:
            self._served_version = request.version
            self._served = []
        if request.address:
            self._served.append(request.address)

    def _take_expired(self, now: float) -> list[PartAnswer]:
        expired = [r for r in self._held if now >= r.received_at + HOLD_TIME]
        self._held = [r for r in self._held if r not in expired]
        return [self._expire(request) for request in expired]

    def _expire(self, request: HeldRequest) -> PartAnswer:
        """Let this VM and those that it has served each have a fair part."""
        others = [each for each in self._served if each != request.address]
        if request.is_direct or request.version != self._served_version:
            return AskAgain(request=request)
        self._expired_count += 1
        turn = self._expired_count % (len(others) + 1)
        if turn == 0:
            return AskAgain(request=request)
        return Refer(request=request, source=others[turn - 1])


def _send_order(request: HeldRequest) -> tuple[bool, int, float]:
    """Return the key by which requests are served."""
    return not request.serves_zone, -request.offset, request.received_at


def _can_serve(
    request: HeldRequest, copy: CatalogCopy, is_source: bool
) -> bool:
    """Return whether this VM has the requested version or will have it."""
    if request.version == copy.version:
        return not copy.total or request.offset < copy.total
    return request.version > copy.version and is_source
