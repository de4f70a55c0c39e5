"""A small fleet of real processes on this machine, for the demo and the benches.

Starts the store stand-in, nodes and upstreams on loopback, and ends just the processes it started.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request


class FleetError(Exception):
    """A condition that the fleet needs was not met in time."""


def http(method, url, body=None, headers=None, timeout=5):
    """One HTTP request. Returns (status, parsed JSON or text); raises OSError when unreachable."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    if data is not None:
        request.add_header("content-type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, text = answer.status, answer.read().decode()
    except urllib.error.HTTPError as refused:
        status, text = refused.code, refused.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_for(what, check, timeout_s):
    """Polls until check() is true; raises FleetError naming what was waited for."""
    give_up = time.monotonic() + timeout_s
    while time.monotonic() < give_up:
        try:
            if check():
                return
        except (OSError, KeyError, TypeError, ValueError):
            pass
        time.sleep(0.05)
    raise FleetError(f"{what}: not within {timeout_s} s")


# Below the range of ephemeral ports, so that no outgoing connection takes a port that a process is
# about to listen on.
LISTEN_PORTS = iter(range(12000, 32000))


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Ports that are free at the moment; none is returned twice."""
    found = []
    while len(found) < count:
        port = next(LISTEN_PORTS)
        if is_free(port):
            found.append(port)
    return found


class Host:
    """One upstream host: its node, and the upstream beside it when it has one."""

    def __init__(self, fleet, name, data_centre, region):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.link_port, self.caller_port, self.admin_port, self.upstream_port = free_ports(4)
        self.node = None
        self.upstream = None

    @property
    def admin(self):
        return f"http://127.0.0.1:{self.admin_port}"

    @property
    def caller(self):
        return f"http://127.0.0.1:{self.caller_port}"

    def start_node(self, extra=""):
        contacts = [f"127.0.0.1:{each.link_port}" for each in self.fleet.hosts[:3] if each is not self]
        settings = self.fleet.folder / f"{self.name}.toml"
        settings.write_text(f"""
[identity]
node = "{self.name}"
region = "{self.region}"
data_centre = "{self.data_centre}"
[listen]
ip = "127.0.0.1"
link_port = {self.link_port}
caller_port = {self.caller_port}
admin_port = {self.admin_port}
[cluster]
key = "demo"
contacts = {json.dumps(contacts)}
[store]
url = "{self.fleet.store_url}"
[process]
workers = 2
{extra}
""")
        self.node = self.fleet.start(self.name, [self.fleet.build / "cyclamenhatch", "node",
                                                 "--settings", settings])

    def start_upstream(self, service, version, slots=16, service_ms=2, *faults):
        self.upstream = self.fleet.start(
            f"{self.name}-upstream",
            [self.fleet.standin, "upstream", "--port", self.upstream_port, "--node", self.admin,
             "--service", service, "--version", version, "--slots", slots,
             "--service-ms", service_ms, *faults])

    def get(self, path):
        return http("GET", self.admin + path)[1]

    def is_ready(self):
        return self.get("/v1/status")["is_ready"]


class Fleet:
    """Processes of one fleet; use as a context manager."""

    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.standin = self.build / "cyclamenhatch-standin"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cyclamenhatch-"))
        self.processes = []
        self.hosts = []
        # The stand-in serves faults and counters on the port after its own.
        self.store_port, _ = free_ports(2)
        self.store_url = f"http://127.0.0.1:{self.store_port}"

    def __enter__(self):
        # SIGTERM raises SystemExit, so that __exit__ ends the processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *_):
        for signal_number, patience_s in ((signal.SIGTERM, 5), (signal.SIGKILL, 5)):
            for process in self.processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal_number)
            give_up = time.monotonic() + patience_s
            for process in self.processes:
                try:
                    process.wait(max(0.01, give_up - time.monotonic()))
                except subprocess.TimeoutExpired:
                    pass

    def start(self, name, command):
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(each) for each in command], stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, env={**os.environ, "GLOG_logtostderr": "1"})
        self.processes.append(process)
        return process

    def start_store(self):
        self.start("store", [self.standin, "store", "--port", self.store_port])
        wait_for("store stand-in", lambda: http("GET", self.store_url + "/standin/counters"), 10)

    def store_faults(self, **faults):
        http("POST", f"http://127.0.0.1:{self.store_port + 1}/standin/faults", faults)

    def add_host(self, name, data_centre, region="region-1"):
        host = Host(self, name, data_centre, region)
        self.hosts.append(host)
        return host

    def cli(self, *arguments, node=None):
        """Runs the command line; returns (exit code, standard output and error)."""
        node = node or self.hosts[0]
        done = subprocess.run([str(self.build / "cyclamenhatch"), *map(str, arguments), "--node",
                               node.admin], capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout + done.stderr
