"""A new version is bad on one route of a service that has 120 routes in use."""
import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from mesh import main, route  # noqa: E402
from rollout import SERVICE, is_exposure_kept, order, start_fleet  # noqa: E402

ROUTES = 120
BAD_ROUTE = ROUTES - 1
BAD_ROUTE_SHARE = 0.2
FAILING_SHARE = 0.5
DURATION_S = 16
PER_S = 160
CALLER_NODES = 9
CALLING_NODES = 1


def make_request():
    number = BAD_ROUTE if random.random() < BAD_ROUTE_SHARE else random.randrange(ROUTES - 1)
    return {"host": "parts.example", "target": f"/part{number:03d}/item"}


async def scenario(make_mesh, record, has_trouble):
    mesh = make_mesh()
    routes = [route(f"r-{i:03d}", "parts.example", f"/part{i:03d}/", SERVICE)
              for i in range(ROUTES)]
    new, callers = await start_fleet(mesh, CALLER_NODES, routes)
    for node in callers[:CALLING_NODES]:
        mesh.add_consumer(node, make_request, PER_S)
    await asyncio.sleep(4)
    prefix = f"/part{BAD_ROUTE:03d}/"

    def is_bad(target):
        return has_trouble and target.startswith(prefix) and random.random() < FAILING_SHARE
    ordered, deadline = await order(mesh, record, new, DURATION_S, is_bad=is_bad)
    is_kept = is_exposure_kept(mesh, record, ordered, deadline, lambda run: run["status"] == 500)
    # Without the trouble the version is good, and EXPOSURE does not apply to it.
    return is_kept or not has_trouble

main(FOLDER, scenario)
