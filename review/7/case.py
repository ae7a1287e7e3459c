"""Workers whose entry is removed, while the store cuts watches that wait."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "kit-2"))
from kit import BROKEN, HELD, TROUBLE, CouldNotRun, Worker, call, main  # noqa: E402

DRAIN_S = 2.0
ROUNDS = 10
ROUND_S = 6.5
CUT_EVERY_S = 2.0
SERVES_ON_S = 3.2
RATE = 60.0


def config():
    return {
        "version": 7,
        "routes": [{"name": "r-price", "host": "ficu95.example", "pathPrefix": "/price/",
                    "routeType": "unsafe", "timeoutMs": 800, "latencyGoalMs": 300, "priority": 2,
                    "service": "counter", "maxAttempts": 1, "sticky": False}],
        "services": [{"name": "counter", "healthPath": "/healthz", "maxConns": 96,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


async def load(site, front):
    number = 0
    calls = set()
    while True:
        number += 1
        task = asyncio.create_task(call(site.record, front, "POST", "/price/x",
                                        f"p{number:06d}", 1500, body=b"x" * 600))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1 / RATE)


async def cut(site):
    while True:
        await asyncio.sleep(CUT_EVERY_S)
        site.record.add(f"store cuts {site.store.cut_waiting_watches()} waiting watches")


async def case(site):
    await site.store.start(site.store_ip)
    await site.store.put("config", "main", config())
    zones = ["dk-east-a", "dk-east-b", "dk-east-c"]
    workers = []

    async def add(n, zone):
        worker = Worker(site.record, f"counter-{n}", "counter", site.ip(), zone)
        await worker.start(f"i-{n:04x}")
        await site.store.put("servers", worker.id, worker.spec())
        workers.append(worker)
        return worker

    for n, zone in enumerate(zones):
        await add(n, zone)
    front, _, _ = await site.entry("dk-east-a")
    await site.ready(front)
    background = [asyncio.create_task(load(site, front))]
    if TROUBLE:
        background.append(asyncio.create_task(cut(site)))
    await asyncio.sleep(4)
    late = []
    for n in range(ROUNDS):
        # The worker in the entry's own zone leaves, and another takes its place.
        leaving = workers[0] if n == 0 else workers[-1]
        await add(n + 3, zones[0])
        await asyncio.sleep(2)
        if not any(at > site.record.now() - 2 for at, _ in leaving.arrivals):
            site.record.add(f"{leaving.name} gets no requests")
        gone_at = await site.store.remove("servers", leaving.id)
        await asyncio.sleep(SERVES_ON_S)
        after = [(at - gone_at, id) for at, id in leaving.arrivals if at > gone_at + DRAIN_S]
        last = max((at - gone_at for at, _ in leaving.arrivals), default=0)
        site.record.add(f"{leaving.name}: last request {last:.3f} s after its end was "
                        f"acknowledged, {len(after)} later than {DRAIN_S} s")
        late += after
        leaving.end()
        await asyncio.sleep(ROUND_S - SERVES_ON_S - 2)
    for task in background:
        task.cancel()
    if not any(worker.runs for worker in workers):
        raise CouldNotRun("no request was served")
    if late:
        worst = max(at for at, _ in late)
        return BROKEN, (f"{len(late)} requests reached a worker later than {DRAIN_S} s after the "
                        f"store acknowledged that it is gone, the last {worst:.3f} s after")
    return HELD, "no request reached a worker that late"


main(os.path.dirname(os.path.abspath(__file__)), case)
