"""Limit how fast a VM sends the configuration to other VMs.

If the VMs of a zone can't read the configuration from the store, all of them
ask the VM that relays facts for it, twice a second until they have it. Sending
it to all of them at once fills the link of that VM, the facts queued behind it
arrive too late, and all VMs ask again. The configuration is therefore sent to
one VM after the other, at a rate that leaves most of a slow link free. A large
configuration is not sent at all.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CatalogSendLimiter"]

MAX_CATALOG_BYTES = 64 * 1024
# A fifth of a link of 10 Mbit/s.
BYTES_PER_SECOND = 256 * 1024


@dataclass(slots=True, kw_only=True)
class CatalogSendLimiter:
    """Limits the bytes per second of configurations sent to other VMs."""

    _next_send_at: float = -1e9

    def data_to_send(self, catalog: bytes, now: float) -> bytes:
        """Return the configuration if it may be sent now, else no bytes."""
        if len(catalog) > MAX_CATALOG_BYTES or now < self._next_send_at:
            return b""
        self._next_send_at = now + len(catalog) / BYTES_PER_SECOND
        return catalog
