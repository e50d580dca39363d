"""A small deployment: daemons as processes, the store, engines and servers."""

import asyncio
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from engine import now, text
from store import Store

ROOT = Path(__file__).resolve().parents[2]

# The bounds of the site file that the cases name.
BOUNDS = {
    "graceS": 8,
    "ttl_max_s": 5,
    "retryBudgetRatio": 0.2,
    "retrySlack": 58.0,
    "retryWindowS": 10.0,
}
ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
HOST = "service.example"


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def lookup(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields[name]
    return ",".join(fields) if isinstance(fields, list) else str(fields)


class Daemon:
    """One process of the role in the deploy file."""

    def __init__(self, platform, number, seeds, memory_mb):
        self.platform, self.number = platform, number
        self.name = f"edge-{number}"
        self.ip = platform.next_ip()
        port = lambda: free_port(self.ip)
        self.listen = {
            "frontend": f"{self.ip}:{port()}",
            "ready": f"{self.ip}:{port()}",
            "controlPlane": f"{self.ip}:{port()}",
            "directory": f"{self.ip}:{port()}",
        }
        seeds.append(self.listen["controlPlane"])
        self.fields = {
            "nodeName": self.name,
            "zone": ZONES[number % len(ZONES)],
            "ip": self.ip,
            "listen": self.listen,
            "internalPorts": [port()],
            "seeds": seeds,
            "limits": {"cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0, "memoryMb": memory_mb},
            "platform": {"address": text(platform.store.address)},
            "bounds": BOUNDS,
        }
        self.process = None

    @property
    def address(self):
        ip, port = self.listen["frontend"].split(":")
        return ip, int(port)

    def spawn(self):
        role = self.platform.role
        template = (ROOT / role["template"]).read_text()
        settings = re.sub(r"\{\{([\w.]+)\}\}", lambda m: lookup(self.fields, m[1]), template)
        path = self.platform.folder / f"{self.name}.ini"
        path.write_text(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MAGNOLIAWINCH_BOOT"] = str(path)
        with open(self.platform.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    """Everything outside the daemons, and the record of what happened."""

    def __init__(self, folder):
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["edge"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = Path(folder) / "record.txt"
        self.started_at = now()
        self.store = Store()
        self.daemons, self.engines = [], []
        self.copies, self.runs, self.lines = {}, [], []
        self.ips = (f"127.{os.getpid() % 200 + 20}.{n // 250}.{n % 250 + 1}" for n in range(60_000))

    def next_ip(self):
        return next(self.ips)

    def time(self):
        return now() - self.started_at

    def note(self, line):
        self.lines.append(f"{self.time():8.3f} {line}")

    def engine_at(self, address):
        return next((engine for engine in self.engines if text(engine.address) == address), None)

    async def start(self, engines, configuration, daemon_count=3, memory_mb=110, waits=True):
        await self.store.start(self.next_ip())
        self.store.put("keyed.op", "config", configuration)
        for engine in engines:
            self.engines.append(engine)
            await engine.start(self.next_ip())
        seeds = []
        self.daemons = [Daemon(self, n, seeds, memory_mb) for n in range(daemon_count)]
        for daemon in self.daemons:
            daemon.spawn()
        if waits:
            await self.wait_until_ready()

    async def wait_until_ready(self, timeout_s=15):
        deadline = now() + timeout_s
        for daemon in self.daemons:
            while not await is_ready(daemon):
                if now() > deadline:
                    raise RuntimeError(f"{daemon.name} is not ready in {timeout_s} s")
                await asyncio.sleep(0.1)
        # The daemons find each other and settle who owns the pools.
        await asyncio.sleep(4)

    async def end(self, verdict):
        for daemon in self.daemons:
            daemon.end()
        # The ends of their connections are handled first.
        await asyncio.sleep(0.1)
        for engine in self.engines:
            await engine.stop()
        runs = [run.describe(self.started_at) for run in self.runs]
        self.record_path.write_text("\n".join([*self.lines, *runs, verdict, ""]))
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the daemons: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(daemon):
    import http1

    ip, port = daemon.listen["ready"].split(":")
    answer = await http1.request((ip, int(port)), "GET", "/readyz", {"Host": "ready"}, timeout=1)
    return answer.status == 200


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **more,
    }


def configuration(version=1, backups=True, moves=True):
    engine = {
        "slots": 24,
        "kvCapacity": 34322,
        "kvBytes": 18432,
        "linkMbps": 2700.0,
        "moves": moves,
        "backups": backups,
        "stride": 4,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleTtlS": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            route("guide", "/guide/", "streaming", "model-pool", 39000, 1800, targetGapMs=180),
            route("classify", "/classify/", "streaming", "model-pool", 6000, 1500, targetGapMs=180),
            route("order", "/order/", "unsafe", "order-app", 1000, 150),
            route("stock", "/stock/", "safe", "order-app", 1000, 150, maxAttempts=2),
        ],
        "services": [
            {"name": "model-pool", "healthPath": "/healthz", "maxConnections": 282, "protocol": "h1", "tls": False, "engine": engine},
            {"name": "order-app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def stream_headers(request, deadline_ms=39000, prompt_tokens=1500, max_tokens=940):
    return {
        "Host": HOST,
        "Attempt-Id": request,
        "Model": "m",
        "Token-Usage": f"{prompt_tokens},{max_tokens}",
        "Prefix-Hash": f"5c1e07a2:79,{request[:8]}:{prompt_tokens - 79}",
        "Deadline-Ms": deadline_ms,
        "Authorization": f"Bearer {KEY}",
    }


async def run_case(folder, case, limit_s=110):
    """Runs a case; returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could
    not run."""
    platform = Platform(folder)
    code, verdict = 2, "not run"
    # Ended from outside, it still ends what it has started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(limit_s):
            broken = await case(platform)
        code, verdict = (1, f"broken: {broken}") if broken else (0, "held")
    except (Exception, asyncio.CancelledError) as e:
        verdict = f"not run: {type(e).__name__} {e}"
    finally:
        await platform.end(verdict)
    print(verdict)
    return code
