"""Key keepers of several hosts, their relays and the control hosts, in virtual time."""

from collections import defaultdict
from contextlib import contextmanager

import anyio

from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.connection.confirmation_link import DocumentConfirmation
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.relay_tree import Peer, choose_confirming_relays
from samphirespring.process.keys.confirmers import ConfirmerChooser
from samphirespring.process.keys.keeper import KeyKeeper, UseKeys
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metrics import NullMetrics

DOMAIN = "d"
CONTROL = ("c0", "c1", "c2")
CONTROL_LATENCY_S = 0.02
LOCAL_LATENCY_S = 0.001
ROUND_S = 0.35
"""Longest time for which the leader collects requests, with its round."""

SAMPLE_S = 0.05


class KeyWorld:
    """Hosts of one failure domain with one document, and the control hosts.

    Args:
        compiled: The document of all hosts.
        host_count: Number of hosts.
    """

    def __init__(self, compiled, host_count):
        self.compiled = compiled
        self.timers = VirtualTimerService()
        self.leader = CONTROL[0]
        self.asks = 0
        self.leader_asks = 0
        self.control_latency_s = CONTROL_LATENCY_S
        self.timeouts = 0
        """Calls that were given up."""

        self.cuts = set()
        """Pairs of addresses between which nothing is delivered, in either direction."""

        self.peers = tuple(
            Peer(host=f"h{number}", link_address=f"h{number}") for number in range(host_count)
        )
        self.relays = choose_confirming_relays(self.peers, domain=DOMAIN, own_host="").relays
        """The relay, and the host that the others ask in case that it fails."""

        self.keepers = {peer.host: self._make_keeper(peer.host) for peer in self.peers}
        self.samples = defaultdict(list)
        """Per host: pairs of a time and whether keys could be used then."""

    @property
    def relay_hosts(self):
        return [peer.host for peer in self.relays]

    def cut(self, host, others):
        """Cut a host off from others."""
        self.cuts.update(frozenset((host, other)) for other in others)

    def run(self, main):
        """Run a coroutine function beside the hosts."""

        async def run_main():
            async with anyio.create_task_group() as group:
                for keeper in self.keepers.values():
                    group.start_soon(keeper.run)
                    group.start_soon(self._answer_table, keeper.table_inbox)
                    keeper.inbox.post(UseKeys(compiled=self.compiled))
                group.start_soon(self._sample)
                await main()
                group.cancel_scope.cancel()

        anyio.run(run_main, backend_options={"loop_factory": VirtualLoop})

    def _make_keeper(self, host):
        links = _Links(self, host)
        table = Mailbox(name="table", capacity=100)
        keeper = KeyKeeper(
            chooser=ConfirmerChooser(domain=DOMAIN, own_host=host),
            domain=DOMAIN,
            control=ControlClient(links, CONTROL),
            links=links,
            table=table,
            timers=self.timers,
            metrics=NullMetrics(),
        )
        keeper.table_inbox = table
        return keeper

    async def _answer_table(self, inbox):
        while True:
            (await inbox.receive()).reply.send(self.peers)

    async def _sample(self):
        while True:
            await anyio.sleep(SAMPLE_S)
            for host, keeper in self.keepers.items():
                self.samples[host].append((self.timers.read_now_s(), keeper.may_use_keys()))

    async def answer(self, address, request):
        """Return what a process replies to a request for a confirmation."""
        self.asks += 1
        if address not in CONTROL:
            return await self.keepers[address].confirm(request)
        if self.leader is None:
            await anyio.sleep_forever()
        if address != self.leader:
            return DocumentConfirmation(leader_link=self.leader)
        self.leader_asks += 1
        await anyio.sleep(ROUND_S)
        return DocumentConfirmation(stamp=self.compiled.stamp, age_s=0.0)


class _Links:
    def __init__(self, world, host):
        self._world = world
        self._host = host

    @contextmanager
    def use(self, address):
        yield _Link(self._world, self._host, address)


class _Link:
    def __init__(self, world, host, address):
        self._world = world
        self._host = host
        self._address = address

    async def call(self, method, request, *, timeout_s):
        with anyio.move_on_after(timeout_s):
            await self._pass()
            reply = await self._world.answer(self._address, request)
            await self._pass()
            return reply
        self._world.timeouts += 1
        raise LinkUnavailableError("no reply", sent=True)

    async def _pass(self):
        if frozenset((self._host, self._address)) in self._world.cuts:
            await anyio.sleep_forever()
        remote = self._address in CONTROL
        await anyio.sleep(self._world.control_latency_s if remote else LOCAL_LATENCY_S)
