"""Link addresses of the control hosts, from the settings and as control hosts report them."""

from collections.abc import Iterable, Sequence
from typing import overload

import xxhash


class ControlDirectory(Sequence[str]):
    """The addresses that a node tries, in order: first the reported ones, then the seeds.

    The node's components read the addresses anew for each call. Only the registry client updates
    the reported ones.

    Args:
        seeds: Addresses from the settings.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._reported: tuple[str, ...] = ()
        self._addresses = self._seeds

    @property
    def reported(self) -> tuple[str, ...]:
        """Addresses that the control hosts reported; empty before the first report."""
        return self._reported

    @property
    def digest(self) -> int:
        """Digest of the reported addresses; 0 before the first report."""
        return compute_digest(self._reported)

    def use_reported(self, addresses: Iterable[str]) -> None:
        """Replace the reported addresses.

        Args:
            addresses: Link addresses of all control hosts, as one of them reported.
        """
        self._reported = tuple(addresses)
        self._merge()

    def use_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds.

        Args:
            seeds: Addresses from the settings.
        """
        self._seeds = tuple(seeds)
        self._merge()

    @overload
    def __getitem__(self, index: int) -> str: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[str, ...]: ...

    def __getitem__(self, index: int | slice) -> str | tuple[str, ...]:
        return self._addresses[index]

    def __len__(self) -> int:
        return len(self._addresses)

    def _merge(self) -> None:
        self._addresses = tuple(dict.fromkeys((*self._reported, *self._seeds)))


def compute_digest(addresses: Sequence[str]) -> int:
    """Return the digest of a list of addresses, 0 for an empty list.

    Args:
        addresses: The addresses.
    """
    if not addresses:
        return 0
    return xxhash.xxh32_intdigest(",".join(addresses).encode())
