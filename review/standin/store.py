"""The platform's store: keyed topics with one partition, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

import http1

# Limits of a page.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
READ_KB = 1024


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()

    def put(self, topic, key, value):
        """Appends a record; without a value, the key is dropped."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.append(topic, key.encode(), raw)

    def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await http1.read_head(reader)) is not None:
                body = await http1.read_body(reader, head)
                writer.write(await self.respond(head, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, head, body):
        method, target, _ = head.start
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        era = {"Store-Era": 1}
        if (method, parts.path) == ("GET", "/log-newest"):
            data = json.dumps(self.newest(topic, query.get("after"))).encode()
            return http1.response(200, {**era, "Content-Type": "application/json"}, data)
        if (method, parts.path) == ("GET", "/log-read"):
            max_bytes = 1024 * int(query.get("maxKb", READ_KB))
            data = await self.read(topic, int(query["from"]), int(query.get("waitMs", 0)), max_bytes)
            return http1.response(410 if data is None else 200, era, data or b"")
        if (method, parts.path) == ("POST", "/log-append"):
            offset = len(self.topics.get(topic, []))
            self.append_records(topic, body)
            end = len(self.topics.get(topic, []))
            data = json.dumps({"offset": offset, "endOffset": end}).encode()
            return http1.response(200, {**era, "Content-Type": "application/json"}, data)
        return http1.response(404, era)

    def newest(self, topic, after):
        """A page of the newest record of each key, in the order of the keys."""
        records = self.topics.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        left = [key for key in sorted(newest) if newest[key][0] and (after is None or key > after.encode())]
        items, size = [], 0
        for key in left[:PAGE_ITEMS]:
            value, offset = newest[key]
            size += len(value)
            if items and size > PAGE_BYTES:
                break
            value = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": value, "offset": offset})
        return {"items": items, "hasMore": len(items) < len(left), "endOffset": len(records)}

    async def read(self, topic, start, wait_ms, max_bytes):
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            records = self.topics.get(topic, [])
            left = deadline - asyncio.get_running_loop().time()
            if start > len(records):
                return None
            if start < len(records) or left <= 0:
                data = struct.pack(">QQ", len(records), 0)
                for key, value in records[start:]:
                    record = struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
                    if len(data) + len(record) > max_bytes:
                        break
                    data += record
                return data
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def append_records(self, topic, body):
        while body:
            length = struct.unpack(">I", body[:4])[0]
            record, body = body[4 : 4 + length], body[4 + length :]
            self.append(topic, record[1 : 1 + record[0]], record[1 + record[0] :])
