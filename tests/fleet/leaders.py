"""Finds the control process whose replica is the leader of a replicated group."""

import http.client
import time
from pathlib import Path

from fleet.client import Response, send_request
from fleet.example import read_address
from fleet.processes import OPERATOR_TOKEN, Fleet

TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05


def read_from_control(settings: Path, path: str, *, token: str) -> Response:
    """Send a GET request to one control host and return its response.

    Args:
        settings: The control host's settings file.
        path: Path with query.
        token: Bearer token of a team.
    """
    headers = {"Authorization": f"Bearer {token}"}
    return send_request(read_address(settings, "operator_listen"), "GET", path, headers=headers)


def find_leader(fleet: Fleet, *, group: str = "document") -> Path:
    """Wait until a group has a leader, and return its control host's settings file.

    Args:
        fleet: The running fleet.
        group: Id of the group.
    """
    deadline_at_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_at_s:
        for settings in fleet.example.controls:
            try:
                response = read_from_control(settings, "/v1/dump", token=OPERATOR_TOKEN)
            except (OSError, http.client.HTTPException):
                continue
            if response.status == 200 and response.json[f"group_{group}"]["has_lease"]:
                return settings
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"no control process leads the group {group}")


def wait_until_initialized(fleet: Fleet, *, team: str) -> None:
    """Wait until a new document group holds the example's document.

    Args:
        fleet: The running fleet.
        team: Name of a team, which is also its section's name.
    """
    leader = find_leader(fleet)
    path = f"/v1/document/sections/{team}"
    deadline_at_s = time.monotonic() + TIMEOUT_S
    while read_from_control(leader, path, token=f"example-token-{team}").status != 200:
        if time.monotonic() > deadline_at_s:
            raise TimeoutError("the document was not initialized")
        time.sleep(POLL_INTERVAL_S)
