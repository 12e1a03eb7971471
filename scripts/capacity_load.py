"""Cost of requests on the control path, for scripts/capacity."""

import http.client
import json
import os
import socket
import statistics
import time

from capacity_site import Site

INSTANCES = 9
DATA_CENTRES = 3
ENGINES = 6  # for each role
TIME_SCALE = 10  # speeds up the engines, so that they are not the bottleneck
RATES = (20, 40, 80, 160)
LEAD_SECONDS = 2
WAITING_LEAD_SECONDS = 4  # until all requests have been submitted
WAITING_WINDOW_SECONDS = 10  # each waiting request is resent to its home once
WINDOW_SECONDS = 6
WAITING = (250, 500, 1000, 2000)
ORGANISATIONS = (3000, 6000, 12000)
SETTLE_SECONDS = 6

CONFIGURATION = """
version: 1
site: capacity
data_centres: [{name: dc1, region: r}, {name: dc2, region: r},
               {name: dc3, region: r}]
pools:
  - {name: pre, role: prefill, slots: 4, kv_bytes_per_token: 131072,
     link_bytes_per_s: 5000000000, prefill_tokens_per_s: 80000, hold_ms: 800}
  - {name: dec, role: decode, piece_tokens: 2048, pieces: 100, slots: 20,
     kv_bytes_per_token: 131072, link_bytes_per_s: 5000000000,
     decode_tokens_per_s: 400}
  - {name: web, role: plain, slots: 64}
services:
  - {name: model, kind: model, model: m, prefill_pool: pre, decode_pool: dec,
     prompt_tokens_max: 40000, output_tokens_max: 2048, queue_max: 20000,
     deadline_ms: 600000}
  - {name: web, kind: plain, path_prefix: /web, pool: web, concurrency: 64,
     organisation_requests_per_s: 1000}
  - {name: book, kind: plain, path_prefix: /web/book, pool: web,
     concurrency: 64, idempotent: false, record_ms: 600000}
policy: {name: reserve}
"""

MODEL = ("model: m, stream: true, prompt_tokens: {median: 300, sigma: 0.1, "
         "min: 200, max: 400}, output_tokens: {median: 10, sigma: 0.1, min: 8, "
         "max: 12}, targets: {first_token_ms: 2500, complete_ms: 30000}")
KINDS = {
    "model": MODEL,
    "model-keyed": MODEL + ", key: true",
    "lookup": "path: /web/x, method: POST, targets: {complete_ms: 250}",
    "booking": "path: /web/book, method: POST, key: true, "
               "non_idempotent: true, targets: {complete_ms: 1000}",
}


class LoadedSite(Site):
    """A small site with engines and plain servers, for runs with load."""

    def __enter__(self):
        super().__enter__()
        for i in range(ENGINES):
            self.start_engine(i, "prefill", ["--prefill-tokens-per-s=8000"])
            self.start_engine(i, "decode", ["--decode-tokens-per-s=40",
                                            "--pieces=100", "--slots=20"])
        for i in range(DATA_CENTRES):
            self.start_backend(f"web{i}", "jtservice", "web", i, [])
        self.start_entries(INSTANCES, DATA_CENTRES)
        base = self.apply(0, CONFIGURATION)
        wanted = 2 * ENGINES + DATA_CENTRES
        self.wait_for(lambda entry: entry.status()["revision"] == base)
        self.wait_for(lambda entry: len(entry.status()["runners"]) == wanted)
        time.sleep(SETTLE_SECONDS)
        return self

    def start_engine(self, i, role, arguments):
        self.start_backend(f"{role}{i}", "jtengine", role[:3], i, [
            f"--role={role}", f"--time-scale={TIME_SCALE}",
            "--link-bytes-per-s=5e9"] + arguments)

    def start_backend(self, name, program, pool, i, arguments):
        self.start(name, [
            os.path.join(self.build, "standin", program), f"--name={name}",
            f"--pool={pool}", f"--data-centre=dc{i % DATA_CENTRES + 1}",
            "--listen=127.0.0.1:0", f"--platform={self.platform_address}"] +
            arguments)


def totals(site):
    """Returns the sums over all instances."""
    samples = [entry.sample() for entry in site.entries]
    result = {key: sum(sample[key] for sample in samples)
              for key in ("cpu", "wire_sent", "segments_sent", "payload",
                          "messages")}
    result["requests"] = sum(
        entry.metrics().get("jt_requests_total", 0) for entry in site.entries)
    result["appends"] = sum(
        entry.metrics()["jt_log_appends_total"] for entry in site.entries)
    result["memory"] = sum(entry.memory()[1] for entry in site.entries)
    return result


def window(site, seconds):
    first, at = totals(site), time.monotonic()
    time.sleep(seconds)
    last = totals(site)
    elapsed = time.monotonic() - at
    rates = {key: (last[key] - first[key]) / elapsed for key in last}
    rates["memory"] = last["memory"]
    return rates


def load_start(site, kind, rate):
    workload = os.path.join(site.folder, f"{kind}.yaml")
    with open(workload, "w", encoding="utf-8") as out:
        out.write(f"version: 1\nrate: {rate}\nkinds:\n"
                  f"  - {{name: {kind}, weight: 1, {KINDS[kind]}}}\n")
    targets = ",".join(entry.address("callers") for entry in site.entries)
    report = os.path.join(site.folder, f"{kind}-{rate}.json")
    load = site.start(f"load-{kind}-{rate}", [
        os.path.join(site.build, "load", "jtload"), "run",
        f"--workload={workload}", f"--target={targets}", f"--rate={rate}",
        f"--duration={LEAD_SECONDS + WINDOW_SECONDS + 1}", "--seed=1",
        f"--report={report}"])
    return load, report


def load_status(load, report):
    load.wait()
    if load.child.returncode != 0 or not os.path.exists(report):
        return f"jtload: exit {load.child.returncode}"
    return "ok"


def measure_requests(build, folder, rates, progress):
    """Measures sums per second over all instances, idle and with load."""
    results = []
    with LoadedSite(build, folder) as site:
        idle = window(site, WINDOW_SECONDS)
        for kind in KINDS:
            for rate in rates:
                progress(f"{rate} requests a second of {kind}")
                load, report = load_start(site, kind, rate)
                time.sleep(LEAD_SECONDS)
                loaded = window(site, WINDOW_SECONDS)
                status = load_status(load, report)
                results.append({"kind": kind, "rate": rate, "idle": idle,
                                "loaded": loaded, "load": status})
    return results


def waiting_open(address, count):
    """Sends more requests than engine memory can hold, and leaves them waiting."""
    host, _, port = address.rpartition(":")
    body = json.dumps({"model": "m", "prompt": "@30000 x",
                       "max_tokens": 2000}).encode()
    head = (f"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            f"jt-class: deferrable\r\n"
            f"content-length: {len(body)}\r\n\r\n").encode()
    sockets = []
    for _ in range(count):
        caller = socket.create_connection((host, int(port)))
        caller.sendall(head + body)
        sockets.append(caller)
    return sockets


def measure_waiting(build, folder, sizes, progress):
    """Measures memory, processor time and bytes while requests wait at one instance."""
    results = []
    with LoadedSite(build, folder) as site:
        idle = window(site, WINDOW_SECONDS)
        address = site.entries[0].address("callers")
        sockets = []
        for size in sizes:
            progress(f"{size} requests waiting")
            sockets += waiting_open(address, size - len(sockets))
            time.sleep(WAITING_LEAD_SECONDS)
            loaded = window(site, WAITING_WINDOW_SECONDS)
            held = site.entries[0].metrics()["jt_requests_in_flight"]
            results.append({"waiting": size, "in_flight": held, "idle": idle,
                            "loaded": loaded})
        for caller in sockets:
            caller.close()
    return results


def measure_organisations(build, folder, sizes, progress):
    """Measures the private memory of one instance after requests of many organisations."""
    results = []
    with LoadedSite(build, folder) as site:
        entry = site.entries[0]
        host, _, port = entry.address("callers").rpartition(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=10)
        done = 0
        first = entry.memory()[1]
        for size in sizes:
            progress(f"{size} organisations")
            refused = 0
            for i in range(done, size):
                caller.request("POST", "/web/x", b"",
                               {"jt-organisation": f"organisation-{i}"})
                answer = caller.getresponse()
                answer.read()
                refused += answer.status != 200
            done = size
            results.append({"organisations": size, "refused": refused,
                            "grown": entry.memory()[1] - first})
        caller.close()
    return results


def slope(points):
    """Fits a line by least squares; returns (value at zero, slope)."""
    x_mean = statistics.fmean(x for x, _ in points)
    y_mean = statistics.fmean(y for _, y in points)
    over = sum((x - x_mean) ** 2 for x, _ in points)
    each = sum((x - x_mean) * (y - y_mean) for x, y in points) / over
    return y_mean - each * x_mean, each
