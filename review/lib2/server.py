"""Stand-in of a target: serves requests as PROTOCOL.md says, and sends heartbeats to its own node."""

import asyncio
import hashlib
import json
import threading
import time


class Target(threading.Thread):
    """One target on a thread with its own event loop."""

    def __init__(self, ip, app_port, control_port, *, service, target_id, zone="sask-a", slots=5,
                 work=0.02, record=None, beat=1.5):
        super().__init__(daemon=True)
        self.ip, self.app_port, self.control_port = ip, app_port, control_port
        self.service, self.target_id, self.zone, self.slots = service, target_id, zone, slots
        self.work, self.record, self.beat = work, record, beat
        self.born = int(time.time() * 1000)
        self.state, self.sequence, self.beats = "ready", 0, True
        self.runs = []
        """(request id, method, path, body, headers) of each request that it began to work on."""
        self.hook = None
        """Coroutine function (target, request, reader, writer) that may answer itself: returns True."""
        self.ready = threading.Event()
        self.acked = 0

    def run(self):
        asyncio.run(self._main())

    async def _main(self):
        server = await asyncio.start_server(self._serve, self.ip, self.app_port, limit=1 << 20)
        self.ready.set()
        async with server:
            asyncio.create_task(self._beat())
            await server.serve_forever()

    async def _beat(self):
        while True:
            if self.beats:
                status = await self.send_beat()
                if status == 200:
                    self.acked += 1
                await asyncio.sleep(self.beat if status == 200 else 0.3)
            else:
                await asyncio.sleep(0.1)

    async def send_beat(self, *, ident=None, body=None):
        self.sequence += 1
        if body is None:
            body = json.dumps({
                "address": f"{self.ip}:{self.app_port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold-remaining": "0ms"},
            }).encode()
        return await self.post(f"/api/instances/{ident or self.target_id}/heartbeat", body)

    async def post(self, path, body):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.control_port), 1)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: {self.ip}\r\nContent-Type: application/json\r\n"
                         f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if self.hook is not None and await self.hook(self, request, reader, writer):
                    continue
                await self.answer(request, writer)
                if request["close"]:
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    def note_run(self, request):
        self.runs.append(request)
        if self.record is not None:
            self.record("RUN", self.target_id, request["method"], request["path"], "id", request["id"],
                        "body", len(request["body"]), "caller", request["headers"].get("x-caller-service"))

    async def answer(self, request, writer):
        expected = request["headers"].get("x-expected-instance")
        if request["id"] is None:
            return await respond(writer, 400, b"", [("X-Not-Executed", "1")])
        if expected is not None and expected != self.target_id:
            return await respond(writer, 421, b"", [("X-Request-Id", request["id"]), ("X-Not-Executed", "1")])
        self.note_run(request)
        await asyncio.sleep(self.work)
        body = f"{self.target_id} {request['method']} {request['path']} {request['id']}".encode()
        await respond(writer, 200, body, self.seal(request, body))

    def seal(self, request, body):
        digest = hashlib.sha256(request["id"].encode() + body).hexdigest()[:16]
        return [("X-Request-Id", request["id"]), ("X-Server-Seal", digest)]


async def respond(writer, status, body, headers):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()


async def read_request(reader):
    """Return the next request as it came, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head[:-4].split(b"\r\n")
    method, _, rest = lines[0].partition(b" ")
    path = rest.rpartition(b" ")[0]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return {"method": method.decode(), "path": path.decode("latin-1"), "headers": headers, "body": body,
            "id": headers.get("x-request-id"), "close": headers.get("connection", "").lower() == "close",
            "head": head, "at": time.monotonic()}
