"""A request crashes each server that begins to run it, and comes again and again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from common import BROKEN, ENTRY, HELD, Store, fetch, message, read_head, read_request_body, run, \
    wait_until
from servers import KEY, HOST, config, route, server_entry, service

ZONE = "nam-a"
SERVERS = 4
DOWN_S = 3.0
STABLE_WINDOW_S = 3.0
# A server begins to run a request with its first token, and so sends the head of its answer then.
FIRST_TOKEN_S = 0.08
# For comparison: HEAD_FIRST=1 lets servers send the head before they begin to run.
HEAD_FIRST = os.environ.get("HEAD_FIRST") == "1"


class CrashingServer:
    """A server that crashes as it begins to run a request with the body `deadly`: its port and all
    its connections are closed, and it starts again after some seconds with a new incarnation."""

    def __init__(self, ident, ip, port, store, record, deadly):
        self.ident, self.ip, self.port = ident, ip, port
        self.store, self.record, self.deadly = store, record, deadly
        self.crashes, self.arrivals, self.connections = [], [], set()
        self.cut = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        born = int(time.time() * 1000)
        entry = server_entry("llm", f"{self.ip}:{self.port}", ZONE, born)
        self.store.put(f"servers/{self.ident}", entry)

    def crash(self):
        self.record(f"server {self.ident} crashes, {len(self.connections)} connections")
        self.crashes.append(self.record.now())
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(self.start()))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_request_body(reader, head)
                await self.answer(head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, body, writer):
        if head.start[1] == "/health":
            writer.write(message(200, {"Jujubejunction-Instance-Id": self.ident}, b""))
            return
        request = head.get("jujubejunction-request-id", "")
        if head.get("jujubejunction-target-instance", self.ident) != self.ident:
            headers = {"Jujubejunction-Request-Id": request,
                       "Jujubejunction-Instance-Id": self.ident}
            writer.write(message(421, headers, b""))
            return
        is_deadly = body == self.deadly
        if is_deadly:
            self.record(f"{request} reaches server {self.ident}")
            self.arrivals.append(self.record.now())
        answer_head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Jujubejunction-Request-Id: {request}\r\n"
            f"Jujubejunction-Response-Signature: {self.ident}.{request}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()
        if HEAD_FIRST:
            writer.write(answer_head)
        await asyncio.sleep(FIRST_TOKEN_S)
        if writer.is_closing():
            return
        if is_deadly and self.crashing:
            self.crash()
            return
        if not HEAD_FIRST:
            writer.write(answer_head)
        for number in range(1, 11):
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
            if writer.is_closing():
                self.cut += 1
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    crashing = True


async def case(record, addresses, programs, trouble):
    deadly = b"the deadly prompt"
    CrashingServer.crashing = trouble
    store = Store()
    await store.listen(addresses.ip(1), addresses.store)
    store.put("op/config", config(3, [route("lc-draft", "/lohu930/", "streaming", "llm")],
                                  [service("llm")]))
    servers = []
    for index in range(SERVERS):
        server = CrashingServer(f"i-{index:08x}", addresses.ip(2 + index), addresses.server, store,
                                record, deadly)
        await server.start()
        servers.append(server)
    fronts = [addresses.ip(6), addresses.ip(7)]
    for ip in fronts:
        programs.settings(ip, fronts, ZONE, "entry")
        await programs.start(f"entry-{ip}", ENTRY, "front", ip)

    async def is_ready():
        answers = [await fetch(ip, addresses.readiness, "/jujubejunction/ready") for ip in fronts]
        return all(status == 200 for status, _ in answers)

    await wait_until(is_ready, 15, "the entries are ready")
    await asyncio.sleep(4)
    sound = asyncio.create_task(send_sound(record, addresses, fronts))
    for number in range(24):
        await send(record, fronts[number % 2], addresses.front, f"dead{number:012x}", deadly, True)
        await asyncio.sleep(1.0)
    sound.cancel()
    await asyncio.sleep(0.5)

    crashes = sorted(at for server in servers for at in server.crashes)
    arrivals = sorted(at for server in servers for at in server.arrivals)
    third = crashes[2] if len(crashes) > 2 else None
    late = [at for at in arrivals if third is not None and at > third + STABLE_WINDOW_S]
    record(f"{len(crashes)} crashes, the third at {third}; {len(arrivals)} arrivals, {len(late)} of "
           f"them later than {STABLE_WINDOW_S} s after it; "
           f"{sum(server.cut for server in servers)} sound streams cut at the servers")
    return BROKEN if len(late) > 3 else HELD


async def send_sound(record, addresses, fronts):
    """Sends other requests, each with a body of its own."""
    tasks = []
    for number in range(10 ** 6):
        request = f"{number + 1:016x}"
        tasks.append(asyncio.create_task(
            send(record, fronts[number % 2], addresses.front, request, request.encode(), False)))
        await asyncio.sleep(0.15)


async def send(record, ip, port, request, body, is_logged):
    """Sends a request over a new connection, and reads its answer to the end."""
    prefix = f"5c1e07a2:40,{body.hex()[:12]}:860"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        writer.write((
            f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nJujubejunction-Request-Id: {request}\r\n"
            f"Jujubejunction-Deadline-Ms: 8000\r\nApi-Key: {KEY}\r\nJujubejunction-Model: m\r\n"
            f"Jujubejunction-Token-Usage: 900,80\r\nJujubejunction-Prompt-Prefix: {prefix}\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
        data = await asyncio.wait_for(reader.read(-1), 9)
        writer.close()
        status = data.split(b" ", 2)[1].decode() if data else "no answer"
        ending = "whole" if data.endswith(b"0\r\n\r\n") or not data.startswith(b"HTTP/1.1 200") \
            else "cut"
    except (OSError, asyncio.TimeoutError) as error:
        status, ending = type(error).__name__, ""
    if is_logged or status != "200" or ending != "whole":
        record(f"client sent {request} to {ip}: {status} {ending}")


run(FOLDER, case)
