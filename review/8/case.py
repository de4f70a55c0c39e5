"""All nodes are killed at once after a confirmed leave; a late report brings the endpoint that left back into use."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import CaseError, Deployment, Endpoint, call, http, make_config, run_case  # noqa: E402

HOST = "mirror.example"
# From the confirmation of the leave.
KILL_AT_S, START_AT_S, LATE_REPORT_AT_S, EXIT_AT_S = 0.3, 0.8, 5.5, 9.5
REQUESTS, GAP_S, WORK_S = 40, 0.1, 0.4


def config(version):
    routes = [{"name": "r-1", "host": HOST, "prefix": "/hold/", "type": "non_idempotent", "targetLatency": 600,
               "service": "prenota"}]
    return make_config(version, routes, ["vetrina", "prenota"])


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def case(record, has_trouble):
    deployment = Deployment(record)
    for service, zone in (("vetrina", "milano-a"), ("prenota", "bergamo-b"), ("prenota", "brescia-c")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    endpoints = [Endpoint(node, f"i-{node.index}", node.service, work_s=WORK_S) for node in nodes]
    leaving = endpoints[1]
    drain_s = deployment.bounds["drain"] / 1000
    try:
        deployment.store.write_config(config(7))
        await deployment.start()
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(6)  # longer than stableWindow: all machines are in touch
        await asyncio.gather(*(call(nodes[0], "POST", HOST, f"/hold/{i}", 3000, b"n=1") for i in range(6)))
        # A report that is held up on its way; then the endpoint leaves, as some do, by DELETE alone.
        held_up = leaving.make_report()
        leaving.beats.cancel()
        answer = await http(nodes[1].address("control"), "DELETE", f"/v1/instances/{leaving.instance}", timeout=1.0)
        if answer is None or answer.status != 200:
            raise CaseError("the leave was not confirmed")
        confirmed, confirmed_at = time.monotonic(), record.now()
        record(f"endpoint {leaving.instance} leaves by DELETE, confirmed by {nodes[1].name}")
        if has_trouble:
            await sleep_until(confirmed + KILL_AT_S)
            for node in nodes:
                node.kill()
            await sleep_until(confirmed + START_AT_S)
            for node in nodes:
                node.start()
            await asyncio.gather(*(node.wait_ready() for node in nodes))
            record("all nodes are ready again")
        await sleep_until(confirmed + LATE_REPORT_AT_S)  # over stableWindow after the start of the processes
        is_confirmed = await leaving.send_report(held_up)
        record(f"the report that was held up arrives, {'2xx' if is_confirmed else 'no 2xx'}")
        await asyncio.sleep(0.5)
        calls = []
        for number in range(REQUESTS):
            calls.append(asyncio.create_task(call(nodes[0], "POST", HOST, f"/hold/{number}", 3000, b"n=1")))
            await asyncio.sleep(GAP_S)
        await sleep_until(confirmed + EXIT_AT_S)
        record(f"endpoint {leaving.instance} exits, {EXIT_AT_S} s after its confirmation")
        await leaving.stop()
        answers = await asyncio.gather(*calls)
        late = [at - confirmed_at for _, at in leaving.arrivals if at > confirmed_at + drain_s]
        served = sum(reply is not None and reply.status == 200 for _, reply in answers)
        record(f"requests that reached it later than {drain_s} s after the confirmation: {len(late)}, the latest after "
               f"{max(late, default=0):.2f} s; served {served} of {REQUESTS}")
        if served < REQUESTS / 4:
            raise CaseError("the deployment does not serve")
        return bool(late)
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
