"""All nodes are killed while the store is down, after a leave was confirmed."""
import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from mesh import configuration, main, route  # noqa: E402

STORE_DOWN_S = 4.5
PER_S = 20
SERVES_ON_S = 12


def make_request():
    return {"host": "parts.example", "target": "/parts/item"}


async def scenario(make_mesh, record, has_trouble):
    mesh = make_mesh()
    zones = ["zone-a", "zone-b", "zone-c"]
    parts = [mesh.add_node(f"parts-{i}", zones[i], "parts") for i in range(3)]
    callers = [mesh.add_node(f"front-{i}", zones[i], "front") for i in range(3)]
    mesh.store.operator_put("op/config", configuration(
        7, [route("r-parts", "parts.example", "/parts/", "parts")], ["parts", "front"]))
    for node in mesh.nodes:
        await node.start()
    for node in parts + callers:
        await mesh.add_endpoint(node, "v1")
    await mesh.wait_ready()
    await asyncio.sleep(5)
    for node in callers:
        mesh.add_consumer(node, make_request, PER_S)
    await asyncio.sleep(4)
    leaving = mesh.endpoints[0]
    if has_trouble:
        mesh.store.is_down = True
        record.note("store down")
    store_back = time.monotonic() + STORE_DOWN_S
    await asyncio.sleep(0.3)
    # Sent before the leave, and late on its way.
    late_report = leaving.report("ready")
    leaving.beats.cancel()
    await asyncio.sleep(0.1)
    asked = time.monotonic()
    status = await leaving.tell("DELETE", None)
    confirmed = time.monotonic()
    record.note(f"{leaving.id} left, answer {status} after {confirmed - asked:.2f} s")
    if status != 200:
        return True
    await asyncio.sleep(0.2)
    if has_trouble:
        for node in mesh.nodes:
            await node.kill()
        record.note("all nodes killed")
        await asyncio.sleep(0.5)
        for node in mesh.nodes:
            await node.start()
        record.note("all nodes started")
        await asyncio.sleep(0.5)
    else:
        await asyncio.sleep(1)
    record.note(f"the late report: answer {await leaving.tell('PUT', late_report)}")
    await asyncio.sleep(max(0, store_back - time.monotonic()))
    mesh.store.is_down = False
    back = time.monotonic()
    record.note("store up")
    await asyncio.sleep(max(0, confirmed + SERVES_ON_S - time.monotonic()))
    for consumer in mesh.consumers:
        await consumer.stop()
    return judge(mesh, record, leaving, confirmed, back)


def judge(mesh, record, leaving, confirmed, back):
    in_touch = back + mesh.bounds["stableWindow"] / 1000
    limit = confirmed + mesh.bounds["drain"] / 1000
    sent = {row["id"]: row["at"] for consumer in mesh.consumers for row in consumer.sent}
    late = [run for run in leaving.runs if run["at"] > limit and sent[run["id"]] > in_touch]
    record.note(f"{len(late)} requests, sent when all machines were in touch again, reached the "
                f"endpoint later than drain after its leave was confirmed")
    return not late

main(FOLDER, scenario)
