"""A server of a plain service in a process of its own, so that it can be killed.

Answers to POST have neither a length nor chunks: the server sends the head when it begins to work, and the
body when it has ended, in two parts if it is told so. Other answers have a length, and their channels are kept.
Tells on standard output what it does, a line each.

Usage: server.py NAME IP KIND, with KIND `whole` or `parts`.
"""

import asyncio
import sys

import http1

# Work before the body, and between the two parts of it.
READ_S = 0.03
WORK_S = 0.2
PAUSE_S = 0.1
BODY = b"order confirmed " * 50
FIRST_PART = 300

# As the sheet has it: requests that it works on, and further ones that wait.
SLOTS = 6
QUEUE = 24


def tell(*words):
    print(*words, flush=True)


class Server:
    def __init__(self, name, kind):
        self.name, self.kind, self.busy = name, kind, 0
        self.slots = asyncio.Semaphore(SLOTS)

    async def serve(self, reader, writer):
        try:
            while (head := await http1.read_head(reader)) is not None:
                await http1.read_body(reader, head)
                if not await self.handle(head, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, writer):
        """Answers a call; returns whether the connection stays open."""
        load = {"Instance-Id": self.name, "Instance-Load": f"{min(self.busy, SLOTS)},{max(self.busy - SLOTS, 0)},{SLOTS}"}
        if head.start[:2] == ["GET", "/healthz"]:
            writer.write(http1.response(200, load))
            return True
        request = head.get("attempt-id", "")
        if head.get("expect-instance", self.name) != self.name:
            refusal = {"Attempt-Id": request, "Not-Executed": "1", "Instance-Id": self.name}
            writer.write(http1.response(421, refusal))
            return True
        if self.busy >= SLOTS + QUEUE:
            writer.write(http1.response(503, {"Attempt-Id": request, "Not-Executed": "1"}))
            return True
        self.busy += 1
        try:
            async with self.slots:
                return await self.work(head.start[0], request, load, writer)
        finally:
            self.busy -= 1

    async def work(self, method, request, load, writer):
        headers = {"Attempt-Id": request, "Response-Seal": f"seal-{request}", **load}
        if method != "POST":
            await asyncio.sleep(READ_S)
            writer.write(http1.response(200, headers, BODY))
            return True
        writer.write(http1.message("HTTP/1.1 200 OK", {**headers, "Connection": "close"}))
        await writer.drain()
        tell("began", request)
        await self.write_body(request, writer)
        tell("ended", request)
        return False

    async def write_body(self, request, writer):
        await asyncio.sleep(WORK_S)
        if self.kind == "parts":
            writer.write(BODY[:FIRST_PART])
            await writer.drain()
            tell("part", request)
            await asyncio.sleep(PAUSE_S)
            writer.write(BODY[FIRST_PART:])
        else:
            writer.write(BODY)
        await writer.drain()


async def main(name, ip, kind):
    server = await asyncio.start_server(Server(name, kind).serve, ip, 0)
    tell("listens", server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
