"""Steps for the shutdown of VMs with sessions."""

from __future__ import annotations

import asyncio
from collections import Counter
import random
import time

from behave import given
from behave import then
from behave import when

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Reason
from bamboospring.platform.caller_server import parse_statement
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.ports import Served
from bamboospring.sessions.session_opening import judge_opening
from bamboospring.sessions.stop_plan import plan_stop
from bamboospring.testing.session_members import MemberSettings
from features.steps.session_stage import SessionFleetRun
from features.steps.session_texts_steps import given_session
from features.steps.session_texts_steps import outcome_text
from features.steps.stop_worlds import explore_stops

DATABASE = "group0-primary"
TIMEOUT_MS = 20_000


@then(
    "in {count:d} explored shutdowns every statement is answered and none"
    " begins late"
)
def then_explored(context, count):
    context.seen, wrong = explore_stops(count)
    assert context.seen["exits"] == count, context.seen
    assert not wrong, "\n".join(wrong[:5])


@then("the explored shutdowns paused, refused, crossed and interrupted")
def then_reached(context):
    for kind in ("paused", "opening_refused", "crossed", "interrupted"):
        assert context.seen[kind] >= 30, context.seen


@given(
    "a session at a VM that was told to stop {elapsed:f} s ago of {grace:d}"
)
def given_stopping(context, elapsed, grace):
    given_session(context)
    context.board.stop_plan = plan_stop(
        started_at=context.reactor.now() - elapsed, grace=float(grace)
    )


@then("its answer is {word}")
def then_first_answer(context, word):
    answer = context.channel.answers[context.sent_before]
    assert outcome_text(answer.outcome) == word, answer
    assert answer.state.value == "idle", answer


@when("READ a, which takes {seconds:f} s, is asked of it")
def when_slow(context, seconds):
    executor, reactor = context.executor, context.reactor

    def run(session, job, tx, on_complete):
        if tx is not None:
            tx.leased = object()
        served = Served(rows=[], signature="s", target="t")
        reactor.call_later(seconds, lambda: on_complete(served, None))

    executor.run = run
    context.session.submit("id", parse_statement("READ a"))
    reactor.move(seconds)


@then("it is served and then told to go")
def then_served_and_told(context):
    answer, notice = context.channel.answers
    assert outcome_text(answer.outcome) == "served", answer
    assert outcome_text(notice) == "not_run draining", notice


@then("it is refused as draining and told to go")
def then_refused_and_told(context):
    answer, notice = context.channel.answers[-2:]
    assert outcome_text(answer.outcome) == "not_run draining", answer
    assert outcome_text(notice) == "not_run draining", notice


@when("READ a and WRITE a 1 that were in transit arrive")
def when_two_cross(context):
    for text in ("READ a", "WRITE a 1"):
        assert not context.channel.closed
        context.session.submit("id", parse_statement(text))
    context.reactor.move(0)


@then("both are refused and the connection is closed")
def then_both_refused(context):
    _notice, state, answer = context.channel.answers
    assert state.value == "idle", state
    assert outcome_text(answer.outcome) == "not_run draining", answer
    assert context.channel.closed and not context.executor.jobs


@then("a new session is {how}")
def then_new_session(context, how):
    context.board.group("g").record = PrimaryRecord(
        group="g", version=1, term=1, primary="t"
    )
    now = context.reactor.now()
    verdict = judge_opening(
        context.board, "d", "", now=now, running=60.0, held=0.0
    )
    expected = None
    if how == "refused as draining":
        expected = NotRun(reason=Reason.DRAINING)
    assert verdict == expected, verdict


# Real VMs.


class BusyCaller:
    """Sends one statement after the other, without pauses, to one VM."""

    def __init__(self, number, address, counts, lost):
        self.rng = random.Random(f"busy/{number}")
        self.host, _, self.port = address.rpartition(":")
        self.counts = counts
        self.lost = lost
        self.reader = self.writer = None

    async def run(self):
        """Run sessions until the process accepts no more connections."""
        while True:
            try:
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, int(self.port)
                )
            except OSError:
                return
            try:
                self.writer.write(f"OPEN {DATABASE} c\r\n".encode())
                line = await self.reader.readuntil(b"\r\n")
                self.counts[f"open:{line.split()[0].decode()}"] += 1
                while line.startswith(b"READY") and await self._operate():
                    pass
            except (OSError, asyncio.IncompleteReadError):
                self.counts["ended"] += 1
            finally:
                self.writer.close()

    async def _operate(self):
        """Run one operation; return whether the session can go on."""
        if self.rng.random() < 0.5:
            return await self.ask(self._statement())
        texts = [self._statement() for _ in range(self.rng.randint(1, 4))]
        for text in ("BEGIN", *texts, "COMMIT"):
            if not await self.ask(text):
                return False
        return True

    def _statement(self):
        item = self.rng.randrange(40)
        return self.rng.choice((f"READ i{item}", f"WRITE i{item} d"))

    async def ask(self, text):
        """Send a statement; return whether it was served."""
        id = f"{random.getrandbits(64):016x}"
        sent_at = time.monotonic()
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        code = "ok"
        try:
            while True:
                line = await self.reader.readuntil(b"\r\n")
                words = line.decode("latin-1").split()
                if words[0] == "ERROR":
                    code = words[1]
                if words[0] == "READY":
                    break
        except (OSError, asyncio.IncompleteReadError):
            held = time.monotonic() - sent_at
            self.lost.append(f"{id} {text}: {code} after {held:.3f} s")
            raise
        self.counts[code] += 1
        return code == "ok"


class Unchecked:
    """Observes members without checking what they run."""

    def __getattr__(self, name):
        return lambda *args: None


@when("{count:d} busy callers use {vm} until it has stopped")
def when_busy(context, count, vm):
    stage = context.stage
    context.counts, context.lost = Counter(), []
    for group in stage.fleet.groups.values():
        group.observer = Unchecked()

    async def use():
        process = stage.fleet.vms[vm].process
        address = stage.fleet.vms[vm].callers
        callers = [
            BusyCaller(number, address, context.counts, context.lost)
            for number in range(count)
        ]
        work = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(1.0)
        process.terminate()
        await asyncio.wait_for(asyncio.gather(*work), 20)

    stage.call(use())


@then("each of their statements was answered")
def then_answered(context):
    assert not context.lost, context.lost[:5]
    assert context.counts["ok"] >= 100, context.counts
    assert context.counts["BUSY"] >= 1, context.counts


@given("an estate with {vms:d} VM and {groups:d} group of one slot a member")
def given_narrow_estate(context, vms, groups):
    context.stage = SessionFleetRun(
        vms,
        groups,
        settings=MemberSettings(slots=1),
        timeout_ms=TIMEOUT_MS,
    )
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@when("vm0 is told to stop with statements that outlast its grace time")
def when_outlasting(context):
    stage = context.stage
    context.counts, context.lost = Counter(), []
    for group in stage.fleet.groups.values():
        group.observer = Unchecked()

    async def ask_one(text):
        caller = BusyCaller(0, stage.fleet.vms["vm0"].callers, Counter(), [])
        caller.reader, caller.writer = await asyncio.open_connection(
            caller.host, int(caller.port)
        )
        caller.writer.write(f"OPEN {DATABASE} c\r\n".encode())
        await caller.reader.readuntil(b"\r\n")
        try:
            await caller.ask(text)
        except (OSError, asyncio.IncompleteReadError):
            context.lost.append(text)
        caller.writer.close()
        return text, *caller.counts

    async def stop():
        texts = ("WRITE a 1", "WRITE b 1", "WRITE c 1", "READ a", "READ b")
        stage.fleet.vms["vm0"].process.terminate()
        await asyncio.sleep(0.5)
        for member in stage.fleet.members():
            member.statement_seconds = 8.0
        work = []
        for text in texts:
            work.append(asyncio.create_task(ask_one(text)))
            await asyncio.sleep(0.03)
        return dict(await asyncio.wait_for(asyncio.gather(*work), 20))

    context.told = stage.call(stop())


@then("the write that was sent is told as unknown")
def then_unknown(context):
    assert not context.lost, context.lost
    assert context.told["WRITE a 1"] == "INDOUBT", context.told


@then("all other statements are told that they have not run")
def then_not_run(context):
    others = {k: v for k, v in context.told.items() if k != "WRITE a 1"}
    assert len(others) == 4, context.told
    assert set(others.values()) == {"BUSY"}, context.told
