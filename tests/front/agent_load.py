"""An agent with one overloaded target, in virtual time."""

from collections import Counter

import anyio

from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.process.agent.admission_queue import Admission
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import (
    AdmitAttempt,
    Announcement,
    AnnounceTarget,
    FinishAttempt,
    UsePolicies,
)
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.states import TargetPhase
from samphirespring.process.targets import Locality
from samphirespring.request.messages import AttemptRequest
from samphirespring.version.document import ResponseCheck, ServicePolicy
from samphirespring.version.states import PriorityClass

LOCALITY = Locality(region="r", failure_domain="r-a", host="h")


class LoadedAgent:
    """Sends attempts to an agent, and counts admissions and refusals by priority class."""

    def __init__(self, *, slots, service_s, announced_slots=None, terms=None, policy=None):
        self.timers = VirtualTimerService()
        self.slots = slots
        self.announced_slots = announced_slots
        self.service_s = service_s
        self.terms = terms
        self.policy = policy or ServicePolicy(slots=slots)
        self.admitted = Counter()
        self.refused = Counter()
        self.running = 0
        self.most_running = 0
        self.longest_wait_s = 0.0

    def run(self, main):
        """Run a coroutine function beside the agent."""

        async def run_main():
            self.agent = make_agent(self.timers)
            async with anyio.create_task_group() as group:
                group.start_soon(self.agent.run)
                self.agent.inbox.post(UsePolicies(version=1, services={"s": self.policy}))
                await self.announce()
                await main()
                group.cancel_scope.cancel()

        anyio.run(run_main, backend_options={"loop_factory": VirtualLoop})

    async def announce(self, *, slots=None, phase=TargetPhase.SERVING):
        """Announce the only target."""
        announcement = Announcement(
            service="s",
            address="127.0.0.1:1",
            slots=self.announced_slots if slots is None else slots,
            phase=phase,
        )
        await ask(
            self.agent.inbox,
            lambda reply: AnnounceTarget(target="t", announcement=announcement, reply=reply),
        )

    async def send(self, priority, *, service="s", remaining_ms=1_000, run_s=None, **fields):
        """Send one attempt, run it if it is admitted, and return the agent's reply."""
        request = make_attempt(priority, service=service, remaining_ms=remaining_ms, **fields)
        sent_at_s = self.timers.read_now_s()
        result = await ask(
            self.agent.inbox, lambda reply: AdmitAttempt(request=request, reply=reply)
        )
        self.longest_wait_s = max(self.longest_wait_s, self.timers.read_now_s() - sent_at_s)
        if not isinstance(result, Admission):
            self.refused[(priority, result.code)] += 1
            return result
        self.admitted[priority] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await anyio.sleep(self.service_s if run_s is None else run_s)
        self.running -= 1
        await ask(self.agent.inbox, lambda reply: self.make_finish_message(request, reply))
        return result

    def make_finish_message(self, request, reply):
        """Return the message that releases a slot."""
        return FinishAttempt(
            target="t",
            attempt=request.attempt,
            latency_s=self.service_s,
            outcome=None,
            terms=self.terms,
            reply=reply,
        )

    async def send_steadily(self, classes, *, rate, duration_s):
        """Send attempts of the classes in turn at a steady rate."""
        count = round(rate * duration_s)
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(self.send, classes[number % len(classes)])
                await anyio.sleep(1 / rate)


def make_agent(timers):
    """Return an agent without targets."""
    return Agent(
        locality=LOCALITY,
        link_address="127.0.0.1:2",
        lease_s=1e6,
        timers=timers,
        metrics=NullMetrics(),
    )


def make_attempt(priority, *, service, remaining_ms, **fields):
    """Return an attempt for the only target, with further fields of the message."""
    return AttemptRequest(
        request="r",
        attempt=fields.pop("attempt", "a"),
        target="t",
        service=service,
        document_version=1,
        method=b"GET",
        path=b"/",
        headers=(),
        body=b"",
        remaining_ms=remaining_ms,
        priority=priority,
        idempotent=priority is not PriorityClass.ACTION,
        answer=ResponseCheck(),
        **fields,
    )
