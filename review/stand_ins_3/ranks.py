"""A group of model servers: ranks that make each pass together and take orders, as PROTOCOL.md has them."""

import json
import threading
import time

from rig import BEAT_S, Server, head, now, send_json, stamp

SETS, EXPERTS, PLACES, SPARE = 4, 64, 5, 2
COPY_S = 0.04
REPORT_LAG_S = 0.2


def map_zero(ranks):
    """Experts of each rank by set: map 0 assigns them in turn."""
    placed = [[expert for expert in range(EXPERTS) if expert % ranks == rank] for rank in range(ranks)]
    return [[list(held) for held in placed] for _ in range(SETS)]


class Rank:
    def __init__(self, group, rank, zone):
        self.group = group
        self.rank = rank
        self.rig = group.rig
        self.id = "i-%s%02d" % (group.name, rank)
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []
        self.highest = 0
        self.maps = {0: map_zero(group.size)}
        self.mapping = 0
        self.prepared = None
        self.copying = None
        self.armed = None
        self.held = None
        self.old_reports = []
        self.server = Server(self.handle, self.rig.server_ip())
        self.address = self.server.address
        self.running = True
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {
            "service": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
            "born": self.born,
            "group": {"name": self.group.name, "epoch": self.group.epoch, "rank": self.rank, "state": "open"},
            "size": self.group.size,
        }

    def beat(self):
        while self.running:
            self.sequence_beat = getattr(self, "sequence_beat", 0) + 1
            self.rig.store.put("servers", self.id, self.entry())
            time.sleep(BEAT_S)

    # The group's lock is held in the methods below, up to `handle`.

    def settle(self):
        if self.copying and now() >= self.copying[1]:
            self.prepared, self.copying = self.copying[0], None

    def report(self):
        self.settle()
        value = {
            "group": {"name": self.group.name, "epoch": self.group.epoch, "rank": self.rank, "state": "open"},
            "size": self.group.size,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None,
            "sequence": self.sequence,
            "waiting": 0,
            "running": len(self.streams),
            "kv_used": 0,
            "kv_total": 372000,
            "handles": 0,
            "pace": 1.0,
            "step": self.group.step,
            "mapping": self.mapping,
            "prepared": self.prepared,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
            "held": self.held,
            "born": self.born,
        }
        self.old_reports.append((now(), value))
        while len(self.old_reports) > 1 and self.old_reports[1][0] <= now() - REPORT_LAG_S:
            self.old_reports.pop(0)
        return value

    def order(self, order):
        """Carries an order out and returns its status."""
        self.settle()
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        what, version, step = order.get("operation"), order.get("version"), order.get("step")
        if what == "prepare":
            if version in (self.prepared, self.mapping):
                return 200 if order["mapping"] == self.maps.get(version) else 409
            if self.copying and self.copying[0] == version:
                return 202
            if version <= self.highest or self.armed:
                return 409
            new = order["mapping"]
            old = self.maps[self.mapping]
            moved = [[e for e in new[s][self.rank] if e not in old[s][self.rank]] for s in range(SETS)]
            if any(len(one) > SPARE for one in moved) or any(len(new[s][self.rank]) > PLACES for s in range(SETS)):
                return 409
            self.maps[version] = new
            self.highest = version
            self.prepared = None
            copies = sum(len(one) for one in moved)
            self.sequence += 1
            if copies == 0:
                self.prepared, self.copying = version, None
                return 200
            self.copying = (version, now() + copies * COPY_S)
            return 202
        if what == "arm":
            if self.armed == (version, step) or (self.mapping == version and self.group.step >= step):
                return 200
            if self.prepared != version or self.group.step >= step:
                return 409
            self.armed = (version, step)
            self.sequence += 1
            return 200
        if what == "disarm":
            if self.mapping == version:
                return 409
            if self.armed and self.armed[0] == version:
                self.armed = None
            return 200
        if what == "retention":
            if self.held == step:
                return 200
            if self.group.step >= step or self.held is not None:
                return 409
            self.held = step
            return 200
        if what == "go":
            if self.held == step:
                self.held = None
                self.group.changed.notify_all()
            return 200
        return 400

    def handle(self, request, connection):
        if request.path == "/v1/report":
            with self.group.changed:
                self.report()
                value = self.old_reports[0][1]
            return send_json(connection, 200, value)
        if request.path == "/v1/picked":
            with self.group.changed:
                value = {"step": self.group.step, "epoch": self.group.epoch, "counts": list(self.counts)}
                if "lists" in request.query:
                    held = [one[self.rank] for one in self.maps[self.mapping]]
                    value = {"epoch": self.group.epoch, "mapping": {"version": self.mapping, "experts": held}}
            return send_json(connection, 200, value)
        if request.path == "/v1/order":
            order = json.loads(request.body)
            with self.group.changed:
                status = self.order(order)
            brief = {k: order.get(k) for k in ("operation", "version", "step", "epoch") if k in order}
            self.rig.record.write("order rank=%d %s status=%d" % (self.rank, json.dumps(brief), status))
            return send_json(connection, status, {})
        if request.path == "/health":
            connection.sendall(head(200, [("Instance-Id", self.id), ("Content-Length", 0)]))
            return True
        expected = request.get("expect-instance")
        if expected is not None and expected != self.id:
            self.rig.record.write("misdirected at rank=%d expected=%s" % (self.rank, expected))
            connection.sendall(head(421, [("Instance-Id", self.id), ("Content-Length", 0)]))
            return True
        return self.stream(request, connection)

    def stream(self, request, connection):
        attempt = request.get("attempt-id", "")
        first = int(request.get("last-event-id", "0")) + 1
        total = int(request.get("length-hint", "28"))
        self.rig.record.write("run attempt=%s server=%s" % (attempt, self.id))
        fields = [
            ("Attempt-Id", attempt),
            ("Server-Stamp", stamp(self.id)),
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        token = threading.Semaphore(0)
        with self.group.changed:
            self.streams.append(token)
            self.group.changed.notify_all()
        try:
            started = False
            for event in range(first, total + 1):
                if not token.acquire(timeout=20):
                    return False
                text = b"id: %d\ndata: piece %d\n\n" % (event, event)
                data = b"%x\r\n%s\r\n" % (len(text), text)
                if not started:
                    data = head(200, fields) + data
                    started = True
                connection.sendall(data)
            connection.sendall(b"0\r\n\r\n")
            return True
        finally:
            with self.group.changed:
                self.streams.remove(token)


class Group:
    """Ranks that execute each pass together. `mixed` lists the passes that began on different maps."""

    def __init__(self, rig, name, service, size=16, slots=12, pass_s=0.07, hot=None):
        self.rig = rig
        self.name = name
        self.service = service
        self.size = size
        self.slots = slots
        self.pass_s = pass_s
        self.epoch = 1
        self.step = 0
        self.mixed = []
        self.switches = 0
        # Experts that all tokens choose, in each set: all of them at one rank of map 0.
        self.hot = hot or [0, size, 2 * size, 3 * size]
        self.changed = threading.Condition()
        self.ranks = []
        for rank in range(size):
            self.ranks.append(Rank(self, rank, "hall-press"))
        rig.servers.extend(self.ranks)
        threading.Thread(target=self.run, daemon=True).start()

    def shift(self, rank):
        """Other experts are in demand: those that map 0 assigns to `rank`."""
        with self.changed:
            self.hot = [rank + number * self.size for number in range(EXPERTS // self.size)]

    def run(self):
        while True:
            with self.changed:
                while not any(rank.streams for rank in self.ranks):
                    self.changed.wait(1)
                upcoming = self.step + 1
                while any(rank.held == upcoming for rank in self.ranks):
                    self.changed.wait(1)
                self.step = upcoming
                before = {rank.mapping for rank in self.ranks}
                for rank in self.ranks:
                    if rank.armed and rank.armed[1] <= upcoming:
                        rank.mapping = rank.armed[0]
                        rank.armed = rank.prepared = None
                in_use = [(rank.mapping, rank.maps[rank.mapping]) for rank in self.ranks]
                if any(one != in_use[0] for one in in_use):
                    versions = [one[0] for one in in_use]
                    self.mixed.append((upcoming, versions))
                    if len(self.mixed) <= 5:
                        self.rig.record.write("MIXED pass=%d versions=%s" % (upcoming, versions))
                elif {rank.mapping for rank in self.ranks} != before:
                    self.switches += 1
                    self.rig.record.write("switch pass=%d version=%d" % (upcoming, in_use[0][0]))
                for rank in self.ranks:
                    for _ in rank.streams:
                        for layer in range(SETS):
                            for expert in range(EXPERTS):
                                rank.counts[layer * EXPERTS + expert] += 1
                            for expert in self.hot:
                                rank.counts[layer * EXPERTS + expert] += 100
                    for token in rank.streams:
                        token.release()
            time.sleep(self.pass_s)


def engine():
    """The engine of the manifest, with the figures of the small sites."""
    return {
        "slots": 12,
        "kv_capacity_tokens": 372000,
        "kv_token_bytes": 96256,
        "link_mbps": 180000.0,
        "stride": 5,
        "models": [{"name": "m"}],
        "step_ms": 5.85,
        "per_seq_ms": 0.355,
        "context_per_k": 0.036,
        "read_per_s": 61200.0,
        "pairs_per_m": 0.325,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 835, "answer": 139},
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACES,
        "spare": SPARE,
        "expert_mb": 880.0,
        "expert_fraction": 0.85,
        "form_ms": 600.0,
    }
