"""Stand-ins for the platform's store, servers and clients, and starters for the project's programs.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ENTRY = os.path.join(ROOT, "target/release/jujubejunction")
AGENT = os.path.join(ROOT, "target/release/jujube-agent")
METRICS_PORT = 9464

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():9.3f} s  {text}"
        print(line, file=self.file, flush=True)


class Addresses:
    """A block of unused loopback addresses, and ports that are the same on all of them."""

    def __init__(self):
        for _ in range(200):
            self.prefix = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
            base = random.randint(20000, 30000)
            self.front, self.readiness, self.control, self.directory = range(base, base + 4)
            self.internal = (base + 10, base + 25)
            self.server = base + 30
            self.store = base + 31
            ports = [self.front, self.readiness, self.control, self.directory, self.server,
                     self.store, METRICS_PORT, *range(self.internal[0], self.internal[1] + 1)]
            if all(is_free(self.ip(host), port) for host in range(1, 9) for port in ports):
                return
        raise RuntimeError("no unused loopback addresses")

    def ip(self, host):
        return f"{self.prefix}.{host}"


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Head:
    """Head of an HTTP message."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, found, value = line.partition(":")
            if found:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(data[:-4].decode("latin-1"))


async def read_request_body(reader, head):
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(head.get("content-length", "0")))


def message(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: items with revisions, ranges and watches; readers only."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()

    def put(self, key, value):
        """Writes an item; the caller runs on the event loop."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.wake()

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()
        asyncio.get_running_loop().create_task(notify())

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                path, _, query = head.start[1].partition("?")
                pairs = [pair.partition("=") for pair in query.split("&") if pair]
                fields = {name: unquote(value) for name, _, value in pairs}
                status, body = await self.answer(path, fields)
                data = json.dumps(body).encode()
                writer.write(message(status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, fields):
        prefix = fields.get("pathPrefix", "")
        if path == "/jujubejunction/kv-key":
            item = self.items.get(fields.get("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/jujubejunction/kv-range":
            after = fields.get("afterRev", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/jujubejunction/kv-watch":
            after = int(fields.get("afterRev", "0"))
            end = time.monotonic() + min(int(fields.get("waitMs", "0")), 30000) / 1000
            while True:
                events = [it for it in self.events
                          if it["revision"] > after and it["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


def unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


class Programs:
    """The project's programs, started with the commands of the deploy file."""

    def __init__(self, addresses, record):
        self.addresses = addresses
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.running = {}

    def settings(self, ip, seeds, zone, role, beside=None):
        """Returns a settings file in the platform's format."""
        a = self.addresses
        lines = [
            f'nodeName = "{role}-{ip}"', f'role = "{role}"', f'ip = "{ip}"',
            f'zone = "{zone}"', 'region = "nam-central"',
            f"internalPorts = [{a.internal[0]},{a.internal[1]}]",
            "seeds = [" + ",".join(f'"{seed}:{a.control}"' for seed in seeds) + "]",
            "bootstrap = true", "countsAsLoss = false", 'discovery = "platform"',
            'entry = "directory"', "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            '"tenants","places","platform","experts"]',
        ]
        if beside:
            server, service = beside
            lines += ['machineClass = "side"', 'serves = ["side"]',
                      f'app = "{server}"', f'service = "{service}"']
        else:
            lines += ['machineClass = "edge"', 'serves = ["edge","control_plane","directory"]']
        lines += ["[zones]", f'{zone} = "nam-central"', "[listen]"]
        if not beside:
            lines += [f'front = "{ip}:{a.front}"', f'readiness = "{ip}:{a.readiness}"',
                      f'control = "{ip}:{a.control}"', f'directory = "{ip}:{a.directory}"']
        lines += [
            "[limits]", "cpuShare = 0.25", "cores = 1", "memoryMb = 260", "maxFds = 4100",
            "linkMbps = 1000.0", "diskMb = 0", "[faultTolerance]", "machines = 2", "zones = 1",
            "regions = 0", "[bounds]", "seedLagS = 3", "reuseAfterS = 2", "stableWindowMs = 3000",
            "ackMs = 4000", "catchUpS = 4", "drainMs = 2000", "graceS = 8", "lossSlackMs = 200",
            "configMs = 2000", "rollbackSlackMs = 250", "outerMs = 5000", "strictRevoke = false",
            "revokeMs = 5000", "retryBudgetRatio = 0.2", "budgetWindowS = 10", "budgetSlack = 94",
            "coldOverage = 1.5", "coldSlack = 5", "evacuateMs = 5000", "recoverS = 12",
            "passMs = 120", "retryAfterS = 0", "stall_ms = 1500", "requireFence = true",
            "ttl_max_s = 5", "[platform]", f'address = "{a.ip(1)}:{a.store}"', 'form = "read"',
            "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        path = os.path.join(self.folder, f"{ip}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def start(self, name, program, verb, ip):
        """Starts a program as the deploy file says; `name` names it in the record."""
        for path in (program, os.path.join(self.folder, f"{ip}.toml")):
            if not os.path.exists(path):
                raise RuntimeError(f"{path} is missing")
        log = open(os.path.join(self.folder, f"{name}.log"), "a", encoding="utf-8")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
               "LANG": os.environ.get("LANG", "C.UTF-8"),
               "JUJUBEJUNCTION_CONFIG": os.path.join(self.folder, f"{ip}.toml")}
        process = await asyncio.create_subprocess_exec(
            program, verb, "--log-level", "debug", "--metrics-addr", f"{ip}:{METRICS_PORT}",
            cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.running[name] = process
        self.record(f"{name} started, process {process.pid}")

    def signal(self, name, number):
        process = self.running[name]
        if process.returncode is None:
            process.send_signal(number)
            self.record(f"{name} gets {signal.Signals(number).name}")

    async def end_all(self):
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
        for process in self.running.values():
            await process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def fetch(ip, port, path, timeout=1.0):
    """Returns status and body of a GET, or (0, b'') without an answer."""
    try:
        return await asyncio.wait_for(_fetch(ip, port, path), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


async def _fetch(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        request = f"GET {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        head = await read_head(reader)
        if head is None:
            return 0, b""
        body = await reader.readexactly(int(head.get("content-length", "0")))
        return int(head.start[1]), body
    finally:
        writer.close()


async def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"not in {timeout} s: {what}")


def run(folder, case):
    """Runs `case(record, addresses, programs, trouble)`, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"disruption {'on' if trouble else 'off'}")

    async def whole():
        addresses = Addresses()
        programs = Programs(addresses, record)
        try:
            return await asyncio.wait_for(case(record, addresses, programs, trouble), 110)
        finally:
            await programs.end_all()

    try:
        result = asyncio.run(whole())
    except Exception as error:  # The case could not run.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    record(f"result {result}")
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
