"""Stand-in of a client: sends requests over raw sockets, one at a time on a connection."""

import socket
import uuid


class Client:
    """One kept connection to a node."""

    def __init__(self, ip, port, *, host="jepu9.example", timeout=10.0, record=None):
        self.address, self.host, self.record = (ip, port), host, record
        self.socket = socket.create_connection(self.address, timeout=timeout)
        self.buffer = b""

    def close(self):
        self.socket.close()

    def send(self, method, path, *, body=b"", ident=None, deadline=None, headers=()):
        ident = ident or uuid.uuid4().hex[:16]
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"X-Request-Id: {ident}"]
        if deadline is not None:
            lines.append(f"X-Request-Deadline: {deadline}")
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers]
        if self.record is not None:
            self.record("SENT", method, path, "id", ident)
        self.socket.sendall("\r\n".join((*lines, "", "")).encode("latin-1") + body)
        return ident

    def receive(self):
        """Return (status, headers, body, complete); None if the connection ended without a response."""
        head = self._read_until(b"\r\n\r\n")
        if head is None:
            return None
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split()[1])
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        if "content-length" in headers:
            body = self._read_exactly(int(headers["content-length"]))
            return status, headers, body[0], body[1]
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                line = self._read_until(b"\r\n")
                if line is None:
                    return status, headers, body, False
                size = int(line, 16)
                part, complete = self._read_exactly(size + 2)
                if not complete:
                    return status, headers, body + part, False
                if size == 0:
                    return status, headers, body, True
                body += part[:-2]
        return status, headers, b"", True

    def request(self, method, path, **options):
        ident = self.send(method, path, **options)
        try:
            answer = self.receive()
        except OSError as error:
            answer = None
            if self.record is not None:
                self.record("ERROR", ident, error)
        if self.record is not None:
            self.record("ANSWER", ident, None if answer is None else (answer[0], answer[2][:120], answer[3]))
        return ident, answer

    def _read_until(self, mark):
        while mark not in self.buffer:
            data = self.socket.recv(65536)
            if not data:
                return None
            self.buffer += data
        part, _, self.buffer = self.buffer.partition(mark)
        return part

    def _read_exactly(self, size):
        while len(self.buffer) < size:
            data = self.socket.recv(65536)
            if not data:
                part, self.buffer = self.buffer, b""
                return part, False
            self.buffer += data
        part, self.buffer = self.buffer[:size], self.buffer[size:]
        return part, True
