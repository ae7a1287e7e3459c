"""Requests that wait for a place of their adapter while a newer version is named."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "kit-2"))
from kit import BROKEN, HELD, TROUBLE, CouldNotRun, Engine, call, main  # noqa: E402

VERSION_S = 5.0
BASE = "daka510000"
PLACES = 9
LONG_EVENTS, LONG_PAUSE_S = 230, 0.035
WAITING = 8


def config():
    def route(name, prefix, timeout_ms, goal_ms, attempts, resumable):
        return {"name": name, "host": "ficu95.example", "pathPrefix": prefix,
                "routeType": "streaming", "timeoutMs": timeout_ms, "latencyGoalMs": goal_ms,
                "priority": 1, "service": "plant", "maxAttempts": attempts, "sticky": True,
                "resumable": resumable, "gapGoalMs": 250}

    return {
        "version": 7,
        "routes": [route("r-chat", "/chat/", 15000, 600, 2, True),
                   route("r-sheet", "/sheet/", 10000, 1000, 1, False)],
        "services": [{"name": "plant", "healthPath": "/healthz", "maxConns": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 250763, "kvBytes": 163840,
                                 "models": [{"name": BASE, "weightsMb": 42700.0, "loadS": 1.3,
                                             "adapters": 3000, "adapterMb": 66.0}],
                                 "weightsMb": 44200.0, "adapterSlots": PLACES,
                                 "loadsPerS": 2.8}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def send(site, front, path, attempt, adapter, deadline_ms, events, pause_s):
    headers = [("Model", f"{BASE}/{adapter}"), ("Token-Count", "628,80"),
               ("Prompt-Prefix", f"5c1e07a2:119,{attempt}:509"), ("X-Events", events),
               ("X-Pause", pause_s)]
    return asyncio.create_task(call(site.record, front, "POST", path, attempt, deadline_ms,
                                    headers, b"x" * 1700))


async def case(site):
    await site.store.start(site.store_ip)
    await site.store.put("config", "main", config())
    engines = []
    for n, zone in enumerate(["dk-east-a", "dk-east-b"]):
        engine = Engine(site.record, f"plant-{n}", "plant", site.ip(), zone, BASE, PLACES)
        await engine.start(f"i-{n:04x}")
        await site.agent(engine)
        await site.store.put("servers", engine.id, engine.spec())
        engines.append(engine)
    front, _, _ = await site.entry("dk-east-a")
    await site.ready(front)
    await asyncio.sleep(4)
    # As many chats begin as the workers have places, each with an adapter of its own.
    chats = []
    for n in range(PLACES * len(engines)):
        chats.append(send(site, front, "/chat/x", f"c{n:03x}", f"a{n + 1}", 15000, LONG_EVENTS,
                          LONG_PAUSE_S))
        await asyncio.sleep(0.08)
    await asyncio.sleep(0.8)
    for engine in engines:
        used = sum(1 for users in engine.users.values() if users)
        site.record.add(f"{engine.name} has {used} of {PLACES} places in use")
    sheets = [send(site, front, "/sheet/x", f"5{n:03x}", f"a{n + 101}", 10000, 13, 0.05)
              for n in range(WAITING)]
    await asyncio.sleep(0.2)
    named = {}
    for n in range(WAITING):
        adapter = f"a{n + 101}"
        if TROUBLE:
            spec = {"model": BASE, "adapter": adapter, "version": 2}
            named[adapter] = await site.store.put("versions", f"{BASE}.{adapter}", spec)
    replies = await asyncio.gather(*sheets, *chats)
    if not any(reply.status == 200 for reply in replies[:WAITING]):
        raise CouldNotRun("none of the waiting requests was served")
    late = []
    for engine in engines:
        for at, attempt, adapter, version in engine.begun:
            if adapter in named and version < 2 and at > named[adapter] + VERSION_S:
                late.append((at - named[adapter], attempt, adapter, version))
    if late:
        worst, attempt, adapter, version = max(late)
        return BROKEN, (f"{len(late)} requests began on version {version} of their adapter later "
                        f"than {VERSION_S} s after version 2 was acknowledged, {attempt} on "
                        f"{adapter} {worst:.3f} s after")
    return HELD, "no request began on an older version that late"


main(os.path.dirname(os.path.abspath(__file__)), case)
