"""Link addresses of the control hosts, as the settings name them and as they tell themselves."""

from collections.abc import Iterable, Sequence
from typing import overload

import xxhash


class ControlDirectory(Sequence[str]):
    """The addresses that a node tries, in order: those heard from the control hosts, then seeds.

    Its parts read it anew for each call; only the registry client changes it.

    Args:
        seeds: Addresses from the settings.
    """

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._reported: tuple[str, ...] = ()
        self._addresses = self._seeds

    @property
    def reported(self) -> tuple[str, ...]:
        """Addresses that the control hosts told; empty before they did."""
        return self._reported

    @property
    def digest(self) -> int:
        """Number that stands for what was told; 0 before that."""
        return compute_digest(self._reported)

    def use_reported(self, addresses: Iterable[str]) -> None:
        """Take the addresses of all control hosts as one of them tells.

        Args:
            addresses: The addresses.
        """
        self._reported = tuple(addresses)
        self._merge()

    def use_seeds(self, seeds: Iterable[str]) -> None:
        """Take other addresses from the settings.

        Args:
            seeds: The addresses.
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
    """Return a number that stands for a list of addresses, 0 for an empty one.

    Args:
        addresses: The addresses.
    """
    if not addresses:
        return 0
    return xxhash.xxh32_intdigest(",".join(addresses).encode())
