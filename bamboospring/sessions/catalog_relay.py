"""Get configurations from other VMs, and send them to others.

The decisions are in `catalog_transfer` (what to ask for next, when to read the
store) and `catalog_sending` (what to send next, and when). This module carries
them out. Keys are not part of what is sent, only their digests are.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import itertools
from typing import Any

import xxhash

from bamboospring import logs
from bamboospring.peers import CATALOG_PARTS_PROTOCOL
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.catalog_encoding import CatalogContent
from bamboospring.sessions.catalog_encoding import CatalogDecoder
from bamboospring.sessions.catalog_encoding import DecodeState
from bamboospring.sessions.catalog_encoding import encode_catalog
from bamboospring.sessions.catalog_encoding import EncodedCatalog
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.catalog_sending import AskAgain
from bamboospring.sessions.catalog_sending import CatalogCopy
from bamboospring.sessions.catalog_sending import HeldRequest
from bamboospring.sessions.catalog_sending import PartAnswer
from bamboospring.sessions.catalog_sending import PartQueue
from bamboospring.sessions.catalog_sending import Refer
from bamboospring.sessions.catalog_sending import Refuse
from bamboospring.sessions.catalog_sending import send_rate
from bamboospring.sessions.catalog_sending import SendPart
from bamboospring.sessions.catalog_transfer import AskPart
from bamboospring.sessions.catalog_transfer import CatalogPart
from bamboospring.sessions.catalog_transfer import CatalogTransfer
from bamboospring.sessions.catalog_transfer import Complete
from bamboospring.sessions.catalog_transfer import FindSource
from bamboospring.sessions.catalog_transfer import ReadStore
from bamboospring.sessions.catalog_transfer import SOURCE_TIMEOUT
from bamboospring.sessions.catalog_transfer import TransferAction
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import SessionBoard

__all__ = ["CatalogRelay", "CatalogSource", "TransferCounts"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogSource:
    """The VM that this VM asks for facts.

    `serves_zone` is whether this VM is a relay itself.
    """

    address: str = ""
    is_relay: bool = False
    serves_zone: bool = False


@dataclass(slots=True, kw_only=True)
class TransferCounts:
    """Transfers of configurations since the process started."""

    received: int = 0
    given_up: int = 0
    sent_parts: int = 0
    sent_bytes: int = 0


class CatalogRelay:
    """Transfers configurations from this VM's source and to other VMs.

    `is_source` returns whether other VMs ask this one, and `on_source_lost` is
    called with the address of a VM that does not send it. Without load control
    nothing is transferred. `address` is where this VM listens for peers.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        keeper: CatalogKeeper,
        address: str,
        link_mbps: float | None,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._keeper = keeper
        self._address = address
        self.source = CatalogSource()
        self.is_source: Callable[[], bool] = lambda: False
        self.on_source_lost: Callable[[str], None] = lambda _address: None
        self.counts = TransferCounts()
        self._transfer = CatalogTransfer(spread=_fraction(board.vm))
        self._queue = PartQueue(bytes_per_second=send_rate(link_mbps))
        self._replies: dict[int, Reply] = {}
        self._numbers = itertools.count(1)
        self._encoded: EncodedCatalog | None = None
        self._encoded_catalog: Catalog | None = None
        self._send_timer: Timer | None = None
        self._check_timer: Timer | None = None
        if board.load_control:
            keeper.on_newer = self._on_newer
            keeper.on_updated = self._on_updated
            keeper.is_receiving = lambda: self._transfer.is_pending
            peers.add_handler("catalogAsk", self._on_request)

    @property
    def known_version(self) -> int:
        """Return the newest version that this VM has or is receiving.

        VMs that ask this one for facts can then request the parts that it
        already has.
        """
        return max(self._keeper.version, self._transfer.version)

    def set_source(self, source: CatalogSource, version: int) -> None:
        """Set the source, which has a version of the configuration."""
        self.source = source
        if version <= self._keeper.version and not self._keeper.is_reading:
            self._transfer.announce_none()

    # Receiving.

    def _on_newer(self, version: int) -> None:
        source = self.source
        action = self._transfer.announce(
            version,
            source.address,
            serves_zone=source.serves_zone,
            now=self._reactor.now(),
        )
        self._execute(action)

    def _execute(self, action: TransferAction | None) -> None:
        match action:
            case AskPart(delay=0.0):
                self._ask(action)
            case AskPart():
                self._reactor.call_later(
                    action.delay, lambda: self._ask(action)
                )
            case FindSource(source=source):
                self._log_failure("another VM does not send it", source)
                self.on_source_lost(source)
            case ReadStore(reason=reason):
                self.counts.given_up += 1
                self._log_failure(reason, self.source.address)
                self._keeper.read_store()
            case Complete():
                self._decode(action, CatalogDecoder(action.data))
        self._schedule_check()
        self._send_due()

    def _ask(self, ask: AskPart) -> None:
        if not self._transfer.is_wanted(ask):
            return
        message = new_envelope()
        request = message.init("catalogAsk")
        request.version = ask.version
        request.offset = ask.offset
        request.address = self._address
        request.servesZone = self.source.serves_zone
        request.direct = ask.is_direct

        def on_answer(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                action = self._transfer.record_loss(
                    ask, is_relay=self._is_relay(ask.source), now=self._now()
                )
            else:
                part = _read_part(answer.catalogPart)
                action = self._transfer.record_part(part, ask, now=self._now())
            self._execute(action)

        self._peers.ask(
            ask.source,
            message,
            SOURCE_TIMEOUT,
            on_answer,
            min_protocol=CATALOG_PARTS_PROTOCOL,
        )

    def _is_relay(self, address: str) -> bool:
        """Return whether another source may replace a lost one.

        If the source has changed meanwhile, the new one is asked.
        """
        return self.source.is_relay or self.source.address != address

    def _decode(self, received: Complete, decoder: CatalogDecoder) -> None:
        """Decode the content in steps, with other work between them."""
        state = decoder.step()
        if state is DecodeState.UNFINISHED:
            self._reactor.call_later(
                0, lambda: self._decode(received, decoder)
            )
        elif isinstance(state, CatalogContent) and _is_version(
            state, received.version
        ):
            self._apply(state, received)
        else:
            self._execute(self._transfer.fail("unreadable content"))

    def _apply(self, content: CatalogContent, received: Complete) -> None:
        seconds = self._transfer.seconds(self._now())
        if not self._keeper.apply_content(content):
            return
        self._encoded = EncodedCatalog(
            version=received.version,
            data=received.data,
            digest=received.digest,
        )
        self._encoded_catalog = content.catalog
        self.counts.received += 1
        logs.log_event(
            "catalog_received",
            version=received.version,
            source=received.source,
            bytes=len(received.data),
            ms=round(seconds * 1000),
        )

    def _on_updated(self) -> None:
        """Handle a change of the configuration, or a read of the store."""
        if self._keeper.version >= self._transfer.version:
            self._transfer.finish()
        elif not self._keeper.is_reading:
            # The store has no such version, or could not be read. Announced
            # further, the version would keep other VMs waiting.
            self._transfer.announce_none()
        self._schedule_check()
        self._send_due()

    def _schedule_check(self) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        at = self._transfer.next_check_at()
        if at is not None:
            self._check_timer = self._reactor.call_later(
                max(0.0, at - self._now()), self._check
            )

    def _check(self) -> None:
        self._check_timer = None
        self._execute(self._transfer.check(self._now()))

    def _log_failure(self, reason: str, source: str) -> None:
        logs.log_event(
            "catalog_transfer_failed",
            version=self._transfer.version,
            source=source,
            reason=reason,
        )

    # Sending.

    def _on_request(self, message: Any, reply: Reply) -> None:
        ask = message.catalogAsk
        request = HeldRequest(
            number=next(self._numbers),
            version=ask.version,
            offset=ask.offset,
            received_at=self._now(),
            address=ask.address,
            serves_zone=ask.servesZone,
            is_direct=ask.direct,
        )
        self._replies[request.number] = reply
        refused = self._queue.add(request)
        if refused is not None:
            self._answer(refused, self._copy())
        self._send_due()

    def _send_due(self) -> None:
        """Answer the requests that can be answered now."""
        if not self._replies:
            return
        now = self._now()
        copy = self._copy()
        for answer in self._queue.take(
            copy, is_source=self.is_source(), now=now
        ):
            self._answer(answer, copy)
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        at = self._queue.next_check_at(now)
        if at is not None:
            self._send_timer = self._reactor.call_later(
                max(0.0, at - now), self._send_due
            )

    def _answer(self, answer: PartAnswer, copy: CatalogCopy) -> None:
        request = answer.request
        message = new_envelope()
        part = message.init("catalogPart")
        part.offset = request.offset
        match answer:
            case SendPart():
                part.version = copy.version
                part.data = copy.part(request.offset)
                part.receiving = True
                self.counts.sent_parts += 1
                self.counts.sent_bytes += len(part.data)
            case AskAgain():
                part.version = request.version
                part.receiving = True
            case Refer(source=source):
                part.version = request.version
                part.receiving = True
                part.source = source
            case Refuse():
                part.version = copy.version
        if part.receiving and request.version == copy.version:
            part.total = copy.total
            part.digest = copy.digest
            part.available = len(copy.data)
        self._replies.pop(request.number)(message)

    def _copy(self) -> CatalogCopy:
        """Return what this VM has of the newest version that it knows."""
        if self._transfer.version > self._keeper.version:
            return self._transfer.copy
        catalog = self._board.catalog
        if catalog is None:
            return CatalogCopy()
        if self._encoded is None or self._encoded_catalog is not catalog:
            self._encoded = encode_catalog(
                catalog, stored_version=self._keeper.stored_version
            )
            self._encoded_catalog = catalog
        return CatalogCopy(
            version=self._encoded.version,
            total=len(self._encoded.data),
            digest=self._encoded.digest,
            data=self._encoded.data,
        )

    def _now(self) -> float:
        return self._reactor.now()


def _fraction(vm: str) -> float:
    """Return a number from 0 to 1 that differs between VMs."""
    return xxhash.xxh32_intdigest(vm.encode()) / 2**32


def _is_version(content: CatalogContent, version: int) -> bool:
    return content.catalog.version == version


def _read_part(part: Any) -> CatalogPart:
    return CatalogPart(
        version=part.version,
        total=part.total,
        offset=part.offset,
        data=bytes(part.data),
        digest=part.digest,
        available=part.available,
        receiving=part.receiving,
        source=part.source,
    )
