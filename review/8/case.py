"""The operator's versions pass a multiple of 2^26; the nodes keep the older configuration for good."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import Deployment, Endpoint, call, make_config, run_case  # noqa: E402

HOST = "mirror.example"
# Seconds since 1970: 27 * 2^26 = 1,811,939,328 lies between them (2 June 2027), twenty minutes apart.
VERSIONS_WITH_TROUBLE = (1_811_938_800, 1_811_940_000)
VERSIONS_WITHOUT = (1_811_937_600, 1_811_938_800)


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
    for service, zone in (("vetrina", "milano-a"), ("prenota", "bergamo-b"), ("vetrina", "brescia-c"),
                          ("prenota", "milano-a")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    endpoints = [Endpoint(node, f"i-{node.index}", node.service) for node in nodes]
    first, second = VERSIONS_WITH_TROUBLE if has_trouble else VERSIONS_WITHOUT
    try:
        deployment.store.write_config(config(first, "vetrina"))
        await deployment.start()
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(5)  # longer than stableWindow: all machines are in touch
        record(f"runs under version {first}: {await send(nodes, endpoints, 12)}")
        deployment.store.write_config(config(second, "prenota"))
        await asyncio.sleep(deployment.bounds["configApply"] / 1000 + 3)
        soon = await send(nodes, endpoints, 12)
        record(f"runs {deployment.bounds['configApply'] + 3000} ms after version {second}: {soon}")
        # A restart of one machine, as an operator would try it, changes nothing: it gets the older one from the others.
        nodes[0].signal(signal.SIGTERM)
        await asyncio.to_thread(nodes[0].process.wait, 10)
        nodes[0].start()
        await nodes[0].wait_ready()
        await asyncio.sleep(8)
        later = await send(nodes, endpoints, 12)
        record(f"runs 8 s after one machine was stopped and started again: {later}")
        if not soon or not later:
            raise OSError("the deployment does not serve")
        return "vetrina" in soon or "vetrina" in later
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
