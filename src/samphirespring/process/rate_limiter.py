"""Token buckets for many keys, each stored as one number while it isn't full."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

import xxhash

from samphirespring.version.document import RateLimit

SHARD_COUNT = 64
EVICTION_SAMPLE = 8

GroupT = TypeVar("GroupT", bound=Hashable)


class RateLimiter(Generic[GroupT]):
    """Token buckets, by group and key.

    A bucket is stored as the time at which it will be full again (the generic cell rate
    algorithm). A full bucket needs no memory: it is created at its first use and evicted once it
    is full. At capacity, the bucket of a small sample that would be full soonest is dropped.

    Args:
        capacity: Largest number of buckets.
    """

    def __init__(self, *, capacity: int) -> None:
        self._shard_capacity = max(1, capacity // SHARD_COUNT)
        self._shards: list[dict[GroupT, dict[str, float]]] = [{} for _ in range(SHARD_COUNT)]
        self._counts = [0] * SHARD_COUNT
        self._earliest_full_at_s = [math.inf] * SHARD_COUNT
        self._next_sweep = 0

    @property
    def bucket_count(self) -> int:
        """Number of buckets in memory."""
        return sum(self._counts)

    def acquire(self, group: GroupT, key: str, *, limit: RateLimit, now_s: float) -> float:
        """Acquire one token, or return the time until one is available.

        Args:
            group: Owner of the limit, such as a route.
            key: Key of the bucket within the group, such as a workspace.
            limit: Rate and size of the bucket.
            now_s: Monotonic time, in seconds.

        Returns:
            0.0 if a token was acquired; else the time until one is available, in seconds.
        """
        number = xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT
        buckets = self._shards[number].setdefault(group, {})
        token_s = 1.0 / limit.requests_per_s
        full_at_s = max(now_s, buckets.get(key, now_s))
        wait_s = full_at_s + token_s - now_s - limit.burst * token_s
        if wait_s > _tolerance_s(now_s):
            return wait_s
        if key not in buckets:
            self._evict_if_full(number, now_s=now_s)
            self._counts[number] += 1
            buckets = self._shards[number].setdefault(group, {})
        buckets[key] = full_at_s + token_s
        self._earliest_full_at_s[number] = min(self._earliest_full_at_s[number], buckets[key])
        return 0.0

    def refund(self, group: GroupT, key: str, *, limit: RateLimit) -> None:
        """Return a token that was acquired but not used.

        Args:
            group: Owner of the limit.
            key: Key of the bucket within the group.
            limit: Rate and size of the bucket.
        """
        number = xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT
        buckets = self._shards[number].get(group, {})
        if key in buckets:
            buckets[key] -= 1.0 / limit.requests_per_s
            self._earliest_full_at_s[number] = min(self._earliest_full_at_s[number], buckets[key])

    def sweep(self, *, now_s: float) -> None:
        """Evict the full buckets of one shard; the next call sweeps the next shard.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._sweep_shard(self._next_sweep, now_s=now_s)
        self._next_sweep = (self._next_sweep + 1) % SHARD_COUNT

    def list_shard(self, number: int) -> dict[GroupT, dict[str, float]]:
        """Return the buckets of one shard: the time at which each is full, by group and key.

        Args:
            number: The shard, from 0 to `SHARD_COUNT` - 1.
        """
        return self._shards[number]

    def _sweep_shard(self, number: int, *, now_s: float) -> None:
        kept: dict[GroupT, dict[str, float]] = {}
        for group, buckets in self._shards[number].items():
            remaining = {key: full_at_s for key, full_at_s in buckets.items() if full_at_s > now_s}
            if remaining:
                kept[group] = remaining
        self._shards[number] = kept
        self._counts[number] = sum(len(buckets) for buckets in kept.values())
        self._earliest_full_at_s[number] = min(
            (full_at_s for buckets in kept.values() for full_at_s in buckets.values()),
            default=math.inf,
        )

    def _evict_if_full(self, number: int, *, now_s: float) -> None:
        if self._counts[number] < self._shard_capacity:
            return
        # Before the first bucket is full, a sweep would evict nothing.
        if self._earliest_full_at_s[number] <= now_s:
            self._sweep_shard(number, now_s=now_s)
        if self._counts[number] < self._shard_capacity:
            return
        group, key = min(
            self._sample(number), key=lambda pair: self._shards[number][pair[0]][pair[1]]
        )
        del self._shards[number][group][key]
        self._counts[number] -= 1

    def _sample(self, number: int) -> list[tuple[GroupT, str]]:
        found: list[tuple[GroupT, str]] = []
        for group, buckets in self._shards[number].items():
            for key in buckets:
                found.append((group, key))
                if len(found) == EVICTION_SAMPLE:
                    return found
        return found


def _tolerance_s(now_s: float) -> float:
    """Return the bound of the rounding error of a point in time, in seconds."""
    return max(1.0, now_s) * 1e-12
