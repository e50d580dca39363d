"""A run continues from its backup, the answer of that engine is lost, and the engine before works on."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import http1
from deployment import configuration, run_case, stream_headers
from engine import Engine, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# From the rule.
GRACE_S = 0.4

REQUEST = "a7f3c0de00000001"

# Requests before it: one answer of an engine is lost, and no more than one in 20 may be.
OTHERS = 200
MIN_ANSWERS_OF_ENGINE = 20
CONCURRENCY = 8


def overlap(runs):
    """The first pair of runs of one request that breaks the rule."""
    for before in runs:
        for after in runs:
            if after.started_at <= before.started_at or after.request != before.request:
                continue
            at = after.started_at + GRACE_S
            works = lambda run: run.ended_at is None or run.ended_at > at
            if at < now() and works(before) and works(after):
                return before, after
    return None


async def send_others(daemon):
    """Sends short requests, as engines get them all the time."""
    numbers, attempts = iter(range(OTHERS)), itertools.count()

    async def send():
        for n in numbers:
            answer = None
            while answer is None or answer.status == 503:
                if answer is not None:
                    await asyncio.sleep(float(answer.headers.get("retry-after", 0.5)))
                headers = stream_headers(f"{n:08x}0c1a{next(attempts):04x}", 6000, max_tokens=12)
                answer = await http1.request(daemon.address, "POST", "/classify/1", headers, b"x" * 2900)
            if answer.status != 200 or not answer.is_complete:
                raise RuntimeError(f"a short request failed: {answer}")

    await asyncio.gather(*(send() for _ in range(CONCURRENCY)))


async def case(platform):
    engines = [
        Engine(platform, f"i-{n:08x}", "model-pool", f"zone-{zone}", {"guide": 235, "classify": 3}, event_ms=30)
        for n, zone in enumerate("abca", start=1)
    ]
    await platform.start(engines, configuration())
    daemon = platform.daemons[0]
    await send_others(daemon)
    platform.note(f"{OTHERS} short requests were answered")
    client = asyncio.create_task(
        http1.request(daemon.address, "POST", "/guide/1", stream_headers(REQUEST), b"x" * 3000)
    )
    of_request = lambda: [run for run in platform.runs if run.request == REQUEST]
    while not of_request() or of_request()[0].next_event < 40:
        if client.done():
            raise RuntimeError(f"the stream ended early: {client.result()}")
        await asyncio.sleep(0.02)
    source = of_request()[0].engine
    backup = next((engine for engine in engines if REQUEST in engine.backups), None)
    if backup is None:
        raise RuntimeError("the run has no backup")
    answers = sum(run.engine is backup for run in platform.runs)
    platform.note(
        f"request={REQUEST} runs at {source.name}, backup at {backup.name},"
        f" which has answered {answers} requests"
    )
    if answers < MIN_ANSWERS_OF_ENGINE:
        raise RuntimeError("the engine has answered too few requests for a lost answer")
    backup.is_answer_of_next_resume_lost = TROUBLE
    platform.note(f"{source.name} reports draining")
    source.drain()
    answer = await client
    platform.note(f"client: {answer}")
    if len(of_request()) < 2:
        raise RuntimeError("the run did not continue elsewhere")
    broken = overlap(of_request())
    if broken is None:
        return None
    before, after = broken
    return (
        f"TWICE: {after.engine.name} went on with {REQUEST} at {after.started_at - platform.started_at:.3f},"
        f" and {before.engine.name} still worked on it {GRACE_S} s later"
    )


sys.exit(asyncio.run(run_case(FOLDER, case)))
