"""A server of a plain service in a process of its own, so that it can be killed.

Its answers have neither a length nor chunks: it sends the head when it begins to work, and the body when it
has ended. Tells on standard output what it does, a line each.
"""

import asyncio
import sys

import http1

WORK_S = 0.2
BODY = b"order confirmed " * 50


def tell(*words):
    print(*words, flush=True)


class Server:
    def __init__(self, name):
        self.name, self.busy = name, 0

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
        load = {"Instance-Id": self.name, "Instance-Load": f"{self.busy},0,6"}
        if head.start[:2] == ["GET", "/healthz"]:
            writer.write(http1.response(200, load))
            return True
        request = head.get("attempt-id", "")
        if head.get("expect-instance", self.name) != self.name:
            refusal = {"Attempt-Id": request, "Not-Executed": "1", "Instance-Id": self.name}
            writer.write(http1.response(421, refusal))
            return True
        self.busy += 1
        headers = {"Attempt-Id": request, "Response-Seal": f"seal-{request}", "Connection": "close", **load}
        writer.write(http1.message("HTTP/1.1 200 OK", headers))
        await writer.drain()
        tell("began", request)
        await asyncio.sleep(WORK_S)
        writer.write(BODY)
        await writer.drain()
        self.busy -= 1
        tell("ended", request, len(BODY))
        return False


async def main(name, ip):
    server = await asyncio.start_server(Server(name).serve, ip, 0)
    tell("listens", server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
