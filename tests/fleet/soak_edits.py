"""Operators of the soak: teams edit their sections and check that accepted changes are kept."""

import http.client
import json
import random
import uuid

import anyio
import anyio.to_thread

from fleet.client import Response, send_json, send_request
from fleet.example import read_address
from fleet.processes import OPERATOR_TOKEN, Fleet

IN_FORCE_TIMEOUT_S = 4.0
MAX_SENDS = 30
RETRY_DELAY_S = 0.1


class SectionEditor:
    """One team that edits its section repeatedly.

    Args:
        fleet: The running fleet.
        team: Name of the team, which is also its section's name.
        generator: Source of random numbers.
        max_sends: Maximum number of times that one request is sent.
    """

    def __init__(
        self, *, fleet: Fleet, team: str, generator: random.Random, max_sends: int = MAX_SENDS
    ) -> None:
        self._fleet = fleet
        self._team = team
        self._generator = generator
        self._max_sends = max_sends
        self.accepted_count = 0
        self.unresolved_count = 0
        self.last_version = 0
        self.violations: list[str] = []

    async def run(self) -> None:
        """Edit until cancelled."""
        while True:
            await anyio.sleep(self._generator.uniform(2.0, 6.0))
            with anyio.CancelScope(shield=True):
                await self.edit()

    async def check_last(self) -> None:
        """Check that the section has not gone back to before the last accepted change."""
        current = await self._send_until_final("GET", None)
        if current is None:
            self.violations.append(f"section {self._team} can't be read after the faults")
        elif current.json["version"] < self.last_version:
            self.violations.append(
                f"section {self._team} went back from {self.last_version}"
                f" to {current.json['version']}"
            )

    async def edit(self) -> None:
        """Read the section, change it once, and record the result or a violation."""
        current = await self._send_until_final("GET", None)
        if current is None:
            self.unresolved_count += 1
            return
        version = current.json["version"]
        if version < self.last_version:
            self.violations.append(
                f"section {self._team} went back from {self.last_version} to {version}"
            )
        content = current.json["content"]
        content["routes"][0]["deadline_ms"] = self._generator.randint(2_000, 9_000)
        change = {
            "base_version": version,
            "change_id": str(uuid.UUID(int=self._generator.getrandbits(128))),
            "content": content,
        }
        response = await self._send_until_final("PUT", change)
        if response is None:
            self.unresolved_count += 1
        elif response.status == 200:
            self.accepted_count += 1
            self.last_version = max(self.last_version, response.json["version"])
        else:
            self.violations.append(
                f"edit of {self._team}: {response.status} {response.body[:200]!r}"
            )

    async def _send_until_final(self, method: str, value: object) -> Response | None:
        """Send a request to the control hosts in turn and return the first final response, or None.

        Resends are safe: a change is recognized by its id.
        """
        addresses = [read_address(p, "operator_listen") for p in self._fleet.example.controls]
        headers = {"Authorization": f"Bearer example-token-{self._team}"}
        path = f"/v1/document/sections/{self._team}"
        for index in range(self._max_sends):
            address = addresses[index % len(addresses)]
            try:
                response = await anyio.to_thread.run_sync(
                    lambda a=address: (
                        send_request(a, method, path, headers=headers)
                        if value is None
                        else send_json(a, method, path, value, headers=headers)
                    )
                )
            except (OSError, http.client.HTTPException):
                # A process that is killed while it responds leaves an incomplete response.
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if response.status < 500 and response.status not in (307, 308):
                return response
            await anyio.sleep(RETRY_DELAY_S)
        return None


def read_document_versions(fleet: Fleet) -> dict[str, int | None]:
    """Return the document version in force at each node that responds."""
    versions = {}
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    for path in fleet.example.nodes:
        address = read_address(path, "local_listen")
        try:
            response = send_request(address, "GET", "/v1/dump", headers=headers)
            versions[path.stem] = json.loads(response.body)["front"]["document_version"]
        except (OSError, KeyError, ValueError):
            continue
    return versions
