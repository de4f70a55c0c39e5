"""The node that watches the store is cut off from it in silence, and the configuration changes."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from mesh import CannotRun, configuration, main, route  # noqa: E402

CUT_S = 5.5
CHANGES = 3
PAUSE_S = 6
PER_S = 20


def make_request():
    return {"host": "shop.example", "target": "/moved/item"}


async def find_watcher(mesh):
    """The node that watches the store, right after it has asked for changes again."""
    watcher = max(mesh.nodes, key=lambda node: node.store_port.watched_at)
    last = watcher.store_port.watched_at
    ends = time.monotonic() + 5
    while watcher.store_port.watched_at == last:
        if time.monotonic() > ends:
            raise CannotRun("no node watches the store")
        await asyncio.sleep(0.01)
    return watcher


async def scenario(make_mesh, record, has_trouble):
    mesh = make_mesh()
    nodes = [mesh.add_node(name, "zone-a", service) for name, service in
             (("parts-0", "parts"), ("views-0", "views"), ("front-0", "front"),
              ("front-1", "front"))]
    services = ["parts", "views", "front"]

    def put_config(version, service):
        mesh.store.operator_put("op/config", configuration(
            version, [route("r-moved", "shop.example", "/moved/", service)], services))
        record.note(f"version {version} confirmed, /moved/ goes to {service}")
        return time.monotonic()
    put_config(7, "parts")
    for node in nodes:
        await node.start()
    for node in nodes:
        await mesh.add_endpoint(node, "v1")
    await mesh.wait_ready()
    # The duty of watching has settled 10 s after the start.
    await asyncio.sleep(12)
    for node in nodes:
        mesh.add_consumer(node, make_request, PER_S)
    changes = []
    for number in range(CHANGES):
        old, new = ("parts", "views") if number % 2 == 0 else ("views", "parts")
        await asyncio.sleep(PAUSE_S)
        watcher = await find_watcher(mesh)
        if has_trouble:
            watcher.store_port.cut()
            record.note(f"{watcher.name} cut off from the store")
        await asyncio.sleep(0.05)
        changes.append((put_config(9 + 2 * number, new), old, watcher.name))
        await asyncio.sleep(CUT_S)
        if has_trouble:
            watcher.store_port.join()
            record.note(f"{watcher.name} reaches the store again")
    for consumer in mesh.consumers:
        await consumer.stop()
    return judge(mesh, record, changes)


def judge(mesh, record, changes):
    bound = mesh.bounds["configApply"] / 1000
    rows = {row["id"]: row for consumer in mesh.consumers for row in consumer.sent}
    late = 0
    for number, (confirmed, old, watcher) in enumerate(changes):
        # The node that was cut off is not in touch; the others are, all the while.
        by_old = [rows[run["id"]]["at"] - confirmed for run in mesh.runs()
                  if run["service"] == old and run["id"] in rows and
                  rows[run["id"]]["node"] != watcher and
                  confirmed < rows[run["id"]]["at"] < confirmed + CUT_S]
        past = [after for after in by_old if after > bound]
        record.note(f"change {number + 1}: the last request that the old service ran was sent "
                    f"{max(by_old, default=0):.2f} s after the confirmation, {len(past)} later than "
                    "configApply")
        late += len(past)
    return late == 0

main(FOLDER, scenario)
