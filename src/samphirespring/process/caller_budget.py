"""Budget of one process for everything that it holds for callers, and who goes when it is short.

Connections report what they hold; the budget tells them to pause, to go on or to end. It knows
neither sockets nor HTTP. Its calls take effect in the same turn of the event loop: a message that
waited in an inbox would let every ready connection read once more.
"""

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

import msgspec

PAUSE_SHARE = 0.35
"""Share of the budget above which connections that hold more than their part aren't read."""

MIN_PART_BYTES = 65_536
"""Memory that a connection may hold in any case before it is paused, in bytes, so that many idle
connections don't hold up a short body."""

END_SHARE = 0.5
"""Share of the budget above which connections are ended; the rest is left for requests without a
body, and for what was received in the same turn."""

RELIEF_SHARE = 0.9
"""Share of a threshold down to which connections are ended, so that the next byte doesn't exceed
it again."""

STALL_S = 2.0
"""Time without progress after which a connection stands still, in seconds."""

RELIEF_INTERVAL_S = 0.05
"""Shortest time between two searches that requests which are already being served cause."""

CONNECTIONS_RELIEF = 32
"""Divisor of the limit on connections: so many are ended at once when it is exceeded, as a search
for each new connection would take long."""

PAUSED_LIMIT_S = 1.0
"""Time for which a connection may hold its part unread while memory stays short, in seconds."""


class HolderState(Enum):
    """What a connection does with the memory that it holds.

    IDLE is between two requests, RECEIVING in a request that isn't complete. A complete one is
    being served in SERVING and AHEAD; in AHEAD more was sent behind it. UNREAD has bytes that the
    caller hasn't read.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    AHEAD = "ahead"
    SERVING = "serving"
    UNREAD = "unread"


GROWING_STATES = frozenset({HolderState.RECEIVING, HolderState.AHEAD})
"""States in which a connection holds more the more its caller sends."""


class EndReason(Enum):
    """Why the budget ends a connection."""

    UNREAD = "unread"
    STALLED = "stalled"
    OVER_SHARE = "over_share"
    IDLE = "idle"
    LARGEST = "largest"
    UNREAD_TIMEOUT = "unread_timeout"


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """What one connection holds.

    Attributes:
        size_bytes: Memory that it holds, in bytes.
        unread_bytes: Part of it that the caller has to read, in bytes.
        state: What it does.
    """

    size_bytes: int
    unread_bytes: int
    state: HolderState


class Holder(ABC):
    """A connection that holds memory for its caller."""

    @abstractmethod
    def measure(self) -> Holding:
        """Return what the connection holds now."""

    @abstractmethod
    def pause(self) -> None:
        """Receive no more."""

    @abstractmethod
    def resume(self) -> None:
        """Receive again."""

    @abstractmethod
    def end(self, reason: EndReason) -> None:
        """Refuse the request that isn't complete, or close the connection.

        Args:
            reason: Why.
        """

    @abstractmethod
    def cut(self) -> None:
        """Close the connection immediately; what its caller hasn't read is lost."""


class BudgetLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a budget.

    Attributes:
        held_bytes: Memory for all connections together, in bytes.
        connections: Largest number of connections.
        unread_s: Longest time for which a caller reads nothing of a response, in seconds.
    """

    held_bytes: int
    connections: int
    unread_s: float


class Account(msgspec.Struct, kw_only=True, eq=False):
    """What the budget knows of one connection.

    Attributes:
        holder: The connection.
        holding: Its latest report.
        progressed_at_s: When it last received or its caller read, in seconds of monotonic time.
        paused_at_s: When it was paused; None while it is read.
        is_ending: Whether it was told to end.
    """

    holder: Holder
    holding: Holding
    progressed_at_s: float
    paused_at_s: float | None = None
    is_ending: bool = False


class CallerBudget:
    """Adds up what connections hold, and chooses which are paused and ended.

    Args:
        limits: The limits.
        read_now_s: Returns monotonic time, in seconds.
    """

    def __init__(self, limits: BudgetLimits, *, read_now_s: Callable[[], float]) -> None:
        self._limits = limits
        self._read_now_s = read_now_s
        self._accounts: set[Account] = set()
        self._unread: set[Account] = set()
        self._paused: set[Account] = set()
        self._ending: set[Account] = set()
        """Connections that were told to end and aren't closed yet."""

        self._staying_bytes = 0
        """Memory of the connections that weren't told to end, in bytes."""

        self._staying = 0
        """Number of the connections that weren't told to end."""

        self._relieved_at_s = -math.inf
        self.ended: Counter[EndReason] = Counter()
        """Connections that were told to end, by reason."""

        self.paused_count = 0
        """How often a connection was paused."""

    @property
    def held_bytes(self) -> int:
        """Memory that all connections hold, in bytes."""
        return self._staying_bytes

    @property
    def connection_count(self) -> int:
        """Number of connections, without those that end."""
        return self._staying

    @property
    def has_room(self) -> bool:
        """Whether another request may begin."""
        return self._staying_bytes <= self._limits.held_bytes

    def open(self, holder: Holder) -> Account:
        """Begin to count a connection.

        Args:
            holder: The connection.
        """
        account = Account(
            holder=holder, holding=holder.measure(), progressed_at_s=self._read_now_s()
        )
        self._accounts.add(account)
        self._staying += 1
        self._staying_bytes += account.holding.size_bytes
        if self._staying > self._limits.connections:
            self._end_connections(newcomer=account)
        if len(self._accounts) > self._limits.connections:
            self._cut_ending(len(self._accounts) - self._limits.connections)
        self._relieve(account.holding.state)
        return account

    def close(self, account: Account) -> None:
        """Stop counting a connection, which has ended.

        Args:
            account: Its account.
        """
        if account not in self._accounts:
            return
        self._accounts.remove(account)
        self._unread.discard(account)
        self._paused.discard(account)
        self._ending.discard(account)
        if not account.is_ending:
            self._leave(account)
        self._resume_paused()

    def record(self, account: Account, *, has_progress: bool = False) -> None:
        """Take in what a connection holds, and relieve the budget if it is short.

        Args:
            account: The connection's account.
            has_progress: Whether its caller sent or read something.
        """
        if account not in self._accounts:
            return
        grew = self._measure(account)
        if has_progress and not account.holding.unread_bytes:
            account.progressed_at_s = self._read_now_s()
        if account.is_ending:
            return
        if grew:
            self._pause_if_over_share(account)
            self._relieve(account.holding.state)
        else:
            self._resume_paused()

    def sweep(self) -> None:
        """Do what only time makes due: end what stands still while the budget is short."""
        now_s = self._read_now_s()
        for account in tuple(self._unread):
            self._check_unread(account, now_s)
        if self._staying_bytes <= self._pause_bytes:
            self._resume_paused()
            return
        for account in tuple(self._accounts):
            self._measure(account)
        self._end_until(
            self._pause_bytes,
            (*self._find_still(now_s), *self._find_paused(now_s, after_s=PAUSED_LIMIT_S)),
        )
        self._resume_paused()

    @property
    def _pause_bytes(self) -> float:
        return self._limits.held_bytes * PAUSE_SHARE

    @property
    def _end_bytes(self) -> float:
        return self._limits.held_bytes * END_SHARE

    def _measure(self, account: Account) -> bool:
        """Update an account, and return whether it holds more than before."""
        before, account.holding = account.holding, account.holder.measure()
        grown_bytes = account.holding.size_bytes - before.size_bytes
        if not account.is_ending:
            self._staying_bytes += grown_bytes
        if account.holding.unread_bytes:
            if not before.unread_bytes or account.holding.unread_bytes < before.unread_bytes:
                account.progressed_at_s = self._read_now_s()
            self._unread.add(account)
        else:
            self._unread.discard(account)
        return grown_bytes > 0

    def _check_unread(self, account: Account, now_s: float) -> None:
        """End a connection whose caller has read nothing for too long, also if it ends already."""
        self._measure(account)
        is_unread = account.holding.unread_bytes > 0
        if is_unread and now_s - account.progressed_at_s >= self._limits.unread_s:
            self._end(account, EndReason.UNREAD_TIMEOUT)

    def _pause_if_over_share(self, account: Account) -> None:
        if self._staying_bytes <= self._pause_bytes or account.paused_at_s is not None:
            return
        if account.holding.state not in GROWING_STATES:
            return
        if account.holding.size_bytes <= max(self._pause_bytes / self._staying, MIN_PART_BYTES):
            return
        account.paused_at_s = self._read_now_s()
        self._paused.add(account)
        self.paused_count += 1
        account.holder.pause()

    def _resume_paused(self) -> None:
        if not self._paused or self._staying_bytes > self._pause_bytes:
            return
        for account in tuple(self._paused):
            self._paused.discard(account)
            account.paused_at_s = None
            account.progressed_at_s = self._read_now_s()
            account.holder.resume()

    def _relieve(self, cause: HolderState) -> None:
        """End connections if the budget is short.

        Args:
            cause: State of the connection that grew. If that can be ended itself, the search always
                finds one; otherwise it may find none, and is repeated rarely.
        """
        if self._staying_bytes <= self._end_bytes:
            return
        now_s = self._read_now_s()
        if cause not in GROWING_STATES and now_s - self._relieved_at_s < RELIEF_INTERVAL_S:
            return
        self._relieved_at_s = now_s
        self._end_until(self._end_bytes * RELIEF_SHARE, self._iterate_candidates(now_s))
        self._end_until(self._limits.held_bytes, self._find_unread())

    def _end_until(self, target_bytes: float, chosen: Iterable[tuple[Account, EndReason]]) -> None:
        for account, reason in chosen:
            if self._staying_bytes <= target_bytes:
                return
            if not account.is_ending:
                self._end(account, reason)

    def _iterate_candidates(self, now_s: float) -> Iterator[tuple[Account, EndReason]]:
        """Yield connections in the order in which they are ended; a group is found when needed."""
        yield from self._find_still(now_s)
        yield from self._find_paused(now_s, after_s=0.0)
        yield from self._find_idle(now_s, after_s=STALL_S)
        yield from self._find_growing()
        yield from self._find_idle(now_s, after_s=0.0)

    def _end_connections(self, *, newcomer: Account) -> None:
        """End some connections because there are too many, and the newest if no other can be."""
        count = max(1, self._limits.connections // CONNECTIONS_RELIEF)
        for account, reason in self._iterate_candidates(self._read_now_s()):
            if account is newcomer or account.is_ending:
                continue
            self._end(account, reason)
            count -= 1
            if count == 0:
                return
        if self._staying > self._limits.connections:
            self._end(newcomer, EndReason.IDLE)

    def _cut_ending(self, count: int) -> None:
        """Close connections that were told to end and haven't yet, as their number counts, too."""
        ending = sorted(self._ending, key=lambda account: account.progressed_at_s)
        for account in ending[:count]:
            self._ending.discard(account)
            account.holder.cut()

    def _end(self, account: Account, reason: EndReason) -> None:
        self.ended[reason] += 1
        if not account.is_ending:
            account.is_ending = True
            self._ending.add(account)
            self._leave(account)
        self._paused.discard(account)
        account.holder.end(reason)

    def _leave(self, account: Account) -> None:
        self._staying -= 1
        self._staying_bytes -= account.holding.size_bytes

    def _find_still(self, now_s: float) -> list[tuple[Account, EndReason]]:
        """Return connections without progress: unread responses, then unfinished requests."""
        still = [a for a in self._accounts if now_s - a.progressed_at_s >= STALL_S]
        unread = [a for a in still if a.holding.state is HolderState.UNREAD]
        receiving = [
            a for a in still if a.holding.state is HolderState.RECEIVING and a.paused_at_s is None
        ]
        return [
            *((account, EndReason.UNREAD) for account in _sort_by_size(unread)),
            *((account, EndReason.STALLED) for account in _sort_by_size(receiving)),
        ]

    def _find_paused(self, now_s: float, *, after_s: float) -> list[tuple[Account, EndReason]]:
        """Return connections that aren't read, but those whose last request is being served."""
        paused = [
            a
            for a in self._paused
            if a.paused_at_s is not None
            and now_s - a.paused_at_s >= after_s
            and a.holding.state is not HolderState.SERVING
        ]
        return [(account, EndReason.OVER_SHARE) for account in _sort_by_size(paused)]

    def _find_idle(self, now_s: float, *, after_s: float) -> list[tuple[Account, EndReason]]:
        """Return connections between two requests, those last used longest ago first."""
        idle = [
            a
            for a in self._accounts
            if a.holding.state is HolderState.IDLE and now_s - a.progressed_at_s >= after_s
        ]
        idle.sort(key=lambda account: account.progressed_at_s)
        return [(account, EndReason.IDLE) for account in idle]

    def _find_growing(self) -> list[tuple[Account, EndReason]]:
        """Return connections that send a request, though they make progress."""
        growing = [a for a in self._accounts if a.holding.state in GROWING_STATES]
        return [(account, EndReason.LARGEST) for account in _sort_by_size(growing)]

    def _find_unread(self) -> list[tuple[Account, EndReason]]:
        unread = [a for a in self._unread if a.holding.state is HolderState.UNREAD]
        return [(account, EndReason.LARGEST) for account in _sort_by_size(unread)]


def _sort_by_size(accounts: list[Account]) -> list[Account]:
    return sorted(accounts, key=lambda account: account.holding.size_bytes, reverse=True)
