"""Dependencies that all exchanges of a front share."""

import random

import msgspec

from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.target_table_messages import TableMessage
from samphirespring.process.timers import TimerService
from samphirespring.process.traffic_limiter import TrafficMessage
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.pooled_retries import NoRetrySource, RetrySource
from samphirespring.request.target_source import TargetSource


class ExchangeContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies that all exchanges of a front share.

    Attributes:
        sender: Sends attempts to agents.
        table: Inbox of the target table.
        targets: Selects targets.
        traffic_limiter: Inbox of the task that owns the rate limits and the retry budgets.
        timers: The timer service.
        metrics: Counts requests and attempts.
        generator: Source of random numbers.
        replay_buffer_bytes: Bytes of a response body that are buffered before they are sent to the
            caller, so that an attempt that fails until then can be retried.
        retries: Grants retries from joint budgets of many fronts.
    """

    sender: AttemptSender
    table: Mailbox[TableMessage]
    targets: TargetSource
    traffic_limiter: Mailbox[TrafficMessage]
    timers: TimerService
    metrics: Metrics
    generator: random.Random
    replay_buffer_bytes: int
    retries: RetrySource = NoRetrySource()
