"""Two agents of a group are killed at the same moment while they switch the expert map."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from common import AGENT, BROKEN, ENTRY, HELD, Store, fetch, run, wait_until
from group import Group, engine
from servers import config, route, server_entry, service

ZONE = "nam-a"
SIZE = 4
# The agents that are killed, and the seconds after which each is started again.
KILLED = {1: 0.3, 0: 0.8}


async def case(record, addresses, programs, trouble):
    store = Store()
    await store.listen(addresses.ip(1), addresses.store)
    store.put("op/config", config(3, [route("lc-draft", "/lohu930/", "streaming", "llm")],
                                  [service("llm", engine=engine())]))
    group = Group(SIZE, record)
    passes = asyncio.create_task(group.run())
    servers = [addresses.ip(2 + index) for index in range(SIZE)]
    for index, ip in enumerate(servers):
        await group.listen(index, ip, addresses.server)
        entry = server_entry("llm", f"{ip}:{addresses.server}", ZONE, group.born)
        store.put(f"servers/i-{index:08x}", entry)
    front = addresses.ip(2 + SIZE)
    programs.settings(front, [front], ZONE, "entry")
    await programs.start("entry", ENTRY, "front", front)

    async def is_ready():
        return (await fetch(front, addresses.readiness, "/jujubejunction/ready"))[0] == 200

    await wait_until(is_ready, 15, "the entry is ready")
    for index, ip in enumerate(servers):
        programs.settings(ip, [front], ZONE, "agent", (f"{ip}:{addresses.server}", "llm"))
        await programs.start(f"agent-{index}", AGENT, "balance", ip)

    # One switch without a disruption shows that the group works.
    await asyncio.sleep(2)
    group.raise_demand()

    async def has_switched():
        return group.switches >= 1

    await wait_until(has_switched, 30, "the group has switched to another map")
    await asyncio.sleep(2)

    armed = asyncio.Event()

    def on_order(rank, order, status):
        if rank.index == 0 and order["operation"] == "arm" and status == 202 and not armed.is_set():
            armed.set()
            if trouble:
                for index in KILLED:
                    programs.signal(f"agent-{index}", signal.SIGKILL)

    group.on_order = on_order
    # Wishes change until the leader begins the next switch.
    for _ in range(20):
        group.raise_demand()
        group.switches += 1
        try:
            await asyncio.wait_for(armed.wait(), 2)
            break
        except asyncio.TimeoutError:
            pass
    if not armed.is_set():
        raise RuntimeError("no second switch has begun")
    if trouble:
        waited = 0.0
        for index, after in sorted(KILLED.items(), key=lambda it: it[1]):
            await asyncio.sleep(after - waited)
            waited = after
            await programs.running[f"agent-{index}"].wait()
            await programs.start(f"agent-{index}", AGENT, "balance", servers[index])
    await asyncio.sleep(12)
    passes.cancel()
    record(f"{len(group.mixed)} passes began with different maps; last pass {group.step}")
    return BROKEN if group.mixed else HELD


run(FOLDER, case)
