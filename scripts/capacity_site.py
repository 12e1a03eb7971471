"""Processes of a site on loopback, for scripts/capacity."""

import json
import os
import re
import signal
import subprocess
import time
import urllib.error
import urllib.request

START_SECONDS = 10
STOP_SECONDS = 15
JOIN_SECONDS = 60
TICKS = os.sysconf("SC_CLK_TCK")
# Bytes of the Ethernet, IP and TCP headers, with TCP timestamps. Loopback has no
# Ethernet headers, but the networks of sites do.
SEGMENT_HEADER = 66
DATAGRAM_HEADER = 42
CHANNELS = ("member", "config", "claim", "ledger", "directory")


def fetch(address, path, body=None, method=None):
    """Makes an HTTP call; returns status and body."""
    data = body.encode() if isinstance(body, str) else body
    call = urllib.request.Request(f"http://{address}{path}", data=data,
                                  method=method)
    try:
        with urllib.request.urlopen(call, timeout=15) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """A child process that logs to a file."""

    def __init__(self, folder, name, command):
        self.name = name
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(command, stdout=subprocess.DEVNULL,
                                          stderr=log,
                                          stdin=subprocess.DEVNULL)

    def events(self, event):
        """Returns the log lines of the event as dictionaries."""
        found = []
        with open(self.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if f" event={event} " in line:
                    found.append(dict(re.findall(r'(\w+)=("[^"]*"|\S+)',
                                                 line)))
        return found

    def address(self, role=None):
        """Waits until the process listens; returns its address."""
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            for line in self.events("listening"):
                if role is None or line.get("role") == role:
                    return line["address"]
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} does not listen; see {self.log}")

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory(self):
        """Returns resident and private memory in bytes."""
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as status:
            found = dict(re.findall(r"^(\w+):\s+(\d+) kB", status.read(),
                                    re.MULTILINE))
        return int(found["VmRSS"]) * 1024, int(found["RssAnon"]) * 1024

    def stop(self, number=signal.SIGTERM):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self):
        try:
            self.child.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()


class Entry(Process):
    """An instance of jtentry."""

    def __init__(self, folder, build, name, data_centre, platform, arguments):
        super().__init__(folder, name, [
            os.path.join(build, "entry", "jtentry"), f"--name={name}",
            f"--data-centre={data_centre}", "--listen=127.0.0.1:0",
            "--admin-listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0",
            f"--platform={platform}", "--drain-delay-ms=0",
            "--drain-ms=2000"] + arguments)
        self.data_centre = data_centre

    def ready(self):
        self.admin = self.address("admin")

    def metrics(self):
        """Returns the metrics by series, and their sums over the series of a
        name."""
        values = {}
        for line in fetch(self.admin, "/metrics")[1].splitlines():
            if line.startswith("#"):
                continue
            series, _, value = line.rpartition(" ")
            name = series.split("{")[0]
            values[series] = float(value)
            if name != series:
                values[name] = values.get(name, 0) + float(value)
        return values

    def status(self):
        return json.loads(fetch(self.admin, "/status")[1])

    def sample(self):
        """Returns the values of which window() computes rates."""
        values = self.metrics()
        datagrams_sent = values['jt_peer_datagrams_total{direction="sent"}']
        datagrams_received = values['jt_peer_datagrams_total{direction="received"}']
        sent = (values["jt_peer_sent_bytes_total"]
                + values['jt_peer_datagram_bytes_total{direction="sent"}'])
        received = (values["jt_peer_received_bytes_total"]
                    + values['jt_peer_datagram_bytes_total{direction="received"}'])
        segments_sent = values['jt_peer_segments_total{direction="sent"}']
        segments_received = values['jt_peer_segments_total{direction="received"}']
        channels = {
            channel: values[f'jt_peer_channel_bytes_total{{channel="{channel}"}}']
            for channel in CHANNELS}
        return channels | {
            "cpu": self.cpu_seconds(),
            "payload": sent + received,
            "wire_sent": sent + SEGMENT_HEADER * segments_sent
            + DATAGRAM_HEADER * datagrams_sent,
            "wire_received": received + SEGMENT_HEADER * segments_received
            + DATAGRAM_HEADER * datagrams_received,
            "segments": segments_sent + segments_received + datagrams_sent
            + datagrams_received,
            "segments_sent": segments_sent + datagrams_sent,
            "messages": values["jt_peer_sent_messages_total"],
            "list_bytes": values["jt_list_read_bytes_total"],
            "polls": values["jt_poll_reads_total"],
            "links": values["jt_peer_links"],
            "polled": values["jt_polled_backends"],
        }


class Site:
    """A platform and instances; the context manager stops all of them on exit."""

    def __init__(self, build, folder, arguments=()):
        self.build = build
        self.folder = folder
        self.arguments = list(arguments)
        self.entries = []
        self.others = []

    def __enter__(self):
        self.platform = self.start("platform", [
            os.path.join(self.build, "standin", "jtplatform"),
            "--listen=127.0.0.1:0", "--append-rate=0", "--list-lag-ms=0"])
        self.platform_address = self.platform.address()
        return self

    def __exit__(self, *_):
        everything = self.entries + self.others
        for process in everything:
            process.stop()
        for process in everything:
            process.wait()

    def start(self, name, command):
        process = Process(self.folder, name, command)
        self.others.append(process)
        return process

    def start_entries(self, count, data_centres):
        """Starts instances, distributed evenly over the data centres; waits until
        each sees all others alive. Returns the seconds taken."""
        for i in range(count):
            self.entries.append(Entry(
                self.folder, self.build, f"e{i:03d}",
                f"dc{i % data_centres + 1}", self.platform_address,
                self.arguments))
        for entry in self.entries:
            entry.ready()
        return self.wait_for(lambda entry: self.alive(entry) == count)

    @staticmethod
    def alive(entry):
        return sum(member["state"] == "alive"
                   for member in entry.status()["members"])

    def wait_for(self, condition):
        """Waits until the condition holds at each instance; returns the seconds."""
        start = time.monotonic()
        for entry in self.entries:
            while not condition(entry):
                if time.monotonic() - start > JOIN_SECONDS:
                    raise RuntimeError(f"{entry.name} does not get there")
                time.sleep(0.1)
        return time.monotonic() - start

    def put(self, name, item):
        """Registers an item in the platform's list."""
        fetch(self.platform_address, f"/instances/{name}",
              json.dumps(item), "PUT")

    def apply(self, base, content):
        """Applies a configuration through the first instance; returns its revision."""
        status, body = fetch(self.entries[0].admin,
                             f"/config?base={base}&author=capacity", content)
        if status != 200:
            raise RuntimeError(f"apply: {status} {body}")
        return json.loads(body)["revision"]
