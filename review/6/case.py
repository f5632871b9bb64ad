"""A gateway is held up for 0.14 s a few times while it waits for a peer that is down: afterwards it has to serve on."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import LOOPBACK, TROUBLE, Client, classes, free_port, now_ms, plan, request_bytes, run_case

BURSTS = 4
BURST_REQUESTS = 60  # each of another customer
HELD_UP_S = 0.14
QUICK_MS = 250  # the time of the requests in the bursts
VIEW_MS = 2000  # and of those afterwards
REST_S = 1.5  # behind each burst
AFTERWARDS_S = 6.0
REJECTS_ALL_S = 4.0  # STANDING: no gateway may reject all that it gets for so long
REJECTED_MIN = 15
MASK = (1 << 64) - 1


def mix(value):
    value &= MASK
    mixed = ((value ^ (value >> 32)) * 0x9E3779B97F4A7C15) & MASK
    mixed = (((mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9) & MASK) ^ (mixed >> 32)
    return mixed - (1 << 64) if mixed >> 63 else mixed


def keeper(customer):
    """The first of the two gateways that keep the customer's quota, as the gateways reckon it (RendezvousHash)."""
    return min((0, 1), key=lambda gateway: mix(customer * 31 + mix(gateway)))


def play(deployment):
    record = deployment.record
    hosts = [deployment.host("h%d" % i, lambda request: request.answer(200, b"for " + request.id.encode()))
             for i in range(2)]
    discovery = deployment.discovery(hosts)
    peers = ["%s:%d" % (LOOPBACK, free_port()) for _ in range(2)]
    request_classes = classes(("quick", "repeatable", QUICK_MS), ("view", "repeatable", VIEW_MS))
    gateways = [
        deployment.gateway(deployment.configuration(
            discovery, request_classes, plans=[plan(units_per_s=50, depth=100)], ordinal=i, balancers=2, peers=peers,
            name="n%d" % i))
        for i in range(2)
    ]
    for gateway in gateways:
        gateway.await_ready()
    time.sleep(1)
    first = gateways[0]
    of_peer = iter([c for c in range(1, 5000) if keeper(c) == 1])
    of_first = iter([c for c in range(5000, 9000) if keeper(c) == 0])

    def ask(client, ident, path, expires_ms, customer):
        begun = now_ms()
        client.send(request_bytes(ident, path, expires_ms, customer=customer, spread=2))
        answer = client.receive()
        record.write("client got %s for %s after %d ms" % (answer and answer.status, ident, now_ms() - begun))
        return answer and answer.status

    gateways[1].process.kill()
    gateways[1].process.wait()
    record.write("gateway n1 was killed outright; it stays down")

    for burst in range(BURSTS):
        clients = [Client(first.port) for _ in range(BURST_REQUESTS)]
        time.sleep(0.3)
        statuses = []
        threads = [
            threading.Thread(target=lambda c=client, i="b%d-%d" % (burst, k), n=next(of_peer): statuses.append(
                ask(c, i, "/quick/x", QUICK_MS, n)), daemon=True)
            for k, client in enumerate(clients)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.02)
        if TROUBLE:
            first.signal(signal.SIGSTOP)
            time.sleep(HELD_UP_S)
            first.signal(signal.SIGCONT)
            record.write("gateway n0 was held up for %.2f s" % HELD_UP_S)
        for thread in threads:
            thread.join()
        for client in clients:
            client.close()
        record.say("burst %d: %s" % (burst, {s: statuses.count(s) for s in sorted(set(statuses), key=str)}))
        time.sleep(REST_S)

    statuses = []
    runs_before = sum(len(host.runs) for host in hosts)
    begun = time.monotonic()

    def ask_afterwards(k):
        client = Client(first.port)
        statuses.append(ask(client, "a%d" % k, "/view/x", VIEW_MS, next(of_first)))
        client.close()

    threads = []
    while time.monotonic() - begun < AFTERWARDS_S:
        thread = threading.Thread(target=ask_afterwards, args=(len(threads),), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    rejected = sum(status in (429, 503) for status in statuses)
    attempts = sum(len(host.runs) for host in hosts) - runs_before
    record.say("afterwards, nothing being wrong any more: %d requests in %.0f s, %d rejected, %d attempts at hosts"
               % (len(statuses), AFTERWARDS_S, rejected, attempts))
    rejects_all = AFTERWARDS_S > REJECTS_ALL_S and rejected >= REJECTED_MIN and rejected == len(statuses)
    return ["n0 rejects all that it gets, with no attempt"] if rejects_all and attempts == 0 else []


run_case(__file__, play)
