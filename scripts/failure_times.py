"""Measures how fast a site reacts to failures; run by scripts/failure-times."""

import http.client
import json
import os
import signal
import statistics
import subprocess
import sys
import threading
import time

BUILD = sys.argv[1]
RUNS = int(sys.argv[2])
DIR = os.environ["SITE_DIR"]
CALLERS = os.environ["SITE_CALLERS"].split(",")
ADMINS = os.environ["SITE_ADMINS"].split(",")
LEDGERS = os.environ["SITE_LEDGERS"].split(",")
PLATFORM = os.environ["SITE_PLATFORM"]
POLL_S = 0.01
LIMIT_S = 40


def call(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=30)
    connection.request(method, path, body, headers or {})
    answer = connection.getresponse()
    data = answer.read()
    connection.close()
    return answer.status, data


def get_json(address, path):
    status, data = call(address, "GET", path)
    if status != 200:
        raise RuntimeError(f"{address}{path}: {status}")
    return json.loads(data)


def wait_until(condition, what):
    """Polls until the condition holds; returns the time at which it did."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        try:
            if condition():
                return time.monotonic()
        except (OSError, RuntimeError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise RuntimeError(f"never: {what}")


def backend_address(name):
    for backend in get_json(ADMINS[0], "/status")["runners"]:
        if backend["name"] == name:
            return backend["address"]
    raise RuntimeError(f"no backend {name}")


class Process:
    """A process of the site, found by its pid file."""

    def __init__(self, name):
        self.name = name
        with open(f"{DIR}/{name}.pid", encoding="ascii") as file:
            self.pid = int(file.read())
        with open(f"/proc/{self.pid}/cmdline", "rb") as file:
            self.command = [w.decode() for w in file.read().split(b"\0")[:-1]]

    def start(self, replace=None):
        command = list(self.command)
        for flag, value in (replace or {}).items():
            command[command.index(flag) + 1] = value
        with open(f"{DIR}/{self.name}.log", "ab") as log:
            child = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.pid = child.pid
        started.append(child)
        return child


started = []


def held_by(name):
    """Counts the streams of the request that hold engine memory."""
    count = 0
    for address in LEDGERS:
        ledger = get_json(address, "/ledger") if address in ENGINES else {}
        for stream in ledger.get("held", []):
            if stream["request"] == name:
                count += 1
    return count


def begin_stream(address):
    connection = http.client.HTTPConnection(address, timeout=30)
    body = json.dumps(
        {
            "model": "lexllm",
            "prompt": f"@500 #1500 {time.monotonic()}",
            "max_tokens": 1500,
            "stream": True,
        }
    )
    connection.request("POST", "/v1/completions", body)
    answer = connection.getresponse()
    answer.readline()
    return connection, answer.getheader("jt-request-id")


def sees_dead(admin, name):
    for member in get_json(admin, "/status")["members"]:
        if member["name"] == name:
            return member["state"] == "dead"
    return True


def names_of(admins):
    return [get_json(a, "/status")["instance"]["name"] for a in admins]


def run_death(run):
    """Kills one instance in the middle of a stream."""
    index = run % len(ADMINS)
    name = NAMES[index]
    process = PROCESSES[name]
    connection, request = begin_stream(CALLERS[index])
    others = [a for i, a in enumerate(ADMINS) if i != index]
    local = [a for a in others if CENTRES[a] == CENTRES[ADMINS[index]]]
    begin = time.monotonic()
    os.kill(process.pid, signal.SIGKILL)
    connection.close()
    seen = wait_until(
        lambda: all(sees_dead(a, name) for a in local or others), "death noticed"
    )
    seen_all = wait_until(
        lambda: all(sees_dead(a, name) for a in others), "death known to all"
    )
    free = wait_until(lambda: held_by(request) == 0, "memory free")
    process.start(
        {
            "--listen": CALLERS[index],
            "--admin-listen": ADMINS[index],
        }
    )
    wait_until(
        lambda: call(ADMINS[index], "GET", "/health")[0] == 200, "back again"
    )
    wait_until(
        lambda: all(not sees_dead(a, name) for a in others), "known again"
    )
    return {
        "instance killed: known to be dead in its data centre": seen - begin,
        "instance killed: known to be dead everywhere": seen_all - begin,
        "instance killed: its engine memory is free": free - begin,
    }


def lookups(stop):
    at = 0
    while not stop.is_set():
        try:
            call(CALLERS[at % len(CALLERS)], "GET", "/settle/positions/1")
        except (OSError, http.client.HTTPException):
            pass
        at += 1


def run_leaving(run):
    """Makes one plain server leave while lookups are running."""
    name = f"settle-{run % 3 + 1}"
    address = backend_address(name)
    stop = threading.Event()
    threads = [threading.Thread(target=lookups, args=(stop,)) for _ in range(8)]
    for thread in threads:
        thread.start()
    before = get_json(address, "/-/ledger")["runs"]
    wait_until(lambda: get_json(address, "/-/ledger")["runs"] > before, "load")
    begin = time.monotonic()
    call(address, "POST", "/-/faults", json.dumps({"fault": "leaving"}))
    runs = get_json(address, "/-/ledger")["runs"]
    last = begin
    while time.monotonic() < begin + 5:
        now_runs = get_json(address, "/-/ledger")["runs"]
        if now_runs != runs:
            runs = now_runs
            last = time.monotonic()
        time.sleep(POLL_S)
    stop.set()
    for thread in threads:
        thread.join()
    if name not in PROCESSES:
        PROCESSES[name] = Process(name)
    process = PROCESSES[name]
    os.kill(process.pid, signal.SIGTERM)
    wait_until(lambda: not os.path.exists(f"/proc/{process.pid}/fd/0"), "gone")
    process.start({"--listen": address})
    wait_until(
        lambda: all(
            any(
                b["name"] == name and b["listed"] and not b["leaving"]
                for b in get_json(a, "/status")["runners"]
            )
            for a in ADMINS
        ),
        "server back",
    )
    return {"server leaving: the last call that it got": last - begin}


def run_configuration(run):
    """Applies a changed configuration; waits until it is in force at all instances."""
    config = get_json(ADMINS[0], "/config")
    text = config["content"].replace(
        "queue_max: 2000", "queue_max: 1999"
    ) if run % 2 == 0 else config["content"].replace(
        "queue_max: 1999", "queue_max: 2000"
    )
    begin = time.monotonic()
    status, data = call(
        ADMINS[run % len(ADMINS)],
        "POST",
        f"/config?base={config['revision']}&author=measure",
        text,
    )
    answered = time.monotonic()
    if status != 200:
        raise RuntimeError(f"apply: {status} {data}")
    revision = json.loads(data)["revision"]
    everywhere = wait_until(
        lambda: all(
            get_json(a, "/config")["revision"] >= revision for a in ADMINS
        ),
        "in force",
    )
    return {
        "configuration: apply answered": answered - begin,
        "configuration: in force at all instances": everywhere - begin,
    }


def print_table(times):
    print("| what | runs | median, s | worst, s |")
    print("|---|---|---|---|")
    for what, values in times.items():
        print(
            f"| {what} | {len(values)} | {statistics.median(values):.3f} "
            f"| {max(values):.3f} |"
        )


NAMES = names_of(ADMINS)
CENTRES = {
    a: get_json(a, "/status")["instance"]["data_centre"] for a in ADMINS
}
ENGINES = {
    b["address"]
    for b in get_json(ADMINS[0], "/status")["runners"]
    if not b["name"].startswith("settle")
}
PROCESSES = {name: Process(name) for name in NAMES}
TIMES = {}
try:
    for number in range(RUNS):
        for part in (run_configuration, run_death, run_leaving):
            for what, value in part(number).items():
                TIMES.setdefault(what, []).append(value)
        print(f"run {number + 1} of {RUNS}", file=sys.stderr)
    print_table(TIMES)
finally:
    for child in started:
        if child.poll() is None:
            child.terminate()
    for child in started:
        try:
            child.wait(10)
        except subprocess.TimeoutExpired:
            child.kill()
