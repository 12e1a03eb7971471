"""A stream goes on at another runner after a crash: each piece once, in order."""
import os
import re
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from standin import read_head, run_case, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 20
CRASH_AFTER = 8
# Headers that the client sends beside Host and Content-Length.
HEADERS = int(os.environ.get("HEADERS", "95"))


def request_of(request_id):
    headers = ["Request-Id: " + request_id, "Model: m", "Token-Count: 300,40",
               "Prefix-Hash: 5c1e07a2:200,91bd3f06:100", "Deadline-Ms: 14000"]
    headers += ["X-Attribute-%d: value-%d" % (i, i) for i in range(HEADERS - len(headers))]
    body = b'{"prompt": "clause"}'
    head = ["POST /stream/clause HTTP/1.1", "Host: site.example", "Content-Length: %d" % len(body)] + headers
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body, len("\r\n".join(head)) + 4


def answer_read(sock):
    """The status, the ids of the events, and whether the answer is complete."""
    stream = sock.makefile("rb")
    head = read_head(stream)
    if not head:
        return "no answer", [], False
    start, headers = head
    names = dict(headers)
    text = b""
    if names.get("transfer-encoding") != "chunked":
        text = stream.read(int(names.get("content-length", 0)))
        return start, [], True
    try:
        while True:
            size = int(stream.readline().split(b";")[0] or b"-1", 16)
            if size <= 0:
                complete = size == 0
                break
            text += stream.read(size)
            stream.readline()
    except (OSError, ValueError):
        complete = False
    return start, [int(n) for n in re.findall(rb"^id: (\d+)$", text, re.M)], complete


def main():
    site = Site(HERE)
    record = site.record
    try:
        site.runner("i-p1", "llm1", "prefill")
        decoders = [site.runner("i-d%d" % i, "llm1", "decode", events=EVENTS) for i in (1, 2, 3)]
        site.start_fronts(3)
        if not site.wait_ready():
            record.line("the fronts did not get ready")
            return 2
        if TROUBLE:
            for runner in decoders:
                runner.crash_after = CRASH_AFTER
        request, head_bytes = request_of("c-1")
        record.line("client sends c-1: %d header lines, %d bytes of head" % (HEADERS + 2, head_bytes))
        sock = site.connect(0, 14)
        sock.sendall(request)
        if TROUBLE:
            # Only the runner that serves it first crashes.
            until = time.monotonic() + 5
            while not record.runs and time.monotonic() < until:
                time.sleep(0.005)
            for runner in decoders:
                if record.runs and runner.name != record.runs[0][0]:
                    runner.crash_after = None
        start, ids, complete = answer_read(sock)
        record.line("client gets '%s', events %s, complete: %s" % (start, ids, complete))
        runs = [name for name, request_id, _ in record.runs if request_id == "c-1"]
        if not ids:
            record.line("no stream was served: the case could not run")
            return 2
        if ids != list(range(1, len(ids) + 1)) or (complete and len(ids) != EVENTS):
            record.line("ORDER is broken: a piece is missing or comes twice; runs at %s" % runs)
            return 1
        record.line("ORDER held; runs at %s" % runs)
        return 0
    finally:
        site.end()


sys.exit(run_case(main))
