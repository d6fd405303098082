"""Decide how much work for others a VM takes, relative to a small VM.

Holders of targets and relays of facts run work of their whole zone. Assigned
by hash alone, this work comes as often to a VM with half a core and a link of
5 Mbit/s as to one with four times the processor. The scarcer of processor and
link decides, because the work of a holder needs both.

    vm_weight(VmResources(processor_share=2.15, link_mbps=100.0))  # 4
"""

from __future__ import annotations

from bamboospring.sessions.settings import VmResources

__all__ = ["MAX_WEIGHT", "MIN_WEIGHT", "received_weight", "vm_weight"]

# The smallest VM that is expected; it has weight 1.
SMALLEST_CORES = 0.5
SMALLEST_LINK_MBPS = 5.0
MIN_WEIGHT = 1
# Bounds what one VM takes: its loss moves everything that it holds.
MAX_WEIGHT = 16


def vm_weight(resources: VmResources) -> int:
    """Return the weight of a VM, 1 to 16.

    A VM whose processor or link is unknown counts as the smallest, so that it
    gets no more than its equal share.
    """
    share, link = resources.processor_share, resources.link_mbps
    if share is None or link is None:
        return MIN_WEIGHT
    cores = share * resources.processor_speed
    ratio = min(cores / SMALLEST_CORES, link / SMALLEST_LINK_MBPS)
    return _bounded(int(ratio))


def received_weight(stated: int) -> int:
    """Return the weight of another VM as it states it; 0 if it states none.

    VMs of older releases and those without load control state none.
    """
    return _bounded(stated)


def _bounded(weight: int) -> int:
    return max(MIN_WEIGHT, min(MAX_WEIGHT, weight))
