"""Departures of a host's targets, recorded in the registry."""

from samphirespring.connection.registry_link import (
    READ_DEPARTURES,
    RECORD_DEPARTURE,
    ReadDepartures,
    RecordDeparture,
)
from samphirespring.process.agent.departure_store import DepartureStore
from samphirespring.process.control_client import ControlClient
from samphirespring.process.ids import HostId
from samphirespring.process.targets import LeaveRecord, TargetDeparture

CALL_TIMEOUT_S = 0.35
"""Timeout of one control host, in seconds; another one can still confirm a departure in time."""


class RegistryDepartures(DepartureStore):
    """Asks the registry's leader, which replies from what a quorum of control hosts has.

    Args:
        host: The own host.
        control: Client for the control hosts.
    """

    def __init__(self, *, host: HostId, control: ControlClient) -> None:
        self._host = host
        self._control = control

    async def record(self, departure: TargetDeparture) -> None:
        """Return once a departure is committed."""
        request = RecordDeparture(host=self._host, departure=departure)
        await self._control.call_leader(RECORD_DEPARTURE, request, timeout_s=CALL_TIMEOUT_S)

    async def read(self) -> LeaveRecord:
        """Return the latest departure of each target of the host, and the drained targets."""
        request = ReadDepartures(host=self._host)
        reply = await self._control.call_leader(READ_DEPARTURES, request, timeout_s=CALL_TIMEOUT_S)
        return LeaveRecord(departures=reply.departures, drained=reply.drained)
