"""Case 3: where clients write long requests in small pieces, requests that were taken are never answered."""

import itertools
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import TROUBLE, Client, Discovery, Host, configuration, free_port, main, request  # noqa: E402

HOSTS = 8
WORK_S = 0.3  # helsinki-main: 170 to 300 ms
SOCKETS = 1024
CLIENTS = 150  # TERMS: clients hold at most a third of the descriptors, here 341
BODY_BYTES = 64 * 1024  # PROTOCOL: 64 KiB at most
PIECES = [2048, 1] if TROUBLE else [1 << 20]  # bytes at a time, over and over
PIECE_S = 0.005  # a body takes 0.3 s: 200 kB a second
ROUNDS = 3
EXPIRES_MS = 6000


def exchange(case, connection, trace, data, breaks, tally):
    """Sends a request in pieces and waits for its answer; false where the connection has ended."""
    try:
        at = 0
        for size in itertools.cycle(PIECES):
            connection.send(data[at:at + size])
            at += size
            if at >= len(data):
                break
            time.sleep(PIECE_S)
    except OSError as e:
        case.record(f"client {trace}: not sent whole: {e!r}")
        tally.append("not sent")
        return False
    written = time.monotonic()
    connection.socket.settimeout(EXPIRES_MS / 1000 + 3)
    answer = connection.receive()
    waited = time.monotonic() - written
    case.record(f"client {trace}: {answer.start if answer else 'no answer'} after {waited:.2f} s")
    tally.append(str(answer.status) if answer else "none")
    if answer is None:
        breaks.append(f"{trace} was sent whole and has no answer; it waited {waited:.2f} s")
    return answer is not None


def client(case, gateway, number, gate, breaks, tally):
    """First a short request, then long ones, one at a time on one connection."""
    connection = Client(gateway.port)
    alive = exchange(case, connection, f"c{number}-0", request(f"c{number}-0", expires_ms=EXPIRES_MS), breaks, tally)
    gate.wait()
    for turn in range(1, ROUNDS + 1):
        if not alive:
            break
        trace = f"c{number}-{turn}"
        data = request(trace, "/swap-lesson/1", key=f"key-{trace}", expires_ms=EXPIRES_MS, body=b"x" * BODY_BYTES)
        alive = exchange(case, connection, trace, data, breaks, tally)
    connection.close()


def play(case):
    hosts = [case.own(Host(f"s-{i}", case.record, WORK_S)) for i in range(HOSTS)]
    discovery = case.own(Discovery([host.entry() for host in hosts], case.record))
    gateway = case.gateway(configuration(
        listen=f"127.0.0.1:{free_port()}", admin_addr=f"127.0.0.1:{free_port()}", discovery=discovery.address,
        limits={"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}))
    gateway.wait_ready()
    breaks, tally = [], []
    gate = threading.Barrier(CLIENTS, timeout=30)
    threads = [threading.Thread(target=client, args=(case, gateway, i, gate, breaks, tally)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.record("how requests ended: " + ", ".join(f"{k} {tally.count(k)}" for k in sorted(set(tally))))
    return breaks


main(FOLDER, play)
