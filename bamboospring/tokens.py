"""Session tokens and transaction handles: signed, and good at any entry.

A session token says up to where a caller's session has come in each group's
log. It is all there is of a session: no VM keeps any, so a caller may take
it to any entry. The signature is a shortened HMAC-SHA256 under one of the
fleet's keys; the first key signs, all of them verify, so a key is changed by
adding the new one everywhere, putting it first, and removing the old one
when the tokens signed with it are of no more use.

Only acknowledged writes move a session on. If reads did as well, each read
at the primary would bind the next one to what that primary had just written
for others, and under replication lag no session would ever find a replica
that is far enough.
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

MAX_TOKEN = 16384
# A session that has written to more groups is refused rather than shortened:
# a dropped position would be a write that the session no longer sees.
MAX_GROUPS = 100
MAX_CALLER = 128
MAC_BYTES = 16
HMAC_BLOCK = 64
TO_URL = bytes.maketrans(b"+/", b"-_")
FROM_URL = bytes.maketrans(b"-_", b"+/")
# What is signed starts with what it is, so that no handle passes for a
# token and no token for a handle.
SESSION = "s1"
TRANSACTION = "t1"


@dataclass(frozen=True, slots=True, kw_only=True)
class SigningKey:
    """A signing key with the id that tokens name it by."""

    id: str
    secret: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionPositions:
    """A caller's session: its newest acknowledged write in each group.

    `token` is the text that it was read from and `signer` what signed that,
    so that a session that has not moved need not be signed again.
    """

    caller: str
    positions: dict[str, Position] = field(default_factory=dict)
    token: str = field(default="", compare=False, repr=False)
    signer: object = field(default=None, compare=False, repr=False)

    def position(self, group: str) -> Position:
        """Return the position in a group; (0, 0) where nothing was written."""
        return self.positions.get(group, Position())

    def has_room(self, group: str) -> bool:
        """Tell whether a write in this group could still be noted."""
        return group in self.positions or len(self.positions) < MAX_GROUPS

    def moved(self, group: str, position: Position) -> SessionPositions:
        """Return the session after a write; it never moves back."""
        if position <= self.position(group):
            return self
        positions = {**self.positions, group: position}
        return SessionPositions(caller=self.caller, positions=positions)

    def merged(self, other: SessionPositions) -> SessionPositions:
        """Return a session that has seen what either has seen."""
        session = self
        for group, position in other.positions.items():
            session = session.moved(group, position)
        return session


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionHandle:
    """Where an open transaction lives, and how far it has come.

    `number` is drawn at random by the holder, so that a holder that was
    restarted never takes an old handle for one of its own. `step` counts the
    answers given: whoever comes with an older one has missed an answer.
    """

    vm: str
    group: str
    caller: str
    number: int
    step: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidToken:
    """A text that is not one of our tokens, with what is wrong."""

    message: str


class TokenCodec:
    """Signs and verifies with the fleet's keys; the first one signs."""

    def __init__(self, *, keys: Sequence[SigningKey]) -> None:
        self.set_keys(keys)

    def set_keys(self, keys: Sequence[SigningKey]) -> None:
        """Sign with the first of these keys and verify with all of them."""
        if not keys:
            raise ValueError("at least one token key is needed")
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
        return self._sign([SESSION, session.caller, positions])

    def decode(self, text: str) -> SessionPositions | InvalidToken:
        """Return the session of a token, or what is wrong with it."""
        fields = self._verify(text, SESSION)
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
        """Return the handle as a caller carries it."""
        return self._sign(
            [
                TRANSACTION,
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
        """Return the handle that a caller brings back."""
        fields = self._verify(text, TRANSACTION)
        if isinstance(fields, InvalidToken):
            return fields
        _, _, vm, group, caller, number, step = fields
        return TransactionHandle(
            vm=vm, group=group, caller=caller, number=number, step=step
        )

    def _sign(self, fields: list[Any]) -> str:
        signer = self._signer
        body = orjson.dumps([signer.id, *fields])
        return _to_text(body + signer.mac(body))

    def _verify(self, text: str, kind: str) -> list[Any] | InvalidToken:
        """Return all fields of a text, from the key's id on."""
        if len(text) > MAX_TOKEN:
            return InvalidToken(message="too long")
        try:
            raw = _to_bytes(text)
        except (ValueError, binascii.Error):
            return InvalidToken(message="not a token")
        body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        fields = _fields_of(body)
        signer = self._signer_of(fields)
        if signer is None:
            return InvalidToken(message="signed with a key not known here")
        # What is inside is trusted only after this line.
        if not hmac.compare_digest(signer.mac(body), mac):
            return InvalidToken(message="wrong signature")
        if fields[1] != kind:
            return InvalidToken(message="not meant for this use")
        return fields

    def _signer_of(self, fields: list[Any]) -> _Signer | None:
        name = fields[0] if fields else None
        return self._keys.get(name) if isinstance(name, str) else None


class _Signer:
    """Shortened HMAC-SHA256 (RFC 2104) under one key.

    The state after the key's block is kept and copied: the library's
    `hmac.digest` looks its algorithm up and hashes both blocks of the key
    again each time, which was 9 us a call in a process under load.
    """

    __slots__ = ("_inner", "_outer", "id")

    def __init__(self, key: SigningKey) -> None:
        secret = key.secret
        if len(secret) > HMAC_BLOCK:
            secret = hashlib.sha256(secret).digest()
        block = secret.ljust(HMAC_BLOCK, b"\0")
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


def _fields_of(body: bytes) -> list[Any]:
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return []
    return fields if isinstance(fields, list) else []


def _to_text(raw: bytes) -> str:
    data = binascii.b2a_base64(raw, newline=False)
    return data.translate(TO_URL).rstrip(b"=").decode()


def _to_bytes(text: str) -> bytes:
    data = text.encode("ascii").translate(FROM_URL)
    return binascii.a2b_base64(
        data + b"=" * (-len(data) % 4), strict_mode=True
    )
