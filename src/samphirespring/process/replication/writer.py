"""Writes the state of one replica to disk, in order, on a worker thread."""

import anyio.to_thread

from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metric_names import Timing
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import WriteDone, WriteFailed
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.write_jobs import WriteJob, perform_batch, split_jobs
from samphirespring.process.timers import TimerService

INBOX_CAPACITY = 100_000


class GroupWriter:
    """Owns the files of one replica and groups queued appends into one sync (group commit).

    Args:
        storage: The replica's files.
        owner: Inbox of the group's task, which receives the outcomes.
        session: Number of the session that the outcomes belong to.
        batch_limit: Largest number of appends in one sync.
        timers: The timer service.
        metrics: Records the duration of writes.
    """

    def __init__(
        self,
        *,
        storage: GroupStorage,
        owner: GroupInbox,
        session: int,
        batch_limit: int,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self.inbox: Mailbox[WriteJob] = Mailbox(name="group_writer", capacity=INBOX_CAPACITY)
        self._storage = storage
        self._owner = owner
        self._session = session
        self._batch_limit = batch_limit
        self._timers = timers
        self._metrics = metrics

    async def run(self) -> None:
        """Write until cancelled, or until a write fails."""
        try:
            while True:
                jobs = await self.inbox.receive_all()
                for batch in split_jobs(jobs, limit=self._batch_limit):
                    await self._write_batch(batch)
        except DiskFailedError as error:
            self._owner.post(WriteFailed(session=self._session, error=error))

    async def _write_batch(self, batch: list[WriteJob]) -> None:
        started_at_s = self._timers.read_now_s()
        outcome = await anyio.to_thread.run_sync(perform_batch, self._storage, batch)
        self._metrics.record_duration(
            Timing.REPLICATION_WRITE, self._timers.read_now_s() - started_at_s
        )
        self._owner.post(WriteDone(session=self._session, outcome=outcome))
