"""Stand-ins of a sound server of event streams and of a client that reads one."""

import asyncio
import time

from common import message, read_head, read_request_body

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


def route(name, prefix, kind, service, **more):
    fields = {
        "name": name, "hostname": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
        "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2,
        "anonymous": False,
    }
    if kind == "streaming":
        fields |= {"sessionAffinity": True, "streamResume": True, "gapTargetMs": 120}
    return {**fields, **more}


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


def service(name, **more):
    fields = {"name": name, "healthPath": "/health", "maxConnections": 328, "coldStartS": 0.0,
              "coldPerS": 0.0}
    return {**fields, **more}


def server_entry(name, address, zone, born, **more):
    fields = {"service": name, "address": address, "zone": zone, "version": "v1", "slots": 12,
              "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": born}
    return {**fields, **more}


class StreamServer:
    """A sound server of one streaming service. Each stream has `events` events, one every `gap_s`,
    and `pause(id)` may name the number of an event and a longer pause before it."""

    def __init__(self, name, record, events, gap_s, pause=lambda request: None):
        self.name, self.record = name, record
        self.events, self.gap_s, self.pause = events, gap_s, pause
        self.born = int(time.time() * 1000)
        self.running = 0

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_request_body(reader, head)
                if not await self.answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, reader, writer):
        if head.start[1] == "/health":
            writer.write(message(200, {"Jujubejunction-Instance-Id": self.name}, b""))
            return True
        request = head.get("jujubejunction-request-id", "")
        target = head.get("jujubejunction-target-instance", self.name)
        if not request or target != self.name:
            status = 421 if request else 400
            headers = {"Jujubejunction-Not-Executed": "1",
                       "Jujubejunction-Instance-Id": self.name,
                       "Jujubejunction-Request-Id": request}
            writer.write(message(status, headers, b""))
            return True
        self.record(f"server {self.name} runs {request}")
        self.running += 1
        try:
            return await self.stream(request, reader, writer)
        finally:
            self.running -= 1

    async def stream(self, request, reader, writer):
        signature = f"{self.name}.{request}"
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Jujubejunction-Request-Id: {request}\r\n"
            f"Jujubejunction-Response-Signature: {signature}\r\n"
            f"Jujubejunction-Server-Load: {self.running},0,12\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        pause = self.pause(request)
        for number in range(1, self.events + 1):
            wait = pause[1] if pause and pause[0] == number else self.gap_s
            await asyncio.sleep(wait)
            if reader.at_eof() or writer.is_closing():
                self.record(f"server {self.name} has lost the connection of {request} "
                            f"before event {number} of {self.events}")
                return False
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"server {self.name} has written all of {request}")
        return True


class StreamResult:
    """What a client has seen of one attempt: `ending` is 'whole', 'cut', 'closed' (no answer),
    'no connection', 'left' (the client gave up) or a status."""

    def __init__(self):
        self.ending, self.events, self.sent_at, self.ended_at = None, 0, None, None


async def send_stream(ip, port, path, request, record, deadline_ms=8000, patience_s=2.0):
    """Sends a request over a new connection and reads its stream, as a client of the pages: it
    allows a second for the connection, and leaves after a gap of `patience_s` between events or
    at its deadline."""
    result = StreamResult()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        result.ending = "no connection"
        record(f"client finds no connection to {ip} for {request}")
        return result
    try:
        body = b"prompt " + request.encode()
        writer.write((
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nJujubejunction-Request-Id: {request}\r\n"
            f"Jujubejunction-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n"
            f"Jujubejunction-Model: m\r\nJujubejunction-Token-Usage: 900,400\r\n"
            f"Jujubejunction-Prompt-Prefix: 5c1e07a2:40,{request}:860\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        result.sent_at = time.monotonic()
        record(f"client sends {request} to {ip}")
        end = result.sent_at + deadline_ms / 1000
        try:
            await read_answer(reader, result, end, patience_s)
        except (asyncio.TimeoutError, TimeoutError):
            result.ending = "left"
        except (ConnectionError, asyncio.IncompleteReadError):
            result.ending = "cut" if result.events or result.ending == "head" else "closed"
        result.ended_at = time.monotonic()
        record(f"client's {request}: {result.ending} after {result.events} events, "
               f"{result.ended_at - result.sent_at:.3f} s after it was sent")
        return result
    finally:
        writer.close()


async def read_answer(reader, result, end, patience_s):
    left = end - time.monotonic()
    head = await asyncio.wait_for(read_head(reader), left)
    if head is None:
        result.ending = "closed"
        return
    if head.start[1] != "200":
        result.ending = head.start[1]
        return
    result.ending = "head"
    last = time.monotonic()
    while True:
        left = min(end, last + patience_s) - time.monotonic()
        size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), left), 16)
        chunk = await asyncio.wait_for(reader.readexactly(size + 2), left)
        if size == 0:
            result.ending = "whole"
            return
        result.events += chunk.count(b"id: ")
        last = time.monotonic()
