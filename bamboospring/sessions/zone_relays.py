"""Choose the VM that relays the leader's facts to the others of its zone.

With hundreds of VMs that ask one leader for the same facts twice a second, the
leader would answer each of them, and nearly all answers would cross zones.
Therefore, the leader names one VM of each zone, the relay, that asks on behalf
of the others there. The relay asks more often, because its facts are passed on
with their ages.

No VM maintains a list: the leader knows the VMs from their requests. A VM
whose relay does not answer asks the leader again, which then names another
relay. Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.zone_holders import ZoneVm

__all__ = [
    "AskLeader",
    "AskRelay",
    "Assignment",
    "FactRequester",
    "FactSource",
    "ServeZone",
    "ZoneMembers",
    "ZoneRelays",
]

# In a zone of fewer VMs, a relay saves too few answers to justify the
# additional hop.
MIN_REQUESTERS = 4
# Seconds within which every VM that asks the leader directly has asked again;
# after that, it counts as gone.
CONTACT_TIMEOUT = 1.5
# Seconds without a request after which a relay counts as lost; it has then
# missed several.
RELAY_TIMEOUT = 0.9
# Seconds for which a VM avoids a relay that has failed to answer.
AVOID_DURATION = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FactRequester:
    """A VM that asks the leader for facts, as it describes itself."""

    vm: str
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLeader:
    """Ask the leader directly."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRelay:
    """Ask the relay of the zone."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServeZone:
    """Serve as the relay of the zone."""


Assignment = AskLeader | AskRelay | ServeZone


@dataclass(slots=True, kw_only=True)
class _ZoneRequesters:
    """The VMs of a zone that have asked recently, and the relay among them."""

    last_contact_at: dict[str, float] = field(default_factory=dict)
    relay: FactRequester | None = None

    def is_relay_lost(self, now: float) -> bool:
        if self.relay is None:
            return True
        last_contact_at = self.last_contact_at.get(self.relay.vm, -1e9)
        return now - last_contact_at > RELAY_TIMEOUT

    def drop_stale(self, now: float) -> None:
        self.last_contact_at = {
            vm: at
            for vm, at in self.last_contact_at.items()
            if now - at <= CONTACT_TIMEOUT
        }


@dataclass(slots=True, kw_only=True)
class ZoneRelays:
    """The relay of each zone, chosen by the leader."""

    _zones: dict[str, _ZoneRequesters] = field(default_factory=dict)

    def assign(self, requester: FactRequester, now: float) -> Assignment:
        """Return whom the requesting VM should ask.

        A relay is kept as long as it sends requests. Another one is named once
        enough VMs of its zone ask the leader again.
        """
        zone = self._zones.setdefault(
            requester.availability_zone, _ZoneRequesters()
        )
        zone.drop_stale(now)
        if zone.is_relay_lost(now):
            zone.relay = None
        zone.last_contact_at[requester.vm] = now
        if zone.relay is None and len(zone.last_contact_at) >= MIN_REQUESTERS:
            zone.relay = requester
        relay = zone.relay
        if relay is None:
            return AskLeader()
        if relay.vm == requester.vm:
            zone.relay = requester
            return ServeZone()
        return AskRelay(address=relay.address)


@dataclass(slots=True, kw_only=True)
class ZoneMembers:
    """The VMs of its zone that have recently asked a relay."""

    _last_contact_at: dict[ZoneVm, float] = field(default_factory=dict)
    _first_contact_at: float = -1e9

    def record_contact(self, vm: ZoneVm, now: float) -> None:
        """Record that a VM has asked."""
        if not self._last_contact_at:
            self._first_contact_at = now
        self._last_contact_at[vm] = now

    def vms(self, local_vm: ZoneVm, now: float) -> list[ZoneVm] | None:
        """Return the VMs of the zone with this one; None until they are known.

        A relay that has just been named has not yet been asked by most of its
        zone; a VM that has an earlier list continues to use it.
        """
        self._last_contact_at = {
            vm: at
            for vm, at in self._last_contact_at.items()
            if now - at <= CONTACT_TIMEOUT
        }
        if (
            not self._last_contact_at
            or now - self._first_contact_at < CONTACT_TIMEOUT
        ):
            return None
        return [local_vm, *self._last_contact_at]


@dataclass(slots=True, kw_only=True)
class FactSource:
    """Whom a VM asks for facts: the leader, or the relay of its zone."""

    assignment: Assignment = AskLeader()
    _avoided: dict[str, float] = field(default_factory=dict)

    @property
    def serves_zone(self) -> bool:
        """Return whether this VM relays facts."""
        return isinstance(self.assignment, ServeZone)

    def address(self, leader: str) -> str:
        """Return the address to ask, given the leader's address."""
        if isinstance(self.assignment, AskRelay):
            return self.assignment.address
        return leader

    def update_assignment(self, assignment: Assignment, now: float) -> None:
        """Update whom to ask, as the leader has assigned it."""
        if isinstance(assignment, AskRelay):
            if now < self._avoided.get(assignment.address, -1e9):
                assignment = AskLeader()
        self.assignment = assignment

    def record_relay_failure(self, now: float) -> None:
        """Return to asking the leader because the relay has failed.

        The relay did not answer, or had no facts.
        """
        if isinstance(self.assignment, AskRelay):
            self._avoided = {
                address: until
                for address, until in self._avoided.items()
                if now < until
            }
            self._avoided[self.assignment.address] = now + AVOID_DURATION
        self.assignment = AskLeader()
