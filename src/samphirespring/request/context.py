"""What the exchanges of one front share."""

import random
from dataclasses import dataclass

from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics import Metrics
from samphirespring.process.target_table import TableMessage
from samphirespring.process.timers import TimerService
from samphirespring.process.traffic_limiter import TrafficMessage
from samphirespring.request.attempt_sender import AttemptSender


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """What the exchanges of one front share.

    Attributes:
        sender: Sends attempts to agents.
        table: Inbox of the target table.
        traffic: Inbox of the task that owns limits and retry budgets.
        timers: The timer service.
        metrics: Where requests and attempts are counted.
        generator: Source of random numbers.
        replay_buffer_bytes: Part of an answer that is held back, in bytes.
    """

    sender: AttemptSender
    table: Mailbox[TableMessage]
    traffic: Mailbox[TrafficMessage]
    timers: TimerService
    metrics: Metrics
    generator: random.Random
    replay_buffer_bytes: int
