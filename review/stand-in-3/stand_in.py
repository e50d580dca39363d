"""Stand-ins for the scripts of review 3: the platform's store, plain servers and clients.

They speak what PROTOCOL.md says, over loopback addresses and the real clock, and use the standard
library alone.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
import urllib.parse


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Writes a record; `value` is bytes, empty to drop the key."""
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "%s:%d" % self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                writer.write(await self.answer(method, path, query, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if (method, path) == ("POST", "/log-append"):
            first = len(records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                record, body = body[4:4 + length], body[4 + length:]
                key = record[1:1 + record[0]].decode()
                self.put(topic, key, record[1 + record[0]:])
            return self.json({"offset": first, "endOffset": len(records)})
        if (method, path) == ("GET", "/log-newest"):
            newest = {key: (value, at) for at, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (value, at) in sorted(newest.items()) if value
            ]
            return self.json({"items": items, "hasMore": False, "endOffset": len(records)})
        if (method, path) == ("GET", "/log-read"):
            start, wait = int(query["from"]), int(query.get("waitMs", "0")) / 1000
            until = time.monotonic() + wait
            while len(records) <= start and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(record)) + record
            return message("200 OK", {}, out)
        return message("404 Not Found", {})

    @staticmethod
    def json(value):
        return message("200 OK", {"Content-Type": "application/json"}, json.dumps(value).encode())


class PlainServer:
    """A server of a plain service: runs `slots` requests at once and lets some wait."""

    def __init__(self, store, service, name, zone, log, work_s=0.03, slots=6, queue=24):
        self.store, self.service, self.name, self.zone = store, service, name, zone
        self.log, self.work_s, self.slots, self.queue = log, work_s, slots, queue
        self.born = int(time.time() * 1000)
        self.slot = asyncio.Semaphore(slots)
        self.held = self.running = self.sequence = 0
        self.brittle, self.brittle_at = None, 0.0
        self.turned_away, self.down_until = [], 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "warmupLeftMs": 0,
                "sequence": self.sequence, "born": self.born,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    def headers(self, attempt):
        headers = {"Instance-Load": f"{self.running},{self.held - self.running},{self.slots}"}
        if attempt:
            headers["Attempt-Id"] = attempt
        if self.brittle is not None:
            headers["Server-Brittle"] = str(self.brittle)
        return headers

    def become_brittle(self, rejections):
        """States from now on that it falls over if it has to turn more requests away in a second."""
        self.brittle, self.brittle_at = rejections, time.monotonic()

    def room(self):
        """Requests that it holds. From `stableWindowMs` after it said that it is brittle, none waits."""
        is_strict = self.brittle is not None and time.monotonic() > self.brittle_at + 3
        return self.slots + (0 if is_strict else self.queue)

    def turn_away(self, attempt):
        now = time.monotonic()
        self.log(server=self.name, request=attempt, event="turned away")
        self.turned_away = [at for at in self.turned_away if now - at < 1] + [now]
        if self.brittle is not None and len(self.turned_away) > self.brittle:
            self.log(server=self.name, event="falls over")
            self.down_until, self.turned_away = now + 3, []

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                if time.monotonic() < self.down_until:
                    return
                writer.write(await self.answer(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        attempt = headers.get("attempt-id", "")
        if line.startswith("GET /healthz"):
            return message("200 OK", {"Instance-Id": self.name, **self.headers("")})
        if headers.get("expect-instance", self.name) != self.name:
            return message("421 Misdirected Request", {"Instance-Id": self.name, **self.headers(attempt)})
        if self.held >= self.room():
            self.turn_away(attempt)
            return message("503 Service Unavailable", {"Not-Executed": "1", **self.headers(attempt)})
        self.held += 1
        try:
            async with self.slot:
                self.running += 1
                self.log(server=self.name, request=attempt, event="runs", bytes=len(body))
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
        finally:
            self.held -= 1
        answer = f"done {attempt}".encode()
        return message("200 OK", {"Response-Seal": "seal", **self.headers(attempt)}, answer)


class Log:
    """Lines of record.txt, each with the time since the start."""

    def __init__(self, path):
        self.file, self.started_at = open(path, "w"), time.monotonic()
        self.lines = []

    def __call__(self, **fields):
        at = time.monotonic() - self.started_at
        self.lines.append((at, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()


# Time limit of a case.
MAX_CASE_S = 115

TAKEN_PORTS = set()


def free_ports(count):
    """Ports that are free, below those that the kernel gives to channels."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        ports.append(port)
    return ports


# All processes that were started.
STARTED = []


def run(main):
    """Runs a case; exits with its result, or with 2 if it could not run or is ended from outside. Ends
    all processes in any case."""

    def leave(status):
        for process in STARTED:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        sys.stdout.flush()
        os._exit(status)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: leave(2))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    status = 2
    try:
        status = loop.run_until_complete(asyncio.wait_for(main(), MAX_CASE_S))
    except Exception as e:
        print(f"the case could not run: {e!r}")
    leave(status)


class Machine:
    """A machine with one process of the system, started with the command of the deploy file."""

    def __init__(self, root, folder, name, zone, store, memory_mb):
        self.root, self.folder, self.name, self.zone = root, folder, name, zone
        self.store, self.memory_mb, self.process = store, memory_mb, None
        ports = free_ports(5)
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        self.callers, self.ready, self.directory, self.peers, self.metrics = self.addresses

    def start(self, seeds):
        settings = os.path.join(self.folder, self.name + ".ini")
        with open(settings, "w") as file:
            file.write(
                f"[daemon]\nhost = {self.name}\nfailure_domain = {self.zone}\n"
                f"caller_address = {self.callers}\nready_address = {self.ready}\n"
                f"directory_address = {self.directory}\npeer_address = {self.peers}\n"
                f"metrics_address = {self.metrics}\nseeds = {','.join(seeds)}\n\n"
                "[host]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_mbps = 1000\n\n"
                f"[platform]\nstore_address = {self.store}\n\n"
                "[bounds]\ngrace_s = 8\ndirectory_lifetime_s = 5\nretry_ratio = 0.2\n"
                f"retry_slack = 58\nretry_window_s = 10\nmemory_mb = {self.memory_mb}\n\n"
                "[scheduling]\nkeep_pauses = true\n"
            )
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            ["target/release/magnoliawinch-edge"], cwd=self.root, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "MAGNOLIAWINCH_BOOT": settings},
        )
        STARTED.append(self.process)

    def memory_mib(self):
        """Memory of the process's own, without the program and libraries, in MiB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


def configuration(routes, services):
    """A desired state with the limits of the site files and one tenant."""
    return json.dumps({
        "version": 7, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": ["key-1"], "priority": 1}],
    }).encode()
