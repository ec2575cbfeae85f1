"""Durable record of the targets of a host that left, which outlives the host's process."""

from abc import ABC, abstractmethod

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.targets import LeaveRecord, TargetDeparture


class DepartureUnrecordedError(SamphireError):
    """A target left, but a restart of this process could forget it; the caller may try again."""

    code = ErrorCode.DEPARTURE_UNRECORDED


class DepartureStore(ABC):
    """Keeps the departures of one host's targets, beside the drains that operators request."""

    @abstractmethod
    async def record(self, departure: TargetDeparture) -> None:
        """Return once a departure is durable.

        Args:
            departure: The departure.

        Raises:
            SamphireError: It isn't known to be durable.
        """

    @abstractmethod
    async def read(self) -> LeaveRecord:
        """Return the departures and drains, also those of earlier processes.

        Raises:
            SamphireError: The record can't be reached.
        """
