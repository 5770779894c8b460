"""An engine crashes while it streams events whose ids are 64-bit numbers."""

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness2 import ENGINE, ZONES, Fleet, Request, head, play, route, trouble

FOLDER = Path(__file__).resolve().parent
FIRST_ID = time.time_ns()
"""Id of the first event; the engines count on from here."""
EVENTS, EVENT_GAP_S = 30, 0.05
STREAMS = 9


async def generate(request: Request, _reader, writer) -> bool:
    """Answer as a sound engine; go on behind ``Last-Event-Id`` if there is one."""
    last = request.headers.get("last-event-id")
    request.replica.fleet.record(f"     {request.id}: Last-Event-Id is {last}")
    start = 0 if last is None else int(last) - FIRST_ID + 1
    await asyncio.sleep(0.1)
    headers = request.replica.sealed(request)
    headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    writer.write(head("HTTP/1.1 200 OK", headers))
    for number in range(start, EVENTS):
        event = f"id: {FIRST_ID + number}\ndata: piece-{number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")
    return True


async def case(fleet: Fleet) -> bool:
    """Return whether a stream has a piece twice, or ends without one."""
    stream = route(
        "alert-triage",
        "/lohu930/",
        "scribe",
        "stream",
        timeout_ms=15_000,
        target_latency_ms=800,
        priority=1,
        sticky=True,
        resumable=True,
        gap_target_ms=400,
    )
    await fleet.publish([stream], [ENGINE])
    for zone in ZONES:
        for _ in range(2):
            engine = await fleet.add_replica("scribe", zone)
            engine.slots, engine.behave = 48, generate
    names = [fleet.add_gateway(zone, 1) for zone in ZONES]
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    tasks = []
    for number in range(STREAMS):
        more = {
            "X-Greengageflow-Model": "m",
            "X-Greengageflow-Token-Count": "1460,80",
            "X-Greengageflow-Prompt-Prefix": f"5c1e07a2:800,{number:x}bd3f:410,e4:250",
        }
        asked = fleet.ask(
            names[number % len(names)],
            "POST",
            f"/lohu930/{number}",
            b"x" * 600,
            deadline_ms=15_000,
            more=more,
        )
        tasks.append(asyncio.create_task(asked))
    await asyncio.sleep(0.8)
    if trouble():
        engine = max(fleet.replicas, key=lambda replica: len(replica.runs))
        fleet.record(f"{engine.id} crashes with {len(engine.runs)} streams")
        await engine.crash()
    wrong = resumed = 0
    for request, answer in await asyncio.gather(*tasks):
        got = [int(n) for n in re.findall(rb"data: piece-(\d+)\n", answer.body)]
        resumed += len(fleet.runs(request)) > 1
        if answer.status == 200 and not answer.cut and got != list(range(EVENTS)):
            wrong += 1
            fleet.record(f"WRONG {request}: complete, with the pieces {got}")
    text = f"{STREAMS} streams, {resumed} resumed after the crash, {wrong} wrong"
    fleet.record(text)
    print(text)
    return wrong > 0


play(case, FOLDER)
