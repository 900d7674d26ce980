"""A server drains and leaves; meanwhile another writer writes its entry as it was before, with fields missing."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "stand_ins_3"))

from plain import TOOLS, UNSAFE, Load, add_servers, manifest, route  # noqa: E402
from rig import CannotRun, now, run_case  # noqa: E402

DRAIN_S = 2.0
DRAINS_AT_S = 5.0
# Time after the ack of `draining` at which the other writer writes, and at which the server exits.
FOREIGN_AFTER_S = 2.5
EXITS_AFTER_S = 3.2
LENGTH_S = 13.0


def play(new_rig):
    rig = new_rig(gateways=3)
    servers = add_servers(rig, TOOLS, 3, "a", work_ms=30)
    rig.configure(manifest([route(UNSAFE, "unsafe", TOOLS, 1)], [TOOLS]))
    arrivals = []
    leaver = servers[1]
    leaver.on_run = lambda server, request: arrivals.append((now(), request.get("attempt-id")))
    rig.start_gateways()
    load = Load(rig)
    load.start(24, "POST", UNSAFE, b"{}")
    started = now()
    time.sleep(DRAINS_AT_S)
    before = len(arrivals)
    leaver.state = "draining"
    leaver.register()
    ack = now()
    rig.record.write("ack: %s is draining" % leaver.id)
    time.sleep(max(0.0, ack + FOREIGN_AFTER_S - now()))
    if rig.trouble:
        # The entry as it was, but version, cold_remaining_ms, sequence and born are missing. The server's own
        # next beat, at most 1.2 s later, says again that it drains.
        kept = ("service", "address", "zone", "slots")
        entry = dict({key: leaver.entry()[key] for key in kept}, state="ready")
        rig.record.write("foreign entry of %s" % leaver.id)
        rig.store.put("servers", leaver.id, entry)
    time.sleep(max(0.0, ack + EXITS_AFTER_S - now()))
    leaver.running = leaver.listed = False
    rig.store.delete("servers", leaver.id)
    leaver.server.exit()
    rig.record.write("exit of %s" % leaver.id)
    time.sleep(max(0.0, started + LENGTH_S - now()))
    load.ending.set()
    time.sleep(0.3)
    ran = {attempt for _, attempt in arrivals}
    lost = [attempt for attempt in sorted(ran) if load.answers.get(attempt, (0, (0,)))[1][0] != 200]
    for attempt in lost:
        rig.record.write("lost attempt=%s: run by %s, answered %s" % (attempt, leaver.id, load.answers.get(attempt, "")))
    late = []
    for at, attempt in arrivals:
        sent = load.sent.get(attempt, (ack,))[0]
        if at > ack + DRAIN_S and sent > ack + DRAIN_S:
            late.append("DRAIN: attempt %s reached %s %.2f s after the ack" % (attempt, leaver.id, at - ack))
    print("before=%d answers=%s late=%d lost=%d" % (before, load.counts(), len(late), len(lost)))
    if before < 50:
        raise CannotRun("the server was hardly used before")
    return late


run_case(CASE, play)
