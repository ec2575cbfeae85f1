"""Pool of links to peers, with at most one link to each address."""

import ssl
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager

from samphirespring.connection.link_client import Link
from samphirespring.process.metrics.metrics import Metrics


class LinkPool:
    """Opens links on demand, and above its capacity closes the least recently used idle link.

    Args:
        capacity: Largest number of open links.
        tls: Context for mutual TLS; None uses plain TCP.
        metrics: Counts the bytes of messages.
    """

    def __init__(
        self,
        *,
        capacity: int,
        tls: ssl.SSLContext | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._capacity = capacity
        self._tls = tls
        self._metrics = metrics
        self._links: OrderedDict[str, Link] = OrderedDict()
        self._use_counts: dict[str, int] = {}

    @contextmanager
    def use(self, address: str) -> Iterator[Link]:
        """Yield the link to an address and keep it open inside the context.

        Args:
            address: `IP:port` of the peer's link server.
        """
        link = self._links.get(address)
        if link is None:
            link = Link(address, tls=self._tls, metrics=self._metrics)
            self._links[address] = link
        self._links.move_to_end(address)
        self._use_counts[address] = self._use_counts.get(address, 0) + 1
        try:
            yield link
        finally:
            self._release(address)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _release(self, address: str) -> None:
        self._use_counts[address] -= 1
        if self._use_counts[address] == 0:
            del self._use_counts[address]
        if len(self._links) > self._capacity:
            self._close_oldest_unused()

    def _close_oldest_unused(self) -> None:
        for address, link in self._links.items():
            if address not in self._use_counts:
                link.close()
                del self._links[address]
                return
