"""Asks the host that selects a service's targets for retries from the joint budget."""

from collections.abc import Callable

import anyio

from samphirespring.connection.channel_client import AttemptChannel
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.ids import HostId
from samphirespring.process.mailbox import InboxFullError, Mailbox, ask
from samphirespring.process.shedding.retry_pool import FrontAccount, GrantDecision, RetryGrant
from samphirespring.process.shedding.retry_pools import AcquirePooled, PoolsMessage
from samphirespring.process.target_table_messages import FindScheduler, TableMessage
from samphirespring.process.traffic_limiter import (
    ReadFrontAccount,
    RecordPooledRetry,
    TrafficMessage,
)
from samphirespring.request.pooled_retries import RetryAsk, RetrySource, RetryTerms
from samphirespring.version.document import ServicePolicy

REPLY_TIMEOUT_S = 0.25
"""Longest wait for the other host, in seconds; the front's own budget then decides. It is longer
than for a target: a retry that comes later is better than one that the own budget denies."""


class ScheduledRetrySource(RetrySource):
    """Asks the pool of the host that selects a service's targets, which may be this one.

    Args:
        pools: Inbox of this host's own pools.
        traffic_limiter: Inbox of the task that owns the front's own retry budgets.
        table: Inbox of the target table, which knows the host that selects a service's targets.
        find_channel: Returns the channel to an address.
        host: This host.
    """

    def __init__(
        self,
        pools: Mailbox[PoolsMessage],
        *,
        traffic_limiter: Mailbox[TrafficMessage],
        table: Mailbox[TableMessage],
        find_channel: Callable[[str], AttemptChannel],
        host: HostId,
    ) -> None:
        self._pools = pools
        self._traffic_limiter = traffic_limiter
        self._table = table
        self._find_channel = find_channel
        self._host = host

    async def acquire(self, terms: RetryTerms, *, policy: ServicePolicy) -> RetryGrant | None:
        """Return the decision of the pool, or None without one in time."""
        peer: Peer | None = await ask(
            self._table, lambda reply: FindScheduler(service=terms.service, reply=reply)
        )
        if peer is None:
            return None
        account: FrontAccount = await ask(
            self._traffic_limiter,
            lambda reply: ReadFrontAccount(
                service=terms.service, policy=policy, host=self._host, reply=reply
            ),
        )
        wanted = RetryAsk(
            service=terms.service,
            account=account,
            rank=terms.rank,
            max_wait_s=terms.max_wait_s,
            has_waited=terms.has_waited,
        )
        grant = await self._ask(peer, wanted)
        if grant is not None and grant.decision is GrantDecision.GRANTED:
            self._traffic_limiter.post_always(RecordPooledRetry(service=terms.service))
        return grant

    async def _ask(self, peer: Peer, wanted: RetryAsk) -> RetryGrant | None:
        try:
            with anyio.fail_after(REPLY_TIMEOUT_S):
                if peer.host == self._host:
                    return await ask(
                        self._pools, lambda reply: AcquirePooled(ask=wanted, reply=reply)
                    )
                return await self._find_channel(peer.link_address).ask_retry(wanted)
        except (LinkUnavailableError, InboxFullError, TimeoutError):
            return None
