"""A stream that was carried past a partition is cut for a move, and its caller gets it as complete."""

import asyncio
import os
import re
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import http1
from deployment import configuration, run_case, stream_headers
from engine import Engine

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REQUEST = "a7f3c0de00000001"
EVENTS = 235

# How long connections of the partitioned machine hang. They are the only ones that are made then.
PARTITION_S = 0.12


async def until(condition, what, timeout_s=10):
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            raise RuntimeError(f"not seen in {timeout_s} s: {what}")
        await asyncio.sleep(0.02)


async def partition(platform, source):
    """Cuts the machine that holds the run off from all engines: its channels are reset, new ones hang."""
    platform.note("edge-0 is cut off from all engines")
    await asyncio.gather(*(engine.hang() for engine in platform.engines))
    http1.reset(source.writers[REQUEST])
    await asyncio.sleep(PARTITION_S)
    for engine in platform.engines:
        engine.accept_again()
    platform.note("edge-0 reaches the engines again")


async def case(platform):
    engines = [
        Engine(platform, f"i-{n:08x}", "model-pool", f"zone-{zone}", {"guide": EVENTS}, 40, is_framed=False)
        for n, zone in enumerate("abca", start=1)
    ]
    await platform.start(engines, configuration())
    daemon = platform.daemons[0]
    client = asyncio.create_task(
        http1.request(daemon.address, "POST", "/guide/1", stream_headers(REQUEST), b"x" * 3000)
    )
    await until(lambda: platform.runs and platform.runs[0].next_event > 40, "events of the stream")
    if TROUBLE:
        await partition(platform, platform.runs[0].engine)
        await until(lambda: len(platform.runs) > 1 or client.done(), "the run goes on elsewhere")
    await asyncio.sleep(2)
    if client.done():
        raise RuntimeError(f"the stream ended early: {client.result()}")
    source = platform.runs[-1].engine
    platform.note(f"{source.name} reports draining")
    source.drain()
    answer = await client
    ids = [int(n) for n in re.findall(rb"^id: (\d+)$", answer.body, re.M)]
    platform.note(f"client: {answer} events={len(ids)} first={ids[:1]} last={ids[-1:]}")
    if ids != list(range(1, len(ids) + 1)):
        return "ORDER: an event is missing or comes twice"
    if answer.is_complete and len(ids) < EVENTS:
        return f"ORDER: the stream ended as complete after event {len(ids)} of {EVENTS}"
    if not answer.is_complete:
        platform.note("the stream was broken off, which ORDER allows")
    return None


sys.exit(asyncio.run(run_case(FOLDER, case)))
