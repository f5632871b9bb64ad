"""One small deployment on loopback addresses: gateways of this project, and stand-ins for the discovery agent, the hosts
and the clients. The stand-ins do what PROTOCOL-caperrudder.md says and nothing else, unless a case tells them to.

Used by review/6 to review/10. Python's standard library only.
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
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"


class NotRun(Exception):
    """The case could not run."""


def now_ms():
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run, one line each, in record.txt of the case's folder."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begun = now_ms()

    def write(self, text):
        with self._lock:
            self._file.write("%10.1f  %s\n" % (now_ms() - self._begun, text))
            self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port():
    with socket.socket() as s:
        s.bind((LOOPBACK, 0))
        return s.getsockname()[1]


# ---- HTTP on plain sockets


class Reader:
    """Reads HTTP/1.1 messages from one socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise EOFError("the connection ended")
        self.buffer += piece

    def _take(self, length):
        while len(self.buffer) < length:
            self._more()
        taken, self.buffer = self.buffer[:length], self.buffer[length:]
        return taken

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def head(self):
        """The first line and the headers (names in lower case); None where the connection ended before any byte."""
        try:
            while not self.buffer:
                self._more()
        except EOFError:
            return None
        first = self._line().decode("latin-1")
        headers = {}
        while True:
            line = self._line().decode("latin-1")
            if not line:
                return first, headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                length = int(self._line().split(b";")[0], 16)
                parts.append(self._take(length))
                self._line()
                if length == 0:
                    return b"".join(parts)
        return self._take(int(headers.get("content-length", "0")))


class Answer:
    def __init__(self, status, headers, body, at_ms):
        self.status = status
        self.headers = headers
        self.body = body
        self.at_ms = at_ms  # of its last byte


def read_answer(reader):
    """The next answer of a gateway; None where the connection ended without one or inside it."""
    try:
        head = reader.head()
        if head is None:
            return None
        first, headers = head
        body = reader.body(headers)
        return Answer(int(first.split()[1]), headers, body, now_ms())
    except (EOFError, OSError):
        return None


# ---- the discovery agent


class Discovery:
    """The agent on the gateway's machine: the whole list at once, and watches that wait for what is newer."""

    def __init__(self, hosts):
        self._changed = threading.Condition()
        self._version = 1
        self._hosts = hosts
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _list(self, full):
        servers = [
            {"id": h.id, "addr": h.address, "zone": h.zone, "kind": "m1", "cell": h.cell, "state": "ready",
             "weight": 1.0, "started_ms": 0}
            for h in self._hosts
        ]
        return {"version": self._version, "full": full, "servers": servers if full else []}

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                head = reader.head()
                if head is None:
                    return
                query = head[0].split()[1].partition("?")[2]
                fields = dict(f.split("=") for f in query.split("&") if f)
                with self._changed:
                    full = "from" not in fields or int(fields["from"]) < self._version
                    if not full:
                        end = now_ms() + int(fields.get("hold_ms", "0"))
                        while self._version <= int(fields["from"]) and now_ms() < end:
                            self._changed.wait(max(0.001, (end - now_ms()) / 1000))
                        full = self._version > int(fields["from"])
                    text = json.dumps(self._list(full)).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        except (EOFError, OSError):
            pass
        finally:
            sock.close()

    def close(self):
        self._listener.close()


# ---- hosts


class Request:
    """A request as it came to a host."""

    def __init__(self, host, sock, first, headers):
        self.host = host
        self.sock = sock
        self.method, self.path = first.split()[0], first.split()[1]
        self.headers = headers
        self.id = headers.get("x-trace-id", "")
        self.told_ms = float(headers.get("x-expires-in-ms", "0"))
        self.head_at_ms = now_ms()
        self.whole_at_ms = None
        self.body = b""

    def answer(self, status, body=b"", headers=""):
        self.sock.sendall(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers.encode(), body))


class Host:
    """A host that answers each request by ``handle(request)``, called once its last byte has arrived."""

    def __init__(self, name, handle, record, cell=0, zone="a", listener=None, on_head=None):
        self.id = name
        self.cell = cell
        self.zone = zone
        self.handle = handle
        self.on_head = on_head
        self.record = record
        self.runs = []  # requests that arrived whole
        self._listener = listener or socket.create_server((LOOPBACK, 0), backlog=256)
        self.address = "%s:%d" % self._listener.getsockname()
        if listener is None:
            self.accept()

    def accept(self):
        """Takes connections from now on."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                head = reader.head()
                if head is None:
                    return
                request = Request(self, sock, *head)
                if self.on_head:
                    self.on_head(request)
                request.body = reader.body(head[1])
                request.whole_at_ms = now_ms()
                self.runs.append(request)
                self.record.write("host %s runs %s (%s, %d bytes, told %d ms)"
                                  % (self.id, request.id, request.path, len(request.body), request.told_ms))
                self.handle(request)
        except (EOFError, OSError):
            pass
        finally:
            sock.close()

    def close(self):
        self._listener.close()


# ---- clients


def request_bytes(ident, path, expires_ms, method="GET", body=b"", units=1, customer=1, plan="free", key=None,
                  spread=1, first=0):
    lines = [
        "%s %s HTTP/1.1" % (method, path),
        "Host: backend.local",
        "X-Trace-Id: " + ident,
        "X-Plan: " + plan,
        "X-Customer: %016x" % customer,
        "X-Expires-In-Ms: %d" % expires_ms,
        "X-Quota: units=%d,spread=%d,first=%d" % (units, spread, first),
    ]
    if key:
        lines.append("Idempotency-Key: " + key)
    if method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """One connection to a gateway."""

    def __init__(self, port, timeout_s=60, rcvbuf=None):
        self.sock = socket.socket()
        if rcvbuf:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        self.sock.settimeout(timeout_s)
        self.sock.connect((LOOPBACK, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, data):
        self.sock.sendall(data)

    def receive(self):
        return read_answer(self.reader)

    def close(self):
        self.sock.close()


# ---- gateways


def classes(*specs):
    """Request classes, each (name, effect, hard limit in ms)."""
    return [{"name": n, "effect": e, "key_scope": "all", "window_ms": 12000, "goal_time_ms": limit, "late_value": 0.5,
             "hard_limit_ms": limit} for n, e, limit in specs]


def plan(name="free", **fields):
    return {"name": name, "units_per_s": 100000, "depth": 100000, **fields}


def free_quota():
    return [plan()]


class Gateway:
    """One gateway, started by the deploy file's ``run``."""

    def __init__(self, deployment, config, tmpdir, admin_port, name):
        self.port = int(config["listen"].split(":")[1])
        self.admin_port = admin_port
        self.tmpdir = tmpdir
        self.config_file = config["file"]
        self.log = open(os.path.join(deployment.folder, name + ".log"), "wb")
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            command = tomllib.load(f)["run"]
        env = dict(os.environ, NODE_CONFIG=self.config_file, TMPDIR=tmpdir,
                   NODE_ADMIN_ADDR="%s:%d" % (LOOPBACK, admin_port))
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.name = name

    def is_ready(self):
        try:
            with urllib.request.urlopen("http://%s:%d/api/ready" % (LOOPBACK, self.admin_port), timeout=1) as r:
                return r.status == 200
        except OSError:
            return False

    def await_ready(self, limit_s=30):
        end = time.monotonic() + limit_s
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise NotRun("%s did not get ready" % self.name)
            time.sleep(0.05)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Deployment:
    """The stand-ins and gateways of one case; leaves nothing running."""

    def __init__(self, case_file):
        self.case = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(os.path.join(self.case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.gateways = []
        self.closers = []

    def host(self, name, handle, **options):
        host = Host(name, handle, self.record, **options)
        self.closers.append(host)
        return host

    def discovery(self, hosts):
        discovery = Discovery(hosts)
        self.closers.append(discovery)
        return discovery

    def configuration(self, discovery, request_classes, plans=None, connect_timeout_ms=250, max_units=4, ordinal=0,
                      balancers=1, listen=None, peers=None, limits=None, name="n0"):
        config = {
            "name": name,
            "listen": listen or "%s:%d" % (LOOPBACK, free_port()),
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "admin_addr": "%s:%d" % (LOOPBACK, free_port()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 0, "full": True, "servers": []},
            "settings": {
                "ordinal": ordinal, "balancers": balancers, "az": "a",
                "limits": {"max_attempts": 3, "cancel": True, "peer_messages": bool(peers), "retry_after": True,
                           "max_retry_after_ms": 500, "connect_timeout_ms": connect_timeout_ms,
                           "conn_idle_ms": 30000, **(limits or {})},
                "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2, "drain_grace_ms": 500},
                "specifics": {"max_units": max_units, "mail_per_s": 40},
                "classes": request_classes,
                "plans": plans or free_quota(),
            },
        }
        if peers:
            config["peer_listen"] = peers[ordinal]
            config["peers"] = peers
        config["file"] = os.path.join(self.folder, name + ".json")
        with open(config["file"], "w", encoding="utf-8") as f:
            json.dump({k: v for k, v in config.items() if k != "file"}, f)
        return config

    def gateway(self, config, tmpdir=None, name=None):
        """Starts one process; a second one of the same gateway shares the first one's folder."""
        name = name or config["name"]
        if tmpdir is None:
            tmpdir = os.path.join(self.folder, name + "-tmp")
            os.mkdir(tmpdir)
        gateway = Gateway(self, config, tmpdir, free_port(), name)
        self.gateways.append(gateway)
        self.record.write("gateway process %s started" % name)
        return gateway

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for closer in self.closers:
            closer.close()
        for gateway in self.gateways:
            with open(os.path.join(self.folder, gateway.name + ".log"), encoding="utf-8", errors="replace") as f:
                for line in f:
                    self.record.write("log of %s: %s" % (gateway.name, line.rstrip()))
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, play):
    """Plays a case: ``play(deployment)`` returns what broke the rule, one text each. Ends the program."""
    if not os.path.exists(os.path.join(ROOT, "target", "caperrudder.jsa")):
        print("not built")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    deployment = Deployment(case_file)
    code = NOT_RUN
    try:
        deployment.record.say("TROUBLE=%d" % TROUBLE)
        broken = play(deployment)
        for text in broken:
            deployment.record.say("BROKEN: " + text)
        code = BROKEN if broken else HELD
        deployment.record.say("the rule was broken" if broken else "the rule held")
    except NotRun as e:
        deployment.record.say("could not run: %s" % e)
    except Exception as e:  # a fault of the case itself
        deployment.record.say("could not run: %r" % e)
        import traceback
        traceback.print_exc()
    finally:
        deployment.close()
    sys.stdout.flush()
    os._exit(code)
