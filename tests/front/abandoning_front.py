"""A front that leaves its attempts at an agent, whose target is a scripted backend server."""

from contextlib import asynccontextmanager

import anyio
import msgspec

from front.fakes import CountingMetrics, make_attempt_message
from front.scripted_backend import ScriptedBackend
from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import DuplexHandler, serve_link
from samphirespring.connection.local_attempts import LocalFirstSender
from samphirespring.process.action_guard import ActionGuard
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import Announcement, AnnounceTarget
from samphirespring.process.attempt_channels import AttemptChannels
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.mailbox import ask
from samphirespring.process.runtime import run_tasks
from samphirespring.process.targets import Locality
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.body import EMPTY_BODY

ADDRESS = "127.0.0.1:26421"
SLOTS = 2
LEASE_S = 60.0
DEADLINE_MS = 8_000
POLL_S = 0.02


class AbandoningFront:
    """Runs an agent with one target, and sends attempts to it over a channel or directly.

    Args:
        script: Writes the responses of the backend server.
        is_local: Whether the front is in the agent's process.
    """

    def __init__(self, script, *, is_local=False):
        self.backend = ScriptedBackend(script)
        self.is_local = is_local
        self.metrics = CountingMetrics()

    @asynccontextmanager
    async def serve(self):
        timers = MonotonicTimerService()
        locality = Locality(region="r", failure_domain="d", host="h")
        agent = Agent(
            locality=locality,
            link_address=ADDRESS,
            lease_s=LEASE_S,
            timers=timers,
            metrics=self.metrics,
        )
        guard = ActionGuard(incarnation=agent.incarnation, timers=timers)
        self.runner = AttemptRunner(agent=agent.inbox, guard=guard.inbox, timers=timers)
        server = AttemptChannelServer(self.runner, table=None)
        self.links = LinkPool(capacity=10)
        self.channels = AttemptChannels(self.links, timers=timers)
        self.sender = LocalFirstSender(
            own_address=ADDRESS if self.is_local else "", starter=self.runner, remote=self.channels
        )
        tasks = (agent, guard, self.runner, self.channels)
        async with self.backend.serve(), run_tasks(tasks):
            await anyio.wait_all_tasks_blocked()
            announcement = Announcement(service="s", address=self.backend.address, slots=SLOTS)
            await ask(
                agent.inbox,
                lambda reply: AnnounceTarget(target="t", announcement=announcement, reply=reply),
            )
            async with serve_link([DuplexHandler(RUN_ATTEMPTS, server.serve)], address=ADDRESS):
                yield
                self.links.close()

    def send(self, name, **members):
        """Return the context of an attempt."""
        request = make_attempt_message(attempt=name, remaining_ms=DEADLINE_MS, **members)
        request = msgspec.structs.replace(request, request=name)
        return self.sender.send(request, body=EMPTY_BODY, link_address=ADDRESS)

    async def wait_until_idle(self):
        """Wait until the agent runs no attempt."""
        while (await self.runner.dump()).running:
            await anyio.sleep(POLL_S)
