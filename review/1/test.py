"""Case 1: peers that never finish their request end the process."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import TROUBLE, Client, Discovery, Host, configuration, free_port, main, request  # noqa: E402

HOSTS = 8
WORK_S = 0.3  # helsinki-main: 170 to 300 ms
PEERS = 400  # at once
HEADER_LINES = 1600  # of each: 8,000 bytes in all
CLIENTS = 4
SECONDS = 10


def peers_come(case, gateway):
    """Each sends the beginning of a head and no more; what it is owed is an error or a close."""
    beginning = b"GET /view-schedule/1 HTTP/1.1\r\n" + b"a:b\r\n" * HEADER_LINES
    connections = [Client(gateway.port) for _ in range(PEERS)]
    for number, connection in enumerate(connections):
        try:
            connection.send(beginning)
            case.record(f"peer {number} sent {len(beginning)} bytes of a head")
        except OSError as e:
            case.record(f"peer {number}: {e!r}")
    return connections


def peers_go(case, connections):
    for number, connection in enumerate(connections):
        connection.socket.settimeout(0.01)
        answer = connection.receive()
        case.record(f"peer {number} goes; it got {answer.start if answer else 'no answer'}")
        connection.close()


def client(case, gateway, number, end, breaks):
    """A true client: one request at a time, each on the connection that it keeps."""
    connection = None
    sent = 0
    while time.monotonic() < end:
        trace = f"c{number}-{sent}"
        try:
            connection = connection or Client(gateway.port)
            connection.send(request(trace, expires_ms=5000))
        except OSError as e:  # not taken
            case.record(f"client {number} could not send {trace}: {e!r}")
            connection = None
            time.sleep(0.5)
            continue
        sent += 1
        answer = connection.receive()
        case.record(f"client {number} {trace}: {answer.start if answer else 'the connection ended, no answer'}")
        if answer is None:
            breaks.append(f"{trace} was taken and never answered")
            connection = None
        time.sleep(0.1)


def play(case):
    hosts = [case.own(Host(f"s-{i}", case.record, WORK_S)) for i in range(HOSTS)]
    discovery = case.own(Discovery([host.entry() for host in hosts], case.record))
    gateway = case.gateway(configuration(
        listen=f"127.0.0.1:{free_port()}", admin_addr=f"127.0.0.1:{free_port()}", discovery=discovery.address))
    gateway.wait_ready()
    breaks = []
    end = time.monotonic() + SECONDS
    threads = [threading.Thread(target=client, args=(case, gateway, i, end, breaks)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    peers = peers_come(case, gateway) if TROUBLE else []
    time.sleep(4)
    peers_go(case, peers)
    for thread in threads:
        thread.join()
    if gateway.ended():
        breaks.insert(0, f"the process ended by itself with {gateway.process.returncode}")
    return breaks


main(FOLDER, play)
