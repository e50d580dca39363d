"""Model engines for the scripts of review 3: streams, copies of a run's memory, backups.

An event holds 4 tokens; a request asks for as many events as its largest number of output tokens
allows. Engines of one pool live in one process, so that a copy is a shared record.
"""

import asyncio
import json
import time

from stand_in import message, read_body, read_head

TOKENS_PER_EVENT = 4
EVENT_S = 0.03
PROMPT_TOKENS_PER_MS = 14
COPY_S = 0.02


class Run:
    """A request at one engine."""

    def __init__(self, attempt, made, total):
        self.attempt, self.made, self.total = attempt, made, total
        self.began_at = time.monotonic()
        self.ended_at = None
        self.is_stopped = self.is_copying = self.has_client = False


class Engine:
    """An engine of a pool.

    `works_on`: it does not drop a request when its channel closes. `is_framed`: its streams are
    chunked; otherwise they end with their channel. `loses`: called with a run when it begins, says
    after how many events the answer is lost, or None: its channel ends and the engine works on.
    """

    def __init__(self, pool, store, service, name, zone, log, works_on=False, is_framed=True,
                 loses=None, slots=24):
        self.pool, self.store, self.service, self.name, self.zone = pool, store, service, name, zone
        self.log, self.works_on, self.is_framed, self.loses = log, works_on, is_framed, loses
        self.slots, self.state, self.sequence = slots, "ready", 0
        self.born = int(time.time() * 1000)
        self.runs, self.copies, self.handles = {}, {}, 0
        self.silent_until, self.is_gone = 0.0, False
        # Called with the attempt id when an order to stop a run arrives.
        self.on_stop_order = lambda attempt: None
        # All work of all engines: (attempt, engine, run).
        pool.setdefault("work", [])
        pool.setdefault("engines", {})

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.pool["engines"][self.address] = self
        asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        while not self.is_gone:
            self.report_state()
            await asyncio.sleep(1.2)

    def report_state(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "warmupLeftMs": 0, "phase": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def drain(self):
        self.state = "draining"
        self.report_state()
        self.log(engine=self.name, event="reports draining")

    def fall_silent(self, seconds):
        self.silent_until = time.monotonic() + seconds
        self.log(engine=self.name, event="silent", seconds=seconds)

    async def voice(self):
        """Waits while the engine is silent."""
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    def headers(self, attempt=""):
        running = sum(run.ended_at is None for run in self.runs.values())
        headers = {"Instance-Load": f"{running},0,{self.slots}", "Instance-Id": self.name}
        if attempt:
            headers["Attempt-Id"] = attempt
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return headers

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await read_body(reader, headers)
                await self.voice()
                method, path, _ = line.split(" ")
                if path == "/report":
                    writer.write(self.report())
                elif path == "/healthz":
                    writer.write(message("200 OK", self.headers()))
                elif path == "/kv-move":
                    writer.write(await self.move(json.loads(body)))
                elif path.startswith("/kv-handle/"):
                    self.drop_handle(path.rsplit("/", 1)[1])
                    writer.write(message("200 OK", {}))
                else:
                    await self.stream(reader, writer, headers)
                    return
                await self.voice()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def report(self):
        active = [run for run in self.runs.values() if run.ended_at is None]
        report = {
            "phase": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "sequence": self.sequence, "queued": 0, "active": len(active), "kvUsed": 0,
            "kvTotal": 34322, "handles": len(self.copies), "state": self.state, "nextToken": 0,
            "runs": [[run.attempt, 100, run.made, 5] for run in active], "born": self.born,
        }
        body = json.dumps(report).encode()
        return message("200 OK", {"Content-Type": "application/json", **self.headers()}, body)

    async def move(self, call):
        attempt, is_final = call["id"], bool(call.get("last"))
        run = self.runs.get(attempt)
        if is_final:
            self.log(engine=self.name, request=attempt, event="told to stop it",
                     found=run is not None and run.ended_at is None)
            self.on_stop_order(attempt)
            await self.voice()
        if run is None or run.ended_at is not None:
            return message("404 Not Found", self.headers())
        if run.is_copying:
            return message("409 Conflict", self.headers())
        run.is_copying = True
        if is_final:
            self.end(run)
            run.is_stopped = True
        await asyncio.sleep(COPY_S)
        run.is_copying = False
        self.handles += 1
        handle = f"h{self.born % 100000}x{self.handles}"
        key, target = f"{self.address}/{handle}", self.pool["engines"].get(call["target"])
        self.copies[key] = run.made
        if target:
            target.copies[key] = run.made
        body = json.dumps({"handle": handle, "created": run.made}).encode()
        return message("200 OK", {"Content-Type": "application/json", **self.headers()}, body)

    def drop_handle(self, handle):
        for engine in self.pool["engines"].values():
            engine.copies.pop(f"{self.address}/{handle}", None)

    def end(self, run):
        if run.ended_at is None:
            run.ended_at = time.monotonic()

    async def stream(self, reader, writer, headers):
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(message("421 Misdirected Request", self.headers(attempt)))
            return
        source = headers.get("kv-from")
        if source is not None:
            if source not in self.copies:
                self.log(engine=self.name, request=attempt, event="has no copy of it")
                writer.write(message("503 Service Unavailable", {"Not-Executed": "1", **self.headers(attempt)}))
                return
            for engine in self.pool["engines"].values():
                engine.copies.pop(source, None)
        prompt, most = (int(number) for number in headers["token-usage"].split(","))
        made = int(headers.get("last-event-id", "0"))
        run = Run(attempt, made, most // TOKENS_PER_EVENT)
        self.runs[attempt] = run
        self.pool["work"].append((attempt, self.name, run))
        self.log(engine=self.name, request=attempt, event="goes on with it" if source else "runs it",
                 after=made, events=run.total)
        asyncio.create_task(self.generate(run, prompt if source is None else 0, headers.get("kv-backup")))
        await self.deliver(run, reader, writer, made)

    async def generate(self, run, prompt, backup):
        await asyncio.sleep(prompt / PROMPT_TOKENS_PER_MS / 1000)
        keeper = self.pool["engines"].get(backup)
        while run.ended_at is None and run.made < run.total:
            await asyncio.sleep(EVENT_S)
            run.made += 1
            if keeper and run.ended_at is None:
                keeper.copies[f"{backup}/{run.attempt}"] = run.made
        if run.ended_at is None:
            self.end(run)
            self.log(engine=self.name, request=run.attempt, event="ends it", made=run.made)
            if keeper:
                keeper.copies.pop(f"{backup}/{run.attempt}", None)

    async def deliver(self, run, reader, writer, sent):
        """Writes the events of a run as it makes them."""
        lost_at = self.loses(run) if self.loses else None
        closed = asyncio.create_task(reader.read(1))
        while run.made <= sent and run.ended_at is None and not closed.done():
            await asyncio.sleep(0.002)
        await self.voice()
        head = {"Content-Type": "text/event-stream", "Response-Seal": "seal", **self.headers(run.attempt)}
        head.update({"Transfer-Encoding": "chunked"} if self.is_framed else {"Connection": "close"})
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        while True:
            await self.voice()
            if closed.done():
                if not self.works_on:
                    self.end(run)
                return
            while sent < run.made:
                if lost_at is not None and sent >= lost_at:
                    self.log(engine=self.name, request=run.attempt, event="loses its answer", after=sent)
                    return
                sent += 1
                data = f"id: {sent}\ndata: {'x' * 150}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data) if self.is_framed else data)
            await writer.drain()
            if run.is_stopped:
                # The stream of a run that was stopped is closed without its end.
                return
            if run.made >= run.total:
                if self.is_framed:
                    writer.write(b"0\r\n\r\n")
                    await writer.drain()
                return
            await asyncio.sleep(0.002)


async def read_stream(host, port, request, timeout_s):
    """Sends a request for a stream; returns its status, the ids of its events and whether the response
    is complete as HTTP has it."""
    reader, writer = await asyncio.open_connection(host, int(port))
    ids, is_whole, status = [], False, "none"
    try:
        writer.write(request)
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        if not head:
            return "channel closed", ids, False
        status, headers = head[0].split(" ")[1], head[1]
        text = b""
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), timeout_s)
                size = int(line, 16)
                data = await asyncio.wait_for(reader.readexactly(size + 2), timeout_s)
                if size == 0:
                    is_whole = True
                    break
                text += data[:-2]
        else:
            text = await reader.readexactly(int(headers.get("content-length", "0")))
            is_whole = True
        ids = [int(line[4:]) for line in text.decode().splitlines() if line.startswith("id: ")]
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        pass
    finally:
        writer.close()
    return status, ids, is_whole
