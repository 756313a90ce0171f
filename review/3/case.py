"""A machine is stopped as planned; clients that still have its address send it streams."""

import asyncio
import json
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from common import BROKEN, ENTRY, HELD, METRICS_PORT, Store, fetch, run, wait_until
from servers import HOST, StreamServer, config, route, send_stream, server_entry, service

ZONE = "nam-a"
GRACE_S = 8.0
EVENTS, GAP_S = 50, 0.1
CLIENTS = 16


async def case(record, addresses, programs, trouble):
    store = Store()
    await store.listen(addresses.ip(1), addresses.store)
    store.put("op/config", config(3, [route("lc-draft", "/lohu930/", "streaming", "llm")],
                                  [service("llm")]))
    for host in (2, 3):
        server = StreamServer(f"i-{host:08x}", record, EVENTS, GAP_S)
        await server.listen(addresses.ip(host), addresses.server)
        address = f"{addresses.ip(host)}:{addresses.server}"
        store.put(f"servers/{server.name}", server_entry("llm", address, ZONE, server.born))
    fronts = [addresses.ip(4), addresses.ip(5)]
    for ip in fronts:
        programs.settings(ip, fronts, ZONE, "entry")
        await programs.start(f"entry-{ip}", ENTRY, "front", ip)

    async def both_named():
        answers = [await resolve(addresses, ip) for ip in fronts]
        return all(len(answer.get("addresses", [])) == 2 for answer in answers)

    await wait_until(both_named, 15, "both entries are named")
    await asyncio.sleep(4)

    # Each client asks a moment before the stop and keeps the answer three times as long.
    answers = [await resolve(addresses, fronts[1]) for _ in range(CLIENTS)]
    asked = time.monotonic()
    record(f"directory answers {json.dumps(answers[0])}")
    kept_s = 3 * min(answers[0]["ttlS"], 5)
    record(f"clients keep it for {kept_s} s")
    await asyncio.sleep(0.2)
    stopped = time.monotonic()
    if trouble:
        programs.signal(f"entry-{fronts[0]}", signal.SIGTERM)
    tasks = []
    for number in range(CLIENTS):
        at = 3.05 + number * 0.05
        assert stopped + at < asked + kept_s
        address = random.choice(answers[number]["addresses"])
        tasks.append(asyncio.create_task(client(record, address, stopped + at, number)))
    results = await asyncio.gather(*tasks)
    record(f"entry-{fronts[0]} exit code {programs.running[f'entry-{fronts[0]}'].returncode}")

    lost = [result for result in results if result.ending in ("cut", "closed")
            and result.sent_at > stopped + 3.0 and result.ended_at < result.sent_at + 8.0
            and result.ended_at < stopped + GRACE_S + 1.0]
    whole = sum(result.ending == "whole" for result in results)
    record(f"{len(results)} streams: {whole} whole, {len(lost)} ended without a complete answer")
    return BROKEN if lost else HELD


async def resolve(addresses, ip):
    path = f"/jujubejunction/resolve?name={HOST}&region=nam-central&zone={ZONE}"
    status, body = await fetch(ip, addresses.directory, path)
    return json.loads(body) if status == 200 else {}


async def client(record, address, at, number):
    await asyncio.sleep(max(0, at - time.monotonic()))
    ip, _, port = address.partition(":")
    return await send_stream(ip, int(port), "/lohu930/2f", f"{number + 1:016x}", record)


run(FOLDER, case)
