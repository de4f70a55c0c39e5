"""A roll-out to a version whose name has a plus sign; from then on no configuration is taken."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import Deployment, Endpoint, call, make_config, run_case  # noqa: E402

HOST = "mirror.example"
NEW_VERSION = "2.4.0+hotfix.1"
ORDER_S = 12


def config(version, service):
    routes = [{"name": "r-1", "host": HOST, "prefix": "/catalogue/", "type": "idempotent", "targetLatency": 500,
               "service": service}]
    return make_config(version, routes, ["vetrina", "prenota"])


async def send(nodes, endpoints, count):
    """Requests in turn at all nodes. Returns how many each service ran."""
    runs = {}
    for number in range(count):
        request, _ = await call(nodes[number % len(nodes)], "GET", HOST, f"/catalogue/{number}", 2000)
        for endpoint in endpoints:
            if any(request == each for each, _ in endpoint.runs):
                runs[endpoint.service] = runs.get(endpoint.service, 0) + 1
    return runs


async def case(record, has_trouble):
    deployment = Deployment(record)
    for service, zone in (("vetrina", "milano-a"), ("vetrina", "bergamo-b"), ("prenota", "bergamo-b"),
                          ("vetrina", "brescia-c")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    endpoints = [Endpoint(node, f"i-{node.index}", node.service, version="2.3.0") for node in nodes]
    if has_trouble:
        endpoints[3].version = NEW_VERSION  # started alongside the old endpoints
    try:
        deployment.store.write_config(config(7, "vetrina"))
        await deployment.start()
        for endpoint in endpoints[:3]:
            await endpoint.start()
        await asyncio.sleep(5)  # longer than stableWindow: all machines are in touch
        record(f"runs under version 7: {await send(nodes, endpoints, 12)}")
        if has_trouble:
            order = {"service": "vetrina", "targetVersion": NEW_VERSION, "duration": ORDER_S}
            deployment.store.put("op/rollout/vetrina", json.dumps(order).encode())
            record(f"operator orders vetrina to {NEW_VERSION} within {ORDER_S} s")
        await endpoints[3].start()
        await asyncio.sleep(3)
        await send(nodes, endpoints, 12)
        deployment.store.write_config(config(9, "prenota"))
        await asyncio.sleep(deployment.bounds["configApply"] / 1000 + 3)
        soon = await send(nodes, endpoints, 12)
        record(f"runs {deployment.bounds['configApply'] + 3000} ms after version 9: {soon}")
        await asyncio.sleep(ORDER_S)
        later = await send(nodes, endpoints, 12)
        record(f"runs after the order's time has passed: {later}")
        record(f"status of the order: {deployment.store.value_of('status/rollout/vetrina')}")
        if not soon or not later:
            raise OSError("the deployment does not serve")
        return "vetrina" in soon or "vetrina" in later
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
