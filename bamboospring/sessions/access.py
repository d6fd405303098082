"""Decide which team a session belongs to and whether it has access.

A caller opens a session with a key that belongs to a team. Operators revoke
keys by storing a new configuration, and a VM that can't read the store would
continue to accept them. A key therefore counts only for as long as it is known
that no newer configuration had been stored. A statement sent later than a
key's lifetime after its removal finds every VM either informed of the removal
or unable to confirm the key.

Pure decisions over the board; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard

__all__ = ["Identity", "access_refusal", "are_keys_confirmed", "identify"]

# The fraction by which the lifetime of keys is shortened, to allow for
# differences in clock rates.
KEY_LIFETIME_MARGIN = 0.05
# The retry delay where no key can be confirmed: another VM can probably serve
# the caller at once.
UNCONFIRMED_RETRY_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who opened a session: the digest of its key, and the key's team.

    Both are empty where no key is needed.
    """

    credential: str = ""
    team: str = ""


def identify(catalog: Catalog, credential: str) -> Identity:
    """Return the identity that belongs to the digest of a key."""
    if catalog.teams is None:
        return Identity()
    team = catalog.keys.get(credential, "")
    return Identity(credential=credential, team=team)


def access_refusal(
    board: SessionBoard, route: Route, identity: Identity, received_at: float
) -> NotRun | Overloaded | None:
    """Return why a statement received at an instant must not run, or None."""
    catalog = board.catalog
    if catalog is None or catalog.teams is None:
        return None
    if route.anonymous and not identity.team:
        return None
    if not are_keys_confirmed(board, received_at):
        # This also applies to an unknown key, which may have been added since.
        return Overloaded(
            reason=Reason.KEY_UNCONFIRMED, retry_after_ms=UNCONFIRMED_RETRY_MS
        )
    team = catalog.keys.get(identity.credential, "")
    if not team or team != identity.team:
        return NotRun(reason=Reason.UNKNOWN_KEY)
    return None


def are_keys_confirmed(board: SessionBoard, received_at: float) -> bool:
    """Return whether keys count for a statement received at an instant."""
    if board.key_lifetime is None:
        return True
    lifetime = board.key_lifetime * (1 - KEY_LIFETIME_MARGIN)
    return received_at < board.catalog_confirmed_at + lifetime
