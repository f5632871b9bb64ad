"""A slow host pauses for 0.4 s inside a long answer: what it still gives must not be cut off."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import TROUBLE, Client, classes, now_ms, request_bytes, run_case

ANSWER_BYTES = 200_000
FIRST_PIECE_BYTES = 1_000
PAUSE_S = 0.4
REQUESTS = 60
HOSTS = 8  # of which one is slow
EXPIRES_MS = 5000


def play(deployment):
    record = deployment.record

    def handle(request):
        slow = TROUBLE and request.host.id == "h0"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES
        request.sock.sendall(head + b"y" * FIRST_PIECE_BYTES)
        if slow:
            time.sleep(PAUSE_S)
        try:
            request.sock.sendall(b"y" * (ANSWER_BYTES - FIRST_PIECE_BYTES))
            record.write("host %s has given all of its answer to %s" % (request.host.id, request.id))
        except OSError as e:
            record.write("host %s could not give the rest of its answer to %s: %s" % (request.host.id, request.id, e))
            raise

    hosts = [deployment.host("h%d" % i, handle) for i in range(HOSTS)]
    discovery = deployment.discovery(hosts)
    gateway = deployment.gateway(deployment.configuration(discovery, classes(("order", "once", 5000))))
    gateway.await_ready()
    broken = []

    def ask(ident):
        client = Client(gateway.port)
        begun = now_ms()
        client.send(request_bytes(ident, "/order/x", EXPIRES_MS, "POST", b"x"))
        answer = client.receive()
        took_ms = now_ms() - begun
        record.write("client got %s and %d bytes for %s after %d ms"
                     % (answer and answer.status, len(answer.body) if answer else 0, ident, took_ms))
        ran = any(run.id == ident for host in hosts for run in host.runs)
        if ran and (answer is None or answer.status != 200 or len(answer.body) != ANSWER_BYTES):
            broken.append("a host ran %s and gave its answer; its client got %s after %d ms"
                          % (ident, answer and answer.status, took_ms))
        client.close()

    threads = []
    for i in range(REQUESTS):
        thread = threading.Thread(target=ask, args=("r%d" % i,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    return broken


run_case(__file__, play)
