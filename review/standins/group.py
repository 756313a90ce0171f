"""Stand-in of a group of model servers: passes, expert maps, counters and orders as in the users'
protocol page. It counts the passes that begin while two ranks have different maps."""

import asyncio
import json
import time
from urllib.parse import urlsplit

from common import message, read_head, read_request_body

SETS, EXPERTS, PLACEMENTS, SPARE = 2, 12, 4, 2
PASS_S, COPY_S = 0.025, 0.03


def engine():
    """Returns the fields of the configuration that describe the servers' engine."""
    return {
        "slots": 12, "kvCapacityTokens": 494000, "linkMbps": 180000.0, "stride": 6,
        "step_ms": 4.84, "per_seq_ms": 1.0, "context_per_k": 0.01, "read_per_s": 74800.0,
        "pairs_per_m": 0.2, "chunk": 512, "report_lag_ms": 200.0,
        "usual": {"prompt": 800, "answer": 150}, "sets": SETS, "experts": EXPERTS,
        "placements": PLACEMENTS, "spare": SPARE, "expertMb": 100.0, "expertShare": 0.85,
    }


class Rank:
    def __init__(self, index, size):
        self.index, self.size = index, size
        self.sequence, self.fence, self.highest = 0, 0, 0
        self.version = 0
        self.map = [[list(range(rank, EXPERTS, size)) for rank in range(size)]
                    for _ in range(SETS)]
        self.prepared = None  # (version, map, time at which the copy is complete)
        self.armed = None  # (version, step)
        self.held = None
        self.counts = [0] * (SETS * EXPERTS)

    def loaded(self):
        return self.prepared is not None and time.monotonic() >= self.prepared[2]

    def order(self, order, epoch, step):
        """Carries an order out, and returns the status of its answer."""
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return 412
        self.fence = token
        if order.get("epoch", epoch) != epoch:
            return 409
        if order.get("expectedRev", self.sequence) != self.sequence:
            return 409
        handler = getattr(self, "do_" + str(order.get("operation")), None)
        if handler is None:
            return 400
        status = handler(order, step)
        self.sequence += status == 202
        return status

    def do_prepare(self, order, _):
        new = order["map"]
        version = order["version"]
        if self.prepared and self.prepared[0] == version:
            return 200
        if version <= self.highest or self.armed:
            return 409
        for part, old in zip(new, self.map):
            added = [it for it in part[self.index] if it not in old[self.index]]
            if len(added) > SPARE or any(len(rank) > PLACEMENTS for rank in part):
                return 409
            if {it for rank in part for it in rank} != set(range(EXPERTS)):
                return 409
        self.highest = version
        self.prepared = (version, new, time.monotonic() + COPY_S)
        return 202

    def do_arm(self, order, step):
        armed = (order["version"], order["step"])
        if self.armed == armed:
            return 200
        if self.armed or not self.loaded() or self.prepared[0] != armed[0] or armed[1] <= step:
            return 409
        self.armed = armed
        return 202

    def do_disarm(self, order, _):
        if self.version == order["version"]:
            return 409
        if self.armed is None or self.armed[0] != order["version"]:
            return 200
        self.armed = None
        return 202

    def do_hold(self, order, step):
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= step:
            return 409
        self.held = order["step"]
        return 202

    def do_go(self, order, _):
        if self.held is None:
            return 200
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202


class Group:
    """All ranks of one group. `on_order(rank, order, status)` is called after each order; before
    it, `answers(rank, order)` may return the seconds by which an order is carried out late and gets
    no answer."""

    def __init__(self, size, record):
        self.record = record
        self.ranks = [Rank(index, size) for index in range(size)]
        self.epoch, self.step = 1, 0
        self.born = int(time.time() * 1000)
        self.mixed, self.switches = [], 0
        self.on_order = lambda rank, order, status: None
        self.late_by = lambda rank, order: None
        self.demand = [40] * EXPERTS

    def raise_demand(self):
        """Makes the two experts popular that load one rank most, so that another map is better."""
        one = self.ranks[0]
        holders = {expert: [rank for rank in range(one.size) if expert in one.map[0][rank]]
                   for expert in range(EXPERTS)}
        pairs = [(a, b) for a in range(EXPERTS) for b in range(a)
                 if set(holders[a]) & set(holders[b])]
        alone = [(a, b) for a, b in pairs if len(holders[a]) == len(holders[b]) == 1]
        chosen = (alone or pairs or [(0, 1)])[self.switches % max(1, len(alone or pairs))]
        self.demand = [400 if expert in chosen else 40 for expert in range(EXPERTS)]

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            self.begin_pass()

    def begin_pass(self):
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        self.step = step
        before = self.ranks[0].version
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == step:
                rank.version, rank.map = rank.prepared[0], rank.prepared[1]
                rank.prepared = rank.armed = None
            for index in range(len(rank.counts)):
                rank.counts[index] += self.demand[index % EXPERTS]
        first = self.ranks[0]
        versions = [rank.version for rank in self.ranks]
        if any(rank.version != first.version or rank.map != first.map for rank in self.ranks):
            if not self.mixed:
                self.record(f"PASS {step} BEGINS WITH DIFFERENT MAPS: versions {versions}")
            self.mixed.append(step)
        elif first.version != before:
            self.switches += 1
            self.record(f"pass {step} begins with map {first.version} on all ranks")

    async def listen(self, index, ip, port):
        async def serve(reader, writer):
            try:
                while (head := await read_head(reader)) is not None:
                    body = await read_request_body(reader, head)
                    answer = await self.answer(self.ranks[index], head, body)
                    if answer is None:
                        await asyncio.sleep(30)
                        break
                    status, fields = answer
                    data = json.dumps(fields).encode()
                    writer.write(message(status, {"Content-Type": "application/json"}, data))
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
        await asyncio.start_server(serve, ip, port)

    async def answer(self, rank, head, body):
        url = urlsplit(head.start[1])
        if url.path == "/health":
            return 200, {}
        if url.path == "/jujubejunction/report":
            return 200, self.report(rank)
        if url.path == "/jujubejunction/picked":
            fields = {"step": self.step, "epoch": self.epoch, "born": self.born}
            if "lists" in url.query:
                held = [part[rank.index] for part in rank.map]
                return 200, {**fields, "map": {"version": rank.version, "experts": held},
                             "prepared": None}
            return 200, {**fields, "counts": rank.counts}
        if url.path == "/jujubejunction/order":
            order = json.loads(body)
            late = self.late_by(rank, order)
            if late is None:
                return self.carry_out(rank, order), {"born": self.born}
            self.record(f"rank {rank.index} gives no answer to {describe(order)}, "
                        f"carries it out {late} s later")
            asyncio.get_running_loop().call_later(late, self.carry_out, rank, order)
            return None
        return 404, {}

    def carry_out(self, rank, order):
        status = rank.order(order, self.epoch, self.step)
        self.record(f"rank {rank.index} answers {status} to {describe(order)}")
        self.on_order(rank, order, status)
        return status

    def report(self, rank):
        armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "group": {"name": "g", "epoch": self.epoch, "rank": rank.index, "state": "open"},
            "size": rank.size, "sequence": rank.sequence, "waiting": 0, "runningCount": 4,
            "born": self.born, "pace": 1.0, "step": self.step, "map": rank.version,
            "prepared": rank.prepared[0] if rank.loaded() else None, "armed": armed,
            "held": rank.held, "busy": False, "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "kvUsed": 41000, "kvTotal": 494000, "handles": 0,
        }


def describe(order):
    fields = {key: order.get(key) for key in ("version", "step") if order.get(key) is not None}
    guard = f"token {order.get('fencingToken')}, expected {order.get('expectedRev')}"
    return f"{order.get('operation')} {fields} ({guard})"
