"""A machine gets SIGHUP; streams sent to it right after pause once for less than clients wait."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from common import BROKEN, ENTRY, HELD, Store, fetch, run, wait_until
from servers import StreamServer, config, route, send_stream, server_entry, service

ZONE = "nam-a"
EVENTS, GAP_S = 20, 0.1
STREAMS = 10
# Clients leave after a gap of two seconds: that is longer than four times the objective (400 ms) and
# eight times the longest pause (120 ms).
PATIENCE_S = 2.0
PAUSE_S = 1.85
CONFIG_S = 2.0


async def case(record, addresses, programs, trouble):
    store = Store()
    await store.listen(addresses.ip(1), addresses.store)
    routes = [route("lc-draft", "/lohu930/", "streaming", "llm", streamResume=False)]
    store.put("op/config", config(3, routes, [service("llm")]))
    for host in (2, 3):
        pause = (lambda request: (11, PAUSE_S)) if trouble else (lambda request: None)
        server = StreamServer(f"i-{host:08x}", record, EVENTS, GAP_S, pause)
        await server.listen(addresses.ip(host), addresses.server)
        address = f"{addresses.ip(host)}:{addresses.server}"
        store.put(f"servers/{server.name}", server_entry("llm", address, ZONE, server.born))
    front = addresses.ip(4)
    programs.settings(front, [front], ZONE, "entry")
    await programs.start("entry", ENTRY, "front", front)

    async def is_ready():
        return (await fetch(front, addresses.readiness, "/jujubejunction/ready"))[0] == 200

    await wait_until(is_ready, 15, "the entry is ready")
    await asyncio.sleep(5)

    signalled = time.monotonic()
    programs.signal("entry", signal.SIGHUP)
    tasks = []
    for number in range(STREAMS):
        await asyncio.sleep(0.1)
        tasks.append(asyncio.create_task(
            send_stream(front, addresses.front, "/lohu930/2f", f"{number + 1:016x}", record,
                        patience_s=PATIENCE_S)))
    results = await asyncio.gather(*tasks)
    # The servers go on and write all of a stream where they are let.
    lost = [result for result in results if result.ending in ("cut", "closed")
            and result.sent_at < signalled + CONFIG_S and result.ended_at < result.sent_at + 8]
    whole = sum(result.ending == "whole" for result in results)
    record(f"{len(results)} streams: {whole} whole, {len(lost)} ended without a complete answer")
    return BROKEN if lost else HELD


run(FOLDER, case)
