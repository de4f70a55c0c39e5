"""Stand-ins for the users' platform, and what a case needs to run a small deployment on loopback.

The store, the endpoints and the consumers run in this process, the nodes of the project as processes of
their own. All of it follows the users' pages: PROTOCOL.md for what is spoken, DEPLOY.md for the settings.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "cyclamenhatch"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {"seedLag": 3, "reuseAfter": 2, "stableWindow": 3000, "ack": 4000, "catchUp": 4, "drain": 2000,
          "grace": 6, "lossSlack": 200, "configApply": 2000, "rollbackSlack": 250, "maxStretch": 5000,
          "retryBudgetRatio": 0.2, "budgetWindow": 10, "budgetSlack": 64, "exposeShare": 0.1,
          "exposeSlack": 50, "rollback": 5000, "recovery": 15}


class CaseError(Exception):
    """The case could not run."""


# ------------------------------------------------------------------ record


class Record:
    """Writes record.txt: one line for each thing sent, answered or run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# ------------------------------------------------------------------ HTTP


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """The first line and the headers; None when the connection ends before a head."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
    return Message(lines[0], headers, b"")


async def read_body(reader, message, until_close=False):
    if message.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = message.get("Content-Length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


def format_head(first, headers):
    return (first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode("latin-1")


class Service:
    """An HTTP server; `handle(message)` returns (status, headers, body)."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 22)
        return self

    async def stop(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            self.server = None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            message.body = await read_body(reader, message)
            answer = await self.handle(message)
            if answer is None:
                return
            status, headers, body = answer
            writer.write(format_head(f"HTTP/1.1 {status} X", [*headers, ("Content-Length", len(body))]) + body)
            await writer.drain()

    async def handle(self, message):
        raise NotImplementedError


async def http(address, method, target, headers=(), body=b"", timeout=5.0):
    """One exchange on a connection of its own. Returns the answer, or None when there is none."""
    ip, port = address
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        sent = list(headers)
        if body or method in ("POST", "PUT"):
            sent.append(("Content-Length", len(body)))
        writer.write(format_head(f"{method} {target} HTTP/1.1", sent) + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None
    finally:
        writer.close()


async def read_answer(reader):
    answer = await read_head(reader)
    if answer is None:
        return None
    answer.body = await read_body(reader, answer, until_close=True)
    return answer


# ------------------------------------------------------------------ the platform's store


class Store(Service):
    """The platform's metadata store, form `kv`."""

    def __init__(self, ip, port, record):
        super().__init__(ip, port)
        self.record = record
        self.items = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Event()
        self.leases = {}
        self.next_lease = 7000
        self.era = None
        self.is_down = False
        # Ports of the callers whose watch is waiting.
        self.watching = {}

    # -- state

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}
        self._announce(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._announce({"key": key, "revision": self.revision, "isGone": True})

    def _announce(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lapsed(self):
        now = time.monotonic()
        for lease in [each for each, (_, until) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def value_of(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    # -- calls

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            message.body = await read_body(reader, message)
            if self.is_down:
                return
            is_watch = "/v1/kv-watch?" in message.first
            peer = writer.get_extra_info("peername")
            if is_watch:
                self.watching[peer] = time.monotonic()
            status, body = await self.answer(message)
            if is_watch:
                self.watching[peer] = time.monotonic()
            if self.is_down:
                return
            text = json.dumps(body).encode() if body is not None else b""
            headers = [("Content-Type", "application/json"), ("Content-Length", len(text))]
            if self.era is not None:
                headers.append(("Store-Era", self.era))
            writer.write(format_head(f"HTTP/1.1 {status} X", headers) + text)
            await writer.drain()

    async def answer(self, message):
        self._end_lapsed()
        method, target, _ = message.first.split()
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        body = json.loads(message.body) if message.body else {}
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "currentRev": self.revision}) if item else (404, {"currentRev": self.revision})
        if path == "/v1/kv-range":
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(query.get("prefix", "")) and k > query.get("after", "")]
            return 200, {"items": found[:500], "hasMore": len(found) > 500, "currentRev": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttl_time"] / 1000, time.monotonic() + body["ttl_time"] / 1000)
            return 200, {"lease": self.next_lease, "ttl_time": body["ttl_time"]}
        number = int(path.rsplit("/", 1)[1]) if re.search(r"/\d+$", path) else 0
        if path.startswith("/v1/kv-keep/"):
            if number not in self.leases:
                return 404, None
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_time": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(number)
            return 200, {}
        return 404, None

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        if after > self.revision:
            return 410, {"currentRev": self.revision}
        while True:
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in body["expect"] if r["key"] in self.items]
                return 412, {"items": rows, "currentRev": self.revision}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, None
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, None
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    # -- the operator

    def write_config(self, config):
        """The operator writes a configuration; from here on it is confirmed."""
        self.put("op/config", json.dumps(config).encode())
        self.record(f"operator config version={config['version']} confirmed")


def make_config(version, routes, services, tenants=None):
    config = {"version": version,
              "routes": [{"timeout": 4000, "maxAttempts": 2, "priority": 1, **route} for route in routes],
              "services": [{"name": name, "healthPath": "/health", "maxConns": 130, "protocol": "h1",
                            "tls": False} for name in services],
              "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
                         "idleTimeout": 15000}}
    if tenants is not None:
        config["tenants"] = tenants
    return config


# ------------------------------------------------------------------ endpoints


class Endpoint(Service):
    """An application endpoint beside a node: `slots` requests at a time, one at a time on a connection.

    `behave(message)` may return (status, headers, body) in place of the usual answer, after the run.
    """

    def __init__(self, node, instance, service, slots=8, work_s=0.05, version="v1"):
        super().__init__(node.ip, node.ports["app"])
        self.node, self.record = node, node.record
        self.instance, self.service, self.version = instance, service, version
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.arrivals = []
        self.behave = None
        self.beats = None

    async def start(self):
        await super().start()
        self.beats = asyncio.create_task(self._beat())
        return self

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        await super().stop()

    async def _beat(self):
        while True:
            try:
                await self.report()
            except (OSError, ValueError):
                pass
            await asyncio.sleep(1.5)

    def make_report(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.node.zone,
                "version": self.version, "slots": self.slots, "state": self.state, "coldLeft": 0,
                "sequence": self.sequence, "born": self.born}

    async def send_report(self, report):
        answer = await http(self.node.address("control"), "PUT", f"/v1/instances/{self.instance}",
                            [("Content-Type", "application/json")], json.dumps(report).encode(), 1.0)
        return answer is not None and answer.status == 200

    async def report(self):
        return await self.send_report(self.make_report())

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            method, target, _ = message.first.split()
            if target == "/health":
                writer.write(format_head("HTTP/1.1 200 OK", [("X-Instance-Id", self.instance),
                                                              ("Content-Length", 0)]))
                continue
            request = message.get("X-Request-Id")
            self.arrivals.append((request, self.record.now()))
            self.record(f"endpoint {self.instance} got {method} {target} id={request}")
            expected = message.get("X-Expect-Instance")
            if expected and expected != self.instance:
                await read_body(reader, message)
                self._answer(writer, message, 421, [("X-Not-Executed", "1"), ("X-Instance-Id", self.instance)], b"")
                continue
            message.body = await read_body(reader, message)
            if self.running >= self.slots:
                self._answer(writer, message, 503, [("X-Not-Executed", "1")], b"")
                continue
            self.running += 1
            self.runs.append((request, self.record.now()))
            self.record(f"endpoint {self.instance} runs id={request} caller={message.get('X-Caller-Service')}")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            answer = self.behave(message) if self.behave else None
            if answer is None:
                answer = (200, [("X-Server-Stamp", f"{self.instance}.{request}")], f"run {request}\n".encode())
            self._answer(writer, message, *answer)
            await writer.drain()

    def _answer(self, writer, message, status, headers, body):
        request = message.get("X-Request-Id")
        self.record(f"endpoint {self.instance} answers id={request} status={status}")
        writer.write(format_head(f"HTTP/1.1 {status} X", [("X-Request-Id", request), *headers,
                                                           ("X-Server-Load", f"{self.running},0,{self.slots}"),
                                                           ("Content-Length", len(body))]) + body)


# ------------------------------------------------------------------ nodes


def render(template, fields):
    """Fills in the settings template as DEPLOY.md tells it, as far as the project's template goes."""

    def value_of(name, scope):
        current = scope
        for part in name.split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            elif isinstance(current, dict):
                current = current.get(part)
            else:
                return None
        return current

    def section(match):
        value = value_of(match.group(1), fields)
        if value is None or value is False:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def place(match):
        value = value_of(match.group(1), fields)
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Node:
    """One machine: the project's process, with its settings, beside an endpoint's address."""

    def __init__(self, deployment, index, service, zone):
        self.deployment, self.record = deployment, deployment.record
        self.index, self.service, self.zone = index, service, zone
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.{deployment.net}.1.{index}"
        self.ports = deployment.ports
        self.process = None

    def address(self, port):
        return self.ip, self.ports[port]

    def write_settings(self):
        ports = self.ports
        fields = {"node": self.name, "region": "lombardia", "zone": self.zone, "service": self.service,
                  "ip": self.ip, "appAddr": f"{self.ip}:{ports['app']}",
                  "portRange": [ports["first"], ports["last"]],
                  "listen": {"outbound": f"{self.ip}:{ports['outbound']}", "ready": f"{self.ip}:{ports['ready']}",
                             "control": f"{self.ip}:{ports['control']}", "inbound": f"{self.ip}:{ports['inbound']}"},
                  "provider": {"address": f"{self.deployment.store.ip}:{self.deployment.store.port}"},
                  "limits": {"linkMbps": 1000.0}, "bounds": self.deployment.bounds}
        template = (ROOT / "deploy" / "node.toml.template").read_text()
        path = self.deployment.folder / f"{self.name}.toml"
        path.write_text(render(template, fields))
        return path

    def start(self):
        settings = self.write_settings()
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CYCLAMENHATCH_NODE_FILE"] = str(settings)
        self.process = subprocess.Popen([str(PROGRAM), "node", "--settings", str(settings)], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
        self.record(f"node {self.name} started")

    def signal(self, number):
        self.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        answer = await http(self.address("ready"), "GET", "/v1/readiness", timeout=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready after {timeout} s")


class Deployment:
    """A store and a few nodes with their endpoints, on loopback addresses and free ports.

    The nodes' settings and logs lie in a temporary folder, which KEEP_LOGS in the environment keeps.
    """

    def __init__(self, record, bounds=None):
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.net = random.randint(20, 200)
        self.ports = self._choose_ports()
        self.store = Store(f"127.{self.net}.0.1", self.ports["store"], record)
        self.nodes = []

    def _choose_ports(self):
        names = ["store", "app", "inbound", "outbound", "ready", "control", "first"]
        for _ in range(50):
            base = random.randint(12000, 30000)
            numbers = dict(zip(names, range(base, base + len(names))))
            numbers["last"] = base + len(names) + 8
            if all(is_free(f"127.{self.net}.1.{host}", port) for host in (1, 2) for port in numbers.values()):
                return numbers
        raise CaseError("no free ports")

    def add_node(self, service, zone="milano-a"):
        node = Node(self, len(self.nodes) + 1, service, zone)
        self.nodes.append(node)
        return node

    async def start(self):
        await self.store.start()
        for node in self.nodes:
            node.start()
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        await self.store.stop()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_watchers(deployment):
    """The nodes whose connections the store has had a watch on within the last three seconds."""
    lately = time.monotonic() - 3
    ports = {peer[1] for peer, at in deployment.store.watching.items() if at > lately}
    inodes = set()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        remote_port = int(columns[2].split(":")[1], 16)
        if remote_port == deployment.store.port and int(columns[1].split(":")[1], 16) in ports:
            inodes.add(f"socket:[{columns[9]}]")
    found = []
    for node in deployment.nodes:
        folder = pathlib.Path(f"/proc/{node.process.pid}/fd")
        if any(os.readlink(each) in inodes for each in folder.iterdir()):
            found.append(node)
    return found


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


# ------------------------------------------------------------------ consumers


NEXT_ID = iter(range(1, 1 << 40))


def new_id():
    return f"{os.getpid():08x}{next(NEXT_ID):08x}"


async def call(node, method, host, target, deadline_ms=3000, body=b"", headers=(), request=None, timeout=None):
    """One consumer attempt on a new connection. Returns (id, answer or None)."""
    request = request or new_id()
    node.record(f"consumer at {node.name} sends {method} {host}{target} id={request}")
    answer = await http(node.address("outbound"), method, target,
                        [("Host", host), ("X-Request-Id", request), ("X-Deadline-Ms", deadline_ms), *headers],
                        body, timeout or deadline_ms / 1000 + 1)
    status = answer.status if answer else "none"
    stamp = answer.get("X-Server-Stamp", "-") if answer else "-"
    after = answer.get("Retry-After", "-") if answer else "-"
    node.record(f"consumer at {node.name} gets id={request} status={status} stamp={stamp} retry_after={after}")
    return request, answer


# ------------------------------------------------------------------ running a case


def run_case(folder, case, seconds=115):
    """Runs `case(record, has_trouble)`, a coroutine that returns True when the rule was broken."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    if not PROGRAM.exists():
        record("no program in target/: run the build of the deploy file")
        return NOT_RUN

    async def play():
        # A stop from outside ends the case in order, with all processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, has_trouble), seconds)

    try:
        is_broken = asyncio.run(play())
    except (CaseError, asyncio.CancelledError, asyncio.TimeoutError, OSError) as failure:
        record(f"could not run: {type(failure).__name__} {failure}")
        print(f"could not run: {type(failure).__name__} {failure}", file=sys.stderr)
        return NOT_RUN
    verdict = "broken" if is_broken else "held"
    record(f"rule {verdict}")
    print(f"rule {verdict}")
    return BROKEN if is_broken else HELD
