"""Clients leave in the middle of long requests: their customer's ceiling has to hold all the same."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import TROUBLE, Client, classes, plan, request_bytes, run_case

RATE = 4.0  # plans[].cap_rate
BURST = 20.0  # plans[].never_over_depth
SLACK = 4.0  # plans[].cap_slack: the largest request
UNITS = 4
LEAVING_CLIENTS = 10
BODY_BYTES = 200_000
WRITTEN_BYTES = 100_000  # when a client leaves
QUIET_S = 14  # more than the store needs to fill
BURST_REQUESTS = 20
EXPIRES_MS = 5000


def lowest_level(runs):
    """The ceiling's store: it starts full, fills at the rate, and each request takes its units as it arrives whole."""
    level = lowest = BURST
    last_ms = None
    for run in sorted(runs, key=lambda r: r.whole_at_ms):
        if last_ms is not None:
            level = min(BURST, level + RATE * (run.whole_at_ms - last_ms) / 1000)
        last_ms = run.whole_at_ms
        level -= UNITS
        lowest = min(lowest, level)
    return lowest


def play(deployment):
    record = deployment.record
    host = deployment.host("h0", lambda request: request.answer(200, b"for " + request.id.encode()))
    discovery = deployment.discovery([host])
    gateway = deployment.gateway(deployment.configuration(
        discovery,
        classes(("order", "once", 5000)),
        plans=[plan(cap_rate=RATE, never_over_depth=BURST, cap_slack=SLACK)],
        max_units=UNITS))
    gateway.await_ready()
    time.sleep(BURST / RATE + 1)  # a gateway that has just started holds its ceiling back

    for i in range(LEAVING_CLIENTS):
        client = Client(gateway.port)
        whole = request_bytes("u%d" % i, "/order/x", EXPIRES_MS, "POST", b"x" * BODY_BYTES, units=UNITS)
        if TROUBLE:
            client.send(whole[:WRITTEN_BYTES])
            time.sleep(0.2)
            record.write("the client of u%d leaves in the middle of its request" % i)
        else:
            client.send(whole)
            answer = client.receive()
            record.write("client got %s for u%d" % (answer and answer.status, i))
        client.close()
        time.sleep(0.1)
    record.say("requests that arrived whole by then: %d" % len(host.runs))
    time.sleep(QUIET_S)

    client = Client(gateway.port)
    served = 0
    for i in range(BURST_REQUESTS):
        client.send(request_bytes("o%d" % i, "/order/x", EXPIRES_MS, "POST", b"x", units=UNITS))
        answer = client.receive()
        record.write("client got %s for o%d" % (answer and answer.status, i))
        served += answer is not None and answer.status == 200
    client.close()
    lowest = lowest_level(host.runs)
    record.say("served of the burst: %d of %d, %d units each; lowest level of the store: %.1f, allowed: %.1f"
               % (served, BURST_REQUESTS, UNITS, lowest, -SLACK))
    return ["the ceiling's store went to %.1f" % lowest] if lowest < -SLACK else []


run_case(__file__, play)
