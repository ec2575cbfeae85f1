"""A replicated group of three hosts on a manual clock, with an in-memory transport."""

from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import anyio

from replication.line_list import LineList
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.disk import FolderDisk
from samphirespring.process.replication.group import ReplicatedGroup
from samphirespring.process.replication.group_messages import PeerMessage
from samphirespring.process.runtime import run_tasks
from samphirespring.process.timers import ManualTimerService

GROUP = GroupId("lines")
STEP_S = 0.05
SETTLE_S = 0.002
"""Real time for the disk writer threads in each step, in seconds; no result depends on it."""


class InMemoryTransport:
    def __init__(self, address, inboxes):
        self.address = address
        self.inboxes = inboxes

    def attach(self, group, inbox):
        self.inboxes[self.address] = inbox

    def send(self, address, envelope):
        self.inboxes[address].post(PeerMessage(envelope=envelope, sender_address=self.address))


class InMemoryCluster:
    def __init__(self, folder):
        self.timers = ManualTimerService()
        self.inboxes = {}
        self.groups = [self.make_group(number, folder) for number in range(3)]

    def make_group(self, number, folder):
        context = ReplicationContext(
            replica=ReplicaId(f"host-{number}"),
            link_address=f"host-{number}",
            peers={ReplicaId(f"host-{n}"): f"host-{n}" for n in range(3)},
            disk=FolderDisk(Path(folder) / f"host-{number}"),
            transport=InMemoryTransport(f"host-{number}", self.inboxes),
            timers=self.timers,
            random=Random(number),
            metrics=NullMetrics(),
        )
        return ReplicatedGroup(context=context, group=GROUP, state_machine=LineList())

    @asynccontextmanager
    async def serve(self):
        async with run_tasks(self.groups):
            yield self

    async def find_leader(self):
        with anyio.fail_after(30.0):
            while True:
                for group in self.groups:
                    if (await group.read_status()).has_lease:
                        return group
                self.timers.advance(STEP_S)
                await anyio.sleep(SETTLE_S)
