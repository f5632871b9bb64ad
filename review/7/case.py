"""A connection to a host comes up 1 s late under a long request: it has to be answered in its client's time."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import LOOPBACK, TROUBLE, Client, NotRun, classes, now_ms, request_bytes, run_case

EXPIRES_MS = 2000
LOST_AFTER_MS = 500  # behind the client's time
BODY_BYTES = 200_000
WORK_S = 1.8  # less than what the gateway told the host that it waits
SPACING_S = 0.3  # between two requests
OPENED_AFTER_S = 0.9  # the connection comes up with the next SYN, 1 s after the first
REQUESTS = 8
REQUESTS_MAX = 24


class FullListener:
    """A listening socket whose queue is full, so that a connection to it does not come up before ``open``."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.bind((LOOPBACK, 0))
        self.socket.listen(0)
        self._fillers = []
        full = False
        while not full:
            filler = socket.socket()
            filler.settimeout(0.3)
            self._fillers.append(filler)
            try:
                filler.connect(self.socket.getsockname())
            except TimeoutError:
                full = True

    def open(self):
        self._fillers.pop().close()
        for _ in self._fillers:
            self.socket.accept()[0].close()
        for filler in self._fillers:
            filler.close()


def play(deployment):
    record = deployment.record
    late = FullListener() if TROUBLE else None
    begun = {}  # id -> when its head came to a host
    written = {}  # id -> when its client had written its last byte
    broken = []

    def on_head(request):
        begun[request.id] = now_ms()
        left_ms = written[request.id] + EXPIRES_MS - now_ms() if request.id in written else EXPIRES_MS
        record.write("head of %s at host %s, told %d ms, left to its client %d ms"
                     % (request.id, request.host.id, request.told_ms, left_ms))

    def handle(request):
        time.sleep(WORK_S)
        request.answer(200, b"for " + request.id.encode())
        record.write("host %s has answered %s" % (request.host.id, request.id))

    hosts = [deployment.host("h%d" % i, handle, on_head=on_head) for i in range(2)]
    hosts.append(deployment.host("h2", handle, on_head=on_head, listener=late.socket if late else None))
    discovery = deployment.discovery(hosts)
    gateway = deployment.gateway(
        deployment.configuration(discovery, classes(("upload", "once", 5000)), connect_timeout_ms=5000))
    gateway.await_ready()

    def receive(client, ident):
        answer = client.receive()
        took_ms = now_ms() - written[ident]
        record.write("client got %s for %s after %d ms" % (answer and answer.status, ident, took_ms))
        if answer is None or took_ms > EXPIRES_MS + LOST_AFTER_MS:
            broken.append("%s, for which its client waits %d ms, had its answer (%s) after %d ms"
                          % (ident, EXPIRES_MS, answer and answer.status, took_ms))
        client.close()

    receivers = []
    late_connections = 0
    sent = 0
    while sent < REQUESTS or (TROUBLE and not late_connections and sent < REQUESTS_MAX):
        ident = "r%d" % sent
        sent += 1
        client = Client(gateway.port)
        client.send(request_bytes(ident, "/upload/x", EXPIRES_MS, "POST", b"x" * BODY_BYTES))
        written[ident] = now_ms()
        record.write("client has written %s whole" % ident)
        receiver = threading.Thread(target=receive, args=(client, ident), daemon=True)
        receiver.start()
        receivers.append(receiver)
        time.sleep(SPACING_S)
        if TROUBLE and not late_connections and ident not in begun:
            late_connections = 1
            record.write("the connection for %s does not come up" % ident)
            time.sleep(OPENED_AFTER_S - SPACING_S)
            late.open()
            hosts[2].accept()
    for receiver in receivers:
        receiver.join()
    if TROUBLE and not late_connections:
        raise NotRun("no request went to the host whose connection is late")
    record.say("requests %d, each on a connection of its own; late connections %d" % (sent, late_connections))
    return broken


run_case(__file__, play)
