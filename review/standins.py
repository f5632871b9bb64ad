"""Stand-ins for the parts around a gateway: the platform, discovery, hosts and clients.

Everything listens on 127.0.0.1 with ports that the system chooses, and keeps a record of what was sent, answered and
run. Only the standard library is used.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be tried."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """record.txt: one line for each thing that happened, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():9.3f}  {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Message:
    """An HTTP message as it was read: the first line, the headers in lower case, the body."""

    def __init__(self, start, headers, body, whole):
        self.start, self.headers, self.body, self.whole = start, headers, body, whole

    @property
    def status(self):
        return int(self.start.split(" ")[1])


def read_message(stream, on_head=None):
    """The next message of a buffered binary stream; None at its end. ``whole`` is false where the end came inside."""
    start = stream.readline()
    if not start.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            return Message(start.decode("latin-1").strip(), headers, b"", False)
        line = line.strip()
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    start = start.decode("latin-1").strip()
    if on_head:
        on_head(start, headers)
    body = b""
    whole = True
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = stream.readline()
            if not line.endswith(b"\n"):
                return Message(start, headers, body, False)
            size = int(line.split(b";")[0], 16)
            part = stream.read(size + 2)
            if len(part) < size + 2:
                return Message(start, headers, body + part[:size], False)
            if size == 0:
                break
            body += part[:size]
    elif "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length)
        whole = len(body) == length
    elif start.startswith("HTTP/") and not start.split(" ")[1].startswith("1"):
        body = stream.read()
    return Message(start, headers, body, whole)


class Server:
    """Accepts connections at a port of the system's choice and serves each on a thread."""

    def __init__(self, backlog=512):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.sockets = set()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            self.sockets.discard(connection)
            connection.close()

    def close(self):
        self.closed = True
        self.listener.close()
        for connection in list(self.sockets):
            connection.close()


class Discovery(Server):
    """The agent of PROTOCOL, 'Discovery': whole lists and watches."""

    def __init__(self, servers, record):
        self.record = record
        self.version = 1
        self.servers = {s["id"]: s for s in servers}
        self.changed = {}
        self.news = threading.Condition()
        super().__init__()

    def update(self, *entries):
        with self.news:
            self.version += 1
            for entry in entries:
                if entry["state"] == "gone":
                    self.servers.pop(entry["id"], None)
                else:
                    self.servers[entry["id"]] = entry
                self.changed[entry["id"]] = (self.version, entry)
            self.news.notify_all()
        for entry in entries:
            self.record(f"discovery version {self.version}: {entry['id']} is {entry['state']}")

    def serve(self, connection):
        stream = connection.makefile("rb")
        while (request := read_message(stream)) is not None:
            query = dict(p.split("=") for p in request.start.split(" ")[1].partition("?")[2].split("&") if "=" in p)
            with self.news:
                if "from" in query:
                    since = int(query["from"])
                    self.news.wait_for(lambda: self.version > since or self.closed,
                                       int(query.get("hold_ms", 0)) / 1000)
                    entries = [e for v, e in self.changed.values() if v > since]
                    body = {"version": self.version, "full": False, "servers": entries}
                else:
                    body = {"version": self.version, "full": True, "servers": list(self.servers.values())}
            text = json.dumps(body).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)


class Host(Server):
    """A host of PROTOCOL, 'Api gateways to hosts'. ``script(host, message, connection)`` answers a request that came
    whole; without one it answers 200 after ``work_s``."""

    def __init__(self, name, record, work_s=0.02, script=None):
        self.name, self.record, self.work_s, self.script = name, record, work_s, script
        self.runs = []  # (seconds, trace id) of the requests of which the last byte came
        self.lock = threading.Lock()
        super().__init__()

    def entry(self, state="ready", started_ms=0):
        return {"id": self.name, "addr": self.address, "zone": "a", "kind": "k", "cell": 0, "state": state,
                "weight": 1.0, "started_ms": started_ms}

    def serve(self, connection):
        stream = connection.makefile("rb")
        while (message := read_message(stream)) is not None and message.whole:
            trace = message.headers.get("x-trace-id", "-")
            with self.lock:
                self.runs.append((self.record.now(), trace))
            self.record(f"{self.name} runs {trace} {message.start.split(' ')[0]} {len(message.body)} bytes"
                        f" expires-in {message.headers.get('x-expires-in-ms')}")
            if self.script:
                if self.script(self, message, connection) is False:
                    return
            else:
                time.sleep(self.work_s)
                self.answer(connection, b"done " + trace.encode())

    @staticmethod
    def answer(connection, body):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def request(trace, path="/view-schedule/1", customer=0xb4d65521, plan="free", expires_ms=2000, units=1, spread=1, first=0,
            body=None, key=None, extra=""):
    """The bytes of a request of PROTOCOL, 'Clients to api gateways'."""
    head = (f"{'GET' if body is None else 'POST'} {path} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {trace}\r\n"
            f"X-Plan: {plan}\r\nX-Customer: {customer:016x}\r\nX-Expires-In-Ms: {expires_ms}\r\n"
            f"X-Quota: units={units},spread={spread},first={first}\r\n{extra}")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


class Client:
    """One connection of a client."""

    def __init__(self, port, timeout_s=10):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def send(self, data):
        self.socket.sendall(data)

    def receive(self):
        """The next answer; None where the connection ended before it, or was reset."""
        try:
            return read_message(self.stream)
        except (ConnectionError, TimeoutError):
            return None

    def close(self):
        try:
            self.stream.close()
        finally:
            self.socket.close()


def read_deploy():
    with open(ROOT / "deploy" / "balancer.toml", "rb") as f:
        return tomllib.load(f)


def configuration(**changes):
    """A configuration as README shows it, with the settings of a small deployment."""
    config = {
        "name": "n0", "seed": "8c1f30d27a5be964", "peers": [],
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 0, "full": True, "servers": []},
        "settings": {
            "ordinal": 0, "balancers": 1, "az": "a", "discovery": "automatic",
            "limits": {"max_attempts": 6, "cancel": True, "may_duplicate": False, "peer_messages": False,
                       "retry_after": True, "max_retry_after_ms": 500, "connect_timeout_ms": 250,
                       "conn_idle_ms": 30000},
            "rules": {"answer_slack_ms": 8, "warm_within_ms": 17000, "cold_from": 0.17, "fall_multiple": 2,
                      "fall_ms": 1500, "drain_grace_ms": 500},
            "specifics": {"max_units": 4, "mail_per_s": 0},
            "classes": [
                {"name": "view-schedule", "effect": "repeatable", "goal_time_ms": 1500, "hard_limit_ms": 5000, "worth": 1,
                 "late_value": 0.2},
                {"name": "swap-lesson", "effect": "by_key", "key_scope": "all", "window_ms": 12000, "goal_time_ms": 2000,
                 "hard_limit_ms": 6000, "worth": 2, "late_value": 0.0},
                {"name": "publish-term", "effect": "once", "goal_time_ms": 2000, "hard_limit_ms": 7500, "worth": 3,
                 "late_value": 0.2}],
            "plans": [{"name": "free", "units_per_s": 100000, "depth": 100000}]}}
    for name, value in changes.items():
        config[name] = value
    return config


class Gateway:
    """One process that ``run`` of the deploy file started, as the platform starts it."""

    def __init__(self, config, folder, record, name="gateway"):
        self.record, self.name = record, name
        self.folder = Path(folder)
        self.temporary = self.folder / "tmp"
        self.temporary.mkdir(parents=True, exist_ok=True)
        self.port = int(config["listen"].rsplit(":", 1)[1])
        self.admin = int(config["admin_addr"].rsplit(":", 1)[1])
        self.config_file = self.folder / "config.json"
        self.config_file.write_text(json.dumps(config))
        self.log_file = open(self.folder / f"{name}.log", "wb")
        if not (ROOT / "target" / "caperrudder.jsa").exists():
            raise NotRun("no build in target/")
        environment = dict(os.environ, NODE_CONFIG=str(self.config_file), TMPDIR=str(self.temporary),
                           NODE_ADMIN_ADDR=config["admin_addr"])
        self.process = subprocess.Popen(["/bin/sh", "-c", read_deploy()["run"]], cwd=ROOT, env=environment,
                                        stdout=self.log_file, stderr=self.log_file, stdin=subprocess.DEVNULL)
        record(f"{name} started, process {self.process.pid}")

    def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise NotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                client = Client(self.admin, 2)
                client.send(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = client.receive()
                client.close()
                if answer is not None and answer.status == 200:
                    self.record(f"{self.name} is ready")
                    return self
            except OSError:
                pass
            time.sleep(0.05)
        raise NotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def ended(self):
        return self.process.poll() is not None

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log_file.close()

    def log(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


class Case:
    """The frame of a test: folder, record, and the end of all that it started."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.things = []

    def own(self, thing):
        self.things.append(thing)
        return thing

    def gateway(self, config, name="gateway", folder=None):
        return self.own(Gateway(config, folder or self.folder / name, self.record, name))

    def end(self):
        for thing in reversed(self.things):
            try:
                thing.close()
            except OSError:
                pass
        for thing in self.things:
            if isinstance(thing, Gateway):
                for line in thing.log().splitlines():
                    self.record(f"log of {thing.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Runs ``play(case)``, which returns the breaks of the rule, and exits with 0, 1 or 2."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        case.record("the disruption is " + ("on" if TROUBLE else "off"))
        breaks = play(case)
        code = BROKEN if breaks else HELD
        for line in breaks:
            case.record("BROKEN: " + line)
    except (NotRun, OSError, ValueError) as e:
        case.record(f"the case could not run: {e!r}")
        print(f"could not run: {e!r}", file=sys.stderr)
    finally:
        case.end()
        case.record(f"exit {code}")
        case.record.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
