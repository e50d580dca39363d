"""HTTP/1.1 over asyncio streams, as far as the stand-ins and the clients need it."""

import asyncio
import socket


class Head:
    """Start line and headers of a message."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; `None` at the end of the connection before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise ConnectionError("connection closed within a head") from e
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), headers)


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, head):
    """Reads the body of a request."""
    if "chunked" in head.get("transfer-encoding", "").lower():
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", 0)))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, headers=None, body=b""):
    headers = dict(headers or {})
    headers["Content-Length"] = len(body)
    return message(f"HTTP/1.1 {status} Status", headers, body)


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Answer:
    """What a client has received: `status` is `None` without a head, `is_complete` tells whether the
    body ended as HTTP says."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""

    def __repr__(self):
        return f"status={self.status} bytes={len(self.body)} complete={self.is_complete} {self.error}"


async def request(address, method, path, headers, body=b"", on_data=None, timeout=60.0):
    """Sends one request on a new connection and reads the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            headers = dict(headers)
            if body or method == "POST":
                headers["Content-Length"] = len(body)
            writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            await read_answer(reader, answer, on_data)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as e:
        answer.error = f"{type(e).__name__} {e}".strip()
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer, on_data=None):
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    answer.status, answer.headers = int(head.start[1]), head.headers

    def add(data):
        answer.body += data
        if on_data is not None:
            on_data(data)

    if "chunked" in head.get("transfer-encoding", "").lower():
        async for chunk in read_chunks(reader):
            add(chunk)
    elif head.get("content-length") is not None:
        add(await reader.readexactly(int(head.get("content-length"))))
    else:
        while data := await reader.read(65536):
            add(data)
    answer.is_complete = True
