"""Stand-ins for the platform around the real nodes: store, endpoints and consumers, on loopback.

One process runs all stand-ins on one event loop; nodes are separate processes, started with the
command of deploy/system.toml and with settings rendered from its template.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BOUNDS = {"seedLag": 3, "reuseAfter": 2, "stableWindow": 3000, "ack": 4000, "catchUp": 4,
          "drain": 2000, "grace": 6, "lossSlack": 200, "configApply": 2000, "rollbackSlack": 250,
          "maxStretch": 5000, "retryBudgetRatio": 0.2, "budgetWindow": 10, "budgetSlack": 64,
          "exposeShare": 0.1, "exposeSlack": 50, "rollback": 5000, "recovery": 15}
TAKEN_PORTS = set()
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable"}


def free_ports(count):
    """Ports below the range that outgoing connections take theirs from. Cases that run at the same time
    are given ranges of their own by FIRST_PORT."""
    first = int(os.environ.get("FIRST_PORT", "12000"))
    ports = []
    while len(ports) < count:
        port = random.randrange(first, first + 10000)
        with socket.socket() as opened:
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


def render(template, fields):
    """Fills the placeholders and sections that DEPLOY.md describes, as far as the template uses them."""
    def look_up(path, scope):
        if path == ".":
            return scope["."] if "." in scope else scope
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill(text, scope):
        def section(match):
            value = look_up(match.group(1), scope)
            if value is None or value is False:
                return ""
            return fill(match.group(2), {**scope, ".": value})
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def value_of(match):
            value = look_up(match.group(1), scope)
            if match.group(2):
                return json.dumps(value)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)
    return fill(template, fields)


async def read_head(reader):
    """The start line and the headers of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body; None if the stream ends before it is complete."""
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(part[:-2])
        length = int(headers.get("content-length", 0))
        return await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def message(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store as PROTOCOL.md describes it. Each node reaches it at a port of its own."""

    def __init__(self, first_revision=1):
        self.revision = first_revision
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.ports = []
        self.is_down = False

    def open_port(self):
        port = StorePort(self)
        self.ports.append(port)
        return port

    def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (ends, _) in self.leases.items() if ends <= now]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, removed):
        """One change; all its keys get the same revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created,
                    "lease": lease}
            self.items[key] = item
            self.history.append((self.revision, dict(item)))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, {"key": key, "revision": self.revision,
                                                     "isGone": True}))
        del self.history[:-5000]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def operator_put(self, key, value):
        """A write of the operator; its return is the confirmation."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        revision = self.apply([(key, text, 0)], [])
        return revision

    def read_json(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def serve(self, port, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if body is None:
                    break
                if self.is_down:
                    break
                await port.wait_until_joined()
                method, target, _ = head[0].split(" ", 2)
                if target.startswith("/v1/kv-watch"):
                    port.watched_at = time.monotonic()
                status, answer = await self.answer(method, target, body)
                if self.is_down:
                    break
                await port.wait_until_joined()
                data = json.dumps(answer).encode()
                writer.write(message(status, data, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        self.expire()
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        fields = json.loads(body) if body else {}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            return 200, self.range(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.transact(fields)
        if path == "/v1/kv-lease":
            ttl = fields["ttl_time"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_time": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.startswith("/v1/kv-") else None
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_time": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def range(self, query):
        keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and
                      key > query.get("after", ""))
        return {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500,
                "currentRev": self.revision}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, fields):
        expected = fields.get("expect", [])
        current = {row["key"]: self.items[row["key"]]["revision"] if row["key"] in self.items else 0
                   for row in expected}
        if any(current[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected
                                   if row["key"] in self.items]}
        puts = [(put["key"], put["value"], put.get("lease", 0)) for put in fields.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        return 200, {"revision": self.apply(puts, fields.get("remove", []))}


class StorePort:
    """The way of one node to the store. A cut is silent: what is open stands still, and new connections
    hang, since nothing accepts them and the queue of connections is full."""

    def __init__(self, store):
        self.store = store
        self.socket = socket.socket()
        self.socket.bind((HOST, free_ports(1)[0]))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.number = self.socket.getsockname()[1]
        self.joined = asyncio.Event()
        self.joined.set()
        self.fillers = []
        self.watched_at = 0.0
        self.accepting = asyncio.create_task(self.accept())
        self.connections = set()

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=accepted, limit=1 << 22)
            serving = asyncio.create_task(self.store.serve(self, reader, writer))
            self.connections.add(serving)
            serving.add_done_callback(self.connections.discard)

    async def wait_until_joined(self):
        await self.joined.wait()

    def cut(self):
        self.joined.clear()
        self.accepting.cancel()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.number))
            self.fillers.append(filler)

    def join(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.joined.set()
        self.accepting = asyncio.create_task(self.accept())

    def close(self):
        self.accepting.cancel()
        for serving in self.connections:
            serving.cancel()
        for opened in self.fillers + [self.socket]:
            opened.close()


class Endpoint:
    """An application endpoint beside a node: sends status reports and runs requests."""

    def __init__(self, mesh, node, service, version, slots=12, work_ms=20.0, is_bad=None):
        self.mesh, self.node, self.service, self.version = mesh, node, service, version
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.slots, self.work_ms, self.is_bad = slots, work_ms, is_bad
        self.sequence, self.state, self.running = 0, "ready", 0
        self.runs = []
        self.confirmed = None
        self.server = None
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.node.app_port)
        self.beats = asyncio.create_task(self.send_beats())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()

    def report(self, state=None):
        self.sequence += 1
        return {"service": self.service, "address": f"{HOST}:{self.node.app_port}",
                "zone": self.node.zone, "version": self.version, "slots": self.slots,
                "state": state or self.state, "coldLeft": 0, "sequence": self.sequence,
                "born": self.born}

    async def tell(self, method, fields):
        """The status of a status report; None if there was no answer within a second."""
        body = json.dumps(fields).encode() if fields is not None else b""
        try:
            return await asyncio.wait_for(
                call(self.node.control_port, method, f"/v1/instances/{self.id}", body), 1.0)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            return None

    async def send_beats(self):
        while True:
            status = await self.tell("PUT", self.report())
            if status == 200 and self.state == "draining" and self.confirmed is None:
                self.confirmed = time.monotonic()
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if body is None:
                    break
                await self.run(head, body, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def run(self, head, body, writer):
        method, target, _ = head[0].split(" ", 2)
        headers = head[1]
        request_id = headers.get("x-request-id", "")
        if target == "/health":
            writer.write(message(200 if self.state == "ready" else 503, b"",
                                 [("X-Instance-Id", self.id)]))
            return
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(message(421, b"", [("X-Instance-Id", self.id), ("X-Request-Id", request_id)]))
            return
        if self.running >= self.slots:
            writer.write(message(503, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
            return
        self.running += 1
        is_failing = self.is_bad is not None and self.is_bad(target)
        self.runs.append({"at": time.monotonic(), "id": request_id, "target": target,
                          "method": method, "service": self.service, "version": self.version,
                          "caller": headers.get("x-caller-service", ""), "bytes": len(body),
                          "status": 500 if is_failing else 200})
        await asyncio.sleep(self.work_ms / 1000)
        self.running -= 1
        answer = f"{self.service} {self.version} {request_id}".encode()
        writer.write(message(500 if is_failing else 200, answer,
                             [("X-Request-Id", request_id), ("X-Server-Stamp", f"stamp.{self.id}"),
                              ("X-Server-Load", f"{self.running},0,{self.slots}")]))


async def call(port, method, target, body=b"", headers=()):
    """The status of one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        return int(head[0].split(" ")[1]) if head else None
    finally:
        writer.close()


class Node:
    def __init__(self, mesh, name, zone, service):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        (self.caller_port, self.control_port, self.ready_port, self.link_port, self.metrics_port,
         self.app_port) = free_ports(6)
        self.process = None
        self.store_port = None
        self.starts = 0

    async def start(self):
        if self.store_port is None:
            self.store_port = self.mesh.store.open_port()
        fields = {"node": self.name, "region": "region-1", "zone": self.zone, "service": self.service,
                  "appAddr": f"{HOST}:{self.app_port}", "ip": HOST,
                  "portRange": [self.link_port, self.metrics_port],
                  "listen": {"outbound": f"{HOST}:{self.caller_port}",
                             "control": f"{HOST}:{self.control_port}",
                             "ready": f"{HOST}:{self.ready_port}"},
                  "limits": {"linkMbps": 1000.0}, "bounds": self.mesh.bounds,
                  "provider": {"address": f"{HOST}:{self.store_port.number}"}}
        template = (ROOT / self.mesh.role["template"]).read_text()
        settings = self.mesh.folder / f"{self.name}.toml"
        settings.write_text(render(template, fields))
        command = self.mesh.role["run"].split()
        command[command.index("--settings") + 1] = str(settings)
        self.starts += 1
        log = open(self.mesh.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log,
                                                            stderr=log)
        log.close()

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def send_signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return await asyncio.wait_for(call(self.ready_port, "GET", "/v1/readiness"), 1) == 200
        except (asyncio.TimeoutError, ConnectionError, OSError):
            return False

    def log_text(self):
        return "".join(path.read_text(errors="replace")
                       for path in sorted(self.mesh.folder.glob(f"{self.name}.*.log")))


class Consumer:
    """Sends requests to one node, each on a connection of its own, at a steady rate."""

    def __init__(self, mesh, node, make_request, per_s):
        self.mesh, self.node, self.make_request, self.per_s = mesh, node, make_request, per_s
        self.sent = []
        self.task = None
        self.pending = set()

    def start(self):
        self.task = asyncio.create_task(self.run())

    async def stop(self):
        if self.task:
            self.task.cancel()
        if self.pending:
            await asyncio.wait(self.pending, timeout=5)

    async def run(self):
        due = time.monotonic()
        while True:
            request = asyncio.create_task(self.send())
            self.pending.add(request)
            request.add_done_callback(self.pending.discard)
            due += 1 / self.per_s
            await asyncio.sleep(max(0, due - time.monotonic()))

    async def send(self):
        row = {"id": f"{random.getrandbits(64):016x}", "at": time.monotonic(), "node": self.node.name,
               "status": None, "body": ""}
        self.sent.append(row)
        row.update(self.make_request())
        await exchange(self.node.caller_port, row)


async def exchange(port, row):
    """Sends the request that the row names and notes its answer in it."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:
        row["error"] = str(error)
        return
    try:
        lines = [f"{row.get('method', 'GET')} {row['target']} HTTP/1.1", f"Host: {row['host']}",
                 f"X-Request-Id: {row['id']}", f"X-Deadline-Ms: {row.get('deadline_ms', 3000)}"]
        body = row.get("send", b"")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

        async def read():
            head = await read_head(reader)
            if head is None:
                row["error"] = "closed without an answer"
                return
            answer = await read_body(reader, head[1])
            row["status"] = int(head[0].split(" ")[1])
            row["stamp"] = head[1].get("x-server-stamp", "")
            row["answer_id"] = head[1].get("x-request-id", "")
            row["body"] = (answer or b"").decode("latin-1")
        await asyncio.wait_for(read(), row.get("deadline_ms", 3000) / 1000 + 1)
    except (asyncio.TimeoutError, OSError) as error:
        row["error"] = repr(error)
    finally:
        row["ended"] = time.monotonic()
        writer.close()


class Mesh:
    def __init__(self, first_revision=1):
        self.folder = Path(tempfile.mkdtemp(prefix="mesh-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["node"]
        self.bounds = dict(BOUNDS)
        self.store = Store(first_revision)
        self.nodes, self.endpoints, self.consumers = [], [], []

    def add_node(self, name, zone, service):
        node = Node(self, name, zone, service)
        self.nodes.append(node)
        return node

    async def add_endpoint(self, node, version, **options):
        endpoint = Endpoint(self, node, node.service, version, **options)
        self.endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    def add_consumer(self, node, make_request, per_s):
        consumer = Consumer(self, node, make_request, per_s)
        self.consumers.append(consumer)
        consumer.start()
        return consumer

    async def wait_ready(self, limit_s=20):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if all([await node.is_ready() for node in self.nodes if node.process]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes did not become ready")

    async def close(self):
        for consumer in self.consumers:
            await consumer.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
            await node.kill()
        for port in self.store.ports:
            port.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)

    def runs(self):
        return sorted((run for endpoint in self.endpoints for run in endpoint.runs),
                      key=lambda run: run["at"])


class CannotRun(Exception):
    pass


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConns": 130, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
                       "idleTimeout": 15000}}


def route(name, host, prefix, service, kind="idempotent", timeout=1500):
    return {"name": name, "host": host, "prefix": prefix, "type": kind, "timeout": timeout,
            "targetLatency": 500, "priority": 1, "service": service, "maxAttempts": 2}


class Record:
    """What was sent, answered and run, for record.txt of a case."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.lines = []

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def add(self, mesh):
        for consumer in mesh.consumers:
            for row in consumer.sent:
                self.add_row(row)
        for run in mesh.runs():
            self.lines.append(f"{run['at'] - self.began:8.3f} run {run['id']} {run['method']} "
                              f"{run['target']} at {run['service']} {run['version']} caller "
                              f"{run['caller']} -> {run['status']}")

    def add_row(self, row):
        self.lines.append(f"{row['at'] - self.began:8.3f} sent {row['id']} {row.get('method', 'GET')} "
                          f"{row.get('target')} to {row['node']} -> {row['status']} "
                          f"{row.get('body', '')[:80]} {row.get('error', '')}".rstrip())

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def main(folder, scenario):
    """Runs a case: scenario(mesh_factory, record, has_trouble) returns whether the rule held."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    meshes = []

    def make_mesh(**options):
        meshes.append(Mesh(**options))
        return meshes[-1]

    async def run():
        try:
            return await asyncio.wait_for(scenario(make_mesh, record, has_trouble), 115)
        finally:
            for mesh in meshes:
                await mesh.close()
                record.add(mesh)
            record.write()
    try:
        holds = asyncio.run(run())
    except Exception as error:  # a case that cannot run says so by its exit code
        print("could not run:", repr(error))
        raise SystemExit(2)
    print("the rule held" if holds else "the rule was broken")
    raise SystemExit(0 if holds else 1)
