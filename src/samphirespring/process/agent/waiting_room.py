"""Queue of attempts that wait for a slot as long as they can still be served in time.

It is designed for a load that exceeds the slots of a service for some seconds, while callers give
their requests several seconds. Attempts that wait in an order need no repeated tries, which serve
whoever happens to ask when a slot becomes free.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Mapping, Sequence

from samphirespring.process.agent.admission_queue import AdmissionQueue, SlotPace, Waiter
from samphirespring.process.agent.fair_shares import FairShares
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode
from samphirespring.version.ids import NO_WORKSPACE, WorkspaceId

CAPACITY = 200
"""Largest number of waiting attempts, which bounds the memory that they take."""

MAX_READ_WAIT_S = 1.0
"""Longest wait of an attempt that may be repeated, in seconds. Its front starts another attempt
elsewhere once this one takes longer than usual, and can't tell a wait from a stall."""

LESS_URGENT_INTERVAL = 8
"""One start in so many goes to an attempt that isn't among the most urgent, so that none starve."""

START_MARGIN = 1.1
"""Factor on the expected time until an attempt starts: who is just in time as a rule would often
wait to the end and be refused then."""

_Sharer = tuple[int, WorkspaceId]
"""Rank and workspace of attempts that share slots."""

_Order = tuple[bool, int, bool, float, float]
"""Whether a helper, rank, whether late for its aim, position of its workspace, arrival."""


class WaitingRoom(AdmissionQueue):
    """Orders waiting attempts by what their callers lose, and refuses who can't be in time.

    First come lower ranks, then attempts that can still be within their aim, then workspaces that
    had fewer starts, then earlier arrivals. Attempts of the helper class come last. Attempts
    without a workspace have half of the starts of their rank, if as many wait.
    """

    rechecks_suspicion = True

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        # By rank: a start of another rank says nothing about whose turn it is.
        self._shares: defaultdict[int, FairShares] = defaultdict(FairShares)
        self._start_count = 0

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def waiting_work_s(self) -> float:
        """Expected work of the waiting attempts, in seconds of a target of usual speed."""
        return sum(waiter.request.work_s or 0.0 for waiter in self._waiters)

    def find_wait_end(self, request: AttemptRequest, *, pace: SlotPace, now_s: float) -> float:
        """Return until when an attempt may wait, in seconds of monotonic time.

        An attempt that starts later isn't expected to end before its deadline.
        """
        remaining_s = request.remaining_ms / 1_000
        wait_s = max(0.0, remaining_s - pace.expect_slow_run_s(request))
        return now_s + (min(wait_s, MAX_READ_WAIT_S) if request.idempotent else wait_s)

    def offer(self, waiter: Waiter, *, pace: SlotPace, now_s: float) -> RefusalCode | None:
        """Enqueue an attempt, or return why it is refused.

        Attempts behind it that can't be in time any more are refused as well, at once.
        """
        self._refuse_expired(now_s)
        self._waiters.append(waiter)
        for refused in self._list_late(pace, now_s=now_s):
            self._waiters.remove(refused)
            if refused is waiter:
                return _choose_code(waiter)
            refused.refuse(_choose_code(refused))
        return None

    def pop_next(self, *, pace: SlotPace, now_s: float) -> Waiter | None:
        """Remove and return the attempt for the next slot; refuse expired and abandoned ones.

        Others that can't be in time any more are refused as well, at once.
        """
        self._refuse_expired(now_s)
        if not self._waiters:
            return None
        waiter = self._arrange(now_s)[0]
        self._start_count += 1
        rank, workspace = waiter.request.rank, waiter.request.workspace
        weight = self._count_shares()[rank, workspace]
        self._waiters.remove(waiter)
        self._shares[rank].record_start(workspace, weight=weight)
        for late in self._list_late(pace, now_s=now_s):
            self._waiters.remove(late)
            late.refuse(_choose_code(late))
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove an attempt, and return whether it was still in the queue."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        return True

    def refuse_all(self, code: RefusalCode) -> None:
        """Refuse every waiting attempt."""
        for waiter in self._waiters:
            waiter.refuse(code)
        self._waiters.clear()

    def _refuse_expired(self, now_s: float) -> None:
        expired = [w for w in self._waiters if w.wait_ends_at_s <= now_s or w.reply.abandoned]
        for waiter in expired:
            self._waiters.remove(waiter)
            waiter.expire(now_s)

    def _list_late(self, pace: SlotPace, *, now_s: float) -> list[Waiter]:
        """Return the attempts that won't start before the end of their wait, or beyond capacity."""
        interval_s = START_MARGIN * pace.run_s / max(1, pace.slots)
        late: list[Waiter] = []
        starts = 0
        for waiter in self._arrange(now_s):
            starts_at_s = now_s + (starts + 1) * interval_s
            if starts >= CAPACITY or starts_at_s > waiter.wait_ends_at_s:
                late.append(waiter)
            else:
                starts += 1
        return late

    def _arrange(self, now_s: float) -> list[Waiter]:
        """Return the attempts in the order in which they are to start."""
        ranked = self._sort(now_s)
        if not ranked:
            return []
        most_urgent = ranked[0].request.rank
        lower = self._list_lower(ranked, most_urgent)
        if not lower:
            return ranked
        arranged: dict[int, Waiter] = {}
        for waiter in ranked:
            if (self._start_count + len(arranged) + 1) % LESS_URGENT_INTERVAL == 0:
                while lower and id(lower[0]) in arranged:
                    lower.popleft()
                if lower:
                    arranged[id(lower[0])] = lower[0]
            arranged.setdefault(id(waiter), waiter)
        return list(arranged.values())

    def _list_lower(self, ranked: Sequence[Waiter], most_urgent: int) -> deque[Waiter]:
        """Return the attempts of lower ranks: ranks by arrival, and their own order in each."""
        by_rank: defaultdict[int, deque[Waiter]] = defaultdict(deque)
        for waiter in ranked:
            by_rank[waiter.request.rank].append(waiter)
        arrived = (waiter.request.rank for waiter in self._waiters)
        return deque(by_rank[rank].popleft() for rank in arrived if rank != most_urgent)

    def _sort(self, now_s: float) -> list[Waiter]:
        """Return the attempts by what their callers lose, most first."""
        shares = self._count_shares()
        counts: Counter[_Sharer] = Counter()
        keys: dict[int, _Order] = {}
        for waiter in self._waiters:
            rank, workspace = sharer = waiter.request.rank, waiter.request.workspace
            counts[sharer] += 1
            keys[id(waiter)] = (
                waiter.is_helper,
                rank,
                waiter.aim_needs_start_by_s < now_s,
                self._shares[rank].read_position(workspace) + counts[sharer] / shares[sharer],
                waiter.arrived_at_s,
            )
        return sorted(self._waiters, key=lambda waiter: keys[id(waiter)])

    def _count_shares(self) -> Mapping[_Sharer, int]:
        """Return how many shares of the slots each workspace with waiting attempts has: one.

        Attempts without a workspace, such as the calls of requests that run, have as many as all
        workspaces of their rank: with one, their part would be that of a single workspace.
        """
        sharers = {(waiter.request.rank, waiter.request.workspace) for waiter in self._waiters}
        named = Counter(rank for rank, workspace in sharers if workspace != NO_WORKSPACE)
        return {
            (rank, workspace): max(1, named[rank]) if workspace == NO_WORKSPACE else 1
            for rank, workspace in sharers
        }


def _choose_code(waiter: Waiter) -> RefusalCode:
    return RefusalCode.SHEDDING if waiter.is_helper else RefusalCode.NO_SLOT
