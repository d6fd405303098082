"""Decide whether callers may be sent to this VM."""

from __future__ import annotations

from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.proofs import PROOF_LIFETIME

__all__ = ["unready_reason"]

# Age of proofs in seconds after which they count as lapsed. If the newest
# proofs of all primaries have lapsed, this VM is probably cut off while other
# VMs are not.
LAPSED_PROOF_AGE = PROOF_LIFETIME + 1.0
# The fraction of the lifetime of keys that may pass without confirmation
# before callers are sent to other VMs, which can serve them after its end too.
UNCONFIRMED_FRACTION = 0.6


def unready_reason(board: SessionBoard, now: float) -> str:
    """Return why callers should use another VM; empty if they need not.

    A VM that can't prove any primary for a long time can serve only some
    statements. A change of primary is no reason, since it affects all VMs
    alike.
    """
    if board.draining:
        return "leaving"
    if board.catalog is None:
        return "no catalog yet"
    if board.catalog.teams is not None and board.key_lifetime is not None:
        unconfirmed = now - board.catalog_confirmed_at
        if unconfirmed > UNCONFIRMED_FRACTION * board.key_lifetime:
            return "no key can be confirmed soon"
    wanted = {route.group for route in board.catalog.routes.values()}
    groups = [board.groups[name] for name in wanted if name in board.groups]
    known = [group for group in groups if group.record is not None]
    if groups and not known:
        return "no record of any group yet"
    settled = [group for group in known if group.primary() is not None]
    lapsed = [g for g in settled if now - g.proof.asked_at > LAPSED_PROOF_AGE]
    if settled and len(lapsed) == len(settled):
        return "no primary can be proven"
    return ""
