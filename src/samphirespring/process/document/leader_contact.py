"""Reports the age of a replica's last leader contact to the store of its control host."""

from samphirespring.process.document.store import DocumentStore, RecordSourceContact
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.replication.group_status import GroupOperations
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

CHECK_INTERVAL_S = 1.0

_log = EventLog()


class LeaderContactDump(StateDump, frozen=True, kw_only=True):
    """State of the watch."""

    contact_age_s: float | None
    """Age that was reported last, in seconds; None before the first report."""


class LeaderContactWatch(OwnerTask):
    """Polls the document's replica for its last contact with a leader.

    While the replica has no contact with a leader, or its disk has failed, the age in the store
    grows.

    Args:
        group: The replica.
        store: Reports the age to the nodes.
        timers: The timer service.
    """

    def __init__(
        self, *, group: GroupOperations, store: DocumentStore, timers: TimerService
    ) -> None:
        self._group = group
        self._store = store
        self._timers = timers
        self._contact_age_s: float | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "leader_contact_watch"

    async def run(self) -> None:
        """Check at each tick until cancelled."""
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            await self._check()

    async def dump(self) -> LeaderContactDump:
        """Return the watch's state."""
        return LeaderContactDump(contact_age_s=self._contact_age_s)

    async def _check(self) -> None:
        try:
            status = await self._group.read_status()
        except SamphireError as error:
            # The age in the store grows until a status can be read.
            _log.debug(LogEvent.LEADER_CONTACT_UNKNOWN, code=error.code.value)
            return
        if status.leader_contact_age_s is None:
            return
        self._contact_age_s = status.leader_contact_age_s
        self._store.inbox.post_always(RecordSourceContact(age_s=status.leader_contact_age_s))
