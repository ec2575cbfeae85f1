"""Replicated groups over loopback links inside one process."""

from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from replication.line_list import LineList
from samphirespring.connection.link_server import serve_link
from samphirespring.process.control_groups import ControlGroups
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import FailureDomainName, GroupId, HostId, RegionName, ReplicaId
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.replication.disk import FolderDisk
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.runtime import run_tasks
from samphirespring.process.settings import ControlSettings, LocalitySettings, ReplicaPeer
from samphirespring.process.timers import MonotonicTimerService


class FailingDisk(FolderDisk):
    """A data folder whose writes fail while `is_failed` is set."""

    is_failed = False

    def open_append(self, name):
        self.check(name)
        return super().open_append(name)

    def replace(self, name, data):
        self.check(name)
        super().replace(name, data)

    def list_names(self, folder):
        self.check(folder)
        return super().list_names(folder)

    def check(self, name):
        if self.is_failed:
            raise DiskFailedError(f"{name}: no space left on device")


class Host:
    """One control host whose groups replicate a `LineList` each."""

    def __init__(self, number, *, count, folder, port, groups, limits=None, timing=None):
        self.number = number
        locality = LocalitySettings(
            region=RegionName("r"),
            failure_domain=FailureDomainName(f"r-{number}"),
            host=HostId(f"host-{number}"),
        )
        peers = tuple(
            ReplicaPeer(replica=ReplicaId(f"host-{n}"), link_address=f"127.0.0.1:{port + n}")
            for n in range(count)
        )
        self.address = f"127.0.0.1:{port + number}"
        self.disk = FailingDisk(Path(folder) / f"host-{number}")
        self.groups = ControlGroups(
            ControlSettings(
                locality=locality,
                replica=ReplicaId(f"host-{number}"),
                link_listen=self.address,
                operator_listen="127.0.0.1:1",
                peers=peers,
                data_folder=str(Path(folder) / f"host-{number}"),
            ),
            timers=MonotonicTimerService(),
            metrics=NullMetrics(),
            limits=limits,
            timing=timing,
            disk=self.disk,
        )
        self.line_lists = [LineList() for _ in range(groups)]
        self.replicas = [
            self.groups.add(GroupId(f"lines-{n}"), line_list)
            for n, line_list in enumerate(self.line_lists)
        ]

    @asynccontextmanager
    async def serve(self):
        async with (
            serve_link(self.groups.make_handlers(), address=self.address),
            run_tasks(self.groups.tasks),
        ):
            yield self


async def find_leader(hosts, *, group=0, timeout_s=20.0):
    """Return the host that leads a group with a lease."""
    with anyio.fail_after(timeout_s):
        while True:
            for host in hosts:
                status = await host.replicas[group].read_status()
                if status.has_lease:
                    return host
            await anyio.sleep(0.02)


async def propose(hosts, command, *, group=0, timeout_s=20.0):
    """Commit a command on the leader; retry after an error."""
    with anyio.fail_after(timeout_s):
        while True:
            try:
                host = await find_leader(hosts, group=group)
                return await host.replicas[group].propose(command)
            except SamphireError:
                await anyio.sleep(0.05)
