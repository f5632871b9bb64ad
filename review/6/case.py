"""A host's second copy of an answer comes 12 ms behind the first: nobody may get it as the answer to another request."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import TROUBLE, Client, classes, request_bytes, run_case

SEED = 7
CLIENTS = 8
REQUESTS = 700  # of each client
THINK_S = 0.03  # at most, between two requests of a client
LATE_S = 0.012  # the second copy behind the answer
SPOILT_SHARE = 0.1  # of the answers
FULL_SHARE = 0.3  # of the requests are turned away unseen: 503 with X-Never-Ran
EXPIRES_MS = 5000


def whole_answer(request, full):
    body = b"" if full else b"for " + request.id.encode()
    status = b"503 Full\r\nX-Never-Ran: 1" if full else b"200 OK"
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def play(deployment):
    rnd = random.Random(SEED)
    record = deployment.record
    ran = {}  # id -> hosts that ran it
    lock = threading.Lock()

    def second_copy(request, answer):
        try:
            request.sock.sendall(answer)
            record.write("host %s sends a second copy of its answer to %s" % (request.host.id, request.id))
        except OSError:
            pass  # the gateway has closed the connection

    def handle(request):
        full = rnd.random() < FULL_SHARE
        if not full:
            with lock:
                ran.setdefault(request.id, []).append(request.host.id)
        answer = whole_answer(request, full)
        record.write("host %s answers %s with %s" % (request.host.id, request.id, "503" if full else "200"))
        request.sock.sendall(answer)
        if TROUBLE and rnd.random() < SPOILT_SHARE:
            threading.Timer(LATE_S, second_copy, (request, answer)).start()

    hosts = [deployment.host("h%d" % i, handle) for i in range(3)]
    discovery = deployment.discovery(hosts)
    gateway = deployment.gateway(deployment.configuration(discovery, classes(("order", "once", 5000))))
    gateway.await_ready()
    broken = []

    def client(number):
        connection = Client(gateway.port)
        for i in range(REQUESTS):
            ident = "r%d-%d" % (number, i)
            connection.send(request_bytes(ident, "/order/x", EXPIRES_MS, "POST", b"x"))
            answer = connection.receive()
            if answer is None:
                record.write("client %d got no answer to %s" % (number, ident))
                connection.close()
                connection = Client(gateway.port)
                continue
            record.write("client %d got %d %r for %s" % (number, answer.status, answer.body, ident))
            if answer.status == 200 and answer.body != b"for " + ident.encode():
                broken.append("the client of %s was served %r" % (ident, answer.body))
            time.sleep(rnd.uniform(0, THINK_S))
        connection.close()

    threads = [threading.Thread(target=client, args=(k,), daemon=True) for k in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for ident, where in ran.items():
        if len(where) > 1:
            broken.append("%s, which must never run twice, ran at %s" % (ident, ", ".join(where)))
    return broken


run_case(__file__, play)
