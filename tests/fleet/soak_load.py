"""Callers of the soak, which send reads and actions and record the responses."""

import random
import uuid
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

import anyio
import h11
import msgspec

RESPONSE_TIMEOUT_S = 25.0
RECEIVE_BYTES = 65_536


class ReportedOutcome(Enum):
    """Outcome that the caller of an action sees after one request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NO_CONNECTION = "no connection"
    NO_RESPONSE = "no answer"


class ResponseLostError(Exception):
    """Raised when a connection ends before the response is complete."""


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that the soak sends requests to."""

    host: str
    action_path: str | None = None


@dataclass(frozen=True, kw_only=True)
class SoakResponse:
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(kw_only=True)
class LoadResults:
    """Results of all callers; `outcomes` and `bodies` are by idempotency key."""

    outcomes: dict[str, list[ReportedOutcome]] = field(default_factory=dict)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    durations_ms: list[float] = field(default_factory=list)


class CallerLoad:
    """Sends requests to one fleet at a fixed total rate.

    Args:
        addresses: Address that each node serves callers at, by process name.
        services: The services to call.
        workspace_header: Header that names the caller's workspace.
        rate_per_s: Requests per second.
        generator: Source of random numbers.
    """

    def __init__(
        self,
        *,
        addresses: dict[str, str],
        services: list[Service],
        workspace_header: str,
        rate_per_s: float,
        generator: random.Random,
    ) -> None:
        self._addresses = addresses
        self._services = services
        self._workspace_header = workspace_header
        self._rate_per_s = rate_per_s
        self._generator = generator
        self.results = LoadResults()
        self.stopping: set[str] = set()
        """Nodes in a planned stop, which must not cut off a request."""

    async def run(self, duration_s: float) -> None:
        """Send requests for some time, and wait for their responses."""
        end_at_s = anyio.current_time() + duration_s
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_at_s:
                service = self._generator.choice(self._services)
                if service.action_path is not None and self._generator.random() < 0.4:
                    group.start_soon(self._send_action, service)
                else:
                    group.start_soon(self._send_read, service)
                await anyio.sleep(self._generator.expovariate(self._rate_per_s))

    async def _send_read(self, service: Service) -> None:
        node = self._generator.choice(sorted(self._addresses))
        echo = uuid.uuid4().hex
        size = self._generator.choice((0, 0, 0, 2_000, 200_000))
        headers = {"X-Echo": echo, "X-Answer-Bytes": str(size)}
        started_at_s = anyio.current_time()
        try:
            response = await self._send(node, service, "GET", f"/read/{echo}", headers=headers)
        except OSError:
            self.results.statuses["read: no connection"] += 1
            return
        except (ResponseLostError, TimeoutError, h11.RemoteProtocolError):
            self._record_lost_response(node, "read")
            return
        self.results.durations_ms.append((anyio.current_time() - started_at_s) * 1_000)
        self.results.statuses[f"read: {response.status}"] += 1
        if response.status == 200:
            self._check_echo(response, echo)

    async def _send_action(self, service: Service) -> None:
        key = f"soak-{uuid.UUID(int=self._generator.getrandbits(128))}"
        copies = self._generator.choice((1, 1, 2))
        async with anyio.create_task_group() as group:
            for _ in range(copies):
                group.start_soon(self._send_action_once, service, key)
        while self._must_resend(key):
            await anyio.sleep(self._generator.uniform(0.2, 2.0))
            await self._send_action_once(service, key)

    def _must_resend(self, key: str) -> bool:
        outcomes = self.results.outcomes.get(key, [])
        return outcomes[-1] is not ReportedOutcome.RAN and len(outcomes) < 4

    async def _send_action_once(self, service: Service, key: str) -> None:
        node = self._generator.choice(sorted(self._addresses))
        headers = {"Idempotency-Key": key, self._workspace_header: "soak", "X-Echo": key}
        outcome = ReportedOutcome.UNKNOWN
        try:
            response = await self._send(
                node, service, "POST", service.action_path or "/", headers=headers, body=b"{}"
            )
        except OSError:
            outcome = ReportedOutcome.NO_CONNECTION
        except (ResponseLostError, TimeoutError, h11.RemoteProtocolError):
            outcome = ReportedOutcome.NO_RESPONSE
            self._record_lost_response(node, "action")
        else:
            outcome = ReportedOutcome(
                response.headers.get(b"samphire-outcome", b"unknown").decode()
            )
            self._check_action(response, key)
        self.results.statuses[f"action: told {outcome.value}"] += 1
        self.results.outcomes.setdefault(key, []).append(outcome)

    def _check_echo(self, response: SoakResponse, echo: str) -> None:
        body = msgspec.json.decode(response.body)
        if body.get("echo") != echo:
            self.results.violations.append(f"caller {echo} got the response of {body.get('echo')}")

    def _check_action(self, response: SoakResponse, key: str) -> None:
        if response.status != 200:
            return
        self._check_echo(response, key)
        bodies = self.results.bodies.setdefault(key, set())
        bodies.add(response.body)
        if len(bodies) > 1:
            self.results.violations.append(f"action {key} has two different responses")

    def _record_lost_response(self, node: str, kind: str) -> None:
        self.results.statuses[f"{kind}: no whole answer"] += 1
        if node in self.stopping:
            self.results.violations.append(f"planned stop of {node} cut off a {kind}")

    async def _send(
        self,
        node: str,
        service: Service,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> SoakResponse:
        host, _, port = self._addresses[node].rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        async with stream:
            with anyio.fail_after(RESPONSE_TIMEOUT_S):
                connection = h11.Connection(h11.CLIENT)
                lines = [("Host", service.host), ("Content-Length", str(len(body)))]
                request = h11.Request(
                    method=method, target=path, headers=[*lines, *headers.items()]
                )
                data = connection.send(request) or b""
                if body:
                    data += connection.send(h11.Data(data=body)) or b""
                data += connection.send(h11.EndOfMessage()) or b""
                await stream.send(data)
                return await _receive(stream, connection)


async def _receive(stream: anyio.abc.SocketStream, connection: h11.Connection) -> SoakResponse:
    status = 0
    headers: dict[bytes, bytes] = {}
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await _receive_data(stream))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            body.extend(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return SoakResponse(status=status, headers=headers, body=bytes(body))
        else:
            raise ResponseLostError


async def _receive_data(stream: anyio.abc.SocketStream) -> bytes:
    try:
        return await stream.receive(RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""
    except anyio.BrokenResourceError:
        raise ResponseLostError from None
