"""Sends attempts to other hosts, over one channel to each."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from samphirespring.connection.attempt_link import LinkAttemptSender
from samphirespring.connection.channel_client import AttemptChannel
from samphirespring.connection.link_errors import MethodUnknownError
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.body import RequestBody
from samphirespring.request.messages import AttemptFrame, AttemptRequest

OLD_AGENT_SPAN_S = 30.0
"""How long an agent without channels gets its attempts one by one, in seconds; it may be replaced
by a newer version at any time."""


class AttemptChannelsDump(StateDump, frozen=True, kw_only=True):
    """State of the attempt channels."""

    channels: int
    agents_without_channels: int


class AttemptChannels(OwnerTask, AttemptSender):
    """Owns one child task for each channel; a channel that broke is opened again when needed.

    Args:
        links: Links to other processes.
        timers: The timer service.
    """

    def __init__(self, links: LinkPool, *, timers: TimerService) -> None:
        self._links = links
        self._timers = timers
        self._single = LinkAttemptSender(links)
        self._channels: dict[str, AttemptChannel] = {}
        self._old_agents_until_s: dict[str, float] = {}
        self._tasks: TaskGroup

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "attempt_channels"

    async def run(self) -> None:
        """Serve channels until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def dump(self) -> AttemptChannelsDump:
        """Return the state at one moment."""
        return AttemptChannelsDump(
            channels=len(self._channels), agents_without_channels=len(self._old_agents_until_s)
        )

    @asynccontextmanager
    async def send(
        self, request: AttemptRequest, *, body: RequestBody, link_address: str
    ) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Send an attempt and yield an iterator over its frames; leaving early cancels it."""
        if self._is_old_agent(link_address):
            async with self._single.send(request, body=body, link_address=link_address) as frames:
                yield frames
        else:
            async with self.find_channel(link_address).open(request, body) as frames:
                yield frames

    def _is_old_agent(self, address: str) -> bool:
        until_s = self._old_agents_until_s.get(address)
        if until_s is None:
            return False
        if until_s > self._timers.read_now_s():
            return True
        del self._old_agents_until_s[address]
        return False

    def find_channel(self, address: str) -> AttemptChannel:
        """Return the channel to a host; it is opened if there is none.

        Args:
            address: `IP:port` of the host's link server.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = AttemptChannel(address)
            self._tasks.start_soon(self._run_channel, channel)
        return channel

    async def _run_channel(self, channel: AttemptChannel) -> None:
        try:
            with self._links.use(channel.address) as link:
                await channel.run(link)
        finally:
            del self._channels[channel.address]
        if isinstance(channel.error, MethodUnknownError):
            until_s = self._timers.read_now_s() + OLD_AGENT_SPAN_S
            self._old_agents_until_s[channel.address] = until_s
