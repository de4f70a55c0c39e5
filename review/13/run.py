"""The operator numbers versions by the clock in milliseconds, and one passes a multiple of 2^26."""
import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from mesh import configuration, main, route  # noqa: E402

STEP = 1 << 26
PER_S = 20
WATCHED_S = 15


def make_request():
    return {"host": "shop.example", "target": random.choice(["/moved/item", "/added/item"])}


async def scenario(make_mesh, record, has_trouble):
    mesh = make_mesh()
    # The next multiple of STEP on the clock of Unix milliseconds, or a minute before it.
    middle = (int(time.time() * 1000) // STEP + 1) * STEP - (0 if has_trouble else 60_000)
    before, after = middle - 3_000, middle + 4_000
    zones = ["zone-a", "zone-b", "zone-c"]
    parts = [mesh.add_node(f"parts-{i}", zones[i], "parts") for i in range(2)]
    views = [mesh.add_node(f"views-{i}", zones[i], "views") for i in range(2)]
    caller = mesh.add_node("front-0", zones[2], "front")
    services = ["parts", "views", "front"]
    mesh.store.operator_put("op/config", configuration(
        before, [route("r-moved", "shop.example", "/moved/", "parts")], services))
    record.note(f"version {before} confirmed")
    for node in mesh.nodes:
        await node.start()
    for node in parts + views + [caller]:
        await mesh.add_endpoint(node, "v1")
    await mesh.wait_ready()
    await asyncio.sleep(3)
    mesh.add_consumer(caller, make_request, PER_S)
    await asyncio.sleep(4)
    mesh.store.operator_put("op/config", configuration(
        after, [route("r-moved", "shop.example", "/moved/", "views"),
                route("r-added", "shop.example", "/added/", "views")], services))
    confirmed = time.monotonic()
    record.note(f"version {after} confirmed")
    await asyncio.sleep(WATCHED_S)
    for consumer in mesh.consumers:
        await consumer.stop()
    return judge(mesh, record, confirmed)


def judge(mesh, record, confirmed):
    limit = confirmed + mesh.bounds["configApply"] / 1000
    rows = {row["id"]: row for consumer in mesh.consumers for row in consumer.sent
            if row["at"] > limit}
    by_old = [run for run in mesh.runs() if run["id"] in rows and run["service"] == "parts"]
    refused = [row for row in rows.values()
               if row["target"].startswith("/added/") and row["status"] == 404]
    record.note(f"{len(rows)} requests sent later than configApply: {len(by_old)} run by the old "
                f"service, {len(refused)} refused with 404 though the route is there")
    return not by_old and not refused

main(FOLDER, scenario)
