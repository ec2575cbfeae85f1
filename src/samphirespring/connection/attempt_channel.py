"""Messages of the channel on which a front runs its attempts at an agent, and asks for targets.

One pair of gRPC streams carries all attempts between two processes: opening a stream for each
attempt took more processor time than the attempt itself. A number tells the attempts of a channel
apart. The receiver of a body grants credit, so that one slow reader doesn't hold up the others.
"""

from typing import NewType

import msgspec

from samphirespring.connection.link_methods import DuplexMethod
from samphirespring.process.shedding.retry_pool import RetryGrant
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.messages import AttemptFrame, AttemptRequest
from samphirespring.request.pooled_retries import RetryAsk
from samphirespring.request.selection import Candidate
from samphirespring.request.target_source import SelectionTerms

ChannelNumber = NewType("ChannelNumber", int)
"""Number of an attempt on its channel; grows with each attempt."""

RESPONSE_CREDIT_BYTES = 262_144
"""Bytes of a response body that an agent may send before the front grants more."""


class OpenAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="open"):
    """Requests that the agent runs an attempt."""

    number: ChannelNumber
    request: AttemptRequest


class SendBody(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="body"):
    """Part of the body of a request that didn't fit into `OpenAttempt`."""

    number: ChannelNumber
    data: bytes
    is_last: bool


class GrantCredit(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="credit"):
    """Lets the receiver of the message send more of the body that it sends."""

    number: ChannelNumber
    size_bytes: int


class CancelAttempt(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="cancel"):
    """Ends an attempt whose result nobody waits for; an action that has started goes on."""

    number: ChannelNumber


class AttemptFrames(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="frames"):
    """Consecutive frames of one attempt."""

    number: ChannelNumber
    frames: tuple[AttemptFrame, ...]


class AskTarget(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="ask"):
    """Requests a target from the peer's target table; it counts as used until `EndSelection`."""

    number: ChannelNumber
    terms: SelectionTerms
    locality: Locality
    """Locality of the front that sends the attempt."""


class TargetSelected(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="selected"):
    """Reply to `AskTarget`."""

    number: ChannelNumber
    candidate: Candidate | None


class EndSelection(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="end"):
    """Ends the use of a target that was asked for."""

    number: ChannelNumber
    load: TargetLoad | None
    """Load that the target's agent sent; None if the attempt ended without."""


class AskRetry(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="ask_retry"):
    """Requests a retry from the peer's joint budget of a service."""

    number: ChannelNumber
    ask: RetryAsk


class RetryDecided(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="retry"):
    """Reply to `AskRetry`."""

    number: ChannelNumber
    grant: RetryGrant | None
    """The decision; None if the peer decides nothing."""


ToAgent = OpenAttempt | SendBody | GrantCredit | CancelAttempt | AskTarget | EndSelection | AskRetry
ToFront = AttemptFrames | GrantCredit | TargetSelected | RetryDecided

RUN_ATTEMPTS: DuplexMethod[ToAgent, ToFront] = DuplexMethod(
    path="/samphire.Agent/RunAttempts", request_type=ToAgent, reply_type=ToFront
)
"""Opens a channel."""
