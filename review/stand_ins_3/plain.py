"""A deployment of application servers: manifests, and requesters that send at a steady rate."""

import threading
import time

from rig import HOST, KEY, TENANT, AppServer, Channel, now

TOOLS = "wuno96b"
DESK = "kivo20c"
UNSAFE = "/puxa403/"
SAFE = "/cufi504/"


def route(prefix, kind, service, attempts, timeout_ms=1500, **more):
    made = {
        "name": "r-" + prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 100,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky_sessions": False,
        "resumable": False,
    }
    made.update(more)
    return made


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


def manifest(routes, names, version=7, keys=(KEY,)):
    return {
        "version": version,
        "routes": routes,
        "services": [service(name) for name in names],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }


def add_servers(rig, name, count, letter, **more):
    made = [AppServer(rig, "i-%s%d" % (letter, n), name, "hall-press", **more) for n in range(count)]
    rig.servers.extend(made)
    return made


class Load:
    """Requesters that each send one request after the other, with a pause between two."""

    def __init__(self, rig):
        self.rig = rig
        self.ending = threading.Event()
        self.lock = threading.Lock()
        self.sent = {}
        self.answers = {}

    def start(self, count, method, prefix, body=b"", pause_s=0.05, deadline_ms=1500, on_answer=None):
        for number in range(count):
            arguments = (number, method, prefix, body, pause_s, deadline_ms, on_answer)
            threading.Thread(target=self.run, args=arguments, daemon=True).start()

    def run(self, number, method, prefix, body, pause_s, deadline_ms, on_answer):
        gateway = self.rig.gateways[number % self.rig.count]
        channel = Channel(self.rig, gateway)
        time.sleep(pause_s * (number % 7) / 7)
        while not self.ending.is_set():
            attempt, sent, answer = channel.call(method, prefix + "2f", body, deadline_ms)
            with self.lock:
                self.sent[attempt] = (sent, prefix, gateway.name)
                self.answers[attempt] = (now(), answer)
            if on_answer:
                on_answer(gateway, attempt, sent, answer)
            time.sleep(pause_s)

    def counts(self):
        with self.lock:
            found = {}
            for _, answer in self.answers.values():
                found[answer[0]] = found.get(answer[0], 0) + 1
        return dict(sorted(found.items()))
