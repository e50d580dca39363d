"""Model engines of the platform, as PROTOCOL.md describes them."""

import asyncio
import itertools
import json
import socket
import time

import http1

HEARTBEAT_S = 1.2

# Connections that wait to be accepted; small, so that new ones can be made to hang.
BACKLOG = 8


def now():
    return time.monotonic()


class Run:
    """The work of one engine on one request."""

    def __init__(self, request, engine, first_event, last_event):
        self.request = request
        self.engine = engine
        self.next_event = first_event
        self.last_event = last_event
        self.started_at = now()
        self.ended_at = None
        self.is_stopped = False
        self.end = "works"
        self.source_of_memory = ""

    def finish(self, end):
        if self.ended_at is None:
            self.ended_at, self.end = now(), end

    def describe(self, since):
        ended = "" if self.ended_at is None else f"{self.ended_at - since:.3f}"
        return (
            f"run request={self.request} engine={self.engine.name} memory={self.source_of_memory or 'prompt'}"
            f" started={self.started_at - since:.3f} ended={ended} end={self.end}"
            f" next_event={self.next_event}"
        )


class Engine:
    def __init__(self, platform, name, service, zone, events, event_ms, is_framed=True):
        self.platform = platform
        self.name, self.service, self.zone = name, service, zone
        self.events, self.event_ms, self.is_framed = events, event_ms, is_framed
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = None
        self.accepting = None
        self.accepts = asyncio.Event()
        self.fillers = []
        self.address = None
        self.runs = {}
        self.backups = {}
        # Connections by request, to reset them.
        self.writers = {}
        self.open_writers = set()
        self.handles = itertools.count(1)
        self.is_answer_of_next_resume_lost = False
        self.tasks = []

    async def start(self, ip):
        self.listener = socket.create_server((ip, 0), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.accepts.set()
        self.start_tasks()

    def start_tasks(self):
        self.accepting = asyncio.create_task(self.accept())
        self.tasks += [self.accepting, asyncio.create_task(self.check_in())]

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.accepts.wait()
            connection, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self.tasks.append(asyncio.create_task(self.serve(reader, writer)))

    async def hang(self):
        """Lets new connections hang: packets that open one are dropped, as the queue is full."""
        self.accepts.clear()
        # The task that accepts takes one more connection before it waits.
        self.fill(1)
        await asyncio.sleep(0.01)
        self.fill(BACKLOG + 3)

    def fill(self, count):
        for _ in range(count):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def accept_again(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.accepts.set()

    async def check_in(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": text(self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": self.state,
            "warmupLeftMs": 0,
            "born": self.born,
            "phase": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
        }
        self.platform.store.put("keyed.servers", self.name, entry)

    def drain(self):
        """Reports that the engine leaves; it goes on serving."""
        self.state = "draining"
        self.write_entry()

    async def crash(self):
        """Ends as a process that is killed: all its connections are closed, and it sends nothing more."""
        self.accepting.cancel()
        await asyncio.gather(self.accepting, return_exceptions=True)
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        for run in list(self.runs.values()):
            run.finish("engine crashed")
        self.runs.clear()
        self.backups.clear()
        for writer in self.open_writers:
            writer.close()
        self.open_writers.clear()

    def start_again(self):
        """Starts again at the same address, without any memory."""
        self.listener = socket.create_server(self.address, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.start_tasks()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.listener is not None:
            self.listener.close()

    async def serve(self, reader, writer):
        self.open_writers.add(writer)
        try:
            while (head := await http1.read_head(reader)) is not None:
                body = await http1.read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def with_statements(self, headers):
        return {**headers, "Server-Leaving": "1"} if self.state == "draining" else headers

    async def handle(self, head, body, reader, writer):
        """Answers a call; returns whether the connection stays open."""
        method, path, _ = head.start
        if method == "GET" and path == "/report":
            active = [[run.request, 1000, run.next_event - 1, 5] for run in self.runs.values()]
            report = {"phase": "unified", "busy": False, "sequence": 0, "queued": 0}
            report |= {"active": len(active), "runs": active, "state": self.state}
            answer = http1.response(200, self.with_statements({}), json.dumps(report).encode())
        elif method == "GET" and path == "/healthz":
            status = 200 if self.state == "ready" else 503
            headers = {"Instance-Id": self.name, "Instance-Load": f"{len(self.runs)},0,24"}
            answer = http1.response(status, self.with_statements(headers))
        elif method == "POST" and path == "/kv-move":
            answer = await self.copy(json.loads(body))
        elif method == "DELETE":
            answer = http1.response(200)
        else:
            return await self.handle_request(head, reader, writer)
        writer.write(answer)
        await writer.drain()
        return True

    async def copy(self, call):
        """Copies the memory of a run to another engine; with `last`, stops the run first."""
        run = self.runs.get(call["id"])
        target = self.platform.engine_at(call["target"])
        self.platform.note(f"copy request={call['id']} from={self.name} target={call['target']} last={call['last']}")
        if run is None or run.next_event == 1:
            return http1.response(404, self.with_statements({}))
        if target is None:
            return http1.response(503, self.with_statements({}), b"{}")
        if call["last"]:
            run.is_stopped = True
        created = run.next_event - 1
        await asyncio.sleep(0.04 if call["last"] else 0.16)
        handle = f"{self.name}-{next(self.handles)}"
        self.platform.copies[(text(self.address), handle)] = (self, target)
        answer = json.dumps({"handle": handle, "created": created}).encode()
        headers = self.with_statements({"Content-Type": "application/json"})
        return http1.response(200, headers, answer)

    def take_memory(self, kv_from, request):
        """Takes the copy that a request names; returns whether it was there."""
        address, _, handle = kv_from.partition("/")
        if address == text(self.address) and handle == request and request in self.backups:
            return now() < self.backups.pop(request)
        copy = self.platform.copies.get((address, handle))
        if copy is None or self not in copy:
            return False
        del self.platform.copies[(address, handle)]
        return True

    async def handle_request(self, head, reader, writer):
        request = head.get("attempt-id", "")
        refusal = {"Attempt-Id": request, "Not-Executed": "1", "Instance-Id": self.name}
        expected = head.get("expect-instance")
        if expected is not None and expected != self.name:
            writer.write(http1.response(421, refusal))
            return True
        kv_from = head.get("kv-from")
        if kv_from is not None and not self.take_memory(kv_from, request):
            writer.write(http1.response(503, self.with_statements(refusal)))
            return True
        first_event = 1 + int(head.get("last-event-id", 0)) if kv_from else 1
        run = Run(request, self, first_event, self.events[head.start[1].split("/")[1]])
        run.source_of_memory = kv_from or ""
        self.platform.runs.append(run)
        self.runs[request] = run
        if kv_from is not None and self.is_answer_of_next_resume_lost:
            self.is_answer_of_next_resume_lost = False
            self.platform.note(f"answer lost request={request} engine={self.name}")
            self.tasks.append(asyncio.create_task(self.work(run, lambda _: None)))
            http1.reset(writer)
            return False
        if (backup := head.get("kv-backup")) is not None:
            engine = self.platform.engine_at(backup)
            if engine is not None:
                engine.backups[request] = now() + 3600
        headers = {"Attempt-Id": request, "Response-Seal": f"seal-{request}"}
        headers |= {"Content-Type": "text/event-stream", "Weight-Versions": "1"}
        headers |= {"Transfer-Encoding": "chunked"} if self.is_framed else {"Connection": "close"}
        writer.write(http1.message("HTTP/1.1 200 OK", self.with_statements(headers)))
        self.writers[request] = writer
        await self.stream(run, reader, writer)
        return False

    async def stream(self, run, reader, writer):
        def send(event):
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.is_framed else event)

        work = asyncio.create_task(self.work(run, send))
        left = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait([work, left], return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            work.cancel()
            left.cancel()
            raise
        if not work.done():
            work.cancel()
            run.finish("channel closed")
        elif run.end == "complete" and self.is_framed:
            writer.write(b"0\r\n\r\n")
        left.cancel()
        self.forget(run)

    async def work(self, run, send):
        """Makes the events of a run one after another."""
        while run.next_event <= run.last_event:
            await asyncio.sleep(self.event_ms / 1000)
            if run.is_stopped:
                run.finish("stopped for a copy")
                break
            send(f"id: {run.next_event}\ndata: {run.request} {run.next_event}\n\n".encode())
            run.next_event += 1
        run.finish("complete")
        self.forget(run)

    def forget(self, run):
        if self.runs.get(run.request) is run:
            del self.runs[run.request]


def text(address):
    return f"{address[0]}:{address[1]}"
