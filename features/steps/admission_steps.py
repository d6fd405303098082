"""Steps on admission, retry budgets and circuit breakers."""

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.admission import Admission
from bamboospring.admission import SlotGranted
from bamboospring.admission import SlotQueued
from bamboospring.admission import SlotRefused
from bamboospring.admission import Ticket
from bamboospring.breaker import Breaker
from bamboospring.breaker import Circuit
from bamboospring.retry_budget import RetryBudget

CALLERS = ("one", "two", "three")
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["submit"] * 7 + ["finish", "expire", "slots"]),
        st.sampled_from(CALLERS),
        st.integers(1, 200),
    ),
    min_size=30,
    max_size=150,
)


class Load:
    """An `Admission`, its running tickets and the result of each ticket."""

    def __init__(self, slots, queue_limit):
        self.admission = Admission(slots=slots, queue_limit=queue_limit)
        self.now = 0.0
        self.order = []
        self.results = {}
        self.running = []
        self.count = 0

    def submit(self, caller, remaining_ms):
        self.count += 1
        ticket = Ticket(
            caller=caller,
            deadline=self.now + remaining_ms / 1000,
            item=self.count,
        )
        self.apply(self.admission.submit(ticket, self.now))

    def apply(self, decisions):
        for decision in decisions:
            number = decision.ticket.item
            match decision:
                case SlotGranted():
                    self.running.append(decision.ticket)
                    self.order.append(decision.ticket.caller)
                    self.record_result(number, "run")
                case SlotRefused():
                    self.record_result(number, decision)
                case SlotQueued():
                    assert number not in self.results

    def record_result(self, number, result):
        assert number not in self.results, "two results for one statement"
        self.results[number] = result

    def finish(self, seconds):
        self.now += seconds
        if self.running:
            ticket = self.running.pop(0)
            self.admission.release(ticket, seconds)
        self.apply(self.admission.grant_next(self.now))

    def drain(self, seconds):
        while self.running or self.admission.waiting:
            self.finish(seconds)

    def refusals(self):
        results = self.results.values()
        return [
            result for result in results if isinstance(result, SlotRefused)
        ]


def replay(events):
    load = Load(2, 8)
    slots = 2
    for kind, caller, number in events:
        match kind:
            case "submit":
                load.submit(caller, number)
            case "finish":
                load.finish(number / 10000)
            case "expire":
                load.now += number / 10000
                load.apply(load.admission.expire(load.now))
            case "slots":
                slots = load.admission.slots = number % 4
                load.apply(load.admission.grant_next(load.now))
        yield load, slots
    load.admission.slots = 1
    load.drain(0.01)
    yield load, 1


def explore(check):
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @for_all(EVENTS)
    def run(events):
        check(events)

    run()


@then("no explored load exceeds the slots or the queue")
def step_bounds(context):
    def check(events):
        running = 0
        for load, slots in replay(events):
            assert load.admission.waiting <= 8
            assert load.admission.running == len(load.running)
            # After the share shrinks, running tickets finish and none starts.
            assert len(load.running) <= max(slots, running)
            running = len(load.running)

    explore(check)


@then("no explored load loses a statement or answers it twice")
def step_whole(context):
    def check(events):
        for load, _ in replay(events):
            pass
        assert set(load.results) == set(range(1, load.count + 1))
        assert not load.admission._usages

    explore(check)


@given("an admission with {slots:d} slot and room for {room:d}")
def step_admission(context, slots, room):
    context.load = Load(slots, room)


@given("its statements take {milliseconds:d} ms")
def step_estimate(context, milliseconds):
    context.load.admission.estimate = milliseconds / 1000


@when("caller {name} asks for {count:d} statements with {left:d} ms left")
def step_ask(context, name, count, left):
    for _ in range(count):
        context.load.submit(name, left)


@then("caller {name} runs after at most {count:d} others")
def step_runs_soon(context, name, count):
    load = context.load
    before = len(load.order)
    load.drain(0.001)
    assert load.order[before:].index(name) <= count, load.order[:20]


@then("the refusals of caller {name} were immediate and say when to retry")
def step_refused(context, name):
    refusals = context.load.refusals()
    assert len(refusals) >= 500 - 64, len(refusals)
    for refusal in refusals:
        assert refusal.ticket.caller == name
        assert refusal.outcome.retry_after_ms > 0


@then("caller {name} was refused at once because of {reason}")
def step_refused_at_once(context, name, reason):
    (refusal,) = context.load.refusals()
    assert refusal.ticket.caller == name
    assert refusal.outcome.reason.value == reason


@then("the slot is given to {names}")
def step_order(context, names):
    context.load.drain(0.001)
    assert context.load.order == names.split(", then "), context.load.order


@then("{count:d} first tries at {percent:d} percent pay for {paid:d} retries")
def step_budget(context, count, percent, paid):
    budget = RetryBudget(percent=percent, reserve=20.0)
    retries = 0
    for _ in range(count):
        budget.record_first_attempt()
        retries += budget.spend_retry()
    assert abs(retries - paid) <= 1, retries
    assert not budget.spend_retry()


@given("a circuit that has failed {count:d} times")
def step_breaker(context, count):
    context.breaker = Breaker()
    for _ in range(count):
        assert context.breaker.allow_open(0.0)
        context.breaker.record_failure(0.0, draw=0.5)


@then("it is open and lets one trial through after its pause")
def step_trial(context):
    breaker = context.breaker
    assert breaker.circuit is Circuit.OPEN
    assert not breaker.allow_open(breaker.retry_at - 0.001)
    assert breaker.allow_open(breaker.retry_at)
    assert not breaker.allow_open(breaker.retry_at)


@when("the trial succeeds")
def step_trial_succeeds(context):
    context.breaker.record_success(10.0)


@then("{share:d} slots become {first:d} at first and {last:d} after {what}")
def step_slow_start(context, share, first, last, what):
    breaker = context.breaker
    assert breaker.allowed_slots(share, 10.0) == first, breaker.allowed_slots(
        share, 10.0
    )
    end = 10.0 + breaker.timing.slow_start_duration
    assert breaker.allowed_slots(share, end) == last
