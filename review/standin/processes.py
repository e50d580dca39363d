"""Servers that are a process each, and their entries in the store."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from engine import HEARTBEAT_S, text


class ServerProcess:
    def __init__(self, platform, name, service, zone, kind="whole"):
        self.platform = platform
        self.name, self.service, self.zone, self.kind = name, service, zone, kind
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.process = None
        self.address = None
        # Requests that it began to work on, and ended.
        self.began, self.ended = [], []
        # Called with the server and the word that it tells.
        self.on_word = None
        self.tasks = []

    async def start(self, ip):
        program = Path(__file__).resolve().parent / "server.py"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(program), self.name, ip, self.kind, stdout=asyncio.subprocess.PIPE
        )
        line = await self.process.stdout.readline()
        self.address = (ip, int(line.split()[1]))
        self.tasks = [asyncio.create_task(self.listen()), asyncio.create_task(self.check_in())]

    async def listen(self):
        while line := await self.process.stdout.readline():
            word, request = line.decode().split()
            self.platform.note(f"{self.name} {word} {request}")
            if word == "began":
                self.began.append(request)
            elif word == "ended":
                self.ended.append(request)
            if self.on_word is not None:
                self.on_word(self, word)

    async def check_in(self):
        while self.process.returncode is None:
            self.sequence += 1
            entry = {"service": self.service, "address": text(self.address), "zone": self.zone}
            entry |= {"version": "v1", "slots": 6, "state": "ready", "warmupLeftMs": 0}
            entry |= {"born": self.born, "sequence": self.sequence}
            self.platform.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def kill(self):
        if self.process.returncode is None:
            self.platform.note(f"{self.name} is killed")
            self.process.send_signal(signal.SIGKILL)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
