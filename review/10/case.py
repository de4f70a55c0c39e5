"""A fifth of the uploading consumers leave while their uploads wait; the uploads reach the endpoints all the same."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from kit import CaseError, Deployment, Endpoint, call, format_head, make_config, new_id, read_answer, run_case  # noqa: E402

HOST = "parts.example"
BOUNDS = {"configApply": 2500, "ack": 5000, "drain": 2500, "budgetSlack": 192}
BODY = b"s" * 60_000  # the mean size of a price sheet on the users' page
STAYING, LEAVING = 80, 20  # a share of 0.2 leaves
DEADLINE_MS = 8000
LEAVE_AFTER_S = 0.4
ALLOWED_AFTER_S = 0.5
A_FEW = 3


async def upload(node, index, leaves, left_at):
    """One upload on a connection of its own; a leaving consumer closes the connection before the answer."""
    if not leaves:
        _, answer = await call(node, "POST", HOST, f"/sheet/{index}", DEADLINE_MS, BODY)
        return answer.status if answer else 0
    request = new_id()
    reader, writer = await asyncio.open_connection(*node.address("outbound"))
    writer.write(format_head(f"POST /sheet/{index} HTTP/1.1",
                             [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", DEADLINE_MS),
                              ("Content-Length", len(BODY))]) + BODY)
    await writer.drain()
    node.record(f"consumer at {node.name} sends POST {HOST}/sheet/{index} id={request}, and will leave")
    try:
        answer = await asyncio.wait_for(read_answer(reader), LEAVE_AFTER_S)
        node.record(f"consumer at {node.name} gets id={request} status={answer.status if answer else 'none'}")
        return answer.status if answer else 0
    except asyncio.TimeoutError:
        writer.close()
        left_at[request] = node.record.now()
        node.record(f"consumer at {node.name} closes its connection id={request}")
        return 0


async def case(record, has_trouble):
    deployment = Deployment(record, BOUNDS)
    for service, zone in (("catalogue", "hanoi-a"), ("media", "hanoi-b"), ("media", "haiphong")):
        deployment.add_node(service, zone)
    nodes = deployment.nodes
    routes = [{"name": "r-1", "host": HOST, "prefix": "/sheet/", "type": "upload", "timeout": DEADLINE_MS,
               "targetLatency": 6000, "service": "media"}]
    endpoints = [Endpoint(node, f"i-{node.index}", node.service, slots=13, work_s=1.0) for node in nodes]
    left_at = {}
    try:
        deployment.store.write_config(make_config(7, routes, ["catalogue", "media"]))
        await deployment.start()
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(5)  # longer than stableWindow: all machines are in touch
        node = nodes[0]
        staying = [asyncio.create_task(upload(node, i, False, left_at)) for i in range(STAYING)]
        await asyncio.sleep(0.2)
        leaving = [asyncio.create_task(upload(node, STAYING + i, has_trouble, left_at)) for i in range(LEAVING)]
        statuses = await asyncio.gather(*staying, *leaving)
        await asyncio.sleep(3)
        served = sum(status == 200 for status in statuses)
        record(f"served {served} of {STAYING + LEAVING}; consumers that left: {len(left_at)}")
        late = [(request, at - left_at[request]) for endpoint in endpoints for request, at in endpoint.arrivals
                if request in left_at and at > left_at[request] + ALLOWED_AFTER_S]
        runs = [request for endpoint in endpoints for request, _ in endpoint.runs if request in dict(late)]
        record(f"reached an endpoint over {ALLOWED_AFTER_S} s after their consumer had left: {len(late)}; the longest "
               f"time: {max((after for _, after in late), default=0):.2f} s; begun to run: {len(runs)}")
        if served < STAYING / 2:
            raise CaseError("the deployment does not serve")
        return len(late) > A_FEW
    finally:
        for endpoint in endpoints:
            await endpoint.stop()
        await deployment.stop()


sys.exit(run_case(pathlib.Path(__file__).parent, case))
