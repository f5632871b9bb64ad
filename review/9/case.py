"""Some answers of the hosts are spoilt: they come in pieces and never end. Each request has to get an answer."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from deployment import TROUBLE, Client, classes, now_ms, request_bytes, run_case

REQUESTS = 24
SPOILT_EACH = 4  # one answer in so many is spoilt
PIECE_S = 0.15  # between the pieces of a spoilt answer
PADDING_LINES = 7
EXPIRES_MS = 3000
LOST_AFTER_MS = 500  # behind the client's time
HUNG_S = 10  # for which a host that has stopped inside its answer keeps the connection


def play(deployment):
    record = deployment.record
    lock = threading.Lock()
    asked = [0]

    def handle(request):
        with lock:
            asked[0] += 1
            spoilt = TROUBLE and asked[0] % SPOILT_EACH == 0
        if not spoilt:
            request.answer(200, b"for " + request.id.encode())
            return
        pieces = [b"HTTP/1.1 200 OK\r\n"]
        pieces += [b"X-Padding: %d\r\n" % i for i in range(PADDING_LINES)]
        pieces.append(b"Content-Length: 20\r\n\r\n")
        for piece in pieces:
            request.sock.sendall(piece)
            time.sleep(PIECE_S)
        record.write("host %s has written the head of its answer to %s and stops" % (request.host.id, request.id))
        time.sleep(HUNG_S)
        raise EOFError("the host closes")

    hosts = [deployment.host("h%d" % i, handle) for i in range(4)]
    discovery = deployment.discovery(hosts)
    gateway = deployment.gateway(
        deployment.configuration(discovery, classes(("order", "once", 5000), ("view", "repeatable", 5000))))
    gateway.await_ready()
    broken = []

    def ask(ident, data):
        client = Client(gateway.port, timeout_s=(EXPIRES_MS + LOST_AFTER_MS) / 1000)
        begun = now_ms()
        client.send(data)
        try:
            first = client.sock.recv(4096)
            end = "closed by the gateway" if not first else first.split(b"\r\n")[0].decode()
        except TimeoutError:
            first, end = b"", "nothing yet"
        except OSError as e:
            first, end = b"", str(e)
        took_ms = now_ms() - begun
        record.write("client of %s after %d ms: %s" % (ident, took_ms, end))
        if not first:
            broken.append("%s got no byte of an answer: %s after %d ms" % (ident, end, took_ms))
        client.close()

    threads = []
    for i in range(REQUESTS):
        if i % 2 == 0:
            data = request_bytes("r%d" % i, "/order/x", EXPIRES_MS, "POST", b"x")
        else:
            data = request_bytes("r%d" % i, "/view/x", EXPIRES_MS)
        thread = threading.Thread(target=ask, args=("r%d" % i, data), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    return broken


run_case(__file__, play)
