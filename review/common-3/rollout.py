"""What the cases about a new version share: the fleet, the order and the check of EXPOSURE."""
import asyncio
import time

from mesh import configuration, route

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "parts"


async def start_fleet(mesh, caller_count, routes=None, work_ms=20.0):
    """Two endpoints of v1, a node for v2 and the nodes of another service, whose consumers call."""
    old = [mesh.add_node(f"parts-{i}", ZONES[i], SERVICE) for i in range(2)]
    new = mesh.add_node("parts-new", ZONES[2], SERVICE)
    callers = [mesh.add_node(f"front-{i}", ZONES[i % 3], "front") for i in range(caller_count)]
    routes = routes or [route("r-parts", "parts.example", "/parts/", SERVICE)]
    mesh.store.operator_put("op/config", configuration(7, routes, [SERVICE, "front"]))
    for node in mesh.nodes:
        await node.start()
    for node in old + callers:
        await mesh.add_endpoint(node, "v1", work_ms=work_ms)
    await mesh.wait_ready()
    await asyncio.sleep(3)
    return new, callers


async def order(mesh, record, new, duration_s, watched_s=4, **options):
    """Orders v2 and starts its endpoint; returns when the order was confirmed and its deadline."""
    ordered = time.monotonic()
    revision = mesh.store.operator_put("op/rollout/" + SERVICE, {
        "service": SERVICE, "targetVersion": "v2", "duration": duration_s})
    record.note(f"order confirmed at revision {revision}")
    await mesh.add_endpoint(new, "v2", **options)
    deadline = ordered + duration_s
    last = None
    while time.monotonic() < deadline + watched_s:
        await asyncio.sleep(0.2)
        status = mesh.store.read_json("status/rollout/" + SERVICE)
        if status != last:
            record.note(f"status {status}")
        last = status
    record.note(f"last status {last}")
    for consumer in mesh.consumers:
        await consumer.stop()
    return ordered, deadline


def is_exposure_kept(mesh, record, ordered, deadline, is_bad_answer):
    """EXPOSURE as written, for a bad version v2. All machines are in touch all the time."""
    runs = [run for run in mesh.runs() if run["service"] == SERVICE and ordered <= run["at"]]
    all_runs = [run for run in runs if run["at"] <= deadline]
    on_new = [run for run in all_runs if run["version"] == "v2"]
    bound = mesh.bounds["exposeShare"] * len(all_runs) + mesh.bounds["exposeSlack"]
    record.note(f"{len(all_runs)} requests reached the service between the order and its deadline, "
                f"{len(on_new)} of them the new version; a bad one may get {bound:.0f}")
    bad = [run["at"] for run in runs if run["version"] == "v2" and is_bad_answer(run)]
    sent = {row["id"]: row["at"] for consumer in mesh.consumers for row in consumer.sent}
    late = []
    if len(bad) >= 50:
        limit = bad[49] + mesh.bounds["rollback"] / 1000
        late = [run for run in runs if run["version"] == "v2" and sent.get(run["id"], 0) > limit]
    record.note(f"{len(bad)} bad answers; {len(late)} requests sent later than rollback after the "
                "50th reached the new version")
    return len(on_new) <= bound and not late
