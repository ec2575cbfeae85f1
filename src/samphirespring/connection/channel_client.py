"""Front's end of an attempt channel."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.attempt_channel import (
    RESPONSE_CREDIT_BYTES,
    RUN_ATTEMPTS,
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
from samphirespring.connection.credit import Credit
from samphirespring.connection.link_client import Duplex, Link
from samphirespring.connection.link_errors import LinkUnavailableError, MethodUnknownError
from samphirespring.process.errors import SamphireError
from samphirespring.process.mailbox import InboxFullError, Mailbox, ReplySlot
from samphirespring.process.shedding.retry_pool import RetryGrant
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.body import BodyAbortedError, RequestBody
from samphirespring.request.messages import (
    AttemptFrame,
    AttemptRequest,
    AttemptResult,
    ResponseChunk,
)
from samphirespring.request.pooled_retries import RetryAsk
from samphirespring.request.selection import Candidate
from samphirespring.request.target_source import SelectionTerms

OUTBOX_CAPACITY = 10_000
GRANT_BYTES = RESPONSE_CREDIT_BYTES // 4
"""Consumed bytes of a response after which the front grants the same credit again."""

BODY_PART_BYTES = 65_536
"""Largest part of a body that is sent in one message."""


class _StartAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Place of an attempt's request in the outbox.

    The request itself stays with the attempt: while the agent reads nothing, attempts that have
    ended hold no memory.
    """

    number: ChannelNumber


class _OpenedAttempt:
    """An attempt on the channel, from its start until its last frame.

    Args:
        request: The attempt.
        body: The request's body if it isn't sent with the attempt.
    """

    def __init__(self, request: AttemptRequest, body: RequestBody | None) -> None:
        self.request = request
        self.was_sent = False
        """Whether any byte of it may have reached the agent."""

        self.error: SamphireError | None = None
        self.body = body
        """Body to send once the agent grants credit; None once it is being sent."""

        self.body_scope = anyio.CancelScope()
        self.body_credit = Credit()
        self._unacknowledged_bytes = 0
        self._frames: deque[AttemptFrame] = deque()
        self._changed = anyio.Event()

    def add(self, frames: tuple[AttemptFrame, ...]) -> None:
        self._frames.extend(frames)
        self._changed.set()

    def fail(self, error: SamphireError) -> None:
        self.error = error
        self._changed.set()

    async def receive(self) -> AttemptFrame:
        while not self._frames:
            if self.error is not None:
                raise self.error
            self._changed = anyio.Event()
            await self._changed.wait()
        return self._frames.popleft()

    def count_consumed(self, size_bytes: int) -> int:
        """Count bytes of the response's body, and return the credit to grant for them or 0."""
        self._unacknowledged_bytes += size_bytes
        if self._unacknowledged_bytes < GRANT_BYTES:
            return 0
        granted_bytes, self._unacknowledged_bytes = self._unacknowledged_bytes, 0
        return granted_bytes


class ChannelSelection:
    """A target that the peer selected."""

    def __init__(self) -> None:
        self.candidate: Candidate | None = None
        self.load: TargetLoad | None = None
        """Load that the target's agent sent, to be passed on at the end."""


class AttemptChannel:
    """Runs attempts at one agent over one pair of streams.

    Args:
        address: `IP:port` of the agent's link server.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.error: SamphireError | None = None
        """Why the channel has ended; None while it is open."""

        self._link: Link | None = None
        self._attempts: dict[ChannelNumber, _OpenedAttempt] = {}
        self._asked: dict[ChannelNumber, ReplySlot[Candidate | None]] = {}
        self._asked_retries: dict[ChannelNumber, ReplySlot[RetryGrant | None]] = {}
        self._outbox: Mailbox[ToAgent | _StartAttempt] = Mailbox(
            name="attempt_channel", capacity=OUTBOX_CAPACITY
        )
        self._next_number = 1

    async def run(self, link: Link) -> None:
        """Open the channel and serve it until it breaks; open attempts then fail.

        Args:
            link: Link to the agent's process.
        """
        self._link = link
        try:
            async with link.open_duplex(RUN_ATTEMPTS) as duplex:
                await self._serve(duplex)
        except SamphireError as error:
            self._fail(error)
        finally:
            self._fail(LinkUnavailableError(f"{self.address}: channel closed", sent=False))

    @asynccontextmanager
    async def open(
        self, request: AttemptRequest, body: RequestBody
    ) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Start an attempt and yield an iterator over its frames; leaving early cancels it.

        Args:
            request: The attempt.
            body: Body of the caller's request, which is sent if `request.body_follows`.

        Raises:
            LinkUnavailableError: The agent doesn't acknowledge, or the channel broke.
        """
        self._check_open()
        number = self._draw_number()
        attempt = _OpenedAttempt(request, body if request.body_follows else None)
        self._attempts[number] = attempt
        try:
            self._outbox.post(_StartAttempt(number=number))
            yield self._iterate_frames(number, attempt)
        finally:
            attempt.body_scope.cancel()
            if self._attempts.pop(number, None) is not None:
                self._post(CancelAttempt(number=number))

    @asynccontextmanager
    async def select(
        self, terms: SelectionTerms, *, locality: Locality
    ) -> AsyncIterator["ChannelSelection"]:
        """Ask the peer for a target; leaving the context ends its use.

        Args:
            terms: What the attempt needs.
            locality: Locality of this process.

        Raises:
            LinkUnavailableError: The channel broke before the reply.
        """
        self._check_open()
        number = self._draw_number()
        slot: ReplySlot[Candidate | None] = ReplySlot()
        self._asked[number] = slot
        selection = ChannelSelection()
        try:
            self._outbox.post(AskTarget(number=number, terms=terms, locality=locality))
            selection.candidate = await slot.wait()
            yield selection
        finally:
            self._asked.pop(number, None)
            self._post(EndSelection(number=number, load=selection.load))

    async def ask_retry(self, ask: RetryAsk) -> RetryGrant | None:
        """Ask the peer for a retry, and return its decision or None if it decides nothing.

        Args:
            ask: The request for a retry.

        Raises:
            LinkUnavailableError: The channel broke before the reply.
        """
        self._check_open()
        number = self._draw_number()
        slot: ReplySlot[RetryGrant | None] = ReplySlot()
        self._asked_retries[number] = slot
        try:
            self._outbox.post(AskRetry(number=number, ask=ask))
            return await slot.wait()
        finally:
            del self._asked_retries[number]

    def _check_open(self) -> None:
        if self.error is not None:
            raise LinkUnavailableError(self.error.detail, sent=False)
        if self._link is not None:
            self._link.check_acknowledgements()

    def _draw_number(self) -> ChannelNumber:
        number = ChannelNumber(self._next_number)
        self._next_number += 1
        return number

    async def _iterate_frames(
        self, number: ChannelNumber, attempt: _OpenedAttempt
    ) -> AsyncIterator[AttemptFrame]:
        while True:
            frame = await attempt.receive()
            if isinstance(frame, ResponseChunk):
                granted_bytes = attempt.count_consumed(len(frame.data))
                if granted_bytes:
                    self._post(GrantCredit(number=number, size_bytes=granted_bytes))
            elif isinstance(frame, AttemptResult):
                self._attempts.pop(number, None)
                yield frame
                return
            yield frame

    def _post(self, message: ToAgent) -> None:
        try:
            self._outbox.post(message)
        except InboxFullError:
            # The agent doesn't read any more; its link is about to break.
            return

    async def _serve(self, duplex: Duplex[ToAgent, ToFront]) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_all, duplex)
            try:
                async for message in duplex.iterate_replies():
                    self._handle(message, group)
            except SamphireError as error:
                self._fail(error)
            group.cancel_scope.cancel()

    async def _send_all(self, duplex: Duplex[ToAgent, ToFront]) -> None:
        while True:
            message = await self._outbox.receive()
            if isinstance(message, _StartAttempt):
                attempt = self._attempts.get(message.number)
                if attempt is None:
                    # The request has ended in the meantime; its cancellation follows.
                    continue
                attempt.was_sent = True
                message = OpenAttempt(number=message.number, request=attempt.request)
            try:
                await duplex.send(message)
            except SamphireError as error:
                # The replies end, too, which ends the channel.
                self._fail(error)
                return

    def _handle(self, message: ToFront, group: TaskGroup) -> None:
        if isinstance(message, TargetSelected):
            slot = self._asked.get(message.number)
            if slot is not None:
                slot.send(message.candidate)
            return
        if isinstance(message, RetryDecided):
            asked = self._asked_retries.get(message.number)
            if asked is not None:
                asked.send(message.grant)
            return
        attempt = self._attempts.get(message.number)
        if attempt is None:
            return
        match message:
            case AttemptFrames():
                attempt.add(message.frames)
            case GrantCredit():
                attempt.body_credit.grant(message.size_bytes)
                if attempt.body is not None:
                    body, attempt.body = attempt.body, None
                    group.start_soon(self._send_body, message.number, attempt, body)

    async def _send_body(
        self, number: ChannelNumber, attempt: _OpenedAttempt, body: RequestBody
    ) -> None:
        with attempt.body_scope:
            try:
                async for part in body.iterate():
                    for start in range(0, len(part), BODY_PART_BYTES):
                        data = part[start : start + BODY_PART_BYTES]
                        await attempt.body_credit.spend(len(data))
                        self._post(SendBody(number=number, data=data, is_last=False))
            except BodyAbortedError as error:
                attempt.fail(LinkUnavailableError(str(error), sent=True))
                return
            self._post(SendBody(number=number, data=b"", is_last=True))

    def _fail(self, error: SamphireError) -> None:
        if self.error is not None:
            return
        self.error = error
        broken = LinkUnavailableError(f"{self.address}: {error.detail}", sent=True)
        for slot in self._asked.values():
            slot.fail(broken)
        for asked in self._asked_retries.values():
            asked.fail(broken)
        reached_agent = not isinstance(error, MethodUnknownError)
        for attempt in self._attempts.values():
            sent = attempt.was_sent and reached_agent
            attempt.fail(LinkUnavailableError(f"{self.address}: {error.detail}", sent=sent))
