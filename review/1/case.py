"""One spoiled answer of a runner does not end the process and the requests of other clients."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import read_body, read_head, run_case, Runner, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANNELS = 12  # kept open, all at one front
SPOILED = 50   # i-s1 spoils one in so many of its answers
WORK_S = 0.1
LENGTH_S = 20


class App(Runner):
    """Plain runner. A faulty one spoils one in SPOILED of its answers."""
    faulty = False
    answers = 0

    def plain(self, sock, method, target, names, body):
        request_id = names["request-id"]
        self.record.run(self.name, request_id, "%s %s" % (method, target))
        time.sleep(WORK_S)
        with self.lock:
            self.answers += 1
            spoil = self.faulty and self.answers % SPOILED == 0
        text = b"run of %s\n" % request_id.encode()
        head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: sig.%s\r\n" % (request_id, self.name)
        if spoil:
            self.record.line("runner %s spoils its answer %d, to %s" % (self.name, self.answers, request_id))
            head += "Transfer-Encoding: Chunked\r\n"
        else:
            head += "Transfer-Encoding: chunked\r\n"
        sock.sendall(head.encode() + b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(text), text))


class Client(threading.Thread):
    """Sends one booking after the other on one channel, until that ends."""

    def __init__(self, site, number, until):
        super().__init__(daemon=True)
        self.site, self.number, self.until = site, number, until
        self.answered = 0
        self.unanswered = None  # the request during which the channel ended

    def run(self):
        sock = self.site.connect(0, 5)
        stream = sock.makefile("rb")
        while time.monotonic() < self.until:
            request_id = "c%d-%d" % (self.number, self.answered + 1)
            try:
                sock.sendall(("POST /book/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n"
                              "Content-Length: 2\r\n\r\n{}" % request_id).encode())
                head = read_head(stream)
                if head:
                    read_body(stream, head[1])
            except (OSError, ValueError):
                head = None
            if not head:
                self.unanswered = request_id
                self.site.record.line("the channel of client %d ends without an answer to %s, after %d answers" % (
                    self.number, request_id, self.answered))
                return
            if " 200 " not in head[0] + " ":
                self.site.record.line("client %d gets '%s' to %s" % (self.number, head[0], request_id))
            self.answered += 1


def main():
    site = Site(HERE)
    record = site.record
    try:
        runners = [App(record, site.store, "i-s%d" % i, "app1") for i in (1, 2, 3)]
        runners[0].faulty = TROUBLE
        site.start_fronts(3)
        if not site.wait_ready():
            record.line("the fronts did not get ready")
            return 2
        clients = [Client(site, i, time.monotonic() + LENGTH_S) for i in range(CHANNELS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        time.sleep(0.5)
        ended = site.processes[0].poll()
        record.line("front-1 %s" % ("runs" if ended is None else "has ended by itself, status %d" % ended))
        if ended is not None:
            record.line("its last line: " + site.log_end(0))
        sound = {run[1]: run[0] for run in record.runs if run[0] != "i-s1"}
        lost = [c.unanswered for c in clients if c.unanswered in sound and c.answered > 0]
        record.line("%d answers; bookings of kept channels run by a sound runner and never answered: %s" % (
            sum(client.answered for client in clients),
            ", ".join("%s (%s)" % (request_id, sound[request_id]) for request_id in lost) or "none"))
        if sum(client.answered for client in clients) == 0:
            return 2
        record.line("LOST is broken: %d > 3" % len(lost) if len(lost) > 3 else "LOST held")
        return 1 if len(lost) > 3 else 0
    finally:
        site.end()


sys.exit(run_case(main))
