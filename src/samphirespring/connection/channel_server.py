"""Agent's end of an attempt channel."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import msgspec

from samphirespring.connection.attempt_channel import (
    RESPONSE_CREDIT_BYTES,
    AskRetry,
    AskTarget,
    AttemptFrames,
    CancelAttempt,
    ChannelNumber,
    EndSelection,
    GrantCredit,
    OpenAttempt,
    RetryDecided,
    SendBody,
    TargetSelected,
    ToAgent,
    ToFront,
)
from samphirespring.connection.channel_body import ChannelBody
from samphirespring.connection.channel_outbox import ChannelOutbox, UnsentResponses
from samphirespring.connection.credit import Credit
from samphirespring.process.ids import HostId, TargetId, WorkKind
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import ForwardingSlot, InboxFullError, Mailbox, ReplySlot
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.shedding.retry_pool import RetryGrant
from samphirespring.process.shedding.retry_pools import AcquirePooled, PoolsMessage
from samphirespring.process.target_table_messages import (
    ReleaseTarget,
    SelectTarget,
    TableMessage,
    UpdateLoad,
)
from samphirespring.request.attempt_starter import AttemptHandle, AttemptStarter
from samphirespring.request.frame_sink import FrameSink
from samphirespring.request.messages import (
    AttemptRefused,
    FrameBatch,
    ResponseChunk,
)
from samphirespring.request.selection import Candidate
from samphirespring.request.states import RefusalCode

_log = EventLog()


class _OpenedAttempt(msgspec.Struct, kw_only=True, eq=False):
    """An attempt whose last frame hasn't been sent.

    Attributes:
        credit: How much more of the response the front accepts.
        body: Rest of the request's body; None if the request came with its whole body.
        handle: Cancels the attempt.
    """

    credit: Credit
    body: ChannelBody | None
    handle: AttemptHandle


class _UsedTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A target that was selected for the front.

    Attributes:
        target: The target.
        kind: Kind of the request; None if it isn't known.
    """

    target: TargetId
    kind: WorkKind | None


class AttemptChannelServer:
    """Serves the channels of all fronts.

    A front opens another channel only once its earlier one is broken. If its host lost power, or
    was cut off, nothing else shows soon that the earlier one has ended: it ends when the host asks
    for a target on the new one, so that what was selected over it becomes free.

    Args:
        starter: Starts attempts.
        table: Inbox of the target table that selects targets for other fronts.
        pools: Inbox of the joint retry budgets; None decides on no retries.
        metrics: Receives how much waits to be sent; None records nothing.
    """

    def __init__(
        self,
        starter: AttemptStarter,
        *,
        table: Mailbox[TableMessage],
        pools: Mailbox[PoolsMessage] | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._starter = starter
        self._table = table
        self._pools = pools
        self._unsent = UnsentResponses(metrics)
        self._channels: dict[HostId, _ServedChannel] = {}
        """The latest channel on which each host asked for targets."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait to be sent to fronts."""
        return self._unsent.size_bytes

    async def serve(
        self, messages: AsyncIterator[ToAgent], send: Callable[[ToFront], Awaitable[None]]
    ) -> None:
        """Serve one channel until the front closes or replaces it; its attempts end with it.

        Args:
            messages: Messages of the front.
            send: Sends a message to the front; waits while the front reads slowly.
        """
        channel = _ServedChannel(
            self._starter,
            self._table,
            self._pools,
            outbox=ChannelOutbox(self._unsent),
            on_ask=self._replace_channel,
        )
        try:
            await channel.serve(messages, send)
        finally:
            if channel.host is not None and self._channels.get(channel.host) is channel:
                del self._channels[channel.host]

    def _replace_channel(self, channel: "_ServedChannel", host: HostId) -> None:
        """Record the channel on which a host asks, and end its earlier one."""
        earlier = self._channels.get(host)
        self._channels[host] = channel
        if earlier is not None:
            _log.info(LogEvent.CHANNEL_REPLACED, host=host)
            earlier.end()


class _ServedChannel:
    """State of one channel.

    Args:
        starter: Starts attempts.
        table: Inbox of the target table.
        pools: Inbox of the joint retry budgets, if there are any.
        outbox: Messages to the front.
        on_ask: Called with the channel and the host of its front when that first asks for a target.
    """

    def __init__(
        self,
        starter: AttemptStarter,
        table: Mailbox[TableMessage],
        pools: Mailbox[PoolsMessage] | None,
        *,
        outbox: ChannelOutbox,
        on_ask: Callable[["_ServedChannel", HostId], None],
    ) -> None:
        self._starter = starter
        self._table = table
        self._pools = pools
        self._on_ask = on_ask
        self._scope = anyio.CancelScope()
        self.host: HostId | None = None
        """Host of the front; None before it asks for a target."""

        self._selected: dict[ChannelNumber, _UsedTarget] = {}
        """Targets that the front uses."""

        self._asked: dict[ChannelNumber, ReplySlot[Candidate | None]] = {}
        """Selections that the table hasn't made yet."""

        self._attempts: dict[ChannelNumber, _OpenedAttempt] = {}
        self._outbox = outbox

    async def serve(
        self, messages: AsyncIterator[ToAgent], send: Callable[[ToFront], Awaitable[None]]
    ) -> None:
        try:
            with self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._outbox.send_all, send)
                    async for message in messages:
                        self._handle(message)
                    group.cancel_scope.cancel()
        finally:
            for attempt in self._attempts.values():
                _end(attempt)
            self._outbox.close()
            for slot in self._asked.values():
                slot.abandoned = True
            for used in self._selected.values():
                self._table.post_always(ReleaseTarget(target=used.target))

    def end(self) -> None:
        """End the channel, as if its front had closed it."""
        self._scope.cancel()

    def _handle(self, message: ToAgent) -> None:
        match message:
            case OpenAttempt():
                self._open(message)
            case SendBody():
                attempt = self._attempts.get(message.number)
                if attempt is not None and attempt.body is not None:
                    attempt.body.add(message.data, is_last=message.is_last)
            case GrantCredit():
                attempt = self._attempts.get(message.number)
                if attempt is not None:
                    attempt.credit.grant(message.size_bytes)
            case CancelAttempt():
                attempt = self._attempts.pop(message.number, None)
                if attempt is not None:
                    _end(attempt)
            case AskTarget():
                self._ask_target(message)
            case EndSelection():
                self._end_selection(message)
            case AskRetry():
                self._ask_retry(message)

    def _ask_target(self, message: AskTarget) -> None:
        if self.host is None:
            self.host = message.locality.host
            self._on_ask(self, self.host)
        slot = ForwardingSlot[Candidate | None](
            lambda candidate: self._send_selected(message, candidate)
        )
        request = SelectTarget(
            terms=message.terms, locality=message.locality, is_shared=True, reply=slot
        )
        try:
            self._table.post(request)
        except InboxFullError:
            # The front then asks its own table, which has less to do.
            self._outbox.post(TargetSelected(number=message.number, candidate=None))
            return
        self._asked[message.number] = slot

    def _send_selected(self, message: AskTarget, candidate: Candidate | None) -> None:
        del self._asked[message.number]
        if candidate is not None:
            used = _UsedTarget(target=candidate.target, kind=message.terms.kind)
            self._selected[message.number] = used
        self._outbox.post(TargetSelected(number=message.number, candidate=candidate))

    def _end_selection(self, message: EndSelection) -> None:
        slot = self._asked.get(message.number)
        if slot is not None:
            # The table then selects no target, so that none stays counted as used.
            slot.abandoned = True
            return
        used = self._selected.pop(message.number, None)
        if used is None:
            return
        if message.load is not None:
            update = UpdateLoad(target=used.target, load=message.load, kind=used.kind)
            self._table.post_always(update)
        self._table.post_always(ReleaseTarget(target=used.target))

    def _ask_retry(self, message: AskRetry) -> None:
        number = message.number
        if self._pools is None:
            self._outbox.post(RetryDecided(number=number, grant=None))
            return
        slot = ForwardingSlot[RetryGrant](
            lambda grant: self._outbox.post(RetryDecided(number=number, grant=grant))
        )
        try:
            self._pools.post(AcquirePooled(ask=message.ask, reply=slot))
        except InboxFullError:
            self._outbox.post(RetryDecided(number=number, grant=None))

    def _open(self, message: OpenAttempt) -> None:
        number = message.number
        if not self._outbox.has_room:
            self._refuse(message)
            return
        credit = Credit(RESPONSE_CREDIT_BYTES)
        body = None
        if message.request.body_follows:
            body = ChannelBody(
                lambda size_bytes: self._outbox.post(
                    GrantCredit(number=number, size_bytes=size_bytes)
                )
            )
        sink = _ChannelSink(number, credit, outbox=self._outbox, forget=self._forget)
        try:
            handle = self._starter.start(message.request, body=body, sink=sink)
        except InboxFullError:
            self._refuse(message)
            return
        self._attempts[number] = _OpenedAttempt(credit=credit, body=body, handle=handle)

    def _refuse(self, message: OpenAttempt) -> None:
        refusal = AttemptRefused(attempt=message.request.attempt, code=RefusalCode.SHEDDING)
        self._outbox.post(AttemptFrames(number=message.number, frames=(refusal,)))

    def _forget(self, number: ChannelNumber) -> None:
        self._attempts.pop(number, None)


class _ChannelSink(FrameSink):
    """Sends the frames of one attempt as far as the front's credit allows.

    Args:
        number: Number of the attempt.
        credit: The credit for the response's body.
        outbox: Messages to the front.
        forget: Drops the attempt.
    """

    def __init__(
        self,
        number: ChannelNumber,
        credit: Credit,
        *,
        outbox: ChannelOutbox,
        forget: Callable[[ChannelNumber], None],
    ) -> None:
        self._number = number
        self._credit = credit
        self._outbox = outbox
        self._forget = forget

    async def send(self, batch: FrameBatch) -> None:
        """Append a batch to the outbox; nothing is kept for a front that has left."""
        if self._credit.is_closed:
            return
        size_bytes = sum(len(f.data) for f in batch.frames if isinstance(f, ResponseChunk))
        if size_bytes and not await self._credit.spend(size_bytes):
            return
        message = AttemptFrames(number=self._number, frames=batch.frames)
        self._outbox.post(message, size_bytes=size_bytes)

    def close(self) -> None:
        """Drop the attempt, which has ended."""
        self._forget(self._number)


def _end(attempt: _OpenedAttempt) -> None:
    attempt.handle.cancel()
    if attempt.body is not None:
        attempt.body.abort()
    # An action that goes on isn't held up by a front that has left, and nothing is kept for it.
    attempt.credit.close()
