import anyio
from behave import given, then, when

from features.steps.scheduling_steps import SETTLE_S, TERMS
from front.fakes import make_attempt_message
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.agent.admission_queue import Admission
from samphirespring.process.agent.agent_messages import AdmitAttempt, FinishAttempt
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.path_prober import PathProber
from samphirespring.process.queued_frames import QueuedFrames
from samphirespring.process.target_table_messages import ProbePath, ReleaseTarget, UpdatePath
from samphirespring.process.timers import MonotonicTimerService

TIMEOUT_S = 10.0
UNREACHABLE_ADDRESS = "127.0.0.1:1"


def fill(mailbox):
    """Post messages without effect until the inbox is full."""
    try:
        while True:
            mailbox.post(ReleaseTarget(target="none"))
    except InboxFullError:
        return


def find_messages(mailbox, message_type):
    return [message for message in mailbox.receive_waiting() if isinstance(message, message_type)]


@when("a front selects {count:d} targets, and {end} while the inbox of the host's table is full")
def step_end_while_full(context, count, end):
    async def before(scheduling):
        source, links = await scheduling.start_front("earlier")
        async with anyio.create_task_group() as group:
            selections = [source.select(TERMS) for _ in range(count)]
            selected = [(await s.__aenter__()).candidate.target for s in selections]
            assert len(set(selected)) == count, selected
            scheduling.table_scope.cancel()
            await anyio.wait_all_tasks_blocked()
            fill(scheduling.table.inbox)
            if end == "its channel ends":
                links.close()
            for selection in reversed(selections):
                await selection.__aexit__(None, None, None)
            await anyio.sleep(SETTLE_S)
            group.cancel_scope.cancel()
        scheduling.group.start_soon(scheduling.run_table)
        await anyio.sleep(SETTLE_S)

    context.before = before


class RunnerWithFullAgent:
    """An attempt runner, and an agent that reads its inbox only when the test does."""

    def __init__(self):
        self.timers = MonotonicTimerService()
        self.agent = Mailbox(name="agent", capacity=1)
        self.runner = AttemptRunner(
            agent=self.agent, guard=Mailbox(name="guard", capacity=1), timers=self.timers
        )
        self.admits = False

    async def start_attempt(self):
        """Return the frames of an attempt; its agent admits it if `admits` is set."""
        queue = QueuedFrames()
        message = make_attempt_message(attempt="a", idempotent=True, remaining_ms=1_000)
        self.runner.start(message, body=None, sink=queue)
        if self.admits:
            while not (admissions := find_messages(self.agent, AdmitAttempt)):
                await anyio.sleep(0.01)
            fill(self.agent)
            admissions[0].reply.send(Admission(address=UNREACHABLE_ADDRESS))
            await anyio.sleep(SETTLE_S)
            return ()
        return [frame async for batch in queue.iterate() for frame in batch.frames]


@given("an attempt runner whose agent has a full inbox")
def step_make_runner(context):
    context.case = RunnerWithFullAgent()
    fill(context.case.agent)


@given("an attempt runner whose agent has a full inbox once it has admitted the attempt")
def step_make_admitting_runner(context):
    context.case = RunnerWithFullAgent()
    context.case.admits = True


@when("an attempt is started")
def step_start_attempt(context):
    case = context.case

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(case.runner.run)
                context.frames = await case.start_attempt()
                context.runs = not group.cancel_scope.cancel_called
                context.ends = find_messages(case.agent, FinishAttempt)
                group.cancel_scope.cancel()

    anyio.run(main)


@then('it is refused as "{code}", and the runner goes on')
def step_check_refused(context, code):
    (refusal,) = context.frames
    assert refusal.code.value == code and context.runs, (refusal, context.runs)


@then("the agent hears of its end, and the runner goes on")
def step_check_end(context):
    assert len(context.ends) == 1 and context.runs, (context.ends, context.runs)


@given("a path prober whose table has a full inbox")
def step_make_prober(context):
    context.table_inbox = Mailbox(name="target_table", capacity=1)
    fill(context.table_inbox)


@when("it probes a host that can't be reached")
def step_probe(context):
    inbox = Mailbox(name="path_prober", capacity=1)
    inbox.post(ProbePath(host="h", link_address=UNREACHABLE_ADDRESS))
    prober = PathProber(
        inbox=inbox,
        table=context.table_inbox,
        links=LinkPool(capacity=1),
        timers=MonotonicTimerService(),
        metrics=NullMetrics(),
    )

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(prober.run)
                await anyio.sleep(SETTLE_S)
                context.runs = not group.cancel_scope.cancel_called
                group.cancel_scope.cancel()

    anyio.run(main)


@then("the table hears of the lost path, and the prober goes on")
def step_check_path(context):
    (update,) = find_messages(context.table_inbox, UpdatePath)
    assert not update.reached and context.runs, (update, context.runs)
