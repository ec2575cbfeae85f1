"""Starts, stops and inspects the processes of a fleet."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from fleet.example import Example, read_address

PROGRAM_FOLDER = Path(sys.executable).parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
OPERATOR_TOKEN = "example-token-operators"


class Fleet:
    """Processes of one example fleet.

    A process is named by the stem of its settings file; the stand-in backend servers of a host are
    one process with the name `backends-HOST`.
    """

    def __init__(self, example: Example) -> None:
        self.example = example
        self.processes: dict[str, subprocess.Popen] = {}

    def start_all(self) -> None:
        """Start control hosts, nodes and stand-in backend servers, and wait until they serve."""
        for settings in self.example.controls:
            self.start_control(settings)
        for settings in self.example.controls:
            wait_until_listening(read_address(settings, "link_listen"))
        for settings in self.example.nodes:
            self.start_node(settings)
            self.start_backends(read_host(settings))
        self.wait_until_serving()

    def start_control(self, settings: Path) -> None:
        """Start one control host."""
        self._start(
            settings.stem, [str(PROGRAM_FOLDER / "samphire-control"), "--settings", settings]
        )

    def start_node(self, settings: Path) -> None:
        """Start one node."""
        self._start(settings.stem, [str(PROGRAM_FOLDER / "samphire-node"), "--settings", settings])

    def start_backends(self, host: str) -> None:
        """Start the stand-in backend servers of one host."""
        command = [sys.executable, "-m", "fleet.backend", "--targets", self.example.targets]
        run_log = self.example.folder / f"{host}.runs"
        self._start(f"backends-{host}", [*command, "--host", host, "--journal", run_log])

    def count_runs(self) -> Counter[str]:
        """Return how often each action ran at the stand-ins, by key, including before restarts."""
        counts: Counter[str] = Counter()
        for run_log in self.example.folder.glob("*.runs"):
            for line in run_log.read_text().splitlines():
                counts[line.split()[0]] += 1
        return counts

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def wait_until_serving(self) -> None:
        """Wait until every node has the document and lists all targets."""
        expected = len(json.loads(self.example.targets.read_text())["targets"])
        deadline_at_s = time.monotonic() + START_TIMEOUT_S
        for settings in self.example.nodes:
            address = read_address(settings, "local_listen")
            while not _is_serving(address, expected):
                self.check_running()
                if time.monotonic() > deadline_at_s:
                    raise TimeoutError(f"{settings.stem} does not serve all {expected} targets")
                time.sleep(POLL_INTERVAL_S)

    def check_running(self) -> None:
        """Raise an error with the end of the log if a process has ended unexpectedly."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                lines = (self.example.folder / f"{name}.log").read_text().splitlines()
                raise RuntimeError(f"{name} ended with {process.returncode}: {lines[-3:]}")

    def kill(self, name: str) -> None:
        """Kill a process without a clean stop, as a crash does."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def restart_controls(self) -> None:
        """Kill all control processes without a clean stop, and start them again."""
        for settings in self.example.controls:
            self.kill(settings.stem)
        for settings in self.example.controls:
            self.start_control(settings)

    def stop(self, name: str) -> int:
        """Stop a process cleanly, wait for it, and return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def stop_all(self) -> dict[str, int]:
        """Stop every process, nodes first, and return the exit statuses."""
        statuses = {}
        ordered = sorted(self.processes, key=lambda name: not name.startswith("node-"))
        for name in ordered:
            self.processes[name].send_signal(signal.SIGTERM)
        for name in ordered:
            process = self.processes.pop(name)
            try:
                statuses[name] = process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                statuses[name] = process.wait()
        return statuses

    def _start(self, name: str, command: list) -> None:
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(Path(__file__).resolve().parents[1])
        log = open(self.example.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command],
            stdout=log,
            stderr=log,
            env=environment,
            start_new_session=True,
        )
        log.close()


def wait_until_listening(address: str) -> None:
    """Wait until a process accepts connections at an `IP:port`."""
    host, _, port = address.rpartition(":")
    deadline_at_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), timeout=1.0).close()
            return
        except OSError:
            if time.monotonic() > deadline_at_s:
                raise TimeoutError(f"nothing listens at {address}") from None
            time.sleep(POLL_INTERVAL_S)


def read_host(settings: Path) -> str:
    """Return the host id in a settings file."""
    return json.loads(settings.read_text())["locality"]["host"]


@contextmanager
def run_fleet(example: Example) -> Iterator[Fleet]:
    """Run a whole fleet while the context is open."""
    fleet = Fleet(example)
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.stop_all()


def read_dump(address: str, *, token: str = OPERATOR_TOKEN) -> dict:
    """Return the dump of a process.

    Args:
        address: `IP:port` of a control host's operator listener or a node's local listener.
        token: Bearer token of a team that may operate the fleet.
    """
    request = urllib.request.Request(
        f"http://{address}/v1/dump", headers={"authorization": f"Bearer {token}"}
    )
    with urllib.request.urlopen(request, timeout=2) as response:
        return json.load(response)


def _is_serving(address: str, expected: int) -> bool:
    try:
        dump = read_dump(address)
    except (urllib.error.URLError, OSError):
        return False
    target_count = sum(len(host["targets"]) for host in dump["target_table"]["hosts"])
    return target_count == expected and dump["front"]["document_version"] is not None
