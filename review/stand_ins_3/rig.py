"""Stand-ins and helpers for the scripts of the cases 11 to 15.

Everything runs on loopback addresses and the real clock. The store, the servers and the requesters are
threads of one Python process; the gateways are processes of the project's own program, started with the
command of the deploy file and with settings rendered from its template. Only the standard library is used.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

# Bounds of the small sites (sheet of Galle, SYSTEM.md).
BOUNDS = {
    "grace_period_s": 8,
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "evacuation_ms": "",
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 92,
    "budget_window_s": 10,
    "ttl_max_s": 5,
    "cold_overshoot": "",
    "cold_slack": "",
}
CONTACT_S = 3.0
BEAT_S = 1.2
ZONES = ["hall-press", "hall-office", "hall-store"]
REGION = "thies"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played."""


def now():
    return time.monotonic()


class Record:
    """The record of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = now()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, what):
        with self.lock:
            self.file.write("%9.3f %s\n" % (now() - self.started, what))

    def close(self):
        with self.lock:
            self.file.close()


# --- a minimal HTTP server ---------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


def read_request(reader):
    line = reader.readline(65536)
    if not line:
        return None
    parts = line.decode("latin-1").split()
    if len(parts) != 3:
        return None
    headers = {}
    while True:
        line = reader.readline(65536)
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = reader.read(int(headers["content-length"]))
        if len(body) < int(headers["content-length"]):
            return None
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(reader.readline().split(b";")[0], 16)
            body += reader.read(size)
            reader.readline()
            if size == 0:
                break
    return Request(parts[0], parts[1], headers, body)


def head(status, headers):
    lines = ["HTTP/1.1 %d Played" % status] + ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Server:
    """Accepts channels and handles one request at a time on each; `handle(request, connection)` returns whether
    the channel stays open."""

    def __init__(self, handle, ip="127.0.0.1", port=0):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.closed = False
        self.channels = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        self.channels.add(connection)
        try:
            while True:
                request = read_request(reader)
                if request is None or not self.handle(request, connection):
                    return
        except (OSError, ValueError):
            return
        finally:
            self.channels.discard(connection)
            try:
                reader.close()
                connection.close()
            except OSError:
                pass

    def exit(self):
        """Ends as a process does: nothing listens any more, and the open channels are closed."""
        self.close()
        for connection in list(self.channels):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()


def send_json(connection, status, value, headers=()):
    body = json.dumps(value).encode()
    fields = [("Content-Type", "application/json"), ("Content-Length", len(body))]
    connection.sendall(head(status, fields + list(headers)) + body)
    return True


# --- the platform's store ----------------------------------------------------------------------------------


class Store:
    """Objects by kind and name, as PROTOCOL.md has them: one revision, lists, watches, conditional writes.

    `answers` may be set to False: the store then leaves calls unanswered (it is down). In a drill it comes back
    from an older copy of itself (`copy`, `restore`), and its era rises by one."""

    def __init__(self, ip="127.0.0.1"):
        self.changed = threading.Condition()
        self.objects = {}
        self.history = []
        self.oldest = 0
        self.revision = 100
        self.answers = True
        self.era = 0
        self.server = Server(self.handle, ip)
        self.address = self.server.address

    def copy(self):
        with self.changed:
            return dict(self.objects), self.revision

    def restore(self, copy):
        with self.changed:
            self.objects, self.revision = dict(copy[0]), copy[1]
            self.history = [one for one in self.history if one[0] <= self.revision]
            self.era += 1
            self.changed.notify_all()

    def reply(self, connection, status, value):
        return send_json(connection, status, value, [("Store-Era", self.era)])

    def put(self, kind, name, specification):
        """Writes an object whatever its revision; returns its revision, which is the ack."""
        with self.changed:
            return self.write(kind, name, specification)

    def write(self, kind, name, specification):
        known = self.objects.get((kind, name))
        if known and known["specification"] == specification:
            return known["metadata"]["revision"]
        self.revision += 1
        made = known["metadata"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": made, "finalizers": [], "deleting": False}
        stored = {"metadata": meta, "specification": specification, "status": None}
        self.objects[(kind, name)] = stored
        self.history.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return self.revision

    def delete(self, kind, name):
        with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is None:
                return None
            self.revision += 1
            meta = dict(known["metadata"], revision=self.revision)
            self.history.append((self.revision, kind, dict(known, metadata=meta), True))
            self.changed.notify_all()
            return self.revision

    def handle(self, request, connection):
        if not self.answers:
            time.sleep(30)
            return False
        parts = [part for part in request.path.split("/") if part]
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return self.reply(connection, 404, {})
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if request.method == "GET" and name is None and "watch" in request.query:
            return self.watch(kind, request, connection)
        with self.changed:
            reply = self.call(request, kind, name)
        return self.reply(connection, *reply)

    def call(self, request, kind, name):
        known = self.objects.get((kind, name))
        if request.method == "GET" and name is None:
            after = request.query.get("after", "")
            of_kind = sorted(key for key in self.objects if key[0] == kind and key[1] > after)
            items = [self.objects[key] for key in of_kind[:500]]
            return 200, {"items": items, "has_more": len(of_kind) > 500, "at": self.revision}
        if request.method == "GET":
            return (200, known) if known else (404, {})
        value = json.loads(request.body) if request.body else {}
        wanted = value.get("metadata", {}).get("revision") or request.query.get("revision")
        if request.method == "POST":
            name = value["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known:
                return 409, known
            self.write(kind, name, value.get("specification"))
            return 200, self.objects[(kind, name)]
        if known is None:
            return 404, {}
        if wanted and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "PUT":
            self.write(kind, name, value.get("specification"))
            return 200, self.objects[(kind, name)]
        if request.method == "DELETE":
            del self.objects[(kind, name)]
            self.revision += 1
            self.history.append((self.revision, kind, known, True))
            self.changed.notify_all()
            return 200, {}
        return 400, {}

    def watch(self, kind, request, connection):
        after = int(request.query["watch"])
        until = now() + min(int(request.query.get("wait_ms", 0)), 30000) / 1000.0
        with self.changed:
            while True:
                # A revision that the store does not have, after a drill.
                if after < self.oldest or after > self.revision:
                    reply = 410, {}
                    break
                fresh = [one for one in self.history if one[0] > after and one[1] == kind]
                left = until - now()
                if fresh or left <= 0:
                    events = [{"object": one[2], "deleted": one[3]} for one in fresh]
                    reply = 200, {"events": events, "at": self.revision}
                    break
                self.changed.wait(left)
        if not self.answers:
            time.sleep(30)
            return False
        return self.reply(connection, *reply)


# --- application servers ------------------------------------------------------------------------------------


def stamp(identity):
    return "3e1b.07.5a2.600.0." + identity


class AppServer:
    """A server of a service: registers itself, and runs one request at a time on a channel.

    `on_run(server, request)` is told of each request that it begins to run."""

    def __init__(self, rig, identity, service, zone, slots=6, work_ms=15):
        self.rig = rig
        self.id = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_ms / 1000.0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.listed = True
        self.leaving = False
        self.cold_until = 0.0
        self.sequence = 0
        self.on_run = None
        self.server = Server(self.handle, rig.server_ip())
        self.address = self.server.address
        self.running = True
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def cold_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    def register(self):
        if not self.rig.store.answers:
            return None
        self.sequence += 1
        return self.rig.store.put("servers", self.id, self.entry())

    def beat(self):
        while self.running:
            if self.listed:
                self.register()
            time.sleep(BEAT_S)

    def handle(self, request, connection):
        attempt = request.get("attempt-id")
        fields = [("Attempt-Id", attempt or ""), ("Server-Load", "0,0,%d" % self.slots)]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        if request.path == "/health":
            status = 503 if self.state != "ready" else 200
            fields = [("Instance-Id", self.id), ("Cold-Ms", self.cold_ms()), ("Content-Length", 0)]
            connection.sendall(head(status, fields))
            return True
        expected = request.get("expect-instance")
        if expected is not None and expected != self.id:
            connection.sendall(head(421, [("Instance-Id", self.id), ("Content-Length", 0)]))
            return True
        self.rig.record.write("run attempt=%s server=%s service=%s" % (attempt, self.id, self.service))
        if self.on_run:
            self.on_run(self, request)
        time.sleep(self.work_s)
        body = ("done %s by %s" % (attempt, self.id)).encode()
        fields += [("Server-Stamp", stamp(self.id)), ("Content-Length", len(body))]
        connection.sendall(head(200, fields) + body)
        return True


# --- gateways -----------------------------------------------------------------------------------------------


def deploy_command():
    text = open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8").read()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    return run, open(os.path.join(ROOT, template), encoding="utf-8").read()


def render(template, fields):
    def section(match):
        key, inner = match.group(1), match.group(2)
        items = [inner.replace("{{@}}", str(k)).replace("{{.}}", str(v)) for k, v in fields[key].items()]
        return ",".join(item.replace("{{,}}", "") for item in items)

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Gateway:
    """One process of the program of the deploy file."""

    def __init__(self, rig, index):
        self.rig = rig
        self.index = index
        self.ip = rig.gateway_ip(index)
        self.name = "edge-%d" % index
        self.life = 0
        self.process = None
        self.exits = 0

    def port(self, offset):
        return self.rig.ports + offset

    @property
    def callers(self):
        return (self.ip, self.port(0))

    def start(self):
        command, template = deploy_command()
        seeds = ["%s:%d" % (self.rig.gateway_ip(i), self.port(3)) for i in range(self.rig.count)][:3]
        fields = {
            "node_name": self.name,
            "zone": ZONES[self.index % len(ZONES)] if self.rig.zones > 1 else ZONES[0],
            "region": REGION,
            "zones": {zone: REGION for zone in ZONES},
            "ip": self.ip,
            "listen_addresses": {
                "frontend": "%s:%d" % (self.ip, self.port(0)),
                "ready": "%s:%d" % (self.ip, self.port(1)),
                "directory_service": "%s:%d" % (self.ip, self.port(2)),
            },
            "internal_port_range": [self.port(4), self.port(9)],
            "seed_nodes": seeds,
            "platform": {"address": self.rig.store_address(self)},
            "limits": dict(memory_mb=260, file_descriptors=4100, link_mbps=1000.0, cpu_fraction=0.25),
            "bounds": dict(BOUNDS, **self.rig.bounds),
        }
        text = render(template, fields).replace("%s:9464" % self.ip, "%s:%d" % (self.ip, self.port(10)))
        path = os.path.join(self.rig.folder, "%s.ini" % self.name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.life += 1
        log = open(os.path.join(self.rig.folder, "%s.%d.log" % (self.name, self.life)), "wb")
        program = [os.path.join(ROOT, command[0]), path]
        if not os.path.exists(program[0]):
            raise CannotRun("the program of the deploy file is not built")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(program, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.rig.record.write("start gateway=%s life=%d" % (self.name, self.life))

    def log_text(self):
        path = os.path.join(self.rig.folder, "%s.%d.log" % (self.name, self.life))
        return open(path, encoding="utf-8", errors="replace").read()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.port(1), timeout=1)
            connection.request("GET", "/v1/readiness")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, number):
        self.rig.record.write("signal gateway=%s number=%d" % (self.name, number))
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Rig:
    """A small deployment: a store, gateways, and whatever servers a case adds."""

    def __init__(self, case, gateways=3, zones=1, **bounds):
        self.case = case
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="bw-review-")
        self.count = gateways
        self.zones = zones
        self.bounds = bounds
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        base = os.getpid()
        self.net = (1 + (base >> 8) % 200, base & 255)
        self.ports = free_ports(self.gateway_ip(0))
        self.store = Store(self.server_ip())
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        self.servers = []
        self.record.write("trouble=%d" % self.trouble)

    def gateway_ip(self, index):
        return "127.%d.%d.%d" % (self.net[0], self.net[1], 10 + index)

    def server_ip(self):
        return "127.%d.%d.5" % self.net

    def store_address(self, gateway):
        return self.store.address

    def configure(self, manifest):
        self.record.write("manifest version=%d" % manifest["version"])
        return self.store.put("config", "main", manifest)

    def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        until = now() + 20
        while not all(gateway.is_ready() for gateway in self.gateways):
            if now() > until:
                raise CannotRun("the gateways did not become ready")
            time.sleep(0.1)
        self.record.write("ready gateways=%d" % self.count)

    def finish(self):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.running = False
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(ip):
    """Returns the first of twelve ports that are free on an address."""
    for _ in range(50):
        first = random.randrange(20000, 30000)
        try:
            for offset in range(12):
                probe = socket.socket()
                probe.bind((ip, first + offset))
                probe.close()
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


# --- requesters ---------------------------------------------------------------------------------------------

_numbers = iter(range(1, 10**9))
_numbers_lock = threading.Lock()


def new_attempt(prefix="a"):
    with _numbers_lock:
        return "%s%07d" % (prefix, next(_numbers))


class Channel:
    """A requester's channel to one gateway, opened again when it has closed."""

    def __init__(self, rig, gateway):
        self.rig = rig
        self.gateway = gateway
        self.connection = None

    def call(self, method, path, body=b"", deadline_ms=1500, headers=(), attempt=None, key=KEY):
        attempt = attempt or new_attempt()
        fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        if key:
            fields["X-Api-Key"] = key
        fields.update(headers)
        sent = now()
        self.rig.record.write("send attempt=%s gateway=%s %s %s" % (attempt, self.gateway.name, method, path))
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(*self.gateway.callers, timeout=deadline_ms / 1000.0 + 1)
            self.connection.request(method, path, body or None, fields)
            response = self.connection.getresponse()
            data = response.read()
            answer = (response.status, data, dict((k.lower(), v) for k, v in response.getheaders()))
        except (OSError, http.client.HTTPException) as error:
            self.close()
            answer = (0, repr(error).encode(), {})
        self.rig.record.write(
            "answer attempt=%s status=%d took_ms=%.0f%s"
            % (attempt, answer[0], (now() - sent) * 1000, "" if answer[0] else " error=" + answer[1].decode())
        )
        return attempt, sent, answer

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def run_case(case, play):
    """Plays a case: `play(rig_factory)` returns the violations. Exits as the issue asks."""
    rigs = []

    def give_up(number, _):
        raise CannotRun("ended by signal %d" % number)

    # Whatever ends the script, the processes that it started are ended; and it takes two minutes at most.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(110)

    def factory(*args, **kwargs):
        rig = Rig(case, *args, **kwargs)
        rigs.append(rig)
        return rig

    code = 2
    try:
        broken = play(factory)
        code = 1 if broken else 0
        for line in broken[:20]:
            print("broken: " + line)
            if rigs:
                rigs[-1].record.write("BROKEN " + line)
        print("rule broken" if broken else "rule held")
    except CannotRun as error:
        print("could not run: %s" % error)
    except Exception as error:  # a fault of the script itself
        print("could not run: %r" % error)
        import traceback

        traceback.print_exc()
    finally:
        for rig in rigs:
            rig.finish()
            rig.record.write("exit=%d" % code)
            rig.record.close()
    sys.stdout.flush()
    os._exit(code)
