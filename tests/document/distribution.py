"""Document tasks of many nodes in one process, with real links over loopback."""

import random
from contextlib import asynccontextmanager

from samphirespring.connection.document_link import (
    FETCH_DELTA,
    REPORT_IN_FORCE,
    WATCH_DOCUMENT,
)
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import UnaryHandler, serve_link
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.compiler import DocumentCompiler
from samphirespring.process.document.follower import DocumentFollower
from samphirespring.process.document.notice_watch import NoticeWatch
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.document.reporter import InForceReporter
from samphirespring.process.document.saver import DocumentSaver
from samphirespring.process.document.sources import SourceChooser
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.runtime import run_tasks
from samphirespring.process.targets import Locality
from samphirespring.process.timers import MonotonicTimerService

DOMAIN = "domain-1"
HOST = "127.0.0.1"


def make_peers(count, *, first_port):
    return tuple(
        Peer(host=f"host-{i}", link_address=f"{HOST}:{first_port + i}") for i in range(count)
    )


def make_document_handlers(store):
    return [
        UnaryHandler(WATCH_DOCUMENT, store.watch),
        UnaryHandler(FETCH_DELTA, store.fetch),
        UnaryHandler(REPORT_IN_FORCE, store.record_report),
    ]


class DistributionNode:
    """The document tasks of one node; `front` receives each version that comes into force."""

    def __init__(self, peer, peers, *, control, front, seeds=(), wait_s=10.0, more_control=()):
        timers = MonotonicTimerService()
        locality = Locality(region="region-1", failure_domain=DOMAIN, host=peer.host)
        self.peer = peer
        self.peers = peers
        self.store = DocumentStore(timers=timers)
        self.links = LinkPool(capacity=100)
        self.table = Mailbox(name="table", capacity=10)
        saver = DocumentSaver(file=None, timers=timers, metrics=NullMetrics())
        self.follower = DocumentFollower(
            store=self.store,
            saver=saver,
            compiler=DocumentCompiler(),
            chooser=SourceChooser(domain=DOMAIN, own_host=peer.host, control=control, seeds=seeds),
            domain=DOMAIN,
            links=self.links,
            front=front,
            agent=Mailbox(name="agent", capacity=10_000),
            table=self.table,
            timers=timers,
            metrics=NullMetrics(),
            wait_s=wait_s,
            source_random=random.Random(peer.host),
            control=ControlClient(self.links, [*control, *more_control]),
        )
        notices = NoticeWatch(
            own_host=peer.host,
            control=control,
            links=self.links,
            hints=self.follower.hints,
            timers=timers,
        )
        reporter = InForceReporter(
            locality=locality,
            store=self.store,
            follower=self.follower,
            links=self.links,
            timers=timers,
        )
        self.tasks = (self.store, saver, self.follower, notices, reporter)

    @asynccontextmanager
    async def run(self):
        """Run the tasks and the link server while the context is open."""
        async with serve_link(make_document_handlers(self.store), address=self.peer.link_address):
            async with run_tasks(self.tasks) as group:
                group.start_soon(self._serve_peers)
                yield self
            self.links.close()

    async def _serve_peers(self):
        while True:
            request = await self.table.receive()
            request.reply.send(self.peers)
