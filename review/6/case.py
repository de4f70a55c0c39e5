"""The operator takes the only tenant away; its key, and any other, goes on working and reaches the endpoints."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import Deployment, Endpoint, call, make_config, new_id, run_case  # noqa: E402

HOST = "shop.example"
HELD_KEY, FOREIGN_KEY = "key-of-tenant-1", "key-that-nobody-held"
BOUNDS = {"configApply": 2500, "ack": 5000, "drain": 2500, "budgetSlack": 200, "quotaWindow": 5,
          "quotaOverage": 0.1, "quotaSlack": 20}
TENANTS = [{"name": "t-1", "apiKeys": [HELD_KEY]}]


def config(version, tenants):
    routes = [{"name": "r-1", "host": HOST, "prefix": "/order/", "type": "non_idempotent", "targetLatency": 500,
               "service": "orders", "public": False}]
    return make_config(version, routes, ["orders", "listings"], tenants)


class KeyWatch:
    """What the endpoints see of each request's key and tenant."""

    def __init__(self):
        self.seen = {}

    def __call__(self, message):
        self.seen[message.get("X-Request-Id")] = (message.get("Authorization"), message.get("X-Tenant-Id"))
        return None


async def send(nodes, key, count):
    """Requests with this key, in turn at all nodes. Returns their ids and statuses."""
    results = []
    for number in range(count):
        headers = [("Authorization", f"Bearer {key}")] if key else []
        request, answer = await call(nodes[number % len(nodes)], "POST", HOST, f"/order/{number}", 2000, b"n=1",
                                     headers, new_id())
        results.append((request, answer.status if answer else 0))
    return results


async def case(record, has_trouble):
    deployment = Deployment(record, BOUNDS)
    for service, zone in (("orders", "pk-south-a"), ("orders", "pk-south-b"), ("listings", "pk-south-c")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    watch = KeyWatch()
    endpoints = [Endpoint(node, f"i-{node.index}", node.service) for node in nodes]
    try:
        deployment.store.write_config(config(7, TENANTS))
        await deployment.start()
        for endpoint in endpoints:
            endpoint.behave = watch
            await endpoint.start()
        await asyncio.sleep(5)  # longer than stableWindow: all machines are in touch
        before = await send(nodes, HELD_KEY, 9)
        record(f"statuses with the key while it is held: {[status for _, status in before]}")
        # The operator takes the tenant and its key away, or, without the disruption, changes only the version.
        deployment.store.write_config(config(9, [] if has_trouble else TENANTS))
        await asyncio.sleep(BOUNDS["configApply"] / 1000 + 2)
        late = await send(nodes, HELD_KEY, 12)
        foreign = await send(nodes, FOREIGN_KEY, 12)
        revoked_runs = [request for request, _ in late if request in watch.seen] if has_trouble else []
        foreign_runs = [request for request, _ in foreign if request in watch.seen]
        leaked = [request for request, (key, _) in watch.seen.items() if key]
        record(f"run with the key that was taken away, {BOUNDS['configApply']} ms and more after: {len(revoked_runs)}")
        record(f"run with a key that no configuration held: {len(foreign_runs)}")
        record(f"runs to which the key itself was passed on: {len(leaked)}")
        if not has_trouble and any(status != 200 for _, status in before + late):
            record("the deployment does not serve")
            raise OSError("the deployment does not serve")
        return bool(revoked_runs or foreign_runs or leaked)
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
