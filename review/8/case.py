"""Clients take long answers slowly, but without a pause: each has to get its answer whole."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import TROUBLE, Client, Reader, classes, now_ms, request_bytes, run_case

CLIENTS = 120
SHORTEST_BYTES = 3_600_000
STEP_BYTES = 13_000  # from one answer's length to the next
PIECE_BYTES = 8_000  # taken each time
PAUSE_S = 0.1  # between two pieces: 80 kB a second
EXPIRES_MS = 5000


def play(deployment):
    record = deployment.record

    def handle(request):
        length = int(request.path.split("/")[2])
        request.answer(200, b"y" * length)
        record.write("host %s has given all of its answer to %s" % (request.host.id, request.id))

    hosts = [deployment.host("h%d" % i, handle) for i in range(4)]
    discovery = deployment.discovery(hosts)
    gateway = deployment.gateway(deployment.configuration(discovery, classes(("view", "repeatable", 5000))))
    gateway.await_ready()
    broken = []

    def take(number):
        ident = "r%d" % number
        length = SHORTEST_BYTES + number * STEP_BYTES
        client = Client(gateway.port)
        client.send(request_bytes(ident, "/view/%d" % length, EXPIRES_MS))
        begun = now_ms()
        reader = Reader(client.sock)
        first, headers = reader.head()
        taken = len(reader.buffer)
        took_at = now_ms()
        longest_ms = 0
        while taken < length:
            if TROUBLE:
                time.sleep(PAUSE_S)
            try:
                piece = client.sock.recv(PIECE_BYTES)
            except OSError:
                piece = b""
            if not piece:
                break
            taken += len(piece)
            longest_ms = max(longest_ms, now_ms() - took_at)
            took_at = now_ms()
        record.write("client of %s took %d of %d bytes in %d ms, longest time between two pieces %d ms (%s)"
                     % (ident, taken, length, now_ms() - begun, longest_ms, first))
        if first.split()[1] == "200" and taken < length:
            broken.append("the answer to %s ended after %d of %d bytes" % (ident, taken, length))
        client.close()

    threads = [threading.Thread(target=take, args=(k,), daemon=True) for k in range(CLIENTS)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join()
    return broken


run_case(__file__, play)
