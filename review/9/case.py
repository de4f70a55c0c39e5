"""A status report of another writer names a service that nobody configured; the endpoint of that machine is lost for good."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import CaseError, Deployment, Endpoint, call, make_config, run_case  # noqa: E402

HOST = "mirror.example"
REQUESTS = 30
# Well past stableWindow, and six reports of each endpoint.
CALM_S = 10.0


def config(version, has_later_route):
    routes = [{"name": "r-1", "host": HOST, "prefix": "/catalogue/", "type": "idempotent", "targetLatency": 500,
               "service": "vetrina"}]
    if has_later_route:
        routes.append({"name": "r-2", "host": HOST, "prefix": "/hold/", "type": "non_idempotent",
                       "targetLatency": 600, "service": "prenota"})
    return make_config(version, routes, ["vetrina", "prenota"])


async def count_served(nodes, method, path):
    served = 0
    for number in range(REQUESTS):
        _, answer = await call(nodes[number % len(nodes)], method, HOST, f"{path}{number}", 2000,
                               b"n=1" if method == "POST" else b"")
        served += answer is not None and answer.status == 200
    return served


async def case(record, has_trouble):
    deployment = Deployment(record)
    for service, zone in (("vetrina", "milano-a"), ("prenota", "bergamo-b"), ("vetrina", "brescia-c")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    endpoints = [Endpoint(node, f"i-{node.index}", node.service) for node in nodes]
    try:
        deployment.store.write_config(config(7, False))
        await deployment.start()
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(5)
        deployment.store.write_config(config(9, True))
        await asyncio.sleep(5)
        record(f"served on the later route: {await count_served(nodes, 'POST', '/hold/')} of {REQUESTS}")
        if has_trouble:
            odd = {**endpoints[1].make_report(), "service": "nobody", "sequence": 1, "born": int(time.time() * 1000)}
            writer = Endpoint(nodes[1], "i-odd", "nobody")
            record(f"another writer reports i-odd of service nobody at {nodes[1].name}: "
                   f"{'2xx' if await writer.send_report(odd) else 'no 2xx'}")
        await asyncio.sleep(CALM_S)
        first = await count_served(nodes, "GET", "/catalogue/")
        later = await count_served(nodes, "POST", "/hold/")
        record(f"served on the first route: {first} of {REQUESTS}; on the later route: {later} of {REQUESTS}; "
               f"status reports of i-2 so far: {endpoints[1].sequence}")
        if first < REQUESTS / 2:
            raise CaseError("the deployment does not serve")
        return 4 * later < first
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
