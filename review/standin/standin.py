"""Stand-ins for the platform's store and for runners, and the processes of the
system, for the scripts of this folder. Only the standard library is used.

The store keeps records in memory and answers the calls of PROTOCOL.md that
jtforward makes. The runners answer as PROTOCOL.md says of a sound runner. All
addresses are loopback addresses; all ports are chosen by the kernel.
"""
import base64
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import traceback

STARTED = time.monotonic()
LEAD_S = 10  # the fronts run before traffic starts
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w")
        self.runs = []  # (runner, request id, method and path)

    def line(self, text):
        with self.lock:
            self.file.write("%7.3f s  %s\n" % (time.monotonic() - STARTED, text))
            self.file.flush()

    def run(self, runner, request_id, what):
        with self.lock:
            self.runs.append((runner, request_id, what))
        self.line("runner %s runs %s (%s)" % (runner, request_id, what))


def read_head(stream):
    """The start line and the headers (names in lower case); None at the end."""
    line = stream.readline(65536)
    if not line:
        return None
    start = line.decode("latin1").strip()
    headers = []
    while True:
        line = stream.readline(65536)
        if not line:
            return None
        line = line.decode("latin1").rstrip("\r\n")
        if not line:
            return start, headers
        name, _, value = line.partition(":")
        headers.append((name.lower(), value.strip()))


def read_body(stream, headers):
    names = dict(headers)
    if names.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            if size == 0:
                while stream.readline().strip():
                    pass
                return body
            body += stream.read(size)
            stream.readline()
    return stream.read(int(names.get("content-length", 0)))


class Server:
    """Accepts connections and answers requests one after the other on each."""

    def __init__(self):
        self.open_sockets = set()
        self.lock = threading.Lock()
        self.listener = None

    def listen(self, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.open_sockets.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        stream = sock.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if not head:
                    break
                start, headers = head
                body = read_body(stream, headers)
                method, target, _ = start.split(" ", 2)
                self.answer(sock, method, target, headers, body)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.open_sockets.discard(sock)
            try:
                stream.close()
                sock.close()
            except OSError:
                pass

    def reply(self, sock, status, headers, body):
        lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % header for header in headers]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def crash(self):
        """The process ends: its listener and its connections are gone."""
        self.listener.close()
        with self.lock:
            for sock in self.open_sockets:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def params(target):
    query = target.partition("?")[2]
    return dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


class Store(Server):
    def __init__(self):
        super().__init__()
        self.topics = {}  # name to list of records
        self.changed = threading.Condition()

    def append(self, topic, data):
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append(data)
            self.changed.notify_all()
            return len(records) - 1

    def put(self, topic, key, value):
        key = key.encode()
        value = json.dumps(value).encode() if value is not None else b""
        return self.append("keyed." + topic, bytes([len(key)]) + key + value)

    def answer(self, sock, method, target, headers, body):
        call = target.partition("?")[0]
        arguments = params(target)
        topic = arguments.get("topic", "")
        if call == "/-/log-append":
            self.append_call(sock, topic, body)
        elif call == "/-/log-read":
            self.read_call(sock, topic, arguments)
        elif call == "/-/log-newest":
            self.newest_call(sock, topic)
        else:
            self.reply(sock, 404, [], b"{}")

    def append_call(self, sock, topic, body):
        first = None
        at = 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            offset = self.append(topic, body[at + 4:at + 4 + size])
            first = offset if first is None else first
            at += 4 + size
        end = len(self.topics.get(topic, []))
        answer = {"offset": end if first is None else first, "end": end}
        self.reply(sock, 200, [("Content-Type", "application/json")], json.dumps(answer).encode())

    def read_call(self, sock, topic, arguments):
        start = int(arguments["from"])
        until = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        with self.changed:
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            records = list(self.topics.get(topic, []))
        out = struct.pack(">QQ", len(records), 0)
        for data in records[start:]:
            out += struct.pack(">I", len(data)) + data
        self.reply(sock, 200, [], out)

    def newest_call(self, sock, topic):
        with self.changed:
            records = list(self.topics.get(topic, []))
        newest = {}
        for offset, data in enumerate(records):
            size = data[0]
            newest[data[1:1 + size].decode()] = (offset, data[1 + size:])
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(newest.items()) if value]
        answer = {"items": items, "more_pages": False, "end": len(records)}
        self.reply(sock, 200, [("Content-Type", "application/json")], json.dumps(answer).encode())


class Runner(Server):
    """A runner of a plain service, or of an engine with a stage."""

    def __init__(self, record, store, name, service, stage=None, events=20, event_s=0.05):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.stage = stage
        self.events = events
        self.event_s = event_s
        self.sequence = 0
        self.handles = 0
        self.crash_after = None  # events of the next run after which it ends
        self.crashed = False
        self.listen()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def heartbeat(self):
        while not self.crashed:
            self.sequence += 1
            entry = {"service": self.service, "address": self.address, "zone": "sala-norte",
                     "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0,
                     "sequence": self.sequence}
            if self.stage:
                entry["stage"] = self.stage
                entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
            self.store.put("servers", self.name, entry)
            time.sleep(1.2)

    def answer(self, sock, method, target, headers, body):
        names = dict(headers)
        if names.get("expect-instance", self.name) != self.name:
            self.reply(sock, 421, [("Not-Executed", "1"), ("Instance-Id", self.name)], b"")
        elif target == "/healthz":
            self.reply(sock, 200, [("Instance-Id", self.name), ("Server-Load", "0,0,12")], b"ok")
        elif target.startswith("/-/"):
            self.control(sock, method, target)
        elif "request-id" not in names:
            self.reply(sock, 400, [("Not-Executed", "1")], b"")
        elif names.get("stage") == "prefill":
            self.prefill(sock, names)
        elif self.stage == "prefill":
            self.reply(sock, 421, [("Not-Executed", "1"), ("Instance-Id", self.name)], b"")
        elif self.stage == "decode":
            self.stream(sock, method, target, names)
        else:
            self.plain(sock, method, target, names, body)

    def control(self, sock, method, target):
        self.handles += 1
        if target == "/-/hold-take":
            self.reply(sock, 200, [], json.dumps({"hold": "hold%d" % self.handles}).encode())
        elif target == "/-/report":
            self.reply(sock, 200, [], json.dumps({"stage": self.stage, "busy": False}).encode())
        elif method == "DELETE":
            self.reply(sock, 200, [], b"")
        else:
            self.reply(sock, 404, [], b"")

    def prefill(self, sock, names):
        if self.stage != "prefill":
            self.reply(sock, 421, [("Not-Executed", "1"), ("Instance-Id", self.name)], b"")
            return
        time.sleep(0.02)
        self.handles += 1
        answer = {"handle": "%s%d" % (self.name.replace("-", ""), self.handles),
                  "tokens": int(names["token-count"].split(",")[0]), "version": 1}
        self.reply(sock, 200, [("Request-Id", names["request-id"])], json.dumps(answer).encode())

    def plain(self, sock, method, target, names, body):
        request_id = names["request-id"]
        self.record.run(self.name, request_id, "%s %s, body of %d bytes" % (method, target, len(body)))
        time.sleep(0.015)
        self.reply(sock, 200, [("Request-Id", request_id), ("Server-Signature", "sig." + self.name),
                               ("Server-Load", "0,0,12")], ("run of %s at %s\n" % (request_id, self.name)).encode())

    def stream(self, sock, method, target, names):
        request_id = names["request-id"]
        after = int(names.get("last-event-id", 0))
        self.record.run(self.name, request_id, "%s %s, Last-Event-Id %s, %d headers" % (
            method, target, names.get("last-event-id", "absent"), len(names)))
        sock.sendall(("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Signature: sig.%s\r\n"
                      "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % (request_id, self.name)).encode())
        for event in range(after + 1, self.events + 1):
            time.sleep(self.event_s)
            data = b"id: %d\ndata: word %d\n\n" % (event, event)
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            if self.crash_after is not None and event >= self.crash_after:
                self.record.line("runner %s ends (crash)" % self.name)
                self.crashed = True
                self.crash()
                return
        sock.sendall(b"0\r\n\r\n")


SERVICES = [
    {"name": "llm1", "health_path": "/healthz", "max_connections": 150, "protocol": "h1", "tls": False,
     "engine": {"slots": 12, "kv_tokens": 30222, "kv_token_bytes": 163840, "link_mbps": 1200000.0,
                "moves": True, "backups": True, "stride": 14, "most": 12, "handle_ttl_s": 0.5,
                "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}},
    {"name": "app1", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False},
]
ROUTES = [
    {"name": "r-stream", "host": "site.example", "path_prefix": "/stream/", "route_type": "streaming",
     "timeout_ms": 14000, "target_latency_ms": 900, "priority": 1, "service": "llm1", "max_attempts": 2,
     "sticky": True, "resumable": True, "gap_aim_ms": 300},
    {"name": "r-book", "host": "site.example", "path_prefix": "/book/", "route_type": "non_idempotent",
     "timeout_ms": 3000, "target_latency_ms": 100, "priority": 2, "service": "app1", "max_attempts": 1,
     "sticky": False, "resumable": False},
]
CONFIG = {"version": 7, "routes": ROUTES, "services": SERVICES,
          "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                     "idle_timeout_ms": 15000}}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def no_core():
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def run_case(main):
    """The exit status of a script: that of main, or 2 if it could not run."""
    try:
        return main()
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        return 2


class Site:
    """A store, runners, and processes started as deploy/system.toml says."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.processes = []
        self.fronts = []
        self.store = Store()
        self.store.listen()
        self.store.put("op", "config", CONFIG)

    def runner(self, *arguments, **options):
        return Runner(self.record, self.store, *arguments, **options)

    def start_fronts(self, count):
        self.fronts_at = time.monotonic()
        zones = ["sala-norte", "sala-sur", "sala-centro"]
        ports = [[free_port() for _ in range(3)] for _ in range(count)]
        seeds = ",".join("127.0.0.1:%d" % port[2] for port in ports[:3])
        for i, (listen, health, peer) in enumerate(ports):
            path = os.path.join(self.temporary.name, "settings-%d.conf" % i)
            values = {"node_name": "front-%d" % (i + 1), "zone": zones[i % 3],
                      "listen.front": "127.0.0.1:%d" % listen, "listen.ready": "127.0.0.1:%d" % health,
                      "listen.control": "127.0.0.1:%d" % peer, "seeds": seeds,
                      "platform.address": self.store.address, "heartbeat_ms": "1200",
                      "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "54",
                      "bounds.budget_window_s": "10", "bounds.grace_s": "8"}
            text = open(os.path.join(ROOT, "deploy", "settings.conf")).read()
            start = text.index("{{#zones}}")
            end = text.index("{{/zones}}") + len("{{/zones}}")
            text = text[:start] + ",".join("%s:arequipa" % zone for zone in zones) + text[end:]
            for name, value in values.items():
                text = text.replace("{{%s}}" % name, value)
            with open(path, "w") as file:
                file.write(text)
            log = open(os.path.join(self.temporary.name, "front-%d.log" % i), "w")
            environment = {"PATH": os.environ["PATH"], "JACINTHTRESTLE_NODE_FILE": path}
            self.processes.append(subprocess.Popen(["target/platform/jtforward"], cwd=ROOT, env=environment,
                                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                                   preexec_fn=no_core))
            self.fronts.append((listen, health))

    def wait_ready(self, limit_s=15):
        """True once each front answers the platform's readiness check with 200 and
        all have run for LEAD_S; traffic starts no sooner (SYSTEM.md)."""
        until = time.monotonic() + limit_s
        for _, health in self.fronts:
            while not self.is_ready(health):
                if time.monotonic() > until:
                    return False
                time.sleep(0.1)
        time.sleep(max(self.fronts_at + LEAD_S - time.monotonic(), 0))
        return True

    @staticmethod
    def is_ready(port):
        try:
            with socket.create_connection(("127.0.0.1", port), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: front\r\n\r\n")
                return b" 200 " in sock.recv(4096).split(b"\r\n")[0] + b" "
        except OSError:
            return False

    def connect(self, front, timeout_s):
        sock = socket.create_connection(("127.0.0.1", self.fronts[front][0]), 2)
        sock.settimeout(timeout_s)
        return sock

    def log_end(self, front):
        """The last line that the process has written."""
        with open(os.path.join(self.temporary.name, "front-%d.log" % front), errors="replace") as file:
            lines = file.read().strip().split("\n")
        return lines[-1]

    def end(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.temporary.cleanup()
