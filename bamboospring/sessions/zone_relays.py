"""Which VM passes the leader's facts on to the others of its zone.

The load that it answers: hundreds of VMs that ask one leader for the same
facts twice a second. The leader answers each by itself, and nearly all the
answers cross from zone to zone. So the leader names one VM of each zone that
asks on behalf of the others there; it asks more often, since its facts are
passed on with their ages.

Nobody has to keep a list: the leader knows the VMs from their questions, and
a VM whose relay does not answer asks the leader again, which then names
another one. Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.zone_holders import ZoneVm

__all__ = [
    "AskLeader",
    "AskRelay",
    "FactRequester",
    "Assignment",
    "FactSource",
    "ServeZone",
    "ZoneRelays",
    "ZoneMembers",
]

# In a zone of fewer VMs a relay would save no answers worth its hop.
MIN_REQUESTERS = 4
# Seconds in which every VM that asks the leader itself has asked again.
CONTACT_TIMEOUT = 1.5
# A relay that has not asked for so many seconds has several questions missing.
RELAY_TIMEOUT = 0.9
# A VM does not go back for so many seconds to a relay that has failed it.
AVOID_DURATION = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FactRequester:
    """A VM that asks the leader, by its own word."""

    vm: str
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLeader:
    """Go on asking the leader."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRelay:
    """Ask the relay of your zone."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServeZone:
    """Pass the facts on to the VMs of your zone."""


Assignment = AskLeader | AskRelay | ServeZone


@dataclass(slots=True, kw_only=True)
class _Zone:
    """The VMs of a zone that have asked lately, and the relay among them."""

    last_contact_at: dict[str, float] = field(default_factory=dict)
    relay: FactRequester | None = None

    def relay_is_lost(self, now: float) -> bool:
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
    """The leader's choice of a relay for each zone."""

    _zones: dict[str, _Zone] = field(default_factory=dict)

    def assign(self, requester: FactRequester, now: float) -> Assignment:
        """Return whom this VM is to ask from now on.

        A relay stays as long as it is heard. Another one is named once enough
        VMs of its zone have come back to the leader.
        """
        zone = self._zones.setdefault(requester.availability_zone, _Zone())
        zone.drop_stale(now)
        if zone.relay_is_lost(now):
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
    """Which VMs of its zone a relay has heard lately."""

    _last_contact_at: dict[ZoneVm, float] = field(default_factory=dict)
    _first_contact_at: float = -1e9

    def record_contact(self, vm: ZoneVm, now: float) -> None:
        """Note that a VM has asked."""
        if not self._last_contact_at:
            self._first_contact_at = now
        self._last_contact_at[vm] = now

    def vms(self, local_vm: ZoneVm, now: float) -> list[ZoneVm] | None:
        """Return who is there, this VM included; None while not all know it.

        A relay that has just been named has not heard most of its zone yet;
        who has a list from before goes on by that.
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
    """Whom one VM asks for facts: the leader, or the relay of its zone."""

    assignment: Assignment = AskLeader()
    _avoided: dict[str, float] = field(default_factory=dict)

    @property
    def serves_zone(self) -> bool:
        """Tell whether this VM passes facts on."""
        return isinstance(self.assignment, ServeZone)

    def address(self, leader: str) -> str:
        """Return whom to ask, given the leader's address."""
        if isinstance(self.assignment, AskRelay):
            return self.assignment.address
        return leader

    def update_assignment(self, assignment: Assignment, now: float) -> None:
        """Take what the leader says of whom to ask."""
        if isinstance(assignment, AskRelay):
            if now < self._avoided.get(assignment.address, -1e9):
                assignment = AskLeader()
        self.assignment = assignment

    def record_relay_failure(self, now: float) -> None:
        """Go back to the leader: the relay has no answer, or no facts."""
        if isinstance(self.assignment, AskRelay):
            self._avoided = {
                address: until
                for address, until in self._avoided.items()
                if now < until
            }
            self._avoided[self.assignment.address] = now + AVOID_DURATION
        self.assignment = AskLeader()
