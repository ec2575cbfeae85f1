"""Runs one control host with the platform's settings and protocols."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from fleet.client import Response, send_request
from fleet.processes import wait_until_listening

HOST = "127.0.0.1"
LINK_PORT = 21_801
OPERATOR_PORT = 21_802
METRICS_PORT = 21_803
STOP_TIMEOUT_S = 40.0


@dataclass
class PlatformControl:
    """A control host that forms its group by itself.

    Attributes:
        process: Its process.
        address: `IP:port` of the operator's API.
        revision: Version of the newest accepted configuration.
    """

    process: subprocess.Popen
    address: str
    revision: int = 0

    def submit_small(self) -> Response:
        """Submit a configuration without routes on top of the newest one."""
        headers = {"X-Base-Version": str(self.revision), "Content-Type": "application/json"}
        body = json.dumps({"version": self.revision + 1, "resources": []}).encode()
        response = send_request(
            self.address, "POST", "/api/config/replace", headers=headers, body=body
        )
        if response.status == 200:
            self.revision += 1
        return response


@contextmanager
def run_platform_control(folder: Path, *, port_offset: int) -> Iterator[PlatformControl]:
    """Run a control host while the context is open.

    Args:
        folder: Folder for its files.
        port_offset: Number added to each port.
    """
    address = f"{HOST}:{OPERATOR_PORT + port_offset}"
    settings = {
        "host": "core-1",
        "failure_domain": "a",
        "region": "r",
        "address": HOST,
        "link_port": LINK_PORT + port_offset,
        "metrics_port": METRICS_PORT + port_offset,
        "seeds": [address],
        "operator_listen": address,
        "data_folder": str(folder / "data"),
        "first_start": True,
        "tolerated_losses": 0,
    }
    path = folder / "control.json"
    path.write_text(json.dumps(settings))
    environment = {**os.environ, "SAMPHIRESPRING_CONFIG": str(path)}
    command = [sys.executable, "-m", "samphirespring.platform.control"]
    with open(folder / "control.log", "wb") as log:
        process = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment, start_new_session=True
        )
    try:
        wait_until_listening(address)
        yield PlatformControl(process, address)
    finally:
        process.terminate()
        try:
            process.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
