"""How much of a configuration a VM passes on to others.

The load that it answers: all VMs of a zone can't read the configuration from
the store and ask the VM that passes facts on for it, twice a second until it
has come. Sent to each of them at once it fills that VM's link; the facts
behind it come too late for everybody, and all ask again. So it is sent to one
after the other, at a rate that leaves most of a slow link free, and a large
one not at all.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CatalogSendLimiter"]

LARGEST_PASSED_BYTES = 64 * 1024
# A fifth of a link of 10 Mbit/s.
BYTES_PER_SECOND = 256 * 1024


@dataclass(slots=True, kw_only=True)
class CatalogSendLimiter:
    """Bounds the bytes a second of what is passed on."""

    _free_at: float = -1e9

    def data_to_send(self, catalog: bytes, now: float) -> bytes:
        """Return the configuration if it may be sent now, else nothing."""
        if len(catalog) > LARGEST_PASSED_BYTES or now < self._free_at:
            return b""
        self._free_at = now + len(catalog) / BYTES_PER_SECOND
        return catalog
