"""The store's revision passes 2^30 between a configuration and the order of a bad version."""
import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))
from mesh import configuration, main, route  # noqa: E402

LIMIT = 1 << 30
OTHER_WRITES_PER_S = 60
DURATION_S = 16
PER_S = 60
FAILING_SHARE = 0.5


def make_request():
    return {"host": "parts.example", "target": "/parts/item"}


async def write_others(mesh):
    """The platform's other writers, which the revision counts too."""
    number = 0
    while True:
        number += 1
        mesh.store.apply([(f"servers/{number % 50}", "", 0)], [])
        await asyncio.sleep(1 / OTHER_WRITES_PER_S)


async def scenario(make_mesh, record, has_trouble):
    # The counter passes 2^30 about 6 s after the callers begin.
    mesh = make_mesh(first_revision=LIMIT - 800 if has_trouble else 1000)
    zones = ["zone-a", "zone-b", "zone-c"]
    old = [mesh.add_node(f"parts-{i}", zones[i], "parts") for i in range(2)]
    new = mesh.add_node("parts-new", zones[2], "parts")
    callers = [mesh.add_node(f"front-{i}", zones[i % 3], "front") for i in range(3)]
    mesh.store.operator_put("op/config", configuration(
        7, [route("r-parts", "parts.example", "/parts/", "parts")], ["parts", "front"]))
    record.note(f"configuration 7 at revision {mesh.store.revision}")
    for node in mesh.nodes:
        await node.start()
    for node in old + callers:
        await mesh.add_endpoint(node, "v1")
    await mesh.wait_ready()
    others = asyncio.create_task(write_others(mesh))
    await asyncio.sleep(4)
    for node in callers:
        mesh.add_consumer(node, make_request, PER_S)
    if has_trouble:
        while mesh.store.revision <= LIMIT:
            await asyncio.sleep(0.1)
    else:
        await asyncio.sleep(6)
    await asyncio.sleep(2)
    ordered = time.monotonic()
    revision = mesh.store.operator_put("op/rollout/parts", {
        "service": "parts", "targetVersion": "v2", "duration": DURATION_S})
    record.note(f"order at revision {revision}")
    await mesh.add_endpoint(new, "v2", is_bad=lambda target: random.random() < FAILING_SHARE)
    deadline = ordered + DURATION_S
    while time.monotonic() < deadline + 4:
        await asyncio.sleep(1)
        record.note(f"status {mesh.store.read_json('status/rollout/parts')}")
    others.cancel()
    for consumer in mesh.consumers:
        await consumer.stop()
    return judge(mesh, record, ordered, deadline)


def judge(mesh, record, ordered, deadline):
    runs = [run for run in mesh.runs() if run["service"] == "parts" and ordered <= run["at"]]
    all_runs = [run for run in runs if run["at"] <= deadline]
    on_new = [run for run in all_runs if run["version"] == "v2"]
    bound = mesh.bounds["exposeShare"] * len(all_runs) + mesh.bounds["exposeSlack"]
    record.note(f"{len(all_runs)} requests reached the service, {len(on_new)} of them the bad "
                f"version; the bound is {bound:.0f}")
    bad = [run["at"] for run in runs if run["version"] == "v2" and run["status"] == 500]
    sent = {row["id"]: row["at"] for consumer in mesh.consumers for row in consumer.sent}
    late = []
    if len(bad) >= 50:
        limit = bad[49] + mesh.bounds["rollback"] / 1000
        late = [run for run in runs if run["version"] == "v2" and sent.get(run["id"], 0) > limit]
    record.note(f"{len(bad)} bad answers; {len(late)} requests sent later than rollback after the 50th")
    return len(on_new) <= bound and not late

main(FOLDER, scenario)
