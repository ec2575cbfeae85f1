"""Keeps the host's permission to run requests with API keys, and checks attempts against it."""

import anyio
import msgspec

from samphirespring.connection.confirmation_link import (
    CONFIRM_DOCUMENT,
    ConfirmDocument,
    DocumentConfirmation,
)
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import FailureDomainName
from samphirespring.process.keys.confirmers import Confirmer, ConfirmerChooser, ConfirmerKind
from samphirespring.process.keys.lease import Confirmation, KeyLease
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ask_always
from samphirespring.process.metrics.metric_names import Counter, Gauge
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.target_table_messages import ReadPeers, TableMessage
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import CompiledDocument
from samphirespring.version.stamp import DocumentStamp

INBOX_CAPACITY = 1_000
ASKS_PER_LEASE = 5
"""Number of times that a host asks during one lease.

The time between two asks and the leader's round leave a host that is cut off about two thirds of
its lease. So that relays add little, the other hosts ask right after their relay was confirmed.
"""

RELAY_MARGIN_S = 0.05
"""Time after a relay's expected confirmation at which other hosts ask it, in seconds."""

SHORTEST_INTERVAL_SHARE = 0.125
"""Shortest time between two asks of a relay, as a share of the usual one."""

RETRY_INTERVAL_SHARE = 0.25
"""Time until the next ask after one without a recent confirmation, as a share of the usual one."""

MAX_AGE_SHARE = 0.33
"""Age of a relay's confirmation above which another confirmer is asked, as a share of the lease."""

RELAY_TIMEOUT_S = 0.3
CONTROL_TIMEOUT_S = 0.7
"""Timeout of each control host, in seconds.

An ask waits for the leader's next round, which begins up to 0.4 s later, and for the round itself.
"""

LEADER_TIMEOUT_S = 1.4
"""Longest search for the leader, in seconds."""

WATCH_INTERVAL_S = 0.25
"""Time between two checks whether the lease has ended, for the log and the metrics, in seconds."""

_log = EventLog()


class UseKeys(msgspec.Struct, frozen=True, kw_only=True):
    """Puts the API keys of a newer version of the document in force."""

    compiled: CompiledDocument


class KeyKeeperDump(StateDump, frozen=True, kw_only=True):
    """State of the key keeper."""

    version: DocumentVersion | None
    limited: bool
    """Whether the permission to use API keys ends."""

    remaining_s: float
    """Time until it ends, in seconds; 0 if it isn't limited."""

    confirmed_stamp: DocumentStamp | None
    """Version that the latest confirmation named."""

    is_relay: bool


class KeyKeeper(OwnerTask, KeyGate):
    """Owns the host's lease on API keys, and asks for confirmations that extend it.

    Args:
        chooser: Chooses whom to ask.
        domain: Failure domain of the own host.
        control: Client that finds the leader of the document's group.
        links: Links to the relays.
        table: Inbox of the target table, which holds the hosts of the failure domain.
        timers: The timer service.
        metrics: Receives the lease's remaining time and the refusals.
    """

    def __init__(
        self,
        *,
        chooser: ConfirmerChooser,
        domain: FailureDomainName,
        control: ControlClient,
        links: LinkPool,
        table: Mailbox[TableMessage],
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self.inbox: Mailbox[UseKeys] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._chooser = chooser
        self._domain = domain
        self._control_client = control
        self._links = links
        self._table = table
        self._timers = timers
        self._metrics = metrics
        self._compiled: CompiledDocument | None = None
        self._lease = KeyLease()
        self._had_lease = False
        self._has_been_usable = False
        self._limited = anyio.Event()
        self._next_reply_at_s = 0.0
        """Expected reply to the running or the next ask, in seconds of monotonic time."""

        self._ask_took_s = 0.0
        """Duration of the latest ask, in seconds."""

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "key_keeper"

    async def run(self) -> None:
        """Serve new documents and extend the lease until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_repeatedly)
            group.start_soon(self._watch_lease)
            while True:
                message = await self.inbox.receive()
                self._use_document(message.compiled)

    async def dump(self) -> KeyKeeperDump:
        """Return the state."""
        latest = self._lease.latest
        limited = self._lease.duration_s is not None
        remaining_s = self._lease.read_remaining_s(self._timers.read_boot_s())
        return KeyKeeperDump(
            version=None if self._compiled is None else self._compiled.version,
            limited=limited,
            remaining_s=remaining_s if limited else 0.0,
            confirmed_stamp=None if latest is None else latest.stamp,
            is_relay=self._chooser.is_relay,
        )

    @property
    def has_been_usable(self) -> bool:
        """Whether the host has had a document that it could rely on for API keys."""
        return self._has_been_usable

    def may_use_keys(self) -> bool:
        """Return whether the host's document may be relied on for API keys now."""
        return self._lease.is_valid(self._timers.read_boot_s())

    def may_reject_keys(self) -> bool:
        """Return whether a key that the host's document doesn't have is proven to be unknown."""
        return self._lease.proves_newest(self._timers.read_boot_s())

    def check(self, request: AttemptRequest) -> RefusalCode | None:
        """Return why an attempt must not be sent to its target now, or None."""
        if request.api_key is None:
            return None
        code = self._check_key(request)
        if code is not None:
            self._metrics.count(Counter.KEY_REFUSALS, code.value)
        return code

    async def confirm(self, request: ConfirmDocument) -> DocumentConfirmation:
        """Return the latest confirmation to another host of the failure domain.

        Args:
            request: The request.
        """
        latest = self._lease.latest
        if latest is None:
            return DocumentConfirmation()
        return DocumentConfirmation(
            stamp=latest.stamp,
            age_s=self._timers.read_boot_s() - latest.at_s,
            next_in_s=max(0.0, self._next_reply_at_s - self._timers.read_now_s()),
        )

    def _check_key(self, request: AttemptRequest) -> RefusalCode | None:
        compiled = self._compiled
        if compiled is None or request.api_key is None:
            return RefusalCode.STALE_DOCUMENT
        holder = compiled.find_key_holder(request.api_key)
        if holder != request.workspace:
            # A key that moved is still valid: one of the two documents is behind.
            is_stale = holder is not None or compiled.version < request.document_version
            return RefusalCode.STALE_DOCUMENT if is_stale else RefusalCode.API_KEY_UNKNOWN
        return None if self.may_use_keys() else RefusalCode.KEY_LEASE_EXPIRED

    def _use_document(self, compiled: CompiledDocument) -> None:
        self._compiled = compiled
        limit_ms = compiled.fleet.key_lease_ms if compiled.requires_keys else 0
        self._lease.use_document(compiled.stamp, duration_s=limit_ms / 1_000 if limit_ms else None)
        if limit_ms:
            self._limited.set()
        self._note_change()

    async def _ask_repeatedly(self) -> None:
        while True:
            await self._limited.wait()
            duration_s = self._lease.duration_s
            if duration_s is None:
                self._limited = anyio.Event()
                continue
            began_at_s = self._timers.read_now_s()
            interval_s = duration_s / ASKS_PER_LEASE
            self._next_reply_at_s = began_at_s + self._ask_took_s
            reply = await self._ask(duration_s)
            self._ask_took_s = self._timers.read_now_s() - began_at_s
            next_at_s = self._plan_next_ask(reply, began_at_s=began_at_s, interval_s=interval_s)
            self._next_reply_at_s = next_at_s + self._ask_took_s
            await self._timers.wait_until(next_at_s)

    def _plan_next_ask(
        self, reply: DocumentConfirmation | None, *, began_at_s: float, interval_s: float
    ) -> float:
        """Return when to ask again: after a relay's reply, right after its next confirmation."""
        now_s = self._timers.read_now_s()
        if reply is None:
            return now_s + interval_s * RETRY_INTERVAL_SHARE
        if reply.next_in_s is None:
            return began_at_s + interval_s
        follow_s = max(interval_s * SHORTEST_INTERVAL_SHARE, reply.next_in_s + RELAY_MARGIN_S)
        return now_s + min(interval_s, follow_s)

    async def _ask(self, duration_s: float) -> DocumentConfirmation | None:
        """Ask until a confirmer has a recent confirmation; return it, or None.

        Args:
            duration_s: Duration of the lease, in seconds.
        """
        peers: tuple[Peer, ...] = await ask_always(
            self._table, lambda reply: ReadPeers(domain=self._domain, reply=reply)
        )
        for confirmer in self._chooser.choose(peers, now_s=self._timers.read_now_s()):
            # The own time of asking, less the age of the reply, can't be too late: the reply's age
            # was computed after that time.
            asked_at_s = self._timers.read_boot_s()
            reply = await self._call(confirmer)
            if reply is None:
                self._chooser.record_failure(confirmer, now_s=self._timers.read_now_s())
                continue
            if reply.age_s is None:
                # A relay that has just started will have a confirmation soon.
                continue
            at_s = asked_at_s - max(0.0, reply.age_s)
            self._lease.record(Confirmation(stamp=reply.stamp, at_s=at_s))
            self._note_change()
            if reply.age_s <= duration_s * MAX_AGE_SHARE:
                return reply
            self._chooser.record_failure(confirmer, now_s=self._timers.read_now_s())
        return None

    async def _call(self, confirmer: Confirmer) -> DocumentConfirmation | None:
        try:
            if confirmer.kind is ConfirmerKind.LEADER:
                return await self._call_leader()
            with self._links.use(confirmer.address) as link:
                return await link.call(
                    CONFIRM_DOCUMENT, ConfirmDocument(), timeout_s=RELAY_TIMEOUT_S
                )
        except SamphireError as error:
            _log.debug(
                LogEvent.CONFIRMATION_FAILED,
                confirmer=confirmer.kind.value,
                address=confirmer.address,
                code=error.code.value,
            )
            return None

    async def _call_leader(self) -> DocumentConfirmation | None:
        with self._timers.move_on_at(self._timers.read_now_s() + LEADER_TIMEOUT_S):
            return await self._control_client.call_leader(
                CONFIRM_DOCUMENT, ConfirmDocument(), timeout_s=CONTROL_TIMEOUT_S
            )
        return None

    async def _watch_lease(self) -> None:
        async for _ in self._timers.subscribe(interval_s=WATCH_INTERVAL_S):
            if self._lease.duration_s is not None:
                remaining_s = self._lease.read_remaining_s(self._timers.read_boot_s())
                self._metrics.set_gauge(Gauge.KEY_LEASE_REMAINING, value=remaining_s)
                self._note_change()

    def _note_change(self) -> None:
        limited = self._lease.duration_s is not None
        may_use_keys = self.may_use_keys()
        self._has_been_usable = self._has_been_usable or may_use_keys
        has_lease = limited and may_use_keys
        if has_lease is self._had_lease:
            return
        self._had_lease = has_lease
        if not limited:
            return
        latest = self._lease.latest
        _log.info(
            LogEvent.KEY_LEASE_GAINED if has_lease else LogEvent.KEY_LEASE_LOST,
            version=None if self._compiled is None else self._compiled.version,
            confirmed_version=None if latest is None else latest.stamp.version,
            confirmed_age_s=(
                None if latest is None else round(self._timers.read_boot_s() - latest.at_s, 3)
            ),
        )
