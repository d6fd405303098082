"""Whose work a session's statements are, and whether they may run.

A caller opens its session with a key, which belongs to a team. Operators take
keys away by a new configuration, and a VM that can't read the store would go
on serving them. So a key counts only for as long as it is known that no newer
configuration was stored before: whoever sends a statement later than a key's
life after its removal finds every VM either told of the removal or unable to
confirm the key.

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

__all__ = ["Identity", "identify", "are_keys_confirmed", "access_refusal"]

# A key's life is taken to be shorter by this part, for the rates of clocks.
KEY_LIFETIME_MARGIN = 0.05
# What callers are told to wait where no key can be confirmed: another VM most
# likely serves them at once.
UNCONFIRMED_RETRY_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who opened a session: the digest of its key and the key's team.

    Both are empty where no key is needed.
    """

    credential: str = ""
    team: str = ""


def identify(catalog: Catalog, credential: str) -> Identity:
    """Return who opens a session with a key of this digest."""
    if catalog.teams is None:
        return Identity()
    team = catalog.keys.get(credential, "")
    return Identity(credential=credential, team=team)


def access_refusal(
    board: SessionBoard, route: Route, identity: Identity, received_at: float
) -> NotRun | Overloaded | None:
    """Return why what was sent at an instant must not run, or None."""
    catalog = board.catalog
    if catalog is None or catalog.teams is None:
        return None
    if route.anonymous and not identity.team:
        return None
    if not are_keys_confirmed(board, received_at):
        # Also for a key that is not known: it may have been added since.
        return Overloaded(
            reason=Reason.KEY_UNCONFIRMED, retry_after_ms=UNCONFIRMED_RETRY_MS
        )
    team = catalog.keys.get(identity.credential, "")
    if not team or team != identity.team:
        return NotRun(reason=Reason.UNKNOWN_KEY)
    return None


def are_keys_confirmed(board: SessionBoard, received_at: float) -> bool:
    """Tell whether keys may be used for what was sent at an instant."""
    if board.key_lifetime is None:
        return True
    lifetime = board.key_lifetime * (1 - KEY_LIFETIME_MARGIN)
    return received_at < board.catalog_confirmed_at + lifetime
