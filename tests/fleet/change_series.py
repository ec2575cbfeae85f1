"""A series of changes of one section, with checks of the section afterwards."""

import json
import uuid
from dataclasses import dataclass

from fleet.client import Response, send_to_leader
from fleet.example import read_address
from fleet.processes import Fleet


@dataclass(frozen=True, kw_only=True)
class AcceptedChange:
    """Request and response of a change that the document accepted, as JSON values."""

    request: dict
    response: dict


class ChangeSeries:
    """Changes one section repeatedly through the control processes.

    Args:
        fleet: The running fleet.
        team: Name of the team, which is also its section's name.
    """

    def __init__(self, fleet: Fleet, *, team: str) -> None:
        self._addresses = [read_address(p, "operator_listen") for p in fleet.example.controls]
        self._token = f"example-token-{team}"
        self._path = f"/v1/document/sections/{team}"
        self.changes: list[AcceptedChange] = []

    def make(self, count: int) -> None:
        """Make changes one after another; each must be accepted.

        Args:
            count: Number of changes.
        """
        section = self._send("GET", self._path).json
        for index in range(count):
            section["content"]["routes"][0]["deadline_ms"] = 1_000 + index
            request = {
                "base_version": section["version"],
                "change_id": str(uuid.uuid4()),
                "content": json.loads(json.dumps(section["content"])),
            }
            response = self._send("PUT", self._path, request)
            assert response.status == 200, response
            section["version"] = response.json["version"]
            self.changes.append(AcceptedChange(request=request, response=response.json))

    def check(self) -> None:
        """Check that the last change is stored and that resends get the first response again."""
        last = self.changes[-1]
        section = self._send("GET", self._path).json
        assert section["version"] == last.response["version"], (section["version"], last.response)
        assert section["content"]["routes"] == last.request["content"]["routes"], section
        for change in (self.changes[0], self.changes[len(self.changes) // 2], last):
            response = self._send("PUT", self._path, change.request)
            assert (response.status, response.json) == (200, change.response), (
                response,
                change.response,
            )

    def _send(self, method: str, path: str, value=None) -> Response:
        return send_to_leader(self._addresses, method, path, value, token=self._token)
