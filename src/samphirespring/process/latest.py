"""Single-value inboxes that keep only the newest or the highest value, for one reader."""

from typing import Generic, TypeVar

import anyio

ValueT = TypeVar("ValueT")


class LatestValue(Generic[ValueT]):
    """Inbox of one value: a newer value replaces an unread one, so that it never fills up."""

    def __init__(self) -> None:
        self._values: list[ValueT] = []
        self._changed = anyio.Event()

    def post(self, value: ValueT) -> None:
        """Post a newer value.

        Args:
            value: The value.
        """
        self._values[:] = [value]
        self._changed.set()

    async def receive(self) -> ValueT:
        """Wait for an unread value and return it."""
        while not self._values:
            await self._changed.wait()
            self._changed = anyio.Event()
        return self._values.pop()


class HighestValue(LatestValue[ValueT]):
    """Inbox of one value: an unread value is replaced only by a higher one."""

    def post(self, value: ValueT) -> None:
        """Post a value; it is dropped if a higher one is unread.

        Args:
            value: The value; its type must be ordered.
        """
        super().post(max((*self._values, value)))  # type: ignore[type-var]

    def receive_nowait(self, default: ValueT) -> ValueT:
        """Return the unread value without waiting, or a default.

        Args:
            default: Returned if nothing is unread.
        """
        return self._values.pop() if self._values else default
