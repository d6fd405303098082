"""Choose the VM that relays the leader's facts to the others of its zone.

With hundreds of VMs that ask one leader for the same facts twice a second, the
leader would answer each of them, and nearly all answers would cross zones.
Therefore, the leader names one VM of each zone, the relay, that asks on behalf
of the others there. The relay asks more often, because its facts are passed on
with their ages.

Where VMs have weights, the relay is the VM of the highest weight among those
of its zone that ask the leader. The leader waits until all of them have asked,
unless it knows that none has more weight, and names the relay when it asks
itself, so that nobody is sent to a relay that does not know of its role.

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
# Seconds for which the leader hears a zone's VMs before it names a relay by
# weight: each asks every 0.6 s, and one that has waited for the lost relay
# asks up to 0.4 s later.
SURVEY_DURATION = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FactRequester:
    """A VM that asks the leader for facts, as it describes itself."""

    vm: str
    address: str
    availability_zone: str
    weight: int = 1


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
    weights: dict[str, int] = field(default_factory=dict)
    relay: FactRequester | None = None
    # Since when enough VMs for a relay have asked; None: they have not.
    enough_since: float | None = None
    # The highest weight in the zone; known once a relay has been named.
    highest_weight: int = 1
    had_relay: bool = False

    def record_contact(self, requester: FactRequester, now: float) -> None:
        self.last_contact_at[requester.vm] = now
        self.weights[requester.vm] = requester.weight
        self.highest_weight = max(self.highest_weight, requester.weight)
        if len(self.last_contact_at) < MIN_REQUESTERS:
            self.enough_since = None
        elif self.enough_since is None:
            self.enough_since = now

    def is_heaviest(self, requester: FactRequester, now: float) -> bool:
        """Return whether no VM that has asked has more weight than this one.

        That is certain at once if its zone has had no VM of more weight, and
        otherwise once all VMs have asked.
        """
        since = self.enough_since
        if since is None or requester.weight < max(self.weights.values()):
            return False
        is_highest = requester.weight >= self.highest_weight
        return (
            self.had_relay and is_highest
        ) or now - since >= SURVEY_DURATION

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
        self.weights = {vm: self.weights[vm] for vm in self.last_contact_at}


@dataclass(slots=True, kw_only=True)
class ZoneRelays:
    """The relay of each zone, chosen by the leader.

    If `weighted`, VMs of the highest weight are chosen.
    """

    weighted: bool = False
    _zones: dict[str, _ZoneRequesters] = field(default_factory=dict)

    def assign(self, requester: FactRequester, now: float) -> Assignment:
        """Return whom the requesting VM should ask.

        A relay is kept as long as it sends requests, also if a VM of higher
        weight appears. Another one is named once enough VMs of its zone ask
        the leader again.
        """
        zone = self._zones.setdefault(
            requester.availability_zone, _ZoneRequesters()
        )
        zone.drop_stale(now)
        if zone.is_relay_lost(now):
            zone.relay = None
        zone.record_contact(requester, now)
        if zone.relay is None and self._may_relay(zone, requester, now):
            zone.relay = requester
            zone.had_relay = True
        relay = zone.relay
        if relay is None:
            return AskLeader()
        if relay.vm == requester.vm:
            zone.relay = requester
            return ServeZone()
        return AskRelay(address=relay.address)

    def _may_relay(
        self, zone: _ZoneRequesters, requester: FactRequester, now: float
    ) -> bool:
        if self.weighted:
            return zone.is_heaviest(requester, now)
        return len(zone.last_contact_at) >= MIN_REQUESTERS


@dataclass(slots=True, kw_only=True)
class ZoneMembers:
    """The VMs of its zone that have recently asked a relay."""

    # By name: a VM that restarts may have another address or weight.
    _contacts: dict[str, tuple[ZoneVm, float]] = field(default_factory=dict)
    _first_contact_at: float = -1e9

    def record_contact(self, vm: ZoneVm, now: float) -> None:
        """Record that a VM has asked."""
        if not self._contacts:
            self._first_contact_at = now
        self._contacts[vm.name] = vm, now

    def vms(self, local_vm: ZoneVm, now: float) -> list[ZoneVm] | None:
        """Return the VMs of the zone with this one; None until they are known.

        A relay that has just been named has not yet been asked by most of its
        zone; a VM that has an earlier list continues to use it.
        """
        self._contacts = {
            name: (vm, at)
            for name, (vm, at) in self._contacts.items()
            if now - at <= CONTACT_TIMEOUT
        }
        if (
            not self._contacts
            or now - self._first_contact_at < CONTACT_TIMEOUT
        ):
            return None
        return [local_vm, *(vm for vm, _at in self._contacts.values())]


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
