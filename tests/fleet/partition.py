"""Network partitions between control hosts, made by a TCP proxy in front of each link port."""

import asyncio
import os
import threading
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

CHUNK_BYTES = 64 << 10
POLL_INTERVAL_S = 0.01

LOCAL_ADDRESS_COLUMN = 1
INODE_COLUMN = 9
"""Columns of `/proc/PID/net/tcp`."""


class Partition:
    """Forwards TCP connections to control hosts and can hold back data from one host to another.

    Each batch of a replica starts with the replica's own address, which identifies the sender of a
    connection. Data that was held back is delivered once the partition is healed, as TCP
    retransmission does after a real partition.

    Args:
        targets: Real `IP:port` of each host, by the `IP:port` at which the other hosts reach it.
    """

    def __init__(self, targets: dict[str, str]) -> None:
        self._targets = targets
        self._cut: set[tuple[str, str]] = set()
        self.hold_count = 0
        """Number of polls at which data was held back."""

    def cut(self, sender: str, receiver: str) -> None:
        """Hold back data that one host sends to another."""
        self._cut.add((sender, receiver))

    def heal(self) -> None:
        """Deliver all data again, including what was held back."""
        self._cut.clear()

    @contextmanager
    def serve(self):
        """Forward connections on a separate thread while the context is open."""
        loop = asyncio.new_event_loop()
        ready = threading.Event()
        stop = asyncio.Event()
        thread = threading.Thread(target=loop.run_until_complete, args=(self._run(ready, stop),))
        thread.start()
        try:
            if not ready.wait(timeout=30.0):
                raise TimeoutError("the forwarders did not start")
            yield self
        finally:
            loop.call_soon_threadsafe(stop.set)
            thread.join()
            loop.close()

    async def _run(self, ready: threading.Event, stop: asyncio.Event) -> None:
        servers = []
        for address in self._targets:
            host, _, port = address.rpartition(":")
            server = await asyncio.start_server(
                lambda r, w, a=address: self._forward(r, w, a), host, int(port)
            )
            servers.append(server)
        ready.set()
        await stop.wait()
        for server in servers:
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _forward(self, reader, writer, receiver: str) -> None:
        host, _, port = self._targets[receiver].rpartition(":")
        with suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            pumps = [
                asyncio.ensure_future(pump)
                for pump in self._make_pumps(
                    (reader, writer), (target_reader, target_writer), receiver
                )
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                target_writer.close()
        writer.close()

    def _make_pumps(self, client, server, receiver):
        connection = _Connection(self, receiver)
        return (
            connection.pump(client[0], server[1], identify_sender=True),
            connection.pump(server[0], client[1], identify_sender=False),
        )

    def find_sender(self, data: bytes) -> str | None:
        """Return the host whose address occurs first in the data, or None."""
        positions = {address: data.find(address.encode()) for address in self._targets}
        by_position = {
            position: address for address, position in positions.items() if position >= 0
        }
        return by_position[min(by_position)] if by_position else None

    def is_cut(self, sender: str | None, receiver: str) -> bool:
        """Return whether data that one host sends to another is held back."""
        return (sender, receiver) in self._cut


class _Connection:
    def __init__(self, partition: Partition, receiver: str) -> None:
        self._partition = partition
        self._receiver = receiver
        self._sender: str | None = None
        self._head = b""

    async def pump(self, reader, writer, *, identify_sender: bool) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if identify_sender and self._sender is None:
                    self._head = (self._head + data)[-CHUNK_BYTES:]
                    self._sender = self._partition.find_sender(self._head)
                while self._partition.is_cut(self._sender, self._receiver):
                    self._partition.hold_count += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()


class OneWayPartition(Partition):
    """Forwards TCP connections and can hold back one direction of connections to an address."""

    def cut_direction(self, address: str, *, toward: bool, opened_by: int | None = None) -> None:
        """Hold back data sent toward an address, or data that comes back from it.

        Args:
            address: Address of the forwarder.
            toward: Whether to hold back data toward the address; otherwise data from it.
            opened_by: Id of the process whose connections are cut; None cuts those of all.
        """
        self._cut.add((address, _CutDirection(toward=toward, opened_by=opened_by)))

    def _make_pumps(self, client, server, receiver):
        opener_port = client[1].get_extra_info("peername")[1]
        connection = _OneWayConnection(self, receiver, opener_port)
        return (
            connection.pump(client[0], server[1], toward=True),
            connection.pump(server[0], client[1], toward=False),
        )

    def list_cuts(self, address: str, *, toward: bool) -> list[int | None]:
        """Return the processes whose connections to an address are cut; None stands for all.

        Args:
            address: Address of the forwarder.
            toward: The direction.
        """
        return [
            direction.opened_by
            for cut_address, direction in self._cut
            if cut_address == address and direction.toward is toward
        ]


@dataclass(frozen=True, kw_only=True)
class _CutDirection:
    toward: bool
    opened_by: int | None


class _OneWayConnection:
    def __init__(self, partition: OneWayPartition, receiver: str, opener_port: int) -> None:
        self._partition = partition
        self._receiver = receiver
        self._opener_port = opener_port
        self._is_owner: dict[int, bool] = {}

    async def pump(self, reader, writer, *, toward: bool) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self._is_cut(toward=toward):
                    self._partition.hold_count += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()

    def _is_cut(self, *, toward: bool) -> bool:
        cuts = self._partition.list_cuts(self._receiver, toward=toward)
        return any(process is None or self._is_opened_by(process) for process in cuts)

    def _is_opened_by(self, process: int) -> bool:
        if process not in self._is_owner:
            self._is_owner[process] = owns_port(process, self._opener_port)
        return self._is_owner[process]


def owns_port(process: int, port: int) -> bool:
    """Return whether a process holds the socket that is bound to a TCP port.

    Args:
        process: Id of the process.
        port: Local port of the socket.
    """
    folder = Path(f"/proc/{process}")
    rows = (line.split() for line in (folder / "net/tcp").read_text().splitlines()[1:])
    sockets = {
        f"socket:[{row[INODE_COLUMN]}]"
        for row in rows
        if int(row[LOCAL_ADDRESS_COLUMN].rpartition(":")[2], 16) == port
    }
    for descriptor in (folder / "fd").iterdir():
        # A descriptor may be closed while the folder is read.
        with suppress(OSError):
            if os.readlink(descriptor) in sockets:
                return True
    return False
