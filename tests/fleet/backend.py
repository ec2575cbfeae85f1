"""Stand-in for the backend servers of one host, with failure modes and counts of requests."""

import argparse
import contextlib
import signal
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TextIO

import anyio
import httpcore
import msgspec
import uvicorn

LISTEN_POLL_S = 0.01
RENEW_INTERVAL_S = 1.0
KEEPALIVE_S = 75


class Mode(Enum):
    """How a target responds to requests."""

    HEALTHY = "well"
    SLOW = "slow"
    WRONG = "wrong"
    SHEDDING = "shedding"
    SHEDDING_UNTYPED = "shedding_untyped"
    SHEDDING_CUT = "shedding_cut"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    COLD = "cold"
    CUTTING = "cutting"
    RESETTING = "resetting"
    STALLING = "stalling"
    RAW = "raw"
    """Sends `raw` in place of a response, and closes the connection."""


class Behaviour(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Behaviour that a test sets at a target; `share` is the share of requests in the mode."""

    mode: Mode = Mode.HEALTHY
    delay_ms: float = 2.0
    share: float = 1.0
    raw: str = ""


class TargetSpec(msgspec.Struct, kw_only=True):
    """One target of an example's `targets.json`."""

    host: str
    announce_to: str
    target: str
    service: str
    address: str
    slots: int


class TargetList(msgspec.Struct, kw_only=True):
    """An example's `targets.json`."""

    targets: list[TargetSpec]


@dataclass
class BackendTarget:
    """ASGI application of one target, which is served on its own port."""

    spec: TargetSpec
    behaviour: Behaviour = field(default_factory=Behaviour)
    runs: Counter[str] = field(default_factory=Counter)
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    probes: int = 0
    phase: str = "serving"
    accumulated_share: float = 0.0
    run_log: TextIO | None = None
    """File with one line per action that ran; it outlives the process."""

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        path = scope["path"]
        if path == "/_behaviour":
            await self._set_behaviour(receive, send)
        elif path == "/_counts":
            await _respond(send, 200, msgspec.json.encode(self._read_counts()))
        elif path == "/health":
            self.probes += 1
            # Simulates a gray failure: probes succeed in every mode.
            await _respond(send, 200, b'{"ok": true}')
        else:
            await self._serve(scope, receive, send)

    def _read_counts(self):
        return {
            "target": self.spec.target,
            "runs": dict(self.runs),
            "started": self.started,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "probes": self.probes,
        }

    async def _set_behaviour(self, receive, send):
        body = await _read_body(receive)
        self.behaviour = msgspec.json.decode(body, type=Behaviour)
        self.phase = "draining" if self.behaviour.mode is Mode.DRAINING else "serving"
        await _respond(send, 200, b"{}")

    def _choose_mode(self):
        """Return the next request's mode: the set mode for its share of requests, evenly spread."""
        self.accumulated_share += self.behaviour.share
        if self.accumulated_share >= 1.0:
            self.accumulated_share -= 1.0
            return self.behaviour.mode
        return Mode.HEALTHY

    async def _serve(self, scope, receive, send):
        headers = dict(scope["headers"])
        body = await _read_body(receive)
        mode = self._choose_mode()
        if mode is Mode.SHEDDING:
            await _respond(send, 429, b'{"error": "rate_limited", "retry_after_seconds": 1}')
            return
        if mode is Mode.OVERLOADED:
            await _respond(send, 503, b'{"code": "shedding"}')
            return
        if mode is Mode.SHEDDING_CUT:
            body = b'{"error": "rate_limited", "retry_after_seconds": 1}'
            await _start_response(send, 429, len(body) + 10)
            await send({"type": "http.response.body", "body": body, "more_body": True})
            return
        self.started += 1
        key = headers.get(b"idempotency-key", headers.get(b"samphire-attempt", b"")).decode()
        if scope["method"] not in ("GET", "HEAD"):
            self._count_run(key)
        content = {
            "target": self.spec.target,
            "path": scope["path"],
            "key": key,
            "echo": headers.get(b"x-echo", b"").decode(),
            "body_bytes": len(body),
            "deadline_ms": int(headers.get(b"samphire-deadline-ms", b"0")),
        }
        responded = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_disconnect, receive, tasks)
            await self._send_response(mode, content, headers, send)
            responded = True
            tasks.cancel_scope.cancel()
        # uvicorn also sends http.disconnect after a complete response.
        self.finished += responded
        self.cancelled += not responded

    async def _watch_disconnect(self, receive, tasks):
        while (await receive())["type"] != "http.disconnect":
            pass
        tasks.cancel_scope.cancel()

    def _count_run(self, key):
        self.runs[key] += 1
        if self.run_log is not None:
            self.run_log.write(f"{key} {self.spec.target}\n")
            self.run_log.flush()

    async def _send_response(self, mode, content, headers, send):
        factor = {Mode.SLOW: 10.0, Mode.COLD: 3.0}.get(mode, 1.0)
        await anyio.sleep(self.behaviour.delay_ms * factor / 1000)
        size = int(headers.get(b"x-answer-bytes", b"0"))
        if size:
            content["padding"] = "x" * size
        text = msgspec.json.encode(content)
        if mode is Mode.WRONG:
            await _respond(send, 500, b'{"error": "wrong"}')
        elif mode is Mode.SHEDDING_UNTYPED:
            await _respond(send, 503, b"try later")
        elif mode is Mode.STALLING:
            await anyio.sleep(3600)
        elif mode is Mode.RAW:
            # An ASGI server refuses to write what no status line may hold.
            transport = send.__self__.transport
            transport.write(self.behaviour.raw.encode())
            transport.close()
        elif mode is Mode.RESETTING:
            raise ConnectionError("mode is resetting")
        elif mode is Mode.CUTTING:
            await _start_response(send, 200, len(text))
            await send(
                {"type": "http.response.body", "body": text[: len(text) // 2], "more_body": True}
            )
        else:
            await _respond(send, 200, text)

    async def announce(self):
        """Announce the target to the agent on its host, and renew the announcement."""
        url = f"http://{self.spec.announce_to}/v1/targets/{self.spec.target}"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                body = msgspec.json.encode(
                    {
                        "service": self.spec.service,
                        "address": self.spec.address,
                        "slots": self.spec.slots,
                        "phase": self.phase,
                        "health_path": "/health",
                    }
                )
                delay_s = RENEW_INTERVAL_S
                try:
                    await pool.request("PUT", url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                    delay_s = 0.1
                await anyio.sleep(delay_s)


class _Server(uvicorn.Server):
    def capture_signals(self):
        return contextlib.nullcontext()


async def _read_body(receive):
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body


async def _start_response(send, status, length):
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % length)]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _respond(send, status, body):
    await _start_response(send, status, len(body))
    await send({"type": "http.response.body", "body": body})


async def _serve_target(target):
    """Serve a target, and announce it once it listens."""
    host, _, port = target.spec.address.rpartition(":")
    config = uvicorn.Config(
        target,
        host=host,
        port=int(port),
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=KEEPALIVE_S,
    )
    server = _Server(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_announce_when_listening, target, server)
        await server.serve()


async def _announce_when_listening(target, server):
    while not server.started:
        await anyio.sleep(LISTEN_POLL_S)
    await target.announce()


async def _main(specs, run_log):
    async with anyio.create_task_group() as tasks:
        for spec in specs:
            target = BackendTarget(spec=spec, run_log=run_log)
            tasks.start_soon(_serve_target, target)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                tasks.cancel_scope.cancel()
                return


def main():
    """Serve the targets of one host."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--targets", required=True, help="JSON file with the targets")
    parser.add_argument("--host", required=True, help="serve this host's targets only")
    parser.add_argument("--journal", help="file to write one line to per action that ran")
    options = parser.parse_args()
    with open(options.targets, "rb") as file:
        targets = msgspec.json.decode(file.read(), type=TargetList).targets
    specs = [spec for spec in targets if spec.host == options.host]
    with contextlib.ExitStack() as stack:
        run_log = stack.enter_context(open(options.journal, "a")) if options.journal else None
        anyio.run(_main, specs, run_log)


if __name__ == "__main__":
    main()
