import anyio
from behave import given, then, when

from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.process.document.commands import (
    ChangeAccepted,
    DocumentReplaced,
    ReplaceDocument,
    RevisionConflict,
)
from samphirespring.process.document.errors import RevisionConflictError
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.session import OperatorSession
from samphirespring.process.replication.state_machine import NoQuorumError, Proposer
from samphirespring.version.access import AccessSection

COMMIT_S = 0.02
NEWEST_REVISION = 7


class ScriptedLeader(Proposer):
    """Commits each change after a time, and confirms its leadership with an outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.commits = 0

    async def propose(self, command):
        await anyio.sleep(COMMIT_S)
        if not isinstance(command, ReplaceDocument):
            self.commits += 1
            return ChangeAccepted(section="s", version=1, change_id="c")
        if command.base != NEWEST_REVISION:
            return RevisionConflict(newest=NEWEST_REVISION)
        self.commits += 1
        return DocumentReplaced(revision=command.revision)

    async def confirm_leadership(self, *, by_heartbeat_round=False):
        assert by_heartbeat_round
        if self.outcome.startswith("takes"):
            await anyio.sleep(float(self.outcome.split()[1]))
        elif self.outcome == "never ends":
            await anyio.sleep_forever()
        else:
            raise NoQuorumError("no quorum replies")

    async def read(self, view):
        return view()


@given("a leader whose round of heartbeats to a quorum {outcome}")
def step_make_leader(context, outcome):
    context.leader = ScriptedLeader(outcome)


async def change(service, change):
    if change == "changes a section":
        session = OperatorSession(team="t", access=AccessSection())
        await service.change("s", session, base_version=0, change_id="c", text=b"{}")
        return
    base = 1 if change.endswith("on an outdated base") else NEWEST_REVISION
    await service.replace(base=base, revision=8, submitted=b"{}", sections={})


@when("a change arrives that {what}")
def step_change(context, what):
    async def main():
        timers = VirtualTimerService()
        service = DocumentService(state_machine=None, proposer=context.leader, timers=timers)
        context.error = None
        try:
            await change(service, what)
        except RevisionConflictError as error:
            context.error = error
        context.took_s = timers.read_now_s()

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


@then("the change is accepted {after_s:g} s after it was committed")
def step_check_accepted(context, after_s):
    assert context.error is None and context.leader.commits == 1, context.error
    assert abs(context.took_s - COMMIT_S - after_s) < 0.01, context.took_s


@then("the change is refused {after_s:g} s after it was proposed")
def step_check_refused(context, after_s):
    assert context.error is not None and context.leader.commits == 0
    assert abs(context.took_s - COMMIT_S - after_s) < 0.01, context.took_s
