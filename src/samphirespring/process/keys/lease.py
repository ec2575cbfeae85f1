"""State machine of the permission to run requests with API keys, which ends by itself."""

from collections.abc import Iterable

import msgspec

from samphirespring.version.stamp import NO_STAMP, DocumentStamp

MAX_WAITING = 32
"""Confirmations kept that are waiting for a newer document; the oldest are dropped first."""


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """States which version of the document was the newest at a time.

    Attributes:
        stamp: No change that was acknowledged before `at_s` is missing from this version.
        at_s: The time, in seconds since the boot of the own host.
    """

    stamp: DocumentStamp
    at_s: float


class KeyLease:
    """Permission that a host has until a time after the latest confirmation of its document.

    All times are in seconds since the boot of the host, including times of suspension.
    """

    def __init__(self) -> None:
        self._stamp = NO_STAMP
        self._duration_s: float | None = None
        self._confirmed_at_s: float | None = None
        self._waiting: list[Confirmation] = []
        self._latest: Confirmation | None = None

    @property
    def duration_s(self) -> float | None:
        """How long a confirmation permits to use keys, in seconds; None if nothing is limited."""
        return self._duration_s

    @property
    def latest(self) -> Confirmation | None:
        """The latest confirmation, even if the own document is older than it requires."""
        return self._latest

    def use_document(self, stamp: DocumentStamp, *, duration_s: float | None) -> None:
        """Put a newer document in force; confirmations that waited for it count from now on.

        Args:
            stamp: Version of the document.
            duration_s: How long a confirmation permits to use keys, in seconds; None for no limit.
        """
        self._stamp = stamp
        self._duration_s = duration_s
        reached = [entry for entry in self._waiting if entry.stamp <= stamp]
        self._waiting = [entry for entry in self._waiting if entry.stamp > stamp]
        self._extend(reached)

    def record(self, confirmation: Confirmation) -> None:
        """Extend the permission, now or once the confirmed version has arrived.

        Args:
            confirmation: The confirmation; they may come in any order.
        """
        if self._latest is None or confirmation.at_s > self._latest.at_s:
            self._latest = confirmation
        if confirmation.stamp <= self._stamp:
            self._extend([confirmation])
        else:
            self._waiting = [*self._waiting, confirmation][-MAX_WAITING:]

    def is_valid(self, now_s: float) -> bool:
        """Return whether the host may use API keys.

        Args:
            now_s: Time since the boot of the host, in seconds.
        """
        return self.read_remaining_s(now_s) > 0.0

    def proves_newest(self, now_s: float) -> bool:
        """Return whether the own document is confirmed, and no newer one is known.

        Args:
            now_s: Time since the boot of the host, in seconds.
        """
        return self.is_valid(now_s) and not self._waiting

    def read_remaining_s(self, now_s: float) -> float:
        """Return for how long the host may use API keys, in seconds; infinite without a limit.

        Args:
            now_s: Time since the boot of the host, in seconds.
        """
        if self._duration_s is None:
            return float("inf")
        if self._confirmed_at_s is None:
            return 0.0
        return max(0.0, self._confirmed_at_s + self._duration_s - now_s)

    def _extend(self, confirmations: Iterable[Confirmation]) -> None:
        for confirmation in confirmations:
            if self._confirmed_at_s is None or confirmation.at_s > self._confirmed_at_s:
                self._confirmed_at_s = confirmation.at_s
