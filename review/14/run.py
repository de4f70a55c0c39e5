"""The operator raises the largest body while callers hold their connections open."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from mesh import HOST, configuration, main, read_body, read_head, route  # noqa: E402

CONNECTIONS = 30
LIMIT_BEFORE = 4_000
LIMIT_AFTER = 1_000_000
SMALL = 1_000
LARGE = 20_000
# Longer than configApply, shorter than four fifths of idleTimeout (15 s).
PAUSE_S = 5


class KeptConnection:
    """A consumer that keeps its connection open between its requests."""

    def __init__(self, node):
        self.node, self.reader, self.writer = node, None, None

    async def send(self, row):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.node.caller_port)
        lines = [f"POST {row['target']} HTTP/1.1", "Host: parts.example",
                 f"X-Request-Id: {row['id']}", "X-Deadline-Ms: 3000",
                 f"Content-Length: {len(row['send'])}"]
        row["at"] = time.monotonic()
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + row["send"])
        try:
            head = await asyncio.wait_for(read_head(self.reader), 4)
        except (asyncio.TimeoutError, ConnectionError) as error:
            row["error"] = repr(error)
            return
        if head is None:
            row["error"] = "closed without an answer"
            return
        row["status"] = int(head[0].split(" ")[1])
        row["body"] = ((await read_body(self.reader, head[1])) or b"").decode("latin-1")


async def send_all(connections, label, size, record):
    rows = [{"id": f"{label}{i:015x}", "target": "/parts/item", "send": b"x" * size,
             "status": None, "node": connection.node.name, "method": "POST"}
            for i, connection in enumerate(connections)]
    for connection, row in zip(connections, rows):
        await connection.send(row)
        record.add_row(row)
    record.note(f"{len(rows)} requests of {size} bytes: {sorted({str(row['status']) for row in rows})}")
    return rows


async def scenario(make_mesh, record, has_trouble):
    mesh = make_mesh()
    zones = ["zone-a", "zone-b", "zone-c"]
    parts = [mesh.add_node(f"parts-{i}", zones[i], "parts") for i in range(2)]
    caller = mesh.add_node("front-0", zones[2], "front")

    def put_config(version, size):
        config = configuration(version, [route("r-parts", "parts.example", "/parts/", "parts",
                                               kind="non_idempotent")], ["parts", "front"])
        config["limits"]["maxBodyBytes"] = size
        mesh.store.operator_put("op/config", config)
        record.note(f"version {version} confirmed, maxBodyBytes {size}")
    put_config(7, LIMIT_BEFORE if has_trouble else LIMIT_AFTER)
    for node in mesh.nodes:
        await node.start()
    for node in parts + [caller]:
        await mesh.add_endpoint(node, "v1")
    await mesh.wait_ready()
    await asyncio.sleep(3)
    kept = [KeptConnection(caller) for _ in range(CONNECTIONS)]
    rows = await send_all(kept, "a", SMALL, record)
    if has_trouble:
        put_config(9, LIMIT_AFTER)
    await asyncio.sleep(PAUSE_S)
    rows += await send_all(kept, "b", LARGE, record)
    # On connections of their own the same requests show that the configuration is in force here.
    fresh = [KeptConnection(caller) for _ in range(CONNECTIONS)]
    rows += await send_all(fresh, "c", LARGE, record)
    denied = [row for row in rows if row["status"] in (400, 403, 404, 413, 431)]
    record.note(f"{len(denied)} of {len(rows)} proper requests ended with a 4xx of the node")
    return len(denied) <= 5 + len(rows) / 500

main(FOLDER, scenario)
