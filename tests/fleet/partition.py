"""Network partitions between control hosts, made by a TCP proxy in front of each link port."""

import asyncio
import threading
from contextlib import contextmanager, suppress

CHUNK_BYTES = 64 << 10
POLL_INTERVAL_S = 0.01


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
    """Forwards TCP connections and can hold back one direction of all connections to an address."""

    def cut_direction(self, address: str, *, toward: bool) -> None:
        """Hold back data sent toward an address, or data that comes back from it."""
        self._cut.add((address, str(toward)))

    def _make_pumps(self, client, server, receiver):
        return (
            self._pump(client[0], server[1], (receiver, str(True))),
            self._pump(server[0], client[1], (receiver, str(False))),
        )

    async def _pump(self, reader, writer, direction) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while direction in self._cut:
                    self.hold_count += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()
