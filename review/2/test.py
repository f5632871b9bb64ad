"""Case 2: a request with a long body that was sent whole is never answered where its host hangs."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import TROUBLE, Client, Discovery, Host, configuration, free_port, main, request  # noqa: E402

HOSTS = 4  # of which half hang
MEGABYTES = [4, 5, 6, 7, 8, 10]  # how many fit into the sockets on the way depends on the machine
ROUNDS = 2
EXPIRES_MS = 5000  # publish-term: 7,500 at most
LATE_S = 0.5  # an answer that is later by so much is lost
WATCHED_S = 20  # after the last byte


class HangingHost(Host):
    """Its process hangs: connections come up, and nothing is read or answered."""

    def serve(self, connection):
        self.record(f"{self.name} hangs")
        while not self.closed:
            time.sleep(0.1)


def client(case, gateway, trace, megabytes, breaks):
    connection = Client(gateway.port, 6)
    try:
        connection.send(request(trace, "/publish-term/1", expires_ms=EXPIRES_MS, body=b"x" * (megabytes << 20)))
    except OSError as e:
        case.record(f"client {trace}: not sent whole: {e!r}")
        connection.close()
        return
    written = time.monotonic()
    case.record(f"client {trace}: last byte of {megabytes} MB is written")
    connection.socket.settimeout(WATCHED_S)
    answer = connection.receive()
    waited = time.monotonic() - written
    case.record(f"client {trace}: {answer.start if answer else 'no answer'} after {waited:.2f} s")
    if answer is None or waited > EXPIRES_MS / 1000 + LATE_S:
        breaks.append(f"{trace}, {megabytes} MB, has no final answer {waited:.1f} s after its last byte;"
                      f" its client's time was {EXPIRES_MS / 1000} s")
    connection.close()


def play(case):
    hosts = [case.own((HangingHost if TROUBLE and i < HOSTS // 2 else Host)(f"s-{i}", case.record, 0.3))
             for i in range(HOSTS)]
    discovery = case.own(Discovery([host.entry() for host in hosts], case.record))
    gateway = case.gateway(configuration(
        listen=f"127.0.0.1:{free_port()}", admin_addr=f"127.0.0.1:{free_port()}", discovery=discovery.address))
    gateway.wait_ready()
    breaks = []
    threads = [threading.Thread(target=client, args=(case, gateway, f"u{r}-{m}", m, breaks))
               for r in range(ROUNDS) for m in MEGABYTES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return breaks


main(FOLDER, play)
