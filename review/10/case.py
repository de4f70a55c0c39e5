"""Machines are lost as the configuration changes; the others go on with the older one past the bound.

Part A: one zone of four machines, of which one is killed. Part B: three zones of two machines, of which half are killed,
one in each zone. The killed ones are those that have a watch open at the store, as the platform sees it.
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import CaseError, Deployment, Endpoint, call, find_watchers, make_config, run_case  # noqa: E402

HOST = "mirror.example"
SERVICES = ("vetrina", "prenota")
DOWN_S = 3.0
WATCH_S = 7.0
# After the machine's return; all machines are in touch again and know each other.
SETTLE_S = 6.0
PARTS = (("A", ("milano-a",) * 4, 3), ("B", ("milano-a", "bergamo-b", "brescia-c") * 2, 2))


def config(version, service):
    routes = [{"name": "r-1", "host": HOST, "prefix": "/catalogue/", "type": "idempotent", "targetLatency": 500,
               "service": service}]
    return make_config(version, routes, SERVICES)


def service_that_ran(endpoints, request):
    for endpoint in endpoints:
        if any(request == each for each, _ in endpoint.runs):
            return endpoint.service
    return None


async def watch(node, endpoints, confirmed, old, late):
    """Asks one machine every 0.1 s which configuration is in force there, and notes runs of the old one past the bound.

    Returns when the machine has first followed the new one, in seconds after the confirmation.
    """
    bound = node.deployment.bounds["configApply"] / 1000
    followed = None
    while time.monotonic() < confirmed + WATCH_S:
        sent = time.monotonic() - confirmed
        request, _ = await call(node, "GET", HOST, "/catalogue/1", 1500)
        service = service_that_ran(endpoints, request)
        if service == old and sent > bound:
            late.append(sent)
        if service not in (None, old) and followed is None:
            followed = sent
        await asyncio.sleep(0.1)
    return followed


async def lose_and_change(deployment, endpoints, version, old, new, has_trouble):
    """Kills machines, changes the configuration, and watches the others. Returns the late runs."""
    record = deployment.record
    victims = find_watchers(deployment)
    if not victims or 2 * len(victims) > len(deployment.nodes):
        raise CaseError(f"{len(victims)} machines watch the store")
    if has_trouble:
        for victim in victims:
            victim.kill()
    await asyncio.sleep(0.1)
    deployment.store.write_config(config(version, new))
    confirmed = time.monotonic()
    late = []
    others = [node for node in deployment.nodes if node not in victims]
    watching = [asyncio.create_task(watch(node, endpoints, confirmed, old, late)) for node in others]
    await asyncio.sleep(DOWN_S)
    if has_trouble:
        for victim in victims:
            victim.start()
    followed = await asyncio.gather(*watching)
    times = ", ".join("never" if each is None else f"{each:.2f} s" for each in followed)
    names = ", ".join(victim.name for victim in victims)
    record(f"version {version}, {'without' if has_trouble else 'watched by'} {names}: the others follow after {times}; "
           f"requests sent past the bound and run by {old}: {len(late)}")
    await asyncio.sleep(SETTLE_S)
    return late


async def play(record, has_trouble, zones, rounds):
    deployment = Deployment(record)
    for number, zone in enumerate(zones):
        deployment.add_node(SERVICES[number % 2], zone)
    endpoints = [Endpoint(node, f"i-{node.index}", node.service, work_s=0.005) for node in deployment.nodes]
    try:
        deployment.store.write_config(config(7, SERVICES[0]))
        await deployment.start()
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(6)  # longer than stableWindow: all machines are in touch
        late = []
        for number in range(rounds):
            old, new = SERVICES[number % 2], SERVICES[(number + 1) % 2]
            late += await lose_and_change(deployment, endpoints, 9 + 2 * number, old, new, has_trouble)
        return late
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


async def case(record, has_trouble):
    late_runs = 0
    for name, zones, rounds in PARTS:
        late = await play(record, has_trouble, zones, rounds)
        record(f"part {name}: requests run by the old service past the bound: {len(late)}; the latest was sent "
               f"{max(late, default=0):.2f} s after the confirmation")
        late_runs += len(late)
    return late_runs > 0


sys.exit(run_case(pathlib.Path(__file__).parent, case))
