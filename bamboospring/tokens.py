"""Session tokens: what a caller has seen, carried to any VM.

A token is `v1.<key id>.<payload>.<mac>`. It holds the caller's name and, for
each group touched, the newest position seen. It is signed, so that a caller
can neither forge positions nor use another caller's session.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import hashlib
import hmac

import orjson

from bamboospring.statements import Position

__all__ = ["Session", "TokenCodec", "merge_position"]

VERSION = "v1"
MAC_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """A caller's session: its newest position in each group."""

    caller: str
    positions: Mapping[str, Position] = field(default_factory=dict)


def merge_position(
    session: Session, group: str, position: Position
) -> Session:
    """Return the session with a position taken in; it never goes back."""
    known = session.positions.get(group, Position())
    if position <= known:
        return session
    positions = {**session.positions, group: position}
    return Session(caller=session.caller, positions=positions)


class TokenCodec:
    """Sign and check tokens. The first key signs, all keys check."""

    def __init__(self, keys: Mapping[str, bytes]) -> None:
        if not keys:
            raise ValueError("at least one token key is needed")
        self._keys = dict(keys)
        self._signing = next(iter(self._keys))

    def encode(self, session: Session) -> str:
        """Return the token of a session."""
        positions = {
            group: [position.term, position.index]
            for group, position in session.positions.items()
        }
        raw = orjson.dumps([session.caller, positions])
        payload = base64.urlsafe_b64encode(raw).decode().rstrip("=")
        signed = f"{VERSION}.{self._signing}.{payload}"
        return f"{signed}.{self._mac(self._signing, signed)}"

    def decode(self, token: str) -> Session | None:
        """Return the session of a token, None if it is not one of ours."""
        signed, _, mac = token.rpartition(".")
        parts = signed.split(".")
        if len(parts) != 3 or parts[0] != VERSION:
            return None
        if parts[1] not in self._keys:
            return None
        expected = self._mac(parts[1], signed)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            return None
        return _read_payload(parts[2])

    def _mac(self, key: str, text: str) -> str:
        digest = hmac.digest(self._keys[key], text.encode(), hashlib.sha256)
        raw = base64.urlsafe_b64encode(digest[:MAC_BYTES])
        return raw.decode().rstrip("=")


def _read_payload(payload: str) -> Session | None:
    try:
        raw = base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4))
        caller, positions = orjson.loads(raw)
        found = {
            group: Position(term=pair[0], index=pair[1])
            for group, pair in positions.items()
        }
    except (ValueError, binascii.Error, TypeError, AttributeError):
        return None
    return Session(caller=caller, positions=found)
