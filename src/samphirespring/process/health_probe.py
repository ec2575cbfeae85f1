"""Interface of probes of a target's health endpoint."""

from abc import ABC, abstractmethod


class HealthProbe(ABC):
    """Requests the health endpoint of a target."""

    @abstractmethod
    async def check(self, *, address: str, path: str) -> bool:
        """Return whether the target reports itself healthy; the calling code applies the timeout.

        Args:
            address: `IP:port` of the health endpoint.
            path: Path of the health endpoint.
        """
