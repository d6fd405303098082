"""Decide whether load control is on.

Load control is for estates whose targets have too little room at times, or
whose VMs are far apart or uneven. See docs/design/load_control.md.
"""

from __future__ import annotations

from bamboospring.sessions.settings import SessionSettings

__all__ = ["is_load_control_on"]


def is_load_control_on(cfg: SessionSettings, terms: frozenset[str]) -> bool:
    """Return whether load control is on for a VM with these settings.

    `terms` are the platform's terms under which it is needed.
    """
    match cfg.load_control:
        case "on":
            return True
        case "off":
            return False
    has_several_regions = len(set(cfg.regions.values())) > 1
    return has_several_regions or not terms.isdisjoint(cfg.platform_terms)
