"""Rate limits of workspaces and retry budgets of services at one front."""

import random

import anyio
import msgspec

from samphirespring.process.ids import HostId
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.paging import (
    DumpList,
    DumpPage,
    EntryKey,
    ListUnknownError,
    PagedList,
    PageRequest,
    make_single_part_list,
)
from samphirespring.process.rate_limiter import SHARD_COUNT, RateLimiter
from samphirespring.process.refusal_history import (
    DeniedRetry,
    LimitedRequest,
    RefusalHistory,
)
from samphirespring.process.retry_budget import (
    WINDOW_S,
    RetryBudget,
    RetryBudgetDump,
    RetryKind,
)
from samphirespring.process.shedding.retry_pool import FrontAccount
from samphirespring.process.tasks import OwnerTask, PagedDump
from samphirespring.process.timers import TimerService
from samphirespring.version.document import RateLimit, ServicePolicy
from samphirespring.version.ids import ServiceName

INBOX_CAPACITY = 10_000
BUCKET_CAPACITY = 100_000
"""Largest number of buckets at one front: per workspace, and per workspace and route."""

SWEEP_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 1.0
"""Time between two checks for buckets while there are none, in seconds."""

WORKSPACE_GROUP = ""
KEY_SEPARATOR = "\n"
"""Separates the bucket's name from the route's; no name of a route contains it."""


class AdmitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Checks a request against its rate limits, and counts it for its service if admitted."""

    service: ServiceName
    bucket: str
    """Name of the workspace, or the caller's address if the request has none."""

    workspace_limit: RateLimit | None
    route_name: str
    """Name of the route, unique in the document."""

    route_limit: RateLimit | None
    retry_window_s: float = WINDOW_S
    reply: ReplySlot[float]
    """0.0 if the request is admitted; else the time until it would be, in seconds."""


class AcquireRetry(msgspec.Struct, frozen=True, kw_only=True):
    """Requests permission for one additional attempt."""

    service: ServiceName
    policy: ServicePolicy
    kind: RetryKind
    reply: ReplySlot[bool]


class ReadFrontAccount(msgspec.Struct, frozen=True, kw_only=True):
    """Requests what this front adds to the joint retry budget of a service."""

    service: ServiceName
    policy: ServicePolicy
    host: HostId
    reply: ReplySlot[FrontAccount]


class RecordPooledRetry(msgspec.Struct, frozen=True, kw_only=True):
    """Charges an attempt that a joint budget granted."""

    service: ServiceName


class ReadTrafficDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the limiter's state."""

    reply: ReplySlot["TrafficGateDump"]


class ReadTrafficPage(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a page of the buckets or of the retry budgets."""

    request: PageRequest
    reply: ReplySlot[DumpPage[object]]


class UseFrontCount(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the number of fronts in the fleet, among which retry floors are divided."""

    count: int


TrafficMessage = (
    AdmitRequest
    | AcquireRetry
    | ReadFrontAccount
    | RecordPooledRetry
    | UseFrontCount
    | ReadTrafficDump
    | ReadTrafficPage
)


class BucketDump(msgspec.Struct, frozen=True, kw_only=True):
    """One bucket that isn't full."""

    bucket: str
    """Name of the workspace, or the caller's address if the request has none."""

    route: str | None
    """Route that the limit belongs to; None for the workspace's own limit."""

    full_in_s: float
    """Time until the bucket is full again, in seconds."""


class TrafficGateDump(PagedDump, frozen=True, kw_only=True):
    """State of the traffic limiter."""

    now_s: float
    """Monotonic time of the dump, in seconds."""

    buckets: tuple[BucketDump, ...]
    retry_budgets: tuple[RetryBudgetDump, ...]
    latest_limited: tuple[LimitedRequest, ...]
    """Latest requests that a rate limit rejected, oldest first."""

    latest_denied: tuple[DeniedRetry, ...]
    """Latest retries that a budget rejected, oldest first."""

    front_count: int
    limited_requests: int
    denied_retries: int
    waiting_messages: int


class TrafficLimiter(OwnerTask):
    """Owns the token buckets and the retry budgets of one front.

    Args:
        timers: The timer service.
        generator: Source of random numbers.
    """

    def __init__(self, *, timers: TimerService, generator: random.Random | None = None) -> None:
        self.inbox: Mailbox[TrafficMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._timers = timers
        self._limiter: RateLimiter[str] = RateLimiter(capacity=BUCKET_CAPACITY)
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._refusals = RefusalHistory()
        self._generator = generator or random.Random()
        self._front_count = 1
        self._limited = 0
        self._denied = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "traffic_gate"

    async def run(self) -> None:
        """Serve messages and evict full buckets until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._sweep)
            while True:
                self._handle(await self.inbox.receive())

    async def dump(self) -> TrafficGateDump:
        """Return the limiter's state at one moment."""
        return await ask(self.inbox, lambda reply: ReadTrafficDump(reply=reply))

    async def dump_page(self, request: PageRequest) -> DumpPage[object]:
        """Return one page of the buckets that aren't full, or of the retry budgets."""
        return await ask(self.inbox, lambda reply: ReadTrafficPage(request=request, reply=reply))

    def _handle(self, message: TrafficMessage) -> None:
        match message:
            case AdmitRequest():
                message.reply.send(self._admit(message))
            case AcquireRetry():
                message.reply.send(self._acquire_retry(message))
            case ReadFrontAccount():
                message.reply.send(self._read_account(message))
            case RecordPooledRetry():
                now_s = self._timers.read_now_s()
                self._find_budget(message.service, now_s).record_pooled(now_s=now_s)
            case UseFrontCount():
                self._front_count = max(1, message.count)
            case ReadTrafficDump():
                message.reply.send(self._make_dump())
            case ReadTrafficPage():
                self._reply_with_page(message)

    def _admit(self, message: AdmitRequest) -> float:
        now_s = self._timers.read_now_s()
        wait_s = self._acquire_tokens(message, now_s)
        if wait_s > 0.0:
            self._limited += 1
        else:
            budget = self._find_budget(message.service, now_s)
            budget.set_window(message.retry_window_s)
            budget.count_request(now_s=now_s)
        return wait_s

    def _acquire_tokens(self, message: AdmitRequest, now_s: float) -> float:
        bucket = message.bucket
        if message.workspace_limit is not None:
            wait_s = self._limiter.acquire(
                WORKSPACE_GROUP, bucket, limit=message.workspace_limit, now_s=now_s
            )
            if wait_s > 0.0:
                self._record_limited(message, message.workspace_limit, None, wait_s)
                return wait_s
        if message.route_limit is None:
            return 0.0
        wait_s = self._limiter.acquire(
            message.route_name, bucket, limit=message.route_limit, now_s=now_s
        )
        if wait_s > 0.0:
            self._record_limited(message, message.route_limit, message.route_name, wait_s)
            if message.workspace_limit is not None:
                self._limiter.refund(WORKSPACE_GROUP, bucket, limit=message.workspace_limit)
        return wait_s

    def _record_limited(
        self, message: AdmitRequest, limit: RateLimit, route: str | None, wait_s: float
    ) -> None:
        self._refusals.record_limited(
            LimitedRequest(
                at_s=self._timers.read_now_s(),
                service=message.service,
                bucket=message.bucket,
                route=route,
                limit=limit,
                wait_s=wait_s,
            )
        )

    def _acquire_retry(self, message: AcquireRetry) -> bool:
        now_s = self._timers.read_now_s()
        budget = self._find_budget(message.service, now_s)
        granted = budget.acquire(
            message.kind,
            share=message.policy.retry_share,
            floor=message.policy.retry_floor / self._front_count,
            now_s=now_s,
        )
        if not granted:
            self._denied += 1
            self._refusals.record_denied(
                DeniedRetry(
                    at_s=now_s,
                    kind=message.kind,
                    share=message.policy.retry_share,
                    floor=message.policy.retry_floor / self._front_count,
                    budget=budget.make_dump(message.service, now_s=now_s),
                )
            )
        return granted

    def _read_account(self, message: ReadFrontAccount) -> FrontAccount:
        now_s = self._timers.read_now_s()
        factor = message.policy.pooled_retry_factor
        return self._find_budget(message.service, now_s).read_account(
            host=message.host,
            share=message.policy.retry_share * factor,
            floor=message.policy.retry_floor * factor / self._front_count,
            now_s=now_s,
        )

    def _find_budget(self, service: ServiceName, now_s: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(now_s=now_s, generator=self._generator)
            self._budgets[service] = budget
        return budget

    async def _sweep(self) -> None:
        while True:
            has_buckets = self._limiter.bucket_count > 0
            await self._timers.wait_for(SWEEP_INTERVAL_S if has_buckets else IDLE_INTERVAL_S)
            self._limiter.sweep(now_s=self._timers.read_now_s())

    def _reply_with_page(self, message: ReadTrafficPage) -> None:
        cursor = message.request.cursor
        match message.request.list:
            case DumpList.BUCKETS:
                message.reply.send(self._list_buckets().read_page(cursor))
            case DumpList.RETRY_BUDGETS:
                message.reply.send(self._list_budgets().read_page(cursor))
            case other:
                error = ListUnknownError(f"traffic_gate has no long list {other.value}")
                message.reply.fail(error)

    def _list_buckets(self) -> PagedList[BucketDump]:
        return PagedList(
            DumpList.BUCKETS,
            total=self._limiter.bucket_count,
            part_count=SHARD_COUNT,
            read_keys=lambda part: [
                EntryKey(f"{bucket}{KEY_SEPARATOR}{group}")
                for group, buckets in self._limiter.list_shard(part).items()
                for bucket in buckets
            ],
            make_item=self._make_bucket_dump,
        )

    def _make_bucket_dump(self, part: int, key: EntryKey) -> BucketDump:
        bucket, _, group = key.rpartition(KEY_SEPARATOR)
        full_at_s = self._limiter.list_shard(part)[group][bucket]
        return BucketDump(
            bucket=bucket,
            route=None if group == WORKSPACE_GROUP else group,
            full_in_s=max(0.0, full_at_s - self._timers.read_now_s()),
        )

    def _list_budgets(self) -> PagedList[RetryBudgetDump]:
        now_s = self._timers.read_now_s()
        return make_single_part_list(
            DumpList.RETRY_BUDGETS,
            [EntryKey(service) for service in self._budgets],
            lambda key: self._budgets[ServiceName(key)].make_dump(ServiceName(key), now_s=now_s),
        )

    def _make_dump(self) -> TrafficGateDump:
        buckets = self._list_buckets().read_page()
        budgets = self._list_budgets().read_page()
        return TrafficGateDump(
            now_s=self._timers.read_now_s(),
            buckets=buckets.items,
            retry_budgets=budgets.items,
            pages=(buckets.info, budgets.info),
            latest_limited=self._refusals.limited,
            latest_denied=self._refusals.denied,
            front_count=self._front_count,
            limited_requests=self._limited,
            denied_retries=self._denied,
            waiting_messages=self.inbox.waiting_count,
        )
