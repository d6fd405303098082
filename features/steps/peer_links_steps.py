"""Steps for links between VMs that go silent for good."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_input
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.outstanding_proofs import OutstandingProofs
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.vm_registry import ListedVm
from features.steps.unanswered_steps import FakeClock

LEADER = "leader:1"
TRANSIT_SECONDS = 0.001


class PairedStream:
    """One end of a connection; a silent one loses all data, also its end."""

    def __init__(self, network):
        self.network = network
        self.closed = False
        self.on_data = self.on_close = self.other = None

    def send(self, data):
        self.network.call_later(
            TRANSIT_SECONDS, lambda: self.other.receive(data)
        )

    def receive(self, data):
        if not (self.closed or self in self.network.silent):
            self.on_data(data)

    def abort(self):
        if not self.closed:
            self.closed = True
            self.on_close()


class LinkNetwork(FakeClock):
    """Connects listeners in memory, with simulated time."""

    def __init__(self):
        super().__init__()
        self.listeners = {}
        self.streams = []
        self.silent = set()
        self.frozen = set()

    def listen(self, address, on_accept):
        self.listeners[address] = on_accept
        return SimpleNamespace(address=address, close=lambda: None)

    def connect(self, address, timeout, on_open):
        near, far = PairedStream(self), PairedStream(self)
        near.other, far.other = far, near
        self.streams.append(near)

        def open_both():
            if address in self.frozen:
                self.silent |= {near, far}
            self.listeners[address](far)
            on_open(near)

        self.call_later(TRANSIT_SECONDS, open_both)

    def silence(self):
        for stream in self.streams:
            self.silent |= {stream, stream.other}


class TwoVms:
    """A VM that asks its leader, and the leader."""

    def __init__(self, delay=0.002):
        self.network = LinkNetwork()
        self.delay = delay
        # The leader answers nothing until then.
        self.still_until = 0.0
        self.answers = []
        self.vm = Peers(reactor=self.network, vm="vm", listen="vm:1")
        self.leader = Peers(reactor=self.network, vm="leader", listen=LEADER)
        self.leader.add_handler("factsAsk", self.answer)

    def answer(self, _message, reply):
        answer = new_envelope()
        answer.init("facts")
        wait = max(self.delay, self.still_until - self.network.now())
        self.network.call_later(wait, lambda: reply(answer))

    def ask(self, timeout, interval):
        """Ask once and let the time pass until the next question."""
        message = new_envelope()
        message.init("factsAsk")
        self.vm.ask(
            LEADER,
            message,
            timeout,
            lambda answer: self.answers.append(
                (self.network.now(), not isinstance(answer, PeerLost))
            ),
        )
        self.network.run_until(self.network.now() + interval)


class AnyRecords:
    """Accepts every record."""

    def apply(self, record):
        pass


class OtherVms:
    """A complete list of VMs."""

    def __init__(self, local_vm, *vms):
        self.local_vm = ListedVm(
            name=local_vm, address=local_vm, availability_zone="z", nonce="l"
        )
        self.vms = {vm.name: vm for vm in vms}

    def is_complete(self, now):
        return True

    def may_hold_proof(self, vm, now):
        return True

    def refresh(self, on_listed):
        on_listed(self.vms)


def make_releases(network, peers, *others):
    return ProofReleases(
        reactor=network,
        board=SessionBoard(vm=peers.vm, availability_zone="z"),
        peers=peers,
        registry=OtherVms(peers.vm, *others),
        records=AnyRecords(),
    )


@given("a leader that changes a primary, and a VM with which it had a link")
def given_change(context):
    context.vms = vms = TwoVms()
    vm = ListedVm(name="vm", address="vm:1", availability_zone="z", nonce="n")
    make_releases(vms.network, vms.vm)
    context.releases = make_releases(vms.network, vms.leader, vm)
    request_release(context)
    vms.network.run_until(1.0)
    assert context.released_at, "a link that works"


def request_release(context):
    network = context.vms.network
    context.asked_at = network.now()
    context.released_at = []
    change = PendingChange(term=2, vm="leader", nonce="n", cause="failed")
    record = PrimaryRecord(
        group="g", version=7, term=1, primary="m0", change=change
    )
    proofs = OutstandingProofs()

    def on_listed(lists, incomplete):
        proofs.lists, proofs.incomplete = lists, incomplete

    def on_released(vm):
        proofs.release(vm, network.now())
        if proofs.all_released:
            context.released_at.append(network.now())

    context.releases.request(
        record, lambda: not proofs.all_released, on_listed, on_released
    )


@when("that link goes silent and the leader asks for the release of proofs")
def when_silent_release(context):
    context.vms.network.silence()
    request_release(context)


@when("the VM answers nothing and the leader asks for the release of proofs")
def when_frozen_release(context):
    network = context.vms.network
    network.silence()
    network.frozen.add("vm:1")
    context.log_lines = []
    logs.configure(write=context.log_lines.append)
    try:
        request_release(context)
        network.run_until(network.now() + 3.0)
    finally:
        logs.configure()


@then("the VM has released its proof within {seconds:g} s")
def then_released(context, seconds):
    context.vms.network.run_until(context.asked_at + seconds)
    assert context.released_at


@then("no release is known after 3 s, and the log says so once")
def then_not_released(context):
    assert not context.released_at
    lines = [x for x in context.log_lines if "event=release_unanswered" in x]
    assert len(lines) == 1, context.log_lines


@then("a link that goes silent at any moment is replaced within {seconds:g} s")
def then_replaced(context, seconds):
    context.log_lines = []

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given_input(
        timeout=st.floats(0.05, 0.45),
        pause=st.floats(0.0, 0.2),
        before=st.integers(1, 8),
    )
    def check(timeout, pause, before):
        vms = TwoVms()
        interval = timeout + pause
        for _ in range(before):
            vms.ask(timeout, interval)
        vms.network.silence()
        silent_at = vms.network.now()
        while vms.network.now() < silent_at + seconds:
            vms.ask(timeout, interval)
        vms.answers.clear()
        vms.ask(timeout, interval)
        assert [good for _, good in vms.answers] == [True], vms.answers

    logs.configure(write=context.log_lines.append)
    try:
        check()
    finally:
        logs.configure()


@then("the log says that it was silent")
def then_logged(context):
    lines = [x for x in context.log_lines if "event=peer_link_silent" in x]
    assert lines and f"address={LEADER}" in lines[0], context.log_lines


@given("two VMs, of which one answers after {delay:d} ms")
def given_vms(context, delay):
    context.vms = TwoVms(delay / 1000)


@when("it is asked every {interval:d} ms for {timeout:d} ms, {count:d} times")
def when_asked(context, interval, timeout, count):
    for _ in range(count):
        context.vms.ask(timeout / 1000, interval / 1000)


@when("it stands still for {seconds:g} s while it is asked")
def when_still(context, seconds):
    vms = context.vms
    vms.still_until = vms.network.now() + seconds
    while vms.network.now() < vms.still_until:
        vms.ask(0.4, 0.6)


@then("one link was opened")
def then_one(context):
    assert len(context.vms.network.streams) == 1, context.vms.network.streams
