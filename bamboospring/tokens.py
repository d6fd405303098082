"""Signed session tokens and transaction handles, valid at every entry.

A session token holds the position of a caller's session in each group's log.
It is the whole state of a session: no VM stores any, so a caller may use the
token at any entry. The signature is a truncated HMAC-SHA256 with one of the
fleet's keys. The first key signs and all keys verify. To rotate a key, add
the new one on all VMs, then move it to the first place, then remove the old
one when the tokens signed with it are no longer needed.

Only acknowledged writes advance a session. If reads did so too, each read at
the primary would require the next one to see what the primary had just
written for other callers. Under replication lag, no replica would ever be
recent enough for any session.
"""

from __future__ import annotations

import binascii
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import hashlib
import hmac
from typing import Any

import orjson

from bamboospring.statements import Position

__all__ = [
    "InvalidToken",
    "MAX_GROUPS",
    "SessionPositions",
    "TokenCodec",
    "SigningKey",
    "TransactionHandle",
]

MAX_TOKEN_LENGTH = 16384
# A write to a further group is refused. Dropping a position instead would mean
# that the session may no longer see its own write.
MAX_GROUPS = 100
MAX_CALLER = 128
MAC_BYTES = 16
HMAC_BLOCK_BYTES = 64
TO_URL = bytes.maketrans(b"+/", b"-_")
FROM_URL = bytes.maketrans(b"-_", b"+/")
# The signed fields include the kind, so that a handle is not accepted as a
# token or a token as a handle.
SESSION_KIND = "s1"
TRANSACTION_KIND = "t1"


@dataclass(frozen=True, slots=True, kw_only=True)
class SigningKey:
    """A signing key and its id, which is part of each token."""

    id: str
    secret: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionPositions:
    """A session: the position of its last acknowledged write in each group.

    `token` is the text that it was decoded from and `signer` the signer of
    that text, so that an unchanged session need not be signed again.
    """

    caller: str
    positions: dict[str, Position] = field(default_factory=dict)
    token: str = field(default="", compare=False, repr=False)
    signer: object = field(default=None, compare=False, repr=False)

    def position(self, group: str) -> Position:
        """Return the position in a group; (0, 0) if nothing was written."""
        return self.positions.get(group, Position())

    def can_record(self, group: str) -> bool:
        """Return whether a write in this group can be recorded."""
        return group in self.positions or len(self.positions) < MAX_GROUPS

    def advanced(self, group: str, position: Position) -> SessionPositions:
        """Return the session after a write; positions never decrease."""
        if position <= self.position(group):
            return self
        positions = {**self.positions, group: position}
        return SessionPositions(caller=self.caller, positions=positions)

    def merged(self, other: SessionPositions) -> SessionPositions:
        """Return a session with the later position of each group."""
        session = self
        for group, position in other.positions.items():
            session = session.advanced(group, position)
        return session


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionHandle:
    """The holder of an open transaction and the number of its next step.

    The holder chooses `number` at random, so that a restarted holder never
    accepts an old handle as one of its own. `step` counts the answers sent: a
    caller with a lower value has missed an answer.
    """

    vm: str
    group: str
    caller: str
    number: int
    step: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidToken:
    """A text that is no valid token, and the reason."""

    message: str


class TokenCodec:
    """Sign and verify with the fleet's keys; the first one signs."""

    def __init__(self, *, keys: Sequence[SigningKey]) -> None:
        self.set_keys(keys)

    def set_keys(self, keys: Sequence[SigningKey]) -> None:
        """Sign with the first of these keys and verify with all of them."""
        if not keys:
            raise ValueError("at least one token key is required")
        self._keys = {key.id: _Signer(key) for key in keys}
        self._signer = self._keys[keys[0].id]

    def encode(self, session: SessionPositions) -> str:
        """Return the token of a session."""
        if session.signer is self._signer:
            return session.token
        positions = [
            [group, position.term, position.index]
            for group, position in session.positions.items()
        ]
        return self._sign([SESSION_KIND, session.caller, positions])

    def decode(self, text: str) -> SessionPositions | InvalidToken:
        """Return the session of a token, or why the token is invalid."""
        fields = self._verify(text, SESSION_KIND)
        if isinstance(fields, InvalidToken):
            return fields
        key, _, caller, positions = fields
        return SessionPositions(
            caller=caller,
            positions={
                group: Position(term=term, index=index)
                for group, term, index in positions
            },
            token=text,
            signer=self._keys[key],
        )

    def encode_transaction(self, handle: TransactionHandle) -> str:
        """Return the signed text of a handle."""
        return self._sign(
            [
                TRANSACTION_KIND,
                handle.vm,
                handle.group,
                handle.caller,
                handle.number,
                handle.step,
            ]
        )

    def decode_transaction(
        self, text: str
    ) -> TransactionHandle | InvalidToken:
        """Return the handle of a signed text, or why the text is invalid."""
        fields = self._verify(text, TRANSACTION_KIND)
        if isinstance(fields, InvalidToken):
            return fields
        _, _, vm, group, caller, number, step = fields
        return TransactionHandle(
            vm=vm, group=group, caller=caller, number=number, step=step
        )

    def _sign(self, fields: list[Any]) -> str:
        signer = self._signer
        body = orjson.dumps([signer.id, *fields])
        return _encode_text(body + signer.mac(body))

    def _verify(self, text: str, kind: str) -> list[Any] | InvalidToken:
        """Return all signed fields of a text, starting with the key's id."""
        if len(text) > MAX_TOKEN_LENGTH:
            return InvalidToken(message="the token is too long")
        try:
            raw = _decode_text(text)
        except (ValueError, binascii.Error):
            return InvalidToken(message="not a token")
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        fields = _decode_fields(body)
        signer = self._signer_of(fields)
        if signer is None:
            return InvalidToken(message="signed with an unknown key")
        # The fields are not trusted before this check.
        if not hmac.compare_digest(signer.mac(body), mac):
            return InvalidToken(message="wrong signature")
        if fields[1] != kind:
            return InvalidToken(message="wrong kind of token")
        return fields

    def _signer_of(self, fields: list[Any]) -> _Signer | None:
        name = fields[0] if fields else None
        return self._keys.get(name) if isinstance(name, str) else None


class _Signer:
    """Truncated HMAC-SHA256 (RFC 2104) with one key.

    The hash state after the key's block is kept and copied for each call. The
    library's `hmac.digest` looks up the algorithm and hashes both key blocks
    in each call, which takes 9 us a call in a process under load.
    """

    __slots__ = ("_inner", "_outer", "id")

    def __init__(self, key: SigningKey) -> None:
        secret = key.secret
        if len(secret) > HMAC_BLOCK_BYTES:
            secret = hashlib.sha256(secret).digest()
        block = secret.ljust(HMAC_BLOCK_BYTES, b"\0")
        self.id = key.id
        self._inner = hashlib.sha256(bytes(byte ^ 0x36 for byte in block))
        self._outer = hashlib.sha256(bytes(byte ^ 0x5C for byte in block))

    def mac(self, body: bytes) -> bytes:
        """Return the signature of a body."""
        inner = self._inner.copy()
        inner.update(body)
        outer = self._outer.copy()
        outer.update(inner.digest())
        return outer.digest()[:MAC_BYTES]


def _decode_fields(body: bytes) -> list[Any]:
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return []
    return fields if isinstance(fields, list) else []


def _encode_text(raw: bytes) -> str:
    data = binascii.b2a_base64(raw, newline=False)
    return data.translate(TO_URL).rstrip(b"=").decode()


def _decode_text(text: str) -> bytes:
    data = text.encode("ascii").translate(FROM_URL)
    return binascii.a2b_base64(
        data + b"=" * (-len(data) % 4), strict_mode=True
    )
