"""Tells a control host's keeper how old the knowledge of its replica is."""

from samphirespring.process.document.store import DocumentStore, RecordSourceContact
from samphirespring.process.errors import SamphireError
from samphirespring.process.event_log import EventLog
from samphirespring.process.log_events import LogEvent
from samphirespring.process.replication.group_status import GroupOperations
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

CHECK_INTERVAL_S = 1.0

_log = EventLog()


class LeaderContactDump(StateDump, frozen=True, kw_only=True):
    """State of the watch."""

    contact_age_s: float | None
    """Age that was told last, in seconds; None if none was."""


class LeaderContactWatch(OwnerTask):
    """Asks the replica of the document for its last contact with a leader.

    A replica that hears no leader, or whose disk has failed, grows older in the keeper.

    Args:
        group: The replica.
        keeper: Tells the nodes how old its knowledge is.
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
        """Look at each tick until cancelled."""
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            await self._check()

    async def dump(self) -> LeaderContactDump:
        """Return the watch's state."""
        return LeaderContactDump(contact_age_s=self._contact_age_s)

    async def _check(self) -> None:
        try:
            status = await self._group.read_status()
        except SamphireError as error:
            # The keeper's knowledge grows older until an answer comes.
            _log.debug(LogEvent.LEADER_CONTACT_UNKNOWN, code=error.code.value)
            return
        if status.leader_contact_age_s is None:
            return
        self._contact_age_s = status.leader_contact_age_s
        self._store.inbox.post(RecordSourceContact(age_s=status.leader_contact_age_s))
