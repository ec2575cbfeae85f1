"""Token bucket of one workspace, with a queue of requests that were promised the next tokens."""

import math
from collections import deque

import msgspec

from samphirespring.version.document import RateLimit

LONGEST_QUEUE_S = 1.0
"""Longest time until a promised token, in seconds; with the time of two asks, less than requests
wait."""

FULL_QUEUE_S = 0.5
"""The same if tokens are promised to others already, in seconds: a longer queue would serve no
more requests, only later ones."""

CLAIM_GRACE_S = 0.5
"""Time after a promised token is due until it is given to others, in seconds."""


class _Promise(msgspec.Struct, kw_only=True):
    """Tokens that were promised to requests of one front.

    Attributes:
        count: Tokens that weren't claimed yet.
        due_s: When the last of them is due, in seconds.
    """

    count: int
    due_s: float


class TokenPromise(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens promised to requests that wait.

    Attributes:
        count: How many of them get one.
        wait_s: Time until the first one, in seconds; also set if none is promised.
    """

    count: int
    wait_s: float


class QuotaBucket:
    """Token bucket whose limit may change.

    Args:
        limit: Rate and size of the bucket.
        tokens: Tokens at the start.
        now_s: Time of the start, in seconds.
    """

    def __init__(self, limit: RateLimit, *, tokens: float, now_s: float) -> None:
        self._limit = limit
        self._tokens = min(tokens, float(limit.burst))
        self._settled_at_s = now_s
        self._promises: deque[_Promise] = deque()
        self._promised = 0

    def is_full(self, now_s: float) -> bool:
        """Return whether no token is lacking.

        Args:
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        return self._tokens >= self._limit.burst and not self._promises

    def use_limit(self, limit: RateLimit, *, now_s: float) -> None:
        """Change the limit; tokens beyond the new size are lost, and none are added.

        Args:
            limit: The new limit.
            now_s: Time, in seconds.
        """
        if limit == self._limit:
            return
        self._settle(now_s)
        self._limit = limit
        self._tokens = min(self._tokens, float(limit.burst))
        self._promises.clear()
        self._promised = 0

    def take_promised(self, wanted: int, *, now_s: float) -> int:
        """Take tokens that were promised, and return how many there were.

        Args:
            wanted: Number of tokens.
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        claimed = min(wanted, self._promised)
        self._claim(claimed)
        taken = min(claimed, int(self._tokens))
        self._tokens -= taken
        return taken

    def take(self, wanted: int, *, now_s: float) -> int:
        """Take tokens that aren't promised to others, and return how many there were.

        Args:
            wanted: Number of tokens.
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        taken = max(0, min(wanted, int(self._tokens - self._promised)))
        self._tokens -= taken
        return taken

    def take_ahead(self, wanted: int, *, now_s: float) -> int:
        """Take up to half of the tokens that aren't promised, and return how many.

        Args:
            wanted: Number of tokens.
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        return self.take(min(wanted, int((self._tokens - self._promised) / 2)), now_s=now_s)

    def promise(self, wanted: int, *, now_s: float) -> TokenPromise:
        """Promise the next tokens to requests that wait, as far as they come soon enough.

        Args:
            wanted: Number of requests.
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        rate = self._limit.requests_per_s
        wait_s = max(0.0, self._promised + 1 - self._tokens) / rate
        longest_s = FULL_QUEUE_S if self._promised > 0 else LONGEST_QUEUE_S
        count = max(0, min(wanted, math.floor((longest_s - wait_s) * rate) + 1))
        if count > 0:
            due_s = now_s + wait_s + (count - 1) / rate
            self._promises.append(_Promise(count=count, due_s=due_s))
            self._promised += count
        return TokenPromise(count=count, wait_s=wait_s)

    def put_back(self, count: int, *, now_s: float) -> None:
        """Put back tokens that weren't used.

        Args:
            count: Number of tokens.
            now_s: Time, in seconds.
        """
        self._settle(now_s)
        self._tokens = min(self._tokens + count, float(self._limit.burst))

    def _settle(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._settled_at_s)
        self._settled_at_s = max(now_s, self._settled_at_s)
        added = elapsed_s * self._limit.requests_per_s
        self._tokens = min(self._tokens + added, float(self._limit.burst))
        while self._promises and self._promises[0].due_s + CLAIM_GRACE_S < now_s:
            self._promised -= self._promises.popleft().count

    def _claim(self, count: int) -> None:
        self._promised -= count
        while count > 0:
            oldest = self._promises[0]
            claimed = min(count, oldest.count)
            oldest.count -= claimed
            count -= claimed
            if oldest.count == 0:
                self._promises.popleft()
