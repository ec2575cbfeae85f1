"""Joint retry budgets of the services whose targets this host selects for its neighbours."""

import msgspec

from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.shedding.retry_pool import RetryGrant, RetryPool
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.pooled_retries import RetryAsk
from samphirespring.version.ids import ServiceName

INBOX_CAPACITY = 10_000


class AcquirePooled(msgspec.Struct, frozen=True, kw_only=True):
    """Requests one retry from the joint budget of a service."""

    ask: RetryAsk
    reply: ReplySlot[RetryGrant]


class ReadPoolsDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the state of the joint budgets."""

    reply: ReplySlot["RetryPoolsDump"]


PoolsMessage = AcquirePooled | ReadPoolsDump


class RetryPoolDump(msgspec.Struct, frozen=True, kw_only=True):
    """Joint budget of one service."""

    service: ServiceName
    fronts: int
    """Fronts that asked within the window of the budget."""

    available: float
    """Retries that it still allows; negative if other hosts or the fronts spent more."""


class RetryPoolsDump(StateDump, frozen=True, kw_only=True):
    """State of the joint budgets."""

    pools: tuple[RetryPoolDump, ...]
    waiting_messages: int


class RetryPools(OwnerTask):
    """Owns one pool for each service that fronts lately asked for.

    Args:
        timers: The timer service.
    """

    def __init__(self, *, timers: TimerService) -> None:
        self.inbox: Mailbox[PoolsMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._timers = timers
        self._pools: dict[ServiceName, RetryPool] = {}

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "retry_pools"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        while True:
            message = await self.inbox.receive()
            match message:
                case AcquirePooled():
                    if not message.reply.abandoned:
                        message.reply.send(self._acquire(message.ask))
                case ReadPoolsDump():
                    message.reply.send(self._make_dump())

    async def dump(self) -> RetryPoolsDump:
        """Return the state of the pools at one moment."""
        return await ask(self.inbox, lambda reply: ReadPoolsDump(reply=reply))

    def _acquire(self, wanted: RetryAsk) -> RetryGrant:
        now_s = self._timers.read_now_s()
        return self._find_pool(wanted, now_s).acquire(
            wanted.account,
            rank=wanted.rank,
            max_wait_s=wanted.max_wait_s,
            has_waited=wanted.has_waited,
            now_s=now_s,
        )

    def _find_pool(self, wanted: RetryAsk, now_s: float) -> RetryPool:
        for pool in self._pools.values():
            pool.drop_silent(now_s)
        self._pools = {s: p for s, p in self._pools.items() if p.front_count}
        known = self._pools.get(wanted.service)
        if known is not None and known.window_s == wanted.account.window_s:
            return known
        pool = RetryPool(window_s=wanted.account.window_s)
        self._pools[wanted.service] = pool
        return pool

    def _make_dump(self) -> RetryPoolsDump:
        now_s = self._timers.read_now_s()
        return RetryPoolsDump(
            pools=tuple(
                RetryPoolDump(
                    service=service,
                    fronts=pool.front_count,
                    available=pool.read_available(now_s),
                )
                for service, pool in self._pools.items()
            ),
            waiting_messages=self.inbox.waiting_count,
        )
